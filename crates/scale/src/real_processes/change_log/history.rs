//! Stores the change log's events and renders them for sending.

use crate::real_processes::endpoint_list::{event_data, EndpointList, PORT_PLACEHOLDER};
use bytes::Bytes;
use std::collections::VecDeque;

/// Number of events that are retained. A reader further behind gets the whole list.
const HISTORY_EVENTS: usize = 1_024;

/// An event of the change log.
pub struct PublishedEvent {
    pub number: u64,
    /// JSON data of the event, with [`PORT_PLACEHOLDER`] for the engines' port.
    pub data: String,
    /// The complete event as it is sent to watchers, without a port of the engines.
    pub rendered: Bytes,
    /// Injected fault: the gateway that never receives this event.
    pub withheld_from: Option<usize>,
}

/// The current endpoint list and the most recent events.
pub struct History {
    pub endpoint_list: EndpointList,
    pub last: u64,
    pub events: VecDeque<PublishedEvent>,
    /// Cache: the number of the last event and the data of a full-list event with that number.
    cached_whole_list: Option<(u64, String)>,
}

impl History {
    /// Creates a history whose first event, number 1, is the whole list.
    pub fn new(endpoint_list: EndpointList) -> History {
        let data = event_data(1, true, &endpoint_list.entries());
        History {
            endpoint_list,
            last: 1,
            events: VecDeque::new(),
            cached_whole_list: Some((1, data)),
        }
    }

    /// Appends an event and drops the oldest one if more than [`HISTORY_EVENTS`] are stored.
    pub fn push(&mut self, event: PublishedEvent) {
        self.last = event.number;
        self.events.push_back(event);
        if self.events.len() > HISTORY_EVENTS {
            self.events.pop_front();
        }
    }

    /// Data of an event that carries the whole list under the number of the last event.
    pub fn whole(&mut self) -> String {
        match &self.cached_whole_list {
            Some((number, data)) if *number == self.last => data.clone(),
            _ => {
                let data = event_data(self.last, true, &self.endpoint_list.entries());
                self.cached_whole_list = Some((self.last, data.clone()));
                data
            }
        }
    }
}

/// Replaces the placeholder in an event's data by the port at which the reader reaches the engines; by 1 if `port` is
/// 0, which watchers get because they open no connections to engines.
pub fn rendered_data(data: &str, port: u16) -> String {
    data.replace(PORT_PLACEHOLDER, &port.max(1).to_string())
}

/// Renders an event in the server-sent events format.
pub fn frame(number: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}
