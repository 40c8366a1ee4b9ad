//! What happens during a run, by the experiment's events.

use super::change_log::ChangeLog;
use super::engines::{Engines, Health};
use super::experiment::{Event, Happening};
use super::gateways::{GatewayError, Gateways};
use super::roster::{Roster, State};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde_json::Value;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Everything that an event may touch.
pub struct Stage {
    pub log: ChangeLog,
    pub engines: Arc<Engines>,
    pub gateways: Arc<Gateways>,
    random: Mutex<SmallRng>,
}

/// Plays all events, and waits until what they begin has ended.
pub async fn play(stage: Arc<Stage>, events: Vec<Event>) -> Result<(), GatewayError> {
    let start = Instant::now();
    let mut playing = JoinSet::new();
    for event in events {
        let stage = stage.clone();
        playing.spawn(async move {
            sleep_until(start + Duration::from_secs_f64(event.at)).await;
            tracing::info!(at = event.at, what = ?event.what, "event");
            stage.play(event.what).await
        });
    }
    while let Some(ended) = playing.join_next().await {
        if let Ok(Err(fault)) = ended {
            return Err(fault);
        }
    }
    Ok(())
}

impl Stage {
    pub fn new(log: ChangeLog, engines: Arc<Engines>, gateways: Arc<Gateways>, seed: u64) -> Stage {
        Stage {
            log,
            engines,
            gateways,
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    async fn play(&self, what: Happening) -> Result<(), GatewayError> {
        match what {
            Happening::EnginesKilled { count, told_after } => {
                let slots = self.kill(count);
                pause(told_after).await;
                self.tell(&slots, |roster, slot| {
                    roster.set_state(slot, State::Deleted)
                });
            }
            Happening::EnginesDrained { count, gone_after } => self.drain(count, gone_after).await,
            Happening::EnginesReplaced { count } => {
                let slots = self.kill(count);
                self.come_back(&slots);
            }
            Happening::EnginesRestarted { count, down } => {
                let slots = self.kill(count);
                pause(down).await;
                self.come_back(&slots);
            }
            Happening::ZoneLost { zone, told_after } => {
                let slots = self.log.roster().in_zone(zone);
                slots
                    .iter()
                    .for_each(|slot| self.engines.set_health(*slot, Health::Silent));
                pause(told_after).await;
                self.tell(&slots, |roster, slot| {
                    roster.set_state(slot, State::Deleted)
                });
            }
            Happening::ZoneBack { zone } => {
                let slots = self.log.roster().in_zone(zone);
                slots.iter().for_each(|slot| self.engines.kill(*slot));
                self.come_back(&slots);
            }
            Happening::ChangesBurst { count, over } => self.burst(count, over).await,
            Happening::GatewayReloaded { gateway } => self.gateways.reload(gateway).await?,
            Happening::GatewayTerminated { gateway } => {
                self.gateways.terminate(gateway).await?;
                self.gateways.start(gateway, &self.log).await?;
            }
            Happening::GatewayKilled { gateway } => {
                self.gateways.kill(gateway).await?;
                self.gateways.start(gateway, &self.log).await?;
            }
        }
        Ok(())
    }

    /// So many engines that serve, drawn by the seed, and not those that another event has taken.
    fn draw(&self, count: usize) -> Vec<usize> {
        let mut slots = self.log.roster().serving();
        slots.shuffle(&mut *self.random.lock().unwrap_or_else(PoisonError::into_inner));
        slots.retain(|slot| self.engines.health(*slot) == Health::Up);
        slots.truncate(count);
        slots
    }

    fn kill(&self, count: usize) -> Vec<usize> {
        let slots = self.draw(count);
        slots.iter().for_each(|slot| self.engines.kill(*slot));
        slots
    }

    async fn drain(&self, count: usize, gone_after: f64) {
        let slots = self.draw(count);
        self.tell(&slots, |roster, slot| {
            roster.set_state(slot, State::Draining)
        });
        pause(gone_after).await;
        slots.iter().for_each(|slot| self.engines.kill(*slot));
        self.tell(&slots, |roster, slot| {
            roster.set_state(slot, State::Deleted)
        });
    }

    /// Others come up at these addresses; the old ones are told gone in the same event.
    fn come_back(&self, slots: &[usize]) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        slots
            .iter()
            .for_each(|slot| self.engines.set_health(*slot, Health::Up));
        self.log.change(|roster| {
            let come_back = |slot: &usize| replacement(roster, *slot, now);
            slots.iter().flat_map(come_back).collect()
        });
    }

    fn tell(&self, slots: &[usize], change: impl Fn(&mut Roster, usize)) {
        self.log.change(|roster| {
            let line = |slot: &usize| {
                change(roster, *slot);
                roster.line(*slot)
            };
            slots.iter().map(line).collect()
        });
    }

    async fn burst(&self, count: usize, over: f64) {
        let slots = self.log.roster().serving();
        for slot in slots.iter().cycle().take(count) {
            // An event of its own may have taken it meanwhile: its line is told as it stands.
            self.tell(&[*slot], |roster, slot| roster.touch(slot));
            pause(over / count as f64).await;
        }
    }
}

/// Lines that tell one engine gone and the next one at its address there.
fn replacement(roster: &mut Roster, slot: usize, started_ms: u64) -> Vec<Value> {
    let was_told_gone = roster.state(slot) == State::Deleted;
    roster.set_state(slot, State::Deleted);
    let gone = (!was_told_gone).then(|| roster.line(slot));
    roster.replace(slot, started_ms);
    gone.into_iter().chain([roster.line(slot)]).collect()
}

async fn pause(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}
