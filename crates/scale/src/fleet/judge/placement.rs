//! Judges rules 3 and 6: a gateway sends no attempt to an engine that it knows to be draining or removed, and only to
//! engines in the zones and of the kinds that the query's class allows.

use super::attempt::SeenAttempt;
use super::endpoint_history::KnownEndpoint;
use super::finding::Finding;
use crate::fleet::engine::Site;
use crate::fleet::experiment::Experiment;
use garnetwall_subset::ListedState;
use std::rc::Rc;

/// Counts attempts at engines that should not have received them.
pub struct Placement {
    experiment: Rc<Experiment>,
    sites: Vec<Site>,
    attempts: u64,
    /// Attempts of classes that are restricted to zones or kinds.
    restricted: u64,
    to_draining: u64,
    /// Attempts at engines that the gateway knew to be removed, or did not know at all.
    to_removed: u64,
    /// Attempts at engines in a zone or of a kind that the class does not allow.
    misplaced: u64,
}

impl Placement {
    pub fn new(experiment: Rc<Experiment>) -> Placement {
        Placement {
            experiment,
            sites: Vec::new(),
            attempts: 0,
            restricted: 0,
            to_draining: 0,
            to_removed: 0,
            misplaced: 0,
        }
    }

    pub fn engine_added(&mut self, site: Site) {
        self.sites.push(site);
    }

    pub fn attempt_began(&mut self, attempt: SeenAttempt, known: Option<KnownEndpoint>) {
        self.attempts += 1;
        match known.map_or(ListedState::Removed, |endpoint| endpoint.state) {
            ListedState::Ready => {}
            ListedState::Draining => self.to_draining += 1,
            ListedState::Removed => self.to_removed += 1,
        }
        let site = self.sites[attempt.engine];
        let class = &self.experiment.classes[attempt.class];
        let allows = |allowed: &Option<Vec<u32>>, found: usize| {
            allowed
                .as_ref()
                .is_none_or(|list| list.contains(&(found as u32)))
        };
        self.restricted += u64::from(class.zones.is_some() || class.kinds.is_some());
        self.misplaced +=
            u64::from(!allows(&class.zones, site.zone) || !allows(&class.kinds, site.kind));
    }

    pub fn announcement_finding(&self) -> Finding {
        Finding::new(
            "rule 3, engines told draining or gone",
            self.to_draining + self.to_removed == 0,
            format!(
                "{} attempts: {} to engines told draining, {} told gone",
                self.attempts, self.to_draining, self.to_removed
            ),
            &[
                ("attempts", self.attempts as f64),
                ("to_draining", self.to_draining as f64),
                ("to_gone", self.to_removed as f64),
            ],
        )
    }

    pub fn class_finding(&self) -> Finding {
        Finding::new(
            "rule 6, placement",
            self.misplaced == 0,
            format!(
                "{} attempts of bound classes: {} misplaced",
                self.restricted, self.misplaced
            ),
            &[
                ("bound", self.restricted as f64),
                ("misplaced", self.misplaced as f64),
            ],
        )
    }
}
