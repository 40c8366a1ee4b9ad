//! Judges a run: checks the external observations against the protocol's rules and the experiment's bounds, without
//! knowledge of how gateways decide.

use super::endpoint_list::EngineId;
use super::experiment::Expect;
use super::observations::{Attempt, Notice, Observations, Outcome, Query, QueryClass};
use super::run_statistics::RunStatistics;
use std::collections::{BTreeMap, HashMap};

/// Time that connections may add to a query's limit.
const SOCKET_ALLOWANCE_SECONDS: f64 = 0.05;
/// An attempt received within this time after the answer may have been sent before the answer.
const IN_TRANSIT_ALLOWANCE_SECONDS: f64 = 0.05;
/// Time from an event's publication until gateways count as notified, even if the event was not delivered.
const NOTIFICATION_LIMIT_SECONDS: f64 = 7.0;
/// Time from an event's delivery until the gateway counts as notified.
const NOTIFICATION_AFTER_WRITE_SECONDS: f64 = 1.0;
/// Maximum number of violations that a judgement lists.
const MAX_VIOLATIONS_SHOWN: usize = 3;

/// Result of checking one rule or bound.
#[derive(Clone, Debug)]
pub struct Judgement {
    pub what: &'static str,
    pub passed: bool,
    pub detail: String,
}

/// Checks all rules, and the bounds that `expect` sets.
pub fn judge(observations: &Observations, expect: &Expect) -> Vec<Judgement> {
    let index = Index::new(observations);
    let mut judgements = vec![
        rule("something was played", index.no_success()),
        rule(
            "one whole answer within its limit",
            index.late_or_broken_answers(),
        ),
        rule("rows as an engine made them", index.foreign_rows()),
        rule("no effect twice", index.repeated_effects()),
        rule(
            "nothing new to an engine told draining or gone",
            index.attempts_at_drained_engines(),
        ),
        rule("one at a time for each key", index.order_violations()),
        rule(
            "nothing sent after the answer",
            index.attempts_after_answer(),
        ),
        rule("terminated gateways end cleanly", index.unclean_ends()),
    ];
    judgements.extend(bounds(observations, expect));
    judgements
}

/// Returns the judgement of a rule, which passes if there are no violations.
fn rule(what: &'static str, violations: Vec<String>) -> Judgement {
    let shown = violations
        .iter()
        .take(MAX_VIOLATIONS_SHOWN)
        .cloned()
        .collect::<Vec<_>>()
        .join("; ");
    let detail = match violations.len() {
        0 => "none broke it".to_string(),
        count => format!("{count} broke it: {shown}"),
    };
    Judgement {
        what,
        passed: violations.is_empty(),
        detail,
    }
}

/// Observations indexed by query. Each check returns one text per violation.
struct Index<'a> {
    observations: &'a Observations,
    attempts: HashMap<u64, Vec<&'a Attempt>>,
    queries: HashMap<u64, &'a Query>,
}

impl<'a> Index<'a> {
    fn new(observations: &'a Observations) -> Index<'a> {
        let mut attempts: HashMap<u64, Vec<&Attempt>> = HashMap::new();
        for attempt in &observations.attempts {
            attempts.entry(attempt.query).or_default().push(attempt);
        }
        let queries = observations
            .queries
            .iter()
            .map(|query| (query.id, query))
            .collect();
        Index {
            observations,
            attempts,
            queries,
        }
    }

    fn attempts(&self, query: u64) -> &[&'a Attempt] {
        self.attempts.get(&query).map_or(&[], Vec::as_slice)
    }

    /// Whether the query's gateway was killed while the query was open.
    fn was_killed(&self, query: &Query) -> bool {
        let cut = |from: f64| {
            query.started_at <= from && from <= query.answered_at + SOCKET_ALLOWANCE_SECONDS
        };
        self.observations
            .outages
            .iter()
            .any(|o| o.killed && o.gateway == query.gateway && cut(o.from))
    }

    /// Finds a run without any successful query; such a run proves nothing.
    fn no_success(&self) -> Vec<String> {
        let succeeded = |query: &&Query| matches!(query.outcome, Outcome::Succeeded { .. });
        match self.observations.queries.iter().find(succeeded) {
            Some(_) => Vec::new(),
            None => vec![format!(
                "none of {} queries succeeded",
                self.observations.queries.len()
            )],
        }
    }

    /// Finds lost, malformed and late answers. An answer may be lost where the gateway was killed.
    fn late_or_broken_answers(&self) -> Vec<String> {
        let fault = |query: &&Query| {
            let took = query.answered_at - query.started_at;
            match &query.outcome {
                Outcome::Lost(why) if !self.was_killed(query) => {
                    Some(format!("{:016x} was lost: {why}", query.id))
                }
                Outcome::Malformed(why) => Some(format!("{:016x} malformed: {why}", query.id)),
                Outcome::Succeeded { .. } | Outcome::Rejected | Outcome::Failed
                    if took > query.limit + SOCKET_ALLOWANCE_SECONDS =>
                {
                    Some(format!(
                        "{:016x} took {took:.3} s with a limit of {:.3} s",
                        query.id, query.limit
                    ))
                }
                _ => None,
            }
        };
        self.observations
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    /// Finds answers whose rows no successful attempt at the named engine returned.
    fn foreign_rows(&self) -> Vec<String> {
        let fault = |query: &&Query| match &query.outcome {
            Outcome::Succeeded { engine } => {
                let made = |a: &&Attempt| a.succeeded && a.engine.to_string() == *engine;
                let found = self.attempts(query.id).iter().any(made);
                (!found).then(|| format!("{:016x}: {engine} returned no such rows", query.id))
            }
            _ => None,
        };
        self.observations
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    /// Finds queries of class load that ran more than once, or that ran although they were rejected.
    fn repeated_effects(&self) -> Vec<String> {
        let fault = |query: &&Query| {
            let ran = self
                .attempts(query.id)
                .iter()
                .filter(|attempt| !attempt.declined)
                .count();
            match (query.class, &query.outcome) {
                (QueryClass::Report, _) => None,
                (QueryClass::Load, Outcome::Rejected) if ran > 0 => {
                    Some(format!("{:016x} was rejected but may have run", query.id))
                }
                (QueryClass::Load, _) if ran > 1 => {
                    Some(format!("{:016x} ran {ran} times", query.id))
                }
                (QueryClass::Load, _) => None,
            }
        };
        self.observations
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    /// Returns the time at which each gateway counts as notified that an engine takes no new attempts. The earliest
    /// notice decides.
    fn notified_times(&self) -> HashMap<(EngineId, usize), f64> {
        let mut delivered: HashMap<(u64, usize), f64> = HashMap::new();
        for delivery in &self.observations.deliveries {
            delivered
                .entry((delivery.number, delivery.gateway))
                .or_insert(delivery.delivered_at);
        }
        let mut notified_times = HashMap::new();
        for notice in &self.observations.notices {
            for gateway in 0..self.observations.gateways {
                let at = notified_at(notice, delivered.get(&(notice.number, gateway)).copied());
                let earliest: &mut f64 =
                    notified_times.entry((notice.engine, gateway)).or_insert(at);
                *earliest = earliest.min(at);
            }
        }
        notified_times
    }

    /// Finds attempts at engines that the gateway had been notified are draining or deleted.
    fn attempts_at_drained_engines(&self) -> Vec<String> {
        let notified_times = self.notified_times();
        let fault = |attempt: &&Attempt| {
            let notified = *notified_times.get(&(attempt.engine, attempt.gateway))?;
            let late = attempt.received_at - notified;
            let (gateway, engine) = (attempt.gateway, attempt.engine);
            (late > 0.0).then(|| {
                format!("gateway {gateway} sent an attempt to {engine} {late:.3} s after it was notified")
            })
        };
        self.observations
            .attempts
            .iter()
            .filter_map(|attempt| fault(&attempt))
            .collect()
    }

    /// Finds queries of one key that overlapped or ran in the wrong order, except those whose gateway was killed.
    fn order_violations(&self) -> Vec<String> {
        let mut by_key: BTreeMap<u64, Vec<&Query>> = BTreeMap::new();
        for query in &self.observations.queries {
            if let Some(key) = query.key.filter(|_| !self.was_killed(query)) {
                by_key.entry(key).or_default().push(query);
            }
        }
        by_key
            .values()
            .flat_map(|queries| self.order_violations_of_key(queries))
            .collect()
    }

    fn order_violations_of_key(&self, queries: &[&Query]) -> Vec<String> {
        let attempts = queries
            .iter()
            .flat_map(|query| self.attempts(query.id).iter().map(|a| (*query, *a)));
        let mut attempts: Vec<(&Query, &Attempt)> = attempts.filter(|(_, a)| !a.declined).collect();
        attempts.sort_by(|a, b| a.1.received_at.total_cmp(&b.1.received_at));
        let fault = |pair: &[(&Query, &Attempt)]| {
            let ((earlier, before), (later, after)) = (pair[0], pair[1]);
            let ended_at = before.ended_at.unwrap_or_else(|| before.abandoned_at());
            let ids = format!("{:016x} and {:016x}", earlier.id, later.id);
            if after.received_at < ended_at {
                return Some(format!(
                    "{ids} of one key overlapped by {:.3} s",
                    ended_at - after.received_at
                ));
            }
            (later.started_at < earlier.started_at)
                .then(|| format!("{ids} of one key ran in the wrong order"))
        };
        attempts.windows(2).filter_map(fault).collect()
    }

    /// Finds attempts received after their query was answered.
    fn attempts_after_answer(&self) -> Vec<String> {
        let fault = |attempt: &&Attempt| {
            let query = self.queries.get(&attempt.query)?;
            let late = attempt.received_at - query.answered_at;
            let was_answered =
                !matches!(query.outcome, Outcome::Lost(_) | Outcome::ConnectionRefused);
            (was_answered && late > IN_TRANSIT_ALLOWANCE_SECONDS)
                .then(|| format!("{:016x}: attempt {late:.3} s after the answer", query.id))
        };
        self.observations
            .attempts
            .iter()
            .filter_map(|attempt| fault(&attempt))
            .collect()
    }

    /// Finds terminated gateways that did not end by themselves with exit code 0.
    fn unclean_ends(&self) -> Vec<String> {
        let unclean = self
            .observations
            .outages
            .iter()
            .filter(|outage| !outage.killed && !outage.clean);
        unclean
            .map(|outage| format!("gateway {} did not end with exit code 0", outage.gateway))
            .collect()
    }
}

/// Returns the time at which a gateway counts as notified, given the time of delivery to it, if any.
fn notified_at(notice: &Notice, delivered: Option<f64>) -> f64 {
    let latest = notice.appended + NOTIFICATION_LIMIT_SECONDS;
    delivered.map_or(latest, |at| {
        latest.min(at + NOTIFICATION_AFTER_WRITE_SECONDS)
    })
}

/// Checks the measured values for which `expect` sets a bound.
fn bounds(observations: &Observations, expect: &Expect) -> Vec<Judgement> {
    let statistics = RunStatistics::new(observations);
    let count = |bound: Option<usize>| bound.map(|count| count as f64);
    let judgements = [
        at_most(
            "attempts at the busiest engine over the mean",
            statistics.max_over_mean,
            expect.spread_max_over_mean,
        ),
        at_most(
            "engines a gateway meets",
            statistics.engines_a_gateway,
            count(expect.engines_a_gateway),
        ),
        at_most(
            "gateways an engine meets",
            statistics.gateways_an_engine,
            count(expect.gateways_an_engine),
        ),
        at_most(
            "ms until 99 in 100 watchers see a change",
            statistics.change_seen_ms,
            expect.change_seen_ms,
        ),
        at_most(
            "ms until a gateway is ready",
            statistics.ready_ms,
            expect.ready_ms,
        ),
        succeeded_share(&statistics, expect),
    ];
    judgements.into_iter().flatten().collect()
}

/// Returns the judgement of an upper bound; `None` without a bound.
fn at_most(what: &'static str, found: f64, most: Option<f64>) -> Option<Judgement> {
    let most = most?;
    Some(Judgement {
        what,
        passed: found <= most,
        detail: format!("{found:.2}, at most {most}"),
    })
}

fn succeeded_share(statistics: &RunStatistics, expect: &Expect) -> Option<Judgement> {
    let least = expect.succeeded_share?;
    Some(Judgement {
        what: "share of queries that succeed",
        passed: statistics.succeeded_share >= least,
        detail: format!("{:.3}, at least {least}", statistics.succeeded_share),
    })
}
