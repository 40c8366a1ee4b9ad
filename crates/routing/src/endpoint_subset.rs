//! The engines that a query is confined to, by the pools of a plan.

/// Pools by preference, within the pools that the query's classes are bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSubset {
    /// Pools by preference; every engine where it is empty.
    pub pools: Vec<usize>,
    /// For each class with such a rule, the pools that its queries never leave.
    pub required_pools: Vec<Vec<usize>>,
}

impl EndpointSubset {
    /// Whether it leaves every engine open.
    pub fn is_unrestricted(&self) -> bool {
        self.pools.is_empty() && self.required_pools.is_empty()
    }
}
