//! Membership: which gateways are alive, suspected or down, and which have left on purpose.
//!
//! The protocol is SWIM with suspicion, by foca, which does no I/O either. Beside it members publish facts about themselves,
//! merged so that order, repetition and loss do not matter. A member whose process was paused uses nothing that it knows
//! until another one has sent it a message.

use crate::wire::{Dropped, Message, Wire, MAX_SWIM_BYTES};
use bytes::{Buf, BufMut};
use foca::{
    BroadcastHandler, Codec, Config, Foca, Header, Identity, Invalidates, Member, Notification,
    PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Kinds of facts that a member may publish about itself.
pub const MAX_FACT_KINDS: u8 = 8;
/// The kind of fact by which a member announces that it leaves on purpose.
const LEAVING: u8 = 0;

/// One incarnation of a gateway, at its address among the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    address: ([u8; 4], u16),
    /// The larger is the later one: Unix milliseconds of its start, plus one each time that it was declared down.
    pub incarnation: u64,
}

impl Peer {
    /// An incarnation at an address.
    pub fn new(address: SocketAddrV4, incarnation: u64) -> Peer {
        Peer {
            address: (address.ip().octets(), address.port()),
            incarnation,
        }
    }

    /// Its address.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address.0.into(), self.address.1)
    }
}

impl Identity for Peer {
    type Addr = ([u8; 4], u16);

    fn renew(&self) -> Option<Self> {
        Some(Peer {
            incarnation: self.incarnation + 1,
            ..*self
        })
    }

    fn addr(&self) -> Self::Addr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// A fact that a member publishes about itself. Only the highest version of a kind counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fact {
    /// The member.
    pub of: Peer,
    /// Under [`MAX_FACT_KINDS`]; 0 is the membership's own.
    pub kind: u8,
    /// Grows with each fact of the member.
    pub version: u64,
    /// The content, by kind.
    pub value: u64,
}

/// A change in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// The member is alive.
    Up(Peer),
    /// The fleet declared it down.
    Down(Peer),
    /// It left on purpose.
    Left(Peer),
    /// This member was declared down and is back as another incarnation: its leases have ended.
    Rejoined,
    /// No other member is alive.
    Alone,
}

/// The state of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It replies to health checks.
    Alive,
    /// It did not reply, and is declared down unless it refutes that.
    Suspected,
}

/// Facts by member and kind; one version of each.
#[derive(Debug, Default)]
struct Facts {
    latest: BTreeMap<([u8; 4], u16, u8), Fact>,
    /// Only facts of these are stored.
    peers: BTreeSet<([u8; 4], u16)>,
}

/// The key and the version of a published fact, which replaces older versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FactKey(([u8; 4], u16, u8), (u64, u64));

impl Invalidates for FactKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 > other.1
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a fact that can't be read, or of who is no peer; compare the gateways' builds and peers")]
struct Unreadable;

impl Facts {
    /// Stores a fact; returns its key where it is to be passed on, as it was not known.
    fn accept(&mut self, data: &[u8]) -> Result<Option<FactKey>, Unreadable> {
        let fact: Fact = postcard::from_bytes(data).map_err(|_| Unreadable)?;
        if fact.kind >= MAX_FACT_KINDS {
            return Err(Unreadable);
        }
        if !self.peers.contains(&fact.of.address) {
            return Err(Unreadable);
        }
        let (ip, port) = fact.of.address;
        let at = (ip, port, fact.kind);
        let order = (fact.of.incarnation, fact.version);
        if self
            .latest
            .get(&at)
            .is_some_and(|old| (old.of.incarnation, old.version) >= order)
        {
            return Ok(None);
        }
        self.latest.insert(at, fact);
        Ok(Some(FactKey(at, order)))
    }
}

/// Encodes SWIM's messages. It rejects members that are not among the peers, whose number bounds what is stored.
#[derive(Clone, Debug)]
struct PeerCodec {
    peers: BTreeSet<([u8; 4], u16)>,
}

#[derive(Debug, thiserror::Error)]
enum DecodeError {
    #[error("SWIM's message can't be read: {0}; compare the gateways' builds")]
    Coding(#[from] postcard::Error),
    #[error(
        "a message of {0}, which is not among the peers: bring the peers of all configurations to one list"
    )]
    UnknownPeer(SocketAddrV4),
}

impl PeerCodec {
    fn knows(&self, peer: &Peer) -> Result<(), DecodeError> {
        match self.peers.contains(&peer.address) {
            true => Ok(()),
            false => Err(DecodeError::UnknownPeer(peer.address())),
        }
    }
}

impl Codec<Peer> for PeerCodec {
    type Error = DecodeError;

    fn encode_header(
        &mut self,
        header: &Header<Peer>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Peer>, DecodeError> {
        let header: Header<Peer> = PostcardCodec.decode_header(buf)?;
        self.knows(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<Peer>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Peer>, DecodeError> {
        let member: Member<Peer> = PostcardCodec.decode_member(buf)?;
        self.knows(member.id())?;
        Ok(member)
    }
}

/// The facts, shared with foca, which gives no access to the handler that it owns.
#[derive(Clone, Default)]
struct SharedFacts(Arc<Mutex<Facts>>);

impl SharedFacts {
    fn facts(&self) -> MutexGuard<'_, Facts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BroadcastHandler<Peer> for SharedFacts {
    type Key = FactKey;
    type Error = Unreadable;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Peer>,
    ) -> Result<Option<FactKey>, Unreadable> {
        self.facts().accept(data)
    }
}

#[derive(Default)]
struct Output {
    now: Duration,
    number: u64,
    timers: BTreeMap<(Duration, u64), Timer<Peer>>,
    outgoing: Vec<(Peer, Vec<u8>)>,
    events: Vec<MembershipEvent>,
    /// This member became another incarnation, which has not published its facts yet.
    renewed: bool,
}

impl Runtime<Peer> for Output {
    fn notify(&mut self, what: Notification<'_, Peer>) {
        match what {
            Notification::MemberUp(peer) => self.events.push(MembershipEvent::Up(*peer)),
            Notification::MemberDown(peer) => self.events.push(MembershipEvent::Down(*peer)),
            Notification::Rejoin(_) => {
                self.events.push(MembershipEvent::Rejoined);
                self.renewed = true;
            }
            Notification::Idle => self.events.push(MembershipEvent::Alone),
            Notification::Rename(..) | Notification::Active | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.outgoing.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.number += 1;
        self.timers.insert((self.now + after, self.number), event);
    }
}

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
        let config = Members::config(size);
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

    /// A health check each half second; a failure is known to all members within some seconds.
    fn config(size: NonZeroU32) -> Config {
        let few = |n| NonZeroUsize::new(n).expect("not zero");
        let defaults = Config::new_lan(size);
        Config {
            probe_period: Duration::from_millis(500),
            probe_rtt: Duration::from_millis(200),
            num_indirect_probes: few(3),
            max_transmissions: defaults
                .max_transmissions
                .max(NonZeroU8::new(6).expect("not zero")),
            suspect_to_down_after: Duration::from_millis(1500),
            remove_down_after: Duration::from_secs(60),
            max_packet_size: few(MAX_SWIM_BYTES),
            periodic_announce: Some(PeriodicParams {
                frequency: Duration::from_secs(5),
                num_members: few(1),
            }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: Duration::from_secs(5),
                num_members: few(2),
            }),
            periodic_gossip: Some(PeriodicParams {
                frequency: Duration::from_millis(200),
                num_members: few(3),
            }),
            ..defaults
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
