//! Carries out the experiment's events during a run.

use super::endpoint_list::{EndpointList, State};
use super::engines::Health;
use super::experiment::{Action, Event};
use super::gateways::GatewayError;
use super::test_bed::TestBed;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde_json::Value;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Carries out all events at their times and waits until the last one is complete. `seed` determines which engines are
/// drawn.
///
/// # Errors
/// A gateway can't be signalled or started again.
pub async fn run(
    test_bed: Arc<TestBed>,
    events: Vec<Event>,
    seed: u64,
) -> Result<(), GatewayError> {
    let start = Instant::now();
    let script = Arc::new(Script {
        test_bed,
        random: Mutex::new(SmallRng::seed_from_u64(seed)),
    });
    let mut running = JoinSet::new();
    for event in events {
        let script = script.clone();
        running.spawn(async move {
            sleep_until(start + Duration::from_secs_f64(event.at_seconds)).await;
            tracing::info!(at_seconds = event.at_seconds, action = ?event.action, "carrying out an event of the experiment");
            script.run(event.action).await
        });
    }
    while let Some(ended) = running.join_next().await {
        if let Ok(Err(fault)) = ended {
            return Err(fault);
        }
    }
    Ok(())
}

/// Carries out events on a test bed.
struct Script {
    test_bed: Arc<TestBed>,
    random: Mutex<SmallRng>,
}

impl Script {
    async fn run(&self, action: Action) -> Result<(), GatewayError> {
        match action {
            Action::EnginesKilled {
                count,
                report_delay,
            } => {
                let slots = self.kill(count);
                self.publish_deleted_after(&slots, report_delay).await;
            }
            Action::EnginesDrained {
                count,
                removal_delay,
            } => self.drain(count, removal_delay).await,
            Action::EnginesReplaced { count } => self.start_replacements(&self.kill(count)),
            Action::EnginesRestarted { count, down } => {
                let slots = self.kill(count);
                sleep_seconds(down).await;
                self.start_replacements(&slots);
            }
            Action::ZoneLost { zone, report_delay } => {
                self.silence_zone(zone, report_delay).await;
            }
            Action::ZoneBack { zone } => self.replace_zone(zone),
            Action::ChangesBurst { count, spread_over } => self.burst(count, spread_over).await,
            Action::GatewayReloaded { gateway } => self.test_bed.gateways.reload(gateway).await?,
            Action::GatewayTerminated { gateway } => {
                self.test_bed.gateways.terminate(gateway).await?;
                self.start_gateway(gateway).await?;
            }
            Action::GatewayKilled { gateway } => {
                self.test_bed.gateways.kill(gateway).await?;
                self.start_gateway(gateway).await?;
            }
        }
        Ok(())
    }

    async fn start_gateway(&self, gateway: usize) -> Result<(), GatewayError> {
        let TestBed { gateways, log, .. } = &*self.test_bed;
        gateways.start(gateway, log).await
    }

    async fn silence_zone(&self, zone: usize, report_delay: f64) {
        let slots = self.test_bed.log.endpoint_list().in_zone(zone);
        self.set_health(&slots, Health::Silent);
        self.publish_deleted_after(&slots, report_delay).await;
    }

    fn replace_zone(&self, zone: usize) {
        let slots = self.test_bed.log.endpoint_list().in_zone(zone);
        self.kill_slots(&slots);
        self.start_replacements(&slots);
    }

    fn set_health(&self, slots: &[usize], health: Health) {
        for slot in slots {
            self.test_bed.engines.set_health(*slot, health);
        }
    }

    async fn publish_deleted_after(&self, slots: &[usize], delay: f64) {
        sleep_seconds(delay).await;
        self.publish(slots, |endpoint_list, slot| {
            endpoint_list.set_state(slot, State::Deleted)
        });
    }

    /// Draws up to `count` serving engines at random, except those that another event has killed or silenced.
    fn draw(&self, count: usize) -> Vec<usize> {
        let mut slots = self.test_bed.log.endpoint_list().serving();
        slots.shuffle(&mut *self.random.lock().unwrap_or_else(PoisonError::into_inner));
        slots.retain(|slot| self.test_bed.engines.health(*slot) == Health::Up);
        slots.truncate(count);
        slots
    }

    fn kill(&self, count: usize) -> Vec<usize> {
        let slots = self.draw(count);
        self.kill_slots(&slots);
        slots
    }

    fn kill_slots(&self, slots: &[usize]) {
        for slot in slots {
            self.test_bed.engines.kill(*slot);
        }
    }

    async fn drain(&self, count: usize, removal_delay: f64) {
        let slots = self.draw(count);
        self.publish(&slots, |endpoint_list, slot| {
            endpoint_list.set_state(slot, State::Draining)
        });
        sleep_seconds(removal_delay).await;
        self.kill_slots(&slots);
        self.publish(&slots, |endpoint_list, slot| {
            endpoint_list.set_state(slot, State::Deleted)
        });
    }

    /// Starts new engines at the addresses of `slots`. One event reports the old engines as deleted and the new ones as
    /// serving.
    fn start_replacements(&self, slots: &[usize]) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        self.set_health(slots, Health::Up);
        self.test_bed.log.change(|endpoint_list| {
            let replace = |slot: &usize| replacement(endpoint_list, *slot, now);
            slots.iter().flat_map(replace).collect()
        });
    }

    fn publish(&self, slots: &[usize], change: impl Fn(&mut EndpointList, usize)) {
        self.test_bed.log.change(|endpoint_list| {
            let entry = |slot: &usize| {
                change(endpoint_list, *slot);
                endpoint_list.entry(*slot)
            };
            slots.iter().map(entry).collect()
        });
    }

    async fn burst(&self, count: usize, spread_over: f64) {
        let slots = self.test_bed.log.endpoint_list().serving();
        for slot in slots.iter().cycle().take(count) {
            // Another event may have changed the slot's state meanwhile; the entry is published with its current state.
            self.publish(&[*slot], |endpoint_list, slot| endpoint_list.reweight(slot));
            sleep_seconds(spread_over / count as f64).await;
        }
    }
}

/// Replaces the engine of a slot. Returns the entries that report the old engine as deleted, unless it was already
/// reported, and the new one as serving.
fn replacement(endpoint_list: &mut EndpointList, slot: usize, started_ms: u64) -> Vec<Value> {
    let was_reported_removed = endpoint_list.state(slot) == State::Deleted;
    endpoint_list.set_state(slot, State::Deleted);
    let removed = (!was_reported_removed).then(|| endpoint_list.entry(slot));
    endpoint_list.replace(slot, started_ms);
    removed
        .into_iter()
        .chain([endpoint_list.entry(slot)])
        .collect()
}

async fn sleep_seconds(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}
