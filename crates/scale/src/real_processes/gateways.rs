//! Real gateways: `garnetwall serve` processes on loopback, each with a configuration and addresses of its own.

use super::change_log::{address_for_gateway, ChangeLog};
use super::experiment::Experiment;
use super::http_client;
use super::observations::{Outage, Recorder};
use super::process::{signal, Usage};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Limits of queries, in milliseconds.
pub const LIMIT_MS: u64 = 3_000;
/// Outside the ports that the machine hands out; addresses differ by run and gateway.
const PORT: u16 = 4_300;
/// A gateway that does not serve by then has failed.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Protocol: after SIGTERM clients still send queries for this time.
const ARRIVALS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Protocol: no kill before the longest limit and 0.7 s have passed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(LIMIT_MS + 700);
const KILL_TIMEOUT: Duration = Duration::from_secs(5);
const CORES: u32 = 8;

/// Why gateways could not be run: where, why, and what to do.
#[derive(Debug, Error)]
pub enum GatewayError {
    #[error("{}: {cause}; build it with `cargo build --release -p garnetwall-gateway`, or name it with --gateway-binary", binary.display())]
    NoBinary {
        binary: PathBuf,
        cause: std::io::Error,
    },
    #[error("{}: {cause}; make room there", file.display())]
    Unwritable {
        file: PathBuf,
        cause: std::io::Error,
    },
    #[error("gateway {gateway} did not serve within {} s; its log is {}", READY_TIMEOUT.as_secs(), log.display())]
    NeverReady { gateway: usize, log: PathBuf },
    #[error("gateway {gateway} ended before it served ({status}); its log is {}", log.display())]
    Ended {
        gateway: usize,
        status: ExitStatus,
        log: PathBuf,
    },
    #[error("gateway {gateway}: not started, as the run ends")]
    Stopping { gateway: usize },
    #[error("gateway {gateway}: {cause}; see its log {}", log.display())]
    Process {
        gateway: usize,
        cause: std::io::Error,
        log: PathBuf,
    },
}

fn unwritable(file: &Path) -> impl FnOnce(std::io::Error) -> GatewayError {
    let file = file.to_path_buf();
    move |cause| GatewayError::Unwritable { file, cause }
}

/// Where a gateway of this run listens.
fn listen_address(gateway: usize) -> SocketAddr {
    let run = std::process::id();
    let parts = [
        127,
        (64 + run % 128) as u8,
        (run / 128 % 256) as u8,
        (gateway % 250 + 1) as u8,
    ];
    SocketAddr::from((Ipv4Addr::from(parts), PORT + (gateway / 250) as u16))
}

struct Gateway {
    address: SocketAddr,
    /// Whether clients send queries to it.
    in_service: AtomicBool,
    child: Mutex<Option<Child>>,
    /// Processor time of its processes that have ended is not known; that of the current one counts from here.
    first: std::sync::Mutex<Usage>,
}

/// All real gateways of a run. Their processes are killed when this is dropped.
pub struct Gateways {
    gateways: Vec<Gateway>,
    binary: PathBuf,
    folder: PathBuf,
    settings: Value,
    recorder: Recorder,
    sockets: usize,
    memory_mb: usize,
    subset_size: Option<usize>,
    /// Injected fault: SIGKILL in place of SIGTERM.
    kill_on_terminate: bool,
    /// The run is over: no process is started any more.
    stopping: AtomicBool,
}

impl Gateways {
    pub fn new(
        experiment: &Experiment,
        binary: PathBuf,
        folder: &Path,
        recorder: Recorder,
        kill_on_terminate: bool,
    ) -> Gateways {
        let gateway = |n| Gateway {
            address: listen_address(n),
            in_service: AtomicBool::new(false),
            child: Mutex::new(None),
            first: std::sync::Mutex::default(),
        };
        Gateways {
            gateways: (0..experiment.gateways).map(gateway).collect(),
            binary,
            folder: folder.into(),
            settings: settings(experiment),
            recorder,
            sockets: experiment.gateway_sockets,
            memory_mb: experiment.gateway_memory_mb,
            subset_size: experiment.subset_size,
            kill_on_terminate,
            stopping: AtomicBool::new(false),
        }
    }

    pub fn count(&self) -> usize {
        self.gateways.len()
    }

    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].address
    }

    pub fn in_service(&self, gateway: usize) -> bool {
        self.gateways[gateway].in_service.load(Ordering::Relaxed)
    }

    fn config_file(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("gateway-{gateway}.json"))
    }

    fn log_file(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("gateway-{gateway}.log"))
    }

    fn config(&self, gateway: usize, log: &ChangeLog) -> Value {
        let mut config = json!({"name": format!("g{gateway}"), "listen": self.address(gateway).to_string(),
            "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(gateway as u64 + 1)),
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "changelog": address_for_gateway(gateway, log.port).to_string(),
            "known": log.known(gateway), "settings": self.settings});
        if let Some(size) = self.subset_size {
            config["subset"] = json!({"size": size});
        }
        config
    }

    /// Starts a process and waits until it serves.
    ///
    /// # Errors
    /// Its files cannot be written, its program cannot be started, or it does not serve in time.
    pub async fn start(&self, gateway: usize, log: &ChangeLog) -> Result<(), GatewayError> {
        let file = self.config_file(gateway);
        let log_file = self.log_file(gateway);
        std::fs::write(&file, self.config(gateway, log).to_string()).map_err(unwritable(&file))?;
        let output = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_file)
            .map_err(unwritable(&log_file))?;
        let began = self.recorder.now();
        let mut child = self.gateways[gateway].child.lock().await;
        if self.stopping.load(Ordering::SeqCst) {
            return Err(GatewayError::Stopping { gateway });
        }
        *child = Some(self.spawn(&file, output)?);
        drop(child);
        let ready = timeout(READY_TIMEOUT, self.healthy(gateway)).await;
        ready.map_err(|_| GatewayError::NeverReady {
            gateway,
            log: log_file,
        })??;
        let ready_seconds = self.recorder.now() - began;
        self.recorder.observations().ready.push(ready_seconds);
        self.reset_processor_time(gateway).await;
        self.gateways[gateway]
            .in_service
            .store(true, Ordering::Relaxed);
        Ok(())
    }

    fn spawn(&self, config: &Path, output: std::fs::File) -> Result<Child, GatewayError> {
        Command::new(&self.binary)
            .args(["serve", "--config"])
            .arg(config)
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env_remove("GARNETWALL_PLAN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .kill_on_drop(true)
            .spawn()
            .map_err(|cause| GatewayError::NoBinary {
                binary: self.binary.clone(),
                cause,
            })
    }

    async fn healthy(&self, gateway: usize) -> Result<(), GatewayError> {
        while !http_client::is_healthy(self.address(gateway)).await {
            let mut child = self.gateways[gateway].child.lock().await;
            if let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) {
                return Err(GatewayError::Ended {
                    gateway,
                    status,
                    log: self.log_file(gateway),
                });
            }
            drop(child);
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    async fn process(&self, gateway: usize) -> Option<u32> {
        self.gateways[gateway]
            .child
            .lock()
            .await
            .as_ref()
            .and_then(Child::id)
    }

    /// What a gateway's process uses now.
    pub async fn usage(&self, gateway: usize) -> Option<Usage> {
        Usage::of(self.process(gateway).await?)
    }

    /// Counts processor time from now on.
    pub async fn reset_processor_time(&self, gateway: usize) {
        let usage = self.usage(gateway).await.unwrap_or_default();
        *self.gateways[gateway]
            .first
            .lock()
            .unwrap_or_else(|e| e.into_inner()) = usage;
    }

    /// Processor time of the gateway's process, in seconds, since the last reset.
    pub async fn processor_seconds(&self, gateway: usize) -> Option<f64> {
        let now = self.usage(gateway).await?;
        let first = *self.gateways[gateway]
            .first
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        Some(now.processor_seconds - first.processor_seconds)
    }

    async fn signal(&self, gateway: usize, kind: Signal) -> Result<(), GatewayError> {
        let Some(process) = self.process(gateway).await else {
            return Ok(());
        };
        let log = self.log_file(gateway);
        signal(process, kind).map_err(|cause| GatewayError::Process {
            gateway,
            cause,
            log,
        })
    }

    /// SIGHUP.
    pub async fn reload(&self, gateway: usize) -> Result<(), GatewayError> {
        self.signal(gateway, Signal::HUP).await
    }

    /// SIGTERM; whether it ended by itself with exit code 0 is recorded.
    pub async fn terminate(&self, gateway: usize) -> Result<(), GatewayError> {
        let from = self.recorder.now();
        let kind = if self.kill_on_terminate {
            Signal::KILL
        } else {
            Signal::TERM
        };
        self.signal(gateway, kind).await?;
        if !self.kill_on_terminate {
            sleep(ARRIVALS_AFTER_TERM).await;
        }
        self.gateways[gateway]
            .in_service
            .store(false, Ordering::Relaxed);
        let clean = self.wait_for_end(gateway, SHUTDOWN_TIMEOUT).await;
        self.recorder.observations().outages.push(Outage {
            gateway,
            from,
            killed: false,
            clean,
        });
        Ok(())
    }

    /// SIGKILL.
    pub async fn kill(&self, gateway: usize) -> Result<(), GatewayError> {
        let outage = Outage {
            gateway,
            from: self.recorder.now(),
            killed: true,
            clean: false,
        };
        self.recorder.observations().outages.push(outage);
        self.gateways[gateway]
            .in_service
            .store(false, Ordering::Relaxed);
        self.signal(gateway, Signal::KILL).await?;
        self.wait_for_end(gateway, KILL_TIMEOUT).await;
        Ok(())
    }

    /// Waits for the process to end; whether it did so in time and with exit code 0. One that does not is killed.
    async fn wait_for_end(&self, gateway: usize, within: Duration) -> bool {
        let mut child = self.gateways[gateway].child.lock().await;
        let Some(mut child) = child.take() else {
            return false;
        };
        match timeout(within, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                let _ = timeout(KILL_TIMEOUT, child.kill()).await;
                false
            }
        }
    }

    /// Ends all processes, and waits for them.
    pub async fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for (gateway, one) in self.gateways.iter().enumerate() {
            one.in_service.store(false, Ordering::Relaxed);
            let _ = self.signal(gateway, Signal::KILL).await;
        }
        for gateway in 0..self.count() {
            self.wait_for_end(gateway, KILL_TIMEOUT).await;
        }
    }
}

/// The settings in every gateway's configuration.
pub fn settings(experiment: &Experiment) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "give-up": LIMIT_MS, "goal-time": LIMIT_MS / 2,
            "worth": 1.0, "late-share": 0.5, "one-at-a-time": name == "load"})
    };
    let zones: Vec<String> = (0..experiment.zones)
        .map(|zone| format!("z{zone}"))
        .collect();
    json!({
        "allowed": {"dial-timeout": 250.0, "idle-close": 30_000.0, "cancelling": true, "max-attempts": 2,
            "retry-after": true, "max-retry-after": 1_000.0, "may-probe": true, "open-cap": 20_000},
        "balancers": experiment.assumed_gateways.unwrap_or(experiment.gateways),
        "categories": [class("report", "retryable"), class("load", "fragile")],
        "domain": {"kind-cores": [CORES], "parallelism": [1, 1], "loads": [false, false]},
        "kinds": ["std"], "zones": zones, "rules": {"order-pause": 200.0},
        "telemetry": {"fields": ["depth", "load_share"], "how": "on_probe"},
        "tenants": [{"name": "acme"}]})
}
