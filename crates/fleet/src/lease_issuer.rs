//! The lease issuer: grants resources to holders, each resource to one holder at a time.
//!
//! An issuer keeps its state in memory only. After a restart it sends no reply for the duration of one lease; by then
//! every lease that it granted before the restart has expired.

use crate::lease_message::{
    Claim, ClaimVerdict, Epoch, HolderId, LeaseReply, LeaseRequest, NoReply, Resource, Verdict,
};
use crate::lease_terms::LeaseTerms;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper limits on the state of an issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IssuerLimits {
    /// The largest number of holders with a session. Requests of further holders get no reply.
    pub max_holders: usize,
    /// The largest number of stored resources: the held ones, and the free ones whose last epoch is stored.
    pub max_resources: usize,
}

/// The size of an issuer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuerSize {
    /// The number of stored resources: the held ones, and the free ones whose last epoch is stored.
    pub resources: usize,
    /// The number of sessions, one for each holder. Expired sessions count until the next request is handled.
    pub sessions: usize,
}

/// The period over which a holder has renewed its leases without a gap. A grant lasts as long as the session in which
/// it was made, unless the holder releases it earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Session {
    number: u64,
    expires_at: Duration,
    /// The highest request number received in this session. Claims of requests with lower numbers are ignored.
    latest_request: u32,
}

/// The holder that a resource was granted to, and the session in which that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grantee {
    holder: HolderId,
    session: u64,
}

/// The latest grant of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grant {
    epoch: Epoch,
    /// `None` after the holder has released the resource.
    grantee: Option<Grantee>,
}

/// One incarnation of a lease issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseIssuer {
    lease_duration: Duration,
    silent_until: Duration,
    /// The number of the next session. The first one is the issuer's incarnation, which is random, so that a session
    /// number of an earlier incarnation is not used again.
    next_session: u64,
    limits: IssuerLimits,
    sessions: BTreeMap<HolderId, Session>,
    grants: BTreeMap<Resource, Grant>,
    /// Epochs up to and including this one are refused for a resource that is not stored, since it may have been
    /// granted under one of them and evicted afterwards.
    epoch_floor: Epoch,
}

impl LeaseIssuer {
    /// Returns an issuer that starts now. `unix_ms` is the wall-clock time of the start, in milliseconds since the Unix
    /// epoch. `incarnation` is a random number that the caller draws for each start.
    ///
    /// The issuer does not know the epochs that were granted before its start. As long as the wall clocks of the
    /// issuers differ by no more than the duration of a lease, all of those are below its own wall clock plus that
    /// duration. It therefore refuses epochs up to that sum, in milliseconds.
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

    /// Returns an issuer that replies from its start on, although it does not know the leases that it granted before.
    /// Only for tests, which show that two gateways can then hold the same resource.
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

    /// Handles a request that was received at `now`: renews the holder's session, carries out the releases, then
    /// decides on the claims. Returns the reply to send.
    ///
    /// # Errors
    ///
    /// The reason why no reply is to be sent: the issuer started less than one lease ago, or has too many sessions.
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

    /// Extends the session of the holder that sent a request, or starts one, and returns it.
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
        // A request that arrives after a later one may claim a resource that the later one has released.
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

    /// Decides on a claim and, if the resource is granted, stores the grant.
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

    /// Decides on a claim of a resource whose latest grant is stored.
    fn verdict_on_known(&self, epoch: Epoch, claimant: HolderId, latest: &Grant) -> Verdict {
        match self.current_holder(latest) {
            Some(holder) if holder != claimant => Verdict::HeldByOther(latest.epoch),
            // The current holder may claim the resource again under the same epoch.
            Some(_) if epoch < latest.epoch => Verdict::StaleEpoch(latest.epoch),
            None if epoch <= latest.epoch => Verdict::StaleEpoch(latest.epoch),
            Some(_) | None => Verdict::Granted,
        }
    }

    /// Decides on a claim of a resource that is not stored: it was never granted, or it was evicted. Evicts another
    /// resource if the issuer is at its limit.
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

    /// Returns the holder of a grant, or `None` if the grant was released or the session in which it was made has
    /// ended.
    fn current_holder(&self, grant: &Grant) -> Option<HolderId> {
        let grantee = grant.grantee?;
        let session = self.sessions.get(&grantee.holder)?;
        (session.number == grantee.session).then_some(grantee.holder)
    }

    /// Evicts, among the resources without a holder, the one with the lowest epoch, and raises `epoch_floor` to that
    /// epoch. Returns false if all resources are held.
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

    /// Frees a resource, if this holder was granted it under the epoch of the claim.
    fn release(&mut self, holder: HolderId, claim: &Claim) {
        let Some(grant) = self.grants.get_mut(&claim.resource) else {
            return;
        };
        let is_grantee = grant
            .grantee
            .is_some_and(|grantee| grantee.holder == holder);
        if grant.epoch == claim.epoch && is_grantee {
            grant.grantee = None;
        }
    }

    /// Returns the size of the stored state.
    pub fn size(&self) -> IssuerSize {
        IssuerSize {
            resources: self.grants.len(),
            sessions: self.sessions.len(),
        }
    }

    /// Returns the time, by the issuer's clock, at which it starts to reply: one lease after its start.
    pub fn silent_until(&self) -> Duration {
        self.silent_until
    }
}
