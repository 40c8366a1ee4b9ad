//! The head of a call: what decisions need is taken out of it and checked.

use crate::engines::{Call, Statement};
use crate::http::statement;
use crate::scheduling::scheduler::ArrivingQuery;
use axum::http::header::{HeaderMap, HeaderValue};
use garnetwall_settings::Decoded;
use std::net::IpAddr;

/// Protocol: names of the fields.
pub(super) const QUERY_ID: &str = "x-job-id";
const DEADLINE: &str = "x-allow-ms";
const TENANT: &str = "x-team";
const KEY: &str = "x-item";
const IDEMPOTENCY_KEY: &str = "x-unique";
const COST: &str = "x-size-ms";
const MEMORY: &str = "x-memory";
/// Protocol: digits of an id and of a key.
const DIGITS: usize = 16;

/// Takes out of a call what decisions need, and checks it; its limit counts from when it was sent.
pub(super) fn arrival(
    decoded: &Decoded,
    group: &str,
    head: &HeaderMap,
    client: IpAddr,
    statement: bytes::Bytes,
) -> Result<(ArrivingQuery, Call), String> {
    let names = &decoded.names;
    let unknown = || format!("unknown service group '{group}'");
    let index = names
        .groups
        .iter()
        .position(|g| g == group)
        .ok_or_else(unknown)?;
    let id = field(head, QUERY_ID)?;
    let job = hex(QUERY_ID, id)?;
    let most = decoded.settings.classes[index].deadline * 1000.0;
    let allowed = field(head, DEADLINE)?
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let allowed = allowed.ok_or_else(|| format!("{DEADLINE}: no number"))?;
    if !(allowed > 0.0 && allowed <= most) {
        return Err(format!(
            "{DEADLINE}: more than 0 and {most} at most expected"
        ));
    }
    if statement.is_empty() {
        return Err("no statement".into());
    }
    let tenant = match head.contains_key(TENANT) || !names.tenants.is_empty() {
        true => {
            let name = field(head, TENANT)?.to_str().unwrap_or_default();
            names
                .tenants
                .iter()
                .position(|t| t == name)
                .ok_or_else(|| format!("{TENANT}: unknown"))?
        }
        false => 0,
    };
    let key = match head.contains_key(KEY) {
        true => Some(hex(KEY, field(head, KEY)?)?),
        false => None,
    };
    let limit = allowed / 1000.0;
    let data_set = statement::data_set(&statement).unwrap_or(0);
    let group_name = HeaderValue::from_str(group).map_err(|_| unknown())?;
    let bytes = statement.len() as u64;
    let mark = head
        .contains_key(IDEMPOTENCY_KEY)
        .then(|| field(head, IDEMPOTENCY_KEY))
        .transpose()?
        .cloned();
    let cost = estimate(head, COST)?.map(|ms| ms / 1000.0);
    let memory = estimate(head, MEMORY)?;
    let in_order = key.is_some() && decoded.settings.classes[index].in_order;
    let statement = Statement::Complete(statement);
    let call = Call {
        id: id.clone(),
        class: group_name,
        idempotency_key: mark,
        in_order,
        statement,
    };
    Ok((
        ArrivingQuery {
            query_key: job,
            class: index,
            tenant,
            ordering_key: key,
            deadline: limit,
            estimated_work: cost,
            estimated_memory: memory,
            data_set,
            client,
            bytes,
        },
        call,
    ))
}

/// An estimate that may come with a batch; 0 says nothing.
fn estimate(head: &HeaderMap, name: &str) -> Result<Option<f64>, String> {
    if !head.contains_key(name) {
        return Ok(None);
    }
    let told = field(head, name)?
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let told = told.filter(|v| v.is_finite() && *v >= 0.0);
    Ok(
        Some(told.ok_or_else(|| format!("{name}: a number of 0 or more expected"))?)
            .filter(|v| *v > 0.0),
    )
}

/// The one value of a field.
pub(super) fn field<'a>(head: &'a HeaderMap, name: &str) -> Result<&'a HeaderValue, String> {
    let mut values = head.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(format!("{name}: missing")),
        (Some(_), Some(_)) => Err(format!("{name}: repeated")),
    }
}

pub(super) fn hex(name: &str, value: &HeaderValue) -> Result<u64, String> {
    let text = value.to_str().unwrap_or_default();
    let digits = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    let parsed = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    parsed.ok_or_else(|| format!("{name}: {DIGITS} hex digits expected"))
}
