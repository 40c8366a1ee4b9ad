//! Counts the members that each placement class lacks.

use crate::engine::EngineFacts;
use crate::settings::PlacementClass;

/// The number of members that each placement class lacks; negative where it has more than it needs.
pub(crate) struct ClassShortage<'a> {
    lacking: Vec<(&'a PlacementClass, i64)>,
}

impl<'a> ClassShortage<'a> {
    /// Counts the members that each class lacks. `needed` returns the number of members that a class needs; a class
    /// never needs more than its engines in the target.
    pub fn new(
        classes: &'a [PlacementClass],
        target: &[EngineFacts],
        members: &[EngineFacts],
        needed: impl Fn(&PlacementClass) -> usize,
    ) -> Self {
        let count = |class: &PlacementClass, engines: &[EngineFacts]| {
            engines
                .iter()
                .filter(|facts| class.admits_engine(facts))
                .count()
        };
        let lacking = |class: &'a PlacementClass| {
            let needed = needed(class).min(count(class, target));
            (class, needed as i64 - count(class, members) as i64)
        };
        ClassShortage {
            lacking: classes.iter().map(lacking).collect(),
        }
    }

    /// Returns whether a class that this engine may serve lacks members.
    pub fn applies_to(&self, facts: &EngineFacts) -> bool {
        self.lacking
            .iter()
            .any(|(class, lacking)| *lacking > 0 && class.admits_engine(facts))
    }

    /// Counts an engine as an added member.
    pub fn add(&mut self, facts: &EngineFacts) {
        self.shift(facts, -1);
    }

    /// Counts an engine as a removed member.
    pub fn remove(&mut self, facts: &EngineFacts) {
        self.shift(facts, 1);
    }

    fn shift(&mut self, facts: &EngineFacts, by: i64) {
        for (class, lacking) in &mut self.lacking {
            if class.admits_engine(facts) {
                *lacking += by;
            }
        }
    }
}
