//! Random faults of one gateway process: calls of the system that fail for a while, and times without processor time.

use super::faults::Faults;
use super::process::ms;
use super::seeds::Random;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};

/// Faults that keep the gateway from accepting connections. Each comes with the longest time for which it lasts, in
/// milliseconds.
const ACCEPT_FAULTS: [(&str, &str, u64); 13] = [
    ("accept", "1", 700),
    ("accept", "2", 700),
    ("accept", "1 4", 700),
    ("accept", "1 12", 700),
    ("accept", "1 23", 700),
    ("accept", "1 24", 700),
    ("accept", "1 71", 700),
    ("accept", "1 103", 700),
    ("accept", "1 105", 700),
    ("poll", "1 12", 700),
    ("fcntl", "1 12", 300),
    ("epoll-add", "1 12", 300),
    ("epoll-add", "2 28", 700),
];
/// Other faults. Where calls on open connections fail, answers are late by as much.
const OTHER_FAULTS: [(&str, &str, u64); 15] = [
    ("tcp-info", "1 4", 900),
    ("tcp-info", "3 4", 900),
    ("tcp-info-error", "1 22", 900),
    ("tcp-info-error", "2 105", 900),
    ("broken", "3 12", 300),
    ("broken", "2 105", 300),
    ("eintr", "1", 100),
    ("eintr", "2", 900),
    ("short", "2", 900),
    ("waits", "2", 900),
    ("setsockopt", "2 105", 900),
    ("socket", "1 23", 200),
    ("connect", "1 99", 200),
    ("connect", "2 101", 900),
    ("threads", "1 11", 900),
];
/// Longest time for which a process is stopped, in milliseconds.
const MAX_STALL_MS: u64 = 300;

/// What a schedule does to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Accept,
    Other,
    Stall,
}

/// A running schedule.
pub struct FaultSchedule {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// A fault directory that several schedules use: one of them at a time enables a fault of a name.
#[derive(Clone)]
pub struct SharedFaults {
    pub faults: Faults,
    enabled: Arc<Mutex<Vec<&'static str>>>,
}

impl SharedFaults {
    pub fn new() -> SharedFaults {
        SharedFaults {
            faults: Faults::new(),
            enabled: Arc::default(),
        }
    }

    /// Enables a fault for a while, unless it is enabled.
    fn enable_for(&self, (name, numbers, longest): (&'static str, &str, u64), random: &mut Random) {
        let lasts = 50 + random.below(longest - 49);
        if self.enabled.lock().unwrap().contains(&name) {
            return;
        }
        self.enabled.lock().unwrap().push(name);
        self.faults.enable(name, numbers);
        sleep(ms(lasts));
        self.faults.disable(name);
        self.enabled.lock().unwrap().retain(|other| *other != name);
    }
}

impl FaultSchedule {
    /// Starts faults of a kind in the process `pid`, one after the other.
    pub fn start(
        kind: FaultKind,
        faults: SharedFaults,
        pid: u32,
        mut random: Random,
    ) -> FaultSchedule {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                match kind {
                    FaultKind::Accept => {
                        faults.enable_for(random.one_of(&ACCEPT_FAULTS), &mut random);
                        sleep(ms(300 + random.below(300)));
                    }
                    FaultKind::Other => {
                        faults.enable_for(random.one_of(&OTHER_FAULTS), &mut random);
                        sleep(ms(50 + random.below(250)));
                    }
                    FaultKind::Stall => {
                        signal(pid, "STOP");
                        sleep(ms(20 + random.below(MAX_STALL_MS - 19)));
                        signal(pid, "CONT");
                        sleep(ms(400 + random.below(800)));
                    }
                }
            }
        });
        FaultSchedule { stopped, thread }
    }

    /// Ends the schedule with the fault that is enabled.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
    }
}

/// Sends a signal to a process, which may have exited already.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .args([format!("-{name}"), pid.to_string()])
        .stderr(Stdio::null())
        .status();
}
