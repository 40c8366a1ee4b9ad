//! Reading and writing the wire's big-endian fields.

use crate::protocol::outgoing;
use std::fmt;

/// Times are milliseconds on the wire, and seconds here.
pub const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// Bytes of a reply before its records: how many these are, and their bytes.
const REPLY_HEADER_BYTES: usize = 8;

/// What was wrong with the input, and at which byte of its frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    pub what: String,
    /// Byte of the frame's body.
    pub offset: usize,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the frame", self.what, self.offset)
    }
}

/// A field or record that was read.
pub type ReadResult<T> = Result<T, Malformed>;

/// Four bytes of address and a port, given back as they came.
pub type Address = [u8; 6];

/// Reads fields one after another; each is named for error messages.
pub struct FieldReader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> FieldReader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { bytes, offset: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.offset == self.bytes.len()
    }

    /// Says that what was just read is wrong.
    pub fn malformed<T>(&self, what: impl Into<String>) -> ReadResult<T> {
        Err(Malformed {
            what: what.into(),
            offset: self.offset,
        })
    }

    pub fn bytes(&mut self, count: usize, name: &str) -> ReadResult<&'a [u8]> {
        let remaining = &self.bytes[self.offset..];
        if remaining.len() < count {
            return self.malformed(format!(
                "{name}: {count} bytes expected, {} left",
                remaining.len()
            ));
        }
        self.offset += count;
        Ok(&remaining[..count])
    }

    fn array<const N: usize>(&mut self, name: &str) -> ReadResult<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, name)?);
        Ok(array)
    }

    pub fn u8(&mut self, name: &str) -> ReadResult<u8> {
        Ok(self.array::<1>(name)?[0])
    }

    pub fn u16(&mut self, name: &str) -> ReadResult<u16> {
        Ok(u16::from_be_bytes(self.array(name)?))
    }

    pub fn u32(&mut self, name: &str) -> ReadResult<u32> {
        Ok(u32::from_be_bytes(self.array(name)?))
    }

    pub fn u64(&mut self, name: &str) -> ReadResult<u64> {
        Ok(u64::from_be_bytes(self.array(name)?))
    }

    pub fn f32(&mut self, name: &str) -> ReadResult<f64> {
        Ok(f64::from(f32::from_be_bytes(self.array(name)?)))
    }

    pub fn f64(&mut self, name: &str) -> ReadResult<f64> {
        Ok(f64::from_be_bytes(self.array(name)?))
    }

    /// A time in seconds; one that is not finite is malformed.
    pub fn time(&mut self, name: &str) -> ReadResult<f64> {
        let milliseconds = self.f64(name)?;
        if !milliseconds.is_finite() {
            return self.malformed(format!("{name}: not a finite time"));
        }
        Ok(milliseconds / MILLISECONDS_PER_SECOND)
    }

    pub fn address(&mut self) -> ReadResult<Address> {
        self.array("engine address")
    }
}

/// One reply: its records, and which instance they are for.
#[derive(Default)]
pub struct ReplyWriter {
    records: u32,
    body: Vec<u8>,
    /// The instance of the records that follow.
    selected: Option<u16>,
}

impl ReplyWriter {
    /// Begins a record of an instance; the caller adds its fields to what is returned.
    pub fn begin_record(&mut self, instance: u16, code: u8) -> &mut Vec<u8> {
        if self.selected != Some(instance) {
            self.selected = Some(instance);
            self.records += 1;
            self.body.push(outgoing::SELECT_INSTANCE);
            self.body.extend(instance.to_be_bytes());
        }
        self.records += 1;
        self.body.push(code);
        &mut self.body
    }

    /// The reply with its header.
    pub fn to_frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        frame.extend(self.records.to_be_bytes());
        frame.extend((self.body.len() as u32).to_be_bytes());
        frame.extend(&self.body);
        frame
    }
}
