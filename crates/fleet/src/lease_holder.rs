//! The lease holder: claims, renews and releases leases for one gateway. A resource is held while a majority of issuers
//! grants it. One request renews all leases that an issuer has granted.

mod issuer_session;
mod issuer_set;
mod jitter;
mod pending_releases;
mod recent_requests;
mod request_packing;
mod wanted_lease;

use crate::lease_message::{
    Claim, ClaimVerdict, Epoch, HolderId, LeaseReply, LeaseRequest, Resource, Verdict,
};
use crate::lease_terms::{LeaseTerms, MAX_ISSUERS};
use issuer_session::IssuerSession;
use jitter::Jitter;
use pending_releases::PendingReleases;
use recent_requests::RecentRequests;
use request_packing::pack_requests;
use std::collections::BTreeMap;
use std::time::Duration;
use wanted_lease::WantedLease;

/// The number of request intervals after which a refused claim without a majority is released and retried after a
/// backoff.
const STUCK_AFTER_REQUEST_INTERVALS: u32 = 2;
/// The shortest backoff, in request intervals.
const MIN_BACKOFF_REQUEST_INTERVALS: f64 = 1.0;
/// The upper bound of the random time that is added to the shortest backoff, in request intervals.
const BACKOFF_JITTER_REQUEST_INTERVALS: f64 = 3.0;

/// A request and the issuer to which the caller must send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The index of the issuer in the configured list, from 0.
    pub issuer: usize,
    /// The request to send.
    pub request: LeaseRequest,
}

/// The size of a holder's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSize {
    /// The number of resources that the holder wants, whether it holds them or not.
    pub wanted: usize,
    /// The number of releases that at least one issuer has not acknowledged.
    pub pending_releases: usize,
}

/// The leases of one incarnation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseHolder {
    id: HolderId,
    terms: LeaseTerms,
    /// The sessions with the issuers, by index of the issuer.
    sessions: [IssuerSession; MAX_ISSUERS],
    wanted: BTreeMap<Resource, WantedLease>,
    releases: PendingReleases,
    recent_requests: RecentRequests,
    next_request_at: Duration,
    /// The highest epoch that this holder has used or been told of. New claims use higher ones.
    last_epoch: Epoch,
    jitter: Jitter,
}

impl LeaseHolder {
    /// Returns a holder without leases. `seed` is the seed of the random part of backoffs.
    pub fn new(id: HolderId, terms: LeaseTerms, seed: u64) -> LeaseHolder {
        LeaseHolder {
            id,
            terms,
            sessions: Default::default(),
            wanted: BTreeMap::new(),
            releases: PendingReleases::default(),
            recent_requests: RecentRequests::default(),
            next_request_at: Duration::ZERO,
            last_epoch: Epoch(0),
            jitter: Jitter::new(seed),
        }
    }

    /// Starts to claim a resource, under a new epoch, until it is released. The next requests are due at once. Has no
    /// effect if the resource is wanted already.
    pub fn want(&mut self, now: Duration, resource: Resource) {
        if self.wanted.contains_key(&resource) {
            return;
        }
        let wanted = WantedLease::new(self.next_epoch(), now);
        self.wanted.insert(resource, wanted);
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Stops claiming a resource. From this call on it is not held; other holders can get it as soon as the issuers
    /// have received the release. The next requests are due at once. Has no effect if the resource is not wanted.
    pub fn release(&mut self, now: Duration, resource: Resource) {
        let Some(wanted) = self.wanted.remove(&resource) else {
            return;
        };
        self.releases.insert(wanted.claim(resource));
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Returns the epoch under which the resource is held at `now`, or `None` if it is not held. Callers must check
    /// this directly before each operation that needs the lease.
    pub fn holds(&self, now: Duration, resource: Resource) -> Option<Epoch> {
        let wanted = self.wanted.get(&resource)?;
        self.is_held(now, wanted).then_some(wanted.epoch())
    }

    fn is_held(&self, now: Duration, wanted: &WantedLease) -> bool {
        wanted.current_grants(now, &self.sessions) >= self.terms.majority()
    }

    /// Returns the time, by the holder's clock, at which the next requests are due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// Returns the requests to send at `now`; empty before [`LeaseHolder::next_request_at`], and if nothing is wanted
    /// or to be released.
    pub fn requests(&mut self, now: Duration) -> Vec<AddressedRequest> {
        if now < self.next_request_at {
            return Vec::new();
        }
        self.next_request_at = now + self.terms.request_interval();
        if self.wanted.is_empty() && self.releases.is_empty() {
            return Vec::new();
        }
        self.drop_expired_releases(now);
        self.back_off_stuck_claims(now);
        let number = self.recent_requests.record(now);
        (0..self.terms.issuer_count())
            .flat_map(|issuer| self.requests_to(issuer, number, now))
            .collect()
    }

    /// Returns the requests to one issuer, with the releases that it has not acknowledged and the claims that it has
    /// not granted in its current session.
    fn requests_to(&self, issuer: usize, number: u32, now: Duration) -> Vec<AddressedRequest> {
        let session = &self.sessions[issuer];
        let claims = self
            .wanted
            .iter()
            .filter(|(_, wanted)| wanted.is_claim_due(now, issuer, session))
            .map(|(resource, wanted)| wanted.claim(*resource));
        let releases = self.releases.unacknowledged_by(issuer);
        pack_requests(self.id, number, releases, claims)
            .into_iter()
            .map(|request| AddressedRequest { issuer, request })
            .collect()
    }

    /// Releases the claims that are stuck with a minority, and claims the resources again after a random backoff.
    /// Without the release, two holders that claim the same resource at once, each granted by some issuers, could keep
    /// each other from a majority for ever.
    fn back_off_stuck_claims(&mut self, now: Duration) {
        let stuck: Vec<Claim> = self
            .wanted
            .iter()
            .filter(|(_, wanted)| self.is_stuck(now, wanted))
            .map(|(resource, wanted)| wanted.claim(*resource))
            .collect();
        for claim in stuck {
            let claimed_from = now + self.random_backoff();
            let wanted = WantedLease::new(self.next_epoch(), claimed_from);
            self.wanted.insert(claim.resource, wanted);
            self.releases.insert(claim);
        }
    }

    /// Returns true if [`STUCK_AFTER_REQUEST_INTERVALS`] have passed since the first claim, some issuers but no
    /// majority have granted it, and at least one has refused it.
    fn is_stuck(&self, now: Duration, wanted: &WantedLease) -> bool {
        let stuck_at =
            wanted.claimed_from() + self.terms.request_interval() * STUCK_AFTER_REQUEST_INTERVALS;
        wanted.is_refused()
            && wanted.grants(&self.sessions) > 0
            && !self.is_held(now, wanted)
            && now >= stuck_at
    }

    fn random_backoff(&mut self) -> Duration {
        let jitter = BACKOFF_JITTER_REQUEST_INTERVALS * self.jitter.fraction();
        self.terms
            .request_interval()
            .mul_f64(MIN_BACKOFF_REQUEST_INTERVALS + jitter)
    }

    /// Records an epoch that was used elsewhere, so that new claims use higher ones.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = Epoch(self.last_epoch.0 + 1);
        self.last_epoch
    }

    /// Handles a reply of the issuer with this index. Ignores a reply to another holder, to a request that is no longer
    /// among the recent ones, or of an earlier session.
    pub fn handle_reply(&mut self, issuer: usize, reply: &LeaseReply) {
        if issuer >= self.terms.issuer_count() || reply.holder != self.id {
            return;
        }
        let Some(sent_at) = self.recent_requests.sent_at(reply.number) else {
            return;
        };
        // The lease is counted from the sending of the request. The issuer counts it from the receipt, which is later,
        // so that the lease ends here first.
        let expires_at = sent_at + self.terms.holder_duration();
        if !self.sessions[issuer].renew(reply.session, expires_at) {
            return;
        }
        for decided in &reply.verdicts {
            self.apply_verdict(issuer, reply.session, decided);
        }
        for claim in &reply.released {
            self.releases.acknowledge(claim, issuer);
        }
        self.releases
            .drop_settled(self.terms.issuer_count(), |_| false);
    }

    fn apply_verdict(&mut self, issuer: usize, session: u64, decided: &ClaimVerdict) {
        let Claim { resource, epoch } = decided.claim;
        let Some(wanted) = self.wanted.get_mut(&resource) else {
            return;
        };
        if wanted.epoch() != epoch {
            return;
        }
        match decided.verdict {
            Verdict::Granted => wanted.record_grant(issuer, session),
            Verdict::HeldByOther(other) => {
                wanted.record_refusal(issuer);
                // Claim under a higher epoch from now on, so that the first claim after the other holder's lease has
                // ended is granted.
                self.raise_epoch(resource, other, 1);
            }
            Verdict::AtCapacity => wanted.record_refusal(issuer),
            // If a majority has granted the resource under the current epoch, this issuer's grant is not needed.
            Verdict::StaleEpoch(latest) => {
                self.raise_epoch(resource, latest, self.terms.majority());
            }
        }
    }

    /// Changes the epoch of a claim to one above `over`, unless it is above already or at least `enough_grants` issuers
    /// have granted the claim.
    fn raise_epoch(&mut self, resource: Resource, over: Epoch, enough_grants: usize) {
        let Some(wanted) = self.wanted.get(&resource) else {
            return;
        };
        if wanted.epoch() > over || wanted.grants(&self.sessions) >= enough_grants {
            return;
        }
        self.observe_epoch(over);
        let epoch = self.next_epoch();
        if let Some(wanted) = self.wanted.get_mut(&resource) {
            wanted.change_epoch(epoch);
        }
    }

    /// Drops the releases that are unacknowledged only by issuers whose session expired more than one lease duration
    /// ago, since those issuers have ended the leases by themselves.
    fn drop_expired_releases(&mut self, now: Duration) {
        let (sessions, terms) = (&self.sessions, &self.terms);
        let has_expired =
            |issuer: usize| sessions[issuer].expires_at + terms.issuer_duration() < now;
        self.releases
            .drop_settled(terms.issuer_count(), has_expired);
    }

    /// Returns the size of the stored state.
    pub fn size(&self) -> HolderSize {
        HolderSize {
            wanted: self.wanted.len(),
            pending_releases: self.releases.len(),
        }
    }
}
