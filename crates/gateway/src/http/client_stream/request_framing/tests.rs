use super::*;

/// Reads `bytes` in pieces as the parser would, and returns the lengths of the pieces.
fn pieces(framing: &mut RequestFraming, bytes: &[u8]) -> Vec<usize> {
    let mut lengths = Vec::new();
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let length = framing.readable(remaining);
        if length == 0 {
            break;
        }
        framing.record_read(&remaining[..length]);
        remaining = &remaining[length..];
        lengths.push(length);
    }
    lengths
}

#[test]
fn head_ends_with_the_first_empty_line_after_text() {
    for head in [
        "\r\n\r\nGET / HTTP/1.1\r\nHost: g\r\n\r\n",
        "GET /\n\n",
        "\nGET /\r\n\n",
    ] {
        let text = format!("{head}rest");
        let mut framing = RequestFraming::START;
        assert_eq!(framing.readable(text.as_bytes()), head.len(), "{head:?}");
        // The same if it comes byte by byte.
        for byte in head.as_bytes() {
            assert_eq!(framing.readable(&[*byte]), 1);
            framing.record_read(&[*byte]);
        }
        assert_eq!(framing, RequestFraming::START, "{head:?}");
    }
}

#[test]
fn bytes_behind_a_body_are_held_back() {
    let mut framing = RequestFraming::START;
    framing.record_request(Some(5));
    assert_eq!(pieces(&mut framing, b"12"), [2]);
    assert!(!framing.is_request_complete());
    assert_eq!(pieces(&mut framing, b"345 and more"), [3]);
    assert!(framing.is_request_complete());
    assert_eq!(framing.readable(b" and more"), 0);
    framing.record_response();
    assert_eq!(framing, RequestFraming::START);
}

/// A head can follow a body that was read after its response was ready, and one whose length was not declared.
#[test]
fn nothing_is_held_back_after_the_response() {
    let mut framing = RequestFraming::START;
    framing.record_request(Some(5));
    framing.record_response();
    assert_eq!(pieces(&mut framing, b"12345GET /\n\n"), [5, 7]);
    framing.record_request(None);
    framing.record_response();
    framing.record_request(Some(1));
    assert_eq!(framing.readable(b"any"), 3);
}

#[test]
fn only_a_further_request_is_no_surplus() {
    for request in [
        "POST /v1/a HTTP/1.1\r\n",
        "\r\nGET /healthz",
        "OPTIONS *",
        "\r\n\n",
        "",
    ] {
        assert!(!is_surplus(request.as_bytes()), "{request:?}");
    }
    for surplus in [
        " WHERE lot = 4711",
        "DELETE FROM a",
        "G",
        "\r\nor a = 1",
        "GET/",
        "\0",
    ] {
        assert!(is_surplus(surplus.as_bytes()), "{surplus:?}");
    }
}
