//! Judges rule 1: every query gets exactly one whole final answer within its deadline, and no attempt is sent after the
//! answer. Also judges the share of queries that succeed.

use super::attempt::QueryName;
use super::finding::Finding;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Tolerated time past the deadline, because clients measure in milliseconds.
const DEADLINE_TOLERANCE_SECONDS: f64 = 0.001;

/// The final answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Succeeded,
    Rejected,
    Failed,
}

/// A query without a final answer.
struct OpenQuery {
    arrived_at: SimTime,
    class: usize,
    attempts: u32,
}

/// Tracks each query from its arrival to its final answer.
pub struct Queries {
    experiment: Rc<Experiment>,
    open: BTreeMap<QueryName, OpenQuery>,
    arrived: u64,
    succeeded: u64,
    rejected: u64,
    failed: u64,
    /// Queries whose gateway ended before it answered them.
    interrupted: u64,
    /// Answers after the deadline.
    late: u64,
    /// Answers to queries that are no longer open.
    repeated: u64,
    attempts_after_answer: u64,
}

impl Queries {
    pub fn new(experiment: Rc<Experiment>) -> Queries {
        Queries {
            experiment,
            open: BTreeMap::new(),
            arrived: 0,
            succeeded: 0,
            rejected: 0,
            failed: 0,
            interrupted: 0,
            late: 0,
            repeated: 0,
            attempts_after_answer: 0,
        }
    }

    pub fn arrived(&mut self, now: SimTime, name: QueryName, class: usize) {
        self.arrived += 1;
        self.open.insert(
            name,
            OpenQuery {
                arrived_at: now,
                class,
                attempts: 0,
            },
        );
    }

    pub fn answered(&mut self, now: SimTime, name: QueryName, answer: FinalAnswer) {
        let Some(query) = self.open.remove(&name) else {
            self.repeated += 1;
            return;
        };
        self.late += u64::from(self.past_deadline(&query, now));
        match answer {
            FinalAnswer::Succeeded => self.succeeded += 1,
            FinalAnswer::Rejected => self.rejected += 1,
            FinalAnswer::Failed => self.failed += 1,
        }
    }

    /// Counts an attempt that an engine received; returns the number of earlier attempts of the same query, or 0 if the
    /// query is not open.
    pub fn attempt_began(&mut self, name: QueryName) -> u32 {
        let Some(query) = self.open.get_mut(&name) else {
            self.attempts_after_answer += 1;
            return 0;
        };
        query.attempts += 1;
        query.attempts - 1
    }

    pub fn gateway_ended(&mut self, gateway: u32) {
        let all = QueryName { gateway, query: 0 }..=QueryName {
            gateway,
            query: u32::MAX,
        };
        let interrupted: Vec<QueryName> = self.open.range(all).map(|(name, _)| *name).collect();
        self.interrupted += interrupted.len() as u64;
        for name in interrupted {
            self.open.remove(&name);
        }
    }

    fn past_deadline(&self, query: &OpenQuery, now: SimTime) -> bool {
        now.since(query.arrived_at)
            > self.experiment.classes[query.class].deadline + DEADLINE_TOLERANCE_SECONDS
    }

    pub fn findings(&self, now: SimTime) -> Vec<Finding> {
        vec![self.answer_finding(now), self.success_finding()]
    }

    fn answered_total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    fn answer_finding(&self, now: SimTime) -> Finding {
        let unanswered = self
            .open
            .values()
            .filter(|query| self.past_deadline(query, now))
            .count() as u64;
        let faults = self.late + self.repeated + self.attempts_after_answer + unanswered;
        Finding::new(
            "rule 1, one final answer in time",
            faults == 0 && self.answered_total() > 0,
            format!(
                "{} queries: {unanswered} unanswered, {} late, {} answered twice, {} sent after the answer; \
                 {} broken off with their gateway, {} still open",
                self.arrived,
                self.late,
                self.repeated,
                self.attempts_after_answer,
                self.interrupted,
                self.open.len()
            ),
            &[
                ("queries", self.arrived as f64),
                ("unanswered", unanswered as f64),
                ("late", self.late as f64),
                ("repeated", self.repeated as f64),
                ("sent_after", self.attempts_after_answer as f64),
                ("broken", self.interrupted as f64),
            ],
        )
    }

    fn success_finding(&self) -> Finding {
        let answered = self.answered_total().max(1) as f64;
        let succeeded = self.succeeded as f64 / answered;
        let rejected = self.rejected as f64 / answered;
        let failed = self.failed as f64 / answered;
        let least = self.experiment.limits.succeeded;
        Finding::new(
            "queries that succeed",
            succeeded >= least,
            format!(
                "{:.2}% succeeded, {:.2}% rejected, {:.2}% failed; at least {:.2}%",
                succeeded * 100.0,
                rejected * 100.0,
                failed * 100.0,
                least * 100.0
            ),
            &[("succeeded", succeeded), ("rejected", rejected)],
        )
    }
}
