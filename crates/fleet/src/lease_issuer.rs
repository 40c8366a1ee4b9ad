//! The lease issuer: which resource is granted to whom, until when.
//!
//! It stores nothing on a disk. A restarted issuer sends no reply for the duration of a lease, after which no lease that it
//! granted before can still be held.

use crate::lease_message::{
    Claim, ClaimVerdict, Epoch, HolderId, LeaseReply, LeaseRequest, NoReply, Resource, Verdict,
};
use crate::lease_terms::LeaseTerms;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much an issuer may store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuerLimits {
    /// Holders with a session.
    pub max_holders: usize,
    /// Resources, held ones and those that are free but remembered.
    pub max_resources: usize,
}

/// How much an issuer stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuerSize {
    /// Resources, held ones and those that are free but remembered.
    pub resources: usize,
    /// Sessions with holders.
    pub sessions: usize,
}

/// The time over which a holder has renewed its leases without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Session {
    number: u64,
    expires_at: Duration,
    /// Claims of older requests are out of date.
    latest_request: u32,
}

/// Who was granted a resource, in which of its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grantee {
    holder: HolderId,
    session: u64,
}

/// The latest grant of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grant {
    epoch: Epoch,
    /// `None` once it was released.
    grantee: Option<Grantee>,
}

/// A lease issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseIssuer {
    lease_duration: Duration,
    silent_until: Duration,
    /// Sessions are numbered from the incarnation on, so that two incarnations never use the same numbers.
    next_session: u64,
    limits: IssuerLimits,
    sessions: BTreeMap<HolderId, Session>,
    grants: BTreeMap<Resource, Grant>,
    /// No epoch up to this is granted for a resource that is not stored: it may have been evicted.
    epoch_floor: Epoch,
}

impl LeaseIssuer {
    /// An issuer that starts now, at `unix_ms` by its wall clock, in milliseconds. `incarnation` is drawn anew with each
    /// start.
    ///
    /// It remembers no epoch that was granted before. All of those are below its wall clock plus one lease, as long as the
    /// issuers' wall clocks are no more than a lease apart: it grants none up to there.
    pub fn start(
        now: Duration,
        unix_ms: u64,
        incarnation: u64,
        terms: &LeaseTerms,
        limits: IssuerLimits,
    ) -> LeaseIssuer {
        let lease_duration = terms.issuer_duration();
        LeaseIssuer {
            lease_duration,
            silent_until: now + lease_duration,
            next_session: incarnation,
            limits,
            sessions: BTreeMap::new(),
            grants: BTreeMap::new(),
            epoch_floor: Epoch(unix_ms + lease_duration.as_millis() as u64),
        }
    }

    /// An issuer that replies at once though it remembers nothing, for tests that show what that breaks.
    pub fn start_without_silence(
        now: Duration,
        unix_ms: u64,
        incarnation: u64,
        terms: &LeaseTerms,
        limits: IssuerLimits,
    ) -> LeaseIssuer {
        LeaseIssuer {
            silent_until: now,
            ..LeaseIssuer::start(now, unix_ms, incarnation, terms, limits)
        }
    }

    /// Handles a request that was received at `now`.
    ///
    /// # Errors
    ///
    /// Why no reply is sent, for the log.
    pub fn handle_request(
        &mut self,
        now: Duration,
        request: &LeaseRequest,
    ) -> Result<LeaseReply, NoReply> {
        if now < self.silent_until {
            return Err(NoReply::Starting(self.silent_until - now));
        }
        self.sessions.retain(|_, session| now < session.expires_at);
        let session = self.renew_session(now, request)?;
        for claim in &request.releases {
            self.release(request.holder, claim);
        }
        Ok(LeaseReply {
            holder: request.holder,
            number: request.number,
            session: session.number,
            verdicts: self.decide_claims(request, &session),
            released: request.releases.clone(),
        })
    }

    /// Starts or extends the session of the holder that sent a request.
    fn renew_session(&mut self, now: Duration, request: &LeaseRequest) -> Result<Session, NoReply> {
        let expires_at = now + self.lease_duration;
        if let Some(session) = self.sessions.get_mut(&request.holder) {
            session.latest_request = session.latest_request.max(request.number);
            session.expires_at = expires_at;
            return Ok(*session);
        }
        if self.sessions.len() >= self.limits.max_holders {
            return Err(NoReply::TooManyHolders(self.limits.max_holders));
        }
        let session = Session {
            number: self.next_session,
            expires_at,
            latest_request: request.number,
        };
        self.next_session += 1;
        self.sessions.insert(request.holder, session);
        Ok(session)
    }

    fn decide_claims(&mut self, request: &LeaseRequest, session: &Session) -> Vec<ClaimVerdict> {
        // What an older request claims may have been released since.
        if request.number != session.latest_request {
            return Vec::new();
        }
        let grantee = Grantee {
            holder: request.holder,
            session: session.number,
        };
        let mut verdicts = Vec::new();
        for claim in &request.claims {
            let verdict = self.decide(claim, grantee);
            verdicts.push(ClaimVerdict {
                claim: *claim,
                verdict,
            });
        }
        verdicts
    }

    /// Decides on a claim, and grants the resource where it can.
    fn decide(&mut self, claim: &Claim, grantee: Grantee) -> Verdict {
        let verdict = match self.grants.get(&claim.resource).copied() {
            Some(latest) => self.verdict_on_known(claim.epoch, grantee.holder, &latest),
            None => self.verdict_on_unknown(claim.epoch),
        };
        if verdict == Verdict::Granted {
            let grant = Grant {
                epoch: claim.epoch,
                grantee: Some(grantee),
            };
            self.grants.insert(claim.resource, grant);
        }
        verdict
    }

    /// Decides on a claim of a resource whose latest grant is remembered.
    fn verdict_on_known(&self, epoch: Epoch, claimant: HolderId, latest: &Grant) -> Verdict {
        match self.current_holder(latest) {
            Some(holder) if holder != claimant => Verdict::HeldByOther(latest.epoch),
            // Its holder may claim it under the same epoch again.
            Some(_) if epoch < latest.epoch => Verdict::StaleEpoch(latest.epoch),
            None if epoch <= latest.epoch => Verdict::StaleEpoch(latest.epoch),
            Some(_) | None => Verdict::Granted,
        }
    }

    /// Decides on a claim of a resource that was never granted, or evicted since; makes room for it.
    fn verdict_on_unknown(&mut self, epoch: Epoch) -> Verdict {
        if epoch <= self.epoch_floor {
            return Verdict::StaleEpoch(self.epoch_floor);
        }
        let is_full = self.grants.len() >= self.limits.max_resources;
        if is_full && !self.evict_free_resource() {
            return Verdict::AtCapacity;
        }
        Verdict::Granted
    }

    /// The holder of a grant, while the session lasts in which it was granted.
    fn current_holder(&self, grant: &Grant) -> Option<HolderId> {
        let grantee = grant.grantee?;
        let session = self.sessions.get(&grantee.holder)?;
        (session.number == grantee.session).then_some(grantee.holder)
    }

    /// Evicts the resource without a holder that has the lowest epoch, and raises the floor to that epoch; returns false
    /// where all resources are held.
    fn evict_free_resource(&mut self) -> bool {
        let lowest = self
            .grants
            .iter()
            .filter(|(_, grant)| self.current_holder(grant).is_none())
            .min_by_key(|(_, grant)| grant.epoch)
            .map(|(resource, grant)| (*resource, grant.epoch));
        let Some((resource, epoch)) = lowest else {
            return false;
        };
        self.epoch_floor = self.epoch_floor.max(epoch);
        self.grants.remove(&resource);
        true
    }

    /// Frees what a holder releases, if it has it under this epoch.
    fn release(&mut self, holder: HolderId, claim: &Claim) {
        let Some(grant) = self.grants.get_mut(&claim.resource) else {
            return;
        };
        let is_theirs = grant
            .grantee
            .is_some_and(|grantee| grantee.holder == holder);
        if grant.epoch == claim.epoch && is_theirs {
            grant.grantee = None;
        }
    }

    /// How much it stores.
    pub fn size(&self) -> IssuerSize {
        IssuerSize {
            resources: self.grants.len(),
            sessions: self.sessions.len(),
        }
    }

    /// When it starts or started to reply.
    pub fn silent_until(&self) -> Duration {
        self.silent_until
    }
}
