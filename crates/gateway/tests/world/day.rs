//! The day that is played: batches come, clients leave, lists are told, until all is over.

use super::figures::{DAY, STEP};
use super::gateway::QueryRecord;
use super::{seconds, Rule, Slip, World};
use garnetwall::api::{Query, QueryId};

impl World {
    fn comes(&mut self, waiting: &mut Vec<(usize, Option<u64>, u64)>) {
        let (group, key) = (self.rng.draw(3) as usize, self.rng.draw(3));
        waiting.push((group, (group != 0).then_some(key), self.now));
    }

    fn take(&mut self, place: usize, group: usize, key: Option<u64>, came: u64) {
        let id = self.queries.len() as QueryId;
        let limit = came + if self.rng.one_in(6) { 900 } else { 5000 };
        let held = QueryRecord {
            group,
            key,
            place,
            limit,
            left: false,
            answered: None,
            dispatches: Vec::new(),
        };
        self.queries.push(held);
        let left = limit.saturating_sub(self.now) as f64 / 1000.0;
        let data_set = id % 3;
        let b = Query {
            id,
            class: group,
            tenant: 0,
            ordering_key: key,
            remaining_time: left,
            estimated_work: None,
            estimated_memory: None,
            data_set,
            endpoint_subset: None,
        };
        self.control.admit(seconds(self.now), b);
    }

    fn leaves(&mut self) {
        let n = self.rng.draw(self.queries.len() as u64) as usize;
        let h = &mut self.queries[n];
        if h.answered.is_none() && !h.left {
            h.left = true;
            self.control.client_left(seconds(self.now), n as QueryId);
        }
    }

    pub fn play(mut self) -> Vec<(Rule, String)> {
        let mut waiting = Vec::new();
        let mut places = 0;
        let mut told = 0;
        while self.now < DAY + 10_000 {
            self.engines();
            if self.now < DAY && self.rng.one_in(6) {
                self.comes(&mut waiting);
            }
            if !self.is_starved() {
                for engine in 0..self.processes.len() {
                    let before = self.line(engine, told).map(|l| l.state);
                    let line = self
                        .line(engine, self.now)
                        .filter(|l| before != Some(l.state));
                    self.control.update_endpoints(line.as_slice(), false);
                }
                told = self.now;
                let mut came: Vec<_> = waiting.drain(..).enumerate().collect();
                if self.slip == Slip::MixesArrivals {
                    came.reverse();
                }
                let all = came.len();
                for (n, (group, key, at)) in came {
                    self.take(places + n, group, key, at);
                }
                places += all;
                if !self.queries.is_empty() && self.rng.one_in(60) {
                    self.leaves();
                }
                self.gateway();
            }
            self.now += STEP;
        }
        let open = self
            .queries
            .iter()
            .filter(|b| b.answered.is_none() && !b.left)
            .count();
        if open > 0 {
            self.breaks(Rule::Answer, format!("{open} batches have no answer"));
        }
        self.broken
    }
}
