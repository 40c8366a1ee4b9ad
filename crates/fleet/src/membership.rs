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

pub use event::{MembershipEvent, PeerState};
pub use facts::{Fact, MAX_FACT_KINDS};
pub use peer::Peer;

use crate::wire::{Dropped, Message, Wire};
use codec::PeerCodec;
use facts::{FactStore, SharedFactStore, LEAVING_FACT_KIND};
use foca::{Foca, State};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::ProtocolOutput;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The membership as one gateway sees it.
pub struct Membership {
    foca: Foca<Peer, PeerCodec, SmallRng, SharedFactStore>,
    codec: PeerCodec,
    facts: SharedFactStore,
    output: ProtocolOutput,
    wire: Wire,
    /// A longer gap between two calls means that the process was paused.
    pause_threshold: Duration,
    last_call: Duration,
    /// No other member has sent a message since the process was paused.
    is_unconfirmed: bool,
    last_fact_version: u64,
    /// The facts that this member publishes, by kind.
    own_facts: BTreeMap<u8, u64>,
}

impl Membership {
    /// A member that knows no other one. `peers` are the addresses of all gateways of the fleet.
    pub fn new(
        now: Duration,
        me: Peer,
        peers: &[SocketAddrV4],
        seed: u64,
        wire: Wire,
    ) -> Membership {
        let codec = PeerCodec {
            peers: peers.iter().map(|a| (a.ip().octets(), a.port())).collect(),
        };
        let size = NonZeroU32::new(codec.peers.len().max(2) as u32).expect("at least two");
        let config = config::config(size);
        let pause_threshold = config.suspect_to_down_after;
        let facts = SharedFactStore(Arc::new(Mutex::new(FactStore {
            peers: codec.peers.clone(),
            ..FactStore::default()
        })));
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::with_custom_broadcast(me, config, rng, codec.clone(), facts.clone());
        let output = ProtocolOutput {
            now,
            ..ProtocolOutput::default()
        };
        Membership {
            foca,
            codec,
            facts,
            output,
            wire,
            pause_threshold,
            last_call: now,
            is_unconfirmed: false,
            last_fact_version: 0,
            own_facts: BTreeMap::new(),
        }
    }

    /// Announces this member to peers. Their incarnations are not known: any at the address replies.
    pub fn join(&mut self, now: Duration, peers: &[SocketAddrV4]) {
        self.observe_time(now);
        let me = self.local_peer().address();
        for address in peers.iter().filter(|address| **address != me) {
            // It fails only where a message is too long, which an announcement is not.
            let _ = self.foca.announce(Peer::new(*address, 0), &mut self.output);
        }
    }

    /// Handles a SWIM message.
    ///
    /// # Errors
    ///
    /// Where it is to be dropped.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Result<(), Dropped> {
        self.observe_time(now);
        self.foca
            .handle_data(bytes, &mut self.output)
            .map_err(|_| Dropped::Malformed)?;
        self.is_unconfirmed = false;
        self.republish_facts();
        Ok(())
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.observe_time(now);
        while let Some(entry) = self
            .output
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let event = entry.remove();
            // Timers of what is over by now say so by an error, which changes nothing.
            let _ = self.foca.handle_timer(event, &mut self.output);
        }
        self.republish_facts();
    }

    /// Publishes the facts again where this member became another incarnation: those of the earlier one no longer count.
    fn republish_facts(&mut self) {
        if std::mem::take(&mut self.output.was_renewed) {
            for (kind, value) in self.own_facts.clone() {
                self.publish(kind, value);
            }
        }
    }

    fn observe_time(&mut self, now: Duration) {
        self.is_unconfirmed |= now.saturating_sub(self.last_call) > self.pause_threshold
            && self.foca.num_members() > 0;
        self.last_call = now;
        self.output.now = now;
    }

    /// When [`Membership::tick`] is to be called next.
    pub fn next_tick_at(&self) -> Option<Duration> {
        self.output.timers.keys().next().map(|(at, _)| *at)
    }

    /// Whether what is known may be used: not after a pause of the process, until another member has sent a message.
    pub fn is_current(&self, now: Duration) -> bool {
        !self.is_unconfirmed && now.saturating_sub(self.last_call) <= self.pause_threshold
    }

    /// Publishes a fact about this member to all.
    pub fn publish(&mut self, kind: u8, value: u64) {
        self.last_fact_version += 1;
        self.own_facts.insert(kind, value);
        let fact = Fact {
            publisher: *self.foca.identity(),
            kind,
            version: self.last_fact_version,
            value,
        };
        if let Ok(bytes) = postcard::to_allocvec(&fact) {
            // It fails only where the fact can't be read back.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Leaves on purpose.
    pub fn leave(&mut self, now: Duration) {
        self.observe_time(now);
        self.publish(LEAVING_FACT_KIND, 1);
        // It fails only where a message is too long, which gossip is not.
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// Datagrams to be sent, with where to.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let all = std::mem::take(&mut self.output.outgoing);
        let wired = |(to, bytes): (Peer, Vec<u8>)| {
            Some((to.address(), self.wire.write(&Message::Swim(bytes))?))
        };
        // What a forged message names as a member is not sent to.
        all.into_iter()
            .filter(|(to, _)| self.codec.check_known(to).is_ok())
            .filter_map(wired)
            .collect()
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        let all = std::mem::take(&mut self.output.events);
        let named = |events| match events {
            MembershipEvent::Down(peer) if self.has_left(&peer) => MembershipEvent::Left(peer),
            other => other,
        };
        all.into_iter().map(named).collect()
    }

    fn has_left(&self, peer: &Peer) -> bool {
        self.fact(peer, LEAVING_FACT_KIND)
            .is_some_and(|fact| fact.value == 1)
    }

    /// The latest fact of a kind that this incarnation of a member published.
    pub fn fact(&self, peer: &Peer, kind: u8) -> Option<Fact> {
        let (ip, port) = peer.address;
        self.facts
            .lock()
            .latest
            .get(&(ip, port, kind))
            .copied()
            .filter(|fact| fact.publisher.incarnation == peer.incarnation)
    }

    /// This member.
    pub fn local_peer(&self) -> Peer {
        *self.foca.identity()
    }

    /// The other members and their states.
    pub fn peers(&self) -> Vec<(Peer, PeerState)> {
        let standing = |state| match state {
            State::Suspect => PeerState::Suspected,
            State::Alive | State::Down => PeerState::Alive,
        };
        self.foca
            .iter_members()
            .map(|m| (*m.id(), standing(m.state())))
            .collect()
    }
}
