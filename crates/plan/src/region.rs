//! Regions of queries: what a route matches, as sets of value classes, and the difference and intersection of such.
//!
//! The values of each dimension fall into classes which no route tells apart, so that a region is a set of classes
//! for each dimension.

mod describe;
mod value_classes;

use fixedbitset::FixedBitSet;

pub use value_classes::ValueClasses;

/// A property of queries that routes match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dimension {
    QueryClass,
    Tenant,
    Client,
    /// Whether it has an ordering key.
    Key,
    DataSet,
    MinuteOfDay,
}

/// How many dimensions there are.
pub const DIMENSION_COUNT: usize = Dimension::ALL.len();

impl Dimension {
    /// All dimensions, in the order of their indices in a [`Region`] and a [`Point`].
    pub(crate) const ALL: [Dimension; 6] = [
        Dimension::QueryClass,
        Dimension::Tenant,
        Dimension::Client,
        Dimension::Key,
        Dimension::DataSet,
        Dimension::MinuteOfDay,
    ];

    /// Its index in a [`Region`] and a [`Point`].
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// Pieces into which the region of a route may fall; one of more pieces is not computed.
const MAX_PIECES: usize = 2048;

/// A set of value classes for each dimension, by its index.
pub type Region = [FixedBitSet; DIMENSION_COUNT];
/// A value class for each dimension, by its index.
pub type Point = [usize; DIMENSION_COUNT];

fn all_of(count: usize) -> FixedBitSet {
    let mut classes = FixedBitSet::with_capacity(count);
    classes.insert_range(..);
    classes
}

/// The region of all queries.
pub(crate) fn all_queries(value_classes: &ValueClasses) -> Region {
    value_classes.counts().map(all_of)
}

fn overlaps(a: &Region, b: &Region) -> bool {
    a.iter().zip(b).all(|(a, b)| !a.is_disjoint(b))
}

/// The region that two regions share; `None` where it is empty.
pub fn intersection(a: &Region, b: &Region) -> Option<Region> {
    overlaps(a, b).then(|| std::array::from_fn(|index| &a[index] & &b[index]))
}

/// The part of the first region that is not in the second, in disjoint pieces.
pub fn difference(a: &Region, b: &Region) -> Vec<Region> {
    if !overlaps(a, b) {
        return vec![a.clone()];
    }
    let mut remainder = a.clone();
    let mut pieces = Vec::new();
    for index in 0..DIMENSION_COUNT {
        let mut outside = remainder[index].clone();
        outside.difference_with(&b[index]);
        if !outside.is_clear() {
            let mut piece = remainder.clone();
            piece[index] = outside;
            pieces.push(piece);
            remainder[index].intersect_with(&b[index]);
        }
    }
    pieces
}

/// The part of each route's region that no earlier route matches, in disjoint pieces; `None` where there are too many.
/// The last item is the part of `whole` that no route matches.
pub fn reach(regions: &[Region], whole: &Region) -> Vec<Option<Vec<Region>>> {
    let routes = regions
        .iter()
        .enumerate()
        .map(|(index, region)| without(region, &regions[..index]));
    let unmatched = without(whole, regions);
    routes.chain(std::iter::once(unmatched)).collect()
}

/// A region without some others, in disjoint pieces; `None` where there are too many.
fn without(region: &Region, others: &[Region]) -> Option<Vec<Region>> {
    let mut pieces = vec![region.clone()];
    for other in others.iter().filter(|other| overlaps(region, other)) {
        if pieces.is_empty() || pieces.len() > MAX_PIECES {
            break;
        }
        let remainder = pieces.iter().flat_map(|piece| difference(piece, other));
        pieces = remainder.collect();
    }
    (pieces.len() <= MAX_PIECES).then_some(pieces)
}
