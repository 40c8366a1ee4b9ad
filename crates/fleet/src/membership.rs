//! Group membership of the gateways: tracks the peers that are alive, suspected or down, and those that have left on
//! purpose.
//!
//! The protocol is SWIM with suspicion, implemented by the foca crate. Neither this module nor foca does I/O. Peers
//! also publish facts about themselves; these are merged so that reordering, duplication and loss of messages do not
//! matter. After a pause of the process the gateway's view may be out of date, so [`Membership::is_current`] returns
//! false until a message from a peer is received.

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

/// Time between two calls above which the process counts as having been paused. Equal to the suspicion timeout, since
/// peers may declare this gateway down after that time.
const PAUSE_THRESHOLD: Duration = SUSPICION_TIMEOUT;

/// The membership as one gateway sees it. The caller passes in received messages and the time, and sends the datagrams
/// of [`Membership::take_outgoing`].
pub struct Membership {
    foca: Foca<Peer, PeerCodec, SmallRng, SharedFactStore>,
    codec: PeerCodec,
    facts: SharedFactStore,
    output: ProtocolOutput,
    datagrams: DatagramCodec,
    last_call: Duration,
    /// Set when a pause of the process is detected, cleared when a peer's message is received.
    is_stale: bool,
    last_fact_version: u64,
    /// The latest value of each fact that this gateway has published, by kind.
    own_facts: BTreeMap<u8, u64>,
}

impl Membership {
    /// Returns the membership of a gateway that knows no other peer yet. `peer_addresses` are the addresses of all
    /// gateways of the fleet. `seed` is the seed for the random choice of the peers to check and to gossip with.
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
            is_stale: false,
            last_fact_version: 0,
            own_facts: BTreeMap::new(),
        }
    }

    /// Announces this gateway to the peers at these addresses, except its own. The peers' incarnations need not be
    /// known: whichever incarnation runs at an address replies.
    pub fn join(&mut self, now: Duration, addresses: &[SocketAddrV4]) {
        self.observe_time(now);
        let own_address = self.local_peer().address();
        for address in addresses.iter().filter(|address| **address != own_address) {
            let any_incarnation = Peer::new(*address, 0);
            // The call fails only if the message is too long. An announcement is always short enough.
            let _ = self.foca.announce(any_incarnation, &mut self.output);
        }
    }

    /// Handles a SWIM message that was received at `now`.
    ///
    /// # Errors
    ///
    /// [`DropReason::Malformed`] if the message cannot be decoded, names a peer whose address is not configured, or is
    /// rejected by the protocol.
    pub fn receive(&mut self, now: Duration, bytes: &[u8]) -> Result<(), DropReason> {
        self.observe_time(now);
        self.foca
            .handle_data(bytes, &mut self.output)
            .map_err(|_| DropReason::Malformed)?;
        self.is_stale = false;
        self.republish_facts();
        Ok(())
    }

    /// Runs the timers that are due at `now`. To be called at [`Membership::next_tick_at`].
    pub fn tick(&mut self, now: Duration) {
        self.observe_time(now);
        while let Some(timer) = self.output.pop_due_timer() {
            // A timer of an operation that has ended returns an error and has no other effect.
            let _ = self.foca.handle_timer(timer, &mut self.output);
        }
        self.republish_facts();
    }

    /// Publishes all facts again if this gateway has become a new incarnation, since peers ignore the facts of an
    /// earlier incarnation.
    fn republish_facts(&mut self) {
        if self.output.take_rejoined() {
            for (kind, value) in self.own_facts.clone() {
                self.publish(kind, value);
            }
        }
    }

    /// Records the time of a call. Detects a pause of the process by the time since the previous call.
    fn observe_time(&mut self, now: Duration) {
        let was_paused = now.saturating_sub(self.last_call) > PAUSE_THRESHOLD;
        self.is_stale |= was_paused && self.foca.num_members() > 0;
        self.last_call = now;
        self.output.set_now(now);
    }

    /// Returns the time at which [`Membership::tick`] is to be called next, or `None` if no timer is set.
    pub fn next_tick_at(&self) -> Option<Duration> {
        self.output.next_timer_at()
    }

    /// Returns true if the view of the membership may be used at `now`. Returns false after a pause of the process,
    /// until a peer's message is received. A gateway that knows no other peer does not wait for a message: its view
    /// becomes current with the next call of [`Membership::tick`].
    pub fn is_current(&self, now: Duration) -> bool {
        !self.is_stale && now.saturating_sub(self.last_call) <= PAUSE_THRESHOLD
    }

    /// Publishes a fact about this gateway to all peers; it replaces the gateway's earlier fact of the same kind.
    /// `kind` is from 1 to [`FACT_KINDS`] - 1; kind 0 is used by [`Membership::leave`]. A fact of any other kind is not
    /// published.
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
            // The call fails only if the fact cannot be decoded or has an unknown kind or publisher.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Announces to the peers that this gateway leaves on purpose, so that they report [`MembershipEvent::Left`]
    /// instead of [`MembershipEvent::Down`].
    pub fn leave(&mut self, now: Duration) {
        self.observe_time(now);
        self.publish(LEAVING_FACT_KIND, 1);
        // The call fails only if a message is too long. A gossip message is always short enough.
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// Returns and removes the datagrams to be sent, which have accumulated since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        let messages = self.output.take_outgoing();
        messages
            .into_iter()
            // A forged message may have named a peer at any address. Nothing is sent to addresses that are not
            // configured.
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

    /// Returns and removes the membership events since the last call, in their order.
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

    /// Returns the latest fact of a kind that this incarnation of a peer has published, or `None` if none is known.
    pub fn fact(&self, peer: &Peer, kind: u8) -> Option<Fact> {
        self.facts.latest(peer, kind)
    }

    /// Returns this gateway's own address and current incarnation.
    pub fn local_peer(&self) -> Peer {
        *self.foca.identity()
    }

    /// Returns the other peers that are not declared down, with their states.
    pub fn peers(&self) -> Vec<PeerStatus> {
        // foca lists only members that are not down, so that `State::Down` does not occur.
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
