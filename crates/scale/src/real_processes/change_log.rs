//! The change log's stand-in: numbered server-sent events, a comment each second, resume by the last event's number, and
//! the whole list for readers that are too far behind. It has a thread of its own, so that its processor time is known.

mod reader;

use super::endpoint_list::{event_data, EndpointList, EngineId, State, PORT_PLACEHOLDER};
use super::observations::{Notice, Recorder};
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Protocol: the interval of comments.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
const COMMENT: &[u8] = b":\n\n";
/// What a watch costs while nothing changes.
pub const COMMENT_BYTES_PER_SECOND: f64 = COMMENT.len() as f64;
/// Events that are retained; a reader further behind gets the whole list.
const HISTORY_EVENTS: usize = 1_024;
/// A reader that takes no bytes for this long is disconnected.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(10);
/// A reader that names no last event has none.
const LAST_EVENT: &str = "last-event-id";
/// Gateways watch at this address plus their number; all other connections are watchers'.
const FIRST_GATEWAY_ADDRESS: u32 = 0x7f0a_0001;
/// Injected fault: the delay of a slow log.
const SLOW_LOG_DELAY: Duration = Duration::from_millis(1_400);

/// Where gateway `gateway` reaches a log at this port.
pub fn address_for_gateway(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_GATEWAY_ADDRESS + gateway as u32), port))
}

/// Where watchers reach it.
pub fn address_for_watchers(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn gateway_of(local: SocketAddr, gateways: usize) -> Option<usize> {
    let IpAddr::V4(address) = local.ip().to_canonical() else {
        return None;
    };
    let gateway = u32::from(address).checked_sub(FIRST_GATEWAY_ADDRESS)? as usize;
    (gateway < gateways).then_some(gateway)
}

struct PublishedEvent {
    number: u64,
    /// With a placeholder for the engines' port.
    data: String,
    /// As watchers get it.
    rendered: Bytes,
    /// A gateway that never receives it, an injected fault.
    withheld_from: Option<usize>,
}

struct History {
    endpoint_list: EndpointList,
    last: u64,
    events: VecDeque<PublishedEvent>,
    /// The whole list at the last event, while nothing has changed since it was made.
    whole: Option<(u64, String)>,
}

impl History {
    /// Data of the event that brings a reader up to date at once.
    fn whole(&mut self) -> String {
        match &self.whole {
            Some((number, data)) if *number == self.last => data.clone(),
            _ => {
                let data = event_data(self.last, true, &self.endpoint_list.entries());
                self.whole = Some((self.last, data.clone()));
                data
            }
        }
    }
}

/// Faults that the log makes on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// This gateway is not notified that engines drain.
    pub withhold_drains_from: Option<usize>,
    pub slow: bool,
}

struct Shared {
    history: Mutex<History>,
    last: watch::Sender<u64>,
    /// The port at which each gateway reaches the engines.
    engine_ports: Vec<u16>,
    bytes_to_gateways: Vec<AtomicU64>,
    bytes_to_watchers: AtomicU64,
    /// Bytes of all events appended, once each.
    event_bytes: AtomicU64,
    recorder: Recorder,
    faults: LogFaults,
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A log that runs; it ends when this is dropped.
pub struct ChangeLog {
    shared: Arc<Shared>,
    pub port: u16,
    thread_statistics: PathBuf,
    _stop: oneshot::Sender<()>,
}

impl ChangeLog {
    /// Starts a log whose first event is the whole list.
    pub fn start(
        endpoint_list: EndpointList,
        engine_ports: Vec<u16>,
        recorder: Recorder,
        faults: LogFaults,
    ) -> std::io::Result<ChangeLog> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        listener.set_nonblocking(true)?;
        let port = listener.local_addr()?.port();
        let data = event_data(1, true, &endpoint_list.entries());
        let history = History {
            endpoint_list,
            last: 1,
            events: VecDeque::new(),
            whole: Some((1, data)),
        };
        let shared = Arc::new(Shared {
            history: Mutex::new(history),
            last: watch::Sender::new(1),
            bytes_to_gateways: engine_ports.iter().map(|_| AtomicU64::new(0)).collect(),
            bytes_to_watchers: AtomicU64::new(0),
            event_bytes: AtomicU64::new(0),
            engine_ports,
            recorder,
            faults,
        });
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = spawn_server(listener, shared.clone(), stopped)?;
        Ok(ChangeLog {
            shared,
            port,
            thread_statistics: thread.join("schedstat"),
            _stop: stop,
        })
    }

    /// Processor time of the log's thread, in seconds.
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

    /// What a gateway's configuration says under `known`: the current list.
    pub fn known(&self, gateway: usize) -> Value {
        let mut history = self.shared.history();
        let data = rendered_data(&history.whole(), self.shared.engine_ports[gateway]);
        let event_data: Value = serde_json::from_str(&data).unwrap_or(Value::Null);
        json!({"seq": history.last, "results": [event_data]})
    }

    /// Changes the list and publishes the entries that `change` returns.
    pub fn change(&self, change: impl FnOnce(&mut EndpointList) -> Vec<Value>) {
        let mut history = self.shared.history();
        let entries = change(&mut history.endpoint_list);
        let number = history.last + 1;
        let data = event_data(number, false, &entries);
        self.append(&mut history, number, data, &entries);
    }

    /// Publishes the whole list again.
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
        history.events.push_back(PublishedEvent {
            number,
            data,
            rendered,
            withheld_from,
        });
        if history.events.len() > HISTORY_EVENTS {
            history.events.pop_front();
        }
        history.last = number;
        let mut observations = self.shared.recorder.observations();
        observations.notices.extend(
            entries
                .iter()
                .filter_map(|entry| notice(entry, number, appended)),
        );
        let change = super::observations::ChangeSeen {
            number,
            appended,
            seconds: Vec::new(),
        };
        observations.changes.push(change);
        drop(observations);
        self.shared.last.send_replace(number);
    }

    /// A copy of the current list.
    pub fn endpoint_list(&self) -> EndpointList {
        self.shared.history().endpoint_list.clone()
    }
}

fn notice(entry: &Value, number: u64, appended: f64) -> Option<Notice> {
    if entry["state"] == State::Serving.word() {
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

fn rendered_data(data: &str, port: u16) -> String {
    data.replace(PORT_PLACEHOLDER, &port.max(1).to_string())
}

fn frame(number: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}

/// Serves the log on a thread of its own until it is stopped; returns the thread's folder in /proc.
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
