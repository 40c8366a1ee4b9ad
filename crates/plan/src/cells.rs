//! The engines that pools tell apart: a cell for each zone, kind, set of fitting id patterns, and address class.
//!
//! A pool is a set of cells, so that pools can be compared without a list of engines.

mod patterns;

use crate::address::{AddressClasses, AddressRanges};
use crate::model::{Plan, Pool};
use fixedbitset::FixedBitSet;

/// Plans whose pools tell more cells apart are not compared by engines.
const MAX_CELLS: usize = 200_000;

/// All cells that some plans tell apart.
#[derive(Debug)]
pub struct Cells {
    /// The zones; `None` for all that no plan names, absent where the settings define all names.
    zones: Vec<Option<String>>,
    /// The kinds, in the same way.
    kinds: Vec<Option<String>>,
    /// The patterns of ids, in alphabetic order.
    patterns: Vec<String>,
    /// The sets of patterns that one id can fit.
    pattern_sets: Vec<FixedBitSet>,
    addresses: AddressClasses,
}

/// Names that the settings define; `None` where no settings are at hand, so that there may be any.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfiguredNames<'a> {
    /// The names of all zones.
    pub zones: Option<&'a [String]>,
    /// The names of all kinds.
    pub kinds: Option<&'a [String]>,
}

/// The zone and the kind of some engines; `None` stands for names that no plan has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place<'a> {
    /// The name of the zone.
    pub zone: Option<&'a str>,
    /// The name of the kind.
    pub kind: Option<&'a str>,
}

/// The coordinates of a cell, as indices into the fields of [`Cells`].
struct Coordinates {
    zone: usize,
    kind: usize,
    pattern_set: usize,
    address: usize,
}

impl Cells {
    /// The cells that these plans tell apart; `None` where they are too many.
    pub fn of(plans: &[&Plan], configured: ConfiguredNames) -> Option<Self> {
        let pools = || plans.iter().flat_map(|plan| &plan.pools);
        let patterns = sorted(pools().flat_map(|pool| &pool.ids));
        let address_sets: Vec<_> = plans.iter().flat_map(|plan| used_sets(plan)).collect();
        let cells = Cells {
            zones: names(pools().flat_map(|pool| &pool.zones), configured.zones),
            kinds: names(pools().flat_map(|pool| &pool.kinds), configured.kinds),
            pattern_sets: patterns::sets(&patterns)?,
            patterns,
            addresses: AddressClasses::new(&address_sets),
        };
        (cells.count() <= MAX_CELLS).then_some(cells)
    }

    /// How many cells there are.
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

    /// Zone and kind of a cell.
    pub fn place(&self, cell: usize) -> Place<'_> {
        let Coordinates { zone, kind, .. } = self.coordinates(cell);
        Place {
            zone: self.zones[zone].as_deref(),
            kind: self.kinds[kind].as_deref(),
        }
    }

    /// The cells of each pool of a plan; `first_set` is the index of its first address set among those of all plans.
    pub fn of_pools(&self, plan: &Plan, first_set: usize) -> Vec<FixedBitSet> {
        let mut cells = vec![FixedBitSet::with_capacity(self.count()); plan.pools.len()];
        for cell in 0..self.count() {
            let at = self.coordinates(cell);
            let matching = plan.pools_matching(|pool| self.fits(pool, &at, first_set));
            for (pool, matches) in matching.into_iter().enumerate() {
                cells[pool].set(cell, matches);
            }
        }
        cells
    }

    /// Whether a pool itself selects the engines of a cell.
    fn fits(&self, pool: &Pool, cell: &Coordinates, first_set: usize) -> bool {
        let zone = self.zones[cell.zone].as_deref();
        let kind = self.kinds[cell.kind].as_deref();
        let patterns = &self.pattern_sets[cell.pattern_set];
        let sets = self.addresses.members(cell.address);
        let fits_id = |pattern: &str| {
            let index = self.patterns.binary_search_by(|p| p.as_str().cmp(pattern));
            index.is_ok_and(|index| patterns.contains(index))
        };
        pool.fits(
            |name| zone == Some(name),
            |name| kind == Some(name),
            fits_id,
            |set| sets.contains(first_set + set),
        )
    }

    /// All cells.
    pub fn all(&self) -> FixedBitSet {
        let mut all = FixedBitSet::with_capacity(self.count());
        all.insert_range(..);
        all
    }
}

/// The names in alphabetic order, each once.
fn sorted<'a>(names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut sorted: Vec<String> = names.cloned().collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}

/// The names that plans use with those of the settings, or with `None` for all others.
fn names<'a>(
    used: impl Iterator<Item = &'a String>,
    configured: Option<&'a [String]>,
) -> Vec<Option<String>> {
    let others = configured.is_none().then_some(None);
    let named = sorted(used.chain(configured.unwrap_or_default()));
    named.into_iter().map(Some).chain(others).collect()
}

/// The address sets of a plan; those that no pool uses are treated as empty.
fn used_sets(plan: &Plan) -> Vec<AddressRanges> {
    let is_used = |set: usize| plan.pools.iter().any(|pool| pool.addresses.contains(&set));
    let sets = plan.addresses.iter().enumerate();
    let used = sets.map(|(index, set)| match is_used(index) {
        true => set.ranges.clone(),
        false => Vec::new(),
    });
    used.collect()
}
