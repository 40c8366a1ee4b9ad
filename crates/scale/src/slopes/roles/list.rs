//! Role `list`: a gateway's decoding and application of the endpoint list.

use super::gateway_list::GatewayList;
use super::pool;
use super::stopwatch::{memory_growth, timed, timed_each, timed_repeatedly};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};

/// Numbers of repeated whole lists and of changed entries in one measurement.
const WHOLE_LISTS: usize = 8;
const CHANGED_ENTRIES: usize = 8192;

/// Measures the decoding and the application of the endpoint list.
pub struct List;

impl Role for List {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let engines = point.quantities.engines;
        let text = pool::whole_list(engines);
        let changed = engine_changes(engines);
        let list = GatewayList::new(&point.quantities)?;
        // The event is dropped once it has been applied, as in the gateway.
        let (resident, times) = memory_growth(|| first_list(&list, &text))?;
        let (decode_list, first_list) = times?;
        let whole = list.decode(&text)?;
        let whole_list = timed_each(vec![whole; WHOLE_LISTS], |event| list.apply(event));
        let entry = |repeat: u64| &changed[repeat as usize % changed.len()];
        let decode_entry = timed_repeatedly(|repeat| list.decode(entry(repeat)));
        let events = changed
            .iter()
            .map(|text| list.decode(text))
            .collect::<Result<Vec<_>, _>>()?;
        let events = events
            .iter()
            .cycle()
            .take(CHANGED_ENTRIES)
            .cloned()
            .collect();
        let changed_entry = timed_each(events, |event| list.apply(event));
        Ok(vec![
            Measured::new(Metric::ListBytes, text.len() as f64),
            Measured::new(Metric::LineBytes, changed[0].len() as f64),
            Measured::new(Metric::DecodeList, decode_list),
            Measured::new(Metric::DecodeLine, decode_entry),
            Measured::new(Metric::FirstList, first_list),
            Measured::new(Metric::WholeList, whole_list),
            Measured::new(Metric::ChangedLine, changed_entry),
            Measured::new(Metric::Resident, resident),
        ])
    }
}

/// Decodes and applies the first whole list. Returns the processor time of each, in microseconds.
fn first_list(list: &GatewayList, text: &str) -> Result<(f64, f64), RoleError> {
    let (decode, event) = timed(|| list.decode(text));
    let event = event?;
    let (apply, _) = timed(|| list.apply(event));
    Ok((decode, apply))
}

/// Renders events that each change one entry, spread over the list: engines drain, and serve again.
fn engine_changes(engines: u64) -> Vec<String> {
    const CHANGES: u64 = 64;
    let change = |number: u64| {
        let state = if number.is_multiple_of(2) {
            "DRAINING"
        } else {
            "SERVING"
        };
        let engine = pool::engine(number / 2 * engines / CHANGES * 2 % engines);
        pool::log_event(number + 2, false, std::iter::once(engine.log_entry(state)))
    };
    (0..CHANGES).map(change).collect()
}
