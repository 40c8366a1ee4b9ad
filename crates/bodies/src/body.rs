//! A body that passes through: bytes come in at one end, are kept as the room decides, and are read at the other while
//! they still come. What is not kept passes through a window, so that a slow reader holds the writer back.

use crate::capacity::{
    AdmissionError, BodyId, Capacity, EvictionPolicy, Limits, Storage, PIECE, WINDOW,
};
use crate::spool::{Slot, Spool, SpoolError};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

/// Smaller chunks are put together, so that a client that sends byte by byte costs no more than its bytes.
const CHUNK: usize = 16 << 10;

/// What became of bodies of one query class at one place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies that had come whole and were there then.
    pub bodies: u64,
    /// Dispatches after the first that read one again.
    pub retry_reads: u64,
    /// A retry was wanted, and the body was not there any more.
    pub missing: u64,
}

/// All bodies in flight, within one budget.
pub struct Store {
    room: Mutex<Capacity>,
    spool: Option<Arc<Spool>>,
    bodies: Mutex<HashMap<BodyId, Weak<Body>>>,
    counts: Mutex<BTreeMap<(usize, Storage), Counts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// A store with a spool for what goes to files; without one nothing does.
    pub fn new(limits: Limits, policy: EvictionPolicy, spool: Option<Spool>) -> Arc<Self> {
        let files = if spool.is_some() {
            limits.file_bytes
        } else {
            0
        };
        let room = Capacity::new(
            Limits {
                file_bytes: files,
                ..limits
            },
            policy,
        );
        Arc::new(Store {
            room: Mutex::new(room),
            spool: spool.map(Arc::new),
            bodies: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    fn count(&self, class: usize, place: Storage, what: impl FnOnce(&mut Counts)) {
        what(lock(&self.counts).entry((class, place)).or_default());
    }

    /// What became of bodies so far, by class and place.
    pub fn counts(&self) -> BTreeMap<(usize, Storage), Counts> {
        lock(&self.counts).clone()
    }

    /// Bytes reserved in memory and in files.
    pub fn used(&self) -> (u64, u64) {
        lock(&self.room).used()
    }

    /// Reserves room for a body.
    ///
    /// # Errors
    ///
    /// The query is not to be taken.
    pub fn admit(
        self: &Arc<Self>,
        tenant: usize,
        class: usize,
        length: Option<u64>,
    ) -> Result<Arc<Body>, AdmissionError> {
        self.admit_as(tenant, class, length, false)
    }

    /// The same; a non-idempotent body is let go as it is sent.
    ///
    /// # Errors
    ///
    /// The query is not to be taken.
    pub fn admit_as(
        self: &Arc<Self>,
        tenant: usize,
        class: usize,
        length: Option<u64>,
        once_only: bool,
    ) -> Result<Arc<Body>, AdmissionError> {
        let id = lock(&self.room).admit(tenant, class, length)?;
        let inner = Inner {
            pieces: VecDeque::new(),
            came: 0,
            read: 0,
            number: 0,
            state: State::Receiving,
            whole_start: true,
            pending: BytesMut::new(),
        };
        let (inner, changed) = (Mutex::new(inner), Notify::new());
        let body = Arc::new(Body {
            store: self.clone(),
            id,
            class,
            length,
            once_only,
            inner,
            changed,
        });
        lock(&self.bodies).insert(id, Arc::downgrade(&body));
        Ok(body)
    }

    /// Moves bodies from memory to files while memory is short.
    async fn start_eviction(&self) {
        let Some(spool) = &self.spool else { return };
        loop {
            let Some(id) = lock(&self.room).start_eviction() else {
                return;
            };
            let body = lock(&self.bodies).get(&id).and_then(Weak::upgrade);
            let done = match body {
                Some(body) => body.to_spool(spool).await,
                None => false,
            };
            lock(&self.room).finish_eviction(id, done);
            if !done {
                return;
            }
        }
    }
}

enum Kept {
    Memory(Bytes),
    File {
        slot: Slot,
        number: u32,
        length: usize,
    },
}

impl Kept {
    fn len(&self) -> u64 {
        match self {
            Kept::Memory(bytes) => bytes.len() as u64,
            Kept::File { length, .. } => *length as u64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Receiving,
    Complete,
    Truncated,
}

struct Inner {
    /// Where each begins, and it.
    pieces: VecDeque<(u64, Arc<Kept>)>,
    /// Bytes that can be read.
    came: u64,
    /// How far the reader is.
    read: u64,
    /// Of the next piece in a file.
    number: u32,
    state: State,
    /// Its first byte is still here.
    whole_start: bool,
    /// Too little yet for a piece.
    pending: BytesMut,
}

/// One body in flight.
pub struct Body {
    store: Arc<Store>,
    id: BodyId,
    class: usize,
    length: Option<u64>,
    once_only: bool,
    inner: Mutex<Inner>,
    changed: Notify,
}

/// Why a body can't be written on.
#[derive(Debug, PartialEq, Eq)]
pub enum PushError {
    Rejected(AdmissionError),
    /// More bytes came than were told.
    TooManyBytes,
}

/// Why a body can't be read on.
#[derive(Debug)]
pub enum ReadError {
    /// It was let go.
    Discarded,
    /// Its writer stopped before its end.
    Truncated,
    Spool(SpoolError),
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ReadError::Discarded => f.write_str("the body is not kept any more"),
            ReadError::Truncated => f.write_str("the body was cut off"),
            ReadError::Spool(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for ReadError {}

impl Body {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    fn room(&self) -> MutexGuard<'_, Capacity> {
        lock(&self.store.room)
    }

    /// Its length, where it was told.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The query class that it counts for.
    pub fn class(&self) -> usize {
        self.class
    }

    pub fn storage(&self) -> Storage {
        self.room().storage(self.id)
    }

    /// Whether it can be read from its start, now and later.
    pub fn is_stored(&self) -> bool {
        self.inner().whole_start && self.storage() != Storage::NotStored
    }

    /// Whether it can be read from its start, kept or not.
    pub fn is_readable_from_start(&self) -> bool {
        self.inner().whole_start
    }

    /// Whether all of it has come.
    pub fn is_complete(&self) -> bool {
        self.inner().state == State::Complete
    }

    /// Takes in more bytes. It waits for the file, or, where the body is not kept, for the reader.
    ///
    /// # Errors
    ///
    /// The body is too long, or can't be kept though it must be.
    pub async fn push(&self, bytes: Bytes) -> Result<(), PushError> {
        let now = {
            let inner = self.inner();
            inner.came + inner.pending.len() as u64 + bytes.len() as u64
        };
        if self.length.is_some_and(|told| now > told) {
            return Err(PushError::TooManyBytes);
        }
        let place = self
            .room()
            .receive(self.id, bytes.len() as u64)
            .map_err(PushError::Rejected)?;
        let least = if place == Storage::File {
            PIECE as usize
        } else {
            CHUNK
        };
        let mut rest = {
            let mut inner = self.inner();
            if inner.pending.is_empty() && bytes.len() >= least {
                bytes
            } else {
                inner.pending.extend_from_slice(&bytes);
                if inner.pending.len() < least {
                    return Ok(());
                }
                inner.pending.split().freeze()
            }
        };
        while rest.len() >= least {
            let piece = rest.split_to(rest.len().min(PIECE as usize));
            self.take_in(piece).await;
        }
        self.inner().pending.extend_from_slice(&rest);
        Ok(())
    }

    /// Takes in a piece, wherever the body is kept now.
    async fn take_in(&self, piece: Bytes) {
        match (self.storage(), self.store.spool.clone()) {
            (Storage::Memory, _) => self.add(Kept::Memory(piece)),
            (Storage::File, Some(spool)) => match self.write(&spool, piece.clone()).await {
                Some(kept) => self.add(kept),
                // A full disk: what came goes on, and is not kept.
                None => {
                    self.room().stop_storing(self.id);
                    self.through(piece).await;
                }
            },
            (Storage::File | Storage::NotStored, _) => self.through(piece).await,
        }
    }

    fn add(&self, kept: Kept) {
        let mut inner = self.inner();
        let (at, length) = (inner.came, kept.len());
        inner.pieces.push_back((at, Arc::new(kept)));
        inner.came = at + length;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Passes bytes on without keeping them.
    async fn through(&self, bytes: Bytes) {
        loop {
            let waits = self.changed.notified();
            tokio::pin!(waits);
            waits.as_mut().enable();
            let room = {
                let inner = self.inner();
                inner.came - inner.read < WINDOW || inner.state == State::Truncated
            };
            if room {
                break;
            }
            waits.await;
        }
        self.add(Kept::Memory(bytes));
    }

    /// Writes a piece to the spool, off this thread; none where that fails.
    async fn write(&self, spool: &Arc<Spool>, piece: Bytes) -> Option<Kept> {
        let number = {
            let mut inner = self.inner();
            inner.number += 1;
            inner.number
        };
        let (spool, id, length) = (spool.clone(), self.id.0, piece.len());
        let written = spawn_blocking(move || spool.write(id, number, &piece)).await;
        written.ok()?.ok().map(|slot| Kept::File {
            slot,
            number,
            length,
        })
    }

    /// All has come; what was cut off or too short is told to the reader.
    pub async fn finish(&self) {
        let rest = self.inner().pending.split().freeze();
        if !rest.is_empty() {
            self.take_in(rest).await;
        }
        let whole = {
            let mut inner = self.inner();
            let whole = self.length.is_none_or(|told| told == inner.came);
            inner.state = if whole {
                State::Complete
            } else {
                State::Truncated
            };
            whole
        };
        self.changed.notify_waiters();
        if whole {
            self.store
                .count(self.class, self.storage(), |c| c.bodies += 1);
            self.store.start_eviction().await;
        }
    }

    /// Its writer stopped before the end.
    pub fn mark_truncated(&self) {
        let mut inner = self.inner();
        if inner.state == State::Receiving {
            inner.state = State::Truncated;
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Lets go of it: what was read is gone, and what is read will be.
    pub fn discard(&self) {
        self.room().stop_storing(self.id);
        self.drop_read();
    }

    fn drop_read(&self) {
        let (mut memory, mut file) = (0, 0);
        let mut inner = self.inner();
        let read = inner.read;
        while inner
            .pieces
            .front()
            .is_some_and(|(begins, kept)| begins + kept.len() <= read)
        {
            inner.whole_start = false;
            let Some((_, kept)) = inner.pieces.pop_front() else {
                break;
            };
            match &*kept {
                Kept::Memory(bytes) => memory += bytes.len() as u64,
                Kept::File { .. } => file += PIECE,
            }
            free(kept, &self.store.spool);
        }
        drop(inner);
        if memory + file > 0 {
            self.room().release_read(self.id, memory, file);
        }
    }

    /// Puts all that is in memory into the spool; whether all is there.
    async fn to_spool(&self, spool: &Arc<Spool>) -> bool {
        let pieces: Vec<(u64, Arc<Kept>)> = self.inner().pieces.iter().cloned().collect();
        let mut moved = Vec::new();
        for (at, kept) in pieces {
            let Kept::Memory(bytes) = &*kept else {
                continue;
            };
            match self.write(spool, bytes.clone()).await {
                Some(kept) => moved.push((at, Arc::new(kept))),
                None => {
                    moved
                        .into_iter()
                        .for_each(|(_, kept)| free(kept, &self.store.spool));
                    return false;
                }
            }
        }
        let mut inner = self.inner();
        for (at, kept) in moved {
            match inner.pieces.iter_mut().find(|(begins, _)| *begins == at) {
                Some(piece) => piece.1 = kept,
                // It was read and let go meanwhile.
                None => free(kept, &self.store.spool),
            }
        }
        true
    }

    /// Reads it from its start.
    ///
    /// # Errors
    ///
    /// Its start was let go.
    pub fn reader(self: &Arc<Self>, is_retry: bool) -> Result<Reader, ReadError> {
        let mut inner = self.inner();
        if !inner.whole_start {
            drop(inner);
            self.store
                .count(self.class, Storage::NotStored, |c| c.missing += 1);
            return Err(ReadError::Discarded);
        }
        inner.read = 0;
        drop(inner);
        if is_retry {
            self.store
                .count(self.class, self.storage(), |c| c.retry_reads += 1);
        }
        Ok(Reader {
            body: self.clone(),
            at: 0,
        })
    }
}

fn free(kept: Arc<Kept>, spool: &Option<Arc<Spool>>) {
    // A reader that has it still frees nothing: the slot is lost to others until the body is gone, and then is free.
    if let (Some(Kept::File { slot, .. }), Some(spool)) = (Arc::into_inner(kept), spool) {
        spool.free(slot);
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let spool = self.store.spool.clone();
        let inner = self.inner.get_mut().unwrap_or_else(PoisonError::into_inner);
        inner
            .pieces
            .drain(..)
            .for_each(|(_, kept)| free(kept, &spool));
        lock(&self.store.bodies).remove(&self.id);
        lock(&self.store.room).remove(self.id);
    }
}

/// Reads a body from its start to its end, as it comes.
pub struct Reader {
    body: Arc<Body>,
    at: u64,
}

enum Look {
    Piece(u64, Arc<Kept>),
    End,
    Wait,
}

impl Reader {
    /// The next bytes; none at its end.
    ///
    /// # Errors
    ///
    /// It can't be read on, and what was read is not whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        let (begins, kept) = loop {
            let waits = self.body.changed.notified();
            tokio::pin!(waits);
            waits.as_mut().enable();
            match self.look()? {
                Look::Piece(begins, kept) => break (begins, kept),
                Look::End => return Ok(None),
                Look::Wait => waits.await,
            }
        };
        let bytes = match &*kept {
            Kept::Memory(bytes) => bytes.clone(),
            Kept::File { .. } => self.read(kept.clone()).await?,
        };
        drop(kept);
        let bytes = bytes.slice((self.at - begins) as usize..);
        self.at += bytes.len() as u64;
        self.body.inner().read = self.at;
        if self.body.once_only && self.body.storage() != Storage::NotStored {
            self.body.room().stop_storing(self.body.id);
        }
        if self.body.storage() == Storage::NotStored {
            self.body.drop_read();
        }
        self.body.changed.notify_waiters();
        Ok(Some(bytes))
    }

    async fn read(&self, kept: Arc<Kept>) -> Result<Bytes, ReadError> {
        let Some(spool) = self.body.store.spool.clone() else {
            return Err(ReadError::Discarded);
        };
        let id = self.body.id.0;
        let read = spawn_blocking(move || {
            let read = match &*kept {
                Kept::File {
                    slot,
                    number,
                    length,
                } => spool.read(slot, id, *number, *length),
                Kept::Memory(bytes) => Ok(bytes.to_vec()),
            };
            // Where this is the last that has it, its slot is free.
            free(kept, &Some(spool));
            read
        });
        Ok(Bytes::from(
            read.await
                .map_err(|_| ReadError::Discarded)?
                .map_err(ReadError::Spool)?,
        ))
    }

    /// Bytes read so far.
    pub fn position(&self) -> u64 {
        self.at
    }

    /// Whether all has been read.
    pub fn is_at_end(&self) -> bool {
        let inner = self.body.inner();
        inner.state == State::Complete && self.at == inner.came
    }

    fn look(&self) -> Result<Look, ReadError> {
        let inner = self.body.inner();
        let after = inner
            .pieces
            .partition_point(|(begins, _)| *begins <= self.at);
        let piece = after.checked_sub(1).and_then(|n| inner.pieces.get(n));
        match piece.filter(|(begins, kept)| self.at < begins + kept.len()) {
            Some((begins, kept)) => Ok(Look::Piece(*begins, kept.clone())),
            None if self.at < inner.came => Err(ReadError::Discarded),
            None => match inner.state {
                State::Complete => Ok(Look::End),
                State::Truncated => Err(ReadError::Truncated),
                State::Receiving => Ok(Look::Wait),
            },
        }
    }
}

#[cfg(test)]
mod tests;
