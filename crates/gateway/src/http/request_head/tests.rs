use super::*;

/// The texts are part of the responses to clients.
#[test]
fn error_texts_name_the_header_and_the_fault() {
    let cases = [
        (
            RequestError::UnknownClass("x".into()),
            "unknown service group 'x'",
        ),
        (
            RequestError::MissingHeader(QUERY_KEY_HEADER),
            "x-job-id: missing",
        ),
        (
            RequestError::RepeatedHeader(TENANT_HEADER),
            "x-team: repeated",
        ),
        (
            RequestError::InvalidKey(ORDERING_KEY_HEADER),
            "x-item: 16 hex digits expected",
        ),
        (RequestError::InvalidDeadline, "x-allow-ms: no number"),
        (
            RequestError::DeadlineOutOfRange { max_ms: 2500.0 },
            "x-allow-ms: more than 0 and 2500 at most expected",
        ),
        (RequestError::EmptyStatement, "no statement"),
        (RequestError::UnknownTenant, "x-team: unknown"),
        (
            RequestError::InvalidEstimate(ESTIMATED_WORK_HEADER),
            "x-size-ms: a number of 0 or more expected",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn missing_repeated_and_malformed_query_keys_are_rejected() {
    let mut headers = HeaderMap::new();
    assert_eq!(
        query_key(&headers),
        Err(RequestError::MissingHeader(QUERY_KEY_HEADER))
    );
    for (value, expected) in [
        ("00000000000000ff", Some(255)),
        ("ffffffffffffffff", Some(u64::MAX)),
        ("+0000000000000ff", None),
        ("ff", None),
        ("00000000000000fg", None),
    ] {
        headers.insert(QUERY_KEY_HEADER, HeaderValue::from_static(value));
        let expected = expected.ok_or(RequestError::InvalidKey(QUERY_KEY_HEADER));
        assert_eq!(query_key(&headers), expected, "{value}");
    }
    headers.append(
        QUERY_KEY_HEADER,
        HeaderValue::from_static("00000000000000ff"),
    );
    assert_eq!(
        query_key(&headers),
        Err(RequestError::RepeatedHeader(QUERY_KEY_HEADER))
    );
}

#[test]
fn zero_estimate_is_none_and_invalid_estimates_are_rejected() {
    let estimate = |value| {
        let mut headers = HeaderMap::new();
        headers.insert(ESTIMATED_MEMORY_HEADER, HeaderValue::from_static(value));
        parse_estimate(&headers, ESTIMATED_MEMORY_HEADER)
    };
    let invalid = Err(RequestError::InvalidEstimate(ESTIMATED_MEMORY_HEADER));
    assert_eq!(
        parse_estimate(&HeaderMap::new(), ESTIMATED_MEMORY_HEADER),
        Ok(None)
    );
    assert_eq!(estimate("0"), Ok(None));
    assert_eq!(estimate(" 2.5 "), Ok(Some(2.5)));
    for value in ["-1", "inf", "NaN", "many", ""] {
        assert_eq!(estimate(value), invalid, "{value}");
    }
}
