//! The kernel's figures of a process, and signals to it.

use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::path::PathBuf;

/// The kernel's unit of processor time in /proc, USER_HZ, on every platform that the program runs on.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of /proc/PID/stat after the name, which may hold blanks: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    pub resident_bytes: u64,
    pub processor_seconds: f64,
    pub descriptors: usize,
}

impl Usage {
    /// None where there is no such process any more.
    pub fn of(process: u32) -> Option<Usage> {
        let folder = PathBuf::from(format!("/proc/{process}"));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count();
        let processor_seconds = processor_seconds(&stat)?;
        Some(Usage {
            resident_bytes: resident_bytes(&status)?,
            processor_seconds,
            descriptors,
        })
    }
}

fn processor_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) / TICKS_PER_SECOND)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let value = status
        .lines()
        .find_map(|value| value.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Sends a signal to a process that this program started and has not yet waited for.
pub fn signal(process: u32, signal: Signal) -> std::io::Result<()> {
    let id = i32::try_from(process).ok().and_then(Pid::from_raw);
    let id = id.ok_or_else(|| std::io::Error::other(format!("{process} is no process id")))?;
    Ok(kill_process(id, signal)?)
}
