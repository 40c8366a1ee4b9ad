//! Engines whose responses have a `Content-Length` that does not fit. What is served has to be the whole result.

mod helper;

use helper::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Number of rows of a page of the engine.
const ROWS_PER_PAGE: usize = 20;
/// Number of rows up to which a cut page is announced.
const ANNOUNCED_ROWS: usize = 7;

/// The way in which an engine spoils a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The length ends with a row; all rows are written at once.
    ShortLength,
    /// The length is 0.
    NoLength,
    /// The length ends with a row; the rows behind it are written 5 ms later.
    ShortLengthRestLate,
    /// The length fits, and noise stands behind the response.
    NoiseBehind,
    /// The length fits, and a second copy stands behind the response.
    SecondCopy,
}

/// The responses of an engine that have a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spoilt {
    /// The first response to each path.
    First,
    /// Every response.
    Every,
}

fn row(page: usize, row: usize) -> [String; 3] {
    [page.to_string(), row.to_string(), "x".into()]
}

fn page_text(page: usize, rows: usize) -> String {
    (0..rows)
        .map(|number| row(page, number).join("\t") + "\n")
        .collect()
}

fn write_response(mut stream: &TcpStream, headers: &str, page: usize, fault: Option<Fault>) {
    let text = page_text(page, ROWS_PER_PAGE);
    let announced = match fault {
        Some(Fault::ShortLength | Fault::ShortLengthRestLate) => {
            page_text(page, ANNOUNCED_ROWS).len()
        }
        Some(Fault::NoLength) => 0,
        _ => text.len(),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {announced}\r\n\r\n");
    // The gateway may have closed the connection.
    let _ = match fault {
        Some(Fault::ShortLengthRestLate) => {
            let _ = stream.write_all(format!("{head}{}", &text[..announced]).as_bytes());
            sleep(Duration::from_millis(5));
            stream.write_all(&text.as_bytes()[announced..])
        }
        Some(Fault::NoiseBehind) => {
            stream.write_all(format!("{head}{text}\u{1}noise\u{2}\r\n\r\n").as_bytes())
        }
        Some(Fault::SecondCopy) => stream.write_all(format!("{head}{text}{head}{text}").as_bytes()),
        _ => stream.write_all(format!("{head}{text}").as_bytes()),
    };
}

/// Starts an engine whose results have `pages` pages. An attempt is still running when it starts, and has succeeded at
/// the first poll; `directly` makes it succeed at the start.
fn start_engine(pages: usize, directly: bool, fault: Fault, spoilt: Spoilt) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let spoilt_paths: Arc<Mutex<Vec<String>>> = Arc::default();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let spoilt_paths = spoilt_paths.clone();
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_message(&mut reader) {
                    let path = call.start_line.split(' ').nth(1).unwrap().to_string();
                    if path == "/c" && !directly {
                        let _ =
                            (&stream).write_all(http_response("202 Not yet", "", "").as_bytes());
                        continue;
                    }
                    let page = path.rsplit('/').next().unwrap().parse().unwrap_or(0);
                    let headers = match page {
                        0 => format!("Result-Pages: {pages}\r\n"),
                        number => format!("Result-Page: {number}\r\n"),
                    };
                    let mut spoilt_paths = spoilt_paths.lock().unwrap();
                    let is_spoilt = spoilt == Spoilt::Every || !spoilt_paths.contains(&path);
                    spoilt_paths.push(path);
                    drop(spoilt_paths);
                    write_response(&stream, &headers, page, is_spoilt.then_some(fault));
                }
            });
        }
    });
    address
}

fn start_test_bed(engine: SocketAddr) -> TestBed {
    TestBed::start_with(move |config| {
        config["known"]["results"] =
            json!([full_list_event(0, &[endpoint("s-0", engine, "SERVING")])]);
        config["settings"]["allowed"]["may-probe"] = json!(false);
    })
}

fn whole_result(pages: usize) -> serde_json::Value {
    let rows = (0..pages).flat_map(|page| (0..ROWS_PER_PAGE).map(move |number| row(page, number)));
    json!(rows.collect::<Vec<_>>())
}

/// Guards against the fault of review case 8: a page that its length cut at the end of a row was served as whole, though
/// the rest of its rows stood behind it.
#[test]
fn page_cut_by_its_length_is_requested_again() {
    for fault in [Fault::ShortLength, Fault::NoLength] {
        for (pages, directly) in [(1, true), (1, false), (4, true), (4, false)] {
            let engine = start_engine(pages, directly, fault, Spoilt::First);
            let test_bed = start_test_bed(engine);
            let answer = test_bed.query("report", "SELECT 1");
            let context = format!("{fault:?}, {pages} pages, {directly}");
            assert!(answer.succeeded(), "{context}: {answer:?}");
            assert_eq!(answer.json["data"], whole_result(pages), "{context}");
        }
    }
}

/// The rest of a page that its length cut may arrive after the next page was requested on the same connection.
#[test]
fn page_whose_rest_comes_with_the_next_page_is_requested_again() {
    for directly in [true, false] {
        // The last page is not followed by a request that could show its rest.
        let engine = start_engine(4, directly, Fault::ShortLengthRestLate, Spoilt::First);
        let test_bed = start_test_bed(engine);
        let answer = test_bed.query("report", "SELECT 1");
        assert!(answer.succeeded(), "{answer:?}");
        let rows = answer.json["data"].as_array().unwrap();
        let whole = whole_result(3);
        assert_eq!(&rows[..3 * ROWS_PER_PAGE], whole.as_array().unwrap());
    }
}

/// A page whose length is always too short is never served in part.
#[test]
fn page_that_is_always_cut_is_not_served() {
    let engine = start_engine(1, true, Fault::ShortLength, Spoilt::Every);
    let test_bed = start_test_bed(engine);
    let answer = test_bed.query_with_id(&new_id(), "report", 1000, "SELECT 1");
    assert!(!answer.succeeded(), "{answer:?}");
}

/// A response that fits its length is served whatever stands behind it.
#[test]
fn whole_page_with_more_behind_it_is_served() {
    for fault in [Fault::NoiseBehind, Fault::SecondCopy] {
        for (pages, directly) in [(1, true), (1, false), (4, true)] {
            let engine = start_engine(pages, directly, fault, Spoilt::Every);
            let test_bed = start_test_bed(engine);
            let answer = test_bed.query("report", "SELECT 1");
            assert!(answer.succeeded(), "{fault:?}, {pages}: {answer:?}");
            assert_eq!(answer.json["data"], whole_result(pages), "{fault:?}");
        }
    }
}
