//! From checked blocks to a plan: names are resolved, and what contradicts itself, the settings or a rule is a fault.
//!
//! The [`Builder`] turns the blocks of each kind into their part of the [`Plan`]; where that brought no fault, the
//! [`ConsistencyCheck`] looks for what the parts say against one another.

mod bodies;
mod consistency;
mod entries;
mod groups;
mod limits;
mod names;
mod pools;
mod routes;
mod settings;

use crate::check::Checked;
use crate::fault::Fault;
use crate::model::Plan;
use consistency::ConsistencyCheck;
use std::collections::HashMap;

pub use settings::{Settings, SettingsClass};

/// Builds a plan of checked blocks. Where there are faults the plan is not to be used.
pub fn build(blocks: &[Checked], settings: Option<&Settings>, faults: &mut Vec<Fault>) -> Plan {
    let places = |kind: &str| {
        of(blocks, kind)
            .into_iter()
            .enumerate()
            .map(|(n, b)| (b.name.as_str(), n))
            .collect()
    };
    let places = HashMap::from([("pool", places("pool")), ("addresses", places("addresses"))]);
    let mut builder = Builder {
        blocks,
        places,
        settings,
        faults,
        plan: Plan::default(),
    };
    builder.outer_names();
    builder.addresses();
    builder.pools();
    builder.groups();
    builder.tenants();
    builder.routes();
    builder.limits();
    builder.bodies();
    builder.journal();
    let resolved = builder.faults.is_empty();
    let plan = builder.plan;
    if resolved {
        ConsistencyCheck {
            plan: &plan,
            settings,
            faults,
        }
        .run();
    }
    plan
}

/// The blocks of a kind, in their order.
fn of<'a>(blocks: &'a [Checked], kind: &str) -> Vec<&'a Checked> {
    blocks.iter().filter(|b| b.kind.name == kind).collect()
}

/// What is built so far, beside what it is built of.
struct Builder<'a> {
    blocks: &'a [Checked],
    /// The indices of pools and of address sets, by name.
    places: HashMap<&'static str, HashMap<&'a str, usize>>,
    settings: Option<&'a Settings>,
    faults: &'a mut Vec<Fault>,
    plan: Plan,
}

impl<'a> Builder<'a> {
    fn of(&self, kind: &str) -> Vec<&'a Checked> {
        of(self.blocks, kind)
    }

    /// A block that says too little, unless a faulty line may be the one that is missing.
    fn says_too_little(&mut self, block: &Checked, fault: Fault) {
        let inside = |f: &Fault| {
            f.span.file == block.whole.file
                && (block.whole.start..block.whole.end).contains(&f.span.start)
        };
        if !self.faults.iter().any(inside) {
            self.faults.push(fault);
        }
    }
}
