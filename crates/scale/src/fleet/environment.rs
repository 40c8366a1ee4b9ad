//! The state that all gateways share: engines, the change log, client demand, the event queue and the judge.

use super::change_log::{ChangeLog, EndpointUpdate};
use super::clients::Demand;
use super::engine::{Engine, EngineState, ReceiveOutcome, Site};
use super::event::{EngineStep, Event};
use super::event_queue::EventQueue;
use super::experiment::Experiment;
use super::identifiers::AttemptKey;
use super::injected_fault::InjectedFault;
use super::judge::{Judge, SeenAttempt};
use super::time::SimTime;
use garnetwall::api::AttemptEnd;
use garnetwall_subset::{EngineFacts, ListedState};
use rand::rngs::SmallRng;
use rand::Rng;
use std::rc::Rc;

/// Endpoint updates are collected for this time and then published as one entry of the change log.
const PUBLISH_INTERVAL_SECONDS: f64 = 0.1;

/// Everything in a simulation except the gateways.
pub struct Environment {
    pub experiment: Rc<Experiment>,
    pub engines: Vec<Engine>,
    pub queue: EventQueue<Event>,
    pub log: ChangeLog,
    pub judge: Judge,
    pub demand: Demand,
    pub random: SmallRng,
}

impl Environment {
    pub fn new(experiment: Rc<Experiment>, mut random: SmallRng) -> Environment {
        let engines: Vec<Engine> = (0..experiment.engines.count)
            .map(|n| Engine::new(site(&experiment, n, &mut random), None))
            .collect();
        let cores: f64 = engines.iter().map(|engine| engine.site.cores).sum();
        let demand = Demand::new(&experiment, cores);
        let mut judge = Judge::new(&experiment, demand.mean_work);
        engines
            .iter()
            .for_each(|engine| judge.engine_added(engine.site));
        let update = |(number, engine): (usize, &Engine)| {
            endpoint_update(number, engine, ListedState::Ready)
        };
        let updates: Vec<EndpointUpdate> = engines.iter().enumerate().map(update).collect();
        let log = ChangeLog::new(&updates);
        judge.published(SimTime::START, log.latest(), &updates);
        Environment {
            experiment,
            engines,
            queue: EventQueue::new(),
            log,
            judge,
            demand,
            random,
        }
    }

    /// Returns whether the experiment injects this fault.
    pub fn injects(&self, injected_fault: InjectedFault) -> bool {
        self.experiment.injected_fault == Some(injected_fault)
    }

    // ---- attempts ----

    /// Sends an attempt to an engine. Returns the progress at which the engine finishes it, which
    /// [`Environment::withdraw`] needs. If the engine cannot be reached, schedules a connect failure and returns
    /// `None`.
    pub fn send(&mut self, now: SimTime, key: AttemptKey, attempt: SeenAttempt) -> Option<u64> {
        let engine = &mut self.engines[attempt.engine];
        if !engine.reachable() {
            let at = now.after(self.experiment.engines.connect_timeout);
            self.queue.push(
                at,
                Event::AttemptFails {
                    key,
                    end: AttemptEnd::ConnectFailed,
                },
            );
            return None;
        }
        let (cold, mean_work) = (&self.experiment.cold, self.demand.mean_work);
        let (done_at, received) = engine.receive(cold, mean_work, now, key, attempt.work);
        self.judge
            .connected(now, attempt.name.gateway, attempt.engine);
        self.judge.attempt_began(now, attempt);
        match received {
            ReceiveOutcome::Running => self.schedule_engine(now, attempt.engine),
            ReceiveOutcome::Crashed => self.crash_engine(now, attempt.engine),
        }
        Some(done_at)
    }

    /// Removes an attempt from its engine because the gateway closes the connection. Attempts that are no longer
    /// running are ignored.
    pub fn withdraw(&mut self, now: SimTime, key: AttemptKey, engine: usize, done_at: u64) {
        if self.engines[engine].withdraw(&self.experiment.cold, now, done_at, key) {
            self.schedule_engine(now, engine);
        }
    }

    /// Schedules the engine's next event, unless an earlier one is scheduled already.
    pub fn schedule_engine(&mut self, now: SimTime, engine: usize) {
        let hollow = &mut self.engines[engine];
        let Some(next) = hollow.next_due(&self.experiment.cold, now) else {
            return;
        };
        if hollow.due.is_none_or(|due| next < due) {
            hollow.due = Some(next);
            self.queue.push(
                next,
                Event::EngineDue {
                    engine: engine as u32,
                },
            );
        }
    }

    // ---- engine processes ----

    fn crash_engine(&mut self, now: SimTime, engine: usize) {
        self.judge.engine_crashed();
        self.restart_engine(now, engine);
    }

    /// Ends an engine's process and its attempts, and schedules the next start.
    pub fn restart_engine(&mut self, now: SimTime, engine: usize) {
        self.stop_engine(now, engine, 0.0);
        let up_at = now.after(self.experiment.engines.restart);
        self.schedule_step(up_at, engine, EngineStep::Start);
    }

    /// Ends an engine's process. Gateways learn of the lost attempts after `detection` seconds.
    pub fn stop_engine(&mut self, now: SimTime, engine: usize, detection: f64) {
        if !self.engines[engine].reachable() {
            return;
        }
        let broken = self.engines[engine].stop(&self.experiment.cold, now, EngineState::Down);
        self.judge.engine_stopped(engine);
        let at = now.after(detection);
        for key in broken {
            self.queue.push(
                at,
                Event::AttemptFails {
                    key,
                    end: AttemptEnd::ConnectionLost,
                },
            );
        }
    }

    /// Starts a new process of an engine that is down, and publishes it as ready.
    pub fn start_engine(&mut self, now: SimTime, engine: usize) {
        if self.engines[engine].state != EngineState::Down {
            return;
        }
        self.engines[engine].start(now);
        self.judge.engine_started(now, engine);
        self.stage_update(now, engine, ListedState::Ready);
    }

    /// Retires an engine, and adds a new, cold one at the same site.
    pub fn replace_engine(&mut self, now: SimTime, engine: usize) {
        self.stop_engine(now, engine, 0.0);
        self.engines[engine].state = EngineState::Retired;
        self.stage_update(now, engine, ListedState::Removed);
        let site = self.engines[engine].site;
        let new = self.engines.len();
        self.engines.push(Engine::new(site, Some(now)));
        self.judge.engine_added(site);
        self.judge.engine_started(now, new);
        self.stage_update(now, new, ListedState::Ready);
    }

    /// Makes an engine silent, or lets it answer again.
    pub fn set_engine_silent(&mut self, now: SimTime, engine: usize, silent: bool) {
        self.judge.engine_disturbed(engine);
        self.engines[engine].set_silent(&self.experiment.cold, now, silent);
        self.schedule_engine(now, engine);
    }

    /// Schedules a step of an engine.
    pub fn schedule_step(&mut self, at: SimTime, engine: usize, step: EngineStep) {
        self.queue.push(
            at,
            Event::EngineStep {
                engine: engine as u32,
                step,
            },
        );
    }

    // ---- the change log ----

    /// Adds the current state of an engine to the next entry of the change log, and schedules its publication if it is
    /// the entry's first update.
    pub fn stage_update(&mut self, now: SimTime, engine: usize, state: ListedState) {
        let mut update = endpoint_update(engine, &self.engines[engine], state);
        if self.injects(InjectedFault::StartsUntold) {
            update.started = None;
        }
        if self.log.stage(update) {
            self.queue
                .push(now.after(PUBLISH_INTERVAL_SECONDS), Event::PublishUpdates);
        }
    }

    /// Draws the time in seconds from the publication of an entry to its delivery to one gateway.
    pub fn delivery_delay(&mut self) -> f64 {
        let log = &self.experiment.log;
        let drawn: f64 = self.random.random();
        log.least_delay - log.mean_delay * (1.0 - drawn).ln()
    }
}

fn site(experiment: &Experiment, engine: usize, random: &mut SmallRng) -> Site {
    let topology = &experiment.topology;
    let zone = engine % topology.zones;
    let rack_in_zone = engine / topology.zones % topology.racks_per_zone;
    let kind = random.random_range(0..experiment.engines.kind_cores.len());
    let rack = zone * topology.racks_per_zone + rack_in_zone;
    Site {
        zone,
        rack,
        kind,
        cores: experiment.engines.kind_cores[kind],
    }
}

fn endpoint_update(number: usize, engine: &Engine, state: ListedState) -> EndpointUpdate {
    let Site {
        zone,
        rack,
        kind,
        cores,
    } = engine.site;
    let facts = EngineFacts {
        zone: zone as u32,
        kind: kind as u32,
        cell: rack as u32,
        cores,
        state,
    };
    EndpointUpdate {
        engine: number,
        facts,
        started: engine.started,
    }
}
