//! Starts, signals and ends real gateways: `garnetwall serve` processes on loopback, each with its own configuration
//! and address.

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

/// Limit that clients send with each query, in milliseconds.
pub const LIMIT_MS: u64 = 3_000;
/// First port that gateways listen on. It lies outside the range of ephemeral ports. The address differs by run and by
/// gateway.
const PORT: u16 = 4_300;
/// Time within which a started gateway has to report itself healthy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after SIGTERM in which clients still send queries to the gateway, from the protocol.
const ARRIVALS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Time that a terminated gateway gets to end before it is killed. By the protocol, the time from SIGTERM to the kill
/// is at least the longest limit of a query and 0.7 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(LIMIT_MS + 700);
/// Time to wait for a process to end after SIGKILL.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);
/// Cores of a stub engine.
const CORES: u32 = 8;

/// Failure to start, signal or end a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    #[error("can't start gateway program {}: {cause}; build it with `cargo build --release -p garnetwall-gateway`, or name it with --gateway-binary", binary.display())]
    NoBinary {
        binary: PathBuf,
        cause: std::io::Error,
    },
    #[error("can't write {}: {cause}; make space there", file.display())]
    Unwritable {
        file: PathBuf,
        cause: std::io::Error,
    },
    #[error("gateway {gateway} did not serve within {} s; see its log {}", READY_TIMEOUT.as_secs(), log.display())]
    NeverReady { gateway: usize, log: PathBuf },
    #[error("gateway {gateway} ended before it served ({status}); see its log {}", log.display())]
    Ended {
        gateway: usize,
        status: ExitStatus,
        log: PathBuf,
    },
    #[error("gateway {gateway} was not started because the run is ending")]
    Stopping { gateway: usize },
    #[error("can't signal gateway {gateway}: {cause}; see its log {}", log.display())]
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

/// Returns the address on which a gateway of this run listens. The process id makes it differ from other runs'.
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
    /// Whether clients send queries to this gateway.
    in_service: AtomicBool,
    /// The running process, if any.
    child: Mutex<Option<Child>>,
    /// Usage at the last reset, from which processor time is counted. It belongs to the current process; the processor
    /// time of earlier processes of this gateway is not known.
    usage_at_reset: std::sync::Mutex<Usage>,
}

/// All real gateways of a run. Dropping this kills their processes.
pub struct Gateways {
    gateways: Vec<Gateway>,
    binary: PathBuf,
    folder: PathBuf,
    settings: Value,
    recorder: Recorder,
    sockets: usize,
    memory_mb: usize,
    subset_size: Option<usize>,
    /// Injected fault: `terminate` sends SIGKILL in place of SIGTERM.
    kill_on_terminate: bool,
    /// Set when the run ends; no process is started after that.
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
            usage_at_reset: std::sync::Mutex::default(),
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

    /// Whether clients may send queries to the gateway.
    pub fn in_service(&self, gateway: usize) -> bool {
        self.gateways[gateway].in_service.load(Ordering::Relaxed)
    }

    fn config_file(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("gateway-{gateway}.json"))
    }

    fn log_file(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("gateway-{gateway}.log"))
    }

    /// Renders the gateway's configuration file.
    fn config(&self, gateway: usize, log: &ChangeLog) -> Value {
        let mut config = json!({"name": format!("g{gateway}"), "listen": self.address(gateway).to_string(),
            "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(gateway as u64 + 1)),
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "changelog": address_for_gateway(gateway, log.port).to_string(),
            "known": log.known_list(gateway), "settings": self.settings});
        if let Some(size) = self.subset_size {
            config["subset"] = json!({"size": size});
        }
        config
    }

    /// Starts the gateway's process and waits until it reports itself healthy.
    ///
    /// # Errors
    /// The gateway's files can't be written, its program can't be started, the run is ending, or the process ends or
    /// does not serve within [`READY_TIMEOUT`].
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
        let ready = timeout(READY_TIMEOUT, self.wait_until_healthy(gateway)).await;
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

    /// Waits until the gateway reports itself healthy.
    async fn wait_until_healthy(&self, gateway: usize) -> Result<(), GatewayError> {
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

    /// Returns the id of the running process.
    async fn process_id(&self, gateway: usize) -> Option<u32> {
        self.gateways[gateway]
            .child
            .lock()
            .await
            .as_ref()
            .and_then(Child::id)
    }

    /// Returns the current resource usage of the gateway's process; `None` if none runs.
    pub async fn usage(&self, gateway: usize) -> Option<Usage> {
        Usage::of(self.process_id(gateway).await?)
    }

    /// Restarts the count of the gateway's processor time.
    pub async fn reset_processor_time(&self, gateway: usize) {
        let usage = self.usage(gateway).await.unwrap_or_default();
        *self.gateways[gateway]
            .usage_at_reset
            .lock()
            .unwrap_or_else(|e| e.into_inner()) = usage;
    }

    /// Processor time of the gateway's process, in seconds, since the last reset.
    pub async fn processor_seconds(&self, gateway: usize) -> Option<f64> {
        let now = self.usage(gateway).await?;
        let usage_at_reset = *self.gateways[gateway]
            .usage_at_reset
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        Some(now.processor_seconds - usage_at_reset.processor_seconds)
    }

    /// Sends a signal to the gateway's process; does nothing if none runs.
    async fn signal(&self, gateway: usize, kind: Signal) -> Result<(), GatewayError> {
        let Some(process) = self.process_id(gateway).await else {
            return Ok(());
        };
        let log = self.log_file(gateway);
        signal(process, kind).map_err(|cause| GatewayError::Process {
            gateway,
            cause,
            log,
        })
    }

    /// Sends SIGHUP.
    pub async fn reload(&self, gateway: usize) -> Result<(), GatewayError> {
        self.signal(gateway, Signal::HUP).await
    }

    /// Sends SIGTERM, waits for the process to end, and records whether it ended by itself with exit code 0.
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

    /// Sends SIGKILL and waits for the process to end.
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

    /// Waits for the process to end and kills it after `within`. Returns whether it ended in time with exit code 0.
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

    /// Kills all processes, waits for their end, and prevents further starts.
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

/// Settings that are part of every gateway's configuration.
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
