//! A node dies, and a new node gets its address. The list tells of the new one before it tells that the old one is gone.

use crate::case::{unix_ms, Case, Verdict};
use crate::change_log::{ChangeLog, Server};
use crate::engine::{Cell, Engine, Ledger};
use crate::gateway::{Gateway, Told};
use crate::http::{call, Call, Seen};
use crate::settings::{lookup, sale_load, trend_report, Site};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// From the death of a node to the start of the new one at its address.
const SUCCESSOR_AFTER: Duration = Duration::from_millis(1000);
/// `add_s` of the site file is 0.65 to 2.4.
const LISTED_AFTER: Duration = Duration::from_millis(650);
/// `notice_s` of the site file is 0.6 to 4.
const NOTICED_AFTER: Duration = Duration::from_millis(4000);

/// A start at the new node counts if it came so long after the list told of the node. Each limit is 50 ms longer on
/// sockets.
const TOLD_SLACK_SECONDS: f64 = 0.05;
/// Loads that run at once: four a node.
const LOADS: u64 = 24;

struct Node {
    engine: Engine,
    server: Server,
}

/// The nodes of a run: six at first, in two cells of three.
struct Pool {
    nodes: Vec<Node>,
    cells: [Cell; 2],
    ledger: Ledger,
}

impl Pool {
    fn start(case: &Case) -> Result<Pool, String> {
        let mut pool = Pool {
            nodes: Vec::new(),
            cells: Default::default(),
            ledger: Ledger::default(),
        };
        for number in 0..6 {
            let id = format!("s-{}", number + 1);
            // Outgoing connections of this machine's clients have the address 127.0.0.1, so none can take the port of a node
            // that has died.
            let address = SocketAddr::from(([127, 0, 1, number as u8 + 1], 0));
            pool.add(case, &id, address, number / 3, 0)?;
        }
        Ok(pool)
    }

    fn add(
        &mut self,
        case: &Case,
        id: &str,
        address: SocketAddr,
        cell: usize,
        started_ms: u64,
    ) -> Result<Server, String> {
        let engine = Engine::start(id, address, &self.cells[cell], &self.ledger, &case.record)
            .map_err(|error| error.to_string())?;
        let server = Server {
            id: id.to_string(),
            address: engine.address,
            kind: "engine-8",
            cell: cell as u32 + 1,
            state: "SERVING",
            started_ms,
        };
        self.nodes.push(Node {
            engine,
            server: server.clone(),
        });
        Ok(server)
    }

    fn servers(&self) -> Vec<Server> {
        self.nodes.iter().map(|node| node.server.clone()).collect()
    }

    /// The first node dies; a new one of the other cell gets its address. Returns when the list told of the new one, in
    /// seconds of the record.
    fn replace_first(&mut self, case: &Case, log: &ChangeLog) -> Result<f64, String> {
        let died = Instant::now();
        let old = self.nodes[0].server.clone();
        self.nodes[0].engine.crash();
        sleep(SUCCESSOR_AFTER.saturating_sub(died.elapsed()));
        let new = self.add(case, "s-7", old.address, 1, unix_ms())?;
        sleep((SUCCESSOR_AFTER + LISTED_AFTER).saturating_sub(died.elapsed()));
        log.publish(&[new]);
        let listed_at = case.record.now();
        sleep(NOTICED_AFTER.saturating_sub(died.elapsed()));
        log.publish(&[Server {
            state: "DELETED",
            ..old
        }]);
        Ok(listed_at)
    }
}

fn site() -> Site {
    Site {
        classes: [
            lookup(5000),
            trend_report(),
            sale_load(r#""semantics":"dedup","key-scope":"cell","dedup-window":12000"#),
        ]
        .join(","),
        threads: "[1,4,2]",
        loads: "[false,false,true]",
        max_attempts: 4,
    }
}

fn send(case: &Case, gateway: SocketAddr, call_to_make: Call) -> JoinHandle<(Call, Seen)> {
    let record = case.record.clone();
    spawn(move || {
        let Call { class, id, .. } = &call_to_make;
        record.line(format!("client sends {class} {id:016x}"));
        let seen = call(gateway, &call_to_make, Duration::from_secs(25));
        record.line(format!(
            "client gets {} for {id:016x} after {:?} s: {}",
            seen.status,
            seen.seconds(),
            seen.body
        ));
        (call_to_make, seen)
    })
}

/// Loads whose repeats the nodes of a cell drop. The node of some of them dies after their effect was applied and
/// before their end: they may be sent again inside its cell alone.
pub fn play(case: &Case) -> Result<Verdict, String> {
    let mut pool = Pool::start(case)?;
    let log = ChangeLog::start(&pool.servers(), &case.record).map_err(|error| error.to_string())?;
    let settings = site().json();
    let told = Told {
        change_log: log.address,
        known: &log.known(),
        memory_mb: 192,
        settings: &settings,
    };
    let gateway = Gateway::start(&case.run, &case.scratch, &told, &case.record)?;
    let mut calls = Vec::new();
    // Lookups first, so that the gateway knows all nodes.
    for number in 0..60_u64 {
        let lookup = Call {
            class: "lookup",
            id: 0x1001_0000_0000_0000 + number,
            tenant: "drava-agro",
            allow_ms: 5000,
            key: None,
            statement: "SELECT price FROM sales_3.lots WHERE serial = '3f9c' /* ms=150 */".into(),
        };
        calls.push(send(case, gateway.address, lookup));
        sleep(Duration::from_millis(50));
    }
    for number in 0..LOADS {
        let load = Call {
            class: "sale-load",
            id: 0x5a1e_0000_0000_0000 + number,
            tenant: ["drava-agro", "pohorje-stroji", "mura-drazbe"][number as usize % 3],
            allow_ms: 20_000,
            key: Some(0x4e4_0000 + number),
            statement: format!(
                "INSERT INTO sales_{number}.results SELECT * FROM staging.day /* ms=10000 */"
            ),
        };
        calls.push(send(case, gateway.address, load));
        sleep(Duration::from_millis(60));
    }
    // All run, and all have applied their effect: half of their 10 s is over.
    sleep(Duration::from_millis(5200));
    let running: Vec<usize> = pool
        .nodes
        .iter()
        .map(|node| node.engine.running())
        .collect();
    case.record
        .say(format!("loads running by node: {running:?}"));
    let mut listed_at = f64::INFINITY;
    if case.trouble {
        listed_at = pool.replace_first(case, &log)?;
    }
    for answer in calls {
        let _ = answer.join();
    }
    drop(gateway);
    // A repeat at the new node counts if it was sent when the list had told of the node.
    let sent_untold: Vec<String> = {
        let starts = pool.ledger.starts.lock().unwrap();
        let untold = starts
            .iter()
            .filter(|start| start.engine == "s-7" && start.at < listed_at + TOLD_SLACK_SECONDS);
        untold.map(|start| start.id.clone()).collect()
    };
    case.record.say(format!(
        "sent to the new node before the list told of it: {sent_untold:?}"
    ));
    let mut applied = BTreeMap::<String, Vec<String>>::new();
    for effect in pool.ledger.effects.lock().unwrap().iter() {
        if effect.engine == "s-7" && sent_untold.contains(&effect.id) {
            continue;
        }
        let place = format!("{} at {:.3}", effect.engine, effect.at);
        applied.entry(effect.id.clone()).or_default().push(place);
    }
    let twice: Vec<_> = applied
        .iter()
        .filter(|(_, places)| places.len() > 1)
        .collect();
    for (id, places) in &twice {
        case.record.say(format!(
            "load {id} was applied {} times: {places:?}",
            places.len()
        ));
    }
    case.record.say(format!(
        "{} loads applied, {} of them more than once",
        applied.len(),
        twice.len()
    ));
    Ok(if twice.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
