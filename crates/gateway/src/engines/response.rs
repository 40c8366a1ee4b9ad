//! An engine's responses: how one is received, what it says of an attempt, and why a call failed.

use super::messages::AttemptResult;
use super::protocol::{progress_kind, response_header};
use super::request::{RequestBody, Sender};
use super::result_rows;
use crate::system::clock::MILLIS_PER_SECOND;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_ledger::CallFailure;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The engine's machine refused the connection: no process listens there.
    ConnectionRefused,
    /// No connection came up, or it closed before a byte was written.
    ConnectFailed,
    /// No connection could be tried: this machine lacked a descriptor, a port or a route, or the connection budget was
    /// used up.
    LocalResources,
    /// The connection was lost after bytes were written.
    ConnectionLost,
    /// No response within the time limit.
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
        // hyper calls a request cancelled only before any of it was written.
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
}

impl Reply {
    /// The value of a header; none where it is no finite number from 0 up.
    pub(super) fn number(&self, header: &str) -> Option<f64> {
        let text = self.text(header)?;
        let value = text.trim().parse::<f64>().ok()?;
        Some(value).filter(|value| value.is_finite() && *value >= 0.0)
    }

    /// The engine's load report, where one came with the response.
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
        }
    }

    /// A progress event, where one came. One that can't be read counts as none.
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

    fn page_count(&self) -> Option<usize> {
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

/// What a response says of an attempt.
pub(super) enum AttemptStatus {
    /// Not over yet, with a progress event where one came.
    Running(Option<Progress>),
    /// Over without a result.
    Ended(AttemptEnd),
    /// Over with a result, whose first page the response holds.
    Succeeded {
        /// Number of pages of the result, the first included.
        page_count: usize,
    },
    /// The response does not follow the protocol and proves nothing.
    Invalid,
}

/// What a response says of an attempt, by its status and headers.
pub(super) fn attempt_status(reply: &Reply) -> AttemptStatus {
    match (reply.status, reply.never_ran(), reply.page_count()) {
        (StatusCode::OK, _, Some(page_count)) if result_rows::is_complete_page(&reply.body) => {
            AttemptStatus::Succeeded { page_count }
        }
        (StatusCode::ACCEPTED, _, _) => AttemptStatus::Running(reply.progress()),
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => AttemptStatus::Ended(AttemptEnd::Rejected),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => AttemptStatus::Ended(AttemptEnd::NotNeeded),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => AttemptStatus::Ended(AttemptEnd::Failed),
        _ => AttemptStatus::Invalid,
    }
}

/// Sends a request over a connection and receives the response completely.
///
/// # Errors
///
/// [`CallError::InvalidResponse`] also where the body is longer than a page may be.
pub(super) async fn receive_reply(
    sender: &mut Sender,
    request: Request<RequestBody>,
) -> Result<Reply, CallError> {
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, result_rows::MAX_PAGE_BYTES)
        .collect()
        .await
        .map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::InvalidResponse,
            false => CallError::ConnectionLost,
        })?;
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
