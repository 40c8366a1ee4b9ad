//! Some good answers of engines have a length that doesn't fit. What is served has to be the whole result.

use crate::case::{Case, Verdict};
use crate::change_log::ChangeLog;
use crate::engine::{Answers, Ledger};
use crate::flood::{site, start_engines_with};
use crate::gateway::{Gateway, Told};
use crate::http::{call, Call};
use std::thread::{sleep, spawn};
use std::time::Duration;

const QUERIES: u64 = 400;
/// Rows of a result: a lot's number, its ring and its grade.
const ROWS: usize = 40;
/// "Some good answers and pages arrive spoilt": one in four.
const SPOILT_ONE_IN: u64 = 4;

/// The answer that holds all rows.
fn whole_answer(answers: Answers) -> String {
    let text = answers.pages().concat();
    let rows: Vec<String> = text
        .lines()
        .map(|row| format!("[\"{}\"]", row.replace('\t', "\",\"")))
        .collect();
    format!("{{\"data\":[{}]}}", rows.join(","))
}

pub fn play(case: &Case) -> Result<Verdict, String> {
    let answers = Answers {
        rows: ROWS,
        filling: 1,
        spoilt_one_in: if case.trouble { SPOILT_ONE_IN } else { 0 },
    };
    let ledger = Ledger::default();
    let (_engines, servers) = start_engines_with(case, &ledger, 6, answers)?;
    let log = ChangeLog::start(&servers, &case.record).map_err(|error| error.to_string())?;
    let settings = site().json();
    let told = Told {
        change_log: log.address,
        known: &log.known(),
        memory_mb: 192,
        settings: &settings,
    };
    let gateway = Gateway::start(&case.run, &case.scratch, &told, &case.record)?;
    let address = gateway.address;
    let mut calls = Vec::new();
    for number in 0..QUERIES {
        let record = case.record.clone();
        calls.push(spawn(move || {
            let lookup = Call {
                class: "lookup",
                id: 0x4000_0000_0000_0000 + number,
                tenant: "drava-agro",
                allow_ms: 1500,
                key: None,
                statement: "SELECT lot, ring, grade FROM sales_3.lots /* ms=50 */".into(),
            };
            let seen = call(address, &lookup, Duration::from_secs(5));
            record.line(format!(
                "answer {:016x}: {} {}",
                lookup.id, seen.status, seen.body
            ));
            (lookup.id, seen)
        }));
        sleep(Duration::from_millis(20));
    }
    let whole = whole_answer(answers);
    let seen: Vec<_> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    drop(gateway);
    let served = seen.iter().filter(|(_, seen)| seen.is_served()).count();
    let parts: Vec<_> = seen
        .iter()
        .filter(|(_, seen)| seen.is_served() && seen.body != whole)
        .collect();
    for (id, seen) in &parts {
        let rows = seen.body.matches("],[").count() + 1;
        case.record
            .say(format!("{id:016x} was served with {rows} rows of {ROWS}"));
    }
    case.record.say(format!(
        "{} queries, {served} served, {} of them not with all rows",
        seen.len(),
        parts.len()
    ));
    Ok(if parts.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
