//! Limits on what is taken: batches in hand, batches and bytes over time, for each tenant, group, client or any
//! combination. Rates are kept by the generic cell rate algorithm (ITU-T I.371), one time a key. What is kept is
//! bounded however many clients are seen: keys in use stand in a table, idle ones give way, and where all are in use
//! further ones share a sketch, which may hold a key to less than it could have, and never lets it have more.

use crate::sketch::{Cells, Load, Sketch};
use crate::{Batch, Routing};
use garnetwall_plan::model::{Bucket, Limit, Per};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Keys of one limit that are kept one by one.
pub const MOST_KEYS: usize = 16_384;
/// Places looked at for an idle key that gives way.
const LOOKS: usize = 8;
/// Weight of one batch in the usual time in hand.
const LEARN: f64 = 0.05;
/// A time to come back is no shorter.
const SOONEST: Duration = Duration::from_millis(10);

/// Which limit a batch is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    InHand,
    Rate,
    Bytes,
}

/// A batch is over a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Over {
    /// The limit's name.
    pub limit: String,
    pub which: Which,
    /// When it may come back: a rate has room for it then; of what is in hand one is usually over.
    pub come_back: Duration,
}

/// What a limit is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Key {
    group: Option<u32>,
    tenant: Option<u32>,
    client: Option<IpAddr>,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Kept(u32),
    Shared(Cells),
}

/// A batch that was taken, until it is over.
#[derive(Debug)]
pub struct Ticket {
    at: Duration,
    /// The rules that count it, by their number, and where.
    held: Vec<(u64, Place)>,
}

/// One limit with all that it is kept for.
#[derive(Debug)]
struct Rule {
    name: String,
    /// What it counts, in words: state is carried over where that stays.
    scope: String,
    per: Vec<Per>,
    /// By the settings' index; all where empty.
    groups: Vec<usize>,
    tenants: Vec<usize>,
    /// Its plan's address sets.
    clients: Vec<usize>,
    in_hand: Option<u32>,
    rate: Option<Bucket>,
    bytes: Option<Bucket>,
    kept: Kept,
}

/// The state of a limit.
#[derive(Debug, Default)]
struct Kept {
    number: u64,
    places: HashMap<Key, u32>,
    loads: Vec<(Key, Load)>,
    hand: usize,
    shared: Option<Sketch>,
    /// Usual seconds in hand.
    usual: f64,
}

/// All limits of a plan with what they hold.
#[derive(Debug)]
pub struct Limits {
    rules: Vec<Rule>,
    next: u64,
    most_keys: usize,
}

impl Limits {
    /// The limits of a plan; `room` is the batches that this gateway can hold, which tenants' shares are of.
    pub fn new(routing: &Routing, room: f64) -> Self {
        Limits::with_keys(routing, room, MOST_KEYS)
    }

    /// With another number of keys that are kept one by one.
    pub fn with_keys(routing: &Routing, room: f64, most_keys: usize) -> Self {
        let mut limits = Limits {
            rules: Vec::new(),
            next: 0,
            most_keys,
        };
        limits.rules = rules(routing, room);
        for rule in &mut limits.rules {
            rule.kept.number = limits.next;
            limits.next += 1;
        }
        limits
    }

    /// Takes up another plan. A limit whose name and scope stay goes on with what it holds; batches in hand under a
    /// limit that is gone count nowhere.
    pub fn replan(&mut self, routing: &Routing, room: f64) {
        let mut old = std::mem::take(&mut self.rules);
        self.rules = rules(routing, room);
        for rule in &mut self.rules {
            let same = old
                .iter()
                .position(|o| o.name == rule.name && o.scope == rule.scope);
            match same.map(|at| old.swap_remove(at)) {
                Some(old) => rule.kept = old.kept,
                None => {
                    rule.kept.number = self.next;
                    self.next += 1;
                }
            }
        }
    }

    /// Takes a batch within all limits that count it, or says which it is over; then it counts in none.
    ///
    /// # Errors
    ///
    /// Of the limits that it is over, the one with the latest time to come back.
    pub fn take(&mut self, routing: &Routing, now: Duration, b: &Batch) -> Result<Ticket, Over> {
        let sets = routing.classes.clients();
        let members = sets.members(sets.class(b.client));
        let counting = |rule: &Rule| {
            let among = |list: &[usize], n: usize| list.is_empty() || list.contains(&n);
            among(&rule.groups, b.group)
                && among(&rule.tenants, b.tenant)
                && (rule.clients.is_empty()
                    || rule.clients.iter().any(|set| members.contains(*set)))
        };
        let counting: Vec<usize> = (0..self.rules.len())
            .filter(|n| counting(&self.rules[*n]))
            .collect();
        let over = counting.iter().filter_map(|n| self.rules[*n].over(now, b));
        if let Some(over) = over.max_by_key(|over| over.come_back) {
            return Err(Over {
                come_back: over.come_back.max(SOONEST),
                ..over
            });
        }
        let most = self.most_keys;
        let held = counting.into_iter().map(|n| {
            let rule = &mut self.rules[n];
            (rule.kept.number, rule.take(now, b, most))
        });
        Ok(Ticket {
            at: now,
            held: held.collect(),
        })
    }

    /// A batch that was taken is over.
    pub fn release(&mut self, now: Duration, ticket: Ticket) {
        for (number, place) in ticket.held {
            // A limit that is gone holds nothing.
            if let Some(rule) = self.rules.iter_mut().find(|r| r.kept.number == number) {
                rule.kept.release(place);
                let took = now.saturating_sub(ticket.at).as_secs_f64();
                rule.kept.usual += LEARN * (took - rule.kept.usual);
            }
        }
    }

    /// Keys that are kept one by one, over all limits.
    pub fn keys(&self) -> usize {
        self.rules.iter().map(|r| r.kept.loads.len()).sum()
    }
}

fn rules(routing: &Routing, room: f64) -> Vec<Rule> {
    let (plan, names) = (routing.plan(), routing.names());
    let index = |names: &[String], list: &[String]| -> Vec<usize> {
        list.iter()
            .filter_map(|name| names.iter().position(|n| n == name))
            .collect()
    };
    let spans = |limit: &Limit| {
        let sets = limit
            .clients
            .iter()
            .flat_map(|c| plan.addresses[*c].spans.clone());
        garnetwall_plan::address::union(sets.collect())
    };
    let sorted = |list: &[String]| {
        let mut list = list.to_vec();
        list.sort_unstable();
        list
    };
    let limits = plan.limits.iter().map(|limit| Rule {
        name: limit.name.clone(),
        scope: format!(
            "{:?} {:?} {:?} {:?}",
            limit.per,
            sorted(&limit.groups),
            sorted(&limit.tenants),
            spans(limit)
        ),
        per: limit.per.clone(),
        groups: index(&names.groups, &limit.groups),
        tenants: index(&names.tenants, &limit.tenants),
        clients: limit.clients.clone(),
        in_hand: limit.in_hand.map(|n| n.min(u64::from(u32::MAX)) as u32),
        rate: limit.rate,
        bytes: limit.bytes,
        kept: Kept::default(),
    });
    let tenants = plan.tenants.iter().map(|tenant| {
        let share = tenant.share.map(|share| (share * room).max(1.0));
        let in_hand = tenant
            .in_hand
            .map(|n| n as f64)
            .into_iter()
            .chain(share)
            .min_by(f64::total_cmp);
        Rule {
            name: tenant.name.clone(),
            scope: "tenant".to_string(),
            per: Vec::new(),
            groups: Vec::new(),
            tenants: index(&names.tenants, std::slice::from_ref(&tenant.name)),
            clients: Vec::new(),
            in_hand: in_hand
                .filter(|n| n.is_finite())
                .map(|n| n.min(f64::from(u32::MAX)) as u32),
            rate: tenant.rate,
            bytes: tenant.bytes,
            kept: Kept::default(),
        }
    });
    limits.chain(tenants).collect()
}

impl Rule {
    fn key(&self, b: &Batch) -> Key {
        let mut key = Key::default();
        for per in &self.per {
            match per {
                Per::Group => key.group = Some(b.group as u32),
                Per::Tenant => key.tenant = Some(b.tenant as u32),
                Per::Client => key.client = Some(b.client),
            }
        }
        key
    }

    /// Whether one more batch is over, and when it would no longer be.
    fn over(&self, now: Duration, b: &Batch) -> Option<Over> {
        let load = self.kept.load(&self.key(b));
        let over = |which, come_back| Over {
            limit: self.name.clone(),
            which,
            come_back,
        };
        let too_soon = |bucket: Option<Bucket>, due: Duration, cost: f64| {
            let bucket = bucket?;
            let after = charged(&bucket, due, now, cost).saturating_sub(now);
            let burst = Duration::from_secs_f64(bucket.burst / bucket.rate);
            Some(after.saturating_sub(burst)).filter(|wait| !wait.is_zero())
        };
        if self.in_hand.is_some_and(|most| load.in_hand >= most) {
            let usual = Duration::from_secs_f64(self.kept.usual / f64::from(load.in_hand.max(1)));
            return Some(over(Which::InHand, usual));
        }
        if let Some(wait) = too_soon(self.rate, load.batches, 1.0) {
            return Some(over(Which::Rate, wait));
        }
        too_soon(self.bytes, load.bytes, b.bytes as f64).map(|wait| over(Which::Bytes, wait))
    }

    fn take(&mut self, now: Duration, b: &Batch, most_keys: usize) -> Place {
        let key = self.key(b);
        let place = self.kept.place(now, key, most_keys);
        let load = self.kept.at(&place);
        let batches = self
            .rate
            .map_or(load.batches, |rate| charged(&rate, load.batches, now, 1.0));
        let bytes = self.bytes.map_or(load.bytes, |rate| {
            charged(&rate, load.bytes, now, b.bytes as f64)
        });
        match (&place, &mut self.kept.shared) {
            (Place::Kept(at), _) => {
                let load = &mut self.kept.loads[*at as usize].1;
                *load = Load {
                    in_hand: load.in_hand + 1,
                    batches,
                    bytes,
                };
            }
            (Place::Shared(cells), Some(sketch)) => sketch.take(cells, batches, bytes),
            (Place::Shared(_), None) => {}
        }
        place
    }
}

/// The time to which one more batch of this cost moves a key's. What is larger than a whole burst counts as one.
fn charged(bucket: &Bucket, due: Duration, now: Duration, cost: f64) -> Duration {
    due.max(now) + Duration::from_secs_f64(cost.min(bucket.burst) / bucket.rate)
}

impl Kept {
    fn load(&self, key: &Key) -> Load {
        match (self.places.get(key), &self.shared) {
            (Some(at), _) => self.loads[*at as usize].1,
            (None, Some(sketch)) => sketch.load(&sketch.cells(key)),
            (None, None) => Load::default(),
        }
    }

    fn at(&self, place: &Place) -> Load {
        match (place, &self.shared) {
            (Place::Kept(at), _) => self.loads[*at as usize].1,
            (Place::Shared(cells), Some(sketch)) => sketch.load(cells),
            (Place::Shared(_), None) => Load::default(),
        }
    }

    /// A place for a key: its own, a new one, that of an idle key, or cells that it shares.
    fn place(&mut self, now: Duration, key: Key, most_keys: usize) -> Place {
        if let Some(at) = self.places.get(&key) {
            return Place::Kept(*at);
        }
        // What the sketch holds of it must not be forgotten.
        if let Some(sketch) = &self.shared {
            let cells = sketch.cells(&key);
            if !sketch.load(&cells).is_idle(now) {
                return Place::Shared(cells);
            }
        }
        if self.loads.len() < most_keys {
            self.loads.push((key, Load::default()));
            self.places.insert(key, self.loads.len() as u32 - 1);
            return Place::Kept(self.loads.len() as u32 - 1);
        }
        for _ in 0..LOOKS.min(self.loads.len()) {
            self.hand = (self.hand + 1) % self.loads.len();
            let (old, load) = self.loads[self.hand];
            if load.is_idle(now) {
                self.places.remove(&old);
                self.loads[self.hand] = (key, Load::default());
                self.places.insert(key, self.hand as u32);
                return Place::Kept(self.hand as u32);
            }
        }
        Place::Shared(self.shared.get_or_insert_with(Sketch::new).cells(&key))
    }

    fn release(&mut self, place: Place) {
        match (place, &mut self.shared) {
            (Place::Kept(at), _) => {
                let load = &mut self.loads[at as usize].1;
                load.in_hand = load.in_hand.saturating_sub(1);
            }
            (Place::Shared(cells), Some(sketch)) => sketch.release(&cells),
            (Place::Shared(_), None) => {}
        }
    }
}

#[cfg(test)]
mod tests;
