//! Membership in a simulated network by random seed: loss, delay, partitions, gateways that are killed, paused and resumed,
//! that leave and that restart. Checked against what the simulation did to them, not against what they report.

mod common;

use common::Rng;
use garnetwall_fleet::membership::{Membership, MembershipEvent, Peer, PeerState, PeerStatus};
use garnetwall_fleet::wire::{Datagram, DatagramCodec, Message, MAX_DATAGRAM_BYTES};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

const STEP_MS: u64 = 10;

struct SimulatedNetwork {
    now: u64,
    loss_percent: u64,
    rng: Rng,
    datagrams: DatagramCodec,
    /// By gateway: its view of the membership.
    members: Vec<Membership>,
    /// Neither sends nor receives until then, in ms: paused or killed.
    down_until: Vec<u64>,
    /// By gateway: the partition that it is in.
    partition_of: Vec<u8>,
    /// Due in ms, to, bytes.
    in_flight: Vec<(u64, usize, Vec<u8>)>,
    index_by_address: HashMap<SocketAddrV4, usize>,
    /// Sent by all gateways.
    bytes: u64,
    /// When, in ms, at which gateway, what.
    events: Vec<(u64, usize, MembershipEvent)>,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (n >> 8) as u8, n as u8].into(), 7946)
}

impl SimulatedNetwork {
    fn start(size: usize, loss_percent: u64, seed: u64) -> SimulatedNetwork {
        let datagrams = DatagramCodec::new("simulated", Some(b"key"));
        let mut network = SimulatedNetwork {
            now: 0,
            loss_percent,
            rng: Rng(seed),
            datagrams,
            members: Vec::new(),
            down_until: vec![0; size],
            partition_of: vec![0; size],
            in_flight: Vec::new(),
            index_by_address: (0..size).map(|n| (address(n), n)).collect(),
            bytes: 0,
            events: Vec::new(),
        };
        for n in 0..size {
            network.members.push(network.member(n, size, 1, seed));
            network.join_peers(n);
        }
        network
    }

    fn member(&self, n: usize, size: usize, incarnation: u64, seed: u64) -> Membership {
        let now = Duration::from_millis(self.now);
        Membership::new(
            now,
            Peer::new(address(n), incarnation),
            &self.addresses(size),
            seed + n as u64,
            self.datagrams.clone(),
        )
    }

    fn addresses(&self, size: usize) -> Vec<SocketAddrV4> {
        (0..size).map(address).collect()
    }

    fn join_peers(&mut self, n: usize) {
        let contacts: Vec<_> = (0..3)
            .map(|k| address((n + 1 + k * 7) % self.down_until.len()))
            .collect();
        self.members[n].join(Duration::from_millis(self.now), &contacts);
    }

    fn is_running(&self, n: usize) -> bool {
        self.now >= self.down_until[n]
    }

    fn advance(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            let now = Duration::from_millis(self.now);
            let (due, later) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, ..)| *at <= self.now);
            self.in_flight = later;
            for (_, to, bytes) in due {
                if self.is_running(to) {
                    if let Ok(Message::Swim(bytes)) = self.datagrams.decode(&bytes) {
                        let _ = self.members[to].receive(now, &bytes);
                    }
                }
            }
            for n in (0..self.members.len())
                .filter(|n| self.now >= self.down_until[*n])
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
                    let to = self.index_by_address[&to];
                    if self.rng.below(100) >= self.loss_percent
                        && self.partition_of[n] == self.partition_of[to]
                    {
                        let due = self.now + 1 + self.rng.below(20);
                        self.in_flight.push((due, to, bytes));
                    }
                }
                let events = self.members[n].take_events();
                self.events
                    .extend(events.into_iter().map(|event| (self.now, n, event)));
            }
            self.now += STEP_MS;
        }
    }

    /// How many of the running gateways have so many peers.
    fn count_seeing(&self, others: usize) -> usize {
        (0..self.members.len())
            .filter(|n| self.is_running(*n) && self.members[*n].peers().len() == others)
            .count()
    }

    /// How long after `from` each gateway had such an event for the first time, in ms, sorted.
    fn detection_times(&self, from: u64, matches: impl Fn(&MembershipEvent) -> bool) -> Vec<u64> {
        let mut first: HashMap<usize, u64> = HashMap::new();
        for (at, n, event) in self.events.iter().filter(|(at, ..)| *at >= from) {
            if matches(event) {
                first.entry(*n).or_insert(at - from);
            }
        }
        let mut all: Vec<u64> = first.into_values().collect();
        all.sort_unstable();
        all
    }
}

#[test]
fn all_discover_all_and_detect_a_killed_peer_within_seconds() {
    let mut network = SimulatedNetwork::start(20, 10, 1);
    network.advance(10_000);
    assert_eq!(network.count_seeing(19), 20, "all are peers of all");
    let (killed, from) = (5, network.now);
    let killed_peer = network.members[killed].local_peer();
    network.down_until[killed] = u64::MAX;
    network.advance(10_000);
    let detection_times =
        network.detection_times(from, |event| *event == MembershipEvent::Down(killed_peer));
    assert_eq!(detection_times.len(), 19, "all detected it");
    assert!(
        detection_times[18] < 8_000,
        "the last after {} ms",
        detection_times[18]
    );
    assert!(
        network
            .detection_times(
                from,
                |event| matches!(event, MembershipEvent::Down(peer) if *peer != killed_peer)
            )
            .is_empty(),
        "a false positive"
    );
}

#[test]
fn a_peer_that_leaves_is_not_declared_down() {
    let mut network = SimulatedNetwork::start(10, 0, 2);
    network.advance(8_000);
    let (leaving, from) = (3, network.now);
    let leaving_peer = network.members[leaving].local_peer();
    network.members[leaving].leave(Duration::from_millis(network.now));
    network.advance(500);
    network.down_until[leaving] = u64::MAX;
    network.advance(8_000);
    let left = network.detection_times(from, |event| *event == MembershipEvent::Left(leaving_peer));
    let down = network.detection_times(from, |event| *event == MembershipEvent::Down(leaving_peer));
    assert!(
        left.len() >= 8,
        "{} saw that it left, {} took it for down",
        left.len(),
        down.len()
    );
    assert!(left[0] < 1_000, "{} ms", left[0]);
    assert_eq!(network.count_seeing(8), 9);
}

/// Paused for half a minute, it is declared down; when it resumes it acts on nothing until it has found that out.
#[test]
fn a_paused_gateway_is_not_current_until_a_peer_sends_a_message() {
    let mut network = SimulatedNetwork::start(10, 0, 3);
    network.advance(8_000);
    let paused = 4;
    let before = network.members[paused].local_peer();
    assert!(network.members[paused].is_current(Duration::from_millis(network.now)));
    network.down_until[paused] = network.now + 30_000;
    network.advance(30_000);
    let now = Duration::from_millis(network.now);
    assert!(
        !network.members[paused].is_current(now),
        "by its clock alone"
    );
    network.members[paused].tick(now);
    assert!(
        !network.members[paused].is_current(now),
        "no peer has sent it a message yet"
    );
    network.advance(6_000);
    assert!(network.members[paused].is_current(Duration::from_millis(network.now)));
    assert!(network
        .events
        .iter()
        .any(|(_, n, event)| *n == paused && *event == MembershipEvent::Rejoined));
    assert!(
        network.members[paused].local_peer().incarnation > before.incarnation,
        "another incarnation"
    );
    network.advance(6_000);
    assert_eq!(network.count_seeing(9), 10, "it is a peer of all again");
}

#[test]
fn a_restarted_gateway_is_another_incarnation_and_a_partition_heals() {
    let mut network = SimulatedNetwork::start(12, 0, 4);
    network.advance(8_000);
    network.members[2] = network.member(2, 12, 50, 9);
    network.join_peers(2);
    network.advance(8_000);
    let with_new_incarnation = |network: &SimulatedNetwork| {
        network.members[0]
            .peers()
            .iter()
            .filter(|status| status.peer.incarnation == 50)
            .count()
    };
    assert_eq!(with_new_incarnation(&network), 1);
    (0..6).for_each(|n| network.partition_of[n] = 1);
    network.advance(12_000);
    assert_eq!(network.count_seeing(5), 12, "each half sees itself alone");
    (0..6).for_each(|n| network.partition_of[n] = 0);
    network.advance(30_000);
    assert_eq!(network.count_seeing(11), 12, "all are peers of all again");
    let is_alive = |status: &PeerStatus| status.state == PeerState::Alive;
    assert!(network
        .members
        .iter()
        .all(|member| member.peers().iter().all(is_alive)));
}

#[test]
fn facts_reach_all_peers_and_the_last_version_counts() {
    let mut network = SimulatedNetwork::start(15, 30, 5);
    network.advance(10_000);
    for value in 0..5 {
        network.members[1].publish(1, 100 + value);
        network.advance(50);
    }
    network.advance(15_000);
    let publisher = network.members[1].local_peer();
    let knowing = network
        .members
        .iter()
        .filter(|member| {
            let fact = member.fact(&publisher, 1);
            fact.is_some_and(|fact| fact.value == 104)
        })
        .count();
    assert_eq!(knowing, 15);
}

/// SWIM messages with altered bytes, as without a key: dropped or handled, never a panic, and nothing grows with them.
#[test]
fn altered_messages_never_panic_and_add_no_peers() {
    let mut network = SimulatedNetwork::start(6, 0, 6);
    network.advance(5_000);
    while network.in_flight.is_empty() {
        network.advance(STEP_MS);
    }
    let now = Duration::from_millis(network.now);
    let mut rng = Rng(9);
    let samples: Vec<Vec<u8>> = network
        .in_flight
        .iter()
        .map(|(.., bytes)| bytes.clone())
        .collect();
    let samples: Vec<Vec<u8>> = samples
        .iter()
        .filter_map(|datagram| match network.datagrams.decode(datagram) {
            Ok(Message::Swim(bytes)) => Some(bytes),
            _ => None,
        })
        .collect();
    assert!(!samples.is_empty());
    for n in 0..20_000 {
        let mut bytes = samples[n % samples.len()].clone();
        for _ in 0..=rng.below(3) {
            let at = rng.below(bytes.len() as u64) as usize;
            bytes[at] = rng.below(256) as u8;
        }
        bytes.truncate(bytes.len() - rng.below(4) as usize);
        let _ = network.members[0].receive(now, &bytes);
        network.members[0].tick(now);
        let _ = (
            network.members[0].take_outgoing(),
            network.members[0].take_events(),
        );
    }
    assert!(
        network.members[0].peers().len() <= 5,
        "{:?}",
        network.members[0].peers()
    );
}

/// Prints the table of docs/fleet.md; by hand, as it takes minutes: cargo test --release -p garnetwall-fleet -- --ignored --nocapture
#[test]
#[ignore]
fn detection_time_false_positives_and_traffic_by_size_and_loss() {
    for size in [5, 50, 350] {
        for loss_percent in [0, 10, 30] {
            let (mut detected, mut false_positives, mut bytes, mut undetected) =
                (Vec::new(), 0, 0, 0);
            for seed in 0..10 {
                let mut network = SimulatedNetwork::start(size, loss_percent, 100 + seed);
                network.advance(15_000);
                let (from, sent) = (network.now, network.bytes);
                let killed_peer = network.members[1].local_peer();
                network.down_until[1] = u64::MAX;
                network.advance(20_000);
                bytes += (network.bytes - sent) / 20 / size as u64;
                let detection_times = network
                    .detection_times(from, |event| *event == MembershipEvent::Down(killed_peer));
                undetected += size - 1 - detection_times.len().min(size - 1);
                detected.extend(detection_times);
                false_positives += network
                    .events
                    .iter()
                    .filter(|(at, _, event)| {
                        *at >= from
                            && matches!(event, MembershipEvent::Down(peer) if *peer != killed_peer)
                    })
                    .count();
            }
            detected.sort_unstable();
            let quantile = |part: f64| detected[((detected.len() - 1) as f64 * part) as usize];
            println!(
                "| {size} | {loss_percent}% | {} ms | {} ms | {undetected} | {false_positives} | {} |",
                quantile(0.5),
                quantile(0.99),
                bytes / 10
            );
        }
    }
}
