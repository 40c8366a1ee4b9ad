//! Checks a plan with resolved names for contradictions within itself and with the settings.

mod classes;
mod limits;
mod placement;
mod routes;

use super::{Settings, SettingsClass};
use crate::cells::{Cells, ConfiguredNames};
use crate::diagnostic::Diagnostic;
use crate::model::Plan;

/// Checks a plan with resolved names; errors are appended to `diagnostics`.
pub(super) struct ConsistencyCheck<'a> {
    pub(super) plan: &'a Plan,
    pub(super) settings: Option<&'a Settings>,
    pub(super) diagnostics: &'a mut Vec<Diagnostic>,
}

impl ConsistencyCheck<'_> {
    pub(super) fn run(&mut self) {
        self.check_pools();
        self.check_classes();
        self.check_routes();
        self.check_limits();
    }

    fn configured_names(&self) -> ConfiguredNames<'_> {
        ConfiguredNames {
            zones: self.settings.map(|settings| settings.zones.as_slice()),
            kinds: self.settings.map(|settings| settings.kinds.as_slice()),
        }
    }

    /// Reports pools that can never contain an engine.
    fn check_pools(&mut self) {
        let Some(cells) = Cells::of(&[self.plan], self.configured_names()) else {
            return;
        };
        let cells_of = cells.of_pools(self.plan, 0);
        for (pool, cells) in self.plan.pools.iter().zip(cells_of) {
            if !cells.is_clear() {
                continue;
            }
            let text = format!("pool `{}` can never contain an engine", pool.name);
            let diagnostic = Diagnostic::new(pool.span.clone(), text);
            let except = pool.except.first().map(|except| &self.plan.pools[*except]);
            self.diagnostics.push(match except {
                Some(except) => diagnostic.related(except.span.clone(), "`except` names this pool"),
                None => diagnostic,
            });
        }
    }
}

/// Returns whether `wide` contains every name of `narrow`; `None` stands for all names.
fn is_subset(narrow: &Option<Vec<String>>, wide: &Option<Vec<String>>) -> bool {
    match (narrow, wide) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(narrow), Some(wide)) => narrow.iter().all(|name| wide.contains(name)),
    }
}

/// Returns whether the settings restrict a class to certain kinds or zones.
fn is_bound(class: &SettingsClass) -> bool {
    class.kinds.is_some() || class.zones.is_some()
}
