//! A body that passes through: bytes come in at one end, are kept as the room decides, and are read at the other while
//! they still come. What is not kept passes through a window, so that a slow reader holds the writer back.

use crate::room::{BodyId, Limits, Place, Policy, Refused, Room, PIECE, WINDOW};
use crate::spool::{Fault, Slot, Spool};
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
    pub further: u64,
    /// A retry was wanted, and the body was not there any more.
    pub missed: u64,
}

/// All bodies in flight, within one budget.
pub struct Store {
    room: Mutex<Room>,
    spool: Option<Arc<Spool>>,
    bodies: Mutex<HashMap<BodyId, Weak<Body>>>,
    counts: Mutex<BTreeMap<(usize, Place), Counts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// A store with a spool for what goes to files; without one nothing does.
    pub fn new(limits: Limits, policy: Policy, spool: Option<Spool>) -> Arc<Self> {
        let files = if spool.is_some() { limits.files } else { 0 };
        let room = Room::new(Limits { files, ..limits }, policy);
        Arc::new(Store {
            room: Mutex::new(room),
            spool: spool.map(Arc::new),
            bodies: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    fn count(&self, group: usize, place: Place, what: impl FnOnce(&mut Counts)) {
        what(lock(&self.counts).entry((group, place)).or_default());
    }

    /// What became of bodies so far, by group and place.
    pub fn counts(&self) -> BTreeMap<(usize, Place), Counts> {
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
        group: usize,
        length: Option<u64>,
    ) -> Result<Arc<Body>, Refused> {
        self.admit_as(tenant, group, length, false)
    }

    /// The same; a non-idempotent body is let go as it is sent.
    ///
    /// # Errors
    ///
    /// The query is not to be taken.
    pub fn admit_as(
        self: &Arc<Self>,
        tenant: usize,
        group: usize,
        length: Option<u64>,
        once_only: bool,
    ) -> Result<Arc<Body>, Refused> {
        let id = lock(&self.room).admit(tenant, group, length)?;
        let inner = Inner {
            pieces: VecDeque::new(),
            came: 0,
            read: 0,
            number: 0,
            state: State::Comes,
            whole_start: true,
            pending: BytesMut::new(),
        };
        let (inner, changed) = (Mutex::new(inner), Notify::new());
        let body = Arc::new(Body {
            store: self.clone(),
            id,
            group,
            length,
            once_only,
            inner,
            changed,
        });
        lock(&self.bodies).insert(id, Arc::downgrade(&body));
        Ok(body)
    }

    /// Moves bodies from memory to files while memory is short.
    async fn move_out(&self) {
        let Some(spool) = &self.spool else { return };
        loop {
            let Some(id) = lock(&self.room).move_out() else {
                return;
            };
            let body = lock(&self.bodies).get(&id).and_then(Weak::upgrade);
            let done = match body {
                Some(body) => body.to_spool(spool).await,
                None => false,
            };
            lock(&self.room).moved(id, done);
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
    Comes,
    Whole,
    CutOff,
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
    group: usize,
    length: Option<u64>,
    once_only: bool,
    inner: Mutex<Inner>,
    changed: Notify,
}

/// Why a body can't be written on.
#[derive(Debug, PartialEq, Eq)]
pub enum Stop {
    Refused(Refused),
    /// More bytes came than were told.
    TooMany,
}

/// Why a body can't be read on.
#[derive(Debug)]
pub enum ReadFault {
    /// It was let go.
    Gone,
    /// Its writer stopped before its end.
    CutOff,
    Spool(Fault),
}

impl std::fmt::Display for ReadFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ReadFault::Gone => f.write_str("the body is not kept any more"),
            ReadFault::CutOff => f.write_str("the body was cut off"),
            ReadFault::Spool(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for ReadFault {}

impl Body {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    fn room(&self) -> MutexGuard<'_, Room> {
        lock(&self.store.room)
    }

    /// Its length, where it was told.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The query class that it counts for.
    pub fn group(&self) -> usize {
        self.group
    }

    pub fn place(&self) -> Place {
        self.room().place(self.id)
    }

    /// Whether it can be read from its start, now and later.
    pub fn is_kept(&self) -> bool {
        self.inner().whole_start && self.place() != Place::NotKept
    }

    /// Whether it can be read from its start, kept or not.
    pub fn can_be_read(&self) -> bool {
        self.inner().whole_start
    }

    /// Whether all of it has come.
    pub fn is_whole(&self) -> bool {
        self.inner().state == State::Whole
    }

    /// Takes in more bytes. It waits for the file, or, where the body is not kept, for the reader.
    ///
    /// # Errors
    ///
    /// The body is too long, or can't be kept though it must be.
    pub async fn push(&self, bytes: Bytes) -> Result<(), Stop> {
        let now = {
            let inner = self.inner();
            inner.came + inner.pending.len() as u64 + bytes.len() as u64
        };
        if self.length.is_some_and(|told| now > told) {
            return Err(Stop::TooMany);
        }
        let place = self
            .room()
            .came(self.id, bytes.len() as u64)
            .map_err(Stop::Refused)?;
        let least = if place == Place::File {
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
        match (self.place(), self.store.spool.clone()) {
            (Place::Memory, _) => self.add(Kept::Memory(piece)),
            (Place::File, Some(spool)) => match self.write(&spool, piece.clone()).await {
                Some(kept) => self.add(kept),
                // A full disk: what came goes on, and is not kept.
                None => {
                    self.room().not_kept(self.id);
                    self.through(piece).await;
                }
            },
            (Place::File | Place::NotKept, _) => self.through(piece).await,
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
                inner.came - inner.read < WINDOW || inner.state == State::CutOff
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
            inner.state = if whole { State::Whole } else { State::CutOff };
            whole
        };
        self.changed.notify_waiters();
        if whole {
            self.store
                .count(self.group, self.place(), |c| c.bodies += 1);
            self.store.move_out().await;
        }
    }

    /// Its writer stopped before the end.
    pub fn cut_off(&self) {
        let mut inner = self.inner();
        if inner.state == State::Comes {
            inner.state = State::CutOff;
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Lets go of it: what was read is gone, and what is read will be.
    pub fn let_go(&self) {
        self.room().not_kept(self.id);
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
            self.room().freed(self.id, memory, file);
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
    pub fn reader(self: &Arc<Self>, further: bool) -> Result<Reader, ReadFault> {
        let mut inner = self.inner();
        if !inner.whole_start {
            drop(inner);
            self.store
                .count(self.group, Place::NotKept, |c| c.missed += 1);
            return Err(ReadFault::Gone);
        }
        inner.read = 0;
        drop(inner);
        if further {
            self.store
                .count(self.group, self.place(), |c| c.further += 1);
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
        lock(&self.store.room).over(self.id);
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
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadFault> {
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
        if self.body.once_only && self.body.place() != Place::NotKept {
            self.body.room().not_kept(self.body.id);
        }
        if self.body.place() == Place::NotKept {
            self.body.drop_read();
        }
        self.body.changed.notify_waiters();
        Ok(Some(bytes))
    }

    async fn read(&self, kept: Arc<Kept>) -> Result<Bytes, ReadFault> {
        let Some(spool) = self.body.store.spool.clone() else {
            return Err(ReadFault::Gone);
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
                .map_err(|_| ReadFault::Gone)?
                .map_err(ReadFault::Spool)?,
        ))
    }

    /// Bytes read so far.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Whether all has been read.
    pub fn is_at_end(&self) -> bool {
        let inner = self.body.inner();
        inner.state == State::Whole && self.at == inner.came
    }

    fn look(&self) -> Result<Look, ReadFault> {
        let inner = self.body.inner();
        let after = inner
            .pieces
            .partition_point(|(begins, _)| *begins <= self.at);
        let piece = after.checked_sub(1).and_then(|n| inner.pieces.get(n));
        match piece.filter(|(begins, kept)| self.at < begins + kept.len()) {
            Some((begins, kept)) => Ok(Look::Piece(*begins, kept.clone())),
            None if self.at < inner.came => Err(ReadFault::Gone),
            None => match inner.state {
                State::Whole => Ok(Look::End),
                State::CutOff => Err(ReadFault::CutOff),
                State::Comes => Ok(Look::Wait),
            },
        }
    }
}

#[cfg(test)]
mod tests;
