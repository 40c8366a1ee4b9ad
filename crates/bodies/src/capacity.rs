//! Where bodies go. Capacity is reserved before bytes come; all that is kept stays within the budgets at every moment, and
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
    pub memory_bytes: u64,
    /// Bytes in files, in all; 0 where there are none.
    pub file_bytes: u64,
    /// Bytes of one body in memory; a longer one goes to files.
    pub max_body_memory_bytes: u64,
    /// Bytes of one body; a longer one is refused.
    pub max_body_bytes: u64,
    /// Part of each budget that one tenant may have, 0 to 1.
    pub tenant_share: f64,
    /// Whether a body may come whose length is not told.
    pub unknown_length_allowed: bool,
    /// By query class: whether a query is rejected whose body can't be kept.
    pub storage_required: Vec<bool>,
}

/// What moves to files when memory runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Nothing: what comes when memory is full goes to files.
    Never,
    Largest,
    Oldest,
}

/// A body in the room, by the order in which they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Where a body's next bytes go.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Storage {
    Memory,
    File,
    NotStored,
}

/// Logs name the kinds of storage by this text.
impl std::fmt::Debug for Storage {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Storage::Memory => "Memory",
            Storage::File => "File",
            Storage::NotStored => "NotKept",
        })
    }
}

/// Why a body is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// It is longer than any may be, in bytes.
    TooLarge { max_bytes: u64 },
    /// Its length is not told, and may not be unknown.
    UnknownLength,
    /// It can't be kept now, and its class must be able to be dispatched again.
    NoCapacity,
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    tenant: usize,
    class: usize,
    /// Reserved.
    memory: u64,
    file: u64,
    /// Bytes that came, where the length is not told.
    came: u64,
    told: bool,
    place: Storage,
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
pub struct Capacity {
    limits: Limits,
    policy: EvictionPolicy,
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

impl Capacity {
    pub fn new(limits: Limits, policy: EvictionPolicy) -> Self {
        Capacity {
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
        let share = |budget: u64| (budget as f64 * self.limits.tenant_share) as u64;
        let within = |own: u64, all: u64, more: u64, budget: u64| {
            more == 0 || (all + more <= budget && own + more <= share(budget))
        };
        within(
            own.memory,
            self.all.memory,
            more.memory,
            self.limits.memory_bytes,
        ) && within(own.file, self.all.file, more.file, self.limits.file_bytes)
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

    /// Reserves room for a body before its bytes come. With no length told it grows by [`Capacity::receive`].
    ///
    /// # Errors
    ///
    /// The query is not to be taken.
    pub fn admit(
        &mut self,
        tenant: usize,
        class: usize,
        length: Option<u64>,
    ) -> Result<BodyId, AdmissionError> {
        let most = self.limits.max_body_bytes;
        match length {
            Some(length) if length > most => {
                return Err(AdmissionError::TooLarge { max_bytes: most })
            }
            None if !self.limits.unknown_length_allowed => {
                return Err(AdmissionError::UnknownLength)
            }
            _ => {}
        }
        let first = length.unwrap_or(PIECE.min(most));
        // What may come to a file or through a window has room for that from the start.
        let window = |place| Sum {
            memory: if place == Storage::Memory && length.is_some() {
                0
            } else {
                WINDOW
            },
            file: 0,
        };
        let wanted = |place: Storage| {
            let (kept, window) = (sum_at(place, first), window(place));
            Sum {
                memory: kept.memory + window.memory,
                file: kept.file,
            }
        };
        let can = |place: &Storage| match place {
            Storage::Memory => {
                first <= self.limits.max_body_memory_bytes
                    && self.fits(tenant, wanted(Storage::Memory))
            }
            Storage::File => self.limits.file_bytes > 0 && self.fits(tenant, wanted(Storage::File)),
            Storage::NotStored => {
                !self.must_keep(class) && self.fits(tenant, wanted(Storage::NotStored))
            }
        };
        let places = [Storage::Memory, Storage::File, Storage::NotStored];
        let Some(place) = places.into_iter().find(|place| can(place)) else {
            return Err(AdmissionError::NoCapacity);
        };
        let id = BodyId(self.next);
        self.next += 1;
        let told = length.is_some();
        self.held.insert(
            id,
            Held {
                tenant,
                class,
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
    fn place_for(&self, tenant: usize, more: u64, in_all: u64) -> Storage {
        let memory = sum_at(Storage::Memory, more);
        if in_all <= self.limits.max_body_memory_bytes && self.fits(tenant, memory) {
            Storage::Memory
        } else if self.limits.file_bytes > 0 && self.fits(tenant, sum_at(Storage::File, more)) {
            Storage::File
        } else {
            Storage::NotStored
        }
    }

    fn must_keep(&self, class: usize) -> bool {
        self.limits
            .storage_required
            .get(class)
            .copied()
            .unwrap_or_default()
    }

    /// More bytes of a body are there to be kept: where they go.
    ///
    /// # Errors
    ///
    /// It is longer than any may be, or can't be kept any more though it must.
    pub fn receive(&mut self, id: BodyId, bytes: u64) -> Result<Storage, AdmissionError> {
        let Some(held) = self.held.get_mut(&id) else {
            return Ok(Storage::NotStored);
        };
        held.came += bytes;
        let held = held.clone();
        if held.came > self.limits.max_body_bytes {
            return Err(AdmissionError::TooLarge {
                max_bytes: self.limits.max_body_bytes,
            });
        }
        if held.told || held.place == Storage::NotStored {
            return Ok(held.place);
        }
        // By pieces, so that room is not asked for with each few bytes.
        let reserved = held.memory - WINDOW + held.file;
        let wanted = in_pieces(held.came).min(in_pieces(self.limits.max_body_bytes));
        if wanted <= reserved {
            return Ok(held.place);
        }
        let more = wanted - reserved;
        // What goes to a file goes on there.
        let place = match (held.place, self.place_for(held.tenant, more, wanted)) {
            (Storage::File, Storage::Memory)
                if self.fits(held.tenant, sum_at(Storage::File, more)) =>
            {
                Storage::File
            }
            (Storage::File, Storage::Memory) => Storage::NotStored,
            (_, place) => place,
        };
        if place == Storage::NotStored {
            if self.must_keep(held.class) {
                return Err(AdmissionError::NoCapacity);
            }
            self.stop_storing(id);
            return Ok(Storage::NotStored);
        }
        self.reserve(id, sum_at(place, more));
        self.held.entry(id).and_modify(|h| h.place = place);
        Ok(place)
    }

    /// The next body that is to move from memory to a file, whose room there is reserved; none while memory is not
    /// short. Tenants with more than an even part of what is used pay first.
    pub fn start_eviction(&mut self) -> Option<BodyId> {
        if self.policy == EvictionPolicy::Never || self.limits.file_bytes == 0 {
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
        self.short = left > self.limits.memory_bytes as f64 * from;
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
            h.place == Storage::Memory && h.told && !h.moving && h.memory > 0 && room
        };
        let candidates = self.held.iter().filter(can);
        let chosen = match self.policy {
            EvictionPolicy::Largest => {
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
    pub fn finish_eviction(&mut self, id: BodyId, done: bool) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.moving) else {
            return;
        };
        held.moving = false;
        let (memory, file) = (held.memory, in_pieces(held.memory));
        if done {
            if held.place == Storage::Memory {
                held.place = Storage::File;
            }
            self.release(id, Sum { memory, file: 0 });
        } else {
            self.release(id, Sum { memory: 0, file });
        }
    }

    /// A body is not kept any more: it was let go, or its file failed. What is still to be read of it stays reserved
    /// until [`Capacity::release_read`] tells that it was.
    pub fn stop_storing(&mut self, id: BodyId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.place = Storage::NotStored;
        }
    }

    /// So many bytes of a body that is not kept are gone.
    pub fn release_read(&mut self, id: BodyId, memory: u64, file: u64) {
        let Some(held) = self
            .held
            .get(&id)
            .filter(|h| h.place == Storage::NotStored && !h.moving)
        else {
            return;
        };
        let window = if held.told { 0 } else { WINDOW };
        let memory = memory.min(held.memory.saturating_sub(window));
        let file = file.min(held.file);
        self.release(id, Sum { memory, file });
    }

    /// A body's query is over.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(held) = self.held.get(&id) {
            let all = Sum {
                memory: held.memory,
                file: held.file,
            };
            self.release(id, all);
            self.held.remove(&id);
        }
    }

    pub fn storage(&self, id: BodyId) -> Storage {
        self.held.get(&id).map_or(Storage::NotStored, |h| h.place)
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

fn sum_at(place: Storage, bytes: u64) -> Sum {
    match place {
        Storage::Memory => Sum {
            memory: bytes,
            file: 0,
        },
        Storage::File => Sum {
            memory: 0,
            file: in_pieces(bytes),
        },
        Storage::NotStored => Sum::default(),
    }
}

#[cfg(test)]
mod tests;
