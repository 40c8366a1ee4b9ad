//! What holds at each moment of a simulation, as an engine sees it that gateways act on.

use super::RESOURCES;
use garnetwall_fleet::{Epoch, Resource};

/// A gateway that acts on a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Actor {
    pub gateway: usize,
    pub incarnation: u64,
    pub epoch: Epoch,
}

/// What a simulation has shown.
#[derive(Default)]
pub struct Outcome {
    /// Violated invariants.
    pub violations: Vec<String>,
    pub acts: usize,
    /// Resources without a holder at the end.
    pub without_holder: Vec<Resource>,
    /// How long resources had no holder after theirs was killed, in ms.
    pub takeover_times_ms: Vec<u64>,
}

/// Checks that at most one gateway acts on a resource at a time, and that epochs grow.
#[derive(Default)]
pub struct InvariantChecker {
    /// By resource.
    last_actor: [Option<Actor>; RESOURCES],
    /// By resource: when its holder was killed, in ms, while it has no other.
    holder_killed_at: [Option<u64>; RESOURCES],
    pub outcome: Outcome,
}

impl InvariantChecker {
    /// Notes that the holder of a resource was killed.
    pub fn holder_killed(&mut self, now_ms: u64, resource: usize) {
        self.holder_killed_at[resource] = Some(now_ms);
    }

    /// Notes who acts on a resource at this moment.
    pub fn act(&mut self, now_ms: u64, resource: usize, mut actors: Vec<Actor>) {
        actors.dedup();
        if actors.len() > 1 {
            self.violated(format!(
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
                    self.violated(format!("at {now_ms} ms {actor:?} acts after {last:?}"));
                }
            }
        }
    }

    /// Notes a violation.
    pub fn violated(&mut self, violation: String) {
        self.outcome.violations.push(violation);
    }
}
