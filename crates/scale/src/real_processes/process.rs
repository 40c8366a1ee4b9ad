//! Reads a process's resource usage from /proc and sends signals to it.

use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::path::PathBuf;

/// Unit of processor time in /proc, USER_HZ; it is 100 on every platform that this program runs on.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time among the fields of /proc/PID/stat after the name, which may contain blanks.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Usage {
    pub resident_bytes: u64,
    pub processor_seconds: f64,
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a process; `None` if it no longer exists.
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

/// Sends a signal to a process. The caller must have started it and not yet waited for it, so that its id has not been
/// reused.
pub fn signal(process: u32, signal: Signal) -> std::io::Result<()> {
    let id = i32::try_from(process).ok().and_then(Pid::from_raw);
    let id =
        id.ok_or_else(|| std::io::Error::other(format!("{process} is not a valid process id")))?;
    Ok(kill_process(id, signal)?)
}
