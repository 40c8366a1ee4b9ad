//! Describes the engines that a plan allows a query to use, in terms of the plan's pools.

/// The pools that a query may use. Pools are indices into the plan's list of pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSubset {
    /// The pools that the matching route names, most preferred first. Empty if the route names none; every engine
    /// within `required_pools` is then allowed.
    pub pools: Vec<usize>,
    /// The pools to which the query's own class restricts its queries, then those of the class whose rules apply, if
    /// they differ. A class without such a restriction has no list. An engine is allowed only if it is in at least one
    /// pool of every list.
    pub required_pools: Vec<Vec<usize>>,
}

impl EndpointSubset {
    /// Returns whether every engine is allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.pools.is_empty() && self.required_pools.is_empty()
    }
}
