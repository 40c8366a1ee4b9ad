//! The judge: holds what was seen from outside to the rules. It knows nothing of how gateways decide.

use super::experiment::Expect;
use super::facts::{Attempt, Facts, Group, Notice, Outcome, Query};
use super::roster::EngineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Sockets take this much longer than a query's limit.
const SOCKET_ALLOWANCE: f64 = 0.05;
/// An attempt that came this much after the answer may have been on its way.
const ON_ITS_WAY: f64 = 0.05;
/// What the log has counts as told by then, whether or not it was written.
const TOLD_AT_LATEST: f64 = 7.0;
/// What was written to a gateway's watch counts as told by then.
const TOLD_AFTER_WRITE: f64 = 1.0;
/// Violations that are told one by one.
const MOST_TOLD: usize = 3;

/// One thing that was judged.
#[derive(Clone, Debug)]
pub struct Judgement {
    pub what: &'static str,
    pub passed: bool,
    pub detail: String,
}

/// Judges everything.
pub fn judge(facts: &Facts, expect: &Expect) -> Vec<Judgement> {
    let index = Index::new(facts);
    let mut judgements = vec![
        rule("something was played", index.nothing_played()),
        rule("one whole answer within its limit", index.answers()),
        rule("rows as an engine made them", index.rows()),
        rule("no effect twice", index.effects()),
        rule(
            "nothing new to an engine told draining or gone",
            index.drains(),
        ),
        rule("one at a time for each key", index.order()),
        rule("nothing sent after the answer", index.after_answer()),
        rule("terminated gateways end cleanly", index.ends()),
    ];
    judgements.extend(bounds(facts, expect));
    judgements
}

fn rule(what: &'static str, violations: Vec<String>) -> Judgement {
    let told = violations
        .iter()
        .take(MOST_TOLD)
        .cloned()
        .collect::<Vec<_>>()
        .join("; ");
    let detail = match violations.len() {
        0 => "none broke it".to_string(),
        count => format!("{count} broke it: {told}"),
    };
    Judgement {
        what,
        passed: violations.is_empty(),
        detail,
    }
}

struct Index<'a> {
    facts: &'a Facts,
    attempts: HashMap<u64, Vec<&'a Attempt>>,
    queries: HashMap<u64, &'a Query>,
}

impl<'a> Index<'a> {
    fn new(facts: &'a Facts) -> Index<'a> {
        let mut attempts: HashMap<u64, Vec<&Attempt>> = HashMap::new();
        for attempt in &facts.attempts {
            attempts.entry(attempt.query).or_default().push(attempt);
        }
        let queries = facts
            .queries
            .iter()
            .map(|query| (query.id, query))
            .collect();
        Index {
            facts,
            attempts,
            queries,
        }
    }

    fn attempts(&self, query: u64) -> &[&'a Attempt] {
        self.attempts.get(&query).map_or(&[], Vec::as_slice)
    }

    /// Whether the query's gateway was killed while the query was open.
    fn was_killed(&self, query: &Query) -> bool {
        let cut = |from: f64| query.sent <= from && from <= query.answered + SOCKET_ALLOWANCE;
        self.facts
            .outages
            .iter()
            .any(|o| o.killed && o.gateway == query.gateway && cut(o.from))
    }

    /// A run in which nothing succeeded shows nothing.
    fn nothing_played(&self) -> Vec<String> {
        let succeeded = |query: &&Query| matches!(query.outcome, Outcome::Succeeded { .. });
        match self.facts.queries.iter().find(succeeded) {
            Some(_) => Vec::new(),
            None => vec![format!(
                "of {} queries none succeeded",
                self.facts.queries.len()
            )],
        }
    }

    fn answers(&self) -> Vec<String> {
        let fault = |query: &&Query| {
            let took = query.answered - query.sent;
            match &query.outcome {
                Outcome::Lost(why) if !self.was_killed(query) => {
                    Some(format!("{:016x} lost: {why}", query.id))
                }
                Outcome::Garbled(why) => Some(format!("{:016x} garbled: {why}", query.id)),
                Outcome::Succeeded { .. } | Outcome::Rejected | Outcome::Failed
                    if took > query.limit + SOCKET_ALLOWANCE =>
                {
                    Some(format!(
                        "{:016x} took {took:.3} s of {:.3} s",
                        query.id, query.limit
                    ))
                }
                _ => None,
            }
        };
        self.facts
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    fn rows(&self) -> Vec<String> {
        let fault = |query: &&Query| match &query.outcome {
            Outcome::Succeeded { engine } => {
                let made = |a: &&Attempt| a.succeeded && a.engine.to_string() == *engine;
                let found = self.attempts(query.id).iter().any(made);
                (!found).then(|| format!("{:016x}: {engine} made no such rows", query.id))
            }
            _ => None,
        };
        self.facts
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    fn effects(&self) -> Vec<String> {
        let fault = |query: &&Query| {
            let ran = self
                .attempts(query.id)
                .iter()
                .filter(|attempt| !attempt.declined)
                .count();
            match (query.group, &query.outcome) {
                (Group::Report, _) => None,
                (Group::Load, Outcome::Rejected) if ran > 0 => {
                    Some(format!("{:016x} was rejected and may have run", query.id))
                }
                (Group::Load, _) if ran > 1 => Some(format!("{:016x} ran {ran} times", query.id)),
                (Group::Load, _) => None,
            }
        };
        self.facts
            .queries
            .iter()
            .filter_map(|query| fault(&query))
            .collect()
    }

    /// When each gateway counts as told that an engine takes nothing new, the earliest notice of it.
    fn told(&self) -> HashMap<(EngineId, usize), f64> {
        let mut delivered: HashMap<(u64, usize), f64> = HashMap::new();
        for delivery in &self.facts.deliveries {
            delivered
                .entry((delivery.number, delivery.gateway))
                .or_insert(delivery.at);
        }
        let mut told = HashMap::new();
        for notice in &self.facts.notices {
            for gateway in 0..self.facts.gateways {
                let at = told_at(notice, delivered.get(&(notice.number, gateway)).copied());
                let earliest: &mut f64 = told.entry((notice.engine, gateway)).or_insert(at);
                *earliest = earliest.min(at);
            }
        }
        told
    }

    fn drains(&self) -> Vec<String> {
        let told = self.told();
        let fault = |attempt: &&Attempt| {
            let told = *told.get(&(attempt.engine, attempt.gateway))?;
            let late = attempt.came - told;
            let (gateway, engine) = (attempt.gateway, attempt.engine);
            (late > 0.0).then(|| {
                format!("gateway {gateway} sent to {engine} {late:.3} s after it was told")
            })
        };
        self.facts
            .attempts
            .iter()
            .filter_map(|attempt| fault(&attempt))
            .collect()
    }

    fn order(&self) -> Vec<String> {
        let mut by_key: BTreeMap<u64, Vec<&Query>> = BTreeMap::new();
        for query in &self.facts.queries {
            if let Some(key) = query.key.filter(|_| !self.was_killed(query)) {
                by_key.entry(key).or_default().push(query);
            }
        }
        by_key
            .values()
            .flat_map(|queries| self.order_of_key(queries))
            .collect()
    }

    fn order_of_key(&self, queries: &[&Query]) -> Vec<String> {
        let attempts = queries
            .iter()
            .flat_map(|query| self.attempts(query.id).iter().map(|a| (*query, *a)));
        let mut attempts: Vec<(&Query, &Attempt)> = attempts.filter(|(_, a)| !a.declined).collect();
        attempts.sort_by(|a, b| a.1.came.total_cmp(&b.1.came));
        let fault = |pair: &[(&Query, &Attempt)]| {
            let ((earlier, before), (later, after)) = (pair[0], pair[1]);
            let over = before.over.unwrap_or_else(|| before.unasked());
            let ids = format!("{:016x} and {:016x}", earlier.id, later.id);
            if after.came < over {
                return Some(format!(
                    "{ids} of one key ran {:.3} s together",
                    over - after.came
                ));
            }
            (later.sent < earlier.sent).then(|| format!("{ids} of one key ran in the wrong order"))
        };
        attempts.windows(2).filter_map(fault).collect()
    }

    fn after_answer(&self) -> Vec<String> {
        let fault = |attempt: &&Attempt| {
            let query = self.queries.get(&attempt.query)?;
            let late = attempt.came - query.answered;
            let answered = !matches!(query.outcome, Outcome::Lost(_) | Outcome::NotTaken);
            (answered && late > ON_ITS_WAY)
                .then(|| format!("{:016x} sent {late:.3} s after its answer", query.id))
        };
        self.facts
            .attempts
            .iter()
            .filter_map(|attempt| fault(&attempt))
            .collect()
    }

    fn ends(&self) -> Vec<String> {
        let unclean = self
            .facts
            .outages
            .iter()
            .filter(|outage| !outage.killed && !outage.clean);
        unclean
            .map(|outage| format!("gateway {} did not end with 0", outage.gateway))
            .collect()
    }
}

fn told_at(notice: &Notice, delivered: Option<f64>) -> f64 {
    let latest = notice.appended + TOLD_AT_LATEST;
    delivered.map_or(latest, |at| latest.min(at + TOLD_AFTER_WRITE))
}

/// What is measured, and held to a bound where one is expected.
fn bounds(facts: &Facts, expect: &Expect) -> Vec<Judgement> {
    let measured = Measured::new(facts);
    let whole = |bound: Option<usize>| bound.map(|n| n as f64);
    let bounds = [
        (
            "attempts at the busiest engine over the mean",
            measured.max_over_mean,
            expect.spread_max_over_mean,
        ),
        (
            "engines a gateway meets",
            measured.engines_a_gateway,
            whole(expect.engines_a_gateway),
        ),
        (
            "gateways an engine meets",
            measured.gateways_an_engine,
            whole(expect.gateways_an_engine),
        ),
        (
            "ms until 99 in 100 watchers see a change",
            measured.change_seen_ms,
            expect.change_seen_ms,
        ),
        (
            "ms until a gateway is ready",
            measured.ready_ms,
            expect.ready_ms,
        ),
    ];
    let at_most = bounds.into_iter().filter_map(|(what, found, most)| {
        let most = most?;
        Some(Judgement {
            what,
            passed: found <= most,
            detail: format!("{found:.2}, at most {most}"),
        })
    });
    let share = expect.succeeded_share.map(|least| Judgement {
        what: "share of queries that succeed",
        passed: measured.succeeded_share >= least,
        detail: format!("{:.3}, at least {least}", measured.succeeded_share),
    });
    at_most.chain(share).collect()
}

/// Figures of a run.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Measured {
    pub max_over_mean: f64,
    pub p99_over_mean: f64,
    /// The slot of the busiest engine.
    pub busiest: usize,
    /// Engines that got an attempt.
    pub engines_used: usize,
    /// The most engines that one gateway opened connections to.
    pub engines_a_gateway: f64,
    /// The most gateways that opened connections to one engine.
    pub gateways_an_engine: f64,
    /// The worst of all changes; infinite where fewer than 99 in 100 saw it.
    pub change_seen_ms: f64,
    pub ready_ms: f64,
    pub succeeded_share: f64,
}

impl Measured {
    pub fn new(facts: &Facts) -> Measured {
        let mut loads = vec![0.0; facts.engines];
        let mut holders = vec![0_usize; facts.engines];
        for attempt in facts.attempts.iter().filter(|attempt| !attempt.declined) {
            loads[attempt.engine.slot] += 1.0;
        }
        for slot in facts.met.values().flatten() {
            holders[*slot] += 1;
        }
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let busiest = (0..loads.len())
            .max_by(|a, b| loads[*a].total_cmp(&loads[*b]))
            .unwrap_or(0);
        let engines_used = loads.iter().filter(|load| **load > 0.0).count();
        loads.sort_by(f64::total_cmp);
        let over_mean = |part: f64| {
            quantile(&loads, part).map_or(0.0, |load| load / mean.max(f64::MIN_POSITIVE))
        };
        let succeeded = |query: &&Query| matches!(query.outcome, Outcome::Succeeded { .. });
        let succeeded = facts.queries.iter().filter(succeeded).count() as f64;
        let seen = facts
            .changes
            .iter()
            .map(|change| 1000.0 * seen_by_99_in_100(change, facts.watchers));
        Measured {
            max_over_mean: over_mean(1.0),
            p99_over_mean: over_mean(0.99),
            busiest,
            engines_used,
            engines_a_gateway: facts.met.values().map(BTreeSet::len).max().unwrap_or(0) as f64,
            gateways_an_engine: holders.into_iter().max().unwrap_or(0) as f64,
            change_seen_ms: seen.fold(0.0, f64::max),
            ready_ms: 1000.0 * facts.ready.iter().copied().fold(0.0, f64::max),
            succeeded_share: succeeded / facts.queries.len().max(1) as f64,
        }
    }
}

/// The value of sorted ones that this part of them is at or under.
pub fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}

/// Seconds until 99 in 100 of the watchers had seen a change; infinite where fewer did.
pub fn seen_by_99_in_100(change: &super::facts::ChangeSeen, watchers: usize) -> f64 {
    let mut seconds = change.seconds.clone();
    seconds.sort_by(f64::total_cmp);
    let rank = (0.99 * watchers as f64).ceil() as usize;
    match rank {
        0 => 0.0,
        rank => seconds.get(rank - 1).copied().unwrap_or(f64::INFINITY),
    }
}
