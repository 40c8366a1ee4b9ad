//! A set of lease issuers.

use crate::lease_terms::MAX_ISSUERS;

/// A set of lease issuers, by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct IssuerSet {
    is_in: [bool; MAX_ISSUERS],
}

impl IssuerSet {
    /// Adds an issuer.
    pub(super) fn insert(&mut self, issuer: usize) {
        self.is_in[issuer] = true;
    }

    /// Removes an issuer.
    pub(super) fn remove(&mut self, issuer: usize) {
        self.is_in[issuer] = false;
    }

    /// Whether the issuer is in the set.
    pub(super) fn contains(&self, issuer: usize) -> bool {
        self.is_in[issuer]
    }

    /// Whether no issuer is in the set.
    pub(super) fn is_empty(&self) -> bool {
        !self.is_in.contains(&true)
    }
}
