//! The gateway as a process, started with the command `run` of the deploy file.

use crate::record::{cannot_run, Record};
use crate::{client, ms};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A running gateway. Dropping it kills the process.
pub struct Gateway {
    pub address: SocketAddr,
    process: Child,
    /// Tells the script what to end if the case is cut off.
    pid_file: PathBuf,
}

/// Sends a signal, such as `KILL`, to a process that the case started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {process}")]).status();
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// The folder of the repository, which the variable `ROOT` names.
fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| cannot_run("ROOT is not set"), PathBuf::from)
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let path = root().join("deploy/balancer.toml");
    let text = fs::read_to_string(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.map_or_else(|| cannot_run("no run in the deploy file"), String::from)
}

impl Gateway {
    /// Starts a gateway with this configuration, and waits until it answers `GET /healthz` with 200.
    pub fn start(address: SocketAddr, config: &str, record: &Record) -> Gateway {
        let folder = std::env::var_os("FOLDER").map_or_else(std::env::temp_dir, PathBuf::from);
        let file = folder.join("config.json");
        fs::write(&file, config).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = File::create(folder.join("gateway.log")).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let command = run_command();
        record.line(&format!("start: {command}"));
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root())
            .env("PROXY_NAME", "g0")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let pid_file = folder.join("gateway.pid");
        let _ = fs::write(&pid_file, process.id().to_string());
        let mut gateway = Gateway { address, process, pid_file };
        gateway.wait_until_ready();
        record.line(&format!("gateway {} is ready at {address}", gateway.process.id()));
        gateway
    }

    fn wait_until_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if client::get(self.address, "/healthz") == Some(200) {
                return;
            }
            if self.has_exited() {
                break;
            }
            sleep(ms(20));
        }
        let _ = self.process.kill();
        cannot_run("the gateway is not ready after 30 s");
    }

    /// The process to which `run` led; it is the shell's own, as the command begins with `exec`.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.pid_file);
    }
}
