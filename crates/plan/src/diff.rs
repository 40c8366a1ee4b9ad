//! What two plans do otherwise: the change in meaning, not in text. Moved blocks, comments, renamed constants, pools,
//! sets and routes, and 1s beside 1000ms are no change. Routing is compared batch by batch, over the classes of
//! batches and the cells of engines that the two plans tell apart.

use crate::cells::{Cells, Known};
use crate::explain::{bucket_in_words, effect_in_words, limit_in_words};
use crate::model::{Bucket, Limit, Plan, Route};
use crate::region::{self, Region, ValueClasses};
use fixedbitset::FixedBitSet;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A change in meaning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, PartialOrd, Ord)]
pub struct Change {
    /// What has changed: `routing`, `placement`, `group`, `tenant` or `limit`.
    #[serde(rename = "of")]
    pub subject: &'static str,
    pub text: String,
}

/// All that the second plan does otherwise than the first.
pub fn diff(old: &Plan, new: &Plan) -> Vec<Change> {
    let mut changes = Vec::new();
    routing(old, new, &mut changes);
    groups(old, new, &mut changes);
    tenants(old, new, &mut changes);
    limits(old, new, &mut changes);
    stores(old, new, &mut changes);
    changes
}

/// Where a batch of a group may go: for each preference the cells that no earlier one has.
type Tiers = Vec<FixedBitSet>;

struct Side<'a> {
    plan: &'a Plan,
    held: Option<Vec<FixedBitSet>>,
    /// What each route takes, and last what none takes.
    reach: Vec<Option<Vec<Region>>>,
}

/// A decision on a class of batches.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Decision {
    Refused(String),
    /// The group it is treated as, and its preferences by number.
    Goes(String, Vec<usize>),
}

struct Compare<'a> {
    classes: &'a ValueClasses,
    all: FixedBitSet,
    /// Sets of cells by number, so that decisions are short.
    known: BTreeMap<Vec<usize>, usize>,
}

impl Compare<'_> {
    fn number(&mut self, cells: &FixedBitSet) -> usize {
        let next = self.known.len();
        *self.known.entry(cells.ones().collect()).or_insert(next)
    }

    fn tiers(&self, side: &Side, route: Option<&Route>, groups: &[&str]) -> Tiers {
        let Some(held) = &side.held else {
            return Vec::new();
        };
        let mut bound = self.all.clone();
        let rules = groups
            .iter()
            .filter_map(|g| side.plan.class(g))
            .filter(|g| !g.pools.is_empty());
        for group in rules {
            let mut pools = FixedBitSet::with_capacity(bound.len());
            group.pools.iter().for_each(|p| pools.union_with(&held[*p]));
            bound.intersect_with(&pools);
        }
        let to = route.map_or(&[][..], |r| &r.pools);
        let tiers = to.iter().map(|p| held[*p].clone());
        let mut tiers: Tiers = if to.is_empty() {
            vec![self.all.clone()]
        } else {
            tiers.collect()
        };
        let mut earlier = FixedBitSet::with_capacity(self.all.len());
        for tier in &mut tiers {
            tier.intersect_with(&bound);
            tier.difference_with(&earlier);
            earlier.union_with(tier);
        }
        tiers.retain(|t| !t.is_clear());
        tiers
    }

    fn decision(&mut self, side: &Side, route: Option<&Route>, group: &str) -> Decision {
        if let Some(reason) = route.and_then(|r| r.reject_reason.clone()) {
            return Decision::Refused(reason);
        }
        let treated = route.and_then(|r| r.as_class.as_deref()).unwrap_or(group);
        let tiers = self.tiers(side, route, &[group, treated]);
        let tiers = match side.held {
            Some(_) => tiers.iter().map(|cells| self.number(cells)).collect(),
            None => route.map_or(Vec::new(), |r| r.pools.clone()),
        };
        Decision::Goes(treated.to_string(), tiers)
    }
}

fn routing(old: &Plan, new: &Plan, changes: &mut Vec<Change>) {
    let classes = ValueClasses::of(&[old, new], &[], &[]);
    let cells = Cells::of(&[old, new], Known::default());
    let side = |plan, first_set| {
        let plan: &Plan = plan;
        let regions: Vec<Region> = plan
            .routes
            .iter()
            .map(|r| classes.region(r, first_set))
            .collect();
        let reach = region::reach(&regions, &region::whole(&classes));
        Side {
            plan,
            held: cells.as_ref().map(|cells| cells.held(plan, first_set)),
            reach,
        }
    };
    let sides = [side(old, 0), side(new, old.addresses.len())];
    let [Some(was), Some(is)] = sides.each_ref().map(|side| {
        side.reach
            .iter()
            .map(Option::as_ref)
            .collect::<Option<Vec<&Vec<Region>>>>()
    }) else {
        let same = format!("{:?}", old.routes) == format!("{:?}", new.routes);
        if !same {
            let text =
                "the routes of the two are too many and too entangled to be compared".to_string();
            changes.push(Change {
                subject: "routing",
                text,
            });
        }
        return;
    };
    let all = cells.as_ref().map(Cells::all).unwrap_or_default();
    let mut compare = Compare {
        classes: &classes,
        all,
        known: BTreeMap::new(),
    };
    let names = group_names(old, new);
    let mut found: BTreeMap<(usize, usize, Decision, Decision), Vec<Region>> = BTreeMap::new();
    for (m, before) in was.iter().enumerate() {
        for (n, after) in is.iter().enumerate() {
            let meet: Vec<Region> = before
                .iter()
                .flat_map(|a| after.iter().filter_map(|b| region::intersection(a, b)))
                .collect();
            for piece in meet {
                for class in piece[0].ones() {
                    let name = names.iter().find(|name| classes.query_class(name) == class);
                    let group = name.map_or("others", String::as_str);
                    let a = compare.decision(&sides[0], old.routes.get(m), group);
                    let b = compare.decision(&sides[1], new.routes.get(n), group);
                    if a != b {
                        let mut one = piece.clone();
                        one[0].clear();
                        one[0].insert(class);
                        found.entry((m, n, a, b)).or_default().push(one);
                    }
                }
            }
        }
    }
    placement(&mut compare, &sides, &names, cells.as_ref(), changes);
    let mut set_names: Vec<String> = Vec::new();
    set_names.extend(
        old.addresses
            .iter()
            .chain(&new.addresses)
            .map(|a| a.name.clone()),
    );
    for ((m, n, a, b), regions) in found {
        let first = compare.classes.in_words(&regions[0], &set_names);
        let more = if regions.len() > 1 {
            format!(" (and {} more)", regions.len() - 1)
        } else {
            String::new()
        };
        let was = in_words(old, old.routes.get(m), &a);
        let is = in_words(new, new.routes.get(n), &b);
        let is = if was == is {
            format!("{is}, with other engines")
        } else {
            is
        };
        changes.push(Change {
            subject: "routing",
            text: format!("{first}{more}: {was} -> {is}"),
        });
    }
}

fn group_names(old: &Plan, new: &Plan) -> BTreeSet<String> {
    let of = |plan: &Plan| {
        let routes = plan
            .routes
            .iter()
            .flat_map(|r| r.classes.iter().chain(&r.as_class))
            .cloned();
        routes
            .chain(plan.classes.iter().map(|g| g.name.clone()))
            .collect::<BTreeSet<_>>()
    };
    of(old).union(&of(new)).cloned().collect()
}

fn in_words(plan: &Plan, route: Option<&Route>, decision: &Decision) -> String {
    match decision {
        Decision::Refused(reason) => format!("refused, \"{reason}\""),
        Decision::Goes(group, _) => {
            let to = route.map_or(&[][..], |r| &r.pools);
            let pools: Vec<&str> = to.iter().map(|p| plan.pools[*p].name.as_str()).collect();
            let to = if pools.is_empty() {
                "any engine".to_string()
            } else {
                format!("to {}", pools.join(", "))
            };
            match route.and_then(|r| r.as_class.as_ref()) {
                Some(_) => format!("as {group} {to}"),
                None => to,
            }
        }
    }
}

/// Kinds and zones that a group may use in one plan only.
fn placement(
    compare: &mut Compare,
    sides: &[Side; 2],
    names: &BTreeSet<String>,
    cells: Option<&Cells>,
    changes: &mut Vec<Change>,
) {
    let Some(cells) = cells else { return };
    for group in names {
        let class = compare.classes.query_class(group);
        let places = |side: &Side| {
            let mut may = FixedBitSet::with_capacity(cells.count());
            for (n, pieces) in side.reach.iter().enumerate() {
                let route = side.plan.routes.get(n);
                let takes = pieces
                    .as_ref()
                    .is_some_and(|p| p.iter().any(|piece| piece[0].contains(class)));
                let refused = route.is_some_and(|r| r.reject_reason.is_some());
                if takes && !refused {
                    let treated = route.and_then(|r| r.as_class.as_deref()).unwrap_or(group);
                    compare
                        .tiers(side, route, &[group, treated])
                        .iter()
                        .for_each(|t| may.union_with(t));
                }
            }
            may.ones()
                .map(|cell| cells.place(cell))
                .collect::<BTreeSet<_>>()
        };
        let (was, is) = (places(&sides[0]), places(&sides[1]));
        let text = |(zone, kind): &(Option<&str>, Option<&str>), how: &str| {
            let kind = kind.unwrap_or("engines of other kinds");
            let zone = zone.map_or("other zones".to_string(), str::to_string);
            format!("`{group}` {how} use {kind} in {zone}")
        };
        changes.extend(was.difference(&is).map(|p| Change {
            subject: "placement",
            text: text(p, "may no longer"),
        }));
        changes.extend(is.difference(&was).map(|p| Change {
            subject: "placement",
            text: text(p, "may now"),
        }));
    }
}

/// Adds a change where a figure differs.
fn figure(
    changes: &mut Vec<Change>,
    of: &'static str,
    what: &str,
    was: Option<String>,
    is: Option<String>,
) {
    if was != is {
        let word = |v: Option<String>| v.unwrap_or_else(|| "none".to_string());
        changes.push(Change {
            subject: of,
            text: format!("{what}: {} -> {}", word(was), word(is)),
        });
    }
}

fn groups(old: &Plan, new: &Plan, changes: &mut Vec<Change>) {
    let names: BTreeSet<&String> = old
        .classes
        .iter()
        .chain(&new.classes)
        .map(|g| &g.name)
        .collect();
    for name in names {
        let (was, is) = (old.class(name), new.class(name));
        let mut tell = |what: &str, of: &dyn Fn(&crate::model::ClassRules) -> Option<String>| {
            figure(
                changes,
                "group",
                &format!("{what} of `{name}`"),
                was.and_then(of),
                is.and_then(of),
            );
        };
        tell("goal", &|g| {
            g.latency_objective.map(|t| format!("{}s", t.as_secs_f64()))
        });
        tell("limit", &|g| {
            g.deadline.map(|t| format!("{}s", t.as_secs_f64()))
        });
        tell("order", &|g| {
            g.in_order
                .map(|o| if o { "key" } else { "none" }.to_string())
        });
        tell("effect", &|g| g.idempotency.as_ref().map(effect_in_words));
        tell("further", &|g| {
            g.retries_per_query.map(|f| format!("{}%", f * 100.0))
        });
        tell("statement", &|g| {
            g.max_statement_bytes.map(|n| format!("{n}B"))
        });
    }
}

fn tenants(old: &Plan, new: &Plan, changes: &mut Vec<Change>) {
    let names: BTreeSet<&String> = old
        .tenants
        .iter()
        .chain(&new.tenants)
        .map(|t| &t.name)
        .collect();
    for name in names {
        let (was, is) = (old.tenant(name), new.tenant(name));
        let mut tell = |what: &str, of: &dyn Fn(&crate::model::Tenant) -> Option<String>| {
            figure(
                changes,
                "tenant",
                &format!("{what} of `{name}`"),
                was.and_then(of),
                is.and_then(of),
            );
        };
        let bucket = |b: Option<Bucket>| b.as_ref().map(bucket_in_words);
        tell("share", &|t| t.share.map(|s| format!("{}%", s * 100.0)));
        tell("in-hand limit", &|t| t.max_in_flight.map(|n| n.to_string()));
        tell("rate", &|t| bucket(t.rate));
        tell("bytes", &|t| bucket(t.bytes));
    }
}

fn stores(old: &Plan, new: &Plan, changes: &mut Vec<Change>) {
    let mut tell = |what: &str, of: &dyn Fn(&Plan) -> Option<String>| {
        figure(changes, "store", what, of(old), of(new))
    };
    type Entry = (&'static str, fn(&crate::model::Bodies) -> String);
    let entries: [Entry; 8] = [
        ("memory", |b| format!("{}B", b.memory)),
        ("batch-memory", |b| format!("{}B", b.query_memory)),
        ("files", |b| format!("{}B", b.files)),
        ("directory", |b| b.directory.clone().unwrap_or_default()),
        ("batch", |b| format!("{}B", b.max_body)),
        ("share", |b| format!("{}%", b.share * 100.0)),
        ("unknown-length", |b| b.unknown_length.to_string()),
        ("must-keep", |b| {
            b.must_keep
                .iter()
                .cloned()
                .collect::<BTreeSet<_>>()
                .into_iter()
                .collect::<Vec<_>>()
                .join(", ")
        }),
    ];
    for (name, of) in entries {
        tell(&format!("{name} of bodies"), &|plan| {
            plan.bodies.as_ref().map(of)
        });
    }
    tell("directory of the journal", &|plan| {
        plan.journal.as_ref().map(|j| j.directory.clone())
    });
}

/// What a limit counts, without names that are the plan's own.
fn scope(plan: &Plan, limit: &Limit) -> String {
    let sorted = |list: &[String]| {
        list.iter()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .cloned()
            .collect::<Vec<_>>()
    };
    let spans = limit
        .clients
        .iter()
        .flat_map(|c| plan.addresses[*c].spans.clone())
        .collect();
    let spans = crate::address::union(spans);
    format!(
        "{:?} {:?} {:?} {spans:?}",
        limit.per,
        sorted(&limit.classes),
        sorted(&limit.tenants)
    )
}

fn limits(old: &Plan, new: &Plan, changes: &mut Vec<Change>) {
    let key =
        |plan: &Plan, limit: &Limit| format!("{} {}", scope(plan, limit), limit_in_words(limit));
    let alike: BTreeSet<String> = old.limits.iter().map(|l| key(old, l)).collect();
    let news: BTreeSet<String> = new.limits.iter().map(|l| key(new, l)).collect();
    let left = |plan: &'_ Plan, other: &BTreeSet<String>| -> BTreeMap<String, Limit> {
        let left = plan
            .limits
            .iter()
            .filter(|l| !other.contains(&key(plan, l)));
        left.map(|l| (l.name.clone(), l.clone())).collect()
    };
    let (was, is) = (left(old, &news), left(new, &alike));
    let names: BTreeSet<&String> = was.keys().chain(is.keys()).collect();
    for name in names {
        let text = match (was.get(name), is.get(name)) {
            (Some(a), None) => format!("`{name}` is gone: {}", limit_in_words(a)),
            (None, Some(b)) => format!("`{name}` is new: {}", limit_in_words(b)),
            (Some(a), Some(b)) if scope(old, a) != scope(new, b) => {
                format!("`{name}` counts other batches now")
            }
            (Some(a), Some(b)) => {
                format!("`{name}`: {} -> {}", limit_in_words(a), limit_in_words(b))
            }
            (None, None) => continue,
        };
        changes.push(Change {
            subject: "limit",
            text,
        });
    }
}
