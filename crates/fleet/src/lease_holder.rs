//! The lease holder: which leases a gateway has from a majority of issuers. One request renews all leases of an issuer.

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

/// A claim that no majority has granted after this many request intervals is backed off.
const STUCK_AFTER_REQUEST_INTERVALS: u32 = 2;
/// The shortest backoff, in request intervals.
const MIN_BACKOFF_REQUEST_INTERVALS: f64 = 1.0;
/// A backoff is longer than the shortest by up to this, at random, in request intervals.
const BACKOFF_JITTER_REQUEST_INTERVALS: f64 = 3.0;

/// A request and the issuer that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The index of the issuer.
    pub issuer: usize,
    /// The request.
    pub request: LeaseRequest,
}

/// How much a holder stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSize {
    /// Resources that are wanted.
    pub wanted: usize,
    /// Releases that not all issuers know of.
    pub pending_releases: usize,
}

/// The leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseHolder {
    id: HolderId,
    terms: LeaseTerms,
    /// By issuer.
    sessions: [IssuerSession; MAX_ISSUERS],
    wanted: BTreeMap<Resource, WantedLease>,
    releases: PendingReleases,
    recent_requests: RecentRequests,
    next_request_at: Duration,
    /// No epoch up to this is claimed again.
    last_epoch: Epoch,
    jitter: Jitter,
}

impl LeaseHolder {
    /// A holder without leases. `seed` is for the jitter of backoffs.
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

    /// Claims a resource from now on, under the next epoch that this gateway has not used.
    pub fn want(&mut self, now: Duration, resource: Resource) {
        if self.wanted.contains_key(&resource) {
            return;
        }
        let wanted = WantedLease::new(self.next_epoch(), now);
        self.wanted.insert(resource, wanted);
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Releases a resource: it is not held from this call on, and free for others as soon as the issuers know.
    pub fn release(&mut self, now: Duration, resource: Resource) {
        let Some(wanted) = self.wanted.remove(&resource) else {
            return;
        };
        self.releases.insert(wanted.claim(resource));
        self.next_request_at = self.next_request_at.min(now);
    }

    /// The epoch under which a resource is held now; to be checked right before each act that needs the lease.
    pub fn holds(&self, now: Duration, resource: Resource) -> Option<Epoch> {
        let wanted = self.wanted.get(&resource)?;
        self.is_held(now, wanted).then_some(wanted.epoch())
    }

    fn is_held(&self, now: Duration, wanted: &WantedLease) -> bool {
        wanted.current_grants(now, &self.sessions) >= self.terms.majority()
    }

    /// When the next requests are due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// The requests that are due; none before [`LeaseHolder::next_request_at`].
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

    /// The requests to one issuer: the releases that it does not know of, and the claims that it has not granted.
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

    /// Releases what no majority granted for some time, and claims it again after a backoff: another holder that claims the
    /// same may have the other issuers, and two that claim at once could keep each other from a majority for ever.
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

    /// Whether a minority has granted a claim for some time and others refuse it.
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

    /// Notes an epoch that others use: further claims use later ones.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = Epoch(self.last_epoch.0 + 1);
        self.last_epoch
    }

    /// Handles a reply of an issuer, given by index.
    pub fn handle_reply(&mut self, issuer: usize, reply: &LeaseReply) {
        if issuer >= self.terms.issuer_count() || reply.holder != self.id {
            return;
        }
        let Some(sent_at) = self.recent_requests.sent_at(reply.number) else {
            return;
        };
        // The issuer's lease counts from when it received the request, which is later.
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
            Verdict::Granted => wanted.grant(issuer, session),
            Verdict::HeldByOther(other) => {
                wanted.refuse(issuer);
                // Later claims use a higher epoch, so that the first one after the other holder's end is granted.
                self.raise_epoch(resource, other, 1);
            }
            Verdict::AtCapacity => wanted.refuse(issuer),
            // A majority that grants it already does not need this issuer.
            Verdict::StaleEpoch(latest) => {
                self.raise_epoch(resource, latest, self.terms.majority());
            }
        }
    }

    /// Claims a resource under an epoch above `over`, unless its epoch is above that already or `enough_grants` issuers have
    /// granted it.
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

    /// Drops releases that only issuers without a reply for a lease do not know of: the leases have ended there.
    fn drop_expired_releases(&mut self, now: Duration) {
        let (sessions, terms) = (&self.sessions, &self.terms);
        let has_expired =
            |issuer: usize| sessions[issuer].expires_at + terms.issuer_duration() < now;
        self.releases
            .drop_settled(terms.issuer_count(), has_expired);
    }

    /// How much it stores.
    pub fn size(&self) -> HolderSize {
        HolderSize {
            wanted: self.wanted.len(),
            pending_releases: self.releases.len(),
        }
    }
}
