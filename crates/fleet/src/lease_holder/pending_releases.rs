//! Released claims that at least one issuer has not acknowledged.

use super::issuer_set::IssuerSet;
use crate::lease_message::Claim;
use std::collections::BTreeMap;

/// Released claims, each with the set of issuers that have acknowledged the release.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct PendingReleases {
    acknowledged_by: BTreeMap<Claim, IssuerSet>,
}

impl PendingReleases {
    /// Adds a release that no issuer has acknowledged.
    pub(super) fn insert(&mut self, claim: Claim) {
        self.acknowledged_by.insert(claim, IssuerSet::default());
    }

    /// Records that an issuer has carried out a release.
    pub(super) fn acknowledge(&mut self, claim: &Claim, issuer: usize) {
        if let Some(issuers) = self.acknowledged_by.get_mut(claim) {
            issuers.insert(issuer);
        }
    }

    /// Returns the releases that an issuer has not acknowledged.
    pub(super) fn unacknowledged_by(&self, issuer: usize) -> impl Iterator<Item = Claim> + '_ {
        self.acknowledged_by
            .iter()
            .filter(move |(_, issuers)| !issuers.contains(issuer))
            .map(|(claim, _)| *claim)
    }

    /// Drops the releases that no issuer still has to acknowledge. An issuer for which `has_expired` returns true need
    /// not acknowledge, since it has ended the lease by itself. Issuers are numbered from 0 to `issuer_count` - 1.
    pub(super) fn drop_settled(
        &mut self,
        issuer_count: usize,
        has_expired: impl Fn(usize) -> bool,
    ) {
        self.acknowledged_by.retain(|_, acknowledged| {
            (0..issuer_count).any(|issuer| !acknowledged.contains(issuer) && !has_expired(issuer))
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.acknowledged_by.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.acknowledged_by.len()
    }
}
