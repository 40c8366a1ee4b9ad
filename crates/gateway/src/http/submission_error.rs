//! Response stage: why a request is answered without its query being admitted, and what the client is answered.

use super::request_head::RequestError;
use super::responses::{busy_response, close_after, error_response};
use crate::scheduling::plan_routing::PlanDenial;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use garnetwall_bodies::AdmissionError;
use garnetwall_settings::PlatformSettings;
use thiserror::Error;

/// Why a query is not admitted. The text is the client's response, so it keeps the words of the protocol.
#[derive(Debug, Error, PartialEq)]
pub(super) enum SubmissionError {
    /// The head of the request is wrong.
    #[error(transparent)]
    InvalidHead(#[from] RequestError),
    /// The length of the statement is not given by `Content-Length`.
    #[error("a statement comes with its Content-Length")]
    LengthRequired,
    /// The statement is longer than any that is read whole.
    #[error("statement too long")]
    StatementTooLong,
    /// The statement is longer than the plan allows for its class, in bytes.
    #[error("the plan allows statements of {max_bytes} bytes")]
    StatementOverPlan { max_bytes: u64 },
    /// The body is longer than any that is stored, in bytes.
    #[error("a body has {max_bytes} bytes at most")]
    BodyTooLong { max_bytes: u64 },
    /// The memory for statements is in use. Not a busy answer: the id may be that of an open query.
    #[error("too many statements in hand")]
    StatementMemoryFull,
    /// The class requires its bodies to be stored, and there is no space.
    #[error("no room for the body")]
    BodyStoreFull,
    /// The connection ended within the body.
    #[error("statement cut off")]
    BodyTruncated,
    /// The statement did not arrive in time.
    #[error("statement came too slowly")]
    BodyReadTimeout,
    /// The body store refused a part of a body whose query was admitted.
    #[error("the body can't be kept, or is longer than it may be")]
    BodyNotStored,
    /// The client closed its connection before its query was admitted: nobody reads the answer.
    #[error("the client has left")]
    ClientClosed,
    /// A different query has the same id.
    #[error("this id is that of another batch")]
    QueryKeyConflict,
    /// The query ended before, and its answer is not cached.
    #[error("this id has had its answer")]
    AnswerNotCached,
    /// An earlier process sent the query to an engine, which may have run it.
    #[error("Failed")]
    MayHaveRun,
    /// A rule or a limit of the plan denies the query; it may be sent again after `retry_after_seconds`.
    #[error("{reason}")]
    DeniedByPlan {
        reason: String,
        retry_after_seconds: Option<f64>,
    },
}

impl SubmissionError {
    /// A denial by the plan. The settings say whether its response gives a time to retry after, and the longest.
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
                tracing::debug!(reason, retry_after_ms, "query rejected by plan");
                let settings = &platform.settings;
                let retry_after_seconds = retry_after
                    .filter(|_| settings.retry_after_allowed)
                    .map(|span| span.as_secs_f64().min(settings.max_retry_after));
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
            SubmissionError::BodyStoreFull | SubmissionError::DeniedByPlan { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            SubmissionError::StatementMemoryFull => StatusCode::INSUFFICIENT_STORAGE,
        }
    }

    /// Whether a part of the request may be unread, so that what follows can't be parsed as a request.
    fn closes_connection(&self) -> bool {
        match self {
            SubmissionError::InvalidHead(_)
            | SubmissionError::QueryKeyConflict
            | SubmissionError::AnswerNotCached
            | SubmissionError::MayHaveRun
            | SubmissionError::DeniedByPlan { .. } => false,
            SubmissionError::LengthRequired
            | SubmissionError::StatementTooLong
            | SubmissionError::StatementOverPlan { .. }
            | SubmissionError::BodyTooLong { .. }
            | SubmissionError::StatementMemoryFull
            | SubmissionError::BodyStoreFull
            | SubmissionError::BodyTruncated
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
            SubmissionError::DeniedByPlan {
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
