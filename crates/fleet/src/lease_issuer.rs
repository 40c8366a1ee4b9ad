//! The lease issuer: which resource is granted to whom, until when.
//!
//! It stores nothing on a disk. A restarted issuer sends no reply for the duration of a lease, after which no lease that it
//! granted before can still be held.

use crate::lease_terms::LeaseTerms;
use crate::message::{
    Claim, Epoch, HolderId, LeaseReply, LeaseRequest, NoReply, Resource, Verdict,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The time over which a holder has renewed its leases without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Session {
    number: u64,
    until: Duration,
    /// The number of the latest request; claims of older ones are out of date.
    last: u32,
}

/// The latest grant of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grant {
    epoch: Epoch,
    /// The holder and its session; `None` once it was released.
    to: Option<(HolderId, u64)>,
}

/// A lease issuer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseIssuer {
    lease_duration: Duration,
    silent_until: Duration,
    /// Sessions are numbered from the incarnation on, so that two incarnations never use the same numbers.
    next_session: u64,
    max_holders: usize,
    max_resources: usize,
    sessions: BTreeMap<HolderId, Session>,
    granted: BTreeMap<Resource, Grant>,
    /// No epoch up to this is granted for a resource that is not stored: it may have been evicted.
    floor: Epoch,
}

impl LeaseIssuer {
    /// An issuer that starts now, at `unix_ms` by its wall clock, in milliseconds. `incarnation` is drawn anew with each
    /// start; `max_holders` and `max_resources` bound what is stored.
    ///
    /// It remembers no epoch that was granted before. All of those are below its wall clock plus one lease, as long as the
    /// issuers' wall clocks are no more than a lease apart: it grants none up to there.
    pub fn start(
        now: Duration,
        unix_ms: u64,
        incarnation: u64,
        terms: &LeaseTerms,
        max_holders: usize,
        max_resources: usize,
    ) -> LeaseIssuer {
        LeaseIssuer {
            lease_duration: terms.issuer_duration(),
            silent_until: now + terms.issuer_duration(),
            next_session: incarnation,
            max_holders,
            max_resources,
            sessions: BTreeMap::new(),
            granted: BTreeMap::new(),
            floor: Epoch(unix_ms + terms.issuer_duration().as_millis() as u64),
        }
    }

    /// An issuer that replies at once though it remembers nothing, for tests that show what that breaks.
    pub fn start_without_silence(
        now: Duration,
        unix_ms: u64,
        incarnation: u64,
        terms: &LeaseTerms,
    ) -> LeaseIssuer {
        LeaseIssuer {
            silent_until: now,
            ..LeaseIssuer::start(now, unix_ms, incarnation, terms, 8, 8)
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
        self.sessions.retain(|_, session| now < session.until);
        let session = self.renew_session(now, request)?;
        request
            .releases
            .iter()
            .for_each(|claim| self.release(request.holder, claim));
        // What an older request claims may have been released since.
        let claims = if session.last == request.number {
            &request.claims[..]
        } else {
            &[]
        };
        let verdict = |claim: &Claim| (*claim, self.verdict(claim, request.holder, session.number));
        let verdicts = claims.iter().map(verdict).collect();
        Ok(LeaseReply {
            holder: request.holder,
            number: request.number,
            session: session.number,
            verdicts,
            released: request.releases.clone(),
        })
    }

    /// Starts or extends the session of the holder that sent a request.
    fn renew_session(&mut self, now: Duration, request: &LeaseRequest) -> Result<Session, NoReply> {
        let until = now + self.lease_duration;
        if let Some(session) = self.sessions.get_mut(&request.holder) {
            session.last = session.last.max(request.number);
            session.until = until;
            return Ok(*session);
        }
        if self.sessions.len() >= self.max_holders {
            return Err(NoReply::TooManyHolders(self.max_holders));
        }
        let session = Session {
            number: self.next_session,
            until,
            last: request.number,
        };
        self.next_session += 1;
        self.sessions.insert(request.holder, session);
        Ok(session)
    }

    /// The holder of a grant whose session still lasts.
    fn current_holder(&self, granted: &Grant) -> Option<HolderId> {
        let (member, number) = granted.to?;
        self.sessions
            .get(&member)
            .filter(|session| session.number == number)
            .map(|_| member)
    }

    fn verdict(&mut self, claim: &Claim, from: HolderId, session: u64) -> Verdict {
        let Claim { resource, epoch } = *claim;
        let new = Grant {
            epoch,
            to: Some((from, session)),
        };
        match self
            .granted
            .get(&resource)
            .map(|granted| (*granted, self.current_holder(granted)))
        {
            Some((granted, Some(holder))) if holder == from => {
                // The same, or a later epoch of the same holder.
                if epoch < granted.epoch {
                    return Verdict::StaleEpoch(granted.epoch);
                }
                self.granted.insert(resource, new);
                Verdict::Granted
            }
            Some((granted, Some(_))) => Verdict::HeldByOther(granted.epoch),
            Some((granted, None)) if epoch <= granted.epoch => Verdict::StaleEpoch(granted.epoch),
            None if epoch <= self.floor => Verdict::StaleEpoch(self.floor),
            None if self.granted.len() >= self.max_resources && !self.evict_free_resource() => {
                Verdict::AtCapacity
            }
            Some((_, None)) | None => {
                self.granted.insert(resource, new);
                Verdict::Granted
            }
        }
    }

    /// Evicts the resource without a holder that has the lowest epoch, and raises the floor to that epoch.
    fn evict_free_resource(&mut self) -> bool {
        let free = self
            .granted
            .iter()
            .filter(|(_, granted)| self.current_holder(granted).is_none());
        let Some((resource, granted)) = free
            .min_by_key(|(_, granted)| granted.epoch)
            .map(|(t, g)| (*t, *g))
        else {
            return false;
        };
        self.floor = self.floor.max(granted.epoch);
        self.granted.remove(&resource);
        true
    }

    /// Frees what a holder releases, if it has it under this epoch.
    fn release(&mut self, from: HolderId, claim: &Claim) {
        if let Some(granted) = self
            .granted
            .get_mut(&claim.resource)
            .filter(|granted| granted.epoch == claim.epoch)
        {
            granted.to = granted.to.filter(|(member, _)| *member != from);
        }
    }

    /// How many resources and sessions with holders it stores.
    pub fn size(&self) -> (usize, usize) {
        (self.granted.len(), self.sessions.len())
    }

    /// When it starts or started to reply.
    pub fn silent_until(&self) -> Duration {
        self.silent_until
    }
}
