//! Response stage: builds the responses to requests.

use crate::scheduling::scheduler::QueryAnswer;
use crate::system::clock::MILLIS_PER_SECOND;
use axum::body::Body;
use axum::http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde_json::json;

/// Header with the time in milliseconds after which a client may send a rejected query again; defined by the protocol.
const RETRY_AFTER_HEADER: HeaderName = HeaderName::from_static("x-wait-ms");

/// Returns the response that carries the final answer of a query.
pub(super) fn answer_response(answer: QueryAnswer) -> Response {
    match answer {
        QueryAnswer::Succeeded(body) => json_response(StatusCode::OK, body),
        QueryAnswer::Rejected { retry_after } => busy_response(None, retry_after),
        QueryAnswer::Failed => error_response(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

/// Returns a response that lets the client send the query again, after `retry_after_seconds` if given. Used only if the
/// query has not run, or if running it again does no harm.
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

/// Returns the response to a request whose handler panicked. Its query, if it was admitted, may have run. Parts of the
/// request may be unread, so the connection is closed.
pub(super) fn handler_panicked_response() -> Response {
    close_after(answer_response(QueryAnswer::Failed))
}

/// Returns a response with a JSON body that carries `text` as its error.
pub(super) fn error_response(status: StatusCode, text: &str) -> Response {
    json_response(status, json!({"error": text}).to_string())
}

fn json_response(status: StatusCode, body: impl Into<Body>) -> Response {
    let content_type = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [content_type], body.into()).into_response()
}

/// Marks a response as the last on its connection, so that bytes that follow are not parsed as a request.
pub(super) fn close_after(mut response: Response) -> Response {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
