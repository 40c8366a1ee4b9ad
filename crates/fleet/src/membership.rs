//! Membership: which gateways are alive, suspected or down, and which have left on purpose.
//!
//! The protocol is SWIM with suspicion, by foca, which does no I/O either. Beside it peers publish facts about themselves,
//! merged so that order, repetition and loss do not matter. A gateway whose process was paused uses nothing that it knows
//! until a peer has sent it a message.

mod codec;
mod config;
mod event;
mod facts;
mod peer;
mod runtime;

pub use event::{MembershipEvent, PeerState, PeerStatus};
pub use facts::{Fact, FACT_KINDS};
pub use peer::Peer;

use crate::wire::{Datagram, DatagramCodec, DropReason, Message};
use codec::PeerCodec;
use config::SUSPICION_TIMEOUT;
use facts::{SharedFactStore, LEAVING_FACT_KIND};
use foca::{Foca, State};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::{OutgoingMessage, ProtocolOutput};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A longer gap between two calls means that the process was paused: peers may have declared it down meanwhile.
const PAUSE_THRESHOLD: Duration = SUSPICION_TIMEOUT;

/// The membership as one gateway sees it.
pub struct Membership {
    foca: Foca<Peer, PeerCodec, SmallRng, SharedFactStore>,
    codec: PeerCodec,
    facts: SharedFactStore,
    output: ProtocolOutput,
    datagrams: DatagramCodec,
    last_call: Duration,
    /// No peer has sent a message since the process was paused.
    is_unconfirmed: bool,
    last_fact_version: u64,
    /// The facts that this gateway publishes, by kind.
    own_facts: BTreeMap<u8, u64>,
}

impl Membership {
    /// A gateway that knows no other one. `peer_addresses` are those of all gateways of the fleet; `seed` is for the random
    /// choice of peers to check and to gossip with.
    pub fn new(
        now: Duration,
        local_peer: Peer,
        peer_addresses: &[SocketAddrV4],
        seed: u64,
        datagrams: DatagramCodec,
    ) -> Membership {
        let peer_addresses: BTreeSet<SocketAddrV4> = peer_addresses.iter().copied().collect();
        let config = config::swim_config(peer_addresses.len());
        let codec = PeerCodec::new(peer_addresses.clone());
        let facts = SharedFactStore::new(peer_addresses);
        let rng = SmallRng::seed_from_u64(seed);
        Membership {
            foca: Foca::with_custom_broadcast(
                local_peer,
                config,
                rng,
                codec.clone(),
                facts.clone(),
            ),
            codec,
            facts,
            output: ProtocolOutput::new(now),
            datagrams,
            last_call: now,
            is_unconfirmed: false,
            last_fact_version: 0,
            own_facts: BTreeMap::new(),
        }
    }

    /// Announces this gateway to the peers at these addresses. Their incarnations are not known: any at the address replies.
    pub fn join(&mut self, now: Duration, addresses: &[SocketAddrV4]) {
        self.observe_time(now);
        let own_address = self.local_peer().address();
        for address in addresses.iter().filter(|address| **address != own_address) {
            let any_incarnation = Peer::new(*address, 0);
            // It fails only where a message is too long, which an announcement is not.
            let _ = self.foca.announce(any_incarnation, &mut self.output);
        }
    }

    /// Handles a SWIM message.
    ///
    /// # Errors
    ///
    /// Where it is to be dropped.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Result<(), DropReason> {
        self.observe_time(now);
        self.foca
            .handle_data(bytes, &mut self.output)
            .map_err(|_| DropReason::Malformed)?;
        self.is_unconfirmed = false;
        self.republish_facts();
        Ok(())
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.observe_time(now);
        while let Some(timer) = self.output.pop_due_timer() {
            // Timers of what is over by now say so by an error, which changes nothing.
            let _ = self.foca.handle_timer(timer, &mut self.output);
        }
        self.republish_facts();
    }

    /// Publishes the facts again where this gateway became another incarnation: those of the earlier one no longer count.
    fn republish_facts(&mut self) {
        if self.output.take_was_renewed() {
            for (kind, value) in self.own_facts.clone() {
                self.publish(kind, value);
            }
        }
    }

    /// Notices a pause of the process by the time of this call and the last one.
    fn observe_time(&mut self, now: Duration) {
        let was_paused = now.saturating_sub(self.last_call) > PAUSE_THRESHOLD;
        self.is_unconfirmed |= was_paused && self.foca.num_members() > 0;
        self.last_call = now;
        self.output.set_now(now);
    }

    /// When [`Membership::tick`] is to be called next.
    pub fn next_tick_at(&self) -> Option<Duration> {
        self.output.next_timer_at()
    }

    /// Whether what is known may be used: not after a pause of the process, until a peer has sent a message.
    pub fn is_current(&self, now: Duration) -> bool {
        !self.is_unconfirmed && now.saturating_sub(self.last_call) <= PAUSE_THRESHOLD
    }

    /// Publishes a fact about this gateway to all peers. `kind` is from 1 to
    /// [`FACT_KINDS`] - 1; 0 announces that this gateway leaves.
    pub fn publish(&mut self, kind: u8, value: u64) {
        self.last_fact_version += 1;
        self.own_facts.insert(kind, value);
        let fact = Fact {
            publisher: self.local_peer(),
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

    /// The datagrams to be sent since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        let messages = self.output.take_outgoing();
        messages
            .into_iter()
            // A forged message may name a peer at any address: nothing is sent there.
            .filter(|message| self.codec.check_known(&message.to).is_ok())
            .filter_map(|message| self.datagram(message))
            .collect()
    }

    fn datagram(&self, message: OutgoingMessage) -> Option<Datagram> {
        Some(Datagram {
            to: message.to.address(),
            bytes: self.datagrams.encode(&Message::Swim(message.bytes))?,
        })
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        let events = self.output.take_events();
        let left_or_down = |event| match event {
            MembershipEvent::Down(peer) if self.has_left(&peer) => MembershipEvent::Left(peer),
            other => other,
        };
        events.into_iter().map(left_or_down).collect()
    }

    fn has_left(&self, peer: &Peer) -> bool {
        self.fact(peer, LEAVING_FACT_KIND)
            .is_some_and(|fact| fact.value == 1)
    }

    /// The latest fact of a kind that this incarnation of a peer published.
    pub fn fact(&self, peer: &Peer, kind: u8) -> Option<Fact> {
        self.facts.latest(peer, kind)
    }

    /// This gateway as its peers know it.
    pub fn local_peer(&self) -> Peer {
        *self.foca.identity()
    }

    /// The other peers that are not down, with their states.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let state = |state| match state {
            State::Suspect => PeerState::Suspected,
            State::Alive | State::Down => PeerState::Alive,
        };
        self.foca
            .iter_members()
            .map(|member| PeerStatus {
                peer: *member.id(),
                state: state(member.state()),
            })
            .collect()
    }
}
