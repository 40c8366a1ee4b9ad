//! Bad clients send the id of an open request with another, long statement, once each. The gateway has to stay under
//! its memory limit.

use crate::case::{Case, Verdict};
use crate::change_log::ChangeLog;
use crate::engine::Ledger;
use crate::flood::{long_statement, site, start_engines};
use crate::gateway::{Gateway, Told};
use crate::http::{call, Call};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const MEMORY_MB: u32 = 32;
/// "Hundreds of requests at once".
const BAD_CALLS: usize = 200;
const OPEN_ID: u64 = 0x0be4_0be4_0be4_0be4;

pub fn play(case: &Case) -> Result<Verdict, String> {
    let ledger = Ledger::default();
    let (_engines, servers) = start_engines(case, &ledger, 6)?;
    let log = ChangeLog::start(&servers, &case.record).map_err(|error| error.to_string())?;
    let settings = site().json();
    let told = Told {
        change_log: log.address,
        known: &log.known(),
        memory_mb: MEMORY_MB,
        settings: &settings,
    };
    let gateway = Gateway::start(&case.run, &case.scratch, &told, &case.record)?;
    let address = gateway.address;
    let usual = |id: u64, statement: &str, class: &'static str, allow_ms: u64| Call {
        class,
        id,
        tenant: "drava-agro",
        allow_ms,
        key: None,
        statement: statement.into(),
    };
    let mut calls = Vec::new();
    let open = usual(
        OPEN_ID,
        "SELECT max(note) FROM sales_17.orders /* ms=6000 */",
        "trend-report",
        15_000,
    );
    calls.push(spawn(move || call(address, &open, Duration::from_secs(20))));
    // Usual lookups, 20 a second for 6 s.
    for number in 0..120_u64 {
        let lookup = usual(
            0x2000 + number,
            "SELECT price FROM sales_3.lots /* ms=150 */",
            "lookup",
            1500,
        );
        calls.push(spawn(move || {
            sleep(Duration::from_millis(50 * number));
            call(address, &lookup, Duration::from_secs(20))
        }));
    }
    sleep(Duration::from_millis(1000));
    let before = gateway
        .peak_memory_kb()
        .ok_or("the system does not tell the memory of a process")?;
    case.record
        .say(format!("peak memory under the usual requests: {before} kB"));
    if case.trouble {
        let bad = Arc::new(usual(OPEN_ID, &long_statement(), "trend-report", 15_000));
        for _ in 0..BAD_CALLS {
            let bad = bad.clone();
            calls.push(spawn(move || call(address, &bad, Duration::from_secs(20))));
        }
        case.record.line(format!(
            "{BAD_CALLS} bad calls of {} bytes",
            bad.statement.len()
        ));
    }
    let mut statuses = std::collections::BTreeMap::<u16, u32>::new();
    for seen in calls.into_iter().filter_map(|call| call.join().ok()) {
        *statuses.entry(seen.status).or_default() += 1;
    }
    let peak = gateway.peak_memory_kb().ok_or("the gateway has ended")?;
    let limit = u64::from(MEMORY_MB) * 1024;
    case.record.say(format!("answers by status: {statuses:?}"));
    case.record
        .say(format!("peak memory {peak} kB, limit {limit} kB"));
    Ok(if peak > limit {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
