//! Tracks what each gateway knows of each engine, from the published endpoint updates and the last entry that each
//! gateway has read.

use crate::fleet::change_log::EndpointUpdate;
use crate::fleet::time::SimTime;
use garnetwall_subset::ListedState;

/// The state of an engine according to the latest update that a gateway has read.
#[derive(Clone, Copy, Debug)]
pub struct KnownEndpoint {
    pub state: ListedState,
    /// Published start of the engine's process, if known.
    pub started: Option<SimTime>,
}

/// All published endpoint updates, and the number of the last entry that each gateway has read.
pub struct EndpointHistory {
    /// Updates of each engine in order of publication, with the numbers of their log entries.
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

    /// Returns the gateway's knowledge of an engine; `None` if it has read no update of that engine.
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
