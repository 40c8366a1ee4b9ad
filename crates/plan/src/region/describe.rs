//! Describes regions of queries in the terms of the plan language.

use super::value_classes::{NameClasses, WITH_KEY};
use super::{Dimension, Region, ValueClasses};
use crate::quantity::{time_of_day, MINUTES_PER_DAY};
use fixedbitset::FixedBitSet;
use std::ops::RangeInclusive;

/// Maximum length of a list of names that is printed in full.
const MAX_FULL_LIST: usize = 6;
/// Number of names that are printed of a longer list.
const NAMES_OF_LONG_LIST: usize = 5;

impl ValueClasses {
    /// Describes a region by the dimensions in which it does not contain all values. `set_names` are the names of the
    /// address sets of all plans, in order of index.
    pub fn describe(&self, region: &Region, set_names: &[String]) -> String {
        let counts = self.counts();
        let describe = |dimension: Dimension| {
            let classes = &region[dimension.index()];
            match dimension {
                Dimension::QueryClass => describe_names("group", &self.query_classes, classes),
                Dimension::Tenant => describe_names("tenant", &self.tenants, classes),
                Dimension::Client => self.describe_clients(classes, set_names),
                Dimension::Key if classes.contains(WITH_KEY) => "with a key".to_string(),
                Dimension::Key => "without a key".to_string(),
                Dimension::DataSet => self.describe_data_sets(classes),
                Dimension::MinuteOfDay => self.describe_hours(classes),
            }
        };
        let is_partial = |dimension: &Dimension| {
            let index = dimension.index();
            region[index].count_ones(..) < counts[index]
        };
        let partial = Dimension::ALL.into_iter().filter(is_partial);
        let words: Vec<String> = partial.map(describe).collect();
        match words.is_empty() {
            true => "every query".to_string(),
            false => words.join(", "),
        }
    }

    /// Describes each class of clients by the first address set that contains it.
    fn describe_clients(&self, classes: &FixedBitSet, set_names: &[String]) -> String {
        let mut sets: Vec<&str> = Vec::new();
        for class in classes.ones() {
            let members = self.clients.members(class);
            let first = members.ones().find_map(|set| set_names.get(set));
            let name = first.map_or("elsewhere", String::as_str);
            if !sets.contains(&name) {
                sets.push(name);
            }
        }
        format!("client {}", list(&sets))
    }

    fn describe_data_sets(&self, classes: &FixedBitSet) -> String {
        let range = |run: RangeInclusive<usize>| {
            let from = self.data_sets[*run.start()];
            match self.data_sets.get(run.end() + 1).map(|next| next - 1) {
                Some(to) if from == to => from.to_string(),
                Some(to) => format!("{from}..{to}"),
                None => format!("{from} and above"),
            }
        };
        let ranges: Vec<String> = runs(classes).map(range).collect();
        format!("data-set {}", list(&ranges))
    }

    fn describe_hours(&self, classes: &FixedBitSet) -> String {
        let range = |run: RangeInclusive<usize>| {
            let end = self.minutes_of_day.get(run.end() + 1).copied();
            let until = end.unwrap_or(MINUTES_PER_DAY);
            format!(
                "{}..{}",
                time_of_day(self.minutes_of_day[*run.start()]),
                time_of_day(until)
            )
        };
        let ranges: Vec<String> = runs(classes).map(range).collect();
        format!("hours {}", list(&ranges))
    }
}

fn describe_names(keyword: &str, names: &NameClasses, classes: &FixedBitSet) -> String {
    let name = |class| names.name(class).unwrap_or("others");
    let all: Vec<&str> = classes.ones().map(name).collect();
    format!("{keyword} {}", list(&all))
}

fn list<Name: AsRef<str>>(names: &[Name]) -> String {
    let joined = |names: &[Name]| {
        let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
        names.join(" or ")
    };
    if names.len() <= MAX_FULL_LIST {
        return joined(names);
    }
    let others = names.len() - NAMES_OF_LONG_LIST;
    format!(
        "{} or {others} others",
        joined(&names[..NAMES_OF_LONG_LIST])
    )
}

/// Returns the runs of consecutive classes.
fn runs(classes: &FixedBitSet) -> impl Iterator<Item = RangeInclusive<usize>> + '_ {
    let is_first = |class: &usize| *class == 0 || !classes.contains(*class - 1);
    let last_of = |first: usize| {
        let run = (first..classes.len()).take_while(|class| classes.contains(*class));
        run.last().unwrap_or(first)
    };
    let firsts = classes.ones().filter(is_first);
    firsts.map(move |first| first..=last_of(first))
}
