//! Reads frames: a header of 16 bytes with the length of the body, the number of records and the time, then the body.

use crate::fields::{FieldReader, Malformed};
use std::fmt;
use std::io::{self, ErrorKind, Read};

const HEADER_BYTES: usize = 16;
/// The largest number of bytes that are allocated and read at a time, so that a large value in the length field alone
/// does not make the adapter allocate that much memory.
const CHUNK_BYTES: usize = 1 << 20;

/// A frame whose records are not decoded yet.
#[derive(Debug)]
pub struct Frame {
    /// The number of records, as announced in the header.
    pub records: u32,
    /// The time on the simulator's clock, in seconds.
    pub clock: f64,
    /// The encoded records.
    pub body: Vec<u8>,
}

/// The error that ends the adapter.
#[derive(Debug)]
pub enum AdapterError {
    /// A field or record does not follow the protocol.
    Malformed(Malformed),
    /// The input ended within a header, after `read` bytes of it.
    ShortHeader { read: usize },
    /// The input ended within a body, after `read` of its `announced` bytes.
    ShortBody { announced: usize, read: usize },
    /// The input could not be read.
    Input(io::Error),
    /// The reply could not be written.
    Reply(io::Error),
    /// An error in reading or processing the frame with this number, from 0.
    InFrame(u64, Box<AdapterError>),
}

impl AdapterError {
    pub fn in_frame(self, number: u64) -> Self {
        AdapterError::InFrame(number, Box::new(self))
    }
}

impl From<Malformed> for AdapterError {
    fn from(malformed: Malformed) -> Self {
        AdapterError::Malformed(malformed)
    }
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Malformed(malformed) => malformed.fmt(f),
            AdapterError::ShortHeader { read } => {
                write!(
                    f,
                    "header truncated: {HEADER_BYTES} bytes expected, input ends after {read}"
                )
            }
            AdapterError::ShortBody { announced, read } => {
                write!(
                    f,
                    "body truncated: {announced} bytes announced, input ends after {read}"
                )
            }
            AdapterError::Input(error) => write!(f, "cannot read the input: {error}"),
            AdapterError::Reply(error) => write!(f, "cannot write the reply: {error}"),
            AdapterError::InFrame(number, error) => write!(f, "frame {number}: {error}"),
        }
    }
}

impl std::error::Error for AdapterError {}

/// Reads one frame. Returns `None` if the input ends before its first byte.
///
/// # Errors
///
/// The input cannot be read, ends within the frame, or its header is malformed.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, AdapterError> {
    let mut header = [0u8; HEADER_BYTES];
    let read = fill(input, &mut header)?;
    if read == 0 {
        return Ok(None);
    }
    if read < HEADER_BYTES {
        return Err(AdapterError::ShortHeader { read });
    }
    let mut fields = FieldReader::new(&header);
    let length = fields.u32("body length")? as usize;
    let records = fields.u32("record count")?;
    let clock = fields.time("clock")?;
    Ok(Some(Frame {
        records,
        clock,
        body: read_body(input, length)?,
    }))
}

fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::new();
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + CHUNK_BYTES), 0);
        let read = fill(input, &mut body[start..])?;
        if start + read < body.len() {
            return Err(AdapterError::ShortBody {
                announced: length,
                read: start + read,
            });
        }
    }
    Ok(body)
}

/// Reads until the buffer is full or the input ends; returns how many bytes it read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, AdapterError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Input(error)),
        }
    }
    Ok(filled)
}
