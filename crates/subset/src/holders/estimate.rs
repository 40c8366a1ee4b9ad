//! Works out the number of holders of each group of engines.

use super::parameters::{Group, HoldersParameters};
use super::selection_model::SelectionModel;
use crate::ready::{EngineShape, ReadyEngines, RetryDomain, ShapeCounts};
use crate::score::{base_weight, usable_cores};
use crate::settings::RetryScope;
use std::collections::BTreeMap;

/// Standard deviations by which the expected number of holders is raised: it divides what all of them may do together.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Halvings of the interval in which a threshold lies: more than a float's mantissa has bits.
const HALVINGS: usize = 60;

/// A threshold of scores, and its standard deviation over the gateways.
#[derive(Clone, Copy)]
struct Threshold {
    mean: f64,
    deviation: f64,
}

/// A zone of gateways.
struct GatewayZone {
    /// None where gateways do not know their zones.
    zone: Option<u32>,
    /// The fraction of the gateways that is in it.
    fraction: f64,
}

impl GatewayZone {
    /// All gateways, where their zones do not matter.
    const UNKNOWN: GatewayZone = GatewayZone {
        zone: None,
        fraction: 1.0,
    };
}

/// Estimates the number of holders of each shape of engine: the members whose scores lie under a threshold, and the companions that
/// retries ask for.
pub(super) struct Estimate<'a> {
    parameters: &'a HoldersParameters,
    domains: Vec<(RetryDomain, &'a ShapeCounts)>,
    models: Vec<SelectionModel<'a>>,
    gateway_zones: Vec<GatewayZone>,
}

impl<'a> Estimate<'a> {
    pub(super) fn new(parameters: &'a HoldersParameters, ready: &'a ReadyEngines) -> Self {
        let domains = retry_domains(ready, parameters.retry_scope);
        let whole = SelectionModel::new(None, parameters.size, &domains, parameters.retry_scope);
        let of_class = |class| {
            SelectionModel::new(
                Some(class),
                parameters.class_floor,
                &domains,
                parameters.retry_scope,
            )
        };
        let models = std::iter::once(whole)
            .chain(parameters.classes.iter().map(of_class))
            .collect();
        let gateway_zones = if parameters.near_weight > 1.0 {
            gateway_zones(ready)
        } else {
            vec![GatewayZone::UNKNOWN]
        };
        Estimate {
            parameters,
            domains,
            models,
            gateway_zones,
        }
    }

    /// The number of holders of each group, raised by a margin.
    pub(super) fn holders(&self) -> BTreeMap<Group, f64> {
        let mut fractions: BTreeMap<Group, f64> = BTreeMap::new();
        for GatewayZone { zone, fraction } in &self.gateway_zones {
            let thresholds: Vec<Threshold> = self
                .models
                .iter()
                .map(|model| self.threshold(model, *zone))
                .collect();
            for (domain, shapes) in &self.domains {
                for shape in shapes.keys() {
                    let probability = self.probability(*zone, &thresholds, *domain, shapes, *shape);
                    let group = Group {
                        domain: *domain,
                        shape: *shape,
                    };
                    *fractions.entry(group).or_default() += fraction * probability;
                }
            }
        }
        fractions
            .into_iter()
            .map(|(group, fraction)| (group, self.with_margin(fraction)))
            .collect()
    }

    fn with_margin(&self, fraction: f64) -> f64 {
        let expected = self.parameters.gateways * fraction;
        (expected + MARGIN_DEVIATIONS * expected.sqrt()).clamp(1.0, self.parameters.gateways)
    }

    /// Whether a retry needs a second engine in the domain of the first.
    fn needs_companions(&self) -> bool {
        self.parameters.retry_scope != RetryScope::Everywhere
    }

    /// How many times its weight an engine of this zone counts for a gateway.
    fn near_weight(&self, gateway_zone: Option<u32>, zone: u32) -> f64 {
        if gateway_zone == Some(zone) {
            self.parameters.near_weight
        } else {
            1.0
        }
    }

    /// The threshold at which a gateway of this zone expects the model's quota of members.
    fn threshold(&self, model: &SelectionModel, gateway_zone: Option<u32>) -> Threshold {
        if model.quota >= model.engines {
            return Threshold {
                mean: f64::INFINITY,
                deviation: 0.0,
            };
        }
        let expected = |threshold: f64| {
            model.expected(
                threshold,
                gateway_zone,
                self.parameters.near_weight,
                self.needs_companions(),
            )
        };
        let quota = model.quota as f64;
        let mut high = 1.0;
        while expected(high) < quota && high < f64::MAX / 2.0 {
            high *= 2.0;
        }
        let mut low = 0.0;
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            if expected(middle) < quota {
                low = middle;
            } else {
                high = middle;
            }
        }
        Threshold {
            mean: high,
            deviation: high / quota.max(1.0).sqrt(),
        }
    }

    /// An upper estimate of the probability that a gateway of this zone holds an engine.
    fn probability(
        &self,
        gateway_zone: Option<u32>,
        thresholds: &[Threshold],
        domain: RetryDomain,
        shapes: &ShapeCounts,
        shape: EngineShape,
    ) -> f64 {
        let near_weight = self.near_weight(gateway_zone, domain.zone);
        let admitting = |model: &&(&SelectionModel, &Threshold)| model.0.admits(domain.zone, shape);
        let models: Vec<(&SelectionModel, &Threshold)> =
            self.models.iter().zip(thresholds).collect();
        let threshold = highest(
            models
                .iter()
                .filter(admitting)
                .map(|(_, threshold)| **threshold),
        );
        let chosen = 1.0 - (-near_weight * base_weight(shape.cores()) * threshold).exp();
        if !self.needs_companions() {
            return chosen;
        }
        let companion = |(model, threshold): &(&SelectionModel, &Threshold)| {
            model.companion_probability(domain.zone, shapes, shape, near_weight * threshold.mean)
        };
        (chosen + models.iter().map(companion).sum::<f64>()).min(1.0)
    }
}

/// The retry domains of the engines that take new work, with the shapes in each. By zone where retries may go everywhere.
fn retry_domains(ready: &ReadyEngines, scope: RetryScope) -> Vec<(RetryDomain, &ShapeCounts)> {
    match scope {
        RetryScope::Cell => ready
            .cells()
            .map(|(cell, shapes)| (cell.into(), shapes))
            .collect(),
        RetryScope::Zone | RetryScope::Everywhere => ready
            .zones()
            .map(|(zone, shapes)| (RetryDomain { zone, cell: None }, shapes))
            .collect(),
    }
}

/// The zones of the gateways, which are taken to be spread over zones as cores are.
fn gateway_zones(ready: &ReadyEngines) -> Vec<GatewayZone> {
    let cores = |shapes: &ShapeCounts| -> f64 {
        shapes
            .iter()
            .map(|(shape, count)| usable_cores(shape.cores()) * *count as f64)
            .sum()
    };
    let zones: Vec<(u32, f64)> = ready
        .zones()
        .map(|(zone, shapes)| (zone, cores(shapes)))
        .collect();
    let all: f64 = zones.iter().map(|(_, cores)| cores).sum();
    zones
        .into_iter()
        .map(|(zone, cores)| GatewayZone {
            zone: Some(zone),
            fraction: cores / all,
        })
        .collect()
}

/// An upper bound of the mean of the highest of several thresholds, whatever their distributions: the mean of what one
/// exceeds another by is at most half of the difference and its root mean square together.
fn highest(mut thresholds: impl Iterator<Item = Threshold>) -> f64 {
    let Some(first) = thresholds.next() else {
        return 0.0;
    };
    if first.mean.is_infinite() {
        return first.mean;
    }
    let excess = |other: Threshold| {
        let difference = other.mean - first.mean;
        let deviation = first.deviation.hypot(other.deviation);
        (difference + difference.hypot(deviation)) / 2.0
    };
    first.mean + thresholds.map(excess).sum::<f64>()
}
