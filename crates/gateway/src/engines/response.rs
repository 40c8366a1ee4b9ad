//! What an engine's answer says, and how a call came to nothing.

use super::request::{RequestBody, Sender};
use crate::engines::result_rows;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_ledger::CallFailure;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Protocol: names of the fields.
const NEVER_RAN: &str = "x-declined";
const LOAD_REPORT: &str = "x-stats";
const PROGRESS_KIND: &str = "x-result";
const PROGRESS_VALUE: &str = "note-value";
const PAGE_COUNT: &str = "result-pages";
pub(super) const PAGE_NUMBER: &str = "result-page";
pub(super) const WORK_MS: &str = "query-cost";
pub(super) const MEMORY: &str = "query-need";

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The engine's machine refused the connection: no process is there.
    ConnectionRefused,
    /// No connection came up, or it closed before a byte was written.
    ConnectFailed,
    /// None could be begun here: this machine lacked a descriptor, a port or a route, or our own limit left none.
    LocalResources,
    /// Broken after writing.
    ConnectionLost,
    /// No answer by the bound.
    TimedOut,
    /// An answer out of the protocol: spoilt on its way, for all that it tells.
    InvalidResponse,
}

impl CallError {
    pub(super) fn call_failure(self) -> CallFailure {
        match self {
            CallError::ConnectionRefused => CallFailure::Refused,
            CallError::ConnectFailed
            | CallError::LocalResources
            | CallError::ConnectionLost
            | CallError::TimedOut => CallFailure::Unanswered,
            CallError::InvalidResponse => CallFailure::Garbled,
        }
    }
}

pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) head: HeaderMap,
    pub(super) body: Bytes,
}

impl Reply {
    pub(super) fn number(&self, field: &str) -> Option<f64> {
        let value = self
            .head
            .get(field)?
            .to_str()
            .ok()?
            .trim()
            .parse::<f64>()
            .ok()?;
        Some(value).filter(|v| v.is_finite() && *v >= 0.0)
    }

    pub(super) fn report(&self) -> Option<LoadReport> {
        let text = self.head.get(LOAD_REPORT)?.to_str().ok()?;
        let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
        let values =
            pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)));
        garnetwall_settings::report(values)
    }
}

/// What an answer about a dispatch says.
pub(super) enum AttemptStatus {
    Running(Option<Progress>),
    Ended(AttemptEnd),
    /// A good end with so many pages.
    Succeeded(usize),
    Invalid,
}

/// The table of outcomes: what each answer proves. What is out of the protocol proves nothing.
pub(super) fn attempt_status(reply: &Reply) -> AttemptStatus {
    let never_ran = reply.head.get(NEVER_RAN).is_some_and(|v| v == "1");
    let pages = reply
        .number(PAGE_COUNT)
        .filter(|n| n.fract() == 0.0 && (0.0..=result_rows::MAX_PAGES as f64).contains(n));
    match (reply.status, never_ran, pages) {
        (StatusCode::OK, _, Some(pages)) if result_rows::is_complete_page(&reply.body) => {
            AttemptStatus::Succeeded(pages as usize)
        }
        (StatusCode::ACCEPTED, _, _) => AttemptStatus::Running(progress(reply)),
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => AttemptStatus::Ended(AttemptEnd::Rejected),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => AttemptStatus::Ended(AttemptEnd::NotNeeded),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => AttemptStatus::Ended(AttemptEnd::Failed),
        _ => AttemptStatus::Invalid,
    }
}

/// A note on a dispatch that is out, where one came. One that can't be read says nothing.
fn progress(reply: &Reply) -> Option<Progress> {
    let amount = reply.number(PROGRESS_VALUE)?;
    match reply.head.get(PROGRESS_KIND)?.to_str().ok()?.trim() {
        "frac" => Some(Progress::Completed(amount)),
        "missing" => Some(Progress::Spilling(amount)),
        "parked" if amount == 2.0 => Some(Progress::WaitingForLoad),
        "parked" => Some(Progress::WaitingForMemory),
        _ => None,
    }
}

pub(super) async fn exchange(
    sender: &mut Sender,
    request: Request<RequestBody>,
) -> Result<Reply, CallError> {
    sender.ready().await.map_err(|e| call_error(&e))?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(|e| call_error(&e))?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, result_rows::MAX_PAGE_BYTES)
        .collect()
        .await
        .map_err(|e| match e.is::<LengthLimitError>() {
            true => CallError::InvalidResponse,
            false => CallError::ConnectionLost,
        })?;
    Ok(Reply {
        status: head.status,
        head: head.headers,
        body: body.to_bytes(),
    })
}

/// What an error proves. hyper calls a request cancelled only before any of it was written.
fn call_error(error: &hyper::Error) -> CallError {
    if error.is_canceled() {
        CallError::ConnectFailed
    } else if error.is_parse() {
        CallError::InvalidResponse
    } else {
        CallError::ConnectionLost
    }
}
