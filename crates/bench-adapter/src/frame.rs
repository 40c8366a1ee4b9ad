//! Frames: a header of 16 bytes, then records.

use crate::fields::{FieldReader, Malformed};
use std::fmt;
use std::io::{self, ErrorKind, Read};

const HEADER_BYTES: usize = 16;
/// Bytes read at a time, so that a length field alone never makes the adapter allocate.
const CHUNK_BYTES: usize = 1 << 20;

/// A frame as it was read.
#[derive(Debug)]
pub struct Frame {
    /// Number of records that the header announces.
    pub records: u32,
    /// The bench's clock, in seconds.
    pub clock: f64,
    pub body: Vec<u8>,
}

/// Why the adapter stops.
#[derive(Debug)]
pub enum AdapterError {
    /// A field or record is not as the wire has it.
    Malformed(Malformed),
    /// The input ended within a header.
    ShortHeader { read: usize },
    /// The input ended within a body.
    ShortBody { announced: usize, read: usize },
    /// The input could not be read.
    Input(io::Error),
    /// The reply could not be written.
    Reply(io::Error),
    /// What was wrong with a frame, by its number from 0.
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
                    "header: {HEADER_BYTES} bytes expected, input ends after {read}"
                )
            }
            AdapterError::ShortBody { announced, read } => {
                write!(
                    f,
                    "body: {announced} bytes announced, input ends after {read}"
                )
            }
            AdapterError::Input(error) => write!(f, "input: {error}"),
            AdapterError::Reply(error) => write!(f, "reply: {error}"),
            AdapterError::InFrame(number, error) => write!(f, "frame {number}: {error}"),
        }
    }
}

impl std::error::Error for AdapterError {}

/// One frame, or `None` where the input ends between two frames.
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
    let length = fields.u32("length")? as usize;
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
