//! The lease holder: which leases a gateway has from a majority of issuers. One request renews all leases of an issuer.

use crate::lease_terms::{LeaseTerms, MAX_ISSUERS};
use crate::message::{
    Claim, Epoch, HolderId, LeaseReply, LeaseRequest, Resource, Verdict, MAX_CLAIMS_PER_MESSAGE,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests whose replies are accepted; more than are sent in a term.
const RECENT_REQUESTS: usize = 6;

/// Messages that go to an issuer at once, each with up to [`MAX_CLAIMS_PER_MESSAGE`] claims.
const MAX_MESSAGES_PER_ISSUER: usize = 16;

/// What is known of one issuer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grant {
    /// The current or last session with it.
    session: u64,
    /// When the leases of that session end, by our clock.
    until: Duration,
}

/// What is known of a wanted resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Wanted {
    epoch: Epoch,
    /// The session in which each issuer granted the resource under this epoch.
    granted_in: [Option<u64>; MAX_ISSUERS],
    /// A bit for each issuer that did not grant it.
    refused_by: u16,
    /// No claim before this: two members that claim at once could keep each other from a majority for ever.
    backoff_until: Duration,
    /// Since when it is claimed without a backoff.
    since: Duration,
}

/// The leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseHolder {
    id: HolderId,
    terms: LeaseTerms,
    grants: [Grant; MAX_ISSUERS],
    wanted: BTreeMap<Resource, Wanted>,
    /// Released claims, with a bit for each issuer that knows of it.
    released: BTreeMap<Claim, u16>,
    /// The number of each of the last requests, and when it was sent.
    recent_requests: [(u32, Duration); RECENT_REQUESTS],
    number: u32,
    next_request_at: Duration,
    /// No epoch up to this is claimed again.
    last_epoch: Epoch,
    rng_state: u64,
}

impl LeaseHolder {
    /// A holder without leases. `rng_state` seeds the jitter of backoffs.
    pub fn new(id: HolderId, terms: LeaseTerms, rng_state: u64) -> LeaseHolder {
        LeaseHolder {
            id,
            terms,
            grants: Default::default(),
            wanted: BTreeMap::new(),
            released: BTreeMap::new(),
            recent_requests: [(0, Duration::ZERO); RECENT_REQUESTS],
            number: 0,
            next_request_at: Duration::ZERO,
            last_epoch: Epoch(0),
            rng_state: rng_state | 1,
        }
    }

    /// Claims a resource from now on, under the next epoch that this gateway has not used.
    pub fn want(&mut self, now: Duration, resource: Resource) {
        if self.wanted.contains_key(&resource) {
            return;
        }
        let epoch = self.next_epoch();
        let wanted = Wanted {
            epoch,
            granted_in: [None; MAX_ISSUERS],
            refused_by: 0,
            backoff_until: now,
            since: now,
        };
        self.wanted.insert(resource, wanted);
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Releases a resource: it is not held from this call on, and free for others as soon as the issuers know.
    pub fn release(&mut self, now: Duration, resource: Resource) {
        if let Some(wanted) = self.wanted.remove(&resource) {
            self.released.insert(
                Claim {
                    resource,
                    epoch: wanted.epoch,
                },
                0,
            );
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// The epoch under which a resource is held now; to be checked right before each act that needs the lease.
    pub fn holds(&self, now: Duration, resource: Resource) -> Option<Epoch> {
        let wanted = self.wanted.get(&resource)?;
        self.is_held(now, wanted).then_some(wanted.epoch)
    }

    /// Whether a majority grants it now; only grants of the current sessions count.
    fn is_held(&self, now: Duration, wanted: &Wanted) -> bool {
        let pairs = self.grants.iter().zip(&wanted.granted_in);
        let lasting = pairs
            .filter(|(grant, granted_in)| **granted_in == Some(grant.session) && now < grant.until);
        lasting.count() >= self.terms.majority()
    }

    /// How many issuers granted it in their current sessions.
    fn granting(&self, wanted: &Wanted) -> usize {
        let pairs = self.grants.iter().zip(&wanted.granted_in);
        pairs
            .filter(|(grant, granted_in)| **granted_in == Some(grant.session))
            .count()
    }

    /// When the next requests are due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// The requests that are due, each with the index of its issuer; none before [`LeaseHolder::next_request_at`].
    pub fn requests(&mut self, now: Duration) -> Vec<(usize, LeaseRequest)> {
        if now < self.next_request_at {
            return Vec::new();
        }
        self.next_request_at = now + self.terms.request_interval();
        if self.wanted.is_empty() && self.released.is_empty() {
            return Vec::new();
        }
        self.drop_expired_releases(now);
        self.back_off_stuck_claims(now);
        self.number += 1;
        self.recent_requests[self.number as usize % RECENT_REQUESTS] = (self.number, now);
        (0..self.terms.issuer_count())
            .flat_map(|issuer| self.requests_to(now, issuer))
            .collect()
    }

    /// One request renews all leases; there are more only for claims and releases that do not fit into one.
    fn requests_to(&self, now: Duration, issuer: usize) -> Vec<(usize, LeaseRequest)> {
        let session = self.grants[issuer].session;
        let due = |wanted: &&Wanted| {
            wanted.backoff_until <= now && wanted.granted_in[issuer] != Some(session)
        };
        let missing = self.wanted.iter().filter(|(_, wanted)| due(wanted));
        let claims = missing.map(|(resource, wanted)| Claim {
            resource: *resource,
            epoch: wanted.epoch,
        });
        let releases = self
            .released
            .iter()
            .filter(|(_, known)| **known & (1 << issuer) == 0)
            .map(|(claim, _)| *claim);
        let both: Vec<_> = releases
            .map(|c| (c, true))
            .chain(claims.map(|c| (c, false)))
            .take(MAX_CLAIMS_PER_MESSAGE * MAX_MESSAGES_PER_ISSUER)
            .collect();
        let request = |part: &[(Claim, bool)]| {
            let of = |back: bool| {
                part.iter()
                    .filter(|(_, b)| *b == back)
                    .map(|(claim, _)| *claim)
                    .collect()
            };
            (
                issuer,
                LeaseRequest {
                    holder: self.id,
                    number: self.number,
                    claims: of(false),
                    releases: of(true),
                },
            )
        };
        match both.is_empty() {
            true => vec![request(&[])],
            false => both.chunks(MAX_CLAIMS_PER_MESSAGE).map(request).collect(),
        }
    }

    /// Releases what no majority granted for some time, and claims it again after a backoff: another member that claims the
    /// same may have the other issuers.
    fn back_off_stuck_claims(&mut self, now: Duration) {
        let stuck: Vec<Resource> = self
            .wanted
            .iter()
            .filter(|(_, wanted)| {
                wanted.refused_by != 0 && self.granting(wanted) > 0 && !self.is_held(now, wanted)
            })
            .filter(|(_, wanted)| now >= wanted.since + self.terms.request_interval() * 2)
            .map(|(resource, _)| *resource)
            .collect();
        for resource in stuck {
            let backoff = self
                .terms
                .request_interval()
                .mul_f64(1.0 + 3.0 * self.random_fraction());
            let epoch = self.next_epoch();
            let Some(wanted) = self.wanted.get_mut(&resource) else {
                continue;
            };
            self.released.insert(
                Claim {
                    resource,
                    epoch: wanted.epoch,
                },
                0,
            );
            let (backoff_until, since) = (now + backoff, now + backoff);
            *wanted = Wanted {
                epoch,
                granted_in: [None; MAX_ISSUERS],
                refused_by: 0,
                backoff_until,
                since,
            };
        }
    }

    /// Notes an epoch that others use: further claims use later ones.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = Epoch(self.last_epoch.0 + 1);
        self.last_epoch
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 40) as f64 / (1 << 24) as f64
    }

    /// Handles a reply of an issuer, given by index.
    pub fn handle_reply(&mut self, issuer: usize, reply: &LeaseReply) {
        let (number, sent) = self.recent_requests[reply.number as usize % RECENT_REQUESTS];
        if issuer >= self.terms.issuer_count()
            || reply.holder != self.id
            || reply.number != number
            || number == 0
        {
            return;
        }
        let until = sent + self.terms.holder_duration();
        let grant = &mut self.grants[issuer];
        match grant.session == reply.session {
            true => grant.until = grant.until.max(until),
            // A new session: leases of the one before have ended, and a late reply must not restore them.
            false if until > grant.until || grant.session == 0 => {
                *grant = Grant {
                    session: reply.session,
                    until,
                };
            }
            false => return,
        }
        for (claim, verdict) in &reply.verdicts {
            self.apply_verdict(issuer, reply.session, claim, *verdict);
        }
        for claim in &reply.released {
            if let Some(known) = self.released.get_mut(claim) {
                *known |= 1 << issuer;
            }
        }
        let all = (1_u16 << self.terms.issuer_count()) - 1;
        self.released.retain(|_, known| *known != all);
    }

    fn apply_verdict(&mut self, issuer: usize, session: u64, claim: &Claim, verdict: Verdict) {
        let Some(wanted) = self
            .wanted
            .get_mut(&claim.resource)
            .filter(|wanted| wanted.epoch == claim.epoch)
        else {
            return;
        };
        match verdict {
            Verdict::Granted => {
                wanted.granted_in[issuer] = Some(session);
                wanted.refused_by &= !(1 << issuer);
            }
            Verdict::HeldByOther(epoch) => {
                wanted.refused_by |= 1 << issuer;
                // Later claims use a higher epoch, so that the first one after the holder's end is granted.
                self.raise_epoch(claim.resource, epoch, 1);
            }
            Verdict::AtCapacity => wanted.refused_by |= 1 << issuer,
            // A majority that grants it already does not need this issuer.
            Verdict::StaleEpoch(epoch) => {
                self.raise_epoch(claim.resource, epoch, self.terms.majority())
            }
        }
    }

    /// Claims a resource under an epoch above `over`, where fewer than `granting` issuers grant it.
    fn raise_epoch(&mut self, resource: Resource, over: Epoch, granting: usize) {
        let Some(wanted) = self
            .wanted
            .get(&resource)
            .filter(|wanted| wanted.epoch <= over && self.granting(wanted) < granting)
        else {
            return;
        };
        let mut raised = Wanted {
            granted_in: [None; MAX_ISSUERS],
            ..wanted.clone()
        };
        self.last_epoch = self.last_epoch.max(over);
        raised.epoch = self.next_epoch();
        self.wanted.insert(resource, raised);
    }

    /// Drops releases that only issuers without a reply for a lease do not know of: the leases have ended there.
    fn drop_expired_releases(&mut self, now: Duration) {
        let lapsed = |issuer: usize| self.grants[issuer].until + self.terms.issuer_duration() < now;
        let expired = (0..self.terms.issuer_count())
            .filter(|issuer| lapsed(*issuer))
            .fold(0, |all, issuer| all | 1 << issuer);
        let all = (1_u16 << self.terms.issuer_count()) - 1;
        self.released.retain(|_, known| *known | expired != all);
    }

    /// How many resources are wanted, and how many releases are not known to all issuers.
    pub fn size(&self) -> (usize, usize) {
        (self.wanted.len(), self.released.len())
    }
}
