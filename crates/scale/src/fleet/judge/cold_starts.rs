//! Judges rule 4: the gateways together keep to the slow-start budget of a cold engine, and use enough of it.

use super::attempt::SeenAttempt;
use super::endpoint_history::KnownEndpoint;
use super::finding::Finding;
use crate::fleet::change_log::EndpointUpdate;
use crate::fleet::cold_engine::{budget, limit_queries, ColdWindow, ColdWork};
use crate::fleet::engine::Site;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use crate::statistics::quantile;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A window over its limit breaks the rule if more than this share of its work came from gateways that had been
/// notified of the engine's start.
const NOTIFIED_SHARE_LIMIT: f64 = 2.0 / 3.0;
/// Time within which the change log has to announce the start of an engine.
const START_ANNOUNCEMENT_LIMIT_SECONDS: f64 = 2.0;

/// An engine that is still cold.
struct ColdStart {
    at: SimTime,
    window: ColdWindow,
    /// Work in core seconds received from notified gateways since the start.
    notified_work: f64,
    /// Work in core seconds received from all gateways since the start.
    all_work: f64,
}

/// An engine that stayed up until it was warm. Both shares are relative to its budget for the whole cold time.
struct CompletedColdStart {
    notified_share: f64,
    all_share: f64,
}

/// Sums the work that each cold engine receives, per window and over its whole cold time.
pub struct ColdStarts {
    experiment: Rc<Experiment>,
    mean_work: f64,
    sites: Vec<Site>,
    in_progress: BTreeMap<usize, ColdStart>,
    completed: Vec<CompletedColdStart>,
    /// Starts that the change log has not announced yet, by engine.
    unannounced_starts: BTreeMap<usize, SimTime>,
    starts: u64,
    /// Starts announced after [`START_ANNOUNCEMENT_LIMIT_SECONDS`].
    announced_late: u64,
    /// Announced starts of engines that are still cold.
    announced_cold: BTreeSet<(SimTime, usize)>,
    /// Largest number of entries in `announced_cold` so far.
    max_announced_cold: usize,
    crashes: u64,
    /// Attempts with which a window exceeded its limit.
    windows_over_limit: u64,
    /// The part of `windows_over_limit` where notified gateways sent more than [`NOTIFIED_SHARE_LIMIT`] of the work.
    windows_over_limit_by_notified: u64,
    /// Largest work of notified gateways in a window, relative to the window's limit.
    max_notified_fill: f64,
    /// Largest work of all gateways in a window, relative to the window's limit.
    max_total_fill: f64,
}

impl ColdStarts {
    pub fn new(experiment: Rc<Experiment>, mean_work: f64) -> ColdStarts {
        ColdStarts {
            experiment,
            mean_work,
            sites: Vec::new(),
            in_progress: BTreeMap::new(),
            completed: Vec::new(),
            unannounced_starts: BTreeMap::new(),
            starts: 0,
            announced_late: 0,
            announced_cold: BTreeSet::new(),
            max_announced_cold: 0,
            crashes: 0,
            windows_over_limit: 0,
            windows_over_limit_by_notified: 0,
            max_notified_fill: 0.0,
            max_total_fill: 0.0,
        }
    }

    pub fn engine_added(&mut self, site: Site) {
        self.sites.push(site);
    }

    pub fn started(&mut self, now: SimTime, engine: usize) {
        self.stopped(engine);
        let start = ColdStart {
            at: now,
            window: ColdWindow::default(),
            notified_work: 0.0,
            all_work: 0.0,
        };
        self.in_progress.insert(engine, start);
        self.unannounced_starts.insert(engine, now);
        self.starts += 1;
    }

    /// Drops the cold start of an engine that stopped before it was warm. Its share of the budget would be incomplete.
    pub fn stopped(&mut self, engine: usize) {
        self.in_progress.remove(&engine);
        self.unannounced_starts.remove(&engine);
    }

    pub fn crashed(&mut self) {
        self.crashes += 1;
    }

    pub fn published(&mut self, now: SimTime, updates: &[EndpointUpdate]) {
        for update in updates {
            let Some(started) = update.started else {
                continue;
            };
            self.announced_cold.insert((started, update.engine));
            if self.unannounced_starts.get(&update.engine) == Some(&started) {
                self.unannounced_starts.remove(&update.engine);
                self.announced_late +=
                    u64::from(now.since(started) > START_ANNOUNCEMENT_LIMIT_SECONDS);
            }
        }
        let warm_after = self.experiment.cold.warm_after;
        while self
            .announced_cold
            .first()
            .is_some_and(|(started, _)| now.since(*started) >= warm_after)
        {
            self.announced_cold.pop_first();
        }
        self.max_announced_cold = self.max_announced_cold.max(self.announced_cold.len());
    }

    pub fn attempt_began(
        &mut self,
        now: SimTime,
        attempt: SeenAttempt,
        known: Option<KnownEndpoint>,
    ) {
        let cold = &self.experiment.cold;
        let Some(start) = self.in_progress.get_mut(&attempt.engine) else {
            return;
        };
        if now.since(start.at) >= cold.warm_after {
            self.complete(attempt.engine);
            return;
        }
        let notified = known.is_some_and(|endpoint| endpoint.started == Some(start.at));
        start.all_work += attempt.work;
        start.notified_work += if notified { attempt.work } else { 0.0 };
        let sum = start.window.add(
            cold,
            self.mean_work,
            ColdWork {
                received_at: now,
                work: attempt.work,
                notified,
            },
        );
        let limit = limit_queries(budget(
            cold,
            self.sites[attempt.engine].cores,
            self.mean_work,
        ));
        if sum.all > limit {
            self.windows_over_limit += 1;
            self.windows_over_limit_by_notified +=
                u64::from(sum.notified > sum.all * NOTIFIED_SHARE_LIMIT);
        }
        self.max_notified_fill = self.max_notified_fill.max(sum.notified / limit);
        self.max_total_fill = self.max_total_fill.max(sum.all / limit);
    }

    /// Moves an engine that has become warm to `completed`, with the shares of its budget that it received.
    fn complete(&mut self, engine: usize) {
        let Some(start) = self.in_progress.remove(&engine) else {
            return;
        };
        let cold = &self.experiment.cold;
        let budget = cold.multiple * cold.starts_at * self.sites[engine].cores * cold.warm_after;
        let (notified_share, all_share) = (start.notified_work / budget, start.all_work / budget);
        self.completed.push(CompletedColdStart {
            notified_share,
            all_share,
        });
    }

    pub fn findings(&mut self, now: SimTime) -> Vec<Finding> {
        let warm_after = self.experiment.cold.warm_after;
        let warm = |(engine, start): (&usize, &ColdStart)| {
            (now.since(start.at) >= warm_after).then_some(*engine)
        };
        let warm: Vec<usize> = self.in_progress.iter().filter_map(warm).collect();
        warm.into_iter().for_each(|engine| self.complete(engine));
        vec![
            self.sum_finding(),
            self.share_finding(),
            self.announcement_finding(now),
        ]
    }

    fn sum_finding(&self) -> Finding {
        Finding::new(
            "rule 4, cold engines under the sum",
            self.windows_over_limit_by_notified == 0,
            format!(
                "{} starts, {} falls; windows over budget and chance: {}, {} of them by gateways that were told; \
                 fullest window {:.2} by those told, {:.2} by all",
                self.starts,
                self.crashes,
                self.windows_over_limit,
                self.windows_over_limit_by_notified,
                self.max_notified_fill,
                self.max_total_fill
            ),
            &[
                ("starts", self.starts as f64),
                ("falls", self.crashes as f64),
                ("over", self.windows_over_limit as f64),
                ("over_by_told", self.windows_over_limit_by_notified as f64),
                ("fullest_told", self.max_notified_fill),
                ("fullest_all", self.max_total_fill),
            ],
        )
    }

    fn sorted_shares(&self, share: fn(&CompletedColdStart) -> f64) -> Vec<f64> {
        let mut shares: Vec<f64> = self.completed.iter().map(share).collect();
        shares.sort_by(f64::total_cmp);
        shares
    }

    fn share_finding(&self) -> Finding {
        let notified = self.sorted_shares(|start| start.notified_share);
        let all = self.sorted_shares(|start| start.all_share);
        let (least, median) = (quantile(&notified, 0.0), quantile(&notified, 0.5));
        let (tenth, most) = (quantile(&notified, 0.1), quantile(&notified, 1.0));
        let needed = self.experiment.limits.cold_share_p50;
        let requirement = needed.map_or("not judged".into(), |least| {
            format!("at least {least:.2} in the median")
        });
        let figure = format!(
            "{} cold times whole: got {median:.2} of the budget from gateways told (least {least:.2}, \
                 p10 {tenth:.2}, most {most:.2}), {:.2} from all; {requirement}",
            self.completed.len(),
            quantile(&all, 0.5)
        );
        let values = [
            ("cold_times", self.completed.len() as f64),
            ("told_p50", median),
            ("told_least", least),
            ("told_p10", tenth),
            ("told_most", most),
            ("all_p50", quantile(&all, 0.5)),
        ];
        let name = "cold budget used";
        match needed {
            Some(needed) => Finding::new(
                name,
                !self.completed.is_empty() && median >= needed,
                figure,
                &values,
            ),
            None => Finding::unjudged(name, figure, &values),
        }
    }

    fn announcement_finding(&self, now: SimTime) -> Finding {
        let overdue = |at: &&SimTime| now.since(**at) > START_ANNOUNCEMENT_LIMIT_SECONDS;
        let unannounced = self.unannounced_starts.values().filter(overdue).count() as u64;
        Finding::new(
            "engines told cold",
            unannounced + self.announced_late == 0,
            format!(
                "{} starts: {unannounced} not told, {} told late; at most {} engines told cold at once",
                self.starts, self.announced_late, self.max_announced_cold
            ),
            &[
                ("starts", self.starts as f64),
                ("untold", unannounced as f64),
                ("told_late", self.announced_late as f64),
                ("most_told_cold", self.max_announced_cold as f64),
            ],
        )
    }
}
