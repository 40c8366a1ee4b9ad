//! Role `subset`: the catalog and the choice of a subset.

use super::pool;
use super::stopwatch::{memory_growth, timed, timed_repeatedly};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use garnetwall_subset::{
    Action, Catalog, ConnectOutcome, ListedEngine, ListedState, Subset, UpdateScope,
};

/// Number of additional subsets of one catalog, by which a subset's memory is measured apart from the catalog's.
const ADDITIONAL_SUBSETS: usize = 200;
/// Maximum number of polls, after which a subset counts as settled.
const MAX_POLLS: usize = 10_000;

/// One gateway's subset, and the catalog that it is chosen from.
pub struct SettledSubset {
    pub catalog: Catalog,
    pub subset: Subset,
    /// Simulated time, in seconds.
    pub now: f64,
}

impl SettledSubset {
    /// Chooses the subset of one gateway from a pool and settles it.
    ///
    /// # Errors
    ///
    /// The settings of the subset can't be used.
    pub fn new(engines: u64, gateways: u64, size: u64) -> Result<Self, RoleError> {
        let listed = listed_engines(engines);
        let mut catalog = Catalog::default();
        let changes = catalog.apply(&listed, UpdateScope::FullList);
        let mut subset = Subset::new("gateway-0", pool::subset_settings(size, gateways))?;
        subset.changed(0.0, &catalog, &changes);
        let mut chosen = SettledSubset {
            catalog,
            subset,
            now: 0.0,
        };
        chosen.settle();
        Ok(chosen)
    }

    /// Applies entries of the list, settles, and returns the subset's actions.
    pub fn apply(&mut self, listed: &[ListedEngine], scope: UpdateScope) -> Vec<Action> {
        let changes = self.catalog.apply(listed, scope);
        self.subset.changed(self.now, &self.catalog, &changes);
        self.settle()
    }

    /// Polls the subset until nothing is due, or [`MAX_POLLS`] times. Every connection succeeds at once. Returns the
    /// subset's actions.
    fn settle(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..MAX_POLLS {
            let due = self.subset.poll(self.now, &self.catalog);
            for action in &due {
                if let Action::Connect(engine) = action {
                    self.subset
                        .connect_ended(self.now, *engine, ConnectOutcome::Reached);
                }
            }
            actions.extend(due);
            match self.subset.wake() {
                Some(at) => self.now = self.now.max(at),
                None => break,
            }
        }
        actions
    }
}

/// Returns the entries of all engines of a pool, all ready.
pub fn listed_engines(engines: u64) -> Vec<ListedEngine> {
    (0..engines)
        .map(|number| pool::engine(number).listed_engine(ListedState::Ready))
        .collect()
}

/// Measures the catalog and the choice of a subset.
pub struct SubsetChoice;

impl Role for SubsetChoice {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let quantities = &point.quantities;
        let (engines, gateways) = (quantities.engines, quantities.gateways);
        let size = if quantities.subset_size == 0 {
            engines
        } else {
            quantities.subset_size
        };
        let listed = listed_engines(engines);
        let (resident, (first_list, chosen)) =
            memory_growth(|| timed(|| SettledSubset::new(engines, gateways, size)))?;
        let mut chosen = chosen?;
        let members: Vec<f64> = chosen
            .subset
            .members()
            .map(|(_, holders)| holders)
            .collect();
        let whole_list = timed_repeatedly(|_| chosen.apply(&listed, UpdateScope::FullList));
        let changed_entry = timed_repeatedly(|repeat| {
            chosen.apply(&[changed(engines, repeat)], UpdateScope::ChangedEngines)
        });
        let (additional, _additional_subsets) =
            memory_growth(|| additional_subsets(&chosen.catalog, gateways, size))?;
        Ok(vec![
            Measured::new(Metric::FirstList, first_list),
            Measured::new(Metric::WholeList, whole_list),
            Measured::new(Metric::ChangedLine, changed_entry),
            Measured::new(Metric::Resident, resident),
            Measured::new(Metric::SubsetBytes, additional / ADDITIONAL_SUBSETS as f64),
            Measured::new(Metric::SubsetEngines, members.len() as f64),
            Measured::new(
                Metric::Holders,
                members.iter().sum::<f64>() / members.len().max(1) as f64,
            ),
        ])
    }
}

/// Returns a changed entry: engines spread over the pool drain in turn, and become ready again.
pub fn changed(engines: u64, repeat: u64) -> ListedEngine {
    /// A prime, so that each engine has its turn.
    const STRIDE: u64 = 7919;
    let state = if repeat.is_multiple_of(2) {
        ListedState::Draining
    } else {
        ListedState::Ready
    };
    pool::engine(repeat / 2 * STRIDE % engines).listed_engine(state)
}

/// Chooses the subsets of [`ADDITIONAL_SUBSETS`] further gateways from the catalog.
fn additional_subsets(catalog: &Catalog, gateways: u64, size: u64) -> Vec<Subset> {
    let all = |(engine, _, facts)| garnetwall_subset::Change {
        engine,
        before: None,
        after: Some(facts),
    };
    let changes: Vec<_> = catalog.engines().map(all).collect();
    let choose = |number: usize| {
        let settings = pool::subset_settings(size, gateways);
        let mut subset = Subset::new(&format!("gateway-{number}"), settings).ok()?;
        subset.changed(0.0, catalog, &changes);
        subset.poll(0.0, catalog);
        Some(subset)
    };
    (1..=ADDITIONAL_SUBSETS).filter_map(choose).collect()
}
