//! Runs each strategy on each fleet with each subset size and seed, and collects the figures.

use super::case::Case;
use super::experiment::{Experiment, Fleet};
use super::fault_injection::{inject, Moment};
use super::figure::Figure;
use super::measure::{self, Assigned, Distribution, Required};
use super::population::{even_traffic, uneven_traffic, Change, Population};
use super::report::Row;
use super::strategies;
use super::strategy::{Assignment, Choices, Strategy};
use super::strategy_name::StrategyName;
use indicatif::ProgressBar;
use std::collections::BTreeMap;

/// Minimum of the mean number of gateways that hold an engine; smaller subset sizes are raised to reach it. An engine
/// has no holder with a probability of about e to the power of minus this number.
const MIN_HOLDERS: usize = 24;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Figures of one seed.
type Figures = BTreeMap<Figure, f64>;

/// Runs the experiment and returns one row for each figure of each case.
pub fn compare(experiment: &Experiment) -> Vec<Row> {
    let mut gathered: BTreeMap<Case, Vec<Figures>> = BTreeMap::new();
    let rounds = experiment.fleets.len() * experiment.seeds;
    let progress = ProgressBar::new(rounds as u64);
    for fleet in &experiment.fleets {
        for seed in experiment.seed..experiment.seed + experiment.seeds as u64 {
            for (case, figures) in measure_seed(experiment, fleet, seed) {
                gathered.entry(case).or_default().push(figures);
            }
            progress.inc(1);
        }
    }
    progress.finish_and_clear();
    gathered
        .into_iter()
        .flat_map(|(case, seeds)| rows(case, &seeds))
        .collect()
}

fn rows(case: Case, seeds: &[Figures]) -> Vec<Row> {
    let figures = seeds[0].keys();
    let row = |figure: &Figure| {
        let values = seeds.iter().map(|seed| seed[figure]).collect();
        Row::new(case, *figure, values)
    };
    figures.map(row).collect()
}

fn measure_seed(experiment: &Experiment, fleet: &Fleet, seed: u64) -> Vec<(Case, Figures)> {
    let scenario = Scenario::draw(experiment, fleet, seed);
    let sizes = sizes(fleet);
    let mut measured = Vec::new();
    for (index, &size) in sizes.iter().enumerate() {
        // Strategies that hold the whole list do not depend on the size and run once.
        let is_compared = |strategy: &StrategyName| {
            experiment.strategies.contains(strategy) && (index == 0 || !strategy.holds_whole_list())
        };
        let mut reference: Option<Choices> = None;
        for strategy in StrategyName::all().into_iter().filter(is_compared) {
            let choices = scenario.choose(strategy, size);
            let mut figures = scenario.measure(strategy, size, &choices);
            match (strategy, &reference) {
                (StrategyName::RendezvousFloors, _) => reference = Some(choices),
                (StrategyName::Subset, Some(reference)) => {
                    let differing = differing_gateways(reference, &choices);
                    figures.insert(Figure::DifferingGateways, differing as f64);
                }
                _ => {}
            }
            measured.push((Case::new(fleet, size, strategy), figures));
        }
    }
    measured
}

/// Returns the subset sizes to compare: raised to the minimum, without duplicates, and smaller than the whole list.
fn sizes(fleet: &Fleet) -> Vec<usize> {
    let floor = (MIN_HOLDERS * fleet.engines).div_ceil(fleet.gateways);
    let raised = fleet.subset_sizes.iter().map(|size| (*size).max(floor));
    let mut sizes: Vec<usize> = raised.filter(|size| *size < fleet.engines).collect();
    sizes.sort_unstable();
    sizes.dedup();
    sizes
}

/// A fleet of one seed, before and after each change.
struct Scenario<'a> {
    experiment: &'a Experiment,
    population: Population,
    /// The fleet after each change, in the order of [`Change::ALL`].
    changed: Vec<Population>,
    /// Even traffic, by gateway number.
    even: Vec<f64>,
    /// Uneven traffic, by gateway number.
    uneven: Vec<f64>,
}

impl<'a> Scenario<'a> {
    fn draw(experiment: &'a Experiment, fleet: &Fleet, seed: u64) -> Self {
        let population = Population::draw(experiment, fleet, seed);
        let after = |change: &Change| population.after(*change, experiment, seed);
        let changed = Change::ALL.iter().map(after).collect();
        let even = even_traffic(fleet.gateways);
        let uneven = uneven_traffic(experiment, fleet.gateways, seed);
        Scenario {
            experiment,
            population,
            changed,
            even,
            uneven,
        }
    }

    fn choose(&self, name: StrategyName, size: usize) -> Choices {
        let strategy = strategies::build(name, self.experiment);
        let mut choices = strategy.choose_sequentially(&self.population, &self.changed, size);
        self.inject_fault(name, &mut choices);
        choices
    }

    fn measure(&self, name: StrategyName, size: usize, choices: &Choices) -> Figures {
        let strategy = strategies::build(name, self.experiment);
        let mut figures = Figures::new();
        let choice_time = choices.choice_time.as_secs_f64() * MICROSECONDS_PER_SECOND;
        figures.insert(
            Figure::ChooseMicroseconds,
            choice_time / self.population.gateways.len() as f64,
        );
        figures.insert(
            Figure::StateBytes,
            strategy.state_bytes(&self.population, size) as f64,
        );
        self.measure_spread(&*strategy, &choices.before, &mut figures);
        let required = Required {
            size,
            classes: strategy.classes(),
        };
        for (index, after) in choices.after.iter().enumerate() {
            self.measure_moves(&choices.before, index, after, &required, &mut figures);
        }
        if let Some(restored) = &choices.restored {
            let not_restored = measure::differing_gateways(&choices.before, restored);
            figures.insert(Figure::NotRestored, not_restored as f64);
        }
        figures
    }

    fn measure_spread(
        &self,
        strategy: &dyn Strategy,
        assignment: &Assignment,
        figures: &mut Figures,
    ) {
        let even = measure::work_over_mean(&self.population, assignment, &self.even);
        insert(
            figures,
            even,
            [Figure::EvenP50, Figure::EvenP99, Figure::EvenMax],
        );
        let uneven = measure::work_over_mean(&self.population, assignment, &self.uneven);
        insert(
            figures,
            uneven,
            [Figure::UnevenP50, Figure::UnevenP99, Figure::UnevenMax],
        );
        let connections = Distribution::of(strategy.connections(&self.population, assignment));
        let names = [
            Figure::ConnectionsP50,
            Figure::ConnectionsP99,
            Figure::ConnectionsMax,
        ];
        insert(figures, connections, names);
        let without_gateway = measure::engines_without_gateway(&self.population, assignment);
        figures.insert(Figure::EnginesWithoutGateway, without_gateway as f64);
        let members: usize = assignment.held.iter().map(|held| held.len()).sum();
        figures.insert(
            Figure::Members,
            members as f64 / assignment.held.len() as f64,
        );
        if !assignment.holder_counts.is_empty() {
            let sum = measure::largest_sum_of_shares(&self.population, assignment);
            figures.insert(Figure::SumOfShares, sum);
        }
    }

    fn measure_moves(
        &self,
        before: &Assignment,
        index: usize,
        after: &Assignment,
        required: &Required,
        figures: &mut Figures,
    ) {
        let change = Change::ALL[index];
        let before = Assigned {
            population: &self.population,
            assignment: before,
        };
        let after = Assigned {
            population: &self.changed[index],
            assignment: after,
        };
        let moves = measure::moves(before, after, required);
        figures.insert(Figure::Moved(change), moves.moved as f64);
        figures.insert(Figure::MovedShare(change), moves.share());
        figures.insert(Figure::MovedOverLeast(change), moves.over_least());
        figures.insert(Figure::MovedOverFloor(change), moves.over_floor());
    }

    fn inject_fault(&self, strategy: StrategyName, choices: &mut Choices) {
        let Some(fault) = self
            .experiment
            .injected_fault
            .filter(|_| strategy == StrategyName::Subset)
        else {
            return;
        };
        inject(fault, Moment::First, &mut choices.before);
        for (change, assignment) in Change::ALL.into_iter().zip(&mut choices.after) {
            inject(fault, Moment::After(change), assignment);
        }
        choices
            .restored
            .iter_mut()
            .for_each(|restored| inject(fault, Moment::Restored, restored));
    }
}

/// Counts the gateways whose subsets differ from those of the reference implementation, summed over the choices before
/// and after each change.
fn differing_gateways(reference: &Choices, choices: &Choices) -> usize {
    let before = measure::differing_gateways(&reference.before, &choices.before);
    let after = reference.after.iter().zip(&choices.after);
    before
        + after
            .map(|(reference, after)| measure::differing_gateways(reference, after))
            .sum::<usize>()
}

fn insert(figures: &mut Figures, distribution: Distribution, names: [Figure; 3]) {
    let values = [distribution.p50, distribution.p99, distribution.max];
    figures.extend(names.into_iter().zip(values));
}
