//! Membership: which gateways are alive, suspected or down, and which have left on purpose.
//!
//! The protocol is SWIM with suspicion, by foca, which does no I/O either. Beside it members publish facts about themselves,
//! merged so that order, repetition and loss do not matter. A member whose process was paused uses nothing that it knows
//! until another one has sent it a message.

mod codec;
mod config;
mod event;
mod facts;
mod peer;
mod runtime;

pub use event::{MembershipEvent, Standing};
pub use facts::{Fact, MAX_FACT_KINDS};
pub use peer::Peer;

use crate::wire::{Dropped, Message, Wire};
use codec::PeerCodec;
use facts::{Facts, SharedFacts, LEAVING};
use foca::{Foca, State};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::Output;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The membership as one gateway sees it.
pub struct Members {
    foca: Foca<Peer, PeerCodec, SmallRng, SharedFacts>,
    known: PeerCodec,
    facts: SharedFacts,
    out: Output,
    wire: Wire,
    /// A longer gap between two calls means that the process was paused.
    stopped_after: Duration,
    last_call: Duration,
    /// No other member has sent a message since the process was paused.
    is_unconfirmed: bool,
    version: u64,
    /// The facts that this member publishes, by kind.
    own_facts: BTreeMap<u8, u64>,
}

impl Members {
    /// A member that knows no other one. `peers` are the addresses of all gateways of the fleet.
    pub fn new(now: Duration, me: Peer, peers: &[SocketAddrV4], seed: u64, wire: Wire) -> Members {
        let known = PeerCodec {
            peers: peers.iter().map(|a| (a.ip().octets(), a.port())).collect(),
        };
        let size = NonZeroU32::new(known.peers.len().max(2) as u32).expect("at least two");
        let config = config::config(size);
        let stopped_after = config.suspect_to_down_after;
        let facts = SharedFacts(Arc::new(Mutex::new(Facts {
            peers: known.peers.clone(),
            ..Facts::default()
        })));
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::with_custom_broadcast(me, config, rng, known.clone(), facts.clone());
        let out = Output {
            now,
            ..Output::default()
        };
        Members {
            foca,
            known,
            facts,
            out,
            wire,
            stopped_after,
            last_call: now,
            is_unconfirmed: false,
            version: 0,
            own_facts: BTreeMap::new(),
        }
    }

    /// Announces this member to peers. Their incarnations are not known: any at the address replies.
    pub fn join(&mut self, now: Duration, peers: &[SocketAddrV4]) {
        self.at(now);
        let me = self.me().address();
        for address in peers.iter().filter(|address| **address != me) {
            // It fails only where a message is too long, which an announcement is not.
            let _ = self.foca.announce(Peer::new(*address, 0), &mut self.out);
        }
    }

    /// Handles a SWIM message.
    ///
    /// # Errors
    ///
    /// Where it is to be dropped.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Result<(), Dropped> {
        self.at(now);
        self.foca
            .handle_data(bytes, &mut self.out)
            .map_err(|_| Dropped::Malformed)?;
        self.is_unconfirmed = false;
        self.publish_again();
        Ok(())
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.at(now);
        while let Some(entry) = self
            .out
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let event = entry.remove();
            // Timers of what is over by now say so by an error, which changes nothing.
            let _ = self.foca.handle_timer(event, &mut self.out);
        }
        self.publish_again();
    }

    /// Publishes the facts again where this member became another incarnation: those of the earlier one no longer count.
    fn publish_again(&mut self) {
        if std::mem::take(&mut self.out.renewed) {
            for (kind, value) in self.own_facts.clone() {
                self.publish(kind, value);
            }
        }
    }

    fn at(&mut self, now: Duration) {
        self.is_unconfirmed |=
            now.saturating_sub(self.last_call) > self.stopped_after && self.foca.num_members() > 0;
        self.last_call = now;
        self.out.now = now;
    }

    /// When [`Members::tick`] is to be called next.
    pub fn next(&self) -> Option<Duration> {
        self.out.timers.keys().next().map(|(at, _)| *at)
    }

    /// Whether what is known may be used: not after a pause of the process, until another member has sent a message.
    pub fn is_current(&self, now: Duration) -> bool {
        !self.is_unconfirmed && now.saturating_sub(self.last_call) <= self.stopped_after
    }

    /// Publishes a fact about this member to all.
    pub fn publish(&mut self, kind: u8, value: u64) {
        self.version += 1;
        self.own_facts.insert(kind, value);
        let fact = Fact {
            of: *self.foca.identity(),
            kind,
            version: self.version,
            value,
        };
        if let Ok(bytes) = postcard::to_allocvec(&fact) {
            // It fails only where the fact can't be read back.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Leaves on purpose.
    pub fn leave(&mut self, now: Duration) {
        self.at(now);
        self.publish(LEAVING, 1);
        // It fails only where a message is too long, which gossip is not.
        let _ = self.foca.leave_cluster(&mut self.out);
    }

    /// Datagrams to be sent, with where to.
    pub fn outgoing(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let all = std::mem::take(&mut self.out.outgoing);
        let wired = |(to, bytes): (Peer, Vec<u8>)| {
            Some((to.address(), self.wire.write(&Message::Swim(bytes))?))
        };
        // What a forged message names as a member is not sent to.
        all.into_iter()
            .filter(|(to, _)| self.known.knows(to).is_ok())
            .filter_map(wired)
            .collect()
    }

    /// The changes since the last call.
    pub fn events(&mut self) -> Vec<MembershipEvent> {
        let all = std::mem::take(&mut self.out.events);
        let named = |events| match events {
            MembershipEvent::Down(peer) if self.has_left(&peer) => MembershipEvent::Left(peer),
            other => other,
        };
        all.into_iter().map(named).collect()
    }

    fn has_left(&self, peer: &Peer) -> bool {
        self.fact(peer, LEAVING).is_some_and(|fact| fact.value == 1)
    }

    /// The latest fact of a kind that this incarnation of a member published.
    pub fn fact(&self, peer: &Peer, kind: u8) -> Option<Fact> {
        let (ip, port) = peer.address;
        self.facts
            .facts()
            .latest
            .get(&(ip, port, kind))
            .copied()
            .filter(|fact| fact.of.incarnation == peer.incarnation)
    }

    /// This member.
    pub fn me(&self) -> Peer {
        *self.foca.identity()
    }

    /// The other members and their states.
    pub fn others(&self) -> Vec<(Peer, Standing)> {
        let standing = |state| match state {
            State::Suspect => Standing::Suspected,
            State::Alive | State::Down => Standing::Alive,
        };
        self.foca
            .iter_members()
            .map(|m| (*m.id(), standing(m.state())))
            .collect()
    }
}
