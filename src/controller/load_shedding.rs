//! Sheds load: abandons waiting queries for which time or capacity does not suffice, starting with those of the lowest
//! value per second of work. Their clients are answered at once.

use super::key_order::KeyQueue;
use super::outlier_ejection::is_available;
use super::query_state::{QueryPhase, QueryState};
use super::{AdmissionController, MIN_DIVISOR, SUSTAINABLE_UTILISATION};
use crate::api::{Query, QueryId};

/// Fraction of the time until its latest start that a query may spend behind other work. Less than 1, because both are
/// estimates.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Upper limit of the expected service time, as a fraction of the latency objective and of the deadline. Without the
/// limit, a class whose estimates are too high would shed all its own queries.
const MAX_SERVICE_FRACTION: f64 = 0.9;
/// Uncertainty factor of the expected work of a query that came without an estimate. The mean work of a class is higher
/// than that of most of its queries.
const UNCERTAINTY_WITHOUT_ESTIMATE: f64 = 1.5;
/// Fraction of the gateway's capacity that open queries (waiting or in flight) may use before waiting ones are shed.
/// The rest is reserved for bursts.
const OPEN_QUERIES_CAPACITY_FRACTION: f64 = 0.5;
/// Time in seconds until the latest start that is assumed for a query that can no longer meet its latency objective.
/// The query may spend [`MAX_WAIT_FRACTION`] of it behind more valuable ones.
const LATE_QUERY_SLACK_SECONDS: f64 = 0.2;

/// Value and maximum wait of a waiting query.
struct SheddingEstimate {
    /// Value of the answer per second of work on one thread.
    value_density: f64,
    /// Seconds for which the query may wait behind other work; negative if an answer before the deadline is impossible.
    max_wait: f64,
}

impl SheddingEstimate {
    /// Returns whether an answer before the deadline is impossible, or an answer would have no value.
    fn is_too_late(&self) -> bool {
        self.value_density <= 0.0 || self.max_wait < 0.0
    }
}

/// Waiting query with the quantities that load shedding compares.
struct WaitingQuery {
    id: QueryId,
    shedding_estimate: SheddingEstimate,
    /// Expected work in seconds on one thread.
    work: f64,
    /// Fixed part of the latency objective of the query's class, in seconds.
    latency_objective: f64,
}

impl AdmissionController {
    fn shedding_estimate(&self, now: f64, state: &QueryState) -> SheddingEstimate {
        let class = &self.settings.classes[state.query.class];
        let uncontended_service = self.expected_work(&state.query) / class.threads;
        let service = self.expected_service(&state.query);
        let uncertainty = estimate_uncertainty(&state.query);
        let objective =
            class.latency_objective + class.latency_objective_stretch * uncontended_service;
        // An uncertain service time counts as longer for the latency objective, so that no query is started in vain,
        // and as shorter for the deadline, so that no query is abandoned that could still be answered.
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
        SheddingEstimate {
            value_density: class.priority_weight * value_share
                / (uncontended_service * class.threads).max(MIN_DIVISOR),
            max_wait: slack.min(until_deadline) * MAX_WAIT_FRACTION,
        }
    }

    /// Returns the expected time in flight of an attempt of the query, in seconds.
    fn expected_service(&self, query: &Query) -> f64 {
        let class = &self.settings.classes[query.class];
        let statistics = &self.class_statistics[query.class];
        // Before the first answer, the expected work is a fraction of the class's deadline, which can be hours. This
        // initial value must not lead to the rejection of queries that have only seconds left.
        let longest = if statistics.answers == 0 {
            class.deadline.min(query.remaining_time)
        } else {
            class.deadline
        };
        let service = self.expected_work(query) / class.threads * statistics.slowdown;
        service.min(longest * MAX_SERVICE_FRACTION)
    }

    /// Returns whether a queued query is pointless: an answer before the deadline is impossible, an answer would have
    /// no value, or the rules no longer allow the retry for which the query waits.
    pub(super) fn should_abandon(&self, now: f64, state: &QueryState) -> bool {
        let shedding_estimate = self.shedding_estimate(now, state);
        shedding_estimate.is_too_late() || (state.attempts > 0 && !self.may_retry(now, state))
    }

    /// Abandons the waiting queries that cannot be answered in time after the more valuable waiting queries, and those
    /// that exceed the capacity for open queries.
    pub(super) fn shed_load(&mut self, now: f64) {
        self.shed_key_queues(now);
        let mut waiting = self.waiting_queries(now);
        waiting.sort_by(|a, b| {
            let density_of = |waiting: &WaitingQuery| waiting.shedding_estimate.value_density;
            density_of(b).total_cmp(&density_of(a))
        });
        let work_rate = self.sustainable_work_rate(now);
        let mut capacity = self.open_queries_left() + waiting.len() as f64;
        let mut work_ahead = 0.0;
        let mut shortest_wait = f64::INFINITY;
        for WaitingQuery {
            id,
            shedding_estimate,
            work,
            latency_objective,
        } in waiting
        {
            capacity -= 1.0;
            let max_wait = shedding_estimate.max_wait.min(shortest_wait);
            if shedding_estimate.is_too_late()
                || capacity < 0.0
                || work_ahead / work_rate > max_wait
            {
                self.abandon(id);
                continue;
            }
            work_ahead += work;
            // Queues run in the order of admission, so less valuable queries can delay this one. They are kept only if
            // the work ahead of them takes at most `MAX_WAIT_FRACTION` of this query's latency objective.
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
                shedding_estimate: self.shedding_estimate(now, state),
                work: self.expected_work(&state.query),
                latency_objective: self.settings.classes[state.query.class].latency_objective,
            })
            .collect()
    }

    /// Returns the rate of work that the available engines can do for this gateway, in seconds of work on one thread
    /// per second.
    fn sustainable_work_rate(&self, now: f64) -> f64 {
        let ready = self.ready.iter().map(|id| &self.engines[*id]);
        let available = ready.filter(|engine| is_available(engine, now));
        let cores: f64 = available
            .map(|engine| self.effective_cores(now, engine))
            .sum();
        let gateways = self.pool_capacity.gateways(self.settings.gateways);
        (cores * SUSTAINABLE_UTILISATION / gateways).max(MIN_DIVISOR)
    }

    /// Abandons the queries of each ordering key that cannot be answered in time after the earlier queries of the key.
    /// More engines do not help, since the queries of a key run one at a time.
    fn shed_key_queues(&mut self, now: f64) {
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

    /// Returns the number of queries that can still be admitted before waiting ones are shed; negative if there are too
    /// many open queries.
    pub(super) fn open_queries_left(&self) -> f64 {
        self.settings.capacity.map_or(f64::INFINITY, |capacity| {
            capacity * OPEN_QUERIES_CAPACITY_FRACTION - self.queries.len() as f64
        })
    }
}

/// Returns the factor by which the true work of a query may differ from the expected work.
pub(super) fn estimate_uncertainty(query: &Query) -> f64 {
    match query.estimated_work {
        Some(_) => 1.0,
        None => UNCERTAINTY_WITHOUT_ESTIMATE,
    }
}
