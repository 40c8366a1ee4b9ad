//! A gateway that works with a subset of its engines, over sockets: engines are killed, drained and replaced, a zone is lost,
//! lists come late, in part and twice. What the gateway did is judged by what the engines saw.

mod helper;

use helper::process::{ms, EngineProcess, ReceivedAttempt};
use helper::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufReader;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::Instant;

const ENGINES: usize = 40;
const ZONES: usize = 4;
const SIZE: usize = 8;
/// Members that a gateway has at least while so many engines are ready.
const FLOOR: usize = 4;
const RESERVE: usize = 4;
/// Members that are killed, so many that a batch may meet one after another.
const KILLED: usize = 2;
/// So many gateways share the engines that the size is over the least that leaves no engine without gateways.
const GATEWAYS: usize = 240;
/// So many that a gateway's part of an engine is no bound here.
const CORES: usize = 16_384;

/// A gateway before many engines.
struct World {
    engines: Vec<EngineProcess>,
    service: Service,
    said: PathBuf,
    /// The number of the change that was told last.
    number: AtomicU64,
}

fn zone(engine: usize) -> String {
    format!("z{}", engine % ZONES)
}

fn line_of(id: &str, engine: usize, process: &EngineProcess, state: &str) -> Value {
    let mut line = endpoint(id, process.address, state);
    line["zone"] = json!(zone(engine));
    line
}

impl World {
    fn start() -> World {
        let engines: Vec<EngineProcess> = (0..ENGINES).map(|_| EngineProcess::start()).collect();
        let lines: Vec<Value> = engines
            .iter()
            .enumerate()
            .map(|(n, e)| line_of(&format!("s-{n}"), n, e, "SERVING"))
            .collect();
        let said = Mutex::new(PathBuf::new());
        let service = Service::with_launcher(
            |config| {
                config["known"]["results"][0] = list_event(0, true, &lines);
                config["settings"]["zones"] = (0..ZONES).map(zone).collect();
                config["settings"]["balancers"] = json!(GATEWAYS);
                config["settings"]["domain"]["kind-cores"] = json!([CORES]);
                // One more than the engines that are killed before the list tells.
                config["settings"]["allowed"]["max-attempts"] = json!(KILLED + 1);
                config["limits"]["sockets"] = json!(1024);
                config["subset"] = json!({"size": SIZE, "class_floor": FLOOR, "reserve": RESERVE,
                    "joins_per_second": 20.0});
            },
            |config| {
                let file = write_config(config);
                let path = file.with_extension("said");
                let child = serve_from(&file, File::create(&path).unwrap().into());
                *said.lock().unwrap() = path;
                child
            },
        );
        let said = said.into_inner().unwrap();
        World {
            engines,
            service,
            said,
            number: AtomicU64::new(0),
        }
    }

    fn said(&self) -> String {
        std::fs::read_to_string(&self.said).unwrap()
    }

    fn line(&self, engine: usize, state: &str) -> Value {
        line_of(&format!("s-{engine}"), engine, &self.engines[engine], state)
    }

    /// Tells a change, and waits until the gateway has applied it.
    fn publish(&self, whole: bool, lines: &[Value]) {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        self.service.log.publish(list_event(number, whole, lines));
        wait_until("the change is applied", || {
            self.said()
                .contains(&format!("engine list updated event={number} "))
        });
    }

    /// Runs batches beside one another, so many that every member has some; how many came back with their rows.
    fn work(&self) -> usize {
        let returned = AtomicU64::new(0);
        scope(|scope| {
            for n in 0..4 * SIZE {
                let returned = &returned;
                scope.spawn(move || {
                    let answer = self
                        .service
                        .query("report", &format!("SELECT {n} /* runs 250 */"));
                    returned.fetch_add(u64::from(answer.succeeded()), Ordering::Relaxed);
                });
            }
        });
        returned.into_inner() as usize
    }

    /// Engines that something was started on since then.
    fn used(&self, since: Instant) -> BTreeSet<usize> {
        let used = |n: &usize| {
            self.engines[*n]
                .attempts()
                .iter()
                .any(|d| d.received_at >= since)
        };
        (0..self.engines.len()).filter(used).collect()
    }

    /// Works until as many engines as the subset is to have were used in one round; which ones.
    fn members(&self) -> BTreeSet<usize> {
        let begun = Instant::now();
        loop {
            let since = Instant::now();
            let returned = self.work();
            let used = self.used(since);
            assert_eq!(returned, 4 * SIZE, "of so many batches: {}", self.said());
            assert!(used.len() <= SIZE + RESERVE, "{used:?}");
            if used.len() >= SIZE {
                return used;
            }
            assert!(
                begun.elapsed() < ms(8000),
                "only {used:?} are used: {}",
                self.said()
            );
        }
    }

    /// All that was started with a text, as it came.
    fn started(&self, text: &str) -> Vec<ReceivedAttempt> {
        let of = |e: &EngineProcess| {
            e.attempts()
                .into_iter()
                .filter(|d| d.statement.contains(text))
        };
        let mut started: Vec<ReceivedAttempt> = self.engines.iter().flat_map(of).collect();
        started.sort_by_key(|d| d.received_at);
        started
    }
}

/// A batch on its way, whose answer is read later.
fn sent(world: &World, group: &str, more: &str, statement: &str) -> TcpStream {
    let stream = world.service.open();
    send(
        &stream,
        &format!("POST /v1/{group}"),
        &format!("{}{more}", request_fields(&new_id(), 3000)),
        statement,
    );
    stream
}

fn answer(stream: TcpStream) -> Answer {
    Answer::of(read_message(&mut BufReader::new(stream)).expect("an answer"))
}

#[test]
fn work_goes_to_the_subset_and_to_no_other_engine() {
    let world = World::start();
    let first = world.members();
    assert_eq!(first.len(), SIZE);
    assert_eq!(world.members(), first, "it stays while nothing changes");
    assert_eq!(world.used(Instant::now() - ms(60_000)), first);
    // Nothing of the others is even probed.
    let probed = world
        .engines
        .iter()
        .enumerate()
        .filter(|(_, e)| !e.state().connections.is_empty());
    let probed: BTreeSet<usize> = probed.map(|(n, _)| n).collect();
    assert!(probed.len() <= SIZE + RESERVE, "{probed:?}");
}

#[test]
fn a_member_told_draining_takes_nothing_new_and_ends_what_it_runs() {
    let world = World::start();
    let members = world.members();
    let streams: Vec<TcpStream> = (0..SIZE)
        .map(|n| {
            sent(
                &world,
                "report",
                "",
                &format!("SELECT {n} /* runs 900 */ /* out */"),
            )
        })
        .collect();
    wait_until("they are out", || world.started("/* out */").len() == SIZE);
    let drained: BTreeSet<usize> = members.iter().copied().take(3).collect();
    let out = |d: &ReceivedAttempt| {
        drained
            .iter()
            .any(|n| world.engines[*n].attempts().iter().any(|o| o.id == d.id))
    };
    assert!(
        world.started("/* out */").iter().any(out),
        "something runs on one that drains"
    );
    world.publish(
        false,
        &drained
            .iter()
            .map(|n| world.line(*n, "DRAINING"))
            .collect::<Vec<_>>(),
    );
    let told = Instant::now();
    let after = world.members();
    assert!(after.is_disjoint(&drained), "{after:?} after {drained:?}");
    assert!(world.used(told).is_disjoint(&drained));
    for stream in streams {
        assert!(answer(stream).succeeded());
    }
    for d in world.started("/* out */") {
        assert_eq!(d.stopped_at, None, "nothing was given up: {d:?}");
    }
    assert_eq!(
        world.started("/* out */").len(),
        SIZE,
        "nothing was started twice"
    );
    // One that takes work again may come back, and the gateway works on.
    world.publish(
        false,
        &drained
            .iter()
            .map(|n| world.line(*n, "SERVING"))
            .collect::<Vec<_>>(),
    );
    assert!(world.members().len() >= SIZE);
}

#[test]
fn killed_members_are_stood_in_for_and_replaced() {
    let world = World::start();
    let members = world.members();
    let killed: BTreeSet<usize> = members.iter().copied().take(KILLED).collect();
    for n in &killed {
        world.engines[*n].kill();
    }
    let since = Instant::now();
    assert_eq!(world.work(), 4 * SIZE, "before the list tells");
    assert!(world.used(since).len() >= SIZE - killed.len());
    // The list has others in their places.
    let mut lines: Vec<Value> = killed.iter().map(|n| world.line(*n, "DELETED")).collect();
    let newcomers: Vec<EngineProcess> = killed.iter().map(|_| EngineProcess::start()).collect();
    for (n, process) in killed.iter().zip(&newcomers) {
        lines.push(line_of(&format!("s-new-{n}"), *n, process, "SERVING"));
    }
    world.publish(false, &lines);
    let begun = Instant::now();
    loop {
        let since = Instant::now();
        assert_eq!(world.work(), 4 * SIZE);
        let new = newcomers
            .iter()
            .filter(|e| e.attempts().iter().any(|d| d.received_at >= since))
            .count();
        if world.used(since).len() + new >= SIZE {
            break;
        }
        assert!(begun.elapsed() < ms(8000), "{}", world.said());
    }
    assert!(world.used(since).is_disjoint(&killed));
}

/// A zone is gone and the list does not say so: attempts that fail widen the subset by engines that can be reached.
#[test]
fn members_that_fail_untold_are_stood_in_for_by_the_reserve() {
    let world = World::start();
    let dead: BTreeSet<usize> = (0..ENGINES).filter(|n| n % ZONES == 1).collect();
    for n in &dead {
        world.engines[*n].kill();
    }
    let begun = Instant::now();
    world.work();
    assert!(world.used(begun).len() < SIZE, "some members are dead");
    loop {
        let since = Instant::now();
        world.work();
        let used = world.used(since);
        assert!(
            used.is_disjoint(&dead) && used.len() <= SIZE + RESERVE,
            "{used:?}"
        );
        if used.len() >= SIZE {
            break;
        }
        assert!(begun.elapsed() < ms(12_000), "{used:?}: {}", world.said());
    }
    assert_eq!(world.work(), 4 * SIZE);
}

#[test]
fn a_lost_zone_is_refilled_from_the_others() {
    let world = World::start();
    world.members();
    let lost: BTreeSet<usize> = (0..ENGINES).filter(|n| n % ZONES == 1).collect();
    for n in &lost {
        world.engines[*n].kill();
    }
    world.publish(
        false,
        &lost
            .iter()
            .map(|n| world.line(*n, "DELETED"))
            .collect::<Vec<_>>(),
    );
    let told = Instant::now();
    // What is there serves all at once.
    assert_eq!(world.work(), 4 * SIZE);
    assert!(world.used(told).len() >= FLOOR);
    let members = world.members();
    assert!(members.is_disjoint(&lost), "{members:?}");
}

#[test]
fn whole_half_late_and_repeated_lists_leave_what_is_needed() {
    let world = World::start();
    world.members();
    let all: Vec<usize> = (0..ENGINES).collect();
    let (half, other) = all.split_at(ENGINES / 2);
    let lines = |of: &[usize]| {
        of.iter()
            .map(|n| world.line(*n, "SERVING"))
            .collect::<Vec<_>>()
    };
    for (part, whole) in [
        (half, true),
        (half, true),
        (other, true),
        (&all[..], true),
        (&all[..], false),
    ] {
        world.publish(whole, &lines(part));
        let told = Instant::now();
        assert_eq!(world.work(), 4 * SIZE);
        let used = world.used(told);
        assert!(used.len() >= FLOOR, "{used:?}");
        assert!(
            !whole || used.iter().all(|n| part.contains(n)),
            "{used:?} of {part:?}"
        );
    }
    // A list that has no engine, and one that has fewer than the subset.
    world.publish(true, &[]);
    world.publish(true, &lines(&all[..3]));
    let told = Instant::now();
    assert_eq!(world.work(), 4 * SIZE);
    assert_eq!(world.used(told), all[..3].iter().copied().collect());
    // The log is away for a while, and tells all that was missed at once.
    world.service.log.close_streams();
    world.publish(false, &lines(half));
    world.publish(true, &lines(&all));
    assert!(world.members().len() >= SIZE);
}

/// Batches of a key are started one at a time, in the order in which they were taken, though members come and go under them.
#[test]
fn order_per_key_is_held_while_members_come_and_go() {
    const KEYS: usize = 4;
    const BATCHES: usize = 6;
    let world = World::start();
    let mut streams = Vec::new();
    for n in 0..BATCHES {
        for key in 0..KEYS {
            let item = format!("X-Item: 7f3a9c21e0b4d{key:03x}\r\n");
            streams.push(sent(
                &world,
                "load",
                &item,
                &format!("INSERT key-{key} {n} /* runs 40 */"),
            ));
        }
        // Taken in this order.
        sleep(ms(60));
        let at = |n: usize| n * 7 % ENGINES;
        let changed = [
            (at(n), "DRAINING"),
            (at(n + 1), "DELETED"),
            (at(n.wrapping_sub(1) % ENGINES), "SERVING"),
        ];
        world.publish(false, &changed.map(|(n, state)| world.line(n, state)));
        if n == BATCHES / 2 {
            world.service.signal("HUP");
        }
    }
    let returned = streams
        .into_iter()
        .map(answer)
        .filter(Answer::succeeded)
        .count();
    for key in 0..KEYS {
        let started = world.started(&format!("INSERT key-{key} "));
        let numbers: Vec<&str> = started
            .iter()
            .map(|d| d.statement.split(' ').nth(2).unwrap())
            .collect();
        assert!(
            numbers.is_sorted() && !numbers.is_empty(),
            "key {key}: {numbers:?}"
        );
        for pair in started.windows(2) {
            let end = pair[0].ended_at().expect("it is over");
            assert!(end <= pair[1].received_at, "key {key}: {pair:?}");
        }
        let ids: BTreeSet<&String> = started.iter().map(|d| &d.id).collect();
        assert_eq!(
            ids.len(),
            started.len(),
            "key {key}: none that is once-only is started twice"
        );
    }
    assert!(returned >= KEYS * BATCHES / 2, "{returned} returned");
}

/// Engines named by id may be in no subset; zones, kinds and unions of such have a floor of their own.
#[test]
fn a_plan_beside_a_subset_has_pools_of_zones_and_kinds() {
    let service = Service::with(|config| {
        config["subset"] = json!({"size": SIZE});
        config["settings"]["kinds"] = json!(["std", "large"]);
    });
    let (config, plan) = (
        write_config(&service.config),
        write_config(&json!({})).with_extension("plan"),
    );
    let check = |text: &str| {
        std::fs::write(&plan, text).unwrap();
        let arguments = [
            "check-config",
            "--config",
            config.to_str().unwrap(),
            "--plan",
            plan.to_str().unwrap(),
        ];
        let ended = gateway_command(&arguments).output().unwrap();
        (
            ended.status.success(),
            String::from_utf8(ended.stderr).unwrap(),
        )
    };
    let near = "pool near {\n  zone east\n  kind std\n}\n\nroute all {\n  to near\n}\n";
    assert_eq!(check(near), (true, String::new()));
    for pool in [
        "pool few {\n  id s-1*\n}\n",
        "pool few {\n  zone east\n  except near\n}\n",
    ] {
        let (good, said) = check(&format!(
            "{pool}\nroute more {{\n  group load\n  to few\n}}\n\n{near}"
        ));
        assert!(
            !good && said.contains(": pool few: ") && said.contains("; name zones and kinds"),
            "{said}"
        );
    }
}

#[test]
fn sighup_keeps_the_subset_and_sigterm_ends_well() {
    let mut world = World::start();
    let members = world.members();
    let file = world.said.with_extension("json");
    let mut config = world.service.config.clone();
    config["subset"]["size"] = json!(2 * SIZE);
    std::fs::write(&file, config.to_string()).unwrap();
    world.service.signal("HUP");
    wait_until("it is read again", || {
        world.said().contains("configuration reloaded")
    });
    assert!(
        world
            .said()
            .contains("configuration change needs a restart key=\"subset\""),
        "{}",
        world.said()
    );
    assert_eq!(world.members(), members);
    config["subset"]["size"] = json!(0);
    std::fs::write(&file, config.to_string()).unwrap();
    world.service.signal("HUP");
    wait_until("it is refused", || {
        world.said().contains("configuration not reloaded")
    });
    assert!(world.said().contains("subset.size: 0 "), "{}", world.said());
    let out: Vec<TcpStream> = (0..SIZE)
        .map(|n| sent(&world, "report", "", &format!("SELECT {n} /* runs 600 */")))
        .collect();
    sleep(ms(100));
    world.service.signal("TERM");
    for stream in out {
        assert!(answer(stream).succeeded());
    }
    let status = world.service.child.wait().unwrap();
    assert!(status.success(), "{status}: {}", world.said());
    assert!(!world.said().contains("panicked"), "{}", world.said());
}
