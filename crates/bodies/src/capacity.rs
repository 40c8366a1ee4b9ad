//! Decides where request bodies are stored, within a memory budget and a spool file budget. Does no I/O.
//!
//! Bytes are reserved before they are stored. The reservations of all bodies never exceed either budget, and those of
//! one tenant never exceed the tenant's share of either.

mod error;
mod eviction;
mod limits;
mod reservation;

pub use error::AdmissionError;
pub use limits::{EvictionOutcome, EvictionPolicy, Limits, PIECE_BYTES, WINDOW_BYTES};
pub use reservation::{BodyId, Storage, Usage};

use reservation::{round_up_to_pieces, Reservation};
use std::collections::BTreeMap;

/// Memory budget, spool file budget, and the reservations of all bodies in flight.
#[derive(Debug)]
pub struct Capacity {
    limits: Limits,
    policy: EvictionPolicy,
    next_id: u64,
    /// Whether memory ran short and bodies are being evicted until the lower threshold is reached.
    memory_pressure: bool,
    reservations: BTreeMap<BodyId, Reservation>,
    /// Sum of all reservations.
    total: Usage,
    /// Sum of the reservations of each tenant; tenants without reserved bytes have no entry.
    by_tenant: BTreeMap<usize, Usage>,
}

impl Capacity {
    /// Creates budgets without any reservation.
    pub fn new(limits: Limits, policy: EvictionPolicy) -> Self {
        Capacity {
            limits,
            policy,
            next_id: 0,
            memory_pressure: false,
            reservations: BTreeMap::new(),
            total: Usage::default(),
            by_tenant: BTreeMap::new(),
        }
    }

    /// Returns the configured limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Reserves capacity for a body before its bytes arrive, and chooses its storage: memory if possible, else the
    /// spool file, else none. `length` is the announced length in bytes. If it is `None`, [`Capacity::receive`] extends
    /// the reservation as bytes arrive.
    ///
    /// # Errors
    ///
    /// The body is too large, its length is unknown but must be known, or the budgets have no capacity for it.
    pub fn admit(
        &mut self,
        tenant: usize,
        class: usize,
        length: Option<u64>,
    ) -> Result<BodyId, AdmissionError> {
        self.check_length(length)?;
        let preferred = [Storage::Memory, Storage::File, Storage::NotStored];
        let storage = preferred
            .into_iter()
            .find(|storage| self.can_admit(*storage, tenant, class, length))
            .ok_or(AdmissionError::NoCapacity)?;
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let reservation = Reservation {
            tenant,
            class,
            usage: Usage::default(),
            received_bytes: 0,
            length_known: length.is_some(),
            storage,
            evicting: false,
        };
        self.reservations.insert(id, reservation);
        self.reserve(id, self.initial_usage(storage, length));
        Ok(id)
    }

    /// Records that `bytes` more bytes of a body arrive, and returns where they go.
    ///
    /// # Errors
    ///
    /// The body is longer than the limit, or can no longer be stored though its query class requires it.
    pub fn receive(&mut self, id: BodyId, bytes: u64) -> Result<Storage, AdmissionError> {
        let max_bytes = self.limits.max_body_bytes;
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return Ok(Storage::NotStored);
        };
        reservation.received_bytes += bytes;
        if reservation.received_bytes > max_bytes {
            return Err(AdmissionError::TooLarge { max_bytes });
        }
        if reservation.length_known || reservation.storage == Storage::NotStored {
            return Ok(reservation.storage);
        }
        // Reserve whole pieces, so that small chunks rarely need a further reservation.
        let needed =
            round_up_to_pieces(reservation.received_bytes).min(round_up_to_pieces(max_bytes));
        if needed <= reservation.stored_bytes() {
            return Ok(reservation.storage);
        }
        let reservation = reservation.clone();
        self.grow(id, &reservation, needed)
    }

    /// Stops storing a body, because it was discarded or the spool file failed. Its reservation stays until
    /// [`Capacity::release_read`] or [`Capacity::remove`].
    pub fn stop_storing(&mut self, id: BodyId) {
        self.set_storage(id, Storage::NotStored);
    }

    fn set_storage(&mut self, id: BodyId, storage: Storage) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.storage = storage;
        }
    }

    /// Releases the bytes `read` of a body that is no longer stored, except for its window. Does nothing while the body
    /// is stored or being evicted.
    pub fn release_read(&mut self, id: BodyId, read: Usage) {
        let Some(reservation) = self.reservations.get(&id) else {
            return;
        };
        if reservation.storage != Storage::NotStored || reservation.evicting {
            return;
        }
        let reserved = reservation.usage;
        let window_bytes = reservation.window_bytes();
        let releasable_memory = reserved.memory_bytes.saturating_sub(window_bytes);
        let released = Usage {
            memory_bytes: read.memory_bytes.min(releasable_memory),
            file_bytes: read.file_bytes.min(reserved.file_bytes),
        };
        self.release(id, released);
    }

    /// Removes a body whose query has ended, and releases its whole reservation.
    pub fn remove(&mut self, id: BodyId) {
        let Some(reservation) = self.reservations.get(&id) else {
            return;
        };
        self.release(id, reservation.usage);
        self.reservations.remove(&id);
    }

    /// Returns where the next bytes of a body go; [`Storage::NotStored`] for an unknown id.
    pub fn storage(&self, id: BodyId) -> Storage {
        self.reservations
            .get(&id)
            .map_or(Storage::NotStored, |reservation| reservation.storage)
    }

    /// Returns the bytes that are reserved for all bodies.
    pub fn usage(&self) -> Usage {
        self.total
    }

    /// Returns the number of bodies in flight.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether no body is in flight.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    fn check_length(&self, length: Option<u64>) -> Result<(), AdmissionError> {
        let max_bytes = self.limits.max_body_bytes;
        match length {
            Some(length) if length > max_bytes => Err(AdmissionError::TooLarge { max_bytes }),
            None if !self.limits.unknown_length_allowed => Err(AdmissionError::UnknownLength),
            _ => Ok(()),
        }
    }

    /// Returns whether a new body may be admitted with this storage.
    fn can_admit(
        &self,
        storage: Storage,
        tenant: usize,
        class: usize,
        length: Option<u64>,
    ) -> bool {
        let allowed = match storage {
            Storage::Memory => self.initial_bytes(length) <= self.limits.max_body_memory_bytes,
            Storage::File => self.limits.file_bytes > 0,
            Storage::NotStored => !self.must_store(class),
        };
        allowed && self.fits(tenant, self.initial_usage(storage, length))
    }

    /// Returns the bytes of a body that are reserved when it is admitted: its length or, if that is unknown, one piece.
    fn initial_bytes(&self, length: Option<u64>) -> u64 {
        length.unwrap_or(PIECE_BYTES.min(self.limits.max_body_bytes))
    }

    /// Returns the initial reservation of a body. It includes the window between writer and reader, unless the body has
    /// a known length and is stored in memory.
    fn initial_usage(&self, storage: Storage, length: Option<u64>) -> Usage {
        let mut usage = Usage::stored(storage, self.initial_bytes(length));
        let stays_in_memory = storage == Storage::Memory && length.is_some();
        if !stays_in_memory {
            usage.memory_bytes += WINDOW_BYTES;
        }
        usage
    }

    /// Returns whether bodies of a query class must be stored, or else rejected.
    fn must_store(&self, class: usize) -> bool {
        self.limits
            .storage_required
            .get(class)
            .copied()
            .unwrap_or_default()
    }

    /// Extends the reservation of a body of unknown length to `needed` bytes, and moves its next bytes to other storage
    /// if necessary.
    fn grow(
        &mut self,
        id: BodyId,
        reservation: &Reservation,
        needed: u64,
    ) -> Result<Storage, AdmissionError> {
        let more = needed - reservation.stored_bytes();
        let storage = self.storage_for(reservation, more, needed);
        if storage != Storage::NotStored {
            self.reserve(id, Usage::stored(storage, more));
            self.set_storage(id, storage);
            return Ok(storage);
        }
        if self.must_store(reservation.class) {
            return Err(AdmissionError::NoCapacity);
        }
        self.stop_storing(id);
        Ok(Storage::NotStored)
    }

    /// Returns the storage for `more` further bytes of a body that then needs `needed` bytes in total. A body in the
    /// spool file does not return to memory.
    fn storage_for(&self, reservation: &Reservation, more: u64, needed: u64) -> Storage {
        let fits = |storage| self.fits(reservation.tenant, Usage::stored(storage, more));
        let may_be_in_memory =
            reservation.storage == Storage::Memory && needed <= self.limits.max_body_memory_bytes;
        if may_be_in_memory && fits(Storage::Memory) {
            Storage::Memory
        } else if self.limits.file_bytes > 0 && fits(Storage::File) {
            Storage::File
        } else {
            Storage::NotStored
        }
    }

    /// Returns whether both budgets, and the tenant's share of each, have capacity for `more`.
    fn fits(&self, tenant: usize, more: Usage) -> bool {
        let tenant_usage = self.by_tenant.get(&tenant).copied().unwrap_or_default();
        let memory_fits = self.fits_budget(
            self.limits.memory_bytes,
            self.total.memory_bytes,
            tenant_usage.memory_bytes,
            more.memory_bytes,
        );
        let file_fits = self.fits_budget(
            self.limits.file_bytes,
            self.total.file_bytes,
            tenant_usage.file_bytes,
            more.file_bytes,
        );
        memory_fits && file_fits
    }

    /// Returns whether `more` bytes fit into one budget. All bodies use `used` bytes of it, and the tenant's bodies
    /// `used_by_tenant`. Zero bytes always fit, even into a full budget.
    fn fits_budget(&self, budget: u64, used: u64, used_by_tenant: u64, more: u64) -> bool {
        more == 0
            || used + more <= budget && used_by_tenant + more <= self.limits.tenant_budget(budget)
    }

    fn reserve(&mut self, id: BodyId, more: Usage) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        reservation.usage += more;
        *self.by_tenant.entry(reservation.tenant).or_default() += more;
        self.total += more;
    }

    fn release(&mut self, id: BodyId, less: Usage) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        let tenant = reservation.tenant;
        reservation.usage -= less;
        self.total -= less;
        let tenant_usage = self.by_tenant.entry(tenant).or_default();
        *tenant_usage -= less;
        if *tenant_usage == Usage::default() {
            self.by_tenant.remove(&tenant);
        }
    }
}

#[cfg(test)]
mod tests;
