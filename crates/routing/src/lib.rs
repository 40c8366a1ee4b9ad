//! What a plan says of a batch, compiled: the route that takes it, the engines that are left to it by preference,
//! and the limits that count it. No I/O; callers tell facts and times. It narrows what the decision module may choose.
//!
//! [`Routing`] decides on routes, [`Engines`] keeps the engines of every pool, [`Limits`] keeps what is in hand and
//! what came over time. docs/routing.md weighs the structures and has their figures.

mod engines;
mod limits;
mod sketch;
pub mod zones;

pub use engines::{EngineSet, Engines};
use garnetwall_plan::model::{Facts, Group, Plan};
use garnetwall_plan::quantity::DAY;
use garnetwall_plan::region::Classes;
pub use limits::{Limits, Over, Ticket, Which};
use std::net::IpAddr;
use std::sync::Arc;

/// A batch as routing sees it; groups and tenants are the settings' indices.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    pub group: usize,
    pub tenant: usize,
    pub client: IpAddr,
    /// Whether it has a key.
    pub key: bool,
    pub data_set: u32,
    /// Minute of the day, UTC.
    pub minute: u32,
    /// Of its statement.
    pub bytes: u64,
}

/// Names of the settings, by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
}

/// A way that batches may go: pools by preference, within the pools that their groups are bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Pools by preference; every engine where it is empty.
    pub to: Vec<usize>,
    /// For each group that binds, the pools that its batches never leave.
    pub bound: Vec<Vec<usize>>,
}

impl Lane {
    /// Whether it leaves every engine open.
    pub fn is_open(&self) -> bool {
        self.to.is_empty() && self.bound.is_empty()
    }
}

/// What a plan says of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pushed back, by this route, whose `refuse` says why.
    Refused { route: usize },
    /// Its statement is over what its group may have, in bytes.
    TooLong { most: u64 },
    Goes {
        route: Option<usize>,
        /// The service group that it is treated as.
        group: usize,
        /// Index into [`Routing::lanes`].
        lane: usize,
    },
}

/// What stands for a route, or for none, and a group.
#[derive(Clone, Copy, Debug)]
struct Goal {
    group: usize,
    lane: usize,
}

/// A plan, compiled for the names of the settings.
#[derive(Debug)]
pub struct Routing {
    plan: Arc<Plan>,
    names: Names,
    classes: Classes,
    /// The classes of the settings' groups and tenants, of minutes.
    groups: Vec<usize>,
    tenants: Vec<usize>,
    hours: Vec<u16>,
    /// Words of a row: a bit for each route.
    words: usize,
    /// For each dimension a row for each class: the routes that let it through.
    rows: [Vec<u64>; garnetwall_plan::region::DIMENSIONS],
    lanes: Vec<Lane>,
    /// By route (the last is none) and group.
    goals: Vec<Goal>,
}

impl Routing {
    /// Compiles a plan that was checked with the settings of these names.
    pub fn new(plan: Arc<Plan>, names: Names) -> Self {
        let classes = Classes::of(&[&plan], &names.groups, &names.tenants);
        let counts = classes.counts();
        let words = plan.routes.len().div_ceil(64).max(1);
        let mut rows = std::array::from_fn(|d| vec![0; counts[d] * words]);
        for (n, route) in plan.routes.iter().enumerate() {
            for (row, classes) in rows.iter_mut().zip(&classes.region(route, 0)) {
                for class in classes.ones() {
                    row[class * words + n / 64] |= 1 << (n % 64);
                }
            }
        }
        let mut routing = Routing {
            groups: names.groups.iter().map(|g| classes.group(g)).collect(),
            tenants: names.tenants.iter().map(|t| classes.tenant(t)).collect(),
            hours: (0..DAY).map(|minute| classes.hour(minute) as u16).collect(),
            words,
            rows,
            lanes: Vec::new(),
            goals: Vec::new(),
            classes,
            names,
            plan,
        };
        routing.find_lanes();
        routing
    }

    fn find_lanes(&mut self) {
        let plan = self.plan.clone();
        for route in plan.routes.iter().map(Some).chain([None]) {
            for own in 0..self.names.groups.len() {
                let treated = route.and_then(|r| r.as_group.as_ref());
                let group = treated
                    .and_then(|name| self.names.groups.iter().position(|g| g == name))
                    .unwrap_or(own);
                let bound = |g: usize| plan.group(&self.names.groups[g]).map(|g| g.pools.clone());
                let mut bounds: Vec<Vec<usize>> =
                    [bound(own), bound(group)].into_iter().flatten().collect();
                bounds.retain(|pools| !pools.is_empty());
                bounds.dedup();
                let lane = Lane {
                    to: route.map_or(Vec::new(), |r| r.to.clone()),
                    bound: bounds,
                };
                let at = self
                    .lanes
                    .iter()
                    .position(|l| *l == lane)
                    .unwrap_or_else(|| {
                        self.lanes.push(lane);
                        self.lanes.len() - 1
                    });
                self.goals.push(Goal { group, lane: at });
            }
        }
    }

    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The plan's rules of a group of the settings.
    pub fn rules(&self, group: usize) -> Option<&Group> {
        self.plan.group(self.names.groups.get(group)?)
    }

    pub fn lanes(&self) -> &[Lane] {
        &self.lanes
    }

    /// The first route that takes a batch.
    pub fn route(&self, b: &Batch) -> Option<usize> {
        let other = |known: &[usize], n: usize| known.get(n).copied().unwrap_or_default();
        let point = [
            other(&self.groups, b.group),
            other(&self.tenants, b.tenant),
            self.classes.clients().class(b.client),
            usize::from(b.key),
            self.classes.data_set(b.data_set),
            usize::from(self.hours[(b.minute % DAY) as usize]),
        ];
        let row = |d: usize| &self.rows[d][point[d] * self.words..][..self.words];
        let rows: [&[u64]; garnetwall_plan::region::DIMENSIONS] = std::array::from_fn(row);
        for word in 0..self.words {
            let all = rows.iter().fold(u64::MAX, |all, row| all & row[word]);
            if all != 0 {
                return Some(word * 64 + all.trailing_zeros() as usize);
            }
        }
        None
    }

    /// What the plan says of a batch, limits apart.
    pub fn decide(&self, b: &Batch) -> Verdict {
        let route = self.route(b);
        if let Some(route) = route.filter(|r| self.plan.routes[*r].refuse.is_some()) {
            return Verdict::Refused { route };
        }
        if let Some(most) = self
            .rules(b.group)
            .and_then(|g| g.statement)
            .filter(|most| b.bytes > *most)
        {
            return Verdict::TooLong { most };
        }
        let row = route.unwrap_or(self.plan.routes.len());
        let goal =
            self.goals[row * self.names.groups.len() + b.group.min(self.names.groups.len() - 1)];
        Verdict::Goes {
            route,
            group: goal.group,
            lane: goal.lane,
        }
    }

    /// A batch in the words of the plan, for the slow way and for logs.
    pub fn facts(&self, b: &Batch) -> Facts<'_> {
        Facts {
            group: self.names.groups.get(b.group).map_or("", String::as_str),
            tenant: self.names.tenants.get(b.tenant).map_or("", String::as_str),
            client: b.client,
            key: b.key,
            data_set: b.data_set,
            minute: b.minute,
        }
    }
}
