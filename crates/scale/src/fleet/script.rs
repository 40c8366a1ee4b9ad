//! Carries out the failures and changes of an experiment's script.

use super::event::{EngineStep, Event};
use super::experiment::{Action, ScriptStep};
use super::simulation::Simulation;
use super::time::SimTime;
use rand::seq::SliceRandom;
use rand::Rng;

/// Downtime of a gateway's process during a restart.
const GATEWAY_RESTART_SECONDS: f64 = 1.0;
/// Time over which the starts of a zone's gateways are spread when the zone is back.
const ZONE_START_SPREAD_SECONDS: f64 = 1.0;

impl Simulation {
    pub(super) fn run_script_step(&mut self, now: SimTime, step: usize) {
        let step = self.experiment.script[step].clone();
        tracing::info!(at_seconds = now.seconds(), action = ?step.action, "script step started");
        match step.action {
            Action::RackLost => self.lose_rack(now, &step),
            Action::ZoneLost => self.lose_zone(now, &step),
            Action::RegionCut => self.cut_region(now, &step),
            Action::RollingRestart => self.restart_rolling(now, &step),
            Action::MassRestart => self.restart_all(now, &step),
            Action::ConfigurationBurst => self.publish_burst(now, &step),
            Action::EnginesReplaced => self.schedule_engines(now, &step, EngineStep::Drain),
            Action::EnginesRestarted => self.schedule_engines(now, &step, EngineStep::Restart),
            Action::EnginesSilent => self.silence_engines(now, &step),
        }
    }

    fn lose_rack(&mut self, now: SimTime, step: &ScriptStep) {
        let engines: Vec<usize> = self.reachable_engines(|site| site.rack == step.index);
        self.lose_engines(now, &engines, step.duration_seconds);
    }

    fn lose_zone(&mut self, now: SimTime, step: &ScriptStep) {
        let of_zone = |number: &u32| self.gateways[*number as usize].zone == step.index;
        let gateways: Vec<u32> = (0..self.gateways.len() as u32).filter(of_zone).collect();
        for gateway in gateways {
            let down_for = step.duration_seconds
                + self.environment.random.random::<f64>() * ZONE_START_SPREAD_SECONDS;
            self.gateway_ends(now, gateway, down_for);
        }
        let engines = self.reachable_engines(|site| site.zone == step.index);
        self.lose_engines(now, &engines, step.duration_seconds);
        self.environment.judge.zone_lost(now);
    }

    /// Stops engines without notice. They start again, cold, after `duration_seconds`, but not before the change log
    /// has reported their loss.
    fn lose_engines(&mut self, now: SimTime, engines: &[usize], duration_seconds: f64) {
        let detection = self.experiment.engines.loss_detection;
        let reported_at = now.after(self.experiment.log.loss_report_delay);
        for engine in engines {
            self.environment.stop_engine(now, *engine, detection);
            self.environment
                .schedule_step(reported_at, *engine, EngineStep::ReportRemoved);
            self.environment.schedule_step(
                now.after(duration_seconds).max(reported_at),
                *engine,
                EngineStep::Start,
            );
        }
    }

    fn cut_region(&mut self, now: SimTime, step: &ScriptStep) {
        for number in self.gateways_of_region(step.index) {
            self.gateways[number].disconnected_from_log = true;
            self.environment.judge.log_disconnected(number as u32);
        }
        let reconnected = Event::RegionReconnected {
            region: step.index as u32,
        };
        self.environment
            .queue
            .push(now.after(step.duration_seconds), reconnected);
    }

    /// Restarts all gateways in random order, the step's share of them at a time.
    fn restart_rolling(&mut self, now: SimTime, step: &ScriptStep) {
        let mut order: Vec<u32> = (0..self.gateways.len() as u32).collect();
        order.shuffle(&mut self.environment.random);
        let at_a_time = ((order.len() as f64 * step.share).ceil() as usize).max(1);
        let rounds = order.len().div_ceil(at_a_time);
        for (round, gateways) in order.chunks(at_a_time).enumerate() {
            let at = now.after(step.duration_seconds * round as f64 / rounds as f64);
            gateways
                .iter()
                .for_each(|gateway| self.schedule_restart(at, *gateway));
        }
    }

    /// Restarts all gateways, each at a random time within the step's duration.
    fn restart_all(&mut self, now: SimTime, step: &ScriptStep) {
        for gateway in 0..self.gateways.len() as u32 {
            let at = now.after(self.environment.random.random::<f64>() * step.duration_seconds);
            self.schedule_restart(at, gateway);
        }
    }

    fn schedule_restart(&mut self, at: SimTime, gateway: u32) {
        let down_for = GATEWAY_RESTART_SECONDS as f32;
        self.environment
            .queue
            .push(at, Event::GatewayEnds { gateway, down_for });
    }

    fn publish_burst(&mut self, now: SimTime, step: &ScriptStep) {
        for change in 0..step.count {
            let at = now.after(step.duration_seconds * change as f64 / step.count as f64);
            self.environment.queue.push(at, Event::PublishConfiguration);
        }
    }

    /// Schedules a step for randomly chosen engines, at regular intervals within the script step's duration.
    fn schedule_engines(&mut self, now: SimTime, step: &ScriptStep, engine_step: EngineStep) {
        for (place, engine) in self.draw_engines(step.count).into_iter().enumerate() {
            let at = now.after(step.duration_seconds * place as f64 / step.count as f64);
            self.environment.schedule_step(at, engine, engine_step);
        }
    }

    fn silence_engines(&mut self, now: SimTime, step: &ScriptStep) {
        for engine in self.draw_engines(step.count) {
            self.environment.set_engine_silent(now, engine, true);
            self.environment.schedule_step(
                now.after(step.duration_seconds),
                engine,
                EngineStep::Respond,
            );
        }
    }

    /// Returns the numbers of the reachable engines at the wanted sites.
    fn reachable_engines(&self, wanted: impl Fn(&super::engine::Site) -> bool) -> Vec<usize> {
        let engines = self.environment.engines.iter().enumerate();
        let up = engines.filter(|(_, engine)| engine.reachable() && wanted(&engine.site));
        up.map(|(number, _)| number).collect()
    }

    /// Returns up to `count` reachable engines, chosen at random.
    fn draw_engines(&mut self, count: usize) -> Vec<usize> {
        let mut engines = self.reachable_engines(|_| true);
        engines.shuffle(&mut self.environment.random);
        engines.truncate(count);
        engines
    }
}
