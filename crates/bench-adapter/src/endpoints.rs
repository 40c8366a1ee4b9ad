//! The endpoint lists of the wire.

use crate::fields::{Address, FieldReader, Malformed, ReadResult};
use garnetwall::api::EndpointState;

/// Bytes of one entry of an endpoint list.
const ENTRY_BYTES: usize = 25;

/// One engine of an endpoint list.
#[derive(Clone)]
pub struct EndpointEntry {
    pub address: Address,
    pub zone: u32,
    /// In seconds on the bench's clock.
    pub started_at: Option<f64>,
    pub kind: usize,
    pub cell: u32,
    pub state: EndpointState,
}

/// Reads a list: its length, then its entries.
pub fn read_list(fields: &mut FieldReader) -> ReadResult<Vec<EndpointEntry>> {
    let entries = fields.u32("list length")? as usize;
    let bytes = entries.checked_mul(ENTRY_BYTES).ok_or(Malformed {
        what: "list length: impossible".into(),
        offset: 0,
    })?;
    let mut entry_fields = FieldReader::new(fields.bytes(bytes, "list entries")?);
    (0..entries)
        .map(|_| read_entry(&mut entry_fields))
        .collect()
}

fn read_entry(fields: &mut FieldReader) -> ReadResult<EndpointEntry> {
    fields.f32("size")?;
    let address = fields.address()?;
    let zone = u32::from(fields.u16("zone")?);
    let started_at = Some(fields.time("start time")?).filter(|time| *time != 0.0);
    let kind = usize::from(fields.u16("kind")?);
    let cell = u32::from(fields.u16("cell")?);
    let state = match fields.u8("condition")? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return fields.malformed(format!("unknown condition {other}")),
    };
    Ok(EndpointEntry {
        address,
        zone,
        started_at,
        kind,
        cell,
        state,
    })
}
