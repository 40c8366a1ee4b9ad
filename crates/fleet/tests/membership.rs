//! Tests of the membership in a simulated network with loss, delay and partitions, and with gateways that are killed,
//! paused, restarted and that leave. Each run is determined by its random seed. Expected results come from the faults
//! that the simulation injected, not from what the gateways report about themselves.

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
    /// The view of the membership of each gateway.
    members: Vec<Membership>,
    /// The time in ms until which each gateway is paused or killed; it neither sends nor receives before.
    down_until: Vec<u64>,
    /// The partition of each gateway. Gateways in different partitions do not reach each other.
    partition_of: Vec<u8>,
    /// The datagrams in flight: time of delivery in ms, receiving gateway, bytes.
    in_flight: Vec<(u64, usize, Vec<u8>)>,
    index_by_address: HashMap<SocketAddrV4, usize>,
    /// The bytes that all gateways have sent.
    bytes: u64,
    /// The membership events so far: time in ms, reporting gateway, event.
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

    /// Returns the number of running gateways that see exactly `others` peers.
    fn count_seeing(&self, others: usize) -> usize {
        (0..self.members.len())
            .filter(|n| self.is_running(*n) && self.members[*n].peers().len() == others)
            .count()
    }

    /// Returns the time in ms from `from` to the first matching event of each gateway that had one, in ascending order.
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
fn all_gateways_discover_each_other_and_detect_a_killed_peer_within_seconds() {
    let mut network = SimulatedNetwork::start(20, 10, 1);
    network.advance(10_000);
    assert_eq!(
        network.count_seeing(19),
        20,
        "not every gateway sees all others"
    );
    let (killed, from) = (5, network.now);
    let killed_peer = network.members[killed].local_peer();
    network.down_until[killed] = u64::MAX;
    network.advance(10_000);
    let detection_times =
        network.detection_times(from, |event| *event == MembershipEvent::Down(killed_peer));
    assert_eq!(
        detection_times.len(),
        19,
        "not every gateway detected the kill"
    );
    assert!(
        detection_times[18] < 8_000,
        "the last detection took {} ms",
        detection_times[18]
    );
    assert!(
        network
            .detection_times(
                from,
                |event| matches!(event, MembershipEvent::Down(peer) if *peer != killed_peer)
            )
            .is_empty(),
        "a running peer was declared down"
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
        "{} gateways reported that the peer left, {} that it is down",
        left.len(),
        down.len()
    );
    assert!(left[0] < 1_000, "the first report took {} ms", left[0]);
    assert_eq!(network.count_seeing(8), 9);
}

/// A gateway that is paused for 30 s is declared down by its peers. After the pause its view must not count as current
/// until a peer has sent it a message, since it does not know before that it was declared down.
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
        "the gateway does not detect the pause by its clock"
    );
    network.members[paused].tick(now);
    assert!(
        !network.members[paused].is_current(now),
        "the view counts as current before a message of a peer"
    );
    network.advance(6_000);
    assert!(network.members[paused].is_current(Duration::from_millis(network.now)));
    assert!(network
        .events
        .iter()
        .any(|(_, n, event)| *n == paused && *event == MembershipEvent::Rejoined));
    assert!(
        network.members[paused].local_peer().incarnation > before.incarnation,
        "the incarnation did not increase"
    );
    network.advance(6_000);
    assert_eq!(
        network.count_seeing(9),
        10,
        "not every gateway sees all others after the pause"
    );
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
    assert_eq!(
        network.count_seeing(5),
        12,
        "not every gateway sees exactly its own partition"
    );
    (0..6).for_each(|n| network.partition_of[n] = 0);
    network.advance(30_000);
    assert_eq!(
        network.count_seeing(11),
        12,
        "not every gateway sees all others after the partition"
    );
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

/// Passes SWIM messages with altered bytes to a gateway, as a fleet without a key may receive them. They must not cause
/// a panic, and must not add peers.
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

/// Prints the table of docs/fleet.md. Ignored by default, since it takes minutes. Run it by
/// `cargo test --release -p garnetwall-fleet -- --ignored --nocapture`.
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
