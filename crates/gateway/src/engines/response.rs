//! What an engine's answer says, and how a call came to nothing.

use super::request::{Outgoing, Sender};
use crate::engines::result_rows;
use bytes::Bytes;
use garnetwall::api::{AttemptEnd, LoadReport, Progress};
use garnetwall_ledger::CallFailure;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Protocol: names of the fields.
const NEVER_RAN: &str = "x-declined";
const REPORT: &str = "x-stats";
const NOTE: &str = "x-result";
const NOTED: &str = "note-value";
const ALL_PAGES: &str = "result-pages";
pub(super) const THIS_PAGE: &str = "result-page";
pub(super) const WORK: &str = "query-cost";
pub(super) const MEMORY: &str = "query-need";

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The engine's machine refused the connection: no process is there.
    Refused,
    /// No connection came up, or it closed before a byte was written.
    Unconnected,
    /// None could be begun here: this machine lacked a descriptor, a port or a route, or our own limit left none.
    Local,
    /// Broken after writing.
    Broken,
    /// No answer by the bound.
    Silent,
    /// An answer out of the protocol: spoilt on its way, for all that it tells.
    Garbled,
}

impl Fault {
    pub(super) fn lost(self) -> CallFailure {
        match self {
            Fault::Refused => CallFailure::Refused,
            Fault::Unconnected | Fault::Local | Fault::Broken | Fault::Silent => {
                CallFailure::Unanswered
            }
            Fault::Garbled => CallFailure::Garbled,
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
        let text = self.head.get(REPORT)?.to_str().ok()?;
        let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
        let values =
            pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)));
        garnetwall_settings::report(values)
    }
}

/// What an answer about a dispatch says.
pub(super) enum News {
    NotYet(Option<Progress>),
    Over(AttemptEnd),
    /// A good end with so many pages.
    Good(usize),
    Garbled,
}

/// The table of outcomes: what each answer proves. What is out of the protocol proves nothing.
pub(super) fn news(reply: &Reply) -> News {
    let never_ran = reply.head.get(NEVER_RAN).is_some_and(|v| v == "1");
    let pages = reply
        .number(ALL_PAGES)
        .filter(|n| n.fract() == 0.0 && (0.0..=result_rows::PAGES as f64).contains(n));
    match (reply.status, never_ran, pages) {
        (StatusCode::OK, _, Some(pages)) if result_rows::whole(&reply.body) => {
            News::Good(pages as usize)
        }
        (StatusCode::ACCEPTED, _, _) => News::NotYet(note(reply)),
        (StatusCode::SERVICE_UNAVAILABLE, true, _) => News::Over(AttemptEnd::Rejected),
        (StatusCode::GATEWAY_TIMEOUT, true, _) => News::Over(AttemptEnd::NotNeeded),
        (StatusCode::INTERNAL_SERVER_ERROR, _, _) => News::Over(AttemptEnd::Failed),
        _ => News::Garbled,
    }
}

/// A note on a dispatch that is out, where one came. One that can't be read says nothing.
fn note(reply: &Reply) -> Option<Progress> {
    let amount = reply.number(NOTED)?;
    match reply.head.get(NOTE)?.to_str().ok()?.trim() {
        "frac" => Some(Progress::Completed(amount)),
        "missing" => Some(Progress::Spilling(amount)),
        "parked" if amount == 2.0 => Some(Progress::WaitingForLoad),
        "parked" => Some(Progress::WaitingForMemory),
        _ => None,
    }
}

pub(super) async fn exchange(
    sender: &mut Sender,
    request: Request<Outgoing>,
) -> Result<Reply, Fault> {
    sender.ready().await.map_err(|e| fault(&e))?;
    let answer = sender.send_request(request).await.map_err(|e| fault(&e))?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, result_rows::PAGE)
        .collect()
        .await
        .map_err(|e| match e.is::<LengthLimitError>() {
            true => Fault::Garbled,
            false => Fault::Broken,
        })?;
    Ok(Reply {
        status: head.status,
        head: head.headers,
        body: body.to_bytes(),
    })
}

/// What an error proves. hyper calls a request cancelled only before any of it was written.
fn fault(error: &hyper::Error) -> Fault {
    if error.is_canceled() {
        Fault::Unconnected
    } else if error.is_parse() {
        Fault::Garbled
    } else {
        Fault::Broken
    }
}
