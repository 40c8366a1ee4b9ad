//! One gateway's subset.

use crate::{Catalog, Change, Condition, EngineKey, SubsetError, SubsetSettings};
use std::collections::BTreeMap;

/// What the caller is to do about an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Bring up a connection, and tell by [`Subset::warmed`] whether it came up. The engine takes no work yet.
    Warm(EngineKey),
    /// It takes work from now on. About `holders` gateways hold it: what one gateway may do alone is this part.
    Join { engine: EngineKey, holders: f64 },
    /// A member's facts or number of holders changed.
    Update { engine: EngineKey, holders: f64 },
    /// Nothing new goes to it. It stays known until nothing of it is open.
    Leave(EngineKey),
}

/// The engines that one gateway works with.
pub struct Subset {
    settings: SubsetSettings,
    members: BTreeMap<EngineKey, f64>,
    due: Vec<Action>,
}

impl Subset {
    /// An empty subset of the gateway of this name.
    pub fn new(_gateway: &str, settings: SubsetSettings) -> Result<Self, SubsetError> {
        if settings.size == 0 {
            return Err(SubsetError::EmptySize);
        }
        Ok(Subset { settings, members: BTreeMap::new(), due: Vec::new() })
    }

    /// Takes in what changed in the catalog, which has it already.
    pub fn changed(&mut self, _now: f64, _catalog: &Catalog, changes: &[Change]) {
        let holders = self.settings.gateways;
        for change in changes {
            let ready = change.after.is_some_and(|facts| facts.condition == Condition::Ready);
            let action = match (ready, self.members.contains_key(&change.engine)) {
                (true, false) => Action::Join { engine: change.engine, holders },
                (true, true) => Action::Update { engine: change.engine, holders },
                (false, true) => Action::Leave(change.engine),
                (false, false) => continue,
            };
            match action {
                Action::Leave(engine) => drop(self.members.remove(&engine)),
                _ => drop(self.members.insert(change.engine, holders)),
            }
            self.due.push(action);
        }
    }

    /// Whether a connection to an engine that was to be warmed came up.
    pub fn warmed(&mut self, _now: f64, _engine: EngineKey, _reached: bool) {}

    /// How an attempt at a member ended: whether the engine failed, and not the query.
    pub fn attempted(&mut self, _now: f64, _engine: EngineKey, _failed: bool) {}

    /// What is to be done by now.
    pub fn poll(&mut self, _now: f64, _catalog: &Catalog) -> Vec<Action> {
        std::mem::take(&mut self.due)
    }

    /// When to poll next, if nothing changes until then.
    pub fn wake(&self) -> Option<f64> {
        None
    }

    /// The members, and about how many gateways hold each.
    pub fn members(&self) -> impl Iterator<Item = (EngineKey, f64)> + '_ {
        self.members.iter().map(|(engine, holders)| (*engine, *holders))
    }
}
