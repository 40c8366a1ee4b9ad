//! A grantor: what it has given, to whom, until when. It keeps nothing on a disk: one that has started again stays mute for a
//! whole lease, after which nothing that it gave before can still be held.

use crate::message::{Ask, Claim, Epoch, Member, Mute, Thing, Told, Verdict};
use crate::terms::Terms;
use std::collections::BTreeMap;
use std::time::Duration;

/// A member's unbroken stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Session {
    number: u64,
    until: Duration,
    /// The last ask that was answered: an older one says nothing of what its member wants now.
    last: u32,
}

/// The last that was given of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Given {
    epoch: Epoch,
    /// In which session; none once it was returned.
    to: Option<(Member, u64)>,
}

/// One grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grantor {
    length: Duration,
    mute_until: Duration,
    /// Sessions are numbered from the grantor's own life on, so that those of two lives never meet.
    next_session: u64,
    most_members: usize,
    most_things: usize,
    sessions: BTreeMap<Member, Session>,
    given: BTreeMap<Thing, Given>,
    /// Of things that were let go of here: no epoch up to this is given for one that is not known.
    floor: Epoch,
}

impl Grantor {
    /// A grantor that starts now, at `unix_ms` by its wall clock. `life` is drawn anew with each start; `most_members` and
    /// `most_things` bound what is kept.
    ///
    /// It remembers no epoch that was given before. All of those are under its wall clock and one lease, as long as the
    /// grantors' wall clocks are no more than a lease apart: it gives none up to there.
    pub fn start(
        now: Duration,
        unix_ms: u64,
        life: u64,
        terms: &Terms,
        most_members: usize,
        most_things: usize,
    ) -> Grantor {
        Grantor {
            length: terms.length(),
            mute_until: now + terms.length(),
            next_session: life,
            most_members,
            most_things,
            sessions: BTreeMap::new(),
            given: BTreeMap::new(),
            floor: Epoch(unix_ms + terms.length().as_millis() as u64),
        }
    }

    /// One that remembers nothing and speaks at once: for tests that show what that breaks.
    pub fn hasty(now: Duration, unix_ms: u64, life: u64, terms: &Terms) -> Grantor {
        Grantor {
            mute_until: now,
            ..Grantor::start(now, unix_ms, life, terms, 8, 8)
        }
    }

    /// Answers an ask that has come at `now`.
    ///
    /// # Errors
    ///
    /// Where nothing is answered, with the reason for the log.
    pub fn asked(&mut self, now: Duration, ask: &Ask) -> Result<Told, Mute> {
        if now < self.mute_until {
            return Err(Mute::Started(self.mute_until - now));
        }
        self.sessions.retain(|_, session| now < session.until);
        let session = self.stays(now, ask)?;
        ask.returns
            .iter()
            .for_each(|claim| self.takes_back(ask.from, claim));
        // What an older ask claims may have been given back since.
        let claims = if session.last == ask.number {
            &ask.claims[..]
        } else {
            &[]
        };
        let weigh = |claim: &Claim| (*claim, self.weigh(claim, ask.from, session.number));
        let verdicts = claims.iter().map(weigh).collect();
        Ok(Told {
            to: ask.from,
            number: ask.number,
            session: session.number,
            verdicts,
            returned: ask.returns.clone(),
        })
    }

    /// Begins or goes on with the stay of who asks.
    fn stays(&mut self, now: Duration, ask: &Ask) -> Result<Session, Mute> {
        let until = now + self.length;
        if let Some(session) = self.sessions.get_mut(&ask.from) {
            session.last = session.last.max(ask.number);
            session.until = until;
            return Ok(*session);
        }
        if self.sessions.len() >= self.most_members {
            return Err(Mute::Crowded(self.most_members));
        }
        let session = Session {
            number: self.next_session,
            until,
            last: ask.number,
        };
        self.next_session += 1;
        self.sessions.insert(ask.from, session);
        Ok(session)
    }

    /// Who has a thing in a session that still lasts.
    fn has(&self, given: &Given) -> Option<Member> {
        let (member, number) = given.to?;
        self.sessions
            .get(&member)
            .filter(|session| session.number == number)
            .map(|_| member)
    }

    fn weigh(&mut self, claim: &Claim, from: Member, session: u64) -> Verdict {
        let Claim { thing, epoch } = *claim;
        let new = Given {
            epoch,
            to: Some((from, session)),
        };
        match self
            .given
            .get(&thing)
            .map(|given| (*given, self.has(given)))
        {
            Some((given, Some(holder))) if holder == from => {
                // The same, or a later epoch of the same holder.
                if epoch < given.epoch {
                    return Verdict::Late(given.epoch);
                }
                self.given.insert(thing, new);
                Verdict::Given
            }
            Some((given, Some(_))) => Verdict::Held(given.epoch),
            Some((given, None)) if epoch <= given.epoch => Verdict::Late(given.epoch),
            None if epoch <= self.floor => Verdict::Late(self.floor),
            None if self.given.len() >= self.most_things && !self.makes_room() => Verdict::Full,
            Some((_, None)) | None => {
                self.given.insert(thing, new);
                Verdict::Given
            }
        }
    }

    /// Forgets a thing that nobody has, with the lowest epoch: the floor stands in for all that were forgotten.
    fn makes_room(&mut self) -> bool {
        let free = self
            .given
            .iter()
            .filter(|(_, given)| self.has(given).is_none());
        let Some((thing, given)) = free
            .min_by_key(|(_, given)| given.epoch)
            .map(|(t, g)| (*t, *g))
        else {
            return false;
        };
        self.floor = self.floor.max(given.epoch);
        self.given.remove(&thing);
        true
    }

    /// Frees what the member gives back, if it has it under this epoch.
    fn takes_back(&mut self, from: Member, claim: &Claim) {
        if let Some(given) = self
            .given
            .get_mut(&claim.thing)
            .filter(|given| given.epoch == claim.epoch)
        {
            given.to = given.to.filter(|(member, _)| *member != from);
        }
    }

    /// Things and members that it keeps.
    pub fn size(&self) -> (usize, usize) {
        (self.given.len(), self.sessions.len())
    }

    /// When it began to speak, or will.
    pub fn mute_until(&self) -> Duration {
        self.mute_until
    }
}
