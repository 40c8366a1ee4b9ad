//! Runs the event loop of the simulation, and dispatches each event to the gateways and their environment.

use super::clients::{self, Clients};
use super::environment::Environment;
use super::event::{EngineStep, Event};
use super::experiment::Experiment;
use super::gateway::Gateway;
use super::identifiers::ProcessId;
use super::judge::Finding;
use super::time::SimTime;
use garnetwall::api::AttemptEnd;
use garnetwall_subset::{ListedState, SubsetError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// Time over which the first starts of the gateways are randomly spread.
const INITIAL_START_SPREAD_SECONDS: f64 = 0.5;
/// Time from the start of an engine's drain to its replacement.
const DRAIN_DEADLINE_SECONDS: f64 = 3.0;

/// The state of a simulation.
pub struct Simulation {
    pub(super) experiment: Rc<Experiment>,
    pub(super) gateways: Vec<Gateway>,
    pub(super) environment: Environment,
}

/// The outcome of a run.
pub struct Outcome {
    pub findings: Vec<Finding>,
    /// Number of events that were scheduled.
    pub events: u64,
    /// Mean work of a query in core seconds.
    pub mean_work: f64,
}

impl Simulation {
    pub fn new(experiment: Experiment, seed: u64) -> Simulation {
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
        let environment = Environment::new(Rc::clone(&experiment), random);
        Simulation {
            experiment,
            gateways,
            environment,
        }
    }

    /// Runs the experiment to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the experiment's subset settings cannot be used.
    pub fn run(mut self) -> Result<Outcome, SubsetError> {
        let end = SimTime::from_seconds(self.experiment.seconds);
        self.schedule_initial_events();
        while let Some((now, event)) = self.environment.queue.pop() {
            if now > end {
                break;
            }
            self.handle(now, event)?;
        }
        Ok(Outcome {
            findings: self.environment.judge.findings(end),
            events: self.environment.queue.scheduled_total(),
            mean_work: self.environment.demand.mean_work,
        })
    }

    fn schedule_initial_events(&mut self) {
        for gateway in 0..self.gateways.len() as u32 {
            let at = SimTime::START.after(
                self.environment
                    .random
                    .random_range(0.0..INITIAL_START_SPREAD_SECONDS),
            );
            self.environment
                .queue
                .push(at, Event::GatewayStarts { gateway });
        }
        for (step, script) in self.experiment.script.iter().enumerate() {
            let at = SimTime::from_seconds(script.at_seconds);
            self.environment
                .queue
                .push(at, Event::Script { step: step as u32 });
        }
    }

    fn handle(&mut self, now: SimTime, event: Event) -> Result<(), SubsetError> {
        match event {
            Event::Arrival { .. }
            | Event::Wake { .. }
            | Event::Deliver { .. }
            | Event::AttemptFails { .. } => self.handle_in_process(now, event),
            Event::EngineDue { engine } => self.engine_due(now, engine as usize),
            Event::EngineStep { engine, step } => self.engine_step(now, engine as usize, step),
            Event::GatewayEnds { gateway, down_for } => {
                self.gateway_ends(now, gateway, f64::from(down_for))
            }
            Event::GatewayStarts { gateway } => self.gateway_starts(now, gateway)?,
            Event::PublishUpdates => {
                let updates = self.environment.log.publish_updates();
                self.announce(now, &updates);
            }
            Event::PublishConfiguration => {
                self.environment.log.publish_configuration();
                self.announce(now, &[]);
            }
            Event::RegionReconnected { region } => self.region_reconnected(now, region as usize),
            Event::Script { step } => self.run_script_step(now, step as usize),
        }
        Ok(())
    }

    /// Handles an event of a single gateway process; ignores it if that process has ended.
    fn handle_in_process(&mut self, now: SimTime, event: Event) {
        let Some(process) = event.process() else {
            return;
        };
        let Some(gateway) = running_gateway(&mut self.gateways, process) else {
            return;
        };
        let environment = &mut self.environment;
        match event {
            Event::Arrival { .. } => gateway.arrival(now, environment),
            Event::Wake { .. } if gateway.wake_due(now) => gateway.run_decisions(now, environment),
            Event::Deliver { sequence, .. } if !gateway.disconnected_from_log => {
                gateway.deliver(now, sequence as usize, environment)
            }
            Event::AttemptFails { key, end } => gateway.attempt_ended(now, key, end, environment),
            _ => {}
        }
    }

    // ---- engines ----

    /// Ends the attempts that an engine has finished, and schedules the engine again. Ignores the event if `now` is not
    /// the engine's current due time, since the engine has been rescheduled.
    fn engine_due(&mut self, now: SimTime, engine: usize) {
        let due_engine = &mut self.environment.engines[engine];
        if due_engine.due != Some(now) {
            return;
        }
        due_engine.due = None;
        let finished = due_engine.finished(&self.experiment.cold, now);
        for key in finished {
            if let Some(gateway) = running_gateway(&mut self.gateways, key.process()) {
                gateway.attempt_ended(now, key, AttemptEnd::Succeeded, &mut self.environment);
            }
        }
        self.environment.schedule_engine(now, engine);
    }

    fn engine_step(&mut self, now: SimTime, engine: usize, step: EngineStep) {
        let environment = &mut self.environment;
        match step {
            EngineStep::ReportRemoved => {
                environment.stage_update(now, engine, ListedState::Removed)
            }
            EngineStep::Start => environment.start_engine(now, engine),
            EngineStep::Restart => environment.restart_engine(now, engine),
            EngineStep::Respond => environment.set_engine_silent(now, engine, false),
            EngineStep::Drain => {
                environment.judge.engine_disturbed(engine);
                environment.stage_update(now, engine, ListedState::Draining);
                environment.schedule_step(
                    now.after(DRAIN_DEADLINE_SECONDS),
                    engine,
                    EngineStep::Replace,
                );
            }
            EngineStep::Replace => environment.replace_engine(now, engine),
        }
    }

    // ---- gateways ----

    pub(super) fn gateway_ends(&mut self, now: SimTime, gateway: u32, down_for: f64) {
        let ended = &mut self.gateways[gateway as usize];
        if !ended.running {
            return;
        }
        ended.end(now, &mut self.environment);
        self.environment
            .queue
            .push(now.after(down_for), Event::GatewayStarts { gateway });
    }

    fn gateway_starts(&mut self, now: SimTime, gateway: u32) -> Result<(), SubsetError> {
        let seed = self.environment.random.random();
        self.gateways[gateway as usize].start(now, seed, &mut self.environment)
    }

    // ---- the change log ----

    /// Reports the publication of the latest log entry to the judge, and schedules its delivery to all running gateways
    /// that are connected to the log.
    fn announce(&mut self, now: SimTime, updates: &[super::change_log::EndpointUpdate]) {
        let sequence = self.environment.log.latest();
        self.environment.judge.published(now, sequence, updates);
        for gateway in self
            .gateways
            .iter()
            .filter(|gateway| gateway.running && !gateway.disconnected_from_log)
        {
            let at = now.after(self.environment.delivery_delay());
            let (gateway, incarnation) = (gateway.number, gateway.incarnation);
            self.environment.queue.push(
                at,
                Event::Deliver {
                    gateway,
                    incarnation,
                    sequence: sequence as u32,
                },
            );
        }
    }

    /// Connects the gateways of a region to the log again. Each receives the entries that it missed after a delivery
    /// delay and a random wait between 0 and the experiment's `resume` time.
    fn region_reconnected(&mut self, now: SimTime, region: usize) {
        let resume = self.experiment.log.resume;
        let sequence = self.environment.log.latest() as u32;
        for number in self.gateways_of_region(region) {
            let gateway = &mut self.gateways[number];
            gateway.disconnected_from_log = false;
            self.environment.judge.log_reconnected(now, gateway.number);
            let wait = self.environment.random.random::<f64>() * resume
                + self.environment.delivery_delay();
            let (gateway, incarnation) = (gateway.number, gateway.incarnation);
            self.environment.queue.push(
                now.after(wait),
                Event::Deliver {
                    gateway,
                    incarnation,
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

/// Returns the gateway of a process if that process still runs.
fn running_gateway(gateways: &mut [Gateway], process: ProcessId) -> Option<&mut Gateway> {
    gateways
        .get_mut(process.gateway as usize)
        .filter(|gateway| gateway.running && gateway.incarnation == process.incarnation)
}
