//! Load shedding: of the queries that wait, those are given up for which there is no time or no capacity, the least
//! valuable for their work first. Their clients are answered at once.

use super::key_order::KeyQueue;
use super::outlier_ejection::is_available;
use super::query_state::{QueryPhase, QueryState};
use super::{AdmissionController, MIN_DIVISOR, SUSTAINABLE_UTILISATION};
use crate::api::{Query, QueryId};

/// Part of the time until it has to begin that the work ahead of a query may take; both are estimates.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Part of its objective and deadline that a query is assumed to need at most; no class may shut itself out.
const MAX_SERVICE_FRACTION: f64 = 0.9;
/// Factor by which the usual work of a class may miss a query's own: the mean lies above most queries.
const UNCERTAINTY_WITHOUT_ESTIMATE: f64 = 1.5;
/// Part of the gateway's capacity that open queries, waiting and in flight, may fill before waiting ones are shed; the rest is for
/// bursts.
const OPEN_QUERIES_CAPACITY_FRACTION: f64 = 0.5;
/// Seconds that a query past its objective may wait for more valuable ones.
const LATE_QUERY_SLACK_SECONDS: f64 = 0.2;

/// What can still be expected of a query that waits.
struct Prospect {
    /// Value of its answer for each second of work.
    value_density: f64,
    /// Seconds that work ahead of it may take; below 0 it is too late for it.
    max_wait: f64,
}

impl Prospect {
    /// Whether no answer of any value can come in time.
    fn is_too_late(&self) -> bool {
        self.value_density <= 0.0 || self.max_wait < 0.0
    }
}

/// A query that waits, with what shedding compares.
struct WaitingQuery {
    id: QueryId,
    prospect: Prospect,
    /// Expected work in seconds on one thread.
    work: f64,
    latency_objective: f64,
}

impl AdmissionController {
    fn prospect(&self, now: f64, state: &QueryState) -> Prospect {
        let class = &self.settings.classes[state.query.class];
        let bare_service = self.expected_work(&state.query) / class.threads;
        let service = self.expected_service(&state.query);
        let uncertainty = estimate_uncertainty(&state.query);
        let objective = class.latency_objective + class.latency_objective_stretch * bare_service;
        // For the objective an uncertain service counts as longer, so that a query is not begun in vain; for the deadline as
        // shorter, so that none is given up that may still be answered.
        let service_in_objective = (uncertainty * service).min(objective * MAX_SERVICE_FRACTION);
        let until_objective = state.admitted_at + objective - service_in_objective - now;
        let until_deadline = state.deadline - service / uncertainty - now;
        let is_late = until_objective < 0.0;
        let value_share = if is_late { class.late_value_share } else { 1.0 };
        let slack = if is_late {
            LATE_QUERY_SLACK_SECONDS
        } else {
            until_objective
        };
        Prospect {
            value_density: class.priority_weight * value_share
                / (bare_service * class.threads).max(MIN_DIVISOR),
            max_wait: slack.min(until_deadline) * MAX_WAIT_FRACTION,
        }
    }

    /// Seconds that an attempt of the query is likely to be in flight.
    fn expected_service(&self, query: &Query) -> f64 {
        let class = &self.settings.classes[query.class];
        let statistics = &self.class_statistics[query.class];
        // The first guess comes from a deadline that may be hours: it must shut out no query.
        let longest = if statistics.answers == 0 {
            class.deadline.min(query.remaining_time)
        } else {
            class.deadline
        };
        let service = self.expected_work(query) / class.threads * statistics.slowdown;
        service.min(longest * MAX_SERVICE_FRACTION)
    }

    /// Whether no answer of any value can come in time, or the rules now forbid the retry that the query waits for.
    pub(super) fn is_hopeless(&self, now: f64, state: &QueryState) -> bool {
        let prospect = self.prospect(now, state);
        prospect.is_too_late() || (state.attempts > 0 && !self.may_retry(now, state))
    }

    /// Gives up the queries that cannot be answered in time behind the more valuable ones that wait too.
    pub(super) fn shed_load(&mut self, now: f64) {
        self.shed_behind_keys(now);
        let mut waiting = self.waiting_queries(now);
        waiting.sort_by(|a, b| {
            let density_of = |waiting: &WaitingQuery| waiting.prospect.value_density;
            density_of(b).total_cmp(&density_of(a))
        });
        let work_rate = self.sustainable_work_rate(now);
        let mut capacity = self.open_queries_left() + waiting.len() as f64;
        let mut work_ahead = 0.0;
        let mut shortest_wait = f64::INFINITY;
        for WaitingQuery {
            id,
            prospect,
            work,
            latency_objective,
        } in waiting
        {
            capacity -= 1.0;
            let max_wait = prospect.max_wait.min(shortest_wait);
            if prospect.is_too_late() || capacity < 0.0 || work_ahead / work_rate > max_wait {
                self.abandon(id);
                continue;
            }
            work_ahead += work;
            // Queues run by age, so a less valuable query that is kept may hold up this one.
            shortest_wait = shortest_wait.min(latency_objective * MAX_WAIT_FRACTION);
        }
    }

    fn waiting_queries(&self, now: f64) -> Vec<WaitingQuery> {
        let queued = self
            .queries
            .values()
            .filter(|state| state.phase == QueryPhase::Queued);
        queued
            .map(|state| WaitingQuery {
                id: state.id(),
                prospect: self.prospect(now, state),
                work: self.expected_work(&state.query),
                latency_objective: self.settings.classes[state.query.class].latency_objective,
            })
            .collect()
    }

    /// Work that the available engines do a second for this gateway.
    fn sustainable_work_rate(&self, now: f64) -> f64 {
        let ready = self.ready.iter().map(|id| &self.engines[*id]);
        let available = ready.filter(|engine| is_available(engine, now));
        let cores: f64 = available
            .map(|engine| self.effective_cores(now, engine))
            .sum();
        let gateways = self.pool_capacity.gateways(self.settings.gateways);
        (cores * SUSTAINABLE_UTILISATION / gateways).max(MIN_DIVISOR)
    }

    /// Gives up the queries of each ordering key for which those ahead leave no time: no engine helps a hot key.
    fn shed_behind_keys(&mut self, now: f64) {
        let mut too_late = Vec::new();
        for key_queue in self.key_queues.values() {
            self.collect_too_late(now, key_queue, &mut too_late);
        }
        for id in too_late {
            self.abandon(id);
        }
    }

    fn collect_too_late(&self, now: f64, key_queue: &KeyQueue, too_late: &mut Vec<QueryId>) {
        let mut expected_end = now;
        for id in &key_queue.queries {
            let state = &self.queries[id];
            let query = &state.query;
            let end = expected_end + self.expected_service(query) / estimate_uncertainty(query);
            match state.phase {
                QueryPhase::WaitingForKey if end > state.deadline => too_late.push(*id),
                QueryPhase::WaitingForKey | QueryPhase::Queued => expected_end = end,
                QueryPhase::Abandoned | QueryPhase::InFlight | QueryPhase::ClosedInFlight => {}
            }
        }
    }

    /// Queries that may still be open before waiting ones are shed; below 0 there are too many.
    pub(super) fn open_queries_left(&self) -> f64 {
        self.settings.capacity.map_or(f64::INFINITY, |capacity| {
            capacity * OPEN_QUERIES_CAPACITY_FRACTION - self.queries.len() as f64
        })
    }
}

/// Factor by which a query's work may miss what is expected.
pub(super) fn estimate_uncertainty(query: &Query) -> f64 {
    match query.estimated_work {
        Some(_) => 1.0,
        None => UNCERTAINTY_WITHOUT_ESTIMATE,
    }
}
