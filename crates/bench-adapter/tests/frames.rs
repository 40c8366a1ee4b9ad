//! Sends frames to the adapter as the simulator does, and compares its replies byte by byte with recorded ones. The
//! frames and replies contain every record code. Also checks the exit codes.
//!
//! The replies were recorded with the adapter built from commit 2d094ab. Since they contain the controller's decisions,
//! the test fails not only if a record code changes or a field moves, but also if a random number is drawn out of
//! order. The errors for malformed frames are tested in src/tests.rs.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "\
allowed.cancelling=true
allowed.max-attempts=2
allowed.may-probe=true
allowed.retry-after=true
allowed.max-retry-after=1000
categories.count=2
categories.0.name=report
categories.0.semantics=retryable
categories.0.give-up=4000.0
categories.0.goal-time=1000.0
categories.1.name=load
categories.1.semantics=fragile
categories.1.give-up=4000.0
domain.kind-cores=8
domain.kind-memory-mb=1024
domain.grants-count=true
domain.largest-share=0.5
registry-mode=on_request
telemetry.fields=depth,load_share
telemetry.how=inline
";

/// The frames and their replies. A frame is given by its time in milliseconds and its records in hex; `SETTINGS` stands
/// for the length and text of the settings. A reply has the number of its records, their length in bytes, and the
/// records.
///
/// Records of the simulator: 0a select instance, 0b endpoint list, 0c attach instance, 07 update endpoints, 09 query,
/// 0d progress, 06 end of an attempt, 01 client left, 05 timer, 08 health check ended, 03 peer message, 04 stream head,
/// 02 detach instance. Records of the adapter: 0e select instance, 0b subscribe, 05 set timer, 0d memory grant,
/// 01 attempt, 04 cancel, 03 fail, 02 reject, 06 health check.
const EXCHANGE: [(f64, &[&str], &str); 11] = [
    // Attach an instance, send and apply an endpoint list.
    (
        1000.0,
        &[
            "0a 0003",
            "0c 0000000000000007 SETTINGS",
            "0b 00000000000000013f8000000a124a07138b000000000000000000000000000001",
            "07 000000000100000000",
        ],
        "0000000300000016 0e00030b010500000000000000004059000000000006",
    ),
    // Three queries arrive.
    (
        1010.0,
        &[
            "0a 0003",
            "09 000000010000000000000000000000000040a3880000000000405e000000000000428000000000000001",
            "09 000000020100000000000000000000000040a3880000000000405e000000000000428000000000000001",
            "09 00000003000000000091f03b7c55d20a64409f400000000000405e000000000000428000000000000001",
        ],
        "000000070000005a 0e00030d00000001430000000101000000010a124a07138b40a38800000000000d00000002430000000101000000020a124a07138b40a38800000000000d00000003430000000101000000030a124a07138b409f3fffffffffff",
    ),
    // Progress events, a successful attempt, a client leaves.
    (
        1020.0,
        &[
            "0a 0003",
            "0d 000000013e80000000000a124a07138b01",
            "0d 000000013f00000000000a124a07138b02",
            "0d 000000024000000000000a124a07138b03",
            "06 0000000100000a124a07138b004024000000000000010001106002404000003ecccccd",
            "01 00000003",
        ],
        "000000020000000a 0e000304000000030000",
    ),
    // An attempt was cancelled, another one has failed.
    (
        1030.0,
        &[
            "0a 0003",
            "06 0000000300000a124a07138b014024000000000000010000000000",
            "06 0000000200000a124a07138b0d4034000000000000000000000000",
        ],
        "0000000200000008 0e00030300000002",
    ),
    // Attach a second instance, to which a query arrives.
    (
        1040.0,
        &[
            "0a 0004",
            "0c 0000000000000007 SETTINGS",
            "07 000000000100000000",
            "09 0000000500000000000000000000000000408c200000000000405e000000000000428000000000000001",
        ],
        "0000000500000033 0e00040b010d00000005430000000101000000050a124a07138b408c1fffffffffff05000000000000000040590010624dd2f2",
    ),
    // The attempt is rejected; the adapter sets a timer for the next one.
    (
        1050.0,
        &[
            "0a 0004",
            "06 0000000500000a124a07138b084014000000000000000000000000",
        ],
        "0000000200000014 0e0004050000000000000000403536872b020c35",
    ),
    // The timer expires; the adapter starts the next attempt.
    (
        1150.0,
        &[
            "0a 0004",
            "05 0000000000000000",
        ],
        "0000000400000031 0e00040d00000005430000000101000000050a124a07138b4088b000000000000500000000000000004059000000000006",
    ),
    // The second attempt is rejected; the adapter rejects the query.
    (
        1160.0,
        &[
            "0a 0004",
            "06 0000000500000a124a07138b084014000000000000000000000000",
        ],
        "0000000200000010 0e000402000000054079000000000000",
    ),
    // A health check ended, a peer message, a stream head.
    (
        1170.0,
        &[
            "0a 0004",
            "08 0040080000000000000a124a07138b023f8000003e4ccccd",
            "03 000000010002abcd",
            "04 0000000000000000000000000000000000000000",
        ],
        "0000000000000000 ",
    ),
    // The endpoint list could not be read; detach the instance.
    (
        1180.0,
        &[
            "0a 0004",
            "07 030000000200000000",
            "02",
        ],
        "0000000000000000 ",
    ),
    // A query for the detached instance is ignored.
    (
        1190.0,
        &[
            "0a 0004",
            "09 000000090000000000000000000000000040a3880000000000405e000000000000428000000000000001",
        ],
        "0000000000000000 ",
    ),
];

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect()
}

fn frame(clock_ms: f64, records: &[&str], settings: &str) -> Vec<u8> {
    let mut body = Vec::new();
    for record in records {
        match record.strip_suffix(" SETTINGS") {
            Some(head) => {
                body.extend(bytes(head));
                body.extend((settings.len() as u32).to_be_bytes());
                body.extend(settings.as_bytes());
            }
            None => body.extend(bytes(record)),
        }
    }
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(clock_ms.to_be_bytes());
    out.extend(body);
    out
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_garnetwall-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn every_frame_gets_the_recorded_reply() {
    let (mut input, mut replies) = (Vec::new(), Vec::new());
    for (clock, records, reply) in EXCHANGE {
        input.extend(frame(clock, records, SETTINGS));
        replies.extend(bytes(reply));
        let ended = run(&input);
        assert_eq!(
            ended.status.code(),
            Some(0),
            "exit code after the frame at {clock} ms"
        );
        assert_eq!(
            ended.stdout, replies,
            "replies up to the frame at {clock} ms"
        );
    }
}

/// If load reports come only with health checks, the adapter requests a health check after some queries, here after 21.
#[test]
fn health_check_is_requested_if_reports_come_only_with_health_checks() {
    let settings = SETTINGS.replace("telemetry.how=inline", "telemetry.how=on_probe");
    let (instance, list) = (EXCHANGE[0].1[0], &EXCHANGE[0].1[1..]);
    let mut input = frame(1000.0, &[&[instance], list].concat(), &settings);
    for n in 0..21 {
        let id = format!("{n:08x}");
        let query = format!("09 {id} 00 00000000 0000000000000000 40a3880000000000 405e000000000000 42800000 00000000 01");
        let outcome = format!("06 {id} 0000 0a124a07138b 00 4024000000000000 01 00000000 00");
        let at = 1010.0 + 20.0 * f64::from(n);
        input.extend(frame(at, &[instance, &query], &settings));
        input.extend(frame(at + 10.0, &[instance, &outcome], &settings));
    }
    let replies = run(&input).stdout;
    let check = bytes("00000002 0000000a 0e0003 06 0a124a07138b");
    assert!(replies.ends_with(&check), "{replies:02x?}");
}

#[test]
fn exit_code_is_0_after_empty_input_and_1_after_a_truncated_header() {
    assert_eq!(run(&[]).status.code(), Some(0));
    let cut_off = run(&[0; 7]);
    assert_eq!(cut_off.status.code(), Some(1));
    let message = String::from_utf8(cut_off.stderr).unwrap();
    assert!(
        message.ends_with(": frame 0: header truncated: 16 bytes expected, input ends after 7\n"),
        "{message}"
    );
    assert!(cut_off.stdout.is_empty());
}
