//! Represents the sets of queries that routes match as regions, and computes their difference and intersection.
//!
//! The values of each dimension (query class, tenant, client and so on) are grouped into value classes that no route
//! distinguishes. A region is a set of value classes for each dimension; it contains the queries whose values are in
//! the set in every dimension.

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
    /// Whether the query has an ordering key.
    Key,
    DataSet,
    MinuteOfDay,
}

/// Number of dimensions.
pub const DIMENSION_COUNT: usize = Dimension::ALL.len();

impl Dimension {
    /// All dimensions in the order of their indices in a [`Region`] and a [`Point`].
    pub(crate) const ALL: [Dimension; 6] = [
        Dimension::QueryClass,
        Dimension::Tenant,
        Dimension::Client,
        Dimension::Key,
        Dimension::DataSet,
        Dimension::MinuteOfDay,
    ];

    /// Returns the index of the dimension in a [`Region`] and a [`Point`].
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// Maximum number of pieces into which earlier routes may split the region of a route. If there are more, the
/// computation is abandoned.
const MAX_PIECES: usize = 2048;

/// Set of value classes for each dimension, by the index of the dimension.
pub type Region = [FixedBitSet; DIMENSION_COUNT];
/// Value class for each dimension, by the index of the dimension.
pub type Point = [usize; DIMENSION_COUNT];

fn all_of(count: usize) -> FixedBitSet {
    let mut classes = FixedBitSet::with_capacity(count);
    classes.insert_range(..);
    classes
}

/// Returns the region of all queries.
pub(crate) fn all_queries(value_classes: &ValueClasses) -> Region {
    value_classes.counts().map(all_of)
}

fn overlaps(a: &Region, b: &Region) -> bool {
    a.iter().zip(b).all(|(a, b)| !a.is_disjoint(b))
}

/// Returns the intersection of two regions; `None` if it is empty.
pub fn intersection(a: &Region, b: &Region) -> Option<Region> {
    overlaps(a, b).then(|| std::array::from_fn(|index| &a[index] & &b[index]))
}

/// Returns the part of `a` that is not in `b`, as disjoint pieces.
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

/// Returns for each route the part of its region that no earlier route matches, as disjoint pieces; `None` if there are
/// too many pieces. The last item is the part of `whole` that no route matches.
pub fn effective_regions(regions: &[Region], whole: &Region) -> Vec<Option<Vec<Region>>> {
    let routes = regions
        .iter()
        .enumerate()
        .map(|(index, region)| subtract_all(region, &regions[..index]));
    let unmatched = subtract_all(whole, regions);
    routes.chain(std::iter::once(unmatched)).collect()
}

/// Returns the part of a region that is in none of `others`, as disjoint pieces; `None` if there are too many pieces.
fn subtract_all(region: &Region, others: &[Region]) -> Option<Vec<Region>> {
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
