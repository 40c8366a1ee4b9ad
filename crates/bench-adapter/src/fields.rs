//! Reads and writes the big-endian fields of the protocol.

use crate::protocol::outgoing;
use std::fmt;

/// Converts between times on the wire, in milliseconds, and times in the adapter, in seconds.
pub const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The length of a reply's header, in bytes: the number of its records and their length, 4 bytes each.
const REPLY_HEADER_BYTES: usize = 8;

/// The error for malformed input: a description and the position where it was found.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    pub description: String,
    /// The offset, in bytes, of the first byte that was not read yet. It counts from the start of the frame's body, or
    /// of the frame's header or a list's entries if the error is there.
    pub offset: usize,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at byte {} of the frame",
            self.description, self.offset
        )
    }
}

/// The result of reading a field or record.
pub type ReadResult<T> = Result<T, Malformed>;

/// The address of an engine: four bytes of IPv4 address and two of port, which the adapter copies without decoding
/// them.
pub type Address = [u8; 6];

/// Reads fields one after another. Each method takes the name of the field for error messages, and fails if fewer bytes
/// are left than the field needs.
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

    /// Returns an error at the current position, for a value that was just read.
    pub fn malformed<T>(&self, description: impl Into<String>) -> ReadResult<T> {
        Err(Malformed {
            description: description.into(),
            offset: self.offset,
        })
    }

    pub fn bytes(&mut self, count: usize, name: &str) -> ReadResult<&'a [u8]> {
        let remaining = &self.bytes[self.offset..];
        if remaining.len() < count {
            return self.malformed(format!(
                "{name}: {count} bytes expected, {} bytes left",
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

    /// Reads a time in milliseconds and returns it in seconds. A value that is not finite is an error.
    pub fn time(&mut self, name: &str) -> ReadResult<f64> {
        let milliseconds = self.f64(name)?;
        if !milliseconds.is_finite() {
            return self.malformed(format!("{name}: time is not finite"));
        }
        Ok(milliseconds / MILLISECONDS_PER_SECOND)
    }

    pub fn address(&mut self) -> ReadResult<Address> {
        self.array("engine address")
    }
}

/// Encodes one reply: its records, each preceded by a record that selects another instance where the instance changes.
#[derive(Default)]
pub struct ReplyWriter {
    records: u32,
    body: Vec<u8>,
    /// The instance of the last record; `None` before the first record.
    selected: Option<u16>,
}

impl ReplyWriter {
    /// Begins a record of an instance and returns the buffer, to which the caller appends the fields of the record.
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

    /// Returns the encoded reply: the header, then the records.
    pub fn to_frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        frame.extend(self.records.to_be_bytes());
        frame.extend((self.body.len() as u32).to_be_bytes());
        frame.extend(&self.body);
        frame
    }
}
