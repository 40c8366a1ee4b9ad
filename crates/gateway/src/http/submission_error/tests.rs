use super::*;
use axum::body::to_bytes;
use axum::http::header::{HeaderMap, CONNECTION};

/// Returns the status, headers and body of the response to `error`.
async fn response_parts(error: SubmissionError) -> (u16, HeaderMap, String) {
    let (head, body) = error.into_response().into_parts();
    let body = to_bytes(body, 1 << 10).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    (head.status.as_u16(), head.headers, text)
}

#[tokio::test]
async fn submission_errors_have_fixed_status_and_text_and_close_if_body_may_be_unread() {
    let cases = [
        (
            RequestError::EmptyStatement.into(),
            400,
            r#"{"error":"no statement"}"#,
            false,
        ),
        (
            SubmissionError::LengthRequired,
            411,
            r#"{"error":"a statement comes with its Content-Length"}"#,
            true,
        ),
        (
            SubmissionError::StatementTooLong,
            413,
            r#"{"error":"statement too long"}"#,
            true,
        ),
        (
            SubmissionError::StatementOverPlan { max_bytes: 7 },
            413,
            r#"{"error":"the plan allows statements of 7 bytes"}"#,
            true,
        ),
        (
            AdmissionError::TooLarge { max_bytes: 7 }.into(),
            413,
            r#"{"error":"a body has 7 bytes at most"}"#,
            true,
        ),
        (
            SubmissionError::StatementMemoryFull,
            507,
            r#"{"error":"too many statements in hand"}"#,
            true,
        ),
        (
            AdmissionError::NoCapacity.into(),
            503,
            r#"{"error":"Busy","reason":"no room for the body"}"#,
            true,
        ),
        (
            SubmissionError::BodyTruncated,
            400,
            r#"{"error":"statement cut off"}"#,
            true,
        ),
        (
            SubmissionError::BodyReadTimeout,
            408,
            r#"{"error":"statement came too slowly"}"#,
            true,
        ),
        (
            SubmissionError::BodyNotStored,
            400,
            r#"{"error":"the body can't be kept, or is longer than it may be"}"#,
            true,
        ),
        (
            SubmissionError::ClientClosed,
            400,
            r#"{"error":"the client has left"}"#,
            true,
        ),
        (
            SubmissionError::QueryKeyConflict,
            409,
            r#"{"error":"this id is that of another batch"}"#,
            false,
        ),
        (
            SubmissionError::AnswerNotCached,
            409,
            r#"{"error":"this id has had its answer"}"#,
            false,
        ),
        (
            SubmissionError::MayHaveRun,
            500,
            r#"{"error":"Failed"}"#,
            false,
        ),
    ];
    for (error, status, text, closes) in cases {
        let (got_status, headers, got_text) = response_parts(error).await;
        assert_eq!((got_status, got_text.as_str()), (status, text));
        assert_eq!(headers["content-type"], "application/json");
        assert_eq!(headers.contains_key(CONNECTION), closes, "{text}");
    }
}

#[tokio::test]
async fn plan_denial_has_its_reason_and_retry_time() {
    let error = |retry_after_seconds| SubmissionError::DeniedByPlan {
        reason: "over the limit".into(),
        retry_after_seconds,
    };
    let text = r#"{"error":"Busy","reason":"over the limit"}"#;
    let (status, headers, got_text) = response_parts(error(Some(0.25))).await;
    assert_eq!((status, got_text.as_str()), (503, text));
    assert_eq!(headers["x-wait-ms"], "250");
    assert!(!headers.contains_key(CONNECTION));
    let (_, headers, _) = response_parts(error(None)).await;
    assert!(!headers.contains_key("x-wait-ms"));
}
