//! Judges how many gateways connect to each engine, and how long gateways take to refill their subsets after the loss
//! of a zone.

use super::finding::Finding;
use super::gateway_set::GatewaySet;
use crate::fleet::experiment::Experiment;
use crate::fleet::time::SimTime;
use crate::statistics::quantile;
use std::rc::Rc;

/// The gateways connected to one engine.
#[derive(Default)]
struct EngineConnections {
    /// Whether the engine's process is running.
    running: bool,
    /// Gateways that are connected now.
    gateways: GatewaySet,
    /// Number of gateways that are connected now.
    connected: u32,
    /// Largest number of gateways connected at once.
    peak: u32,
}

/// The engines that one gateway is connected to.
#[derive(Clone, Default)]
struct GatewayConnections {
    up: bool,
    /// Number of connected engines whose process is running.
    live_engines: usize,
    /// When a zone's loss left the subset incomplete; `None` once it is full again.
    refilling_since: Option<SimTime>,
}

/// Tracks which gateways are connected to which engines.
pub struct Connections {
    experiment: Rc<Experiment>,
    engines: Vec<EngineConnections>,
    gateways: Vec<GatewayConnections>,
    /// Number of engines whose process is running.
    alive_engines: usize,
    /// Number of zone losses so far.
    lost_zones: u64,
    /// Seconds from a zone's loss until a gateway's subset was full again; 0 if it stayed full, infinite if it was not
    /// refilled in time.
    refills: Vec<f64>,
}

impl Connections {
    pub fn new(experiment: Rc<Experiment>) -> Connections {
        let gateways = vec![GatewayConnections::default(); experiment.gateways.count];
        Connections {
            experiment,
            engines: Vec::new(),
            gateways,
            alive_engines: 0,
            lost_zones: 0,
            refills: Vec::new(),
        }
    }

    /// Returns the number of engines in a full subset: the subset size, but at most the number of running engines.
    fn full_subset_size(&self) -> usize {
        let size = self
            .experiment
            .subset
            .as_ref()
            .map_or(usize::MAX, |subset| subset.size);
        size.min(self.alive_engines)
    }

    pub fn engine_added(&mut self) {
        self.engines.push(EngineConnections {
            running: true,
            gateways: GatewaySet::new(self.gateways.len()),
            ..EngineConnections::default()
        });
        self.alive_engines += 1;
    }

    pub fn gateway_started(&mut self, gateway: u32) {
        self.gateways[gateway as usize].up = true;
    }

    /// Records the end of a gateway's process. A subset that is still incomplete counts as never refilled if the limit
    /// has passed, and is not judged otherwise.
    pub fn gateway_ended(&mut self, now: SimTime, gateway: u32) {
        let waited = self.gateways[gateway as usize]
            .refilling_since
            .map(|since| now.since(since));
        let overdue = waited.is_some_and(|seconds| seconds > self.experiment.limits.refill_p99);
        self.refills.extend(overdue.then_some(f64::INFINITY));
        let connected: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.is_connected(gateway, *engine))
            .collect();
        connected
            .into_iter()
            .for_each(|engine| self.disconnected(gateway, engine));
        self.gateways[gateway as usize] = GatewayConnections::default();
    }

    pub fn engine_stopped(&mut self, engine: usize) {
        if !std::mem::replace(&mut self.engines[engine].running, false) {
            return;
        }
        self.alive_engines -= 1;
        for gateway in self.connected_gateways(engine) {
            self.gateways[gateway].live_engines -= 1;
        }
    }

    pub fn engine_started(&mut self, now: SimTime, engine: usize) {
        if std::mem::replace(&mut self.engines[engine].running, true) {
            return;
        }
        self.alive_engines += 1;
        for gateway in self.connected_gateways(engine) {
            self.gateways[gateway].live_engines += 1;
            self.check_if_full(now, gateway);
        }
    }

    fn connected_gateways(&self, engine: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| self.is_connected(*gateway as u32, engine))
            .collect()
    }

    fn is_connected(&self, gateway: u32, engine: usize) -> bool {
        self.engines[engine].gateways.contains(gateway as usize)
    }

    pub fn connected(&mut self, now: SimTime, gateway: u32, engine: usize) {
        if self.is_connected(gateway, engine) {
            return;
        }
        let connections = &mut self.engines[engine];
        connections.gateways.insert(gateway as usize);
        connections.connected += 1;
        connections.peak = connections.peak.max(connections.connected);
        if connections.running {
            self.gateways[gateway as usize].live_engines += 1;
            self.check_if_full(now, gateway as usize);
        }
    }

    pub fn disconnected(&mut self, gateway: u32, engine: usize) {
        if !self.is_connected(gateway, engine) {
            return;
        }
        let connections = &mut self.engines[engine];
        connections.gateways.remove(gateway as usize);
        connections.connected -= 1;
        if connections.running {
            self.gateways[gateway as usize].live_engines -= 1;
        }
    }

    pub fn zone_lost(&mut self, now: SimTime) {
        self.lost_zones += 1;
        let full = self.full_subset_size();
        for connections in self
            .gateways
            .iter_mut()
            .filter(|connections| connections.up && connections.refilling_since.is_none())
        {
            if connections.live_engines < full {
                connections.refilling_since = Some(now);
            } else {
                self.refills.push(0.0);
            }
        }
    }

    /// Records the refill time of a gateway if its subset has become full again.
    fn check_if_full(&mut self, now: SimTime, gateway: usize) {
        let full = self.full_subset_size();
        let connections = &mut self.gateways[gateway];
        if connections.live_engines < full {
            return;
        }
        if let Some(since) = connections.refilling_since.take() {
            self.refills.push(now.since(since));
        }
    }

    pub fn findings(&self, now: SimTime) -> Vec<Finding> {
        vec![self.connections_finding(), self.refill_finding(now)]
    }

    fn connections_finding(&self) -> Finding {
        let mut peaks: Vec<f64> = self
            .engines
            .iter()
            .map(|engine| f64::from(engine.peak))
            .collect();
        peaks.sort_by(f64::total_cmp);
        let even = self.gateways.len() as f64 * self.full_subset_size() as f64
            / self.alive_engines.max(1) as f64;
        let max = quantile(&peaks, 1.0);
        let unconnected = self
            .engines
            .iter()
            .filter(|engine| engine.running && engine.connected == 0)
            .count();
        let most = self.experiment.limits.meets_max;
        Finding::new(
            "gateways an engine meets",
            max <= even * most && unconnected == 0,
            format!(
                "p50 {}, p99 {}, max {max} at once, {even:.0} if even; {unconnected} engines meet none at the end; at most \
                 {most:.2} times even",
                quantile(&peaks, 0.5),
                quantile(&peaks, 0.99)
            ),
            &[
                ("p50", quantile(&peaks, 0.5)),
                ("p99", quantile(&peaks, 0.99)),
                ("max", max),
                ("even", even),
                ("unmet", unconnected as f64),
            ],
        )
    }

    fn refill_finding(&self, now: SimTime) -> Finding {
        let waiting = self
            .gateways
            .iter()
            .filter_map(|connections| connections.refilling_since);
        let unfilled = waiting.map(|_| f64::INFINITY);
        let mut refills: Vec<f64> = self.refills.iter().copied().chain(unfilled).collect();
        refills.sort_by(f64::total_cmp);
        let unfilled = refills
            .iter()
            .filter(|seconds| seconds.is_infinite())
            .count();
        let (median, p99) = (quantile(&refills, 0.5), quantile(&refills, 0.99));
        let most = self.experiment.limits.refill_p99;
        let shown = |seconds: f64| {
            if seconds.is_finite() {
                seconds
            } else {
                now.seconds()
            }
        };
        Finding::new(
            "full subsets after a zone's loss",
            p99 <= most,
            format!(
                "{} zones lost, {} gateways judged: p50 {median:.2} s, p99 {p99:.2} s, {unfilled} never full; at most \
                  {most:.2} s",
                self.lost_zones,
                refills.len()
            ),
            &[("p50", shown(median)), ("p99", shown(p99)), ("unfilled", unfilled as f64)],
        )
    }
}
