//! Membership in a simulated network by seed: loss, delay, cuts, members that are killed, stopped and go on, leave, and start
//! again. Judged by what the simulation did to them, not by their own word.

use garnetwall_fleet::membership::{Membership, MembershipEvent, Peer, PeerState, PeerStatus};
use garnetwall_fleet::wire::{Datagram, DatagramCodec, Message, MAX_DATAGRAM_BYTES};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

const STEP: u64 = 10;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below.max(1)
    }
}

struct Net {
    now: u64,
    loss: u64,
    dice: Dice,
    wire: DatagramCodec,
    members: Vec<Membership>,
    /// Neither sends nor hears until then.
    off_until: Vec<u64>,
    /// By member: the part of the network that it is in.
    part: Vec<u8>,
    /// Due at, to, bytes.
    on_the_way: Vec<(u64, usize, Vec<u8>)>,
    at: HashMap<SocketAddrV4, usize>,
    bytes: u64,
    news: Vec<(u64, usize, MembershipEvent)>,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (n >> 8) as u8, n as u8].into(), 7946)
}

impl Net {
    fn start(size: usize, loss: u64, seed: u64) -> Net {
        let wire = DatagramCodec::new("simulated", Some(b"key"));
        let mut net = Net {
            now: 0,
            loss,
            dice: Dice(seed),
            wire: wire.clone(),
            members: Vec::new(),
            off_until: vec![0; size],
            part: vec![0; size],
            on_the_way: Vec::new(),
            at: (0..size).map(|n| (address(n), n)).collect(),
            bytes: 0,
            news: Vec::new(),
        };
        for n in 0..size {
            net.members.push(net.member(n, size, 1, seed));
            net.joins(n);
        }
        net
    }

    fn member(&self, n: usize, size: usize, life: u64, seed: u64) -> Membership {
        let now = Duration::from_millis(self.now);
        Membership::new(
            now,
            Peer::new(address(n), life),
            &self.addresses(size),
            seed + n as u64,
            self.wire.clone(),
        )
    }

    fn addresses(&self, size: usize) -> Vec<SocketAddrV4> {
        (0..size).map(address).collect()
    }

    fn joins(&mut self, n: usize) {
        let few: Vec<_> = (0..3)
            .map(|k| address((n + 1 + k * 7) % self.off_until.len()))
            .collect();
        self.members[n].join(Duration::from_millis(self.now), &few);
    }

    fn runs(&self, n: usize) -> bool {
        self.now >= self.off_until[n]
    }

    fn plays(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let now = Duration::from_millis(self.now);
            let (due, later) = std::mem::take(&mut self.on_the_way)
                .into_iter()
                .partition(|(at, ..)| *at <= self.now);
            self.on_the_way = later;
            for (_, to, bytes) in due {
                if self.runs(to) {
                    if let Ok(Message::Swim(bytes)) = self.wire.decode(&bytes) {
                        let _ = self.members[to].receive(now, &bytes);
                    }
                }
            }
            for n in (0..self.members.len())
                .filter(|n| self.now >= self.off_until[*n])
                .collect::<Vec<_>>()
            {
                if self.members[n].next_tick_at().is_some_and(|at| at <= now)
                    || self.now.is_multiple_of(100)
                {
                    self.members[n].tick(now);
                }
                for Datagram { to, bytes } in self.members[n].take_outgoing() {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.bytes += bytes.len() as u64;
                    let to = self.at[&to];
                    if self.dice.roll(100) >= self.loss && self.part[n] == self.part[to] {
                        let due = self.now + 1 + self.dice.roll(20);
                        self.on_the_way.push((due, to, bytes));
                    }
                }
                let news = self.members[n].take_events();
                self.news
                    .extend(news.into_iter().map(|news| (self.now, n, news)));
            }
            self.now += STEP;
        }
    }

    /// How many of those that run see so many others.
    fn see(&self, others: usize) -> usize {
        (0..self.members.len())
            .filter(|n| self.runs(*n) && self.members[*n].peers().len() == others)
            .count()
    }

    /// When each member heard this of a peer, from a moment on.
    fn heard(&self, from: u64, what: impl Fn(&MembershipEvent) -> bool) -> Vec<u64> {
        let mut first: HashMap<usize, u64> = HashMap::new();
        for (at, n, news) in self.news.iter().filter(|(at, ..)| *at >= from) {
            if what(news) {
                first.entry(*n).or_insert(at - from);
            }
        }
        let mut all: Vec<u64> = first.into_values().collect();
        all.sort_unstable();
        all
    }
}

#[test]
fn all_come_to_know_all_and_a_death_is_known_to_all_within_seconds() {
    let mut net = Net::start(20, 10, 1);
    net.plays(10_000);
    assert_eq!(net.see(19), 20, "all see all");
    let (dies, from) = (5, net.now);
    let gone = net.members[dies].local_peer();
    net.off_until[dies] = u64::MAX;
    net.plays(10_000);
    let heard = net.heard(from, |news| *news == MembershipEvent::Down(gone));
    assert_eq!(heard.len(), 19, "all have heard");
    assert!(heard[18] < 8_000, "the last after {} ms", heard[18]);
    assert!(
        net.heard(
            from,
            |news| matches!(news, MembershipEvent::Down(peer) if *peer != gone)
        )
        .is_empty(),
        "a false alarm"
    );
}

#[test]
fn who_leaves_on_purpose_is_not_taken_for_dead() {
    let mut net = Net::start(10, 0, 2);
    net.plays(8_000);
    let (leaves, from) = (3, net.now);
    let gone = net.members[leaves].local_peer();
    net.members[leaves].leave(Duration::from_millis(net.now));
    net.plays(500);
    net.off_until[leaves] = u64::MAX;
    net.plays(8_000);
    let left = net.heard(from, |news| *news == MembershipEvent::Left(gone));
    let down = net.heard(from, |news| *news == MembershipEvent::Down(gone));
    assert!(
        left.len() >= 8,
        "{} heard that it left, {} took it for dead",
        left.len(),
        down.len()
    );
    assert!(left[0] < 1_000, "{} ms", left[0]);
    assert_eq!(net.see(8), 9);
}

/// Stopped for half a minute, it is taken for gone; when it goes on it acts on nothing until it has found that out.
#[test]
fn who_was_stopped_finds_out_before_it_acts() {
    let mut net = Net::start(10, 0, 3);
    net.plays(8_000);
    let stops = 4;
    let before = net.members[stops].local_peer();
    assert!(net.members[stops].is_current(Duration::from_millis(net.now)));
    net.off_until[stops] = net.now + 30_000;
    net.plays(30_000);
    let now = Duration::from_millis(net.now);
    assert!(!net.members[stops].is_current(now), "by its clock alone");
    net.members[stops].tick(now);
    assert!(
        !net.members[stops].is_current(now),
        "nobody has spoken to it yet"
    );
    net.plays(6_000);
    assert!(net.members[stops].is_current(Duration::from_millis(net.now)));
    assert!(net
        .news
        .iter()
        .any(|(_, n, news)| *n == stops && *news == MembershipEvent::Rejoined));
    assert!(
        net.members[stops].local_peer().incarnation > before.incarnation,
        "another life"
    );
    net.plays(6_000);
    assert_eq!(net.see(9), 10, "it is back with all");
}

#[test]
fn a_restarted_member_is_another_life_and_a_cut_heals() {
    let mut net = Net::start(12, 0, 4);
    net.plays(8_000);
    net.members[2] = net.member(2, 12, 50, 9);
    net.joins(2);
    net.plays(8_000);
    let lives = |net: &Net| {
        net.members[0]
            .peers()
            .iter()
            .filter(|status| status.peer.incarnation == 50)
            .count()
    };
    assert_eq!(lives(&net), 1);
    (0..6).for_each(|n| net.part[n] = 1);
    net.plays(12_000);
    assert_eq!(net.see(5), 12, "each half sees itself");
    (0..6).for_each(|n| net.part[n] = 0);
    net.plays(30_000);
    assert_eq!(net.see(11), 12, "all see all again");
    let sound = |status: &PeerStatus| status.state == PeerState::Alive;
    assert!(net.members.iter().all(|m| m.peers().iter().all(sound)));
}

#[test]
fn facts_reach_all_and_the_last_version_counts() {
    let mut net = Net::start(15, 30, 5);
    net.plays(10_000);
    for value in 0..5 {
        net.members[1].publish(1, 100 + value);
        net.plays(50);
    }
    net.plays(15_000);
    let teller = net.members[1].local_peer();
    let know = net
        .members
        .iter()
        .filter(|m| m.fact(&teller, 1).is_some_and(|f| f.value == 104))
        .count();
    assert_eq!(know, 15);
}

/// Foreign bytes, and whole datagrams of ours with a byte altered where no key tells: dropped or taken, never a panic, and
/// nothing grows with them.
#[test]
fn no_bytes_are_a_panic_and_none_make_members_grow_without_bound() {
    let mut net = Net::start(6, 0, 6);
    net.plays(5_000);
    while net.on_the_way.is_empty() {
        net.plays(STEP);
    }
    let now = Duration::from_millis(net.now);
    let mut dice = Dice(9);
    let seen: Vec<Vec<u8>> = net
        .on_the_way
        .iter()
        .map(|(.., bytes)| bytes.clone())
        .collect();
    let seen: Vec<Vec<u8>> = seen
        .iter()
        .filter_map(|b| match net.wire.decode(b) {
            Ok(Message::Swim(bytes)) => Some(bytes),
            _ => None,
        })
        .collect();
    assert!(!seen.is_empty());
    for n in 0..20_000 {
        let mut bytes = seen[n % seen.len()].clone();
        for _ in 0..=dice.roll(3) {
            let at = dice.roll(bytes.len() as u64) as usize;
            bytes[at] = dice.roll(256) as u8;
        }
        bytes.truncate(bytes.len() - dice.roll(4) as usize);
        let _ = net.members[0].receive(now, &bytes);
        net.members[0].tick(now);
        let _ = (net.members[0].take_outgoing(), net.members[0].take_events());
    }
    assert!(
        net.members[0].peers().len() <= 5,
        "{:?}",
        net.members[0].peers()
    );
}

/// Prints the table of docs/fleet.md; by hand, as it takes minutes: cargo test --release -p garnetwall-fleet -- --ignored --nocapture
#[test]
#[ignore]
fn figures_of_membership() {
    for size in [5, 50, 350] {
        for loss in [0, 10, 30] {
            let (mut known, mut alarms, mut bytes, mut unknown) = (Vec::new(), 0, 0, 0);
            for seed in 0..10 {
                let mut net = Net::start(size, loss, 100 + seed);
                net.plays(15_000);
                let (from, sent) = (net.now, net.bytes);
                let gone = net.members[1].local_peer();
                net.off_until[1] = u64::MAX;
                net.plays(20_000);
                bytes += (net.bytes - sent) / 20 / size as u64;
                let heard = net.heard(from, |news| *news == MembershipEvent::Down(gone));
                unknown += size - 1 - heard.len().min(size - 1);
                known.extend(heard);
                alarms += net
                    .news
                    .iter()
                    .filter(|(at, _, n)| {
                        *at >= from && matches!(n, MembershipEvent::Down(p) if *p != gone)
                    })
                    .count();
            }
            known.sort_unstable();
            let at = |part: f64| known[((known.len() - 1) as f64 * part) as usize];
            println!(
                "| {size} | {loss}% | {} ms | {} ms | {unknown} | {alarms} | {} |",
                at(0.5),
                at(0.99),
                bytes / 10
            );
        }
    }
}
