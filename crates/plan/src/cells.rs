//! Partitions all possible engines into cells, so that pools can be compared without a list of engines.
//!
//! There is a cell for each combination of zone, kind, set of matching id patterns and address class. Pools select
//! whole cells, so a pool is represented by the set of its cells.

mod patterns;

use crate::address::{AddressClasses, AddressRanges};
use crate::model::{Plan, Pool};
use fixedbitset::FixedBitSet;

/// Maximum number of cells. For plans that need more, no cells are computed, and pools are compared without regard to
/// their engines.
const MAX_CELLS: usize = 200_000;

/// All cells that one or several plans distinguish.
#[derive(Debug)]
pub struct Cells {
    /// Zone names; a final `None` stands for all zones that no plan names. It is absent if the settings define all
    /// names.
    zones: Vec<Option<String>>,
    /// Names of engine kinds, with a final `None` as for `zones`.
    kinds: Vec<Option<String>>,
    /// Patterns of engine ids in alphabetical order.
    patterns: Vec<String>,
    /// Sets of patterns that a single id can match at once.
    pattern_sets: Vec<FixedBitSet>,
    addresses: AddressClasses,
}

/// Names that the settings define; `None` if the settings are not known, so that any name is possible.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfiguredNames<'a> {
    /// Names of all zones.
    pub zones: Option<&'a [String]>,
    /// Names of all engine kinds.
    pub kinds: Option<&'a [String]>,
}

/// Zone and kind shared by the engines of a cell; `None` stands for any name that no plan uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place<'a> {
    /// Name of the zone.
    pub zone: Option<&'a str>,
    /// Name of the engine kind.
    pub kind: Option<&'a str>,
}

/// Coordinates of a cell, as indices into the fields of [`Cells`].
struct Coordinates {
    zone: usize,
    kind: usize,
    pattern_set: usize,
    address: usize,
}

impl Cells {
    /// Computes the cells that `plans` distinguish; `None` if there are too many.
    pub fn of(plans: &[&Plan], configured: ConfiguredNames) -> Option<Self> {
        let pools = || plans.iter().flat_map(|plan| &plan.pools);
        let patterns = sorted(pools().flat_map(|pool| &pool.ids));
        let address_sets: Vec<_> = plans.iter().flat_map(|plan| used_sets(plan)).collect();
        let cells = Cells {
            zones: names(pools().flat_map(|pool| &pool.zones), configured.zones),
            kinds: names(pools().flat_map(|pool| &pool.kinds), configured.kinds),
            pattern_sets: patterns::matchable_sets(&patterns)?,
            patterns,
            addresses: AddressClasses::new(&address_sets),
        };
        (cells.count() <= MAX_CELLS).then_some(cells)
    }

    /// Returns the number of cells.
    pub fn count(&self) -> usize {
        let zones_and_kinds = self.zones.len().saturating_mul(self.kinds.len());
        zones_and_kinds
            .saturating_mul(self.pattern_sets.len())
            .saturating_mul(self.addresses.count())
    }

    fn coordinates(&self, cell: usize) -> Coordinates {
        let addresses = self.addresses.count();
        let pattern_sets = self.pattern_sets.len();
        let kinds = self.kinds.len();
        Coordinates {
            zone: cell / addresses / pattern_sets / kinds,
            kind: cell / addresses / pattern_sets % kinds,
            pattern_set: cell / addresses % pattern_sets,
            address: cell % addresses,
        }
    }

    /// Returns the zone and the kind of the engines of a cell.
    pub fn place(&self, cell: usize) -> Place<'_> {
        let Coordinates { zone, kind, .. } = self.coordinates(cell);
        Place {
            zone: self.zones[zone].as_deref(),
            kind: self.kinds[kind].as_deref(),
        }
    }

    /// Returns the cells of each pool of a plan. `first_set` is the index of the plan's first address set among the
    /// address sets of all plans that were given to [`Cells::of`].
    pub fn of_pools(&self, plan: &Plan, first_set: usize) -> Vec<FixedBitSet> {
        let mut cells = vec![FixedBitSet::with_capacity(self.count()); plan.pools.len()];
        for cell in 0..self.count() {
            let coordinates = self.coordinates(cell);
            let matching = plan.pools_matching(|pool| self.matches(pool, &coordinates, first_set));
            for (pool, matches) in matching.into_iter().enumerate() {
                cells[pool].set(cell, matches);
            }
        }
        cells
    }

    /// Returns whether the pool's own entries select the engines of a cell, without `union` and `except`.
    fn matches(&self, pool: &Pool, cell: &Coordinates, first_set: usize) -> bool {
        let zone = self.zones[cell.zone].as_deref();
        let kind = self.kinds[cell.kind].as_deref();
        let patterns = &self.pattern_sets[cell.pattern_set];
        let sets = self.addresses.members(cell.address);
        let matches_id = |pattern: &str| {
            let index = self.patterns.binary_search_by(|p| p.as_str().cmp(pattern));
            index.is_ok_and(|index| patterns.contains(index))
        };
        pool.matches(
            |name| zone == Some(name),
            |name| kind == Some(name),
            matches_id,
            |set| sets.contains(first_set + set),
        )
    }

    /// Returns the set of all cells.
    pub fn all(&self) -> FixedBitSet {
        let mut all = FixedBitSet::with_capacity(self.count());
        all.insert_range(..);
        all
    }
}

/// Returns the names in alphabetical order without duplicates.
fn sorted<'a>(names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut sorted: Vec<String> = names.cloned().collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}

/// Returns the names that plans use, together with those of the settings if known, else with a final `None` for all
/// other names.
fn names<'a>(
    used: impl Iterator<Item = &'a String>,
    configured: Option<&'a [String]>,
) -> Vec<Option<String>> {
    let others = configured.is_none().then_some(None);
    let named = sorted(used.chain(configured.unwrap_or_default()));
    named.into_iter().map(Some).chain(others).collect()
}

/// Returns the address sets of a plan, with those that no pool uses replaced by empty ones, which add no cells.
fn used_sets(plan: &Plan) -> Vec<AddressRanges> {
    let is_used = |set: usize| plan.pools.iter().any(|pool| pool.addresses.contains(&set));
    let sets = plan.addresses.iter().enumerate();
    let used = sets.map(|(index, set)| match is_used(index) {
        true => set.ranges.clone(),
        false => Vec::new(),
    });
    used.collect()
}
