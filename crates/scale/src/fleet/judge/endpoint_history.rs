//! What each gateway knows of each engine: the published endpoint updates, and how far each gateway has read them.

use crate::fleet::change_log::EndpointUpdate;
use crate::fleet::time::SimTime;
use garnetwall_subset::ListedState;

/// The latest update on an engine that a gateway has read.
#[derive(Clone, Copy, Debug)]
pub struct KnownEndpoint {
    pub state: ListedState,
    pub started: Option<SimTime>,
}

/// All published updates, and the entry up to which each gateway has read.
pub struct EndpointHistory {
    /// Updates of each engine, with the number of the log entry that held them.
    published: Vec<Vec<(usize, KnownEndpoint)>>,
    read_up_to: Vec<usize>,
}

impl EndpointHistory {
    pub fn new(gateways: usize) -> EndpointHistory {
        EndpointHistory {
            published: Vec::new(),
            read_up_to: vec![0; gateways],
        }
    }

    pub fn published(&mut self, sequence: usize, updates: &[EndpointUpdate]) {
        for update in updates {
            let engines = self.published.len().max(update.engine + 1);
            self.published.resize(engines, Vec::new());
            let known = KnownEndpoint {
                state: update.facts.state,
                started: update.started,
            };
            self.published[update.engine].push((sequence, known));
        }
    }

    pub fn read_up_to(&mut self, gateway: u32, sequence: usize) {
        self.read_up_to[gateway as usize] = sequence;
    }

    /// What the gateway knows of the engine; `None` if it has read no update on it.
    pub fn known(&self, gateway: u32, engine: usize) -> Option<KnownEndpoint> {
        let read_up_to = self.read_up_to[gateway as usize];
        self.published
            .get(engine)?
            .iter()
            .rev()
            .find(|(sequence, _)| *sequence <= read_up_to)
            .map(|(_, known)| *known)
    }
}
