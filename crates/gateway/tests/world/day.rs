//! The simulated day: queries arrive, clients disconnect and endpoint lists change, until all queries have ended.

use super::figures::{ARRIVAL_PERIOD, TIME_STEP};
use super::gateway::QueryRecord;
use super::{seconds, InjectedBug, Rule, Simulation};
use garnetwall::api::{ListScope, Query, QueryId};

impl Simulation {
    /// Queues a query that the gateway has not read yet, as class, ordering key and time of arrival.
    fn query_arrives(&mut self, waiting: &mut Vec<(usize, Option<u64>, u64)>) {
        let (class, key) = (self.rng.draw(3) as usize, self.rng.draw(3));
        waiting.push((class, (class != 0).then_some(key), self.now));
    }

    /// Passes a query to the controller; `position` is its place in the order of arrival.
    fn admit(&mut self, position: usize, class: usize, key: Option<u64>, arrived_at: u64) {
        let id = self.queries.len() as QueryId;
        let deadline = arrived_at + if self.rng.one_in(6) { 900 } else { 5000 };
        let record = QueryRecord {
            class,
            key,
            position,
            deadline,
            client_left: false,
            answered: None,
            attempts: Vec::new(),
        };
        self.queries.push(record);
        let remaining = deadline.saturating_sub(self.now) as f64 / 1000.0;
        let data_set = id % 3;
        let query = Query {
            id,
            class,
            tenant: 0,
            ordering_key: key,
            remaining_time: remaining,
            estimated_work: None,
            estimated_memory: None,
            data_set,
            endpoint_subset: None,
        };
        self.controller.admit(seconds(self.now), query);
    }

    /// Disconnects the client of a random query that is still active.
    fn client_disconnects(&mut self) {
        let n = self.rng.draw(self.queries.len() as u64) as usize;
        let record = &mut self.queries[n];
        if record.answered.is_none() && !record.client_left {
            record.client_left = true;
            self.controller.client_left(seconds(self.now), n as QueryId);
        }
    }

    /// Runs the simulation to its end and returns the violations that were found.
    pub fn run(mut self) -> Vec<(Rule, String)> {
        let mut waiting = Vec::new();
        let mut positions = 0;
        let mut applied_at = 0;
        while self.now < ARRIVAL_PERIOD + 10_000 {
            self.advance_engines();
            if self.now < ARRIVAL_PERIOD && self.rng.one_in(6) {
                self.query_arrives(&mut waiting);
            }
            if !self.is_paused() {
                for engine in 0..self.processes.len() {
                    let before = self.endpoint_at(engine, applied_at).map(|line| line.state);
                    let updated = self
                        .endpoint_at(engine, self.now)
                        .filter(|line| before != Some(line.state));
                    self.controller
                        .update_endpoints(updated.as_slice(), ListScope::Delta);
                }
                applied_at = self.now;
                let mut arrivals: Vec<_> = waiting.drain(..).enumerate().collect();
                if self.bug == InjectedBug::ReordersArrivals {
                    arrivals.reverse();
                }
                let count = arrivals.len();
                for (n, (class, key, at)) in arrivals {
                    self.admit(positions + n, class, key, at);
                }
                positions += count;
                if !self.queries.is_empty() && self.rng.one_in(60) {
                    self.client_disconnects();
                }
                self.advance_gateway();
            }
            self.now += TIME_STEP;
        }
        let open = self
            .queries
            .iter()
            .filter(|record| record.answered.is_none() && !record.client_left)
            .count();
        if open > 0 {
            self.record_violation(Rule::Answer, format!("{open} queries have no answer"));
        }
        self.violations
    }
}
