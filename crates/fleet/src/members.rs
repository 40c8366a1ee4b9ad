//! Membership: who is there, who is suspected, who has gone and who has left on purpose. The protocol is SWIM with suspicion,
//! by foca, which does no I/O either; beside it goes what members tell of themselves, merged so that order, repeats and loss
//! do not matter. A member that was stopped acts on nothing it knows until somebody has spoken to it again.

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

/// Kinds of facts that a member may tell of itself at once.
pub const MOST_FACTS: u8 = 8;
/// The kind of fact by which a member says that it leaves on purpose.
const LEAVES: u8 = 0;

/// One life of a gateway at its address among the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    address: ([u8; 4], u16),
    /// The larger is the later: Unix milliseconds of its start, and one more each time that it was taken for gone.
    pub life: u64,
}

impl Peer {
    pub fn new(address: SocketAddrV4, life: u64) -> Peer {
        Peer {
            address: (address.ip().octets(), address.port()),
            life,
        }
    }

    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address.0.into(), self.address.1)
    }
}

impl Identity for Peer {
    type Addr = ([u8; 4], u16);

    fn renew(&self) -> Option<Self> {
        Some(Peer {
            life: self.life + 1,
            ..*self
        })
    }

    fn addr(&self) -> Self::Addr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.life > adversary.life
    }
}

/// What a member tells of itself: zone evidence, load, a generation. Only the highest version of a kind counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fact {
    pub of: Peer,
    /// Under [`MOST_FACTS`]; 0 is the membership's own.
    pub kind: u8,
    pub version: u64,
    pub value: u64,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum News {
    Up(Peer),
    /// It is taken for gone by the fleet.
    Down(Peer),
    /// It said that it leaves.
    Left(Peer),
    /// We were taken for gone, and are back as another life: what we held is not ours any more.
    WasGone,
    /// Nobody else is there.
    Alone,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    There,
    Suspected,
}

/// Facts by member and kind; one version of each.
#[derive(Debug, Default)]
struct Facts {
    told: BTreeMap<([u8; 4], u16, u8), Fact>,
    /// Facts are kept of these only.
    peers: BTreeSet<([u8; 4], u16)>,
}

/// A fact on its way: it takes the place of an older version of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place(([u8; 4], u16, u8), (u64, u64));

impl Invalidates for Place {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 > other.1
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a fact that can't be read, or of who is no peer; compare the gateways' builds and peers")]
struct Unreadable;

impl Facts {
    /// Takes a fact in; where it goes on, if it was news.
    fn take(&mut self, data: &[u8]) -> Result<Option<Place>, Unreadable> {
        let fact: Fact = postcard::from_bytes(data).map_err(|_| Unreadable)?;
        if fact.kind >= MOST_FACTS {
            return Err(Unreadable);
        }
        if !self.peers.contains(&fact.of.address) {
            return Err(Unreadable);
        }
        let (ip, port) = fact.of.address;
        let at = (ip, port, fact.kind);
        let order = (fact.of.life, fact.version);
        if self
            .told
            .get(&at)
            .is_some_and(|old| (old.of.life, old.version) >= order)
        {
            return Ok(None);
        }
        self.told.insert(at, fact);
        Ok(Some(Place(at, order)))
    }
}

/// Reads and writes SWIM's messages, and takes no word of who is not among the peers: what is kept is bounded by their number.
#[derive(Clone, Debug)]
struct Known {
    peers: BTreeSet<([u8; 4], u16)>,
}

#[derive(Debug, thiserror::Error)]
enum Unread {
    #[error("SWIM's message can't be read: {0}; compare the gateways' builds")]
    Coding(#[from] postcard::Error),
    #[error(
        "a message of {0}, which is not among the peers: bring the peers of all configurations to one list"
    )]
    Stranger(SocketAddrV4),
}

impl Known {
    fn knows(&self, peer: &Peer) -> Result<(), Unread> {
        match self.peers.contains(&peer.address) {
            true => Ok(()),
            false => Err(Unread::Stranger(peer.address())),
        }
    }
}

impl Codec<Peer> for Known {
    type Error = Unread;

    fn encode_header(&mut self, header: &Header<Peer>, buf: impl BufMut) -> Result<(), Unread> {
        Ok(PostcardCodec.encode_header(header, buf)?)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Peer>, Unread> {
        let header: Header<Peer> = PostcardCodec.decode_header(buf)?;
        self.knows(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Peer>, buf: impl BufMut) -> Result<(), Unread> {
        Ok(PostcardCodec.encode_member(member, buf)?)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Peer>, Unread> {
        let member: Member<Peer> = PostcardCodec.decode_member(buf)?;
        self.knows(member.id())?;
        Ok(member)
    }
}

/// The facts where foca can hand them in: it gives no way to look at what it was given.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Facts>>);

impl Shared {
    fn facts(&self) -> MutexGuard<'_, Facts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BroadcastHandler<Peer> for Shared {
    type Key = Place;
    type Error = Unreadable;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Place>, Unreadable> {
        self.facts().take(data)
    }
}

#[derive(Default)]
struct Out {
    now: Duration,
    number: u64,
    timers: BTreeMap<(Duration, u64), Timer<Peer>>,
    sends: Vec<(Peer, Vec<u8>)>,
    news: Vec<News>,
    /// We have become another life, which has told nothing of itself yet.
    renewed: bool,
}

impl Runtime<Peer> for Out {
    fn notify(&mut self, what: Notification<'_, Peer>) {
        match what {
            Notification::MemberUp(peer) => self.news.push(News::Up(*peer)),
            Notification::MemberDown(peer) => self.news.push(News::Down(*peer)),
            Notification::Rejoin(_) => {
                self.news.push(News::WasGone);
                self.renewed = true;
            }
            Notification::Idle => self.news.push(News::Alone),
            Notification::Rename(..) | Notification::Active | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.number += 1;
        self.timers.insert((self.now + after, self.number), event);
    }
}

/// The membership as one gateway sees it.
pub struct Members {
    foca: Foca<Peer, Known, SmallRng, Shared>,
    known: Known,
    facts: Shared,
    out: Out,
    wire: Wire,
    /// A gap of this length between two calls means that the process was stopped.
    stopped_after: Duration,
    last_call: Duration,
    /// Nobody has spoken to us since we were stopped.
    unsure: bool,
    version: u64,
    /// What we tell of ourselves, by kind.
    mine: BTreeMap<u8, u64>,
}

impl Members {
    /// A member that knows nobody yet. `peers` are the addresses of all gateways of the fleet: nothing is kept of others.
    pub fn new(now: Duration, me: Peer, peers: &[SocketAddrV4], seed: u64, wire: Wire) -> Members {
        let known = Known {
            peers: peers.iter().map(|a| (a.ip().octets(), a.port())).collect(),
        };
        let size = NonZeroU32::new(known.peers.len().max(2) as u32).expect("at least two");
        let config = Members::config(size);
        let stopped_after = config.suspect_to_down_after;
        let facts = Shared(Arc::new(Mutex::new(Facts {
            peers: known.peers.clone(),
            ..Facts::default()
        })));
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::with_custom_broadcast(me, config, rng, known.clone(), facts.clone());
        let out = Out {
            now,
            ..Out::default()
        };
        Members {
            foca,
            known,
            facts,
            out,
            wire,
            stopped_after,
            last_call: now,
            unsure: false,
            version: 0,
            mine: BTreeMap::new(),
        }
    }

    /// A probe each half second, answered in a fifth of one; a death is known to all within some seconds.
    fn config(size: NonZeroU32) -> Config {
        let few = |n| NonZeroUsize::new(n).expect("not zero");
        let told = Config::new_lan(size);
        Config {
            probe_period: Duration::from_millis(500),
            probe_rtt: Duration::from_millis(200),
            num_indirect_probes: few(3),
            max_transmissions: told
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
            ..told
        }
    }

    /// Asks peers to be taken in. Their lives are not known: any at that address answers.
    pub fn joins(&mut self, now: Duration, peers: &[SocketAddrV4]) {
        self.at(now);
        let me = self.me().address();
        for address in peers.iter().filter(|address| **address != me) {
            // It fails only where a message is too long, which an announcement is not.
            let _ = self.foca.announce(Peer::new(*address, 0), &mut self.out);
        }
    }

    /// Takes in a datagram of SWIM's.
    ///
    /// # Errors
    ///
    /// Where it is to be dropped.
    pub fn came(&mut self, now: Duration, bytes: &[u8]) -> Result<(), Dropped> {
        self.at(now);
        self.foca
            .handle_data(bytes, &mut self.out)
            .map_err(|_| Dropped::Malformed)?;
        self.unsure = false;
        self.tells_again();
        Ok(())
    }

    /// What is due by now.
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
        self.tells_again();
    }

    /// What an earlier life told counts no more for others: this one tells it again.
    fn tells_again(&mut self) {
        if std::mem::take(&mut self.out.renewed) {
            for (kind, value) in self.mine.clone() {
                self.tells(kind, value);
            }
        }
    }

    fn at(&mut self, now: Duration) {
        self.unsure |=
            now.saturating_sub(self.last_call) > self.stopped_after && self.foca.num_members() > 0;
        (self.last_call, self.out.now) = (now, now);
    }

    /// When [`Members::tick`] is to be called next.
    pub fn next(&self) -> Option<Duration> {
        self.out.timers.keys().next().map(|(at, _)| *at)
    }

    /// Whether what is known may be acted on: not after a stop, until somebody has spoken to us again.
    pub fn is_sure(&self, now: Duration) -> bool {
        !self.unsure && now.saturating_sub(self.last_call) <= self.stopped_after
    }

    /// Tells a fact of this member to all.
    pub fn tells(&mut self, kind: u8, value: u64) {
        self.version += 1;
        self.mine.insert(kind, value);
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
    pub fn leaves(&mut self, now: Duration) {
        self.at(now);
        self.tells(LEAVES, 1);
        // It fails only where a message is too long, which gossip is not.
        let _ = self.foca.leave_cluster(&mut self.out);
    }

    /// Datagrams to be sent, with where to.
    pub fn sends(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let all = std::mem::take(&mut self.out.sends);
        let wired = |(to, bytes): (Peer, Vec<u8>)| {
            Some((to.address(), self.wire.write(&Message::Swim(bytes))?))
        };
        // What a forged message names as a member is not sent to.
        all.into_iter()
            .filter(|(to, _)| self.known.knows(to).is_ok())
            .filter_map(wired)
            .collect()
    }

    /// What has changed since the last call.
    pub fn news(&mut self) -> Vec<News> {
        let all = std::mem::take(&mut self.out.news);
        let named = |news| match news {
            News::Down(peer) if self.has_left(&peer) => News::Left(peer),
            other => other,
        };
        all.into_iter().map(named).collect()
    }

    fn has_left(&self, peer: &Peer) -> bool {
        self.fact(peer, LEAVES).is_some_and(|fact| fact.value == 1)
    }

    /// The last that a member has told of this kind, in this life.
    pub fn fact(&self, peer: &Peer, kind: u8) -> Option<Fact> {
        let (ip, port) = peer.address;
        self.facts
            .facts()
            .told
            .get(&(ip, port, kind))
            .copied()
            .filter(|fact| fact.of.life == peer.life)
    }

    /// This member.
    pub fn me(&self) -> Peer {
        *self.foca.identity()
    }

    /// Who else is there, and how each stands.
    pub fn there(&self) -> Vec<(Peer, Standing)> {
        let standing = |state| match state {
            State::Suspect => Standing::Suspected,
            State::Alive | State::Down => Standing::There,
        };
        self.foca
            .iter_members()
            .map(|m| (*m.id(), standing(m.state())))
            .collect()
    }
}
