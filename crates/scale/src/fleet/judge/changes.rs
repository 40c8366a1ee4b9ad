//! Judges how long gateways take to read a change log entry after its publication, and to put it in force.

use super::finding::Finding;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use hdrhistogram::Histogram;
use std::rc::Rc;

/// Upper bound of the histograms, one hour.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_SECOND: f64 = 1e6;

/// A gateway's progress in reading the change log.
#[derive(Clone, Default)]
struct Reader {
    /// When the gateway's process started; `None` while it is down.
    up_since: Option<SimTime>,
    /// Number of the last entry that the gateway has read.
    known: usize,
    /// Number of the last entry that the gateway has put in force.
    in_force: usize,
    /// Whether the gateway is cut off from the change log.
    disconnected: bool,
    /// When the gateway was last connected to the change log again.
    reconnected_at: Option<SimTime>,
}

/// Measures the time from the publication of each change log entry until each gateway has read and applied it.
pub struct Changes {
    experiment: Rc<Experiment>,
    /// Publication time of each entry; entry 0 is the initial endpoint list.
    published: Vec<SimTime>,
    readers: Vec<Reader>,
    /// Microseconds from publication until read, without the deliveries in `after_reconnect`.
    known: Histogram<u64>,
    /// Microseconds from publication until in force, without entries published before a gateway's reconnection.
    in_force: Histogram<u64>,
    /// Microseconds from a gateway's reconnection until it has read an entry published before the reconnection.
    after_reconnect: Histogram<u64>,
    missing: Missing,
}

/// Deliveries that were overdue when their gateway's process or the run ended.
#[derive(Clone, Copy, Default)]
struct Missing {
    unknown: u64,
    not_in_force: u64,
}

impl Changes {
    pub fn new(experiment: Rc<Experiment>) -> Changes {
        let readers = vec![Reader::default(); experiment.gateways.count];
        let (known, in_force, after_reconnect) = (histogram(), histogram(), histogram());
        let missing = Missing::default();
        Changes {
            experiment,
            published: Vec::new(),
            readers,
            known,
            in_force,
            after_reconnect,
            missing,
        }
    }

    pub fn published(&mut self, now: SimTime, sequence: usize) {
        debug_assert_eq!(sequence, self.published.len());
        self.published.push(now);
    }

    pub fn gateway_started(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        let reader = &mut self.readers[gateway as usize];
        let disconnected = reader.disconnected;
        *reader = Reader {
            up_since: Some(now),
            known: sequence,
            in_force: sequence,
            disconnected,
            reconnected_at: reader.reconnected_at,
        };
    }

    pub fn gateway_ended(&mut self, now: SimTime, gateway: u32) {
        self.count_missing(now, gateway as usize);
        self.readers[gateway as usize].up_since = None;
    }

    pub fn log_disconnected(&mut self, gateway: u32) {
        self.readers[gateway as usize].disconnected = true;
    }

    pub fn log_reconnected(&mut self, now: SimTime, gateway: u32) {
        let reader = &mut self.readers[gateway as usize];
        reader.disconnected = false;
        reader.reconnected_at = Some(now);
    }

    pub fn delivered(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        let reader = &mut self.readers[gateway as usize];
        for published in publication_times(&self.published, reader.known, sequence) {
            match reader
                .reconnected_at
                .filter(|reconnected_at| *reconnected_at > published)
            {
                Some(reconnected_at) => {
                    record(&mut self.after_reconnect, now.since(reconnected_at))
                }
                None => record(&mut self.known, now.since(published)),
            }
        }
        reader.known = reader.known.max(sequence);
    }

    pub fn in_force(&mut self, now: SimTime, gateway: u32, sequence: usize) {
        let reader = &mut self.readers[gateway as usize];
        for published in publication_times(&self.published, reader.in_force, sequence) {
            if reader
                .reconnected_at
                .is_none_or(|reconnected_at| reconnected_at <= published)
            {
                record(&mut self.in_force, now.since(published));
            }
        }
        reader.in_force = reader.in_force.max(sequence);
    }

    /// Counts the entries that a gateway has lacked for longer than the limits, and records the time since their
    /// publication, or since the gateway's reconnection if that is later. Skips gateways that are down or cut off.
    fn count_missing(&mut self, now: SimTime, gateway: usize) {
        let reader = &self.readers[gateway];
        if reader.up_since.is_none() || reader.disconnected {
            return;
        }
        let waited = |published: &SimTime| {
            let reachable = reader
                .reconnected_at
                .map_or(*published, |reconnected_at| reconnected_at.max(*published));
            now.since(reachable)
        };
        let limits = &self.experiment.limits;
        for seconds in self.published.iter().skip(reader.known + 1).map(waited) {
            if seconds > limits.known_p99 {
                self.missing.unknown += 1;
                record(&mut self.known, seconds);
            }
        }
        for seconds in self.published.iter().skip(reader.in_force + 1).map(waited) {
            if seconds > limits.in_force_p99 {
                self.missing.not_in_force += 1;
                record(&mut self.in_force, seconds);
            }
        }
    }

    pub fn findings(&mut self, now: SimTime) -> Vec<Finding> {
        (0..self.readers.len()).for_each(|gateway| self.count_missing(now, gateway));
        let Missing {
            unknown,
            not_in_force,
        } = self.missing;
        let limits = &self.experiment.limits;
        let known = time_finding("time until known", &self.known, unknown, limits.known_p99);
        let in_force = time_finding(
            "time until in force",
            &self.in_force,
            not_in_force,
            limits.in_force_p99,
        );
        let known_after_reconnect = time_finding(
            "time until known after a heal",
            &self.after_reconnect,
            0,
            limits.known_p99,
        );
        let mut findings = vec![known, in_force];
        findings.extend((!self.after_reconnect.is_empty()).then_some(known_after_reconnect));
        findings
    }
}

/// Returns the publication times of the entries after `from`, up to and including `to`.
fn publication_times(
    published: &[SimTime],
    from: usize,
    to: usize,
) -> impl Iterator<Item = SimTime> + '_ {
    published.iter().take(to + 1).skip(from + 1).copied()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, seconds: f64) {
    histogram.saturating_record((seconds * MICROS_PER_SECOND) as u64);
}

/// Creates a finding that passes if the 99th percentile is at most `most` seconds and no delivery is missing.
fn time_finding(name: &'static str, times: &Histogram<u64>, missing: u64, most: f64) -> Finding {
    let at = |share: f64| times.value_at_quantile(share) as f64 / MICROS_PER_SECOND;
    let (median, p99, max) = (at(0.5), at(0.99), at(1.0));
    Finding::new(
        name,
        p99 <= most && missing == 0,
        format!(
            "{} deliveries: p50 {median:.2} s, p99 {p99:.2} s, max {max:.2} s, {missing} missing; p99 at most \
             {most:.2} s",
            times.len()
        ),
        &[
            ("deliveries", times.len() as f64),
            ("p50", median),
            ("p99", p99),
            ("max", max),
            ("missing", missing as f64),
        ],
    )
}
