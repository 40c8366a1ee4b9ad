//! Engines as they really are: processes at addresses, what runs there, and what they answer.

use super::figures::{LONGEST_DEADLINE, POLL_HOLD, UNASKED_RUN};
use super::gateway::{Attempt, Call, Reply};
use super::World;
use garnetwall::api::QueryId;

/// A process of an engine as it really is. Its address is that of the slot; who listens there is found by time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process {
    pub(super) slot: usize,
    pub(super) up: u64,
    /// It refuses new connections from then on, and runs on.
    pub(super) drains: u64,
    pub(super) dies: u64,
    /// When the list tells that it is there, drains, and is gone.
    pub(super) told_up: u64,
    pub(super) told: u64,
    pub(super) told_gone: u64,
}

/// What happens to an address.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) cut: (u64, u64),
    pub(super) resets: Vec<u64>,
}

/// What an engine made of an attempt.
pub(super) struct Execution {
    pub(super) batch: QueryId,
    pub(super) process: usize,
    pub(super) from: u64,
    pub(super) ends: u64,
    pub(super) asked: u64,
    /// It ends then, where notes keep it running.
    pub(super) stops: u64,
    /// A call is held since then.
    pub(super) held: Option<u64>,
    pub(super) to: Option<u64>,
    pub(super) good: bool,
}

impl World {
    /// Engines: what ends by itself, with its process, or unasked.
    pub(super) fn engines(&mut self) {
        for r in self.executions.iter_mut().filter(|r| r.to.is_none()) {
            let p = &self.processes[r.process];
            // A call for news is answered by then, whether or not the answer comes through.
            if let Some(since) = r.held.filter(|since| self.now >= since + POLL_HOLD) {
                (r.asked, r.held) = (since + POLL_HOLD, None);
            }
            let unasked = match self.notes {
                true => self.now >= r.stops,
                false => r.held.is_none() && self.now >= r.asked + UNASKED_RUN,
            };
            r.good = self.now >= r.ends && self.now < p.dies;
            if self.now >= r.ends || self.now >= p.dies || unasked {
                r.to = Some(self.now);
            }
        }
        // What a cut, a reset or a dead process leaves of connections.
        let broken: Vec<usize> = (0..self.attempts.len())
            .filter(|n| self.loses(&self.attempts[*n]))
            .collect();
        for n in broken {
            let held = self.attempts[n].batch;
            let o = &mut self.attempts[n];
            self.executions
                .iter_mut()
                .filter(|r| r.batch == held && r.to.is_none())
                .for_each(|r| r.held = None);
            o.up = None;
        }
    }

    fn loses(&self, o: &Attempt) -> bool {
        o.up.is_some_and(|p| {
            let p = &self.processes[p];
            self.now >= p.dies
                || self.slots[p.slot].resets.contains(&self.now) && !self.is_cut(p.slot)
        })
    }

    /// A call has come whole to the process at the end of the connection.
    pub(super) fn arrives(&mut self, n: usize, call: Call) {
        let (now, Some(process)) = (self.now, self.attempts[n].up) else {
            return;
        };
        let batch = self.attempts[n].batch;
        match call {
            Call::Start if self.rng.one_in(15) => {}
            Call::Start => {
                let ends = now
                    + if self.rng.one_in(4) {
                        6000
                    } else {
                        self.rng.between(20, 900)
                    };
                self.judge_start(batch, process);
                let ran = Execution {
                    batch,
                    process,
                    from: now,
                    ends,
                    asked: now,
                    stops: now + LONGEST_DEADLINE,
                    held: Some(now),
                    to: None,
                    good: false,
                };
                self.executions.push(ran);
            }
            Call::News | Call::GiveUp => {
                let mine =
                    |r: &&mut Execution| r.batch == batch && r.process == process && r.to.is_none();
                if let Some(r) = self.executions.iter_mut().find(mine) {
                    match call {
                        Call::GiveUp => r.to = Some(now),
                        _ => (r.asked, r.held) = (now, Some(now)),
                    }
                }
            }
        }
    }

    /// What the process at the end of the connection answers by now.
    pub(super) fn reply(&mut self, n: usize, since: u64, call: Call) -> Option<Reply> {
        let (batch, process) = (self.attempts[n].batch, self.attempts[n].up?);
        if self.is_cut(self.processes[process].slot) {
            return None;
        }
        let mine = |r: &&Execution| r.batch == batch && r.process == process;
        let sent = self.attempts[n].sent;
        let spoilt = self.rng.one_in(40);
        let reply = match self
            .executions
            .iter()
            .rfind(mine)
            .filter(|r| r.from >= sent)
        {
            _ if call == Call::GiveUp => Reply::GivenUp,
            None if call == Call::Start => Reply::Full,
            None => Reply::Unknown,
            // It was answered when its time was up, however late the gateway gets to reading that.
            Some(r) if r.to.is_some_and(|to| to >= since + POLL_HOLD) => Reply::NotYet,
            Some(r) if r.good => Reply::Good,
            Some(r) if r.to.is_some() => Reply::Unknown,
            Some(_) if self.now >= since + POLL_HOLD => Reply::NotYet,
            Some(_) => return None,
        };
        Some(if spoilt { Reply::Spoilt } else { reply })
    }
}
