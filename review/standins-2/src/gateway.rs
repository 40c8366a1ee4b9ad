//! The gateway, started as a process of its own by the command `run` of the deploy file.

use crate::http::is_healthy;
use crate::record::Record;
use crate::system::{end_with_parent, signal, SIGKILL, SIGTERM};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A running gateway, which is killed when it is dropped.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
    record: Record,
}

/// What a gateway is told.
pub struct Told<'a> {
    pub change_log: SocketAddr,
    pub known: &'a str,
    pub memory_mb: u32,
    pub settings: &'a str,
}

impl Gateway {
    /// Writes the configuration, starts the gateway and waits until it answers its health check.
    pub fn start(
        run: &str,
        folder: &Path,
        told: &Told,
        record: &Record,
    ) -> Result<Gateway, String> {
        let address = free_address().map_err(|error| error.to_string())?;
        let config = folder.join("config.json");
        let log = folder.join("gateway.log");
        let Told {
            change_log,
            known,
            memory_mb,
            settings,
        } = told;
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"peers":[],"changelog":"{change_log}","known":{known},"settings":{settings}}}"#
        );
        fs::write(&config, text).map_err(|error| error.to_string())?;
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .env("PROXY_CONFIG", &config)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", address.to_string())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors);
        end_with_parent(&mut command);
        let child = command.spawn().map_err(|error| error.to_string())?;
        let gateway = Gateway {
            address,
            child,
            log,
            record: record.clone(),
        };
        let started = Instant::now();
        while !is_healthy(address) {
            if started.elapsed() > Duration::from_secs(20) {
                return Err(format!("the gateway is not ready: {}", gateway.log_text()));
            }
            sleep(Duration::from_millis(50));
        }
        record.line(format!("gateway is ready at {address}"));
        Ok(gateway)
    }

    /// The largest memory that the process has held, in kB, as the system tells it.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        signal(self.child.id(), SIGTERM);
        let asked = Instant::now();
        while self.is_running() && asked.elapsed() < Duration::from_secs(4) {
            sleep(Duration::from_millis(20));
        }
        if self.is_running() {
            signal(self.child.id(), SIGKILL);
        }
        let _ = self.child.wait();
        for line in self
            .log_text()
            .lines()
            .rev()
            .take(15)
            .collect::<Vec<_>>()
            .iter()
            .rev()
        {
            self.record.line(format!("gateway log: {line}"));
        }
    }
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
