//! The kinds of engines that pools tell apart: a cell for each zone, kind, way to fit the patterns of ids, and class of
//! addresses. What a pool holds is a set of cells, so that pools can be compared without a list of engines.

use crate::address::AddressClasses;
use crate::model::{fits_pattern, Plan};
use fixedbitset::FixedBitSet;

/// Cells beyond which pools are not compared.
const MOST_CELLS: usize = 200_000;
/// Ways to fit the patterns beyond which pools are not compared.
const MOST_WAYS: usize = 4096;

/// All cells that some plans tell apart.
#[derive(Debug)]
pub struct Cells {
    /// None for a name that no plan says; absent where all names are known.
    zones: Vec<Option<String>>,
    kinds: Vec<Option<String>>,
    patterns: Vec<String>,
    /// Sets of patterns that one id can fit.
    ways: Vec<FixedBitSet>,
    addresses: AddressClasses,
}

/// Names that the settings know; without them any may come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known<'a> {
    pub zones: Option<&'a [String]>,
    pub kinds: Option<&'a [String]>,
}

impl Cells {
    /// The cells of these plans; none where they are too many.
    pub fn of(plans: &[&Plan], known: Known) -> Option<Self> {
        let pools = || plans.iter().flat_map(|p| &p.pools);
        let names = |said: Vec<&String>, known: Option<&[String]>| -> Vec<Option<String>> {
            let mut all: Vec<String> = said
                .into_iter()
                .chain(known.unwrap_or_default())
                .cloned()
                .collect();
            all.sort_unstable();
            all.dedup();
            let other = known.is_none().then_some(None);
            all.into_iter().map(Some).chain(other).collect()
        };
        let zones = names(pools().flat_map(|p| &p.zones).collect(), known.zones);
        let kinds = names(pools().flat_map(|p| &p.kinds).collect(), known.kinds);
        let mut patterns: Vec<String> = pools().flat_map(|p| p.ids.clone()).collect();
        patterns.sort_unstable();
        patterns.dedup();
        let ways = ways(&patterns)?;
        let used = |plan: &&Plan| -> Vec<_> {
            let used = |n: usize| plan.pools.iter().any(|p| p.addresses.contains(&n));
            let sets = plan.addresses.iter().enumerate();
            sets.map(|(n, a)| if used(n) { a.spans.clone() } else { Vec::new() })
                .collect()
        };
        let addresses = AddressClasses::new(&plans.iter().flat_map(used).collect::<Vec<_>>());
        let cells = Cells {
            zones,
            kinds,
            patterns,
            ways,
            addresses,
        };
        (cells.count() <= MOST_CELLS).then_some(cells)
    }

    pub fn count(&self) -> usize {
        let zones_and_kinds = self.zones.len().saturating_mul(self.kinds.len());
        zones_and_kinds
            .saturating_mul(self.ways.len())
            .saturating_mul(self.addresses.count())
    }

    fn parts(&self, cell: usize) -> (usize, usize, usize, usize) {
        let (rest, address) = (cell / self.addresses.count(), cell % self.addresses.count());
        let (rest, way) = (rest / self.ways.len(), rest % self.ways.len());
        (
            rest / self.kinds.len(),
            rest % self.kinds.len(),
            way,
            address,
        )
    }

    /// Zone and kind of a cell; none for those that no plan names.
    pub fn place(&self, cell: usize) -> (Option<&str>, Option<&str>) {
        let (zone, kind, _, _) = self.parts(cell);
        (self.zones[zone].as_deref(), self.kinds[kind].as_deref())
    }

    /// The cells that each pool of a plan holds; `first_set` is the number of its first address set among all.
    pub fn held(&self, plan: &Plan, first_set: usize) -> Vec<FixedBitSet> {
        let mut held = vec![FixedBitSet::with_capacity(self.count()); plan.pools.len()];
        for cell in 0..self.count() {
            let (zone, kind, way, address) = self.parts(cell);
            let members = self.addresses.members(address);
            let fits = |id: &str| {
                let at = self.patterns.binary_search_by(|p| p.as_str().cmp(id));
                at.is_ok_and(|at| self.ways[way].contains(at))
            };
            let holds = plan.pools_matching(|pool| {
                pool.fits(
                    |name| self.zones[zone].as_deref() == Some(name),
                    |name| self.kinds[kind].as_deref() == Some(name),
                    fits,
                    |set| members.contains(first_set + set),
                )
            });
            for (pool, holds) in holds.into_iter().enumerate() {
                held[pool].set(cell, holds);
            }
        }
        held
    }

    /// Every cell.
    pub fn all(&self) -> FixedBitSet {
        let mut all = FixedBitSet::with_capacity(self.count());
        all.insert_range(..);
        all
    }
}

/// The sets of patterns that one id can fit, as far as patterns tell: none fits two that exclude one another, or one
/// without another that holds all of it.
fn ways(patterns: &[String]) -> Option<Vec<FixedBitSet>> {
    let mut ways = vec![FixedBitSet::with_capacity(patterns.len())];
    for (n, pattern) in patterns.iter().enumerate() {
        let mut longer = Vec::new();
        for way in &ways {
            let earlier = || (0..n).map(|m| (way.contains(m), patterns[m].as_str()));
            let can = !earlier().any(|(fits, other)| {
                (fits && apart(pattern, other)) || (!fits && within(pattern, other))
            });
            let need = earlier().any(|(fits, other)| fits && within(other, pattern));
            if !need {
                longer.push(way.clone());
            }
            if can {
                let mut with = way.clone();
                with.insert(n);
                longer.push(with);
            }
        }
        ways = longer;
        if ways.len() > MOST_WAYS {
            return None;
        }
    }
    Some(ways)
}

/// Whether all that fits the first fits the second. A `*` of the first is taken as a character that only a `*` takes.
fn within(a: &str, b: &str) -> bool {
    fits_pattern(b, a)
}

/// Whether nothing fits both, by how they begin and end.
fn apart(a: &str, b: &str) -> bool {
    let begin = |p: &str| p.split('*').next().unwrap_or_default().to_string();
    let end = |p: &str| p.rsplit('*').next().unwrap_or_default().to_string();
    let (first, other) = (begin(a), begin(b));
    let (last, other_last) = (end(a), end(b));
    let exact = |p: &str, q: &str| !p.contains('*') && !fits_pattern(q, p);
    !(first.starts_with(&other) || other.starts_with(&first))
        || !(last.ends_with(&other_last) || other_last.ends_with(&last))
        || exact(a, b)
        || exact(b, a)
}
