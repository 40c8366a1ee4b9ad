//! How many gateways are expected to hold an engine.
//!
//! Scores are exponential variates, so a gateway holds an engine of weight `w` when its score is under the gateway's
//! threshold `t`: with probability `1 - exp(-w t)`. The threshold is the one at which the expected number of members is
//! the size told. Thresholds of placement classes are found in the same way, each gateway's own zone counts by its
//! weight, and gateways are taken to be spread over zones as cores are.

use crate::ready::{EngineShape, ReadyEngines, RetryDomain, ShapeCounts};
use crate::score::{base_weight, usable_cores};
use crate::{EngineFacts, PlacementClass, RetryScope, SubsetSettings};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Standard deviations of chance by which the number of holders is raised: it divides what all may do together.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Tables kept for subsets on different terms, at most.
const CACHED_TABLES: usize = 64;

/// A table stands until this part of the engines has changed: far less than the margin makes up for.
const STALE_PART: f64 = 0.01;

/// Halvings of the interval in which a threshold lies: more than a float's mantissa has bits.
const HALVINGS: usize = 60;

/// What the number of holders depends on, beside the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HoldersTerms {
    pub size: usize,
    pub class_floor: usize,
    pub classes: Arc<[PlacementClass]>,
    pub retry_scope: RetryScope,
    /// 1 where gateways are not told their zones.
    pub near_weight: f64,
    pub gateways: f64,
}

impl HoldersTerms {
    pub fn new(settings: &SubsetSettings) -> Self {
        HoldersTerms {
            size: settings.size,
            class_floor: settings.class_floor,
            classes: settings.classes.as_slice().into(),
            retry_scope: settings.retry_scope,
            near_weight: if settings.zone.is_some() {
                settings.near_weight
            } else {
                1.0
            },
            gateways: settings.gateways,
        }
    }

    /// The group of engines with the same number of holders that an engine belongs to.
    fn group(&self, facts: &EngineFacts) -> Group {
        let cell = if self.retry_scope == RetryScope::Cell {
            Some(facts.cell)
        } else {
            None
        };
        Group {
            domain: RetryDomain {
                zone: facts.zone,
                cell,
            },
            shape: EngineShape::of(facts),
        }
    }
}

/// Engines with the same number of holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    domain: RetryDomain,
    shape: EngineShape,
}

/// The number of holders of each engine of a list.
#[derive(Debug)]
pub(crate) struct HoldersTable {
    terms: HoldersTerms,
    changed_lines: u64,
    added_shapes: u64,
    holders: BTreeMap<Group, f64>,
}

impl HoldersTable {
    /// The number of holders of an engine. One that is unlike all that are listed counts as held by all.
    pub fn holders(&self, facts: &EngineFacts) -> f64 {
        self.holders
            .get(&self.terms.group(facts))
            .copied()
            .unwrap_or(self.terms.gateways)
    }
}

/// Tables that subsets of one catalog share.
#[derive(Debug, Default)]
pub(crate) struct HoldersCache {
    tables: Mutex<Vec<Arc<HoldersTable>>>,
}

/// A copied catalog works its tables out for itself.
impl Clone for HoldersCache {
    fn clone(&self) -> Self {
        HoldersCache::default()
    }
}

impl HoldersCache {
    pub fn table(
        &self,
        terms: &HoldersTerms,
        ready: &ReadyEngines,
        changed_lines: u64,
    ) -> Arc<HoldersTable> {
        let bearable = (ready.count() as f64 * STALE_PART) as u64;
        let fresh = |table: &Arc<HoldersTable>| {
            let knows_all_shapes =
                table.added_shapes == ready.added_shapes(table.terms.retry_scope);
            knows_all_shapes && changed_lines - table.changed_lines <= bearable
        };
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        tables.retain(fresh);
        if let Some(table) = tables.iter().find(|table| table.terms == *terms) {
            return table.clone();
        }
        let holders = Estimate::new(terms, ready).holders();
        let added_shapes = ready.added_shapes(terms.retry_scope);
        let table = Arc::new(HoldersTable {
            terms: terms.clone(),
            changed_lines,
            added_shapes,
            holders,
        });
        if tables.len() >= CACHED_TABLES {
            tables.remove(0);
        }
        tables.push(table.clone());
        table
    }
}

/// Engines of one weight in a retry domain: the weight's bits, and how many.
type WeightCounts = BTreeMap<u64, usize>;

/// Retry domains that are alike, and how many there are.
type DomainCounts = BTreeMap<WeightCounts, usize>;

/// The engines among which one threshold chooses: the whole list, or those of one placement class.
struct Choice<'a> {
    class: Option<&'a PlacementClass>,
    quota: usize,
    engines: usize,
    everywhere: DomainCounts,
    by_zone: BTreeMap<u32, DomainCounts>,
}

/// A threshold, and how far chance moves it from gateway to gateway.
#[derive(Clone, Copy)]
struct Threshold {
    mean: f64,
    deviation: f64,
}

/// The members whose scores lie under a threshold, and the companions that retries ask for.
struct Estimate<'a> {
    terms: &'a HoldersTerms,
    domains: Vec<(RetryDomain, &'a ShapeCounts)>,
    choices: Vec<Choice<'a>>,
    /// The zones that gateways are in, and the part of the gateways in each.
    gateway_zones: Vec<(Option<u32>, f64)>,
}

impl<'a> Estimate<'a> {
    fn new(terms: &'a HoldersTerms, ready: &'a ReadyEngines) -> Self {
        let domains: Vec<(RetryDomain, &ShapeCounts)> = match terms.retry_scope {
            RetryScope::Cell => ready
                .cells()
                .map(|(cell, shapes)| (cell.into(), shapes))
                .collect(),
            _ => ready
                .zones()
                .map(|(zone, shapes)| (RetryDomain { zone, cell: None }, shapes))
                .collect(),
        };
        let whole = Choice::new(None, terms.size, &domains, terms.retry_scope);
        let of_class =
            |class| Choice::new(Some(class), terms.class_floor, &domains, terms.retry_scope);
        let choices = std::iter::once(whole)
            .chain(terms.classes.iter().map(of_class))
            .collect();
        let gateway_zones = if terms.near_weight > 1.0 {
            zone_parts(ready)
        } else {
            vec![(None, 1.0)]
        };
        Estimate {
            terms,
            domains,
            choices,
            gateway_zones,
        }
    }

    fn holders(&self) -> BTreeMap<Group, f64> {
        let mut parts: BTreeMap<Group, f64> = BTreeMap::new();
        for (zone, part_of_gateways) in &self.gateway_zones {
            let thresholds: Vec<Threshold> = self
                .choices
                .iter()
                .map(|choice| self.threshold(choice, *zone))
                .collect();
            for (domain, shapes) in &self.domains {
                for shape in shapes.keys() {
                    let held = self.probability(*zone, &thresholds, *domain, shapes, *shape);
                    *parts
                        .entry(Group {
                            domain: *domain,
                            shape: *shape,
                        })
                        .or_default() += part_of_gateways * held;
                }
            }
        }
        parts
            .into_iter()
            .map(|(group, part)| (group, self.with_margin(part)))
            .collect()
    }

    fn with_margin(&self, part: f64) -> f64 {
        let expected = self.terms.gateways * part;
        (expected + MARGIN_DEVIATIONS * expected.sqrt()).clamp(1.0, self.terms.gateways)
    }

    fn companions(&self) -> bool {
        self.terms.retry_scope != RetryScope::Everywhere
    }

    fn near(&self, gateway_zone: Option<u32>, zone: u32) -> f64 {
        if gateway_zone == Some(zone) {
            self.terms.near_weight
        } else {
            1.0
        }
    }

    /// The threshold at which a gateway of this zone expects as many members as the choice asks for.
    fn threshold(&self, choice: &Choice, gateway_zone: Option<u32>) -> Threshold {
        if choice.quota >= choice.engines {
            return Threshold {
                mean: f64::INFINITY,
                deviation: 0.0,
            };
        }
        let expected = |threshold: f64| {
            choice.expected(
                threshold,
                gateway_zone,
                self.terms.near_weight,
                self.companions(),
            )
        };
        let quota = choice.quota as f64;
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

    /// The chance that a gateway of this zone holds an engine, rather too high than too low.
    fn probability(
        &self,
        gateway_zone: Option<u32>,
        thresholds: &[Threshold],
        domain: RetryDomain,
        shapes: &ShapeCounts,
        shape: EngineShape,
    ) -> f64 {
        let near = self.near(gateway_zone, domain.zone);
        let admitting = |choice: &&(&Choice, &Threshold)| choice.0.admits(domain.zone, shape);
        let choices: Vec<(&Choice, &Threshold)> = self.choices.iter().zip(thresholds).collect();
        let threshold = highest(
            choices
                .iter()
                .filter(admitting)
                .map(|(_, threshold)| **threshold),
        );
        let chosen = 1.0 - (-near * base_weight(shape.cores()) * threshold).exp();
        if !self.companions() {
            return chosen;
        }
        let companion = |(choice, threshold): &(&Choice, &Threshold)| {
            choice.companion_probability(domain.zone, shapes, shape, near * threshold.mean)
        };
        (chosen + choices.iter().map(companion).sum::<f64>()).min(1.0)
    }
}

/// The part of all cores that each zone has.
fn zone_parts(ready: &ReadyEngines) -> Vec<(Option<u32>, f64)> {
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
        .map(|(zone, cores)| (Some(zone), cores / all))
        .collect()
}

/// No less than the mean of the highest of several thresholds, each of which chance moves, whatever its distribution:
/// the mean of what one exceeds another by is at most half of the difference and its root mean square together.
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

impl<'a> Choice<'a> {
    fn new(
        class: Option<&'a PlacementClass>,
        quota: usize,
        domains: &[(RetryDomain, &ShapeCounts)],
        retry_scope: RetryScope,
    ) -> Self {
        let mut choice = Choice {
            class,
            quota,
            engines: 0,
            everywhere: BTreeMap::new(),
            by_zone: BTreeMap::new(),
        };
        let mut merged: BTreeMap<u32, WeightCounts> = BTreeMap::new();
        for (domain, shapes) in domains {
            let weights = choice.weights(domain.zone, shapes);
            choice.engines += weights.values().sum::<usize>();
            if retry_scope == RetryScope::Everywhere {
                merged.insert(domain.zone, weights);
            } else if !weights.is_empty() {
                *choice.everywhere.entry(weights.clone()).or_default() += 1;
                *choice
                    .by_zone
                    .entry(domain.zone)
                    .or_default()
                    .entry(weights)
                    .or_default() += 1;
            }
        }
        if retry_scope == RetryScope::Everywhere {
            choice.merge(merged);
        }
        choice
    }

    /// Without companions only the weights count, not what domain they are in.
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

    fn admits(&self, zone: u32, shape: EngineShape) -> bool {
        self.class
            .is_none_or(|class| class.admits(zone, shape.kind))
    }

    /// The weights of the engines of a domain that the choice is among.
    fn weights(&self, zone: u32, shapes: &ShapeCounts) -> WeightCounts {
        let mut weights = WeightCounts::new();
        for (shape, count) in shapes
            .iter()
            .filter(|(shape, _)| self.admits(zone, **shape))
        {
            *weights
                .entry(base_weight(shape.cores()).to_bits())
                .or_default() += count;
        }
        weights
    }

    /// The number of members that a gateway of this zone expects under a threshold.
    fn expected(
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

    /// The chance that an engine is chosen only to keep company to the one engine of its domain under the threshold.
    fn companion_probability(
        &self,
        zone: u32,
        shapes: &ShapeCounts,
        engine: EngineShape,
        threshold: f64,
    ) -> f64 {
        let among = self.weights(zone, shapes);
        let others = |weights: &WeightCounts, lead: f64| total(weights) - lead;
        let all = weight_counts(shapes);
        let weight = base_weight(engine.cores());
        let of_lead = |(bits, count): (&u64, &usize)| {
            let lead = f64::from_bits(*bits);
            let alone = alone_probability(lead, total(&among), threshold);
            let leads =
                (*count as f64 - f64::from(self.admits(zone, engine) && lead == weight)).max(0.0);
            let in_choice = others(&among, lead) > lead * f64::EPSILON;
            let rest = if in_choice {
                others(&among, lead)
            } else {
                others(&all, lead)
            };
            let eligible = !in_choice || self.admits(zone, engine);
            let chosen_of_rest = if eligible {
                (weight / rest.max(weight)).min(1.0)
            } else {
                0.0
            };
            leads * alone * chosen_of_rest
        };
        among.iter().map(of_lead).sum()
    }
}

fn weight_counts(shapes: &ShapeCounts) -> WeightCounts {
    let mut weights = WeightCounts::new();
    for (shape, count) in shapes {
        *weights
            .entry(base_weight(shape.cores()).to_bits())
            .or_default() += count;
    }
    weights
}

fn total(weights: &WeightCounts) -> f64 {
    weights
        .iter()
        .map(|(bits, count)| f64::from_bits(*bits) * *count as f64)
        .sum()
}

/// The chance that an engine is the only one of its domain under a threshold.
fn alone_probability(weight: f64, total: f64, threshold: f64) -> f64 {
    if threshold.is_infinite() {
        let has_others = total - weight > weight * f64::EPSILON;
        return if has_others { 0.0 } else { 1.0 };
    }
    (1.0 - (-weight * threshold).exp()) * (-(total - weight).max(0.0) * threshold).exp()
}

/// The members that are expected in a domain: those under the threshold, and a companion for one that is alone.
fn expected_in_domain(weights: &WeightCounts, threshold: f64, companions: bool) -> f64 {
    let under = |(bits, count): (&u64, &usize)| {
        *count as f64 * (1.0 - (-f64::from_bits(*bits) * threshold).exp())
    };
    let chosen: f64 = weights.iter().map(under).sum();
    if !companions || weights.values().sum::<usize>() < 2 {
        return chosen;
    }
    let total = total(weights);
    let alone = |(bits, count): (&u64, &usize)| {
        *count as f64 * alone_probability(f64::from_bits(*bits), total, threshold)
    };
    chosen + weights.iter().map(alone).sum::<f64>()
}
