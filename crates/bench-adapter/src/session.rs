//! The state of the adapter across frames: keeps the instances and endpoint lists, and dispatches the records of each
//! frame.

use crate::endpoints::{read_list, EndpointEntry};
use crate::events::read_event;
use crate::fields::{FieldReader, ReadResult, ReplyWriter};
use crate::frame::Frame;
use crate::instance::Instance;
use crate::protocol::{incoming, list_kind};
use garnetwall::api::ListScope;
use std::collections::BTreeMap;

/// The instances that a frame selects.
#[derive(Default)]
struct Selection {
    /// The instance that the next records are for; `None` before the first selection.
    current: Option<u16>,
    /// The instances that were selected, each once, in the order of their first selection.
    instances: Vec<u16>,
}

impl Selection {
    fn select(&mut self, instance: u16) {
        self.current = Some(instance);
        if !self.instances.contains(&instance) {
            self.instances.push(instance);
        }
    }
}

/// The attached instances and the endpoint lists that the simulator has sent.
#[derive(Default)]
pub struct Session {
    /// The attached instances, by their number on the wire.
    instances: BTreeMap<u16, Instance>,
    /// The endpoint lists, by their number on the wire.
    endpoint_lists: BTreeMap<u32, Vec<EndpointEntry>>,
}

impl Session {
    /// Applies the records of a frame in their order, then collects the actions of the selected instances. Returns the
    /// encoded reply.
    ///
    /// # Errors
    ///
    /// A record is malformed, or the body has fewer or more records than the header announces.
    pub fn process(&mut self, frame: &Frame) -> ReadResult<Vec<u8>> {
        let mut fields = FieldReader::new(&frame.body);
        let mut selection = Selection::default();
        for found in 0..frame.records {
            if fields.is_empty() {
                let announced = frame.records;
                return fields.malformed(format!(
                    "{announced} records announced in the header, {found} found"
                ));
            }
            self.process_record(&mut selection, frame.clock, &mut fields)?;
        }
        if !fields.is_empty() {
            return fields.malformed("unexpected bytes after the last record");
        }
        Ok(self.build_reply(&selection.instances, frame.clock))
    }

    /// Returns the encoded reply with the actions of these instances, except those that are not attached.
    fn build_reply(&mut self, instances: &[u16], clock: f64) -> Vec<u8> {
        let mut reply = ReplyWriter::default();
        for number in instances {
            if let Some(instance) = self.instances.get_mut(number) {
                instance.write_actions(*number, clock, &mut reply);
            }
        }
        reply.to_frame()
    }

    fn process_record(
        &mut self,
        selection: &mut Selection,
        clock: f64,
        fields: &mut FieldReader,
    ) -> ReadResult<()> {
        match fields.u8("record code")? {
            incoming::SELECT_INSTANCE => {
                selection.select(fields.u16("instance")?);
                Ok(())
            }
            incoming::ENDPOINT_LIST => {
                let number = fields.u32("list number")?;
                let list = read_list(fields)?;
                self.endpoint_lists.insert(number, list);
                Ok(())
            }
            code => match selection.current {
                Some(instance) => self.process_instance_record(instance, code, clock, fields),
                None => fields.malformed(format!(
                    "record with code {code} comes before any instance is selected"
                )),
            },
        }
    }

    fn process_instance_record(
        &mut self,
        number: u16,
        code: u8,
        clock: f64,
        fields: &mut FieldReader,
    ) -> ReadResult<()> {
        match code {
            incoming::ATTACH_INSTANCE => self.attach(number, clock, fields),
            incoming::DETACH_INSTANCE => {
                self.instances.remove(&number);
                Ok(())
            }
            incoming::ENDPOINTS => self.update_endpoints(number, fields),
            _ => self.process_event(number, code, clock, fields),
        }
    }

    /// Decodes an event and applies it to the instance. Ignores it if the instance is not attached.
    fn process_event(
        &mut self,
        number: u16,
        code: u8,
        clock: f64,
        fields: &mut FieldReader,
    ) -> ReadResult<()> {
        let event = read_event(code, fields)?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Ok(());
        };
        match instance.apply(event, clock) {
            Ok(()) => Ok(()),
            Err(error) => fields.malformed(error.to_string()),
        }
    }

    fn attach(&mut self, number: u16, clock: f64, fields: &mut FieldReader) -> ReadResult<()> {
        let seed = fields.u64("seed")?;
        let length = fields.u32("settings length")? as usize;
        let bytes = fields.bytes(length, "settings")?;
        let Ok(text) = std::str::from_utf8(bytes) else {
            return fields.malformed("settings: not valid UTF-8");
        };
        match Instance::new(seed, text, clock) {
            Ok(instance) => {
                self.instances.insert(number, instance);
                Ok(())
            }
            Err(error) => fields.malformed(error.to_string()),
        }
    }

    fn update_endpoints(&mut self, number: u16, fields: &mut FieldReader) -> ReadResult<()> {
        let kind = fields.u8("list kind")?;
        fields.u32("list version")?;
        let list_number = fields.u32("list number")?;
        if kind > list_kind::FAILED {
            return fields.malformed(format!("unknown list kind {kind}"));
        }
        let instance = self.instances.get_mut(&number);
        if kind == list_kind::FAILED {
            if let Some(instance) = instance {
                instance.endpoint_list_failed();
            }
            return Ok(());
        }
        let Some(list) = self.endpoint_lists.get(&list_number) else {
            return fields.malformed(format!("endpoint list {list_number} has not been sent"));
        };
        if let Some(instance) = instance {
            let scope = match kind {
                list_kind::CHANGES => ListScope::Delta,
                _ => ListScope::Full,
            };
            instance.update_endpoints(list, scope);
        }
        Ok(())
    }
}
