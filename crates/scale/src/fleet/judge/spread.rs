//! Judges how evenly the work per core is spread over the engines that ran undisturbed during the whole run.

use super::attempt::SeenAttempt;
use super::finding::Finding;
use crate::fleet::engine::Site;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use crate::statistics::quantile;
use std::rc::Rc;

/// The work that one engine received.
struct EngineWork {
    cores: f64,
    /// Work in core seconds since the end of the settling time.
    work: f64,
    /// Whether the engine was neither started, stopped, drained nor silent during the run.
    undisturbed: bool,
}

/// Sums the work that each engine receives after the settling time.
pub struct Spread {
    experiment: Rc<Experiment>,
    /// End of the settling time.
    settled: SimTime,
    engines: Vec<EngineWork>,
}

impl Spread {
    pub fn new(experiment: Rc<Experiment>) -> Spread {
        let settled = SimTime::from_seconds(experiment.settle);
        Spread {
            experiment,
            settled,
            engines: Vec::new(),
        }
    }

    pub fn engine_added(&mut self, site: Site) {
        self.engines.push(EngineWork {
            cores: site.cores,
            work: 0.0,
            undisturbed: true,
        });
    }

    pub fn disturbed(&mut self, engine: usize) {
        self.engines[engine].undisturbed = false;
    }

    pub fn attempt_began(&mut self, now: SimTime, attempt: SeenAttempt) {
        if now >= self.settled {
            self.engines[attempt.engine].work += attempt.work;
        }
    }

    pub fn findings(&self) -> Vec<Finding> {
        let undisturbed: Vec<&EngineWork> = self
            .engines
            .iter()
            .filter(|engine| engine.undisturbed)
            .collect();
        let cores: f64 = undisturbed.iter().map(|engine| engine.cores).sum();
        let work: f64 = undisturbed.iter().map(|engine| engine.work).sum();
        let mean = (work / cores.max(f64::MIN_POSITIVE)).max(f64::MIN_POSITIVE);
        let mut ratios: Vec<f64> = undisturbed
            .iter()
            .map(|engine| engine.work / engine.cores / mean)
            .collect();
        ratios.sort_by(f64::total_cmp);
        let (median, p99, max) = (
            quantile(&ratios, 0.5),
            quantile(&ratios, 0.99),
            quantile(&ratios, 1.0),
        );
        let limits = &self.experiment.limits;
        let finding = Finding::new(
            "spread of work",
            !ratios.is_empty() && p99 <= limits.spread_p99 && max <= limits.spread_max,
            format!(
                "{} engines: p50 {median:.2}, p99 {p99:.2}, max {max:.2}, least {:.2} of the mean a core; at most \
                 p99 {:.2}, max {:.2}",
                ratios.len(),
                quantile(&ratios, 0.0),
                limits.spread_p99,
                limits.spread_max
            ),
            &[("p50", median), ("p99", p99), ("max", max), ("least", quantile(&ratios, 0.0))],
        );
        vec![finding]
    }
}
