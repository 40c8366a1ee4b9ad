//! The role of the decision module: one gateway's module, fed with queries in simulated time.

mod engines;
mod workload;
mod world;

use super::measurement::{Measured, Metric, Point, Role, RoleError};
use super::stopwatch::{growth, repeated, timed};
use engines::ListedEngines;
use world::World;

pub struct Module;

impl Role for Module {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let quantities = &point.quantities;
        let engines = ListedEngines::new(quantities)?;
        let settings = workload::settings(quantities);
        let (resident, (first_list, mut world)) =
            growth(|| timed(|| World::new(point, settings, engines)))?;
        // The module hears of its engines first.
        world.play(quantities.settling);
        let (taken_before, draws_before) = (world.queries_taken, world.draws);
        let (spent, ()) = timed(|| world.play(quantities.seconds));
        let queries = (world.queries_taken - taken_before).max(1) as f64;
        let draws = (world.draws - draws_before) as f64;
        world.check()?;
        let whole_list = repeated(|_| world.list_again());
        let changed_line = repeated(|repeat| world.change_line(repeat));
        Ok(vec![
            Measured {
                metric: Metric::Query,
                value: spent / queries,
            },
            Measured {
                metric: Metric::CoreShare,
                value: spent / quantities.seconds / 1e6 * 100.0,
            },
            Measured {
                metric: Metric::Draws,
                value: draws / queries,
            },
            Measured {
                metric: Metric::FirstList,
                value: first_list,
            },
            Measured {
                metric: Metric::WholeList,
                value: whole_list,
            },
            Measured {
                metric: Metric::ChangedLine,
                value: changed_line,
            },
            Measured {
                metric: Metric::SubsetEngines,
                value: world.engines_listed() as f64,
            },
            Measured {
                metric: Metric::Resident,
                value: resident,
            },
        ])
    }
}
