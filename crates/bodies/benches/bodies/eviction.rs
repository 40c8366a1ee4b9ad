//! Simulates each eviction policy, and measures the bytes written to the spool file, the small bodies stored there and
//! the bodies that are not stored.
//!
//! The simulated traffic is 200 bodies per second for 10 minutes, with 64 MiB of memory. The body sizes have a heavy
//! tail and a median of 20 KiB. Each body is in flight for 2 s on average.

use crate::{limits, KIB, MIB};
use garnetwall_bodies::{BodyId, Capacity, EvictionOutcome, EvictionPolicy, Limits, Storage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::BTreeMap;

/// Number of simulated bodies: 10 minutes of traffic.
const BODIES: u64 = 120_000;
const ARRIVAL_INTERVAL_US: u64 = 5_000;
const MEAN_TIME_IN_FLIGHT_SECONDS: f64 = 2.0;
const MEDIAN_BODY_BYTES: f64 = 20.0 * KIB as f64;
/// Standard deviation of the natural logarithm of the body size.
const BODY_SIZE_SIGMA: f64 = 2.2;
/// Bodies below this size count as small.
const SMALL_BODY_BYTES: u64 = 64 * KIB;
const TENANTS: usize = 20;

/// Simulates each policy and prints a line with its totals.
pub fn print_policies() {
    println!("policy    to files MiB   small bodies in files   not stored");
    for policy in [
        EvictionPolicy::Never,
        EvictionPolicy::Largest,
        EvictionPolicy::Oldest,
    ] {
        if let Some(totals) = Simulation::new(policy).run() {
            totals.print(policy);
        }
    }
}

#[derive(Default)]
struct Totals {
    admitted: u64,
    small: u64,
    small_in_files: u64,
    not_stored: u64,
    written_bytes: u64,
}

impl Totals {
    fn print(&self, policy: EvictionPolicy) {
        let percent = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        println!(
            "{policy:<9?} {:>12}   {:>20.2}%   {:>7.3}%",
            self.written_bytes / MIB,
            percent(self.small_in_files, self.small),
            percent(self.not_stored, self.admitted)
        );
    }
}

struct InFlight {
    id: BodyId,
    bytes: u64,
}

struct Simulation {
    capacity: Capacity,
    /// Bodies in flight, by the time of their end in microseconds and their number.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    totals: Totals,
}

impl Simulation {
    fn new(policy: EvictionPolicy) -> Self {
        let limits = Limits {
            file_bytes: 4096 * MIB,
            max_body_memory_bytes: 8 * MIB,
            memory_bytes: 64 * MIB,
            ..limits(0)
        };
        Simulation {
            capacity: Capacity::new(limits, policy),
            in_flight: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Option<Totals> {
        let mut rng = StdRng::seed_from_u64(18);
        let sizes = LogNormal::new(MEDIAN_BODY_BYTES.ln(), BODY_SIZE_SIGMA).ok()?;
        let times_in_flight = Exp::new(1.0 / MEAN_TIME_IN_FLIGHT_SECONDS).ok()?;
        for number in 0..BODIES {
            let now_us = number * ARRIVAL_INTERVAL_US;
            self.remove_ended(now_us);
            let bytes = (sizes.sample(&mut rng) as u64).clamp(100, 200 * MIB);
            let tenant = rng.random_range(0..TENANTS);
            let Some(id) = self.admit(tenant, bytes) else {
                continue;
            };
            let time_in_flight_us = (times_in_flight.sample(&mut rng) * 1e6) as u64;
            let ends_at = (now_us + time_in_flight_us, number);
            self.in_flight.insert(ends_at, InFlight { id, bytes });
            self.evict();
        }
        Some(self.totals)
    }

    fn remove_ended(&mut self, now_us: u64) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > now_us {
                return;
            }
            let body = entry.remove();
            let in_file = self.capacity.storage(body.id) == Storage::File;
            if in_file && body.bytes < SMALL_BODY_BYTES {
                self.totals.small_in_files += 1;
            }
            self.capacity.remove(body.id);
        }
    }

    fn admit(&mut self, tenant: usize, bytes: u64) -> Option<BodyId> {
        let Ok(id) = self.capacity.admit(tenant, 0, Some(bytes)) else {
            self.totals.not_stored += 1;
            return None;
        };
        self.totals.admitted += 1;
        self.totals.small += u64::from(bytes < SMALL_BODY_BYTES);
        match self.capacity.storage(id) {
            Storage::File => self.totals.written_bytes += bytes,
            Storage::NotStored => self.totals.not_stored += 1,
            Storage::Memory => {}
        }
        Some(id)
    }

    /// Evicts bodies while memory is short. Each eviction succeeds and takes no simulated time.
    fn evict(&mut self) {
        while let Some(id) = self.capacity.start_eviction() {
            let body = self.in_flight.values().find(|body| body.id == id);
            self.totals.written_bytes += body.map_or(0, |body| body.bytes);
            self.capacity.finish_eviction(id, EvictionOutcome::Written);
        }
    }
}
