//! Tests of the adapter on example frames of the protocol, and of its errors on malformed input.

use crate::frame::{read_frame, Frame};
use crate::serve;
use crate::session::Session;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

fn frame(count: u32, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(count.to_be_bytes());
    out.extend(1000.0f64.to_be_bytes());
    out.extend(body);
    out
}

fn attach(settings: &str) -> Vec<u8> {
    let mut out = bytes("0a 0003 0c 0000000000000007");
    out.extend((settings.len() as u32).to_be_bytes());
    out.extend(settings.as_bytes());
    out
}

const SETTINGS: &str =
    "categories.count=1\ncategories.0.semantics=retryable\ncategories.0.give-up=4000.0\n\
    categories.0.goal-time=1000.0\nallowed.max-attempts=3\nunknown.key=1\n";

const LIST: &str = "0b 00000000 00000001 3f800000 0a124a07 138b 0000 0000000000000000 0000 0000 01
    07 02 00000029 00000000";

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut out = Vec::new();
    let end = serve(&mut &input[..], &mut out).map_err(|error| error.to_string());
    (end, out)
}

#[test]
fn empty_frame_gets_an_empty_reply() {
    let (end, out) = run(&bytes("00000000 00000000 40c06e2000000000"));
    assert_eq!((end, out), (Ok(()), bytes("00000000 00000000")));
}

#[test]
fn query_is_attempted_at_the_listed_engine() {
    let mut body = attach(SETTINGS);
    body.extend(bytes(LIST));
    body.extend(bytes(
        "09 5d3a91c4 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 43c00000 41300000 01",
    ));
    let (end, out) = run(&frame(5, &body));
    assert_eq!(end, Ok(()));
    let attempt = bytes("0e 0003 01 5d3a91c4 0a124a07 138b 406e000000000000");
    assert_eq!(out[8..8 + attempt.len()], attempt);
}

#[test]
fn an_outcome_of_an_unknown_query_is_ignored() {
    let mut body = attach(SETTINGS);
    body.extend(bytes(LIST));
    body.extend(bytes(
        "06 5d3a91c4 0000 0a124a07 138b 00 4032800000000000 01 00011060 03 40e000003fa000003ecccccd",
    ));
    body.extend(bytes("0a 0005 01 0e6f2b19"));
    assert_eq!(run(&frame(7, &body)).0, Ok(()));
}

#[test]
fn malformed_input_is_reported_and_gets_no_reply() {
    let bad_settings = attach("categories.count=99999999999\n");
    let cases: [(&str, Vec<u8>, &str); 9] = [
        ("short header", vec![0; 7], "header"),
        ("short body", frame(1, &[0; 9])[..20].to_vec(), "input ends"),
        (
            "huge length",
            bytes("ffffffff 00000001 40c06e2000000000 0a"),
            "input ends",
        ),
        (
            "unknown code",
            frame(2, &bytes("0a 0003 63")),
            "unknown record code 99",
        ),
        (
            "no instance",
            frame(1, &bytes("05 0000000000000001")),
            "before any instance",
        ),
        (
            "too few records",
            frame(3, &bytes("0a 0003")),
            "3 records announced",
        ),
        (
            "too many bytes",
            frame(1, &bytes("0a 0003 00")),
            "after the last record",
        ),
        (
            "impossible list",
            frame(1, &bytes("0b 00000000 ffffffff")),
            "list entries",
        ),
        (
            "bad settings",
            frame(2, &bad_settings),
            "not a possible count",
        ),
    ];
    for (name, input, expected) in cases {
        let (end, out) = run(&input);
        let error = end.expect_err(name);
        assert!(error.contains(expected), "{name}: {error}");
        assert!(
            out.is_empty(),
            "{name}: a reply was written for malformed input"
        );
    }
}

#[test]
fn a_clock_that_is_not_a_number_is_malformed() {
    assert!(read_frame(&mut &bytes("00000000 00000000 7ff8000000000000")[..]).is_err());
}

#[test]
fn endpoint_list_sent_again_after_its_use_does_not_change_the_attempt() {
    let mut session = Session::default();
    let mut body = attach(SETTINGS);
    body.extend(bytes(LIST));
    body.extend(bytes(
        "0b 00000000 00000001 3f800000 0a124a08 138b 0000 0000000000000000 0000 0000 01",
    ));
    body.extend(bytes(
        "09 00000001 00 00000000 0000000000000000 409f400000000000 0000000000000000 00000000 00000000 00",
    ));
    let frame = Frame {
        records: 6,
        clock: 1.0,
        body,
    };
    let reply = session.process(&frame).expect("the frame is well formed");
    assert!(reply.windows(6).any(|w| w == bytes("0a124a07138b")));
    assert!(!reply.windows(6).any(|w| w == bytes("0a124a08138b")));
}
