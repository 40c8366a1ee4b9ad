//! The failures and changes that an experiment's script plays.

use super::event::{EngineStep, Event};
use super::experiment::{Action, ScriptLine};
use super::time::SimTime;
use super::world::World;
use rand::seq::SliceRandom;
use rand::Rng;

/// Seconds that a gateway's process is down when it is restarted.
const GATEWAY_RESTART: f64 = 1.0;
/// Seconds over which the gateways of a zone that is back start.
const ZONE_START: f64 = 1.0;

impl World {
    pub(super) fn script_line(&mut self, now: SimTime, line: usize) {
        let line = self.experiment.script[line].clone();
        tracing::info!(at = now.seconds(), what = ?line.what, "script");
        match line.what {
            Action::RackLost => self.rack_lost(now, &line),
            Action::ZoneLost => self.zone_lost(now, &line),
            Action::RegionCut => self.region_cut(now, &line),
            Action::RollingRestart => self.rolling_restart(now, &line),
            Action::MassRestart => self.mass_restart(now, &line),
            Action::ConfigurationBurst => self.configuration_burst(now, &line),
            Action::EnginesReplaced => self.engines_one_by_one(now, &line, EngineStep::Drain),
            Action::EnginesRestarted => self.engines_one_by_one(now, &line, EngineStep::Restart),
            Action::EnginesSilent => self.engines_silent(now, &line),
        }
    }

    fn rack_lost(&mut self, now: SimTime, line: &ScriptLine) {
        let engines: Vec<usize> = self.engines_up(|site| site.rack == line.which);
        self.engines_lost(now, &engines, line.lasts);
    }

    fn zone_lost(&mut self, now: SimTime, line: &ScriptLine) {
        let of_zone = |number: &u32| self.gateways[*number as usize].zone == line.which;
        let gateways: Vec<u32> = (0..self.gateways.len() as u32).filter(of_zone).collect();
        for gateway in gateways {
            let down_for = line.lasts + self.around.random.random::<f64>() * ZONE_START;
            self.gateway_ends(now, gateway, down_for);
        }
        let engines = self.engines_up(|site| site.zone == line.which);
        self.engines_lost(now, &engines, line.lasts);
        self.around.judge.zone_lost(now);
    }

    /// Engines vanish without a word, and come back cold.
    fn engines_lost(&mut self, now: SimTime, engines: &[usize], lasts: f64) {
        let detection = self.experiment.engines.loss_detection;
        let told = now.after(self.experiment.log.loss_told);
        for engine in engines {
            self.around.stop_engine(now, *engine, detection);
            self.around.plan(told, *engine, EngineStep::TellGone);
            self.around
                .plan(now.after(lasts).max(told), *engine, EngineStep::Start);
        }
    }

    fn region_cut(&mut self, now: SimTime, line: &ScriptLine) {
        for number in self.gateways_of_region(line.which) {
            self.gateways[number].cut = true;
            self.around.judge.cut(number as u32);
        }
        let heals = Event::RegionHeals {
            region: line.which as u32,
        };
        self.around.queue.push(now.after(line.lasts), heals);
    }

    fn rolling_restart(&mut self, now: SimTime, line: &ScriptLine) {
        let mut order: Vec<u32> = (0..self.gateways.len() as u32).collect();
        order.shuffle(&mut self.around.random);
        let at_a_time = ((order.len() as f64 * line.share).ceil() as usize).max(1);
        let groups = order.len().div_ceil(at_a_time);
        for (group, gateways) in order.chunks(at_a_time).enumerate() {
            let at = now.after(line.lasts * group as f64 / groups as f64);
            gateways
                .iter()
                .for_each(|gateway| self.plan_restart(at, *gateway));
        }
    }

    fn mass_restart(&mut self, now: SimTime, line: &ScriptLine) {
        for gateway in 0..self.gateways.len() as u32 {
            let at = now.after(self.around.random.random::<f64>() * line.lasts);
            self.plan_restart(at, gateway);
        }
    }

    fn plan_restart(&mut self, at: SimTime, gateway: u32) {
        let down_for = GATEWAY_RESTART as f32;
        self.around
            .queue
            .push(at, Event::GatewayEnds { gateway, down_for });
    }

    fn configuration_burst(&mut self, now: SimTime, line: &ScriptLine) {
        for change in 0..line.count {
            let at = now.after(line.lasts * change as f64 / line.count as f64);
            self.around.queue.push(at, Event::PublishConfiguration);
        }
    }

    fn engines_one_by_one(&mut self, now: SimTime, line: &ScriptLine, step: EngineStep) {
        for (place, engine) in self.draw_engines(line.count).into_iter().enumerate() {
            let at = now.after(line.lasts * place as f64 / line.count as f64);
            self.around.plan(at, engine, step);
        }
    }

    fn engines_silent(&mut self, now: SimTime, line: &ScriptLine) {
        for engine in self.draw_engines(line.count) {
            self.around.silence_engine(now, engine, true);
            self.around
                .plan(now.after(line.lasts), engine, EngineStep::Speak);
        }
    }

    fn engines_up(&self, wanted: impl Fn(&super::engine::Site) -> bool) -> Vec<usize> {
        let engines = self.around.engines.iter().enumerate();
        let up = engines.filter(|(_, engine)| engine.reachable() && wanted(&engine.site));
        up.map(|(number, _)| number).collect()
    }

    fn draw_engines(&mut self, count: usize) -> Vec<usize> {
        let mut engines = self.engines_up(|_| true);
        engines.shuffle(&mut self.around.random);
        engines.truncate(count);
        engines
    }
}
