//! From checked blocks to a plan: names are resolved, and what contradicts itself, the settings or a rule is a fault.

use crate::address::{difference, span, union, Spans};
use crate::cells::{Cells, Known};
use crate::check::{Checked, Given, Spanned};
use crate::fault::Fault;
use crate::model::*;
use crate::quantity::Value;
use crate::region::{self, Classes, Region};
use crate::schema::{Outer, Shape};
use crate::source::Span;
use std::collections::HashMap;
use std::time::Duration;

/// What the platform's settings say, as far as a plan must fit them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub groups: Vec<SettingsGroup>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// A service group of the settings.
#[derive(Clone, Debug)]
pub struct SettingsGroup {
    pub name: String,
    pub goal: Duration,
    pub limit: Duration,
    pub in_order: bool,
    pub effect: Effect,
    /// Where its batches may run; anywhere where it is none.
    pub kinds: Option<Vec<String>>,
    pub zones: Option<Vec<String>>,
}

impl Settings {
    fn group(&self, name: &str) -> Option<&SettingsGroup> {
        self.groups.iter().find(|g| g.name == name)
    }

    fn names(&self, outer: Outer) -> Vec<&str> {
        match outer {
            Outer::Group => self.groups.iter().map(|g| g.name.as_str()).collect(),
            Outer::Tenant => self.tenants.iter().map(String::as_str).collect(),
            Outer::Kind => self.kinds.iter().map(String::as_str).collect(),
            Outer::Zone => self.zones.iter().map(String::as_str).collect(),
        }
    }
}

/// Builds a plan of checked blocks. Where there are faults the plan is not to be used.
pub fn build(blocks: &[Checked], settings: Option<&Settings>, faults: &mut Vec<Fault>) -> Plan {
    let places =
        |kind: &str| of(blocks, kind).into_iter().enumerate().map(|(n, b)| (b.name.as_str(), n)).collect();
    let places = HashMap::from([("pool", places("pool")), ("addresses", places("addresses"))]);
    let mut builder = Builder { blocks, places, settings, faults, plan: Plan::default() };
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
        let mut judge = Judge { plan: &plan, settings, faults };
        judge.pools();
        judge.groups();
        judge.routes();
        judge.limits();
    }
    plan
}

/// The blocks of a kind, in their order.
fn of<'a>(blocks: &'a [Checked], kind: &str) -> Vec<&'a Checked> {
    blocks.iter().filter(|b| b.kind.name == kind).collect()
}

struct Builder<'a> {
    blocks: &'a [Checked],
    /// The indices of pools and of address sets, by name.
    places: HashMap<&'static str, HashMap<&'a str, usize>>,
    settings: Option<&'a Settings>,
    faults: &'a mut Vec<Fault>,
    plan: Plan,
}

fn named(values: &[Spanned]) -> Vec<String> {
    let name = |s: &Spanned| match &s.value {
        Value::Name(name) | Value::Pattern(name) | Value::Text(name) => Some(name.clone()),
        _ => None,
    };
    values.iter().filter_map(name).collect()
}

fn time(given: Option<&Spanned>) -> Option<Duration> {
    match given?.value {
        Value::Time(time) => Some(time),
        _ => None,
    }
}

fn number(given: Option<&Spanned>) -> Option<f64> {
    match given?.value {
        Value::Size(n) | Value::Count(n) => Some(n as f64),
        Value::Rate(n) | Value::Flow(n) | Value::Share(n) => Some(n),
        _ => None,
    }
}

/// A rate with its burst; where none is told, what comes in a second, one batch at least.
fn bucket(given: Option<&Given>) -> Option<Bucket> {
    let values = &given?.values;
    let rate = number(values.first())?;
    Some(Bucket { rate, burst: number(values.get(1)).unwrap_or(rate.max(1.0)) })
}

impl<'a> Builder<'a> {
    fn of(&self, kind: &str) -> Vec<&'a Checked> {
        of(self.blocks, kind)
    }

    /// A block that says too little, unless a faulty line may be the one that is missing.
    fn says_too_little(&mut self, block: &Checked, fault: Fault) {
        let inside = |f: &Fault| {
            f.span.file == block.whole.file && (block.whole.start..block.whole.end).contains(&f.span.start)
        };
        if !self.faults.iter().any(inside) {
            self.faults.push(fault);
        }
    }

    /// Names of groups, tenants, kinds and zones, where the settings are at hand.
    fn outer_names(&mut self) {
        let Some(settings) = self.settings else { return };
        for block in self.blocks {
            if let Some(outer) = block.kind.outer {
                self.outer_name(settings, outer, &block.name, &block.span);
            }
            for entry in block.kind.entries {
                let (Shape::Outer(outer) | Shape::OneOuter(outer)) = entry.shape else { continue };
                for value in block.values(entry.name) {
                    if let Value::Name(name) = &value.value {
                        self.outer_name(settings, outer, name, &value.span);
                    }
                }
            }
        }
    }

    fn outer_name(&mut self, settings: &Settings, outer: Outer, name: &str, span: &Span) {
        let names = settings.names(outer);
        if !names.contains(&name) {
            let text = format!("the settings know no {} `{name}`", outer.is());
            self.faults.push(Fault::new(span.clone(), text).near(name, names));
        }
    }

    /// The indices of blocks of a kind that an entry names.
    fn refs(&mut self, kind: &'static str, given: Option<&Given>) -> Vec<usize> {
        let known = &self.places[kind];
        let mut found = Vec::new();
        for value in given.map_or(&[][..], |g| &g.values) {
            let Value::Name(name) = &value.value else { continue };
            match known.get(name.as_str()) {
                Some(n) if found.contains(n) => {
                    self.faults
                        .push(Fault::new(value.span.clone(), format!("`{name}` stands twice in this list")));
                }
                Some(n) => found.push(*n),
                None => {
                    let what = if kind == "pool" { "pool" } else { "address set" };
                    let fault = Fault::new(value.span.clone(), format!("there is no {what} `{name}`"));
                    self.faults.push(fault.near(name, known.keys().copied()));
                }
            }
        }
        found
    }

    /// An order in which each block comes after those that it refers to; those in a loop are a fault.
    fn ordered(&mut self, kind: &str, refers: &[Vec<usize>]) -> Vec<usize> {
        let blocks: Vec<(String, Span)> =
            self.of(kind).iter().map(|b| (b.name.clone(), b.span.clone())).collect();
        let (mut done, mut order) = (vec![false; refers.len()], Vec::new());
        for first in 0..refers.len() {
            // The way from `first` down, with how far each one's references were followed.
            let mut way: Vec<(usize, usize)> = if done[first] { Vec::new() } else { vec![(first, 0)] };
            while let Some((at, next)) = way.last_mut() {
                let at = *at;
                let Some(&other) = refers[at].get(*next) else {
                    done[at] = true;
                    order.push(at);
                    way.pop();
                    continue;
                };
                *next += 1;
                if let Some(begins) = way.iter().position(|(n, _)| *n == other) {
                    let mut names: Vec<&str> =
                        way[begins..].iter().map(|(n, _)| blocks[*n].0.as_str()).collect();
                    names.push(&blocks[other].0);
                    let text = format!("`{}` refers to itself: {}", blocks[other].0, names.join(" -> "));
                    self.faults.push(Fault::new(blocks[other].1.clone(), text));
                } else if !done[other] {
                    way.push((other, 0));
                }
            }
        }
        order
    }

    fn addresses(&mut self) {
        let blocks = self.of("addresses");
        let of: Vec<Vec<usize>> = blocks.iter().map(|b| self.refs("addresses", b.get("of"))).collect();
        let order = self.ordered("addresses", &of);
        let flat = |values: &[Spanned]| -> Spans {
            let nets = values.iter().filter_map(|s| match &s.value {
                Value::Network(net) => Some(span(net)),
                _ => None,
            });
            union(nets.collect())
        };
        let mut all: Vec<Spans> = vec![Spans::new(); blocks.len()];
        for n in order {
            let mut spans = flat(blocks[n].values("net"));
            spans.extend(of[n].iter().flat_map(|other| all[*other].clone()));
            all[n] = difference(&union(spans), &flat(blocks[n].values("except")));
        }
        for (block, spans) in blocks.into_iter().zip(all) {
            let given = block.get("net").is_some() || block.get("of").is_some();
            if !given {
                let fault =
                    Fault::new(block.span.clone(), format!("the address set `{}` says nothing", block.name));
                self.says_too_little(block, fault.help("net 10.1.0.0/16"));
            } else if spans.is_empty() && !block.values("net").is_empty() {
                let text = format!("the address set `{}` holds no address", block.name);
                self.faults.push(Fault::new(block.span.clone(), text));
            }
            let (name, span) = (block.name.clone(), block.span.clone());
            self.plan.addresses.push(AddressSet { name, span, spans });
        }
    }

    fn pools(&mut self) {
        for block in self.of("pool") {
            let addresses = self.refs("addresses", block.get("address"));
            let union = self.refs("pool", block.get("union"));
            let except = self.refs("pool", block.get("except"));
            let pool = Pool {
                name: block.name.clone(),
                span: block.span.clone(),
                all: block.get("all").is_some(),
                zones: named(block.values("zone")),
                kinds: named(block.values("kind")),
                ids: named(block.values("id")),
                addresses,
                union,
                except,
            };
            let selects =
                ["all", "zone", "kind", "id", "address", "union"].iter().any(|e| block.get(e).is_some());
            if !selects {
                let fault =
                    Fault::new(block.span.clone(), format!("the pool `{}` holds no engine", block.name));
                self.says_too_little(
                    block,
                    fault.help("say which it holds: `all`, `zone`, `kind`, `id`, `address` or `union`"),
                );
            }
            self.plan.pools.push(pool);
        }
        let refers = |p: &Pool| p.union.iter().chain(&p.except).copied().collect();
        let refers: Vec<Vec<usize>> = self.plan.pools.iter().map(refers).collect();
        self.plan.pool_order = self.ordered("pool", &refers);
    }

    fn groups(&mut self) {
        for block in self.of("group") {
            let pools = self.refs("pool", block.get("pools"));
            let word = |entry: &str| named(block.values(entry)).into_iter().next();
            let effect = block.values("effect");
            let scope = match named(effect).get(1).map(String::as_str) {
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => Scope::Everywhere,
            };
            let effect = word("effect").map(|word| match (word.as_str(), time(effect.get(2))) {
                ("once-only", _) => Effect::OnceOnly,
                ("referenced", Some(window)) => Effect::Referenced { scope, window },
                _ => Effect::Repeatable,
            });
            self.plan.groups.push(Group {
                goal: time(block.one("goal")),
                limit: time(block.one("limit")),
                pools,
                pools_span: block.get("pools").map(|g| g.span.clone()),
                in_order: word("order").map(|w| w == "key"),
                effect,
                further: number(block.one("further")),
                statement: number(block.one("statement")).map(|n| n as u64),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }

    fn tenants(&mut self) {
        for block in self.of("tenant") {
            self.plan.tenants.push(Tenant {
                share: number(block.one("share")),
                in_hand: number(block.one("in-hand")).map(|n| n as u64),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }

    fn routes(&mut self) {
        for block in self.of("route") {
            let clients = self.refs("addresses", block.get("client"));
            let to = self.refs("pool", block.get("to"));
            let word = |entry: &str| named(block.values(entry)).into_iter().next();
            let says = ["to", "as", "refuse"].iter().any(|e| block.get(e).is_some());
            if !says {
                let fault =
                    Fault::new(block.span.clone(), format!("the route `{}` says nothing", block.name));
                self.says_too_little(
                    block,
                    fault.help("say what becomes of its batches: `to`, `as` or `refuse`"),
                );
            }
            if let Some(refuse) = block.get("refuse") {
                if let Some(other) = block.get("to").or(block.get("as")) {
                    let fault = Fault::new(refuse.span.clone(), "what is refused goes nowhere");
                    self.faults.push(fault.other(other.span.clone(), "and this says where it goes"));
                }
            }
            let spans = |entry: &str| {
                let pair = |s: &Spanned| match s.value {
                    Value::Numbers(a, b) | Value::Clock(a, b) => Some((a, b)),
                    _ => None,
                };
                block.values(entry).iter().filter_map(pair).collect()
            };
            self.plan.routes.push(Route {
                groups: named(block.values("group")),
                tenants: named(block.values("tenant")),
                clients,
                key: word("key").map(|w| w == "given"),
                data_sets: spans("data-set"),
                hours: spans("hours"),
                to,
                to_span: block.get("to").map(|g| g.span.clone()),
                as_group: word("as"),
                as_span: block.get("as").map(|g| g.span.clone()),
                refuse: word("refuse"),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }

    fn limits(&mut self) {
        for block in self.of("limit") {
            let clients = self.refs("addresses", block.get("client"));
            if !["in-hand", "rate", "bytes"].iter().any(|e| block.get(e).is_some()) {
                let fault =
                    Fault::new(block.span.clone(), format!("the limit `{}` limits nothing", block.name));
                self.says_too_little(block, fault.help("say how much: `in-hand`, `rate` or `bytes`"));
            }
            let mut per: Vec<Per> = named(block.values("per"))
                .iter()
                .map(|word| match word.as_str() {
                    "group" => Per::Group,
                    "tenant" => Per::Tenant,
                    _ => Per::Client,
                })
                .collect();
            per.sort_unstable();
            per.dedup();
            self.plan.limits.push(Limit {
                per,
                groups: named(block.values("group")),
                tenants: named(block.values("tenant")),
                clients,
                in_hand: number(block.one("in-hand")).map(|n| n as u64),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }
}

/// Where a `bodies` block says less.
const USUAL_MEMORY: f64 = 33_554_432.0;
const USUAL_BATCH: f64 = 209_715_200.0;

impl<'a> Builder<'a> {
    /// The block of a kind of which there is one at most.
    fn single(&mut self, kind: &'static str) -> Option<&'a Checked> {
        let all = of(self.blocks, kind);
        let (first, rest) = all.split_first()?;
        for other in rest {
            let fault = Fault::new(other.span.clone(), format!("a plan has one block `{kind}` at most"));
            self.faults.push(fault.other(first.span.clone(), "the first"));
        }
        Some(first)
    }

    fn bodies(&mut self) {
        let Some(block) = self.single("bodies") else { return };
        let size = |entry: &str| number(block.one(entry));
        let memory = size("memory").unwrap_or(USUAL_MEMORY);
        let batch_memory = size("batch-memory").unwrap_or(memory / 8.0);
        let files = size("files").unwrap_or(0.0);
        let directory = named(block.values("directory")).into_iter().next();
        let mut wrong = |entry: &str, text: &str| {
            let span = block.get(entry).map_or(&block.span, |given| &given.span).clone();
            self.faults.push(Fault::new(span, text));
        };
        if batch_memory > memory {
            wrong("batch-memory", "one body may have more memory than all together");
        }
        match (&directory, files > 0.0) {
            (None, true) => wrong("files", "files need a `directory`"),
            (Some(_), false) => wrong("directory", "nothing goes there without `files`"),
            _ => {}
        }
        self.plan.bodies = Some(Bodies {
            memory: memory as u64,
            batch_memory: batch_memory as u64,
            files: files as u64,
            directory,
            batch: size("batch").unwrap_or(USUAL_BATCH) as u64,
            share: size("share").unwrap_or(1.0),
            unknown_length: block.get("unknown-length").is_some(),
            must_keep: named(block.values("must-keep")),
        });
    }

    fn journal(&mut self) {
        let Some(block) = self.single("journal") else { return };
        match named(block.values("directory")).into_iter().next() {
            Some(directory) => self.plan.journal = Some(Journal { directory }),
            None => {
                let fault = Fault::new(block.span.clone(), "the journal has no `directory`");
                self.says_too_little(block, fault.help("directory \"/var/lib/garnetwall\""));
            }
        }
    }
}

/// Judges a plan whose names are all resolved.
struct Judge<'a> {
    plan: &'a Plan,
    settings: Option<&'a Settings>,
    faults: &'a mut Vec<Fault>,
}

impl Judge<'_> {
    fn known(&self) -> Known<'_> {
        Known {
            zones: self.settings.map(|s| s.zones.as_slice()),
            kinds: self.settings.map(|s| s.kinds.as_slice()),
        }
    }

    fn pools(&mut self) {
        let Some(cells) = Cells::of(&[self.plan], self.known()) else { return };
        for (pool, held) in self.plan.pools.iter().zip(cells.held(self.plan, 0)) {
            if held.is_clear() {
                let text = format!("no engine can be in the pool `{}`", pool.name);
                let by = pool.except.first().map(|e| &self.plan.pools[*e]);
                let fault = Fault::new(pool.span.clone(), text);
                self.faults.push(match by {
                    Some(by) => fault.other(by.span.clone(), "what it has is excepted"),
                    None => fault,
                });
            }
        }
    }

    fn groups(&mut self) {
        for group in &self.plan.groups {
            let told = self.settings.and_then(|s| s.group(&group.name));
            let limit = group.limit.or(told.map(|t| t.limit));
            if let (Some(goal), Some(limit)) = (group.goal, limit) {
                if goal > limit {
                    let text = format!("the goal of `{}` is longer than its time limit", group.name);
                    self.faults.push(Fault::new(group.span.clone(), text));
                }
            }
            let Some(told) = told else { continue };
            let mut wider = |what: &str| {
                let text = format!(
                    "a plan narrows what the settings allow; this {what} of `{}` is wider",
                    group.name
                );
                self.faults.push(Fault::new(group.span.clone(), text));
            };
            if group.limit.is_some_and(|limit| limit > told.limit) {
                wider("time limit");
            }
            if group.in_order == Some(false) && told.in_order {
                wider("order");
            }
            if group.effect.is_some_and(|effect| !effect.narrows(&told.effect)) {
                wider("effect");
            }
        }
    }

    fn routes(&mut self) {
        let groups: Vec<String> =
            self.settings.map_or(Vec::new(), |s| s.groups.iter().map(|g| g.name.clone()).collect());
        let tenants = self.settings.map_or(&[][..], |s| &s.tenants);
        let classes = Classes::of(&[self.plan], &groups, tenants);
        let regions: Vec<Region> = self.plan.routes.iter().map(|r| classes.region(r, 0)).collect();
        let whole = whole(&classes);
        let reach = region::reach(&regions, &whole);
        self.unreached(&regions, &reach);
        self.treated_as();
        self.placement(&classes, &reach);
    }

    /// A route that can never match as earlier ones take all.
    fn unreached(&mut self, regions: &[Region], reach: &[Option<Vec<Region>>]) {
        for (n, route) in self.plan.routes.iter().enumerate() {
            if reach[n].as_ref().is_none_or(|pieces| !pieces.is_empty()) {
                continue;
            }
            let alone =
                regions[..n].iter().position(|earlier| region::difference(&regions[n], earlier).is_empty());
            let text = format!("the route `{}` can never match", route.name);
            let fault = Fault::new(route.span.clone(), text);
            self.faults.push(match alone {
                Some(earlier) => {
                    fault.other(self.plan.routes[earlier].span.clone(), "this one takes all that it asks for")
                }
                None => fault.label("earlier routes together take all that it asks for"),
            });
        }
    }

    /// What is treated as another group keeps the rules of its own.
    fn treated_as(&mut self) {
        let Some(settings) = self.settings else { return };
        for route in &self.plan.routes {
            let (Some(other), Some(span)) = (&route.as_group, &route.as_span) else { continue };
            let Some(to) = settings.group(other) else { continue };
            let takes = |g: &&SettingsGroup| route.groups.is_empty() || route.groups.contains(&g.name);
            for from in settings.groups.iter().filter(takes) {
                let within = |narrow: &Option<Vec<String>>, wide: &Option<Vec<String>>| match (narrow, wide) {
                    (_, None) => true,
                    (None, Some(_)) => false,
                    (Some(narrow), Some(wide)) => narrow.iter().all(|n| wide.contains(n)),
                };
                let what = if !to.effect.narrows(&from.effect) {
                    "run again where they may not"
                } else if from.in_order && !to.in_order {
                    "lose their order"
                } else if !within(&to.kinds, &from.kinds) || !within(&to.zones, &from.zones) {
                    "run where they may not"
                } else {
                    continue;
                };
                let text =
                    format!("batches of `{}` can't be treated as `{other}`: they would {what}", from.name);
                self.faults.push(Fault::new(span.clone(), text));
            }
        }
    }

    /// No route sends a batch out of the pools that its group is bound to, and each leaves it some engine.
    fn placement(&mut self, classes: &Classes, reach: &[Option<Vec<Region>>]) {
        let cells = Cells::of(&[self.plan], self.known());
        let held = cells.as_ref().map(|cells| cells.held(self.plan, 0));
        for (n, route) in self.plan.routes.iter().enumerate() {
            let Some(to_span) = &route.to_span else { continue };
            let reaches = |group: &str| {
                let class = classes.group(group);
                reach[n].as_ref().is_none_or(|pieces| pieces.iter().any(|p| p[0].contains(class)))
            };
            for group in self.plan.groups.iter().filter(|g| !g.pools.is_empty()) {
                let treated = route.as_ref_is(&group.name);
                if !(reaches(&group.name) || treated) {
                    continue;
                }
                for to in &route.to {
                    let inside = match &held {
                        Some(held) => {
                            let mut rest = held[*to].clone();
                            group.pools.iter().for_each(|p| rest.difference_with(&held[*p]));
                            rest.is_clear()
                        }
                        None => group.pools.contains(to),
                    };
                    if !inside {
                        self.leaves(route, to_span, group, *to);
                    }
                }
            }
            self.settled(route, to_span, &reaches, cells.as_ref(), held.as_deref());
        }
    }

    fn leaves(&mut self, route: &Route, to_span: &Span, group: &Group, to: usize) {
        let bound: Vec<&str> = group.pools.iter().map(|p| self.plan.pools[*p].name.as_str()).collect();
        let to = &self.plan.pools[to].name;
        let text = format!(
            "the route `{}` may send `{}` to `{to}`, out of `{}`",
            route.name,
            group.name,
            bound.join("`, `")
        );
        let fault = Fault::new(to_span.clone(), text).label("this leaves the binding");
        let binding = group.pools_span.clone().unwrap_or(group.span.clone());
        let fault = fault.other(binding, format!("`{}` is bound here", group.name));
        self.faults
            .push(fault.help(format!("take `{}` with an earlier route, or leave `{to}` out", group.name)));
    }

    /// The same for kinds and zones that the settings bind a group to.
    fn settled(
        &mut self,
        route: &Route,
        to_span: &Span,
        reaches: &dyn Fn(&str) -> bool,
        cells: Option<&Cells>,
        held: Option<&[fixedbitset::FixedBitSet]>,
    ) {
        let (Some(settings), Some(cells), Some(held)) = (self.settings, cells, held) else { return };
        let bound = settings.groups.iter().filter(|g| g.kinds.is_some() || g.zones.is_some());
        for group in bound.filter(|g| reaches(&g.name) || route.as_ref_is(&g.name)) {
            let allowed = |cell: usize| {
                let (zone, kind) = cells.place(cell);
                let among = |list: &Option<Vec<String>>, name: Option<&str>| {
                    list.as_ref().is_none_or(|l| name.is_some_and(|n| l.iter().any(|m| m == n)))
                };
                among(&group.zones, zone) && among(&group.kinds, kind)
            };
            for to in &route.to {
                if let Some(cell) = held[*to].ones().find(|cell| !allowed(*cell)) {
                    let (zone, kind) = cells.place(cell);
                    let place = match (zone, kind) {
                        (Some(zone), Some(kind)) => format!("{kind} in {zone}"),
                        (_, kind) => kind.unwrap_or("engines of other kinds").to_string(),
                    };
                    let pool = &self.plan.pools[*to].name;
                    let text = format!(
                        "the route `{}` may send `{}` to {place}, by the pool `{pool}`",
                        route.name, group.name
                    );
                    let list = |l: &Option<Vec<String>>| l.as_ref().map(|l| l.join(", "));
                    let only =
                        [list(&group.kinds), list(&group.zones)].into_iter().flatten().collect::<Vec<_>>();
                    let fault = Fault::new(to_span.clone(), text).label("this leaves the binding");
                    let fault = fault.help(format!(
                        "the settings bind `{}` to {}; take it with an earlier route",
                        group.name,
                        only.join(" and ")
                    ));
                    self.faults.push(fault);
                }
            }
        }
    }

    /// Limits that contradict one another.
    fn limits(&mut self) {
        let limits = &self.plan.limits;
        for (n, limit) in limits.iter().enumerate() {
            for other in &limits[..n] {
                let same = limit.per == other.per && scope_of(limit) == scope_of(other);
                let figures = |l: &Limit| [l.in_hand.is_some(), l.rate.is_some(), l.bytes.is_some()];
                let both = figures(limit).iter().zip(figures(other)).any(|(a, b)| *a && b);
                if same && both {
                    let text = format!("the limits `{}` and `{}` limit the same", other.name, limit.name);
                    let fault = Fault::new(limit.span.clone(), text);
                    self.faults.push(fault.other(other.span.clone(), "the other one"));
                }
                let (wide, narrow) = (other, limit);
                self.never_binds(wide, narrow);
                self.never_binds(narrow, wide);
            }
        }
        for tenant in &self.plan.tenants {
            let covers = |l: &&Limit| {
                let whole =
                    l.per.iter().all(|p| *p == Per::Tenant) && l.groups.is_empty() && l.clients.is_empty();
                whole && (l.tenants.is_empty() || l.tenants == [tenant.name.clone()])
            };
            for limit in limits.iter().filter(covers) {
                if let (Some(most), Some(own)) = (limit.in_hand, tenant.in_hand) {
                    if own > most {
                        let text = format!(
                            "`{}` may have {own} batches in hand, but the limit `{}` holds it to {most}",
                            tenant.name, limit.name
                        );
                        self.faults.push(
                            Fault::new(tenant.span.clone(), text).other(limit.span.clone(), "this one"),
                        );
                    }
                }
            }
        }
    }

    /// A limit that counts no more than another, wider one of fewer batches in hand.
    fn never_binds(&mut self, wide: &Limit, narrow: &Limit) {
        let within = |narrow: &[String], wide: &[String]| {
            wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
        };
        let clients = wide.clients.is_empty() || wide.clients == narrow.clients;
        let inside =
            within(&narrow.groups, &wide.groups) && within(&narrow.tenants, &wide.tenants) && clients;
        if let (true, true, Some(less), Some(more)) =
            (inside, wide.per.is_empty(), wide.in_hand, narrow.in_hand)
        {
            if more > less && (scope_of(wide) != scope_of(narrow) || wide.per != narrow.per) {
                let text = format!(
                    "the limit `{}` of {more} in hand can never bind: `{}` holds all of them to {less}",
                    narrow.name, wide.name
                );
                self.faults.push(Fault::new(narrow.span.clone(), text).other(wide.span.clone(), "this one"));
            }
        }
    }
}

impl Route {
    fn as_ref_is(&self, group: &str) -> bool {
        self.as_group.as_deref() == Some(group)
    }
}

fn scope_of(limit: &Limit) -> (Vec<&String>, Vec<&String>, Vec<usize>) {
    let mut groups: Vec<&String> = limit.groups.iter().collect();
    let mut tenants: Vec<&String> = limit.tenants.iter().collect();
    let mut clients = limit.clients.clone();
    groups.sort_unstable();
    tenants.sort_unstable();
    clients.sort_unstable();
    (groups, tenants, clients)
}

/// Every batch.
pub(crate) fn whole(classes: &Classes) -> Region {
    let counts = classes.counts();
    std::array::from_fn(|d| {
        let mut bits = fixedbitset::FixedBitSet::with_capacity(counts[d]);
        bits.insert_range(..);
        bits
    })
}
