//! Reading and writing the wire's big-endian fields.

use std::fmt;

/// What was wrong with the input, and at which byte of its frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    pub what: String,
    pub at: usize,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {} of the frame", self.what, self.at)
    }
}

pub type Read<T> = Result<T, Malformed>;

pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, at: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn fault<T>(&self, what: impl Into<String>) -> Read<T> {
        Err(Malformed {
            what: what.into(),
            at: self.at,
        })
    }

    pub fn take(&mut self, n: usize, what: &str) -> Read<&'a [u8]> {
        let rest = &self.bytes[self.at..];
        if rest.len() < n {
            return self.fault(format!("{what}: {n} bytes expected, {} left", rest.len()));
        }
        self.at += n;
        Ok(&rest[..n])
    }

    fn array<const N: usize>(&mut self, what: &str) -> Read<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N, what)?);
        Ok(out)
    }

    pub fn u8(&mut self, what: &str) -> Read<u8> {
        Ok(self.array::<1>(what)?[0])
    }

    pub fn u16(&mut self, what: &str) -> Read<u16> {
        Ok(u16::from_be_bytes(self.array(what)?))
    }

    pub fn u32(&mut self, what: &str) -> Read<u32> {
        Ok(u32::from_be_bytes(self.array(what)?))
    }

    pub fn u64(&mut self, what: &str) -> Read<u64> {
        Ok(u64::from_be_bytes(self.array(what)?))
    }

    pub fn f32(&mut self, what: &str) -> Read<f64> {
        Ok(f64::from(f32::from_be_bytes(self.array(what)?)))
    }

    pub fn f64(&mut self, what: &str) -> Read<f64> {
        Ok(f64::from_be_bytes(self.array(what)?))
    }

    /// Milliseconds on the wire, seconds here; a number that is none is malformed.
    pub fn time(&mut self, what: &str) -> Read<f64> {
        let ms = self.f64(what)?;
        if !ms.is_finite() {
            return self.fault(format!("{what}: not a finite time"));
        }
        Ok(ms / 1000.0)
    }

    pub fn address(&mut self) -> Read<Address> {
        self.array("engine address")
    }
}

/// Four bytes of address and a port, given back as they came.
pub type Address = [u8; 6];

/// One reply: its records, and which instance they are for.
#[derive(Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
    current: Option<u16>,
}

impl Reply {
    pub fn record(&mut self, instance: u16, code: u8) -> &mut Vec<u8> {
        if self.current != Some(instance) {
            self.current = Some(instance);
            self.records += 1;
            self.body.push(14);
            self.body.extend(instance.to_be_bytes());
        }
        self.records += 1;
        self.body.push(code);
        &mut self.body
    }

    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend(self.records.to_be_bytes());
        out.extend((self.body.len() as u32).to_be_bytes());
        out.extend(&self.body);
        out
    }
}
