//! The events of the log, as they are stored and as they are sent.

use crate::real_processes::endpoint_list::{event_data, EndpointList, PORT_PLACEHOLDER};
use bytes::Bytes;
use std::collections::VecDeque;

/// Events that are retained; a reader further behind gets the whole list.
const HISTORY_EVENTS: usize = 1_024;

/// An event as the log stores it.
pub struct PublishedEvent {
    pub number: u64,
    /// With a placeholder for the engines' port.
    pub data: String,
    /// As watchers get it.
    pub rendered: Bytes,
    /// A gateway that never receives it, an injected fault.
    pub withheld_from: Option<usize>,
}

/// The list, and the events that led to it.
pub struct History {
    pub endpoint_list: EndpointList,
    pub last: u64,
    pub events: VecDeque<PublishedEvent>,
    /// The whole list at the last event, while nothing has changed since it was made.
    whole: Option<(u64, String)>,
}

impl History {
    /// A history whose first event is the whole list.
    pub fn new(endpoint_list: EndpointList) -> History {
        let data = event_data(1, true, &endpoint_list.entries());
        History {
            endpoint_list,
            last: 1,
            events: VecDeque::new(),
            whole: Some((1, data)),
        }
    }

    /// Adds an event as the last one.
    pub fn push(&mut self, event: PublishedEvent) {
        self.last = event.number;
        self.events.push_back(event);
        if self.events.len() > HISTORY_EVENTS {
            self.events.pop_front();
        }
    }

    /// Data of the event that brings a reader up to date at once.
    pub fn whole(&mut self) -> String {
        match &self.whole {
            Some((number, data)) if *number == self.last => data.clone(),
            _ => {
                let data = event_data(self.last, true, &self.endpoint_list.entries());
                self.whole = Some((self.last, data.clone()));
                data
            }
        }
    }
}

/// An event's data for a reader that reaches the engines at this port.
pub fn rendered_data(data: &str, port: u16) -> String {
    data.replace(PORT_PLACEHOLDER, &port.max(1).to_string())
}

/// An event as it is sent.
pub fn frame(number: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}
