//! A bad client's length is shorter than its statement. No engine may run a part of the statement, and the client may not
//! be told that it was served.

use crate::case::{Case, Verdict};
use crate::change_log::ChangeLog;
use crate::engine::Ledger;
use crate::flood::{site, start_engines};
use crate::gateway::{Gateway, Told};
use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const STATEMENT: &str = "DELETE FROM sales_17.lots WHERE lot = 4711";
/// The statement up to the name of the table.
const WRONG_LENGTH: usize = 25;

/// Sends the statement with this length, and returns the status of the first answer.
fn send(gateway: SocketAddr, id: u64, length: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let text = format!(
        "POST /v1/sale-load HTTP/1.1\r\nHost: origin.svc\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 5000\r\nX-Team: drava-agro\r\nX-Item: {id:016x}\r\nContent-Length: {length}\r\n\r\n{STATEMENT}"
    );
    stream.write_all(text.as_bytes())?;
    let message = read_message(&mut BufReader::new(stream));
    let status = message.and_then(|message| message.start_line.split(' ').nth(1)?.parse().ok());
    Ok(status.unwrap_or(0))
}

pub fn play(case: &Case) -> Result<Verdict, String> {
    let ledger = Ledger::default();
    let (_engines, servers) = start_engines(case, &ledger, 6)?;
    let log = ChangeLog::start(&servers, &case.record).map_err(|error| error.to_string())?;
    let settings = site().json();
    let told = Told {
        change_log: log.address,
        known: &log.known(),
        memory_mb: 192,
        settings: &settings,
    };
    let gateway = Gateway::start(&case.run, &case.scratch, &told, &case.record)?;
    let length = if case.trouble {
        WRONG_LENGTH
    } else {
        STATEMENT.len()
    };
    let mut served = 0;
    for number in 0..5 {
        let id = 0x5000_0000_0000_0000 + number;
        let status = send(gateway.address, id, length).map_err(|error| error.to_string())?;
        case.record.say(format!(
            "{id:016x} sent with Content-Length {length} of {}: answered {status}",
            STATEMENT.len()
        ));
        served += u32::from(status == 200);
    }
    drop(gateway);
    let starts = ledger.starts.lock().unwrap();
    let parts: Vec<_> = starts
        .iter()
        .filter(|start| start.statement != STATEMENT)
        .collect();
    for start in &parts {
        case.record.say(format!(
            "engine {} was sent {:?}",
            start.engine, start.statement
        ));
    }
    case.record.say(format!(
        "{served} served, {} statements run, {} of them cut",
        starts.len(),
        parts.len()
    ));
    Ok(if parts.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
