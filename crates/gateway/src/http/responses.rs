//! Responses: final answers, and what is said of a call that brings no batch.

use super::HttpFront;
use crate::scheduling::plan_routing::PlanRejection;
use crate::scheduling::scheduler::{QueryAnswer, Waiter};
use axum::http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use garnetwall_bodies::room::Refused;
use serde_json::json;

/// Protocol: the name of the field.
const RETRY_AFTER: HeaderName = HeaderName::from_static("x-wait-ms");

pub(super) fn not_kept(refused: Refused) -> Response {
    match refused {
        Refused::TooLarge { most } => error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("a body has {most} bytes at most"),
        ),
        Refused::UnknownLength => error_response(
            StatusCode::LENGTH_REQUIRED,
            "a statement comes with its Content-Length",
        ),
        Refused::NoRoom => rejected(
            &json!({"error": "Busy", "reason": "no room for the body"}),
            None,
        ),
    }
}

pub(super) async fn final_response(waiter: Waiter) -> Response {
    response_of(waiter.answer().await)
}

/// A final answer as a response.
pub(super) fn response_of(answer: QueryAnswer) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match answer {
        QueryAnswer::Succeeded(body) => (StatusCode::OK, [json], body).into_response(),
        QueryAnswer::Rejected {
            retry_after: come_back,
        } => rejected(&json!({"error": "Busy"}), come_back),
        QueryAnswer::Failed => error_response(StatusCode::INTERNAL_SERVER_ERROR, "Failed"),
    }
}

/// Trying again is harmless, after so many seconds.
fn rejected(body: &serde_json::Value, come_back: Option<f64>) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, [json], body.to_string()).into_response();
    if let Some(seconds) = come_back {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from((seconds * 1000.0) as u64));
    }
    response
}

/// What the plan does not let in is answered at once.
pub(super) fn turned_away(front: &HttpFront, turned: PlanRejection) -> Response {
    match turned {
        PlanRejection::StatementTooLong { max_bytes } => closing(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("the plan allows statements of {max_bytes} bytes"),
        )),
        PlanRejection::LimitReached {
            reason,
            retry_after: come_back,
        } => {
            tracing::debug!(reason, ?come_back, "turned away");
            let settings = &front.decoded.settings;
            let body = json!({"error": "Busy", "reason": reason});
            let seconds = come_back.map(|span| span.as_secs_f64().min(settings.max_retry_after));
            rejected(&body, seconds.filter(|_| settings.retry_after_allowed))
        }
    }
}

/// The last answer on its connection: what may follow is not read as a call.
pub(super) fn closing(mut answer: Response) -> Response {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// A short answer that says what is wrong.
pub(super) fn error_response(status: StatusCode, what: &str) -> Response {
    let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [json], json!({"error": what}).to_string()).into_response()
}
