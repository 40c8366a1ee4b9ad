//! Estimates the number of holders of each group of engines.

use super::parameters::{Group, HoldersParameters};
use super::selection_model::SelectionModel;
use crate::ready::{EngineShape, ReadyEngines, RetryDomain, ShapeCounts};
use crate::score::{base_weight, usable_cores};
use crate::settings::RetryScope;
use std::collections::BTreeMap;

/// Number of standard deviations by which the expected number of holders is raised. Each holder may use the capacity of
/// an engine divided by this number, so an estimate that is too low would overload the engine.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Number of bisection steps for a threshold; more than the bits in the mantissa of an `f64`.
const HALVINGS: usize = 60;

/// The mean of a score threshold and its standard deviation over the gateways.
#[derive(Clone, Copy)]
struct Threshold {
    mean: f64,
    deviation: f64,
}

/// The gateways of one zone.
struct GatewayZone {
    /// `None` if the gateways' zones are not configured or do not matter.
    zone: Option<u32>,
    /// Fraction of all gateways that are in the zone.
    fraction: f64,
}

impl GatewayZone {
    /// All gateways, for settings in which their zones do not matter.
    const UNKNOWN: GatewayZone = GatewayZone {
        zone: None,
        fraction: 1.0,
    };
}

/// Estimates the number of holders of each group of engines. A gateway holds the engines whose scores are below a
/// threshold, and the companions that retries need.
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

    /// Returns the number of holders of each group, raised by a margin.
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

    /// Returns whether a retry needs a second engine in the retry domain of the first.
    fn needs_companions(&self) -> bool {
        self.parameters.retry_scope != RetryScope::Everywhere
    }

    /// Returns the factor by which the weight of an engine in `zone` is multiplied for a gateway in `gateway_zone`.
    fn near_weight(&self, gateway_zone: Option<u32>, zone: u32) -> f64 {
        if gateway_zone == Some(zone) {
            self.parameters.near_weight
        } else {
            1.0
        }
    }

    /// Returns the threshold at which the expected number of members of a gateway in this zone equals the model's
    /// quota.
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

    /// Returns an upper estimate of the probability that a gateway in `gateway_zone` holds an engine.
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
        let threshold = max_threshold_bound(
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

/// Returns the retry domains of the ready engines with the shapes in each. If retries may go to any engine, returns one
/// entry for each zone.
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

/// Returns the zones of the gateways, which are assumed to be distributed over zones in proportion to cores.
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

/// Returns an upper bound of the mean of the highest of several thresholds, for any distributions. The bound holds
/// because the mean excess of one threshold over another is at most half the sum of the mean difference and the root
/// mean square of the difference.
fn max_threshold_bound(mut thresholds: impl Iterator<Item = Threshold>) -> f64 {
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
