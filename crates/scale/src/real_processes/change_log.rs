//! Simulates the change log: serves numbered server-sent events with a comment each second, resumes after the reader's
//! last event, and sends the whole list to readers that are too far behind. The server runs on its own thread so that
//! its processor time can be measured separately.

mod addresses;
mod history;
mod reader;
mod shared;

pub use addresses::{address_for_gateway, address_for_watchers};
pub use reader::COMMENT_BYTES_PER_SECOND;
pub use shared::LogFaults;

use super::endpoint_list::{event_data, EndpointList, EngineId, State};
use super::observations::{ChangeSeen, Notice, Recorder};
use history::{frame, rendered_data, History, PublishedEvent};
use serde_json::{json, Value};
use shared::Shared;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Handle of a running change log. Dropping the handle stops the log's server.
pub struct ChangeLog {
    shared: Arc<Shared>,
    pub port: u16,
    thread_statistics: PathBuf,
    _stop: oneshot::Sender<()>,
}

impl ChangeLog {
    /// Binds a free port on all addresses and starts the server. The first event is the whole list. `engine_ports`
    /// holds, for each gateway, the port at which that gateway reaches the engines.
    pub fn start(
        endpoint_list: EndpointList,
        engine_ports: Vec<u16>,
        recorder: Recorder,
        faults: LogFaults,
    ) -> std::io::Result<ChangeLog> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        listener.set_nonblocking(true)?;
        let port = listener.local_addr()?.port();
        let shared = Arc::new(Shared::new(endpoint_list, engine_ports, recorder, faults));
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = spawn_server(listener, shared.clone(), stopped)?;
        Ok(ChangeLog {
            shared,
            port,
            thread_statistics: thread.join("schedstat"),
            _stop: stop,
        })
    }

    /// Processor time in seconds that the log's thread has used; NaN if /proc can't be read.
    pub fn processor_seconds(&self) -> f64 {
        let text = std::fs::read_to_string(&self.thread_statistics).unwrap_or_default();
        let nanoseconds = text
            .split(' ')
            .next()
            .and_then(|word| word.parse::<f64>().ok());
        nanoseconds.map_or(f64::NAN, |nanoseconds| nanoseconds / 1e9)
    }

    pub fn bytes_to_gateway(&self, gateway: usize) -> u64 {
        self.shared.bytes_to_gateways[gateway].load(Ordering::Relaxed)
    }

    pub fn bytes_to_watchers(&self) -> u64 {
        self.shared.bytes_to_watchers.load(Ordering::Relaxed)
    }

    pub fn event_bytes(&self) -> u64 {
        self.shared.event_bytes.load(Ordering::Relaxed)
    }

    pub fn last(&self) -> u64 {
        self.shared.history().last
    }

    /// Value of `known` in a gateway's configuration: the current list, with the number of the last event.
    pub fn known_list(&self, gateway: usize) -> Value {
        let mut history = self.shared.history();
        let data = rendered_data(&history.whole(), self.shared.engine_ports[gateway]);
        let event_data: Value = serde_json::from_str(&data).unwrap_or(Value::Null);
        json!({"seq": history.last, "results": [event_data]})
    }

    /// Applies `change` to the list and publishes the entries that it returns as one event.
    pub fn change(&self, change: impl FnOnce(&mut EndpointList) -> Vec<Value>) {
        let mut history = self.shared.history();
        let entries = change(&mut history.endpoint_list);
        let number = history.last + 1;
        let data = event_data(number, false, &entries);
        self.append(&mut history, number, data, &entries);
    }

    /// Publishes the whole, unchanged list as a new event.
    pub fn publish_whole_list(&self) {
        let mut history = self.shared.history();
        let number = history.last + 1;
        let entries = history.endpoint_list.entries();
        let data = event_data(number, true, &entries);
        self.append(&mut history, number, data, &[]);
    }

    fn append(&self, history: &mut History, number: u64, data: String, entries: &[Value]) {
        let appended = self.shared.recorder.now();
        let drains = entries.iter().any(|entry| entry["state"] == "DRAINING");
        let withheld_from = self.shared.faults.withhold_drains_from.filter(|_| drains);
        let rendered = frame(number, &rendered_data(&data, 0));
        self.shared
            .event_bytes
            .fetch_add(rendered.len() as u64, Ordering::Relaxed);
        history.push(PublishedEvent {
            number,
            data,
            rendered,
            withheld_from,
        });
        let mut observations = self.shared.recorder.observations();
        observations.notices.extend(
            entries
                .iter()
                .filter_map(|entry| notice(entry, number, appended)),
        );
        let change = ChangeSeen {
            number,
            appended,
            seconds: Vec::new(),
        };
        observations.changes.push(change);
        drop(observations);
        self.shared.last.send_replace(number);
    }

    /// Returns a copy of the current list.
    pub fn endpoint_list(&self) -> EndpointList {
        self.shared.history().endpoint_list.clone()
    }
}

fn notice(entry: &Value, number: u64, appended: f64) -> Option<Notice> {
    if entry["state"] == State::Serving.name() {
        return None;
    }
    let (slot, generation) = entry["id"].as_str()?.strip_prefix('e')?.split_once('-')?;
    let engine = EngineId {
        slot: slot.parse().ok()?,
        generation: generation.parse().ok()?,
    };
    Some(Notice {
        engine,
        number,
        appended,
    })
}

/// Serves the log on its own thread until `stopped` resolves. Returns the thread's folder in /proc.
fn spawn_server(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    stopped: oneshot::Receiver<()>,
) -> std::io::Result<PathBuf> {
    let (thread_sender, thread) = std::sync::mpsc::channel();
    let run = move || -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let _ = thread_sender.send(std::fs::read_link("/proc/thread-self")?);
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener)?;
            tokio::select! {
                () = reader::accept(listener, shared) => {}
                _ = stopped => {}
            }
            Ok(())
        })
    };
    std::thread::Builder::new()
        .name("change-log".into())
        .spawn(run)?;
    let thread = thread.recv().map_err(std::io::Error::other)?;
    Ok(PathBuf::from("/proc").join(thread))
}
