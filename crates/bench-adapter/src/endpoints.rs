//! Decodes endpoint lists of the protocol.

use crate::fields::{Address, FieldReader, Malformed, ReadResult};
use garnetwall::api::EndpointState;

/// The length of one entry of an endpoint list, in bytes.
const ENTRY_BYTES: usize = 25;

/// An entry of an endpoint list, which describes one engine.
#[derive(Clone)]
pub struct EndpointEntry {
    pub address: Address,
    pub zone: u32,
    /// The start time in seconds on the simulator's clock; `None` if the record has 0.
    pub started_at: Option<f64>,
    pub kind: usize,
    pub cell: u32,
    pub state: EndpointState,
}

/// Reads an endpoint list: the number of entries, then the entries. Fails if the list is longer than the frame or an
/// entry is malformed.
pub fn read_list(fields: &mut FieldReader) -> ReadResult<Vec<EndpointEntry>> {
    let entries = fields.u32("list length")? as usize;
    let bytes = entries.checked_mul(ENTRY_BYTES).ok_or(Malformed {
        description: "list length: too many entries".into(),
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
    let state = match fields.u8("engine state")? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return fields.malformed(format!("unknown engine state {other}")),
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
