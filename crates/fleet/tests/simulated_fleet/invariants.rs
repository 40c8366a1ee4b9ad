//! Checks the invariants of leases at each moment of a simulation, as an engine on which the gateways act would see
//! them.

use super::RESOURCES;
use garnetwall_fleet::{Epoch, Resource};

/// A gateway that acts on a resource, and the epoch that it acts under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Actor {
    pub gateway: usize,
    pub incarnation: u64,
    pub epoch: Epoch,
}

/// The result of a simulation.
#[derive(Default)]
pub struct Outcome {
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// The number of checked acts of gateways on resources.
    pub acts: usize,
    /// The resources without a holder at the end.
    pub without_holder: Vec<Resource>,
    /// The times in ms from the kill of a resource's holder to the first act of the next holder.
    pub takeover_times_ms: Vec<u64>,
}

/// Checks that at most one gateway acts on a resource at a time, and that each new actor has a higher epoch.
#[derive(Default)]
pub struct InvariantChecker {
    /// The last actor on each resource.
    last_actor: [Option<Actor>; RESOURCES],
    /// For each resource, the time in ms at which its holder was killed, until a gateway acts on it again.
    holder_killed_at: [Option<u64>; RESOURCES],
    pub outcome: Outcome,
}

impl InvariantChecker {
    /// Records that the holder of a resource was killed.
    pub fn record_holder_kill(&mut self, now_ms: u64, resource: usize) {
        self.holder_killed_at[resource] = Some(now_ms);
    }

    /// Checks and records the gateways that act on a resource at this moment.
    pub fn record_actors(&mut self, now_ms: u64, resource: usize, mut actors: Vec<Actor>) {
        actors.dedup();
        if actors.len() > 1 {
            self.record_violation(format!(
                "at {now_ms} ms {actors:?} act on resource {resource}"
            ));
        }
        for actor in actors {
            self.outcome.acts += 1;
            if let Some(killed_at) = self.holder_killed_at[resource].take() {
                self.outcome.takeover_times_ms.push(now_ms - killed_at);
            }
            if let Some(last) = self.last_actor[resource].replace(actor) {
                if last != actor && last.epoch >= actor.epoch {
                    self.record_violation(format!("at {now_ms} ms {actor:?} acts after {last:?}"));
                }
            }
        }
    }

    pub fn record_violation(&mut self, violation: String) {
        self.outcome.violations.push(violation);
    }
}
