//! The change log's stand-in: numbered server-sent events, a comment each second, resume by the last event's number, and
//! the whole list for who is too far behind. It has a thread of its own, so that its processor time can be told.

use super::facts::{Delivery, Notice, Recorder};
use super::roster::{event, EngineId, Roster, State, PORT_PLACEHOLDER};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// Protocol: a comment comes this often.
const COMMENT_EVERY: Duration = Duration::from_secs(1);
const COMMENT: &[u8] = b":\n\n";
/// What a watch costs while nothing changes.
pub const COMMENT_BYTES_PER_SECOND: f64 = COMMENT.len() as f64;
/// Events that are kept; who is further behind gets the whole list.
const HISTORY: usize = 1_024;
/// Who takes no bytes for this long is hung up on.
const SLOW_READER: Duration = Duration::from_secs(10);
/// A reader that names no last event has none.
const LAST_EVENT: &str = "last-event-id";
/// Watches of gateways come to this address plus the gateway's number; all others are watchers'.
const FIRST_GATEWAY: u32 = 0x7f0a_0001;
/// A slip: how late a slow log tells.
const SLOW: Duration = Duration::from_millis(1_400);

/// Where gateway `gateway` reaches a log at this port.
pub fn address_for_gateway(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_GATEWAY + gateway as u32), port))
}

/// Where watchers reach it.
pub fn address_for_watchers(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn gateway_of(local: SocketAddr, gateways: usize) -> Option<usize> {
    let IpAddr::V4(address) = local.ip().to_canonical() else {
        return None;
    };
    let gateway = u32::from(address).checked_sub(FIRST_GATEWAY)? as usize;
    (gateway < gateways).then_some(gateway)
}

struct Told {
    number: u64,
    /// With a placeholder for the engines' port.
    data: String,
    /// As watchers get it.
    rendered: Bytes,
    /// Gateways that never get it: a slip.
    withheld_from: Option<usize>,
}

struct History {
    roster: Roster,
    last: u64,
    events: VecDeque<Told>,
    /// The whole list at the last event, while nothing has changed since it was made.
    whole: Option<(u64, String)>,
}

impl History {
    /// Data of the event that brings a reader up to date at once.
    fn whole(&mut self) -> String {
        match &self.whole {
            Some((number, data)) if *number == self.last => data.clone(),
            _ => {
                let data = event(self.last, true, &self.roster.lines());
                self.whole = Some((self.last, data.clone()));
                data
            }
        }
    }
}

/// Faults that the log makes on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogSlips {
    /// This gateway is not told that engines drain.
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
    slips: LogSlips,
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
        roster: Roster,
        engine_ports: Vec<u16>,
        recorder: Recorder,
        slips: LogSlips,
    ) -> std::io::Result<ChangeLog> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        listener.set_nonblocking(true)?;
        let port = listener.local_addr()?.port();
        let data = event(1, true, &roster.lines());
        let history = History {
            roster,
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
            slips,
        });
        let (stop, stopped) = oneshot::channel::<()>();
        let (tell_thread, thread) = std::sync::mpsc::channel();
        let serving = shared.clone();
        let run = move || -> std::io::Result<()> {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let _ = tell_thread.send(std::fs::read_link("/proc/thread-self")?);
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener)?;
                tokio::select! {
                    () = accept(listener, serving) => {}
                    _ = stopped => {}
                }
                Ok(())
            })
        };
        std::thread::Builder::new()
            .name("change-log".into())
            .spawn(run)?;
        let thread = thread.recv().map_err(std::io::Error::other)?;
        let thread_statistics = PathBuf::from("/proc").join(thread).join("schedstat");
        Ok(ChangeLog {
            shared,
            port,
            thread_statistics,
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

    /// What a gateway's configuration says under `known`: the list as it stands.
    pub fn known(&self, gateway: usize) -> Value {
        let mut history = self.shared.history();
        let data = rendered_data(&history.whole(), self.shared.engine_ports[gateway]);
        let event: Value = serde_json::from_str(&data).unwrap_or(Value::Null);
        json!({"seq": history.last, "results": [event]})
    }

    /// Changes the list and tells what has changed; the lines of these slots, or those that `change` made itself.
    pub fn change(&self, change: impl FnOnce(&mut Roster) -> Vec<Value>) {
        let mut history = self.shared.history();
        let lines = change(&mut history.roster);
        let number = history.last + 1;
        let data = event(number, false, &lines);
        self.append(&mut history, number, data, &lines);
    }

    /// Tells the whole list again.
    pub fn tell_whole(&self) {
        let mut history = self.shared.history();
        let number = history.last + 1;
        let lines = history.roster.lines();
        let data = event(number, true, &lines);
        self.append(&mut history, number, data, &[]);
    }

    fn append(&self, history: &mut History, number: u64, data: String, lines: &[Value]) {
        let appended = self.shared.recorder.now();
        let drains = lines.iter().any(|line| line["state"] == "DRAINING");
        let withheld_from = self.shared.slips.withhold_drains_from.filter(|_| drains);
        let rendered = frame(number, &rendered_data(&data, 0));
        self.shared
            .event_bytes
            .fetch_add(rendered.len() as u64, Ordering::Relaxed);
        history.events.push_back(Told {
            number,
            data,
            rendered,
            withheld_from,
        });
        if history.events.len() > HISTORY {
            history.events.pop_front();
        }
        history.last = number;
        let mut facts = self.shared.recorder.facts();
        facts.notices.extend(
            lines
                .iter()
                .filter_map(|line| notice(line, number, appended)),
        );
        let change = super::facts::ChangeSeen {
            number,
            appended,
            seconds: Vec::new(),
        };
        facts.changes.push(change);
        drop(facts);
        self.shared.last.send_replace(number);
    }

    /// The list as it is told now.
    pub fn roster(&self) -> Roster {
        self.shared.history().roster.clone()
    }
}

fn notice(line: &Value, number: u64, appended: f64) -> Option<Notice> {
    if line["state"] == State::Serving.word() {
        return None;
    }
    let (slot, generation) = line["id"].as_str()?.strip_prefix('e')?.split_once('-')?;
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

/// Frames to be written at once; a comment where there are none.
fn joined(frames: Vec<Bytes>) -> Bytes {
    match <[Bytes; 1]>::try_from(frames) {
        Ok([one]) => one,
        Err(none) if none.is_empty() => Bytes::from_static(COMMENT),
        Err(several) => Bytes::from(several.concat()),
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, shared.clone()))),
            Err(fault) => {
                tracing::warn!(%fault, "change log can't accept");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let Ok(local) = stream.local_addr() else {
        return;
    };
    let gateway = gateway_of(local, shared.engine_ports.len());
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = shared.clone();
        async move {
            let last = request
                .headers()
                .get(LAST_EVENT)
                .and_then(|value| value.to_str().ok()?.parse().ok());
            let (sender, body) = Channel::<Bytes, Infallible>::new(1);
            tokio::spawn(
                Watch {
                    shared,
                    gateway,
                    sent: last.unwrap_or(0),
                }
                .feed(sender),
            );
            Ok::<_, Infallible>(Response::new(body))
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// One reader's stream.
struct Watch {
    shared: Arc<Shared>,
    gateway: Option<usize>,
    /// The number of the last event sent.
    sent: u64,
}

impl Watch {
    async fn feed(mut self, mut sender: Sender<Bytes, Infallible>) {
        let mut last = self.shared.last.subscribe();
        loop {
            last.borrow_and_update();
            if self.shared.slips.slow {
                sleep(SLOW).await;
            }
            let due = joined(self.due());
            self.count(due.len() as u64);
            if !matches!(
                timeout(SLOW_READER, sender.send_data(due)).await,
                Ok(Ok(()))
            ) {
                return;
            }
            // It fails only with the log, whose end ends this task too.
            let _ = timeout(COMMENT_EVERY, last.changed()).await;
        }
    }

    fn count(&self, bytes: u64) {
        let counter = match self.gateway {
            Some(gateway) => &self.shared.bytes_to_gateways[gateway],
            None => &self.shared.bytes_to_watchers,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Events that it has not been sent.
    fn due(&mut self) -> Vec<Bytes> {
        let shared = self.shared.clone();
        let mut history = shared.history();
        if self.sent >= history.last {
            return Vec::new();
        }
        let first = history
            .events
            .front()
            .map_or(history.last + 1, |told| told.number);
        let from = std::mem::replace(&mut self.sent, history.last);
        if from + 1 < first {
            return self.whole(&mut history);
        }
        let skip = (from + 1 - first) as usize;
        history
            .events
            .iter()
            .skip(skip)
            .map(|told| self.render(told))
            .collect()
    }

    fn whole(&self, history: &mut History) -> Vec<Bytes> {
        let port = self
            .gateway
            .map_or(0, |gateway| self.shared.engine_ports[gateway]);
        self.delivered(history.last);
        vec![frame(history.last, &rendered_data(&history.whole(), port))]
    }

    fn render(&self, told: &Told) -> Bytes {
        let Some(gateway) = self.gateway else {
            return told.rendered.clone();
        };
        if told.withheld_from == Some(gateway) {
            // The number goes on, so that only the change is missing.
            return frame(told.number, &json!({"seq": told.number}).to_string());
        }
        self.delivered(told.number);
        frame(
            told.number,
            &rendered_data(&told.data, self.shared.engine_ports[gateway]),
        )
    }

    fn delivered(&self, number: u64) {
        let Some(gateway) = self.gateway else { return };
        let at = self.shared.recorder.now();
        self.shared.recorder.facts().deliveries.push(Delivery {
            number,
            gateway,
            at,
        });
    }
}
