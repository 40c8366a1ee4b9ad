//! The claim of one resource, with the grants and refusals of the issuers.

use super::issuer_session::IssuerSession;
use super::issuer_set::IssuerSet;
use crate::lease_message::{Claim, Epoch, Resource};
use crate::lease_terms::MAX_ISSUERS;
use std::time::Duration;

/// The state of the claim of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct WantedLease {
    epoch: Epoch,
    /// By index of the issuer: the number of the session in which it granted the resource under `epoch`.
    granted_in: [Option<u64>; MAX_ISSUERS],
    /// The issuers that have refused a claim and have not granted one since.
    refused_by: IssuerSet,
    /// The time, by the holder's clock, before which the claim is not sent.
    claimed_from: Duration,
}

impl WantedLease {
    /// Returns a claim under this epoch that no issuer has granted. It is not sent before `claimed_from`.
    pub(super) fn new(epoch: Epoch, claimed_from: Duration) -> WantedLease {
        WantedLease {
            epoch,
            granted_in: [None; MAX_ISSUERS],
            refused_by: IssuerSet::default(),
            claimed_from,
        }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the claim to send for this resource.
    pub(super) fn claim(&self, resource: Resource) -> Claim {
        Claim {
            resource,
            epoch: self.epoch,
        }
    }

    /// Returns the time before which the claim is not sent. It is in the future during a backoff.
    pub(super) fn claimed_from(&self) -> Duration {
        self.claimed_from
    }

    /// Changes the epoch of the claim and drops all grants, which were for the earlier epoch.
    pub(super) fn change_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.granted_in = [None; MAX_ISSUERS];
    }

    /// Records that an issuer granted the resource in this session.
    pub(super) fn record_grant(&mut self, issuer: usize, session: u64) {
        self.granted_in[issuer] = Some(session);
        self.refused_by.remove(issuer);
    }

    /// Records that an issuer refused the claim, since another holder has the resource or the issuer is at its limit.
    pub(super) fn record_refusal(&mut self, issuer: usize) {
        self.refused_by.insert(issuer);
    }

    /// Returns true if at least one issuer has refused the claim and has not granted it since.
    pub(super) fn is_refused(&self) -> bool {
        !self.refused_by.is_empty()
    }

    /// Returns true if the claim is to be sent to an issuer at `now`: the backoff is over, and the issuer has not
    /// granted the resource in `session`, its current one.
    pub(super) fn is_claim_due(
        &self,
        now: Duration,
        issuer: usize,
        session: &IssuerSession,
    ) -> bool {
        self.claimed_from <= now && self.granted_in[issuer] != Some(session.number)
    }

    /// Returns the number of issuers that granted the resource in their latest sessions, including expired ones.
    pub(super) fn grants(&self, sessions: &[IssuerSession]) -> usize {
        self.granting_sessions(sessions).count()
    }

    /// Returns the number of issuers that granted the resource in sessions that have not expired at `now`.
    pub(super) fn current_grants(&self, now: Duration, sessions: &[IssuerSession]) -> usize {
        self.granting_sessions(sessions)
            .filter(|session| now < session.expires_at)
            .count()
    }

    /// Returns those of the latest sessions, one for each issuer, in which the resource was granted.
    fn granting_sessions<'a>(
        &'a self,
        sessions: &'a [IssuerSession],
    ) -> impl Iterator<Item = &'a IssuerSession> {
        sessions
            .iter()
            .zip(&self.granted_in)
            .filter(|(session, granted_in)| **granted_in == Some(session.number))
            .map(|(session, _)| session)
    }
}
