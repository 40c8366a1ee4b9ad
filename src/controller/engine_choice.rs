//! Chooses the engine for an attempt: the one with the fewest threads of this gateway per core, if possible among those
//! below the load limit. Above the limit, the query starts only with a certain probability (`start_probability`).

use super::candidate::Candidate;
use super::load::engine_load;
use super::outlier_ejection::is_available;
use super::query_state::{QueryPhase, QueryState};
use super::sampling::sample;
use super::start_probability::start_probability;
use super::{
    AdmissionController, MAX_PLACEMENT_RETRY_DELAY_SECONDS, MIN_PLACEMENT_RETRY_DELAY_SECONDS,
    WORK_DECAY_SECONDS,
};
use crate::api::{EngineId, Placement, Query, QueryId};

/// Size of the sample of engines that is examined if the list is more than twice as long.
const SAMPLE_SIZE: usize = 256;
/// Number of candidates in a sample below which the whole list is examined.
const MIN_SAMPLED_CANDIDATES: usize = 32;
/// Upper limit of the random addition to an engine's load, in units of the load limit. Keeps gateways with the same
/// information from all choosing the same engine.
const LOAD_JITTER: f64 = 0.3;

/// Engines that a query may use now.
struct Candidates {
    engines: Vec<Candidate>,
    /// Fraction of the ready engines that was examined.
    sampled_share: f64,
}

/// Values shared by all candidates of a kind.
struct KindSummary {
    kind: usize,
    /// Effective cores of all engines of the kind that the query may use; extrapolated if a sample was examined.
    effective_cores: f64,
    /// Load of the kind, in units of the load limit.
    load: f64,
    /// Recent work of this gateway for the kind, in seconds on one thread per effective core.
    work_per_core: f64,
}

/// Sort key of candidates, most important field first; the candidate with the lowest rank is chosen. With few attempts
/// in flight, the threads per core are often exactly equal, and the later fields break the tie.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// Whether the engine, with the query, is at or above the load limit, or the data set is locked there.
    is_last_resort: bool,
    /// This gateway's threads per core plus the engine's failure rate.
    threads_per_core: f64,
    kind_work_per_core: f64,
    load_with_jitter: f64,
}

/// Candidate with the lowest rank.
struct Choice {
    rank: Rank,
    engine: EngineId,
    kind: usize,
    /// Load of the engine with the query, in units of the load limit.
    load: f64,
}

impl AdmissionController {
    /// Decides what happens to a query now: an attempt, a wait or a final answer. The caller does this for each
    /// [`crate::api::NextAction::Place`].
    pub fn place(&mut self, now: f64, id: QueryId) -> Placement {
        self.observe_time(now);
        let Some(state) = self.queries.get(&id) else {
            return Placement::Wait;
        };
        match state.phase {
            QueryPhase::Queued if !self.should_abandon(now, state) => match self.choose(now, id) {
                Some(engine) => self.begin_attempt(now, id, engine),
                None => self.retry_placement_later(now, id),
            },
            QueryPhase::Queued | QueryPhase::Abandoned => {
                Placement::Answer(self.final_answer(now, id))
            }
            QueryPhase::WaitingForKey | QueryPhase::InFlight | QueryPhase::ClosedInFlight => {
                Placement::Wait
            }
        }
    }

    fn retry_placement_later(&mut self, now: f64, id: QueryId) -> Placement {
        let spread = MAX_PLACEMENT_RETRY_DELAY_SECONDS - MIN_PLACEMENT_RETRY_DELAY_SECONDS;
        let at = now + MIN_PLACEMENT_RETRY_DELAY_SECONDS + self.rng.uniform() * spread;
        self.hold_class_until(id, at);
        Placement::Wait
    }

    /// Returns the engine at which an attempt of the query starts now; `None` if no attempt starts.
    fn choose(&mut self, now: f64, id: QueryId) -> Option<EngineId> {
        let candidates = self.candidates(now, id);
        let query = self.queries[&id].query;
        let kinds = self.summarize_kinds(now, &candidates);
        let locked = self.engines_with_locked_data(&query);
        let choice = self.best_candidate(now, &query, &candidates, &kinds, &locked)?;
        // A query that blocks on a locked data set uses up the gateway's capacity, so none starts there when capacity
        // is short.
        if locked.contains(&choice.engine) && self.open_queries_left() < 0.0 {
            return None;
        }
        let kind_cores = summary_of(&kinds, choice.kind).effective_cores;
        let kind_load_with_query = self.kind_load_with_query(now, choice.kind, kind_cores, &query);
        let load = choice.load.max(kind_load_with_query);
        let starts =
            load < 1.0 || self.rng.uniform() < self.probability_to_begin(now, &query, load);
        starts.then_some(choice.engine)
    }

    fn probability_to_begin(&self, now: f64, query: &Query, load: f64) -> f64 {
        let mean_query_work = self.mean_query_work.mean(now, WORK_DECAY_SECONDS, 0.0);
        start_probability(load, self.expected_work(query), mean_query_work)
    }

    fn best_candidate(
        &mut self,
        now: f64,
        query: &Query,
        candidates: &Candidates,
        kinds: &[KindSummary],
        locked: &[EngineId],
    ) -> Option<Choice> {
        let needed_memory = self.expected_memory(query);
        let mean_threads_per_core = mean_threads_per_core(&candidates.engines);
        let mut best: Option<Choice> = None;
        for candidate in &candidates.engines {
            let engine = &self.engines[candidate.engine];
            let kind = summary_of(kinds, candidate.kind);
            let engine_load = engine_load(now, kind.load, engine);
            let load =
                self.load_with_query(query, needed_memory, candidate, engine_load, kind.load);
            let threads_per_core = candidate.threads_per_core.unwrap_or(mean_threads_per_core);
            let rank = Rank {
                is_last_resort: locked.contains(&candidate.engine) || load >= 1.0,
                threads_per_core: threads_per_core + engine.health.failure_rate(now),
                kind_work_per_core: kind.work_per_core,
                load_with_jitter: engine_load + LOAD_JITTER * self.rng.uniform(),
            };
            if best.as_ref().is_none_or(|best| rank < best.rank) {
                best = Some(Choice {
                    rank,
                    engine: candidate.engine,
                    kind: candidate.kind,
                    load,
                });
            }
        }
        best
    }

    /// Returns the engines that a query may use now. If the list is long and the query has no endpoint subset, only a
    /// random sample is examined, unless it contains too few candidates.
    fn candidates(&mut self, now: f64, id: QueryId) -> Candidates {
        let state = &self.queries[&id];
        if !self.may_begin_attempt(now, state) {
            return Candidates {
                engines: Vec::new(),
                sampled_share: 1.0,
            };
        }
        let is_long_list = self.ready.len() > 2 * SAMPLE_SIZE;
        if is_long_list && state.query.endpoint_subset.is_none() {
            let sample = sample(&mut self.rng, &self.ready, SAMPLE_SIZE);
            let engines = self.eligible_engines(now, id, &sample);
            if engines.len() >= MIN_SAMPLED_CANDIDATES {
                return Candidates {
                    engines,
                    sampled_share: SAMPLE_SIZE as f64 / self.ready.len() as f64,
                };
            }
        }
        Candidates {
            engines: self.eligible_engines(now, id, &self.ready),
            sampled_share: 1.0,
        }
    }

    /// Returns those of `engines` that a query may use now. If the query has an endpoint subset, these are the engines
    /// of the first priority level that contains any.
    fn eligible_engines(&self, now: f64, id: QueryId, engines: &[EngineId]) -> Vec<Candidate> {
        let state = &self.queries[&id];
        let work = self.expected_work(&state.query);
        let eligible = |id: &EngineId| self.eligible_candidate(now, state, work, *id);
        let mut found = Vec::with_capacity(engines.len());
        let Some(subset) = state.query.endpoint_subset else {
            found.extend(engines.iter().filter_map(eligible));
            return found;
        };
        for level in self.priority_levels(subset) {
            let in_level = engines.iter().filter(|id| level.contains(**id));
            found.extend(in_level.filter_map(eligible));
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    fn eligible_candidate(
        &self,
        now: f64,
        state: &QueryState,
        work: f64,
        id: EngineId,
    ) -> Option<Candidate> {
        let engine = &self.engines[id];
        if !is_available(engine, now) {
            return None;
        }
        let candidate = Candidate::new(id, engine, self.effective_cores(now, engine));
        self.engine_eligible(now, state, work, &candidate)
            .then_some(candidate)
    }

    /// Returns the summaries of the candidates' kinds, sorted by kind.
    fn summarize_kinds(&self, now: f64, candidates: &Candidates) -> Vec<KindSummary> {
        let mut kinds: Vec<KindSummary> = Vec::new();
        for candidate in &candidates.engines {
            let cores = candidate.effective_cores / candidates.sampled_share;
            match kinds.binary_search_by_key(&candidate.kind, |summary| summary.kind) {
                Ok(position) => kinds[position].effective_cores += cores,
                Err(position) => kinds.insert(
                    position,
                    KindSummary {
                        kind: candidate.kind,
                        effective_cores: cores,
                        load: 0.0,
                        work_per_core: 0.0,
                    },
                ),
            }
        }
        for summary in &mut kinds {
            let state = self.kinds.get(&summary.kind);
            let work = state.map_or(0.0, |kind| kind.recent_work.sum(now, WORK_DECAY_SECONDS));
            summary.load = self.kind_load(now, summary.kind);
            summary.work_per_core = work / summary.effective_cores;
        }
        kinds
    }
}

/// Returns the summary of a kind, which must be the kind of one of the candidates.
fn summary_of(kinds: &[KindSummary], kind: usize) -> &KindSummary {
    let position = kinds.partition_point(|summary| summary.kind < kind);
    &kinds[position]
}

/// Returns the mean of this gateway's threads per core over the candidates that have been contacted; 0 if there are
/// none.
fn mean_threads_per_core(candidates: &[Candidate]) -> f64 {
    let mut count = 0;
    let mut sum = 0.0;
    for threads_per_core in candidates.iter().filter_map(|c| c.threads_per_core) {
        count += 1;
        sum += threads_per_core;
    }
    sum / f64::from(count.max(1))
}
