//! Injects random faults into a simulation.

use super::{resources, HeldLease, Partition, Simulation, FAULT_PHASE_MS, GATEWAYS, RESOURCES};
use garnetwall_fleet::Resource;

/// The time between two kills if the only fault is that holders are killed.
const HOLDER_KILL_INTERVAL_MS: u64 = 4000;

impl Simulation {
    /// Injects the faults of one step. Does nothing after the phase of faults.
    pub(super) fn inject_faults(&mut self) {
        if self.now_ms >= FAULT_PHASE_MS {
            return;
        }
        if self.kills_only_holders {
            return self.kill_non_issuer_holder();
        }
        if self.one_in(400) {
            self.partition_two_gateways();
        }
        if self.one_in(500) {
            self.pause_a_gateway();
        }
        if self.one_in(800) {
            let gateway = self.random_gateway();
            self.kill(gateway);
        }
        if self.one_in(600) {
            self.release_a_resource();
        }
    }

    fn random_gateway(&mut self) -> usize {
        self.rng.below(GATEWAYS as u64) as usize
    }

    /// Interrupts the connection between two gateways for up to 6 s, in one direction or in both.
    fn partition_two_gateways(&mut self) {
        let (from, to) = (self.random_gateway(), self.random_gateway());
        let until_ms = self.now_ms + self.rng.below(6000);
        self.partitions.push(Partition { from, to, until_ms });
        if self.one_in(2) {
            let (from, to) = (to, from);
            self.partitions.push(Partition { from, to, until_ms });
        }
    }

    fn pause_a_gateway(&mut self) {
        let index = self.random_gateway();
        if !self.is_running(index) {
            return;
        }
        let held = self.held_leases(index);
        let paused_until_ms = self.now_ms + 200 + self.rng.below(5000);
        let gateway = &mut self.gateways[index];
        gateway.held_when_paused = held;
        gateway.paused_until_ms = paused_until_ms;
    }

    fn release_a_resource(&mut self) {
        let index = self.random_gateway();
        let resource = Resource(self.rng.below(RESOURCES as u64));
        if !self.is_running(index) {
            return;
        }
        let clock = self.clock(index);
        let holder = &mut self.gateways[index].holder;
        holder.release(clock, resource);
        holder.want(clock, resource);
    }

    fn kill(&mut self, index: usize) {
        for HeldLease { resource, .. } in self.held_leases(index) {
            self.checker
                .record_holder_kill(self.now_ms, resource.0 as usize);
        }
        let gateway = &mut self.gateways[index];
        gateway.down_until_ms = Some(self.now_ms + 10 + self.rng.below(3000));
        gateway.paused_until_ms = 0;
        gateway.issuer = None;
    }

    fn kill_non_issuer_holder(&mut self) {
        if !self.now_ms.is_multiple_of(HOLDER_KILL_INTERVAL_MS) {
            return;
        }
        let first = resources().next();
        let holds_first = |index: &usize| {
            let held = self.held_leases(*index);
            held.first().map(|lease| lease.resource) == first
        };
        if let Some(index) = (self.issuers..GATEWAYS).find(holds_first) {
            self.kill(index);
        }
    }
}
