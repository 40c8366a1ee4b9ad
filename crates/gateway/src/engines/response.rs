//! Responses of engines: reading the state of an attempt from them, and the errors of calls.

use super::messages::AttemptResult;
use super::protocol::{progress_kind, response_header};
use super::result_rows;
use crate::system::clock::MILLIS_PER_SECOND;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_ledger::CallFailure;
use http::{HeaderMap, StatusCode};
use std::time::Duration;

/// The reason why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The engine's machine refused the connection: no process listens at the address.
    ConnectionRefused,
    /// No connection was established, or it closed before a byte was written.
    ConnectFailed,
    /// No connection could be tried, because this machine lacked a descriptor, a port or a route, or the connection
    /// budget was used up.
    LocalResources,
    /// The connection was lost after bytes were written.
    ConnectionLost,
    /// No response arrived within the time limit.
    TimedOut,
    /// The response does not follow the protocol.
    InvalidResponse,
}

impl From<CallError> for CallFailure {
    fn from(error: CallError) -> Self {
        match error {
            CallError::ConnectionRefused => CallFailure::Refused,
            CallError::ConnectFailed
            | CallError::LocalResources
            | CallError::ConnectionLost
            | CallError::TimedOut => CallFailure::Unanswered,
            CallError::InvalidResponse => CallFailure::InvalidResponse,
        }
    }
}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> Self {
        // hyper reports a request as cancelled only if none of it was written.
        if error.is_canceled() {
            CallError::ConnectFailed
        } else if error.is_parse() {
            CallError::InvalidResponse
        } else {
            CallError::ConnectionLost
        }
    }
}

/// A response that was received completely.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The bytes that had arrived behind the body when it was complete.
    pub(super) surplus: Bytes,
}

impl Reply {
    /// The value of a numeric header; `None` unless it is a finite number of 0 or more.
    pub(super) fn number(&self, header: &str) -> Option<f64> {
        let text = self.text(header)?;
        let value = text.trim().parse::<f64>().ok()?;
        Some(value).filter(|value| value.is_finite() && *value >= 0.0)
    }

    /// The engine's load report, if one came with the response.
    pub(super) fn load_report(&self) -> Option<LoadReport> {
        let text = self.text(response_header::LOAD_REPORT)?;
        let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
        let values =
            pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)));
        garnetwall_settings::decode_load_report(values)
    }

    /// The result of an attempt that succeeded, with its first page.
    pub(super) fn into_result(self) -> AttemptResult {
        let work_ms = self.number(response_header::WORK_MS);
        let work = work_ms.map(|ms| ms / MILLIS_PER_SECOND);
        let memory_mb = self.number(response_header::MEMORY_MB);
        AttemptResult {
            end: AttemptEnd::Succeeded,
            work: work.filter(|work| *work > 0.0),
            memory: memory_mb.filter(|memory| *memory > 0.0),
            report: self.load_report(),
            pages: vec![self.body],
            page_memory: None,
            memory_wait: Duration::ZERO,
        }
    }

    /// The progress event in the response; `None` if there is none or it can't be read.
    fn progress(&self) -> Option<Progress> {
        let amount = self.number(response_header::PROGRESS_VALUE)?;
        match self.text(response_header::PROGRESS_KIND)?.trim() {
            progress_kind::COMPLETED => Some(Progress::Completed(amount)),
            progress_kind::SPILLING => Some(Progress::Spilling(amount)),
            progress_kind::WAITING if amount == progress_kind::WAITING_FOR_LOAD => {
                Some(Progress::WaitingForDataLoad)
            }
            progress_kind::WAITING => Some(Progress::WaitingForMemory),
            _ => None,
        }
    }

    /// Whether the body is a whole page. A `Content-Length` that is too short can cut a page at the end of a row; the
    /// rows that were cut off then stand behind the body. The engine gives the page again when it is asked for.
    pub(super) fn holds_whole_page(&self) -> bool {
        result_rows::is_complete_page(&self.body) && !result_rows::begins_with_row(&self.surplus)
    }

    /// The number of pages of the result; `None` if the response carries no valid one.
    pub(super) fn page_count(&self) -> Option<usize> {
        let count = self.number(response_header::PAGE_COUNT)?;
        let is_valid = count.fract() == 0.0 && count <= result_rows::MAX_PAGES as f64;
        is_valid.then_some(count as usize)
    }

    fn never_ran(&self) -> bool {
        let value = self.headers.get(response_header::NEVER_RAN);
        value.is_some_and(|value| value == "1")
    }

    fn text(&self, header: &str) -> Option<&str> {
        self.headers.get(header)?.to_str().ok()
    }
}

/// The state of an attempt, as told by a response.
pub(super) enum AttemptStatus {
    /// The attempt is running; holds a progress event if the response carried one.
    Running(Option<Progress>),
    /// The attempt has ended without a result.
    Ended(AttemptEnd),
    /// The attempt has ended with a result, whose first page is the body of the response.
    Succeeded {
        /// Number of pages of the result, including the first.
        page_count: usize,
    },
    /// The response does not follow the protocol and proves nothing.
    Invalid,
}

/// Reads the state of an attempt from the status, the headers and the body of a response.
pub(super) fn attempt_status(reply: &Reply) -> AttemptStatus {
    match (reply.status, reply.never_ran(), reply.page_count()) {
        (StatusCode::OK, _, Some(page_count)) if reply.holds_whole_page() => {
            AttemptStatus::Succeeded { page_count }
        }
        (StatusCode::ACCEPTED, _, _) => AttemptStatus::Running(reply.progress()),
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => AttemptStatus::Ended(AttemptEnd::Rejected),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => AttemptStatus::Ended(AttemptEnd::NotNeeded),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => AttemptStatus::Ended(AttemptEnd::Failed),
        _ => AttemptStatus::Invalid,
    }
}
