//! The role of membership: all members in one process, in simulated time, over a network that may lose messages.

use super::measurement::{Measured, Metric, Point, Role, RoleError};
use super::stopwatch::{growth, timed};
use garnetwall_fleet::members::{Members, Peer};
use garnetwall_fleet::wire::{Message, Wire};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Simulated time goes on by this, in milliseconds.
const STEP: u64 = 10;
/// Each member's timers are looked at least this often, in milliseconds.
const LOOK_EVERY: u64 = 100;
/// A message is on its way for 1 to this many milliseconds.
const LONGEST_TRIP: u64 = 20;
/// Members whom a new one asks to be taken in.
const CONTACTS: usize = 3;
const PORT: u16 = 7946;

pub struct Membership;

impl Role for Membership {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let members = point.quantities.members as usize;
        let span = (point.quantities.seconds * 1000.0) as u64;
        // Members come to know one another first.
        let settling = (point.quantities.settling * 1000.0) as u64;
        let (resident, mut network) = growth(|| {
            let mut network = Network::start(members, point.quantities.loss, point.seed);
            network.play(settling);
            network
        })?;
        let sent_before = network.bytes_sent;
        let (taken, ()) = timed(|| network.play(span));
        let member_seconds = members as f64 * span as f64 / 1000.0;
        let sent = (network.bytes_sent - sent_before) as f64;
        Ok(vec![
            Measured {
                metric: Metric::MemberBytes,
                value: sent / member_seconds,
            },
            Measured {
                metric: Metric::MemberTime,
                value: taken / member_seconds,
            },
            Measured {
                metric: Metric::MemberResident,
                value: resident / members as f64,
            },
        ])
    }
}

/// A datagram on its way, the first to come first.
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
    wire: Wire,
    members: Vec<Members>,
    by_address: HashMap<SocketAddrV4, usize>,
    on_the_way: BinaryHeap<Reverse<Datagram>>,
    sequence: u64,
    bytes_sent: u64,
}

fn address(member: usize) -> SocketAddrV4 {
    let [_, high, middle, low] = (member as u32).to_be_bytes();
    SocketAddrV4::new([10, high, middle, low].into(), PORT)
}

impl Network {
    fn start(size: usize, loss: u64, seed: u64) -> Self {
        let wire = Wire::new("simulated", Some(b"key"));
        let addresses: Vec<SocketAddrV4> = (0..size).map(address).collect();
        let start = |member: usize| {
            let peer = Peer::new(addresses[member], 1);
            let mut started = Members::new(
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
            on_the_way: BinaryHeap::new(),
            sequence: 0,
            bytes_sent: 0,
        }
    }

    /// Plays so many milliseconds.
    fn play(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.deliver();
            (0..self.members.len()).for_each(|member| self.run(member));
            self.now += STEP;
        }
    }

    fn deliver(&mut self) {
        let now = Duration::from_millis(self.now);
        while self
            .on_the_way
            .peek()
            .is_some_and(|Reverse(datagram)| datagram.due <= self.now)
        {
            let Some(Reverse(datagram)) = self.on_the_way.pop() else {
                return;
            };
            if let Ok(Message::Swim(bytes)) = self.wire.read(&datagram.bytes) {
                // A datagram that can't be used is dropped, as on a socket.
                let _ = self.members[datagram.to].receive(now, &bytes);
            }
        }
    }

    fn run(&mut self, member: usize) {
        let now = Duration::from_millis(self.now);
        let running = &mut self.members[member];
        if running.next().is_some_and(|at| at <= now) || self.now.is_multiple_of(LOOK_EVERY) {
            running.tick(now);
        }
        running.events();
        for (to, bytes) in running.outgoing() {
            self.bytes_sent += bytes.len() as u64;
            let lost = self.rng.random_range(0..100) < self.loss;
            let trip = self.rng.random_range(1..=LONGEST_TRIP);
            if let Some(to) = self.by_address.get(&to).copied().filter(|_| !lost) {
                self.sequence += 1;
                let (due, sequence) = (self.now + trip, self.sequence);
                self.on_the_way.push(Reverse(Datagram {
                    due,
                    sequence,
                    to,
                    bytes,
                }));
            }
        }
    }
}
