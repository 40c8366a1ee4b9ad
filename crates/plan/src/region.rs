//! Which batches a route takes, as a region: for each thing that a route can ask for, the classes of values that it
//! lets through. What routes leave to one another is found by taking regions from regions.

use crate::address::AddressClasses;
use crate::model::{Plan, QueryFacts, Route};
use fixedbitset::FixedBitSet;
use std::collections::HashMap;

/// The things that a route can ask for.
pub const DIMENSIONS: usize = 6;
/// Pieces into which what a route takes may fall; beyond it is not followed.
const MOST_PIECES: usize = 2048;

/// A region: a set of classes for each dimension (group, tenant, client, key, data set, hour).
pub type Region = [FixedBitSet; DIMENSIONS];
/// A class for each dimension.
pub type Point = [usize; DIMENSIONS];

/// Names by number; those not named share the last one.
#[derive(Clone, Debug, Default)]
struct Names(HashMap<String, usize>);

impl Names {
    fn of<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut known = HashMap::new();
        for name in names {
            let next = known.len();
            known.entry(name.clone()).or_insert(next);
        }
        Names(known)
    }

    fn class(&self, name: &str) -> usize {
        self.0.get(name).copied().unwrap_or(self.0.len())
    }

    fn count(&self) -> usize {
        self.0.len() + 1
    }

    fn name(&self, class: usize) -> Option<&str> {
        self.0
            .iter()
            .find(|(_, at)| **at == class)
            .map(|(name, _)| name.as_str())
    }
}

/// The classes of values that some plans tell apart. Two batches of one class in every dimension fare alike.
#[derive(Clone, Debug)]
pub struct ValueClasses {
    groups: Names,
    tenants: Names,
    /// Over the address sets of all plans, one after the other.
    clients: AddressClasses,
    /// Where each class of data sets begins, the first at 0.
    data_sets: Vec<u32>,
    hours: Vec<u32>,
}

impl ValueClasses {
    /// The classes that these plans tell apart together; further names of groups and tenants get their own.
    pub fn of(plans: &[&Plan], groups: &[String], tenants: &[String]) -> Self {
        let routes = || plans.iter().flat_map(|p| &p.routes);
        let limits = || plans.iter().flat_map(|p| &p.limits);
        let named = plans.iter().flat_map(|p| p.classes.iter().map(|g| &g.name));
        let group_names = routes().flat_map(|r| r.classes.iter().chain(&r.as_class));
        let group_names = group_names
            .chain(limits().flat_map(|l| &l.classes))
            .chain(named)
            .chain(groups);
        let tenant_names = routes()
            .flat_map(|r| &r.tenants)
            .chain(limits().flat_map(|l| &l.tenants));
        let tenant_blocks = plans.iter().flat_map(|p| p.tenants.iter().map(|t| &t.name));
        let spans: Vec<_> = plans
            .iter()
            .flat_map(|p| p.addresses.iter().map(|a| a.spans.clone()))
            .collect();
        let numbers = routes()
            .flat_map(|r| &r.data_sets)
            .flat_map(|(from, to)| [Some(*from), to.checked_add(1)]);
        let minutes = routes()
            .flat_map(|r| &r.hours)
            .flat_map(|(from, until)| [*from, *until]);
        let cuts = |all: Vec<u32>| {
            let mut cuts = all;
            cuts.push(0);
            cuts.sort_unstable();
            cuts.dedup();
            cuts
        };
        ValueClasses {
            groups: Names::of(group_names),
            tenants: Names::of(tenant_names.chain(tenant_blocks).chain(tenants)),
            clients: AddressClasses::new(&spans),
            data_sets: cuts(numbers.flatten().collect()),
            hours: cuts(
                minutes
                    .filter(|m| *m < crate::quantity::MINUTES_PER_DAY)
                    .collect(),
            ),
        }
    }

    /// How many classes each dimension has.
    pub fn counts(&self) -> Point {
        [
            self.groups.count(),
            self.tenants.count(),
            self.clients.count(),
            2,
            self.data_sets.len(),
            self.hours.len(),
        ]
    }

    pub fn query_class(&self, name: &str) -> usize {
        self.groups.class(name)
    }

    pub fn tenant(&self, name: &str) -> usize {
        self.tenants.class(name)
    }

    pub fn clients(&self) -> &AddressClasses {
        &self.clients
    }

    pub fn data_set(&self, data_set: u32) -> usize {
        self.data_sets.partition_point(|from| *from <= data_set) - 1
    }

    pub fn hour(&self, minute: u32) -> usize {
        self.hours.partition_point(|from| *from <= minute) - 1
    }

    /// The classes of a batch.
    pub fn point(&self, facts: &QueryFacts) -> Point {
        [
            self.query_class(facts.class),
            self.tenant(facts.tenant),
            self.clients.class(facts.client),
            usize::from(facts.has_key),
            self.data_set(facts.data_set),
            self.hour(facts.minute_of_day),
        ]
    }

    /// What a route takes; `first_set` is the number of its plan's first address set among those of all plans.
    pub fn region(&self, route: &Route, first_set: usize) -> Region {
        let counts = self.counts();
        let all = |dimension: usize| {
            let mut bits = FixedBitSet::with_capacity(counts[dimension]);
            bits.insert_range(..);
            bits
        };
        let named = |dimension: usize, some: &mut dyn Iterator<Item = usize>| {
            let mut bits = FixedBitSet::with_capacity(counts[dimension]);
            some.for_each(|class| bits.insert(class));
            bits
        };
        let mut region: Region = std::array::from_fn(all);
        if !route.classes.is_empty() {
            region[0] = named(0, &mut route.classes.iter().map(|g| self.query_class(g)));
        }
        if !route.tenants.is_empty() {
            region[1] = named(1, &mut route.tenants.iter().map(|t| self.tenant(t)));
        }
        if !route.clients.is_empty() {
            let held = |class: &usize| {
                let members = self.clients.members(*class);
                route
                    .clients
                    .iter()
                    .any(|set| members.contains(first_set + set))
            };
            region[2] = named(2, &mut (0..counts[2]).filter(held));
        }
        if let Some(key) = route.key {
            region[3] = named(3, &mut std::iter::once(usize::from(key)));
        }
        if !route.data_sets.is_empty() {
            let held = |class: &usize| {
                let at = self.data_sets[*class];
                route
                    .data_sets
                    .iter()
                    .any(|(from, to)| (*from..=*to).contains(&at))
            };
            region[4] = named(4, &mut (0..counts[4]).filter(held));
        }
        if !route.hours.is_empty() {
            let held = |class: &usize| route.is_open_at(self.hours[*class]);
            region[5] = named(5, &mut (0..counts[5]).filter(held));
        }
        region
    }

    /// A region in words, as far as it does not hold everything.
    pub fn in_words(&self, region: &Region, set_names: &[String]) -> String {
        let counts = self.counts();
        let partial = |d: usize| region[d].count_ones(..) < counts[d];
        let mut words = Vec::new();
        for (d, names, what) in [(0, &self.groups, "group"), (1, &self.tenants, "tenant")] {
            if partial(d) {
                let all: Vec<_> = region[d]
                    .ones()
                    .map(|class| names.name(class).unwrap_or("others"))
                    .collect();
                words.push(format!("{what} {}", list(&all)));
            }
        }
        if partial(2) {
            let mut sets: Vec<String> = Vec::new();
            for class in region[2].ones() {
                let held: Vec<_> = self
                    .clients
                    .members(class)
                    .ones()
                    .filter_map(|n| set_names.get(n))
                    .collect();
                let name = held
                    .first()
                    .map_or_else(|| "elsewhere".to_string(), |name| (*name).clone());
                if !sets.contains(&name) {
                    sets.push(name);
                }
            }
            words.push(format!(
                "client {}",
                list(&sets.iter().map(String::as_str).collect::<Vec<_>>())
            ));
        }
        if partial(3) {
            words.push(
                if region[3].contains(1) {
                    "with a key"
                } else {
                    "without a key"
                }
                .to_string(),
            );
        }
        if partial(4) {
            let end = |class: usize| self.data_sets.get(class + 1).map(|next| next - 1);
            let all: Vec<String> = runs(&region[4])
                .map(|(first, last)| match (self.data_sets[first], end(last)) {
                    (from, Some(to)) if from == to => from.to_string(),
                    (from, Some(to)) => format!("{from}..{to}"),
                    (from, None) => format!("{from} and above"),
                })
                .collect();
            words.push(format!(
                "data-set {}",
                list(&all.iter().map(String::as_str).collect::<Vec<_>>())
            ));
        }
        if partial(5) {
            let clock = |m: u32| format!("{:02}:{:02}", m / 60, m % 60);
            let end = |class: usize| {
                self.hours
                    .get(class + 1)
                    .copied()
                    .unwrap_or(crate::quantity::MINUTES_PER_DAY)
            };
            let all: Vec<String> = runs(&region[5])
                .map(|(a, b)| format!("{}..{}", clock(self.hours[a]), clock(end(b))))
                .collect();
            words.push(format!(
                "hours {}",
                list(&all.iter().map(String::as_str).collect::<Vec<_>>())
            ));
        }
        match words.is_empty() {
            true => "every batch".to_string(),
            false => words.join(", "),
        }
    }
}

fn list(names: &[&str]) -> String {
    match names.len() {
        0..=6 => names.join(" or "),
        n => format!("{} or {} others", names[..5].join(" or "), n - 5),
    }
}

/// Runs of neighbouring classes: first and last of each.
fn runs(bits: &FixedBitSet) -> impl Iterator<Item = (usize, usize)> + '_ {
    let first = bits.ones().filter(|n| *n == 0 || !bits.contains(n - 1));
    first.map(|n| {
        (
            n,
            (n..bits.len())
                .take_while(|m| bits.contains(*m))
                .last()
                .unwrap_or(n),
        )
    })
}

/// What both take; none where that is nothing.
pub fn intersection(a: &Region, b: &Region) -> Option<Region> {
    let meets = (0..DIMENSIONS).all(|d| !a[d].is_disjoint(&b[d]));
    meets.then(|| {
        std::array::from_fn(|d| {
            let mut bits = a[d].clone();
            bits.intersect_with(&b[d]);
            bits
        })
    })
}

/// What the first takes and the second does not, in pieces that do not meet.
pub fn difference(a: &Region, b: &Region) -> Vec<Region> {
    if !(0..DIMENSIONS).all(|d| !a[d].is_disjoint(&b[d])) {
        return vec![a.clone()];
    }
    let (mut rest, mut out) = (a.clone(), Vec::new());
    for d in 0..DIMENSIONS {
        let mut outside = rest[d].clone();
        outside.difference_with(&b[d]);
        if !outside.is_clear() {
            let mut piece = rest.clone();
            piece[d] = outside;
            out.push(piece);
            rest[d].intersect_with(&b[d]);
        }
    }
    out
}

/// What each route of a list takes once earlier ones had theirs, in pieces that do not meet; none where it falls into
/// too many pieces to be followed. The last item is what no route takes.
pub fn reach(regions: &[Region], whole: &Region) -> Vec<Option<Vec<Region>>> {
    let left = |region: &Region, earlier: &[Region]| {
        let mut pieces = vec![region.clone()];
        for other in earlier {
            if pieces.is_empty() || pieces.len() > MOST_PIECES {
                break;
            }
            if (0..DIMENSIONS).all(|d| !region[d].is_disjoint(&other[d])) {
                pieces = pieces
                    .iter()
                    .flat_map(|piece| difference(piece, other))
                    .collect();
            }
        }
        (pieces.len() <= MOST_PIECES).then_some(pieces)
    };
    let routes = regions
        .iter()
        .enumerate()
        .map(|(n, region)| left(region, &regions[..n]));
    routes
        .chain(std::iter::once(left(whole, regions)))
        .collect()
}

/// Every batch.
pub(crate) fn whole(classes: &ValueClasses) -> Region {
    let counts = classes.counts();
    std::array::from_fn(|d| {
        let mut bits = FixedBitSet::with_capacity(counts[d]);
        bits.insert_range(..);
        bits
    })
}
