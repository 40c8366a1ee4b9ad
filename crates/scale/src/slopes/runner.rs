//! Measures each point in a fresh process, so that memory left by one point does not affect another.

use super::measurement::{Measured, Point};
use std::io;
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, Command};
use tokio::signal::unix::{signal, SignalKind};

/// Hidden subcommand that measures one point.
const COMMAND: &str = "slope-point";

/// Failure to measure a point.
#[derive(Debug, Error)]
pub enum RunnerError {
    #[error("can't run the measuring process: {0}; check that this program may start itself")]
    Process(#[from] io::Error),
    #[error("the measuring process did not write a measurement: {0}; this is a fault of the tool")]
    Answer(#[from] serde_json::Error),
    #[error("the measuring process failed: {0}")]
    Failed(String),
    #[error("the point took over {0:?}; raise point-limit or leave the size out")]
    TimedOut(Duration),
    #[error("stopped by a signal")]
    Stopped,
}

/// Runs measuring processes, which are killed when their measurement is cancelled.
pub struct Runner {
    runtime: tokio::runtime::Runtime,
    /// Timeout for one point.
    limit: Duration,
}

impl Runner {
    /// Creates a runner with a timeout for each point.
    ///
    /// # Errors
    ///
    /// The async runtime can't be created.
    pub fn new(limit: Duration) -> Result<Self, RunnerError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(Runner { runtime, limit })
    }

    /// Measures one point.
    ///
    /// # Errors
    ///
    /// The measuring process fails or exceeds the timeout, or a signal stops this process.
    pub fn measure(&self, point: &Point) -> Result<Vec<Measured>, RunnerError> {
        self.runtime.block_on(async {
            let mut interrupted = signal(SignalKind::interrupt())?;
            let mut terminated = signal(SignalKind::terminate())?;
            tokio::select! {
                measured = tokio::time::timeout(self.limit, measure_in_child(point)) => {
                    measured.map_err(|_| RunnerError::TimedOut(self.limit))?
                }
                _ = interrupted.recv() => Err(RunnerError::Stopped),
                _ = terminated.recv() => Err(RunnerError::Stopped),
            }
        })
    }
}

async fn measure_in_child(point: &Point) -> Result<Vec<Measured>, RunnerError> {
    let mut child = start()?;
    if let Some(mut input) = child.stdin.take() {
        input.write_all(&serde_json::to_vec(point)?).await?;
    }
    let output = child.wait_with_output().await?;
    if !output.status.success() {
        return Err(RunnerError::Failed(
            String::from_utf8_lossy(&output.stderr).trim().to_string(),
        ));
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn start() -> io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg(COMMAND)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
}
