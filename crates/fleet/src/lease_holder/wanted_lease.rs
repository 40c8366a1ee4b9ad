//! The claim of one resource, and which issuers have granted it.

use super::issuer_session::IssuerSession;
use super::issuer_set::IssuerSet;
use crate::lease_message::{Claim, Epoch, Resource};
use crate::lease_terms::MAX_ISSUERS;
use std::time::Duration;

/// What is known of a wanted resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct WantedLease {
    epoch: Epoch,
    /// The session in which each issuer granted the resource under this epoch.
    granted_in: [Option<u64>; MAX_ISSUERS],
    refused_by: IssuerSet,
    claimed_from: Duration,
}

impl WantedLease {
    /// A claim under this epoch, which is sent from `claimed_from` on.
    pub(super) fn new(epoch: Epoch, claimed_from: Duration) -> WantedLease {
        WantedLease {
            epoch,
            granted_in: [None; MAX_ISSUERS],
            refused_by: IssuerSet::default(),
            claimed_from,
        }
    }

    /// The epoch under which the resource is claimed.
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The claim that is sent for the resource.
    pub(super) fn claim(&self, resource: Resource) -> Claim {
        Claim {
            resource,
            epoch: self.epoch,
        }
    }

    /// When claims are sent for the first time: after the backoff, where there is one.
    pub(super) fn claimed_from(&self) -> Duration {
        self.claimed_from
    }

    /// Claims the resource under another epoch, for which no issuer has granted it yet.
    pub(super) fn change_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.granted_in = [None; MAX_ISSUERS];
    }

    /// Notes that an issuer granted it in this session.
    pub(super) fn grant(&mut self, issuer: usize, session: u64) {
        self.granted_in[issuer] = Some(session);
        self.refused_by.remove(issuer);
    }

    /// Notes that an issuer did not grant it, as another holder has it or the issuer is at its capacity.
    pub(super) fn refuse(&mut self, issuer: usize) {
        self.refused_by.insert(issuer);
    }

    /// Whether any issuer did not grant it.
    pub(super) fn is_refused(&self) -> bool {
        !self.refused_by.is_empty()
    }

    /// Whether an issuer is to be sent a claim now, given the session with it.
    pub(super) fn is_claim_due(
        &self,
        now: Duration,
        issuer: usize,
        session: &IssuerSession,
    ) -> bool {
        self.claimed_from <= now && self.granted_in[issuer] != Some(session.number)
    }

    /// How many issuers granted it in their current sessions, whether these last or not.
    pub(super) fn grants(&self, sessions: &[IssuerSession]) -> usize {
        self.granting_sessions(sessions).count()
    }

    /// How many issuers grant it now, in sessions that last.
    pub(super) fn current_grants(&self, now: Duration, sessions: &[IssuerSession]) -> usize {
        self.granting_sessions(sessions)
            .filter(|session| now < session.expires_at)
            .count()
    }

    /// The current sessions, by issuer, in which the resource was granted.
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
