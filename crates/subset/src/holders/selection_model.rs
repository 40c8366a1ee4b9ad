//! Computes the number of engines that a score threshold is expected to select. Engines are counted by weight, so that
//! the list is not scanned for each threshold.

use crate::ready::{EngineShape, RetryDomain, ShapeCounts};
use crate::score::base_weight;
use crate::settings::{PlacementClass, RetryScope};
use std::collections::BTreeMap;

/// The bit pattern of the weight of an engine. Weights are positive, so the order of the patterns is that of the
/// weights.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Weight(u64);

impl Weight {
    fn of(shape: EngineShape) -> Self {
        Weight(base_weight(shape.cores()).to_bits())
    }

    fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// Number of engines of a retry domain by their weights.
type WeightCounts = BTreeMap<Weight, usize>;

/// Number of retry domains by the weights of their engines.
type DomainCounts = BTreeMap<WeightCounts, usize>;

/// A model of a [`Selection`](crate::selection::Selection) by one threshold, from the whole list or from one placement
/// class.
pub(super) struct SelectionModel<'a> {
    class: Option<&'a PlacementClass>,
    /// Number of engines to select.
    pub(super) quota: usize,
    /// Number of engines that can be selected.
    pub(super) engines: usize,
    everywhere: DomainCounts,
    by_zone: BTreeMap<u32, DomainCounts>,
}

impl<'a> SelectionModel<'a> {
    pub(super) fn new(
        class: Option<&'a PlacementClass>,
        quota: usize,
        domains: &[(RetryDomain, &ShapeCounts)],
        retry_scope: RetryScope,
    ) -> Self {
        let mut model = SelectionModel {
            class,
            quota,
            engines: 0,
            everywhere: BTreeMap::new(),
            by_zone: BTreeMap::new(),
        };
        let mut merged: BTreeMap<u32, WeightCounts> = BTreeMap::new();
        for (domain, shapes) in domains {
            let weights = model.weights(domain.zone, shapes);
            model.engines += weights.values().sum::<usize>();
            if retry_scope == RetryScope::Everywhere {
                merged.insert(domain.zone, weights);
            } else if !weights.is_empty() {
                *model.everywhere.entry(weights.clone()).or_default() += 1;
                *model
                    .by_zone
                    .entry(domain.zone)
                    .or_default()
                    .entry(weights)
                    .or_default() += 1;
            }
        }
        if retry_scope == RetryScope::Everywhere {
            model.merge(merged);
        }
        model
    }

    /// Merges the domains of all zones into one. Used if no companions are needed, since only the weights matter then.
    fn merge(&mut self, zones: BTreeMap<u32, WeightCounts>) {
        let mut all = WeightCounts::new();
        for (zone, weights) in zones {
            weights
                .iter()
                .for_each(|(weight, count)| *all.entry(*weight).or_default() += count);
            self.by_zone.insert(zone, BTreeMap::from([(weights, 1)]));
        }
        self.everywhere.insert(all, 1);
    }

    /// Returns whether an engine of this zone and shape can be selected.
    pub(super) fn admits(&self, zone: u32, shape: EngineShape) -> bool {
        self.class
            .is_none_or(|class| class.admits(zone, shape.kind))
    }

    /// Returns the weights of the engines of a domain that can be selected.
    fn weights(&self, zone: u32, shapes: &ShapeCounts) -> WeightCounts {
        weight_counts(
            shapes
                .iter()
                .filter(|(shape, _)| self.admits(zone, **shape)),
        )
    }

    /// Returns the expected number of members that a gateway in this zone selects with a threshold.
    pub(super) fn expected(
        &self,
        threshold: f64,
        gateway_zone: Option<u32>,
        near_weight: f64,
        companions: bool,
    ) -> f64 {
        let in_domains = |domains: &DomainCounts, threshold: f64| -> f64 {
            let domain = |(weights, domains): (&WeightCounts, &usize)| {
                *domains as f64 * expected_in_domain(weights, threshold, companions)
            };
            domains.iter().map(domain).sum()
        };
        let all = in_domains(&self.everywhere, threshold);
        match gateway_zone.and_then(|zone| self.by_zone.get(&zone)) {
            None => all,
            Some(own) => {
                all - in_domains(own, threshold) + in_domains(own, threshold * near_weight)
            }
        }
    }

    /// Returns the probability that an engine is selected only as a companion, because one other engine of its domain,
    /// the lead, is the only one below the threshold.
    pub(super) fn companion_probability(
        &self,
        zone: u32,
        shapes: &ShapeCounts,
        engine: EngineShape,
        threshold: f64,
    ) -> f64 {
        let selectable = self.weights(zone, shapes);
        let all = weight_counts(shapes.iter());
        let engine_weight = Weight::of(engine);
        let with_lead = |(lead, count): (&Weight, &usize)| {
            let is_itself = self.admits(zone, engine) && *lead == engine_weight;
            let leads = (*count as f64 - f64::from(is_itself)).max(0.0);
            let lead = lead.value();
            let alone = alone_probability(lead, total(&selectable), threshold);
            // The companion is one of the other selectable engines, or any other engine if the lead is the only
            // selectable one.
            let selectable_others = total(&selectable) - lead;
            let has_selectable_others = selectable_others > lead * f64::EPSILON;
            let others = if has_selectable_others {
                selectable_others
            } else {
                total(&all) - lead
            };
            let is_eligible = !has_selectable_others || self.admits(zone, engine);
            let selected_of_others = if is_eligible {
                (engine_weight.value() / others.max(engine_weight.value())).min(1.0)
            } else {
                0.0
            };
            leads * alone * selected_of_others
        };
        selectable.iter().map(with_lead).sum()
    }
}

/// Counts engines by their weights.
fn weight_counts<'a>(shapes: impl Iterator<Item = (&'a EngineShape, &'a usize)>) -> WeightCounts {
    let mut weights = WeightCounts::new();
    for (shape, count) in shapes {
        *weights.entry(Weight::of(*shape)).or_default() += count;
    }
    weights
}

fn total(weights: &WeightCounts) -> f64 {
    weights
        .iter()
        .map(|(weight, count)| weight.value() * *count as f64)
        .sum()
}

/// Returns the probability that an engine is the only one of its domain below a threshold.
fn alone_probability(weight: f64, total: f64, threshold: f64) -> f64 {
    if threshold.is_infinite() {
        let has_others = total - weight > weight * f64::EPSILON;
        return if has_others { 0.0 } else { 1.0 };
    }
    (1.0 - (-weight * threshold).exp()) * (-(total - weight).max(0.0) * threshold).exp()
}

/// Returns the expected number of members of a domain: the engines below the threshold, and a companion for an engine
/// that would be the only one.
fn expected_in_domain(weights: &WeightCounts, threshold: f64, companions: bool) -> f64 {
    let under = |(weight, count): (&Weight, &usize)| {
        *count as f64 * (1.0 - (-weight.value() * threshold).exp())
    };
    let chosen: f64 = weights.iter().map(under).sum();
    if !companions || weights.values().sum::<usize>() < 2 {
        return chosen;
    }
    let total = total(weights);
    let alone = |(weight, count): (&Weight, &usize)| {
        *count as f64 * alone_probability(weight.value(), total, threshold)
    };
    chosen + weights.iter().map(alone).sum::<f64>()
}
