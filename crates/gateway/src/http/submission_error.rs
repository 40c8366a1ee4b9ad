//! Response stage: maps each reason why a submitted query gets no final answer to the response to its client.

use super::request_head::RequestError;
use super::responses::{busy_response, close_after, error_response};
use crate::scheduling::plan_routing::PlanDenial;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use garnetwall_bodies::AdmissionError;
use garnetwall_settings::PlatformSettings;
use thiserror::Error;

/// Reason why a query is not admitted, or why its body could not be received after admission. The text is sent to the
/// client and follows the protocol's wording.
#[derive(Debug, Error, PartialEq)]
pub(super) enum SubmissionError {
    /// The head of the request is invalid, or the statement is empty.
    #[error(transparent)]
    InvalidHead(#[from] RequestError),
    /// The request must give the length of the statement by `Content-Length`, and only by it.
    #[error("a statement comes with its Content-Length")]
    LengthRequired,
    /// The statement is longer than the longest that is read whole, and there is no body store.
    #[error("statement too long")]
    StatementTooLong,
    /// The statement is longer than the plan allows; `max_bytes` is the longest allowed.
    #[error("the plan allows statements of {max_bytes} bytes")]
    StatementOverPlan { max_bytes: u64 },
    /// The body is longer than the body store accepts; `max_bytes` is the longest accepted.
    #[error("a body has {max_bytes} bytes at most")]
    BodyTooLong { max_bytes: u64 },
    /// The memory budget for statements is used up. Not answered as `Busy`, since the query key may be that of an open
    /// query.
    #[error("too many statements in hand")]
    StatementMemoryFull,
    /// Before the query was admitted, the body store refused its body or a part of it, usually for lack of space.
    #[error("no room for the body")]
    BodyStoreFull,
    /// The connection ended before the body was complete.
    #[error("statement cut off")]
    BodyTruncated,
    /// Bytes that begin no request stand behind the body, so that the body is only a part of what the client meant.
    #[error("unexpected bytes behind the request")]
    UnexpectedBytes,
    /// The statement, or the next chunk of a streamed body, did not arrive in time.
    #[error("statement came too slowly")]
    BodyReadTimeout,
    /// After the query was admitted, the body store refused a part of its body.
    #[error("the body can't be kept, or is longer than it may be")]
    BodyNotStored,
    /// The client closed its connection before its query was admitted, so this response is not read.
    #[error("the client has left")]
    ClientClosed,
    /// A different query has the same query key.
    #[error("this id is that of another batch")]
    QueryKeyConflict,
    /// A query with this key ended earlier, and its answer is not cached.
    #[error("this id has had its answer")]
    AnswerNotCached,
    /// An earlier gateway process may have sent the query to an engine, which may have run it.
    #[error("Failed")]
    MayHaveRun,
    /// The query must not run twice, and there is no space to remember its key. The client may send it again after
    /// `retry_after_seconds`; `None` if the response gives no time.
    #[error("too many ids to remember")]
    TooManyKeys { retry_after_seconds: Option<f64> },
    /// An earlier query of the same ordering key may still be unread, or a later one was admitted. The query has not run.
    /// The client may send it again after `retry_after_seconds`; `None` if the response gives no time.
    #[error("the order of this item is not known")]
    OrderNotKnown { retry_after_seconds: Option<f64> },
    /// Reads from the connection fail, so that the client may have left. The query has not run. The client may send it
    /// again after `retry_after_seconds`; `None` if the response gives no time.
    #[error("the connection can't be read")]
    ClientUnknown { retry_after_seconds: Option<f64> },
    /// A rule or limit of the plan denies the query. The client may send it again after `retry_after_seconds`; `None`
    /// if the response gives no time.
    #[error("{reason}")]
    DeniedByPlan {
        reason: String,
        retry_after_seconds: Option<f64>,
    },
}

/// Time to retry after where calls of the system fail, in seconds. Such failures usually have passed by then.
const FAILED_CALLS_RETRY_AFTER_SECONDS: f64 = 0.25;

/// The time to retry after that a response may give, in seconds. The settings decide whether it gives one, and limit it.
fn allowed_retry_after(seconds: f64, platform: &PlatformSettings) -> Option<f64> {
    let settings = &platform.settings;
    settings
        .retry_after_allowed
        .then_some(seconds.min(settings.max_retry_after))
}

impl SubmissionError {
    /// Returns the error for a query whose key can't be remembered; one expires after `retry_after` seconds.
    pub fn too_many_keys(retry_after: f64, platform: &PlatformSettings) -> Self {
        SubmissionError::TooManyKeys {
            retry_after_seconds: allowed_retry_after(retry_after, platform),
        }
    }

    /// Returns the error for a query that can't be known to be the next one of its ordering key.
    pub fn order_not_known(platform: &PlatformSettings) -> Self {
        SubmissionError::OrderNotKnown {
            retry_after_seconds: allowed_retry_after(FAILED_CALLS_RETRY_AFTER_SECONDS, platform),
        }
    }

    /// Returns the error for a query whose client may have left.
    pub fn client_unknown(platform: &PlatformSettings) -> Self {
        SubmissionError::ClientUnknown {
            retry_after_seconds: allowed_retry_after(FAILED_CALLS_RETRY_AFTER_SECONDS, platform),
        }
    }

    /// Returns the error for a denial by the plan. The settings decide whether the response gives a time to retry
    /// after, and limit that time.
    pub fn denied_by_plan(denial: PlanDenial, platform: &PlatformSettings) -> Self {
        match denial {
            PlanDenial::StatementTooLong { max_bytes } => {
                SubmissionError::StatementOverPlan { max_bytes }
            }
            PlanDenial::RouteOrLimit {
                reason,
                retry_after,
            } => {
                let retry_after_ms = retry_after.map(|span| span.as_millis());
                tracing::debug!(
                    reason,
                    retry_after_ms,
                    "query rejected by a rule or limit of the plan"
                );
                let retry_after_seconds =
                    retry_after.and_then(|span| allowed_retry_after(span.as_secs_f64(), platform));
                SubmissionError::DeniedByPlan {
                    reason,
                    retry_after_seconds,
                }
            }
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            SubmissionError::InvalidHead(_)
            | SubmissionError::BodyTruncated
            | SubmissionError::UnexpectedBytes
            | SubmissionError::BodyNotStored
            | SubmissionError::ClientClosed => StatusCode::BAD_REQUEST,
            SubmissionError::BodyReadTimeout => StatusCode::REQUEST_TIMEOUT,
            SubmissionError::QueryKeyConflict | SubmissionError::AnswerNotCached => {
                StatusCode::CONFLICT
            }
            SubmissionError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            SubmissionError::StatementTooLong
            | SubmissionError::StatementOverPlan { .. }
            | SubmissionError::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            SubmissionError::MayHaveRun => StatusCode::INTERNAL_SERVER_ERROR,
            SubmissionError::BodyStoreFull
            | SubmissionError::TooManyKeys { .. }
            | SubmissionError::OrderNotKnown { .. }
            | SubmissionError::ClientUnknown { .. }
            | SubmissionError::DeniedByPlan { .. } => StatusCode::SERVICE_UNAVAILABLE,
            SubmissionError::StatementMemoryFull => StatusCode::INSUFFICIENT_STORAGE,
        }
    }

    /// Whether the response closes the connection, because unread parts of the request could be parsed as the next
    /// request.
    fn closes_connection(&self) -> bool {
        match self {
            SubmissionError::InvalidHead(_)
            | SubmissionError::QueryKeyConflict
            | SubmissionError::AnswerNotCached
            | SubmissionError::MayHaveRun
            | SubmissionError::TooManyKeys { .. }
            | SubmissionError::OrderNotKnown { .. }
            | SubmissionError::ClientUnknown { .. }
            | SubmissionError::DeniedByPlan { .. } => false,
            SubmissionError::LengthRequired
            | SubmissionError::StatementTooLong
            | SubmissionError::StatementOverPlan { .. }
            | SubmissionError::BodyTooLong { .. }
            | SubmissionError::StatementMemoryFull
            | SubmissionError::BodyStoreFull
            | SubmissionError::BodyTruncated
            | SubmissionError::UnexpectedBytes
            | SubmissionError::BodyReadTimeout
            | SubmissionError::BodyNotStored
            | SubmissionError::ClientClosed => true,
        }
    }
}

impl From<AdmissionError> for SubmissionError {
    fn from(error: AdmissionError) -> Self {
        match error {
            AdmissionError::TooLarge { max_bytes } => SubmissionError::BodyTooLong { max_bytes },
            AdmissionError::UnknownLength => SubmissionError::LengthRequired,
            AdmissionError::NoCapacity => SubmissionError::BodyStoreFull,
        }
    }
}

impl IntoResponse for SubmissionError {
    fn into_response(self) -> Response {
        let text = self.to_string();
        let response = match &self {
            SubmissionError::BodyStoreFull => busy_response(Some(&text), None),
            SubmissionError::TooManyKeys {
                retry_after_seconds,
            }
            | SubmissionError::OrderNotKnown {
                retry_after_seconds,
            }
            | SubmissionError::ClientUnknown {
                retry_after_seconds,
            }
            | SubmissionError::DeniedByPlan {
                retry_after_seconds,
                ..
            } => busy_response(Some(&text), *retry_after_seconds),
            _ => error_response(self.status(), &text),
        };
        if self.closes_connection() {
            close_after(response)
        } else {
            response
        }
    }
}

#[cfg(test)]
mod tests;
