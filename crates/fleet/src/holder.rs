//! What a gateway holds, by the word of a majority of grantors. One ask renews all that it has from a grantor.

use crate::message::{Ask, Claim, Epoch, Member, Thing, Told, Verdict, MOST};
use crate::terms::{Terms, MOST_GRANTORS};
use std::collections::BTreeMap;
use std::time::Duration;

/// Asks that an answer may still come for: more than are sent in a term.
const ASKED: usize = 6;

/// So many messages go to a grantor at once at most, each with [`MOST`] claims.
const BURST: usize = 16;

/// What is known of one grantor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Grant {
    /// The stay with it that is going on, or was last.
    session: u64,
    /// What it gave in that stay lasts until then, for us.
    until: Duration,
}

/// What is known of a thing that is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Wanted {
    epoch: Epoch,
    /// By grantor: the stay in which it gave the thing under this epoch.
    given: [Option<u64>; MOST_GRANTORS],
    /// By grantor: it has given it to another.
    held: u16,
    /// Nothing is claimed before: two that claim at once would keep each other out for ever.
    rests_until: Duration,
    /// Since when it is claimed without a rest.
    since: Duration,
}

/// One gateway that holds things.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    me: Member,
    terms: Terms,
    grants: [Grant; MOST_GRANTORS],
    wanted: BTreeMap<Thing, Wanted>,
    /// Given back, and by which grantors that is known.
    returned: BTreeMap<Claim, u16>,
    /// The last asks and when they were sent.
    asked: [(u32, Duration); ASKED],
    number: u32,
    next_ask: Duration,
    /// No epoch up to this is claimed again.
    last_epoch: Epoch,
    dice: u64,
}

impl Holder {
    /// A gateway that holds nothing yet. `dice` seeds the rests between claims.
    pub fn new(me: Member, terms: Terms, dice: u64) -> Holder {
        Holder {
            me,
            terms,
            grants: Default::default(),
            wanted: BTreeMap::new(),
            returned: BTreeMap::new(),
            asked: [(0, Duration::ZERO); ASKED],
            number: 0,
            next_ask: Duration::ZERO,
            last_epoch: Epoch(0),
            dice: dice | 1,
        }
    }

    /// Wants a thing from now on. Its epoch is the next that this gateway has not used; grantors that have seen a later one say so.
    pub fn want(&mut self, now: Duration, thing: Thing) {
        if self.wanted.contains_key(&thing) {
            return;
        }
        let epoch = self.next_epoch();
        let wanted = Wanted {
            epoch,
            given: [None; MOST_GRANTORS],
            held: 0,
            rests_until: now,
            since: now,
        };
        self.wanted.insert(thing, wanted);
        self.next_ask = self.next_ask.min(now);
    }

    /// Gives a thing back: it is not held from this call on, and others may have it as soon as the grantors know.
    pub fn let_go(&mut self, now: Duration, thing: Thing) {
        if let Some(wanted) = self.wanted.remove(&thing) {
            self.returned.insert(
                Claim {
                    thing,
                    epoch: wanted.epoch,
                },
                0,
            );
            self.next_ask = self.next_ask.min(now);
        }
    }

    /// The epoch under which a thing is held now. To be looked at right before each act.
    pub fn holds(&self, now: Duration, thing: Thing) -> Option<Epoch> {
        let wanted = self.wanted.get(&thing)?;
        self.is_held(now, wanted).then_some(wanted.epoch)
    }

    /// Whether a majority gives it now: only what a grantor gave in the stay that it renews counts.
    fn is_held(&self, now: Duration, wanted: &Wanted) -> bool {
        let pairs = self.grants.iter().zip(&wanted.given);
        let lasting =
            pairs.filter(|(grant, given)| **given == Some(grant.session) && now < grant.until);
        lasting.count() >= self.terms.majority()
    }

    /// So many grantors give it in the stay that is going on.
    fn giving(&self, wanted: &Wanted) -> usize {
        let pairs = self.grants.iter().zip(&wanted.given);
        pairs
            .filter(|(grant, given)| **given == Some(grant.session))
            .count()
    }

    /// When the next ask is due.
    pub fn next_ask(&self) -> Duration {
        self.next_ask
    }

    /// The asks that are due, by grantor; none before [`Holder::next_ask`].
    pub fn ask(&mut self, now: Duration) -> Vec<(usize, Ask)> {
        if now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + self.terms.pause();
        if self.wanted.is_empty() && self.returned.is_empty() {
            return Vec::new();
        }
        self.forget(now);
        self.starts_over(now);
        self.number += 1;
        self.asked[self.number as usize % ASKED] = (self.number, now);
        (0..self.terms.grantors())
            .flat_map(|n| self.asks_of(now, n))
            .collect()
    }

    /// One ask renews all; more go along only while there is more to claim or to give back than it can carry.
    fn asks_of(&self, now: Duration, n: usize) -> Vec<(usize, Ask)> {
        let session = self.grants[n].session;
        let due = |w: &&Wanted| w.rests_until <= now && w.given[n] != Some(session);
        let missing = self.wanted.iter().filter(|(_, w)| due(w));
        let claims = missing.map(|(thing, w)| Claim {
            thing: *thing,
            epoch: w.epoch,
        });
        let returns = self
            .returned
            .iter()
            .filter(|(_, known)| **known & (1 << n) == 0)
            .map(|(claim, _)| *claim);
        let both: Vec<_> = returns
            .map(|c| (c, true))
            .chain(claims.map(|c| (c, false)))
            .take(MOST * BURST)
            .collect();
        let ask = |part: &[(Claim, bool)]| {
            let of = |back: bool| {
                part.iter()
                    .filter(|(_, b)| *b == back)
                    .map(|(claim, _)| *claim)
                    .collect()
            };
            (
                n,
                Ask {
                    from: self.me,
                    number: self.number,
                    claims: of(false),
                    returns: of(true),
                },
            )
        };
        match both.is_empty() {
            true => vec![ask(&[])],
            false => both.chunks(MOST).map(ask).collect(),
        }
    }

    /// Gives back what could not be had within a term, and claims it again after a rest of its own: others that claim the same
    /// may have the grantors that are missing.
    fn starts_over(&mut self, now: Duration) {
        let stuck: Vec<Thing> = self
            .wanted
            .iter()
            .filter(|(_, w)| w.held != 0 && self.giving(w) > 0 && !self.is_held(now, w))
            .filter(|(_, w)| now >= w.since + self.terms.pause() * 2)
            .map(|(thing, _)| *thing)
            .collect();
        for thing in stuck {
            let rests = self.terms.pause().mul_f64(1.0 + 3.0 * self.draws());
            let epoch = self.next_epoch();
            let Some(w) = self.wanted.get_mut(&thing) else {
                continue;
            };
            self.returned.insert(
                Claim {
                    thing,
                    epoch: w.epoch,
                },
                0,
            );
            let (rests_until, since) = (now + rests, now + rests);
            *w = Wanted {
                epoch,
                given: [None; MOST_GRANTORS],
                held: 0,
                rests_until,
                since,
            };
        }
    }

    /// An epoch that was heard of: what is wanted from now on is claimed under later ones.
    pub fn heard(&mut self, epoch: Epoch) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = Epoch(self.last_epoch.0 + 1);
        self.last_epoch
    }

    fn draws(&mut self) -> f64 {
        self.dice = self
            .dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.dice >> 40) as f64 / (1 << 24) as f64
    }

    /// Takes in an answer of grantor `n`.
    pub fn told(&mut self, n: usize, told: &Told) {
        let (number, sent) = self.asked[told.number as usize % ASKED];
        if n >= self.terms.grantors() || told.to != self.me || told.number != number || number == 0
        {
            return;
        }
        let until = sent + self.terms.term();
        let grant = &mut self.grants[n];
        match grant.session == told.session {
            true => grant.until = grant.until.max(until),
            // Another stay: what was given in the one before is gone. An answer that comes late must not bring that back.
            false if until > grant.until || grant.session == 0 => {
                *grant = Grant {
                    session: told.session,
                    until,
                };
            }
            false => return,
        }
        for (claim, verdict) in &told.verdicts {
            self.weigh(n, told.session, claim, *verdict);
        }
        for claim in &told.returned {
            if let Some(known) = self.returned.get_mut(claim) {
                *known |= 1 << n;
            }
        }
        let all = (1_u16 << self.terms.grantors()) - 1;
        self.returned.retain(|_, known| *known != all);
    }

    fn weigh(&mut self, n: usize, session: u64, claim: &Claim, verdict: Verdict) {
        let Some(w) = self
            .wanted
            .get_mut(&claim.thing)
            .filter(|w| w.epoch == claim.epoch)
        else {
            return;
        };
        match verdict {
            Verdict::Given => {
                w.given[n] = Some(session);
                w.held &= !(1 << n);
            }
            Verdict::Held(epoch) => {
                w.held |= 1 << n;
                // Claimed later than that from now on, so that the first ask after its holder's end is given.
                self.raise(claim.thing, epoch, 1);
            }
            Verdict::Full => w.held |= 1 << n,
            // Where a majority gives it already, one that remembers more can be done without.
            Verdict::Late(epoch) => self.raise(claim.thing, epoch, self.terms.majority()),
        }
    }

    /// Claims a thing under an epoch later than this, where fewer grantors than that give it.
    fn raise(&mut self, thing: Thing, over: Epoch, giving: usize) {
        let Some(w) = self
            .wanted
            .get(&thing)
            .filter(|w| w.epoch <= over && self.giving(w) < giving)
        else {
            return;
        };
        let mut raised = Wanted {
            given: [None; MOST_GRANTORS],
            ..w.clone()
        };
        self.last_epoch = self.last_epoch.max(over);
        raised.epoch = self.next_epoch();
        self.wanted.insert(thing, raised);
    }

    /// Drops what was given back to grantors that have not answered for a term: by then it is over there anyway.
    fn forget(&mut self, now: Duration) {
        let lapsed = |n: usize| self.grants[n].until + self.terms.length() < now;
        let gone = (0..self.terms.grantors())
            .filter(|n| lapsed(*n))
            .fold(0, |all, n| all | 1 << n);
        let all = (1_u16 << self.terms.grantors()) - 1;
        self.returned.retain(|_, known| *known | gone != all);
    }

    /// Things wanted, and things given back that not all grantors know of.
    pub fn size(&self) -> (usize, usize) {
        (self.wanted.len(), self.returned.len())
    }
}
