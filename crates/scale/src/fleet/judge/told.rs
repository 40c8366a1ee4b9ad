//! What each gateway has been told of each engine: the log's history, and how far each gateway has read.

use super::super::change_log::ToldLine;
use super::super::time::SimTime;
use garnetwall_subset::ListedState;

/// The last line on an engine that a gateway has read.
#[derive(Clone, Copy, Debug)]
pub struct KnownLine {
    pub condition: ListedState,
    pub started: Option<SimTime>,
}

pub struct Told {
    /// Lines on each engine with the entry that brought them.
    history: Vec<Vec<(usize, KnownLine)>>,
    read: Vec<usize>,
}

impl Told {
    pub fn new(gateways: usize) -> Told {
        Told {
            history: Vec::new(),
            read: vec![0; gateways],
        }
    }

    pub fn published(&mut self, sequence: usize, lines: &[ToldLine]) {
        for line in lines {
            let engines = self.history.len().max(line.engine + 1);
            self.history.resize(engines, Vec::new());
            let known = KnownLine {
                condition: line.facts.state,
                started: line.started,
            };
            self.history[line.engine].push((sequence, known));
        }
    }

    pub fn read_up_to(&mut self, gateway: u32, sequence: usize) {
        self.read[gateway as usize] = sequence;
    }

    pub fn line(&self, gateway: u32, engine: usize) -> Option<KnownLine> {
        let read = self.read[gateway as usize];
        let lines = self.history.get(engine)?;
        lines
            .iter()
            .rev()
            .find(|(sequence, _)| *sequence <= read)
            .map(|(_, known)| *known)
    }
}
