//! Response stage: the forms that all responses to queries have.

use crate::scheduling::scheduler::QueryAnswer;
use crate::system::clock::MILLIS_PER_SECOND;
use axum::body::Body;
use axum::http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde_json::json;

/// Protocol: the header with the milliseconds after which a rejected query may be sent again.
const RETRY_AFTER_HEADER: HeaderName = HeaderName::from_static("x-wait-ms");

/// The response that carries a query's final answer.
pub(super) fn answer_response(answer: QueryAnswer) -> Response {
    match answer {
        QueryAnswer::Succeeded(body) => json_response(StatusCode::OK, body),
        QueryAnswer::Rejected { retry_after } => busy_response(None, retry_after),
        QueryAnswer::Failed => error_response(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

/// The query may be sent again, after so many seconds where these are given: it has not run, or a second run does no harm.
pub(super) fn busy_response(reason: Option<&str>, retry_after_seconds: Option<f64>) -> Response {
    let body = match reason {
        Some(reason) => json!({"error": "Busy", "reason": reason}),
        None => json!({"error": "Busy"}),
    };
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, body.to_string());
    if let Some(seconds) = retry_after_seconds {
        let milliseconds = (seconds * MILLIS_PER_SECOND) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER_HEADER, HeaderValue::from(milliseconds));
    }
    response
}

/// A short response that says what is wrong.
pub(super) fn error_response(status: StatusCode, text: &str) -> Response {
    json_response(status, json!({"error": text}).to_string())
}

fn json_response(status: StatusCode, body: impl Into<Body>) -> Response {
    let content_type = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [content_type], body.into()).into_response()
}

/// Makes a response the last on its connection: what may follow is not parsed as a request.
pub(super) fn close_after(mut response: Response) -> Response {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
