//! Role `membership`: all members in one process and simulated time, over a network that may lose messages.

use super::stopwatch::{memory_growth, timed};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use garnetwall_fleet::membership::{self, Peer};
use garnetwall_fleet::wire::{self, DatagramCodec, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Step of simulated time.
const STEP_MS: u64 = 10;
/// Maximum time between two checks of a member's timers.
const TIMER_CHECK_INTERVAL_MS: u64 = 100;
/// Maximum latency of a message; the minimum is 1 ms.
const MAX_LATENCY_MS: u64 = 20;
/// Number of members that a new member contacts to join.
const CONTACTS: usize = 3;
const PORT: u16 = 7946;

/// Measures members that exchange messages over a simulated network.
pub struct Membership;

impl Role for Membership {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let members = point.quantities.members as usize;
        let span = (point.quantities.seconds * 1000.0) as u64;
        // The members discover each other before the measurement.
        let settling = (point.quantities.settling * 1000.0) as u64;
        let (resident, mut network) = memory_growth(|| {
            let mut network = Network::start(members, point.quantities.loss, point.seed);
            network.advance(settling);
            network
        })?;
        let bytes_before = network.bytes_out;
        let (spent, ()) = timed(|| network.advance(span));
        let member_seconds = members as f64 * span as f64 / 1000.0;
        let bytes = (network.bytes_out - bytes_before) as f64;
        Ok(vec![
            Measured::new(Metric::MemberBytes, bytes / member_seconds),
            Measured::new(Metric::MemberTime, spent / member_seconds),
            Measured::new(Metric::MemberResident, resident / members as f64),
        ])
    }
}

/// A datagram in transit. Ordered by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    /// Time of arrival, in simulated milliseconds.
    due: u64,
    sequence: u64,
    to: usize,
    bytes: Vec<u8>,
}

/// Simulated network with its members.
struct Network {
    /// Simulated milliseconds since the start.
    now: u64,
    /// Percent of datagrams.
    loss: u64,
    rng: SmallRng,
    wire: DatagramCodec,
    members: Vec<membership::Membership>,
    by_address: HashMap<SocketAddrV4, usize>,
    in_transit: BinaryHeap<Reverse<Datagram>>,
    sequence: u64,
    /// Bytes sent by all members, lost datagrams included.
    bytes_out: u64,
}

fn address(member: usize) -> SocketAddrV4 {
    let [_, high, middle, low] = (member as u32).to_be_bytes();
    SocketAddrV4::new([10, high, middle, low].into(), PORT)
}

impl Network {
    fn start(size: usize, loss: u64, seed: u64) -> Self {
        let wire = DatagramCodec::new("simulated", Some(b"key"));
        let addresses: Vec<SocketAddrV4> = (0..size).map(address).collect();
        let start = |member: usize| {
            let peer = Peer::new(addresses[member], 1);
            let mut started = membership::Membership::new(
                Duration::ZERO,
                peer,
                &addresses,
                seed + member as u64,
                wire.clone(),
            );
            let contact = |contact: usize| addresses[(member + 1 + contact * 7) % size];
            started.join(
                Duration::ZERO,
                &(0..CONTACTS).map(contact).collect::<Vec<_>>(),
            );
            started
        };
        Network {
            now: 0,
            loss,
            rng: SmallRng::seed_from_u64(seed),
            members: (0..size).map(start).collect(),
            by_address: addresses.iter().copied().zip(0..).collect(),
            wire,
            in_transit: BinaryHeap::new(),
            sequence: 0,
            bytes_out: 0,
        }
    }

    /// Advances the simulation by `span` milliseconds.
    fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.deliver();
            (0..self.members.len()).for_each(|member| self.run_member(member));
            self.now += STEP_MS;
        }
    }

    fn deliver(&mut self) {
        let now = Duration::from_millis(self.now);
        while self
            .in_transit
            .peek()
            .is_some_and(|Reverse(datagram)| datagram.due <= self.now)
        {
            let Some(Reverse(datagram)) = self.in_transit.pop() else {
                return;
            };
            if let Ok(Message::Swim(bytes)) = self.wire.decode(&datagram.bytes) {
                // An unusable datagram is dropped, as on a socket.
                let _ = self.members[datagram.to].receive(now, &bytes);
            }
        }
    }

    /// Runs a member's timers and puts its outgoing datagrams in transit.
    fn run_member(&mut self, member: usize) {
        let now = Duration::from_millis(self.now);
        let running = &mut self.members[member];
        if running.next_tick_at().is_some_and(|at| at <= now)
            || self.now.is_multiple_of(TIMER_CHECK_INTERVAL_MS)
        {
            running.tick(now);
        }
        running.take_events();
        for wire::Datagram { to, bytes } in running.take_outgoing() {
            self.bytes_out += bytes.len() as u64;
            let lost = self.rng.random_range(0..100) < self.loss;
            let trip = self.rng.random_range(1..=MAX_LATENCY_MS);
            if let Some(to) = self.by_address.get(&to).copied().filter(|_| !lost) {
                self.sequence += 1;
                let (due, sequence) = (self.now + trip, self.sequence);
                self.in_transit.push(Reverse(Datagram {
                    due,
                    sequence,
                    to,
                    bytes,
                }));
            }
        }
    }
}
