//! A set of lease issuers, stored as one flag for each index.

use crate::lease_terms::MAX_ISSUERS;

/// A set of lease issuers, which are identified by their index from 0 to [`MAX_ISSUERS`] - 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct IssuerSet {
    is_in: [bool; MAX_ISSUERS],
}

impl IssuerSet {
    pub(super) fn insert(&mut self, issuer: usize) {
        self.is_in[issuer] = true;
    }

    pub(super) fn remove(&mut self, issuer: usize) {
        self.is_in[issuer] = false;
    }

    pub(super) fn contains(&self, issuer: usize) -> bool {
        self.is_in[issuer]
    }

    pub(super) fn is_empty(&self) -> bool {
        !self.is_in.contains(&true)
    }
}
