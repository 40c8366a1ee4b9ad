//! Role `module`: the decision module of one gateway, fed with queries in simulated time.

mod engines;
mod simulation;
mod workload;

use super::stopwatch::{memory_growth, timed, timed_repeatedly};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use engines::ListedEngines;
use simulation::Simulation;

/// Measures the decision module of one gateway.
pub struct Module;

impl Role for Module {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let quantities = &point.quantities;
        let engines = ListedEngines::new(quantities)?;
        let settings = workload::settings(quantities);
        let (resident, (first_list, mut simulation)) =
            memory_growth(|| timed(|| Simulation::new(point, settings, engines)))?;
        // The module learns the load of its engines before the measurement.
        simulation.run(quantities.settling);
        let (admitted_before, placements_before) =
            (simulation.queries_admitted, simulation.placements);
        let (spent, ()) = timed(|| simulation.run(quantities.seconds));
        let queries = (simulation.queries_admitted - admitted_before).max(1) as f64;
        let placements = (simulation.placements - placements_before) as f64;
        simulation.check()?;
        let whole_list = timed_repeatedly(|_| simulation.update_whole_list());
        let changed_entry = timed_repeatedly(|repeat| simulation.change_endpoint(repeat));
        Ok(vec![
            Measured::new(Metric::Query, spent / queries),
            Measured::new(Metric::CoreShare, spent / quantities.seconds / 1e6 * 100.0),
            Measured::new(Metric::Draws, placements / queries),
            Measured::new(Metric::FirstList, first_list),
            Measured::new(Metric::WholeList, whole_list),
            Measured::new(Metric::ChangedLine, changed_entry),
            Measured::new(Metric::SubsetEngines, simulation.engines_listed() as f64),
            Measured::new(Metric::Resident, resident),
        ])
    }
}
