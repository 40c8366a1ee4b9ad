//! The fleet: gateways and what they meet, played event by event.

use super::clients::{self, Clients};
use super::event::{EngineStep, Event};
use super::experiment::Experiment;
use super::gateway::Gateway;
use super::judge::Finding;
use super::surroundings::Surroundings;
use super::time::SimTime;
use garnetwall::api::AttemptEnd;
use garnetwall_subset::{ListedState, SubsetError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// Seconds in which all gateways start at the beginning.
const FIRST_START: f64 = 0.5;
/// Seconds that an engine told to drain has until it is replaced.
const DRAIN_DEADLINE: f64 = 3.0;

pub struct World {
    pub(super) experiment: Rc<Experiment>,
    pub(super) gateways: Vec<Gateway>,
    pub(super) around: Surroundings,
}

/// What a play came to.
pub struct Played {
    pub findings: Vec<Finding>,
    pub events: u64,
    pub mean_work: f64,
}

impl World {
    pub fn new(experiment: Experiment, seed: u64) -> World {
        let experiment = Rc::new(experiment);
        let mut random = SmallRng::seed_from_u64(seed);
        let rates = clients::rates(&experiment, &mut random);
        let zones = experiment.topology.zones;
        let gateway = |(number, rate): (usize, f64)| {
            Gateway::new(
                number,
                number % zones,
                Clients::new(random.random(), number, rate),
            )
        };
        let gateways: Vec<Gateway> = rates.into_iter().enumerate().map(gateway).collect();
        let around = Surroundings::new(Rc::clone(&experiment), random);
        World {
            experiment,
            gateways,
            around,
        }
    }

    /// Plays the experiment to its end.
    pub fn play(mut self) -> Result<Played, SubsetError> {
        let end = SimTime::from_seconds(self.experiment.seconds);
        self.schedule_beginning();
        while let Some((now, event)) = self.around.queue.pop() {
            if now > end {
                break;
            }
            self.handle(now, event)?;
        }
        Ok(Played {
            findings: self.around.judge.findings(end),
            events: self.around.queue.pushed(),
            mean_work: self.around.demand.mean_work,
        })
    }

    fn schedule_beginning(&mut self) {
        for gateway in 0..self.gateways.len() as u32 {
            let at = SimTime::START.after(self.around.random.random_range(0.0..FIRST_START));
            self.around.queue.push(at, Event::GatewayStarts { gateway });
        }
        for (line, script) in self.experiment.script.iter().enumerate() {
            let at = SimTime::from_seconds(script.at);
            self.around
                .queue
                .push(at, Event::Script { line: line as u32 });
        }
    }

    fn handle(&mut self, now: SimTime, event: Event) -> Result<(), SubsetError> {
        match event {
            Event::Arrival { gateway, life } => {
                if let Some(gateway) = alive(&mut self.gateways, gateway, life) {
                    gateway.arrival(now, &mut self.around);
                }
            }
            Event::Wake { gateway, life } => {
                let gateway = alive(&mut self.gateways, gateway, life);
                if let Some(gateway) =
                    gateway.and_then(|gateway| gateway.wakes(now).then_some(gateway))
                {
                    gateway.pump(now, &mut self.around);
                }
            }
            Event::Deliver {
                gateway,
                life,
                sequence,
            } => {
                let gateway = alive(&mut self.gateways, gateway, life);
                if let Some(gateway) = gateway.filter(|gateway| !gateway.cut) {
                    gateway.deliver(now, sequence as usize, &mut self.around);
                }
            }
            Event::AttemptFails { key, end } => {
                if let Some(gateway) = alive(&mut self.gateways, key.gateway, key.life) {
                    gateway.attempt_ended(now, key, end, &mut self.around);
                }
            }
            Event::EngineDue { engine } => self.engine_due(now, engine as usize),
            Event::EngineStep { engine, step } => self.engine_step(now, engine as usize, step),
            Event::GatewayEnds { gateway, down_for } => {
                self.gateway_ends(now, gateway, f64::from(down_for))
            }
            Event::GatewayStarts { gateway } => self.gateway_starts(now, gateway)?,
            Event::PublishLines => {
                let lines = self.around.log.publish_lines();
                self.announce(now, &lines);
            }
            Event::PublishConfiguration => {
                self.around.log.publish_configuration();
                self.announce(now, &[]);
            }
            Event::RegionHeals { region } => self.region_heals(now, region as usize),
            Event::Script { line } => self.script_line(now, line as usize),
        }
        Ok(())
    }

    // ---- engines ----

    fn engine_due(&mut self, now: SimTime, engine: usize) {
        let hollow = &mut self.around.engines[engine];
        if hollow.due != Some(now) {
            return;
        }
        hollow.due = None;
        let finished = hollow.finished(&self.experiment.cold, now);
        for key in finished {
            if let Some(gateway) = alive(&mut self.gateways, key.gateway, key.life) {
                gateway.attempt_ended(now, key, AttemptEnd::Succeeded, &mut self.around);
            }
        }
        self.around.schedule_engine(now, engine);
    }

    fn engine_step(&mut self, now: SimTime, engine: usize, step: EngineStep) {
        let around = &mut self.around;
        match step {
            EngineStep::TellGone => around.tell(now, engine, ListedState::Removed),
            EngineStep::Start => around.start_engine(now, engine),
            EngineStep::Restart => around.restart_engine(now, engine),
            EngineStep::Speak => around.silence_engine(now, engine, false),
            EngineStep::Drain => {
                around.judge.engine_disturbed(engine);
                around.tell(now, engine, ListedState::Draining);
                around.plan(now.after(DRAIN_DEADLINE), engine, EngineStep::Replace);
            }
            EngineStep::Replace => around.replace_engine(now, engine),
        }
    }

    // ---- gateways ----

    pub(super) fn gateway_ends(&mut self, now: SimTime, gateway: u32, down_for: f64) {
        let ended = &mut self.gateways[gateway as usize];
        if !ended.up {
            return;
        }
        ended.end(now, &mut self.around);
        self.around
            .queue
            .push(now.after(down_for), Event::GatewayStarts { gateway });
    }

    fn gateway_starts(&mut self, now: SimTime, gateway: u32) -> Result<(), SubsetError> {
        let seed = self.around.random.random();
        self.gateways[gateway as usize].start(now, seed, &mut self.around)
    }

    // ---- the change log ----

    /// Sends the latest entry to all gateways that the log reaches.
    fn announce(&mut self, now: SimTime, lines: &[super::change_log::ToldLine]) {
        let sequence = self.around.log.latest();
        self.around.judge.published(now, sequence, lines);
        for gateway in self
            .gateways
            .iter()
            .filter(|gateway| gateway.up && !gateway.cut)
        {
            let at = now.after(self.around.delivery_delay());
            let (gateway, life) = (gateway.number, gateway.life);
            self.around.queue.push(
                at,
                Event::Deliver {
                    gateway,
                    life,
                    sequence: sequence as u32,
                },
            );
        }
    }

    /// The gateways of a region catch up, spread over the time told.
    fn region_heals(&mut self, now: SimTime, region: usize) {
        let resume = self.experiment.log.resume;
        let sequence = self.around.log.latest() as u32;
        for number in self.gateways_of_region(region) {
            let gateway = &mut self.gateways[number];
            gateway.cut = false;
            self.around.judge.healed(now, gateway.number);
            let wait = self.around.random.random::<f64>() * resume + self.around.delivery_delay();
            let (gateway, life) = (gateway.number, gateway.life);
            self.around.queue.push(
                now.after(wait),
                Event::Deliver {
                    gateway,
                    life,
                    sequence,
                },
            );
        }
    }

    pub(super) fn gateways_of_region(&self, region: usize) -> Vec<usize> {
        let topology = &self.experiment.topology;
        let of_region = |number: &usize| self.gateways[*number].zone % topology.regions == region;
        (0..self.gateways.len()).filter(of_region).collect()
    }
}

/// The gateway, if this process of it still runs.
fn alive(gateways: &mut [Gateway], gateway: u32, life: u32) -> Option<&mut Gateway> {
    gateways
        .get_mut(gateway as usize)
        .filter(|gateway| gateway.up && gateway.life == life)
}
