//! The role of membership: all members in one process, in simulated time, over a network that may lose messages.

use super::stopwatch::{growth, timed};
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

/// The step of simulated time.
const STEP_MS: u64 = 10;
/// Each member's timers are checked at least this often.
const TIMER_CHECK_INTERVAL_MS: u64 = 100;
/// A message takes 1 to this many milliseconds.
const MAX_LATENCY_MS: u64 = 20;
/// Members that a new one contacts to join.
const CONTACTS: usize = 3;
const PORT: u16 = 7946;

/// Measures members that exchange messages.
pub struct Membership;

impl Role for Membership {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let members = point.quantities.members as usize;
        let span = (point.quantities.seconds * 1000.0) as u64;
        // Members discover each other first.
        let settling = (point.quantities.settling * 1000.0) as u64;
        let (resident, mut network) = growth(|| {
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

/// A datagram in transit, ordered by its arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    due: u64,
    sequence: u64,
    to: usize,
    bytes: Vec<u8>,
}

struct Network {
    /// Milliseconds.
    now: u64,
    loss: u64,
    rng: SmallRng,
    wire: DatagramCodec,
    members: Vec<membership::Membership>,
    by_address: HashMap<SocketAddrV4, usize>,
    in_transit: BinaryHeap<Reverse<Datagram>>,
    sequence: u64,
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

    /// Runs the network for so many milliseconds.
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
                // A datagram that can't be used is dropped, as on a socket.
                let _ = self.members[datagram.to].receive(now, &bytes);
            }
        }
    }

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
