//! The true state of the engines: the processes at each address, the attempts that run there, and the replies to the
//! gateway.

use super::figures::{LONGEST_DEADLINE, POLL_HOLD, UNPOLLED_LIFETIME};
use super::gateway::{Attempt, Call, Reply};
use super::Simulation;
use garnetwall::api::QueryId;

/// An engine process. Its address is that of its slot; several processes may listen at one address, one after another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Process {
    pub(super) slot: usize,
    pub(super) started_at: u64,
    /// When the process begins to refuse new connections, while its attempts run on.
    pub(super) refuses_from: u64,
    pub(super) killed_at: u64,
    /// When the endpoint list shows the process as serving; the next two fields say when as draining and as removed.
    pub(super) listed_at: u64,
    pub(super) draining_listed_at: u64,
    pub(super) removal_listed_at: u64,
}

/// Times at which an address is partitioned and at which its connections are reset.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) partition: (u64, u64),
    pub(super) resets: Vec<u64>,
}

/// An attempt as the engine ran it.
pub(super) struct Execution {
    pub(super) query: QueryId,
    pub(super) process: usize,
    pub(super) started_at: u64,
    pub(super) ends_at: u64,
    pub(super) polled_at: u64,
    /// When the attempt ends for lack of polls, if progress reports keep it running.
    pub(super) progress_until: u64,
    /// When the poll in flight began, if there is one.
    pub(super) poll_since: Option<u64>,
    pub(super) ended_at: Option<u64>,
    pub(super) succeeded: bool,
}

impl Simulation {
    /// Ends executions that complete, that die with their process or that are not polled, and breaks connections.
    pub(super) fn advance_engines(&mut self) {
        for run in self
            .executions
            .iter_mut()
            .filter(|run| run.ended_at.is_none())
        {
            let process = &self.processes[run.process];
            // The poll is answered at the end of its hold time, whether or not the gateway receives the answer.
            if let Some(since) = run.poll_since.filter(|since| self.now >= since + POLL_HOLD) {
                (run.polled_at, run.poll_since) = (since + POLL_HOLD, None);
            }
            let unpolled = match self.reports_progress {
                true => self.now >= run.progress_until,
                false => run.poll_since.is_none() && self.now >= run.polled_at + UNPOLLED_LIFETIME,
            };
            run.succeeded = self.now >= run.ends_at && self.now < process.killed_at;
            if self.now >= run.ends_at || self.now >= process.killed_at || unpolled {
                run.ended_at = Some(self.now);
            }
        }
        // Connections that a reset or the end of a process breaks.
        let broken_connections: Vec<usize> = (0..self.attempts.len())
            .filter(|n| self.connection_breaks(&self.attempts[*n]))
            .collect();
        for n in broken_connections {
            let query = self.attempts[n].query;
            let attempt = &mut self.attempts[n];
            self.executions
                .iter_mut()
                .filter(|run| run.query == query && run.ended_at.is_none())
                .for_each(|run| run.poll_since = None);
            attempt.connected_to = None;
        }
    }

    fn connection_breaks(&self, attempt: &Attempt) -> bool {
        attempt.connected_to.is_some_and(|process| {
            let process = &self.processes[process];
            self.now >= process.killed_at
                || self.slots[process.slot].resets.contains(&self.now)
                    && !self.is_partitioned(process.slot)
        })
    }

    /// Handles a request that has arrived complete at the process of the attempt's connection. A start may be lost.
    pub(super) fn request_arrives(&mut self, n: usize, call: Call) {
        let (now, Some(process)) = (self.now, self.attempts[n].connected_to) else {
            return;
        };
        let query = self.attempts[n].query;
        match call {
            Call::Start if self.rng.one_in(15) => {}
            Call::Start => {
                let ends_at = now
                    + if self.rng.one_in(4) {
                        6000
                    } else {
                        self.rng.between(20, 900)
                    };
                self.check_start(query, process);
                let execution = Execution {
                    query,
                    process,
                    started_at: now,
                    ends_at,
                    polled_at: now,
                    progress_until: now + LONGEST_DEADLINE,
                    poll_since: Some(now),
                    ended_at: None,
                    succeeded: false,
                };
                self.executions.push(execution);
            }
            Call::Poll | Call::Cancel => {
                let matches = |run: &&mut Execution| {
                    run.query == query && run.process == process && run.ended_at.is_none()
                };
                if let Some(run) = self.executions.iter_mut().find(matches) {
                    match call {
                        Call::Cancel => run.ended_at = Some(now),
                        _ => (run.polled_at, run.poll_since) = (now, Some(now)),
                    }
                }
            }
        }
    }

    /// Returns the reply that the connected process has sent by now, if any, to a call made at `since`.
    pub(super) fn reply(&mut self, n: usize, since: u64, call: Call) -> Option<Reply> {
        let (query, process) = (self.attempts[n].query, self.attempts[n].connected_to?);
        if self.is_partitioned(self.processes[process].slot) {
            return None;
        }
        let matches = |run: &&Execution| run.query == query && run.process == process;
        let sent = self.attempts[n].sent;
        let corrupted = self.rng.one_in(40);
        let reply = match self
            .executions
            .iter()
            .rfind(matches)
            .filter(|run| run.started_at >= sent)
        {
            _ if call == Call::Cancel => Reply::Cancelled,
            None if call == Call::Start => Reply::Rejected,
            None => Reply::Unknown,
            // The poll was answered at the end of its hold time, however late the gateway reads the answer.
            Some(run) if run.ended_at.is_some_and(|to| to >= since + POLL_HOLD) => Reply::Running,
            Some(run) if run.succeeded => Reply::Succeeded,
            Some(run) if run.ended_at.is_some() => Reply::Unknown,
            Some(_) if self.now >= since + POLL_HOLD => Reply::Running,
            Some(_) => return None,
        };
        Some(if corrupted { Reply::Corrupted } else { reply })
    }
}
