//! Reads a body from its start to its end, while it may still be arriving.

use crate::body::{Body, Retention};
use crate::capacity::Storage;
use crate::content::ReceiveState;
use crate::piece::{Piece, PieceData};
use crate::spool::SpoolError;
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use tokio::task::spawn_blocking;

/// Reason why a body could not be read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The bytes at the reader's position were discarded, or the task that reads the spool file failed.
    Discarded,
    /// The writer stopped before the end of the body.
    Truncated,
    /// The spool file could not be read, or a piece in it is damaged.
    Spool(SpoolError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Discarded => f.write_str("the next bytes of the body were discarded"),
            ReadError::Truncated => f.write_str("the body is incomplete: its writer stopped"),
            ReadError::Spool(error) => write!(f, "reading a stored body failed: {error}"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Attempt that reads a body: the first one of the query or a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBy {
    /// The first attempt.
    FirstAttempt,
    /// A later attempt. Its read is counted in [`retry_reads`](crate::Counts::retry_reads).
    Retry,
}

/// Reads a body for one attempt, and holds the position of that attempt.
pub struct Reader {
    body: Arc<Body>,
    /// Offset in bytes of the next byte to read.
    position: u64,
}

/// Result of looking up the piece at a reader's position.
enum Lookup {
    Found(Piece),
    /// The position is at the end of a complete body.
    End,
    NotYetReceived,
}

impl Body {
    /// Opens a reader at the start of the body. Only one reader at a time may read a body.
    ///
    /// # Errors
    ///
    /// [`ReadError::Discarded`] if the start of the body was discarded.
    pub fn reader(self: &Arc<Self>, read_by: ReadBy) -> Result<Reader, ReadError> {
        if !self.rewind() {
            self.resources
                .count(self.class, Storage::NotStored, |counts| {
                    counts.discarded += 1;
                });
            return Err(ReadError::Discarded);
        }
        if read_by == ReadBy::Retry {
            self.resources.count(self.class, self.storage(), |counts| {
                counts.retry_reads += 1;
            });
        }
        Ok(Reader {
            body: self.clone(),
            position: 0,
        })
    }

    /// Resets the read position for a new reader. Returns false if the start of the body was discarded.
    fn rewind(&self) -> bool {
        let mut content = self.content();
        if content.has_start {
            content.read_bytes = 0;
        }
        content.has_start
    }
}

impl Reader {
    /// Waits for the next bytes and returns them; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The body is truncated, discarded or damaged, or the spool file cannot be read. The bytes read so far are then
    /// not the whole body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        let Some(Piece { offset, data }) = self.wait_for_piece().await? else {
            return Ok(None);
        };
        let piece = match &*data {
            PieceData::Memory(bytes) => bytes.clone(),
            PieceData::File { .. } => self.read_from_spool(data.clone()).await?,
        };
        // Drop this reference first: `advance` may discard the piece, which frees its slot only if no other reference
        // exists.
        drop(data);
        let bytes = piece.slice((self.position - offset) as usize..);
        self.advance(bytes.len() as u64);
        Ok(Some(bytes))
    }

    /// Returns the number of bytes read so far.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether the body is complete and was read to its end.
    pub fn is_at_end(&self) -> bool {
        let content = self.body.content();
        content.state == ReceiveState::Complete && self.position == content.readable_bytes
    }

    /// Waits for the piece at the position and returns it; `None` at the end of the body.
    async fn wait_for_piece(&self) -> Result<Option<Piece>, ReadError> {
        loop {
            let changed = self.body.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match self.look_up()? {
                Lookup::Found(piece) => return Ok(Some(piece)),
                Lookup::End => return Ok(None),
                Lookup::NotYetReceived => changed.await,
            }
        }
    }

    /// Finds the piece at the position, without waiting.
    fn look_up(&self) -> Result<Lookup, ReadError> {
        let content = self.body.content();
        let following = content
            .pieces
            .partition_point(|piece| piece.offset <= self.position);
        let piece = following
            .checked_sub(1)
            .and_then(|index| content.pieces.get(index))
            .filter(|piece| self.position < piece.end());
        if let Some(piece) = piece {
            return Ok(Lookup::Found(piece.clone()));
        }
        if self.position < content.readable_bytes {
            return Err(ReadError::Discarded);
        }
        match content.state {
            ReceiveState::Complete => Ok(Lookup::End),
            ReceiveState::Truncated => Err(ReadError::Truncated),
            ReceiveState::Receiving => Ok(Lookup::NotYetReceived),
        }
    }

    /// Reads a piece from the spool file, on a thread of the runtime's pool for blocking tasks.
    async fn read_from_spool(&self, data: Arc<PieceData>) -> Result<Bytes, ReadError> {
        let Some(spool) = self.body.resources.spool.clone() else {
            return Err(ReadError::Discarded);
        };
        let body = self.body.body_id.0;
        let reading = spawn_blocking(move || {
            let read = match &*data {
                PieceData::File {
                    slot,
                    number,
                    length,
                } => spool.read(slot, body, *number, *length),
                PieceData::Memory(bytes) => Ok(bytes.to_vec()),
            };
            // Free the slot if the body discarded the piece during the read.
            PieceData::free(data, Some(&spool));
            read
        });
        let read = reading.await.map_err(|_| ReadError::Discarded)?;
        read.map(Bytes::from).map_err(ReadError::Spool)
    }

    /// Advances the position by `bytes`. Stops storing a body that is kept only until it is read, and discards the read
    /// pieces of a body that is not stored.
    fn advance(&mut self, bytes: u64) {
        self.position += bytes;
        self.body.content().read_bytes = self.position;
        if self.body.retention == Retention::UntilRead && self.body.storage() != Storage::NotStored
        {
            self.body.stop_storing();
        }
        if self.body.storage() == Storage::NotStored {
            self.body.discard_read();
        }
        self.body.changed.notify_waiters();
    }
}
