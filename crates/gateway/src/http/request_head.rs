//! Parse stage: checks the head of a request that submits a query, and extracts the fields that admission and routing
//! use.

use crate::engines::{ForwardedQuery, Statement};
use crate::http::client_stream::StreamHandle;
use crate::scheduling::scheduler::ArrivingQuery;
use crate::system::clock::MILLIS_PER_SECOND;
use axum::http::header::{HeaderMap, HeaderValue};
use garnetwall::key_arrivals::ArrivalBounds;
use garnetwall_settings::PlatformSettings;
use std::net::IpAddr;
use std::sync::Arc;
use thiserror::Error;

/// Start of the paths of query classes, by the protocol.
pub(super) const QUERY_PATH_PREFIX: &str = "/v1/";
/// Header with the query key; this and the following header names are defined by the protocol.
pub(super) const QUERY_KEY_HEADER: &str = "x-job-id";
const DEADLINE_HEADER: &str = "x-allow-ms";
const TENANT_HEADER: &str = "x-team";
const ORDERING_KEY_HEADER: &str = "x-item";
const IDEMPOTENCY_KEY_HEADER: &str = "x-unique";
const ESTIMATED_WORK_HEADER: &str = "x-size-ms";
const ESTIMATED_MEMORY_HEADER: &str = "x-memory";
/// Number of hex digits of a query key and of an ordering key, by the protocol.
pub(super) const KEY_DIGITS: usize = 16;

/// Fault in the head of a request, or an empty statement. The text is sent to the client and follows the protocol's
/// wording.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum RequestError {
    /// The path names no configured query class.
    #[error("unknown service group '{0}'")]
    UnknownClass(String),
    /// A required header is missing.
    #[error("{0}: missing")]
    MissingHeader(&'static str),
    /// A header occurs more than once.
    #[error("{0}: repeated")]
    RepeatedHeader(&'static str),
    /// A query key or an ordering key is not [`KEY_DIGITS`] hex digits.
    #[error("{0}: {KEY_DIGITS} hex digits expected")]
    InvalidKey(&'static str),
    /// The time allowed by the client is not a number.
    #[error("{DEADLINE_HEADER}: no number")]
    InvalidDeadline,
    /// The time allowed by the client is not positive, or exceeds the limit `max_ms` of the query class, in
    /// milliseconds.
    #[error("{DEADLINE_HEADER}: more than 0 and {max_ms} at most expected")]
    DeadlineOutOfRange { max_ms: f64 },
    /// The statement is empty.
    #[error("no statement")]
    EmptyStatement,
    /// The tenant is not configured.
    #[error("{TENANT_HEADER}: unknown")]
    UnknownTenant,
    /// An estimate of work or memory is not a finite number, or is negative.
    #[error("{0}: a number of 0 or more expected")]
    InvalidEstimate(&'static str),
}

/// Request that submits a query, without its body.
pub(super) struct Submission {
    /// Name of the query class, from the path.
    pub class_name: String,
    pub headers: HeaderMap,
    pub client: IpAddr,
    /// Connection on which the request arrived.
    pub stream: StreamHandle,
}

/// Query from a checked request, before its send time is estimated.
#[derive(Debug)]
pub(super) struct SubmittedQuery {
    pub head: RequestHead,
    pub client: IpAddr,
    pub statement: Statement,
    /// Length of the statement in bytes. If the client declares none, the number of bytes that have arrived.
    pub statement_bytes: u64,
    /// Number of the data set that the statement reads or writes; `None` if the statement was not searched for it.
    pub data_set: Option<u32>,
}

/// Query with its deadline, ready for admission: the fields that the scheduler uses, and the query as sent to the
/// engine.
#[derive(Debug)]
pub(super) struct TimedQuery {
    pub arriving: ArrivingQuery,
    pub forwarded_query: Arc<ForwardedQuery>,
}

/// Checked head of a request that submits a query.
#[derive(Debug)]
pub(super) struct RequestHead {
    /// Index of the query class.
    pub class: usize,
    /// Index of the tenant; 0 if no tenants are configured.
    pub tenant: usize,
    pub query_key: u64,
    pub ordering_key: Option<u64>,
    /// Query key as the client wrote it, sent to the engine unchanged.
    query_key_text: HeaderValue,
    class_name: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    in_order: bool,
    /// Time that the client allows for the query, in seconds since the client sent it.
    allowed_seconds: f64,
    /// Work estimated by the client, in seconds.
    estimated_work: Option<f64>,
    /// Memory estimated by the client, in MB.
    estimated_memory: Option<f64>,
}

impl RequestHead {
    /// Checks the head of a request that names a query class in its path. `statement_bytes` is the length of the statement,
    /// or `None` if it is streamed. What is kept of the head is copied from it.
    ///
    /// # Errors
    ///
    /// Returns the first fault found in the head, or [`RequestError::EmptyStatement`].
    pub fn parse(
        platform: &PlatformSettings,
        class_name: &str,
        headers: &HeaderMap,
        statement_bytes: Option<u64>,
    ) -> Result<Self, RequestError> {
        let unknown_class = || RequestError::UnknownClass(class_name.to_owned());
        let class = position(&platform.names.classes, class_name).ok_or_else(unknown_class)?;
        let class_settings = &platform.settings.classes[class];
        let query_key_text = header(headers, QUERY_KEY_HEADER)?;
        let query_key = parse_key(QUERY_KEY_HEADER, query_key_text)?;
        let allowed_seconds = parse_allowed_seconds(headers, class_settings.deadline)?;
        if statement_bytes == Some(0) {
            return Err(RequestError::EmptyStatement);
        }
        let tenant = parse_tenant(headers, &platform.names.tenants)?;
        let ordering_key = optional_header(headers, ORDERING_KEY_HEADER)?
            .map(|key| parse_key(ORDERING_KEY_HEADER, key))
            .transpose()?;
        let class_name = HeaderValue::from_str(class_name).map_err(|_| unknown_class())?;
        let idempotency_key = optional_header(headers, IDEMPOTENCY_KEY_HEADER)?.map(copied);
        let estimated_work_ms = parse_estimate(headers, ESTIMATED_WORK_HEADER)?;
        Ok(RequestHead {
            class,
            tenant,
            query_key,
            ordering_key,
            query_key_text: copied(query_key_text),
            class_name,
            idempotency_key,
            in_order: ordering_key.is_some() && class_settings.in_order,
            allowed_seconds,
            estimated_work: estimated_work_ms.map(|ms| ms / MILLIS_PER_SECOND),
            estimated_memory: parse_estimate(headers, ESTIMATED_MEMORY_HEADER)?,
        })
    }
}

impl SubmittedQuery {
    /// Computes the deadline from `send_time`, the time at which the client sent the query. Times are in seconds on the
    /// scheduler's clock.
    pub fn with_times(self, send_time: f64, arrival: ArrivalBounds) -> TimedQuery {
        let head = self.head;
        let arriving = ArrivingQuery {
            query_key: head.query_key,
            class: head.class,
            tenant: head.tenant,
            ordering_key: head.ordering_key,
            arrival,
            deadline: head.allowed_seconds + send_time,
            estimated_work: head.estimated_work,
            estimated_memory: head.estimated_memory,
            data_set: self.data_set,
            client: self.client,
            statement_bytes: self.statement_bytes,
        };
        let forwarded_query = Arc::new(ForwardedQuery {
            query_key: head.query_key_text,
            class: head.class_name,
            idempotency_key: head.idempotency_key,
            in_order: head.in_order,
            statement: self.statement,
        });
        TimedQuery {
            arriving,
            forwarded_query,
        }
    }
}

/// Returns the query key in the head of a request.
///
/// # Errors
///
/// Fails if the header is missing or repeated, or if its value is not a query key.
pub(super) fn query_key(headers: &HeaderMap) -> Result<u64, RequestError> {
    parse_key(QUERY_KEY_HEADER, header(headers, QUERY_KEY_HEADER)?)
}

/// Copies a value out of the head that it is a slice of. A clone would keep the whole head in memory.
fn copied(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Returns the time that the client allows for the query, in seconds; `max_seconds` is the limit of the query class.
fn parse_allowed_seconds(headers: &HeaderMap, max_seconds: f64) -> Result<f64, RequestError> {
    let value = header(headers, DEADLINE_HEADER)?;
    let allowed_ms = parse_number(value).ok_or(RequestError::InvalidDeadline)?;
    let max_ms = max_seconds * MILLIS_PER_SECOND;
    if allowed_ms > 0.0 && allowed_ms <= max_ms {
        Ok(allowed_ms / MILLIS_PER_SECOND)
    } else {
        Err(RequestError::DeadlineOutOfRange { max_ms })
    }
}

/// Returns the index of the tenant. If tenants are configured, a request must name one; otherwise it must not name any.
fn parse_tenant(headers: &HeaderMap, tenants: &[String]) -> Result<usize, RequestError> {
    if tenants.is_empty() && !headers.contains_key(TENANT_HEADER) {
        return Ok(0);
    }
    let name = header(headers, TENANT_HEADER)?;
    let name = name.to_str().unwrap_or_default();
    position(tenants, name).ok_or(RequestError::UnknownTenant)
}

/// Returns an optional estimate by the client; 0 means no estimate.
fn parse_estimate(headers: &HeaderMap, name: &'static str) -> Result<Option<f64>, RequestError> {
    let Some(value) = optional_header(headers, name)? else {
        return Ok(None);
    };
    let estimate = parse_number(value)
        .filter(|estimate| estimate.is_finite() && *estimate >= 0.0)
        .ok_or(RequestError::InvalidEstimate(name))?;
    Ok((estimate > 0.0).then_some(estimate))
}

fn parse_number(value: &HeaderValue) -> Option<f64> {
    value.to_str().ok()?.trim().parse().ok()
}

/// Parses a query key or an ordering key; `name` is its header.
fn parse_key(name: &'static str, value: &HeaderValue) -> Result<u64, RequestError> {
    let text = value.to_str().unwrap_or_default();
    if text.len() != KEY_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(RequestError::InvalidKey(name));
    }
    u64::from_str_radix(text, 16).map_err(|_| RequestError::InvalidKey(name))
}

/// Returns the value of a header that must occur exactly once.
fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a HeaderValue, RequestError> {
    optional_header(headers, name)?.ok_or(RequestError::MissingHeader(name))
}

/// Returns the value of a header that may occur at most once.
fn optional_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        (_, Some(_)) => Err(RequestError::RepeatedHeader(name)),
    }
}

#[cfg(test)]
mod tests;
