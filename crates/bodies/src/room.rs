//! Where bodies go. Room is reserved before bytes come; all that is kept stays within the budgets at every moment, and
//! no tenant has more than its share of either while another waits for some.

use std::collections::BTreeMap;

/// Bytes of a body that are kept or let go at once.
pub const PIECE: u64 = 64 << 10;
/// Bytes between writer and reader of a body that goes to a file or is not kept.
pub const WINDOW: u64 = 2 * PIECE;
/// Part of the memory budget from which bodies move to files, and down to which they do.
const HIGH: f64 = 0.75;
const LOW: f64 = 0.5;

/// What may be kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes in memory, in all.
    pub memory: u64,
    /// Bytes in files, in all; 0 where there are none.
    pub files: u64,
    /// Bytes of one body in memory; a longer one goes to files.
    pub batch_memory: u64,
    /// Bytes of one body; a longer one is refused.
    pub batch: u64,
    /// Part of each budget that one tenant may have, 0 to 1.
    pub share: f64,
    /// Whether a body may come whose length is not told.
    pub unknown_length: bool,
    /// By query class: whether a query is rejected whose body can't be kept.
    pub must_keep: Vec<bool>,
}

/// What moves to files when memory runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Nothing: what comes when memory is full goes to files.
    Newest,
    Largest,
    Oldest,
}

/// A body in the room, by the order in which they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Where a body's next bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    Memory,
    File,
    NotKept,
}

/// Why a body is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is longer than any may be, in bytes.
    TooLarge { most: u64 },
    /// Its length is not told, and may not be unknown.
    UnknownLength,
    /// It can't be kept now, and its group must be able to be dispatched again.
    NoRoom,
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    tenant: usize,
    group: usize,
    /// Reserved.
    memory: u64,
    file: u64,
    /// Bytes that came, where the length is not told.
    came: u64,
    told: bool,
    place: Place,
    /// Its memory is on its way to a file, for which room is reserved.
    moving: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sum {
    memory: u64,
    file: u64,
}

/// Bodies in flight and what is reserved for them.
#[derive(Debug)]
pub struct Room {
    limits: Limits,
    policy: Policy,
    next: u64,
    /// Memory ran short, and bodies move out until it is well again.
    short: bool,
    held: BTreeMap<BodyId, Held>,
    all: Sum,
    /// Of tenants that have any.
    tenants: BTreeMap<usize, Sum>,
}

/// Bytes in a file are kept in whole pieces.
fn in_pieces(bytes: u64) -> u64 {
    bytes.div_ceil(PIECE) * PIECE
}

impl Room {
    pub fn new(limits: Limits, policy: Policy) -> Self {
        Room {
            limits,
            policy,
            next: 0,
            short: false,
            held: BTreeMap::new(),
            all: Sum::default(),
            tenants: BTreeMap::new(),
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    fn fits(&self, tenant: usize, more: Sum) -> bool {
        let own = self.tenants.get(&tenant).copied().unwrap_or_default();
        let share = |budget: u64| (budget as f64 * self.limits.share) as u64;
        let within = |own: u64, all: u64, more: u64, budget: u64| {
            more == 0 || (all + more <= budget && own + more <= share(budget))
        };
        within(own.memory, self.all.memory, more.memory, self.limits.memory)
            && within(own.file, self.all.file, more.file, self.limits.files)
    }

    fn reserve(&mut self, id: BodyId, more: Sum) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        (held.memory, held.file) = (held.memory + more.memory, held.file + more.file);
        let own = self.tenants.entry(held.tenant).or_default();
        for sum in [own, &mut self.all] {
            (sum.memory, sum.file) = (sum.memory + more.memory, sum.file + more.file);
        }
    }

    fn release(&mut self, id: BodyId, less: Sum) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        (held.memory, held.file) = (held.memory - less.memory, held.file - less.file);
        let tenant = held.tenant;
        let own = self.tenants.entry(tenant).or_default();
        for sum in [&mut *own, &mut self.all] {
            (sum.memory, sum.file) = (sum.memory - less.memory, sum.file - less.file);
        }
        if *own == Sum::default() {
            self.tenants.remove(&tenant);
        }
    }

    /// Reserves room for a body before its bytes come. With no length told it grows by [`Room::came`].
    ///
    /// # Errors
    ///
    /// The query is not to be taken.
    pub fn admit(
        &mut self,
        tenant: usize,
        group: usize,
        length: Option<u64>,
    ) -> Result<BodyId, Refused> {
        let most = self.limits.batch;
        match length {
            Some(length) if length > most => return Err(Refused::TooLarge { most }),
            None if !self.limits.unknown_length => return Err(Refused::UnknownLength),
            _ => {}
        }
        let first = length.unwrap_or(PIECE.min(most));
        // What may come to a file or through a window has room for that from the start.
        let window = |place| Sum {
            memory: if place == Place::Memory && length.is_some() {
                0
            } else {
                WINDOW
            },
            file: 0,
        };
        let wanted = |place: Place| {
            let (kept, window) = (sum_at(place, first), window(place));
            Sum {
                memory: kept.memory + window.memory,
                file: kept.file,
            }
        };
        let can = |place: &Place| match place {
            Place::Memory => {
                first <= self.limits.batch_memory && self.fits(tenant, wanted(Place::Memory))
            }
            Place::File => self.limits.files > 0 && self.fits(tenant, wanted(Place::File)),
            Place::NotKept => !self.must_keep(group) && self.fits(tenant, wanted(Place::NotKept)),
        };
        let places = [Place::Memory, Place::File, Place::NotKept];
        let Some(place) = places.into_iter().find(|place| can(place)) else {
            return Err(Refused::NoRoom);
        };
        let id = BodyId(self.next);
        self.next += 1;
        let told = length.is_some();
        self.held.insert(
            id,
            Held {
                tenant,
                group,
                memory: 0,
                file: 0,
                came: 0,
                told,
                place,
                moving: false,
            },
        );
        self.reserve(id, wanted(place));
        Ok(id)
    }

    /// Where so many more bytes of a body would go that has so many in all then.
    fn place_for(&self, tenant: usize, more: u64, in_all: u64) -> Place {
        let memory = sum_at(Place::Memory, more);
        if in_all <= self.limits.batch_memory && self.fits(tenant, memory) {
            Place::Memory
        } else if self.limits.files > 0 && self.fits(tenant, sum_at(Place::File, more)) {
            Place::File
        } else {
            Place::NotKept
        }
    }

    fn must_keep(&self, group: usize) -> bool {
        self.limits
            .must_keep
            .get(group)
            .copied()
            .unwrap_or_default()
    }

    /// More bytes of a body are there to be kept: where they go.
    ///
    /// # Errors
    ///
    /// It is longer than any may be, or can't be kept any more though it must.
    pub fn came(&mut self, id: BodyId, bytes: u64) -> Result<Place, Refused> {
        let Some(held) = self.held.get_mut(&id) else {
            return Ok(Place::NotKept);
        };
        held.came += bytes;
        let held = held.clone();
        if held.came > self.limits.batch {
            return Err(Refused::TooLarge {
                most: self.limits.batch,
            });
        }
        if held.told || held.place == Place::NotKept {
            return Ok(held.place);
        }
        // By pieces, so that room is not asked for with each few bytes.
        let reserved = held.memory - WINDOW + held.file;
        let wanted = in_pieces(held.came).min(in_pieces(self.limits.batch));
        if wanted <= reserved {
            return Ok(held.place);
        }
        let more = wanted - reserved;
        // What goes to a file goes on there.
        let place = match (held.place, self.place_for(held.tenant, more, wanted)) {
            (Place::File, Place::Memory) if self.fits(held.tenant, sum_at(Place::File, more)) => {
                Place::File
            }
            (Place::File, Place::Memory) => Place::NotKept,
            (_, place) => place,
        };
        if place == Place::NotKept {
            if self.must_keep(held.group) {
                return Err(Refused::NoRoom);
            }
            self.not_kept(id);
            return Ok(Place::NotKept);
        }
        self.reserve(id, sum_at(place, more));
        self.held.entry(id).and_modify(|h| h.place = place);
        Ok(place)
    }

    /// The next body that is to move from memory to a file, whose room there is reserved; none while memory is not
    /// short. Tenants with more than an even part of what is used pay first.
    pub fn move_out(&mut self) -> Option<BodyId> {
        if self.policy == Policy::Newest || self.limits.files == 0 {
            return None;
        }
        let moving: u64 = self
            .held
            .values()
            .filter(|h| h.moving)
            .map(|h| h.memory)
            .sum();
        let left = (self.all.memory - moving) as f64;
        let from = if self.short { LOW } else { HIGH };
        self.short = left > self.limits.memory as f64 * from;
        if !self.short {
            return None;
        }
        let even = self.all.memory / self.tenants.len().max(1) as u64;
        let pays = |h: &Held| {
            self.tenants
                .get(&h.tenant)
                .is_some_and(|own| own.memory >= even)
        };
        let can = |(_, h): &(&BodyId, &Held)| {
            let room = self.fits(
                h.tenant,
                Sum {
                    memory: 0,
                    file: in_pieces(h.memory),
                },
            );
            h.place == Place::Memory && h.told && !h.moving && h.memory > 0 && room
        };
        let candidates = self.held.iter().filter(can);
        let chosen = match self.policy {
            Policy::Largest => {
                candidates.max_by_key(|(id, h)| (pays(h), h.memory, std::cmp::Reverse(**id)))
            }
            _ => candidates.max_by_key(|(id, h)| (pays(h), std::cmp::Reverse(**id))),
        };
        let (id, file) = chosen.map(|(id, h)| (*id, in_pieces(h.memory)))?;
        self.reserve(id, Sum { memory: 0, file });
        self.held.entry(id).and_modify(|h| h.moving = true);
        Some(id)
    }

    /// A body that was to move is in its file now; or it is not, and stays where it was.
    pub fn moved(&mut self, id: BodyId, done: bool) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.moving) else {
            return;
        };
        held.moving = false;
        let (memory, file) = (held.memory, in_pieces(held.memory));
        if done {
            if held.place == Place::Memory {
                held.place = Place::File;
            }
            self.release(id, Sum { memory, file: 0 });
        } else {
            self.release(id, Sum { memory: 0, file });
        }
    }

    /// A body is not kept any more: it was let go, or its file failed. What is still to be read of it stays reserved
    /// until [`Room::freed`] tells that it was.
    pub fn not_kept(&mut self, id: BodyId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.place = Place::NotKept;
        }
    }

    /// So many bytes of a body that is not kept are gone.
    pub fn freed(&mut self, id: BodyId, memory: u64, file: u64) {
        let Some(held) = self
            .held
            .get(&id)
            .filter(|h| h.place == Place::NotKept && !h.moving)
        else {
            return;
        };
        let window = if held.told { 0 } else { WINDOW };
        let memory = memory.min(held.memory.saturating_sub(window));
        let file = file.min(held.file);
        self.release(id, Sum { memory, file });
    }

    /// A body's query is over.
    pub fn over(&mut self, id: BodyId) {
        if let Some(held) = self.held.get(&id) {
            let all = Sum {
                memory: held.memory,
                file: held.file,
            };
            self.release(id, all);
            self.held.remove(&id);
        }
    }

    pub fn place(&self, id: BodyId) -> Place {
        self.held.get(&id).map_or(Place::NotKept, |h| h.place)
    }

    /// Bytes reserved in memory and in files.
    pub fn used(&self) -> (u64, u64) {
        (self.all.memory, self.all.file)
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

fn sum_at(place: Place, bytes: u64) -> Sum {
    match place {
        Place::Memory => Sum {
            memory: bytes,
            file: 0,
        },
        Place::File => Sum {
            memory: 0,
            file: in_pieces(bytes),
        },
        Place::NotKept => Sum::default(),
    }
}

#[cfg(test)]
mod tests;
