//! Property tests of [`ConnectionSet`] against a simulated change log.
//!
//! Each connection follows a generated [`Behaviour`]. Simulated time advances in steps of [`STEP_MS`], and the
//! invariants are checked in each step.

use super::*;
use proptest::prelude::*;

/// Length of one simulated step, in milliseconds.
const STEP_MS: u64 = 10;
/// Size of an event with a list of 3,200 engines, in bytes.
const LONG_LIST: usize = 440_000;
/// Reconnect pauses as the settings may have them, in milliseconds; [`ReconnectBackoff`] shortens those over 500 ms to
/// 500 ms.
const RECONNECT_PAUSES_MS: [u64; 3] = [50, 250, 3000];

/// The limit of concurrent connections to one log that docs/CAPACITY.md states; independent of [`MAX_OPEN`].
const DOCUMENTED_MAX_OPEN: usize = 3;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What the log sends on one connection. `after` and `event` are in milliseconds since the connection was opened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Nothing is sent, and the connection ends.
    Ends { after: u64 },
    /// Nothing is sent, and the connection stays open.
    Silent,
    /// Nothing is sent before the due event, which is followed by a comment each second.
    Late { event: u64 },
    /// A comment is sent each second from the start, and the due event at `event`.
    Comments { event: u64 },
    /// One byte is sent every 200 ms, and never a line feed.
    Trickles,
    /// One line of `LONG_LIST` bytes is sent at `rate` bytes per second, followed by a comment each second.
    LongList { rate: usize },
}

impl Behaviour {
    /// The age of the connection at which its event is complete, in milliseconds; `None` if the event is never sent.
    fn event_after(self) -> Option<u64> {
        match self {
            Behaviour::Ends { .. } | Behaviour::Silent | Behaviour::Trickles => None,
            Behaviour::Late { event } | Behaviour::Comments { event } => Some(event),
            Behaviour::LongList { rate } => Some((LONG_LIST as u64 * 1000).div_ceil(rate as u64)),
        }
    }

    /// The data received in the step that ends at this age of the connection, in milliseconds.
    fn received(self, age: u64) -> Option<Received> {
        let comments = |from: u64| age >= from && (age - from) % 1000 < STEP_MS;
        let complete = Received {
            bytes: 3,
            completed_fields: 2,
            unfinished: false,
        };
        let part = |bytes| Received {
            bytes,
            completed_fields: 0,
            unfinished: true,
        };
        let event_due = self
            .event_after()
            .is_some_and(|event_due| (event_due..event_due + STEP_MS).contains(&age));
        match self {
            _ if event_due => Some(complete),
            Behaviour::Ends { .. } | Behaviour::Silent => None,
            Behaviour::Late { event } => comments(event).then_some(complete),
            Behaviour::Comments { .. } => comments(0).then_some(complete),
            Behaviour::Trickles => (age % 200 < STEP_MS).then_some(part(1)),
            Behaviour::LongList { rate } if age < LONG_LIST as u64 * 1000 / rate as u64 => {
                Some(part(rate * STEP_MS as usize / 1000))
            }
            Behaviour::LongList { .. } => comments(0).then_some(complete),
        }
    }
}

/// An open connection; times are in milliseconds of simulated time.
struct OpenConnection {
    id: ConnectionId,
    behaviour: Behaviour,
    opened_at: u64,
    last_byte_at: u64,
}

/// The observations of one simulated log.
#[derive(Debug, Default)]
struct LogObservations {
    /// When the event was delivered first, in milliseconds of simulated time.
    delivered_at: Option<u64>,
    /// When each connection was opened, in milliseconds of simulated time.
    opened: Vec<u64>,
    /// Bytes sent on all connections.
    bytes: usize,
    /// The number of connections open at the end.
    open: usize,
}

/// A connection set and the simulated connections that it has opened.
struct Simulation<'a, F> {
    set: &'a mut ConnectionSet,
    behaviour: F,
    open: Vec<OpenConnection>,
    observed: LogObservations,
}

impl<F: Fn(usize) -> Behaviour> Simulation<'_, F> {
    /// Passes the data that a connection receives in the step ending at `now` to the set. Returns whether the
    /// connection received data or ended.
    fn step(&mut self, id: ConnectionId, now: u64) -> bool {
        let Some(index) = self.open.iter().position(|open| open.id == id) else {
            return false;
        };
        let OpenConnection {
            behaviour,
            opened_at,
            ..
        } = self.open[index];
        let age = now - opened_at;
        if matches!(behaviour, Behaviour::Ends { after } if age >= after) {
            self.set.ended(id, ms(now));
            self.open.remove(index);
            return true;
        }
        let Some(received) = behaviour.received(age) else {
            return false;
        };
        self.set.received(id, ms(now), received);
        self.observed.bytes += received.bytes;
        self.open[index].last_byte_at = now;
        let event_due = behaviour
            .event_after()
            .is_some_and(|event_due| (event_due..event_due + STEP_MS).contains(&age));
        if event_due && self.observed.delivered_at.is_none() {
            self.set.event_received(id);
            self.observed.delivered_at = Some(now);
        }
        true
    }

    /// Runs the due actions, as the driver does after each step, and returns their number.
    fn run_actions(&mut self, now: u64) -> usize {
        let mut actions = 0;
        while let Some(action) = self.set.poll(ms(now)) {
            actions += 1;
            assert!(actions <= 2 * MAX_OPEN, "too many actions at {now} ms");
            match action {
                Action::Open(id) => {
                    let behaviour = (self.behaviour)(self.observed.opened.len());
                    self.observed.opened.push(now);
                    self.open.push(OpenConnection {
                        id,
                        behaviour,
                        opened_at: now,
                        last_byte_at: now,
                    });
                }
                Action::Close(id, reason) => {
                    let index = self
                        .open
                        .iter()
                        .position(|open| open.id == id)
                        .expect("the closed connection is open");
                    check_close(
                        &self.open[index],
                        index,
                        now,
                        reason,
                        self.observed.delivered_at.is_some(),
                    );
                    self.open.remove(index);
                }
            }
        }
        assert!(
            self.open.len() <= DOCUMENTED_MAX_OPEN,
            "{} open at {now} ms",
            self.open.len()
        );
        actions
    }
}

/// Simulates a log for `duration_ms`, and checks the invariants in each step.
fn simulate(
    set: &mut ConnectionSet,
    behaviour: impl Fn(usize) -> Behaviour,
    duration_ms: u64,
) -> LogObservations {
    let mut simulation = Simulation {
        set,
        behaviour,
        open: Vec::new(),
        observed: LogObservations::default(),
    };
    let mut next_poll = Duration::ZERO;
    for now in (0..duration_ms).step_by(STEP_MS as usize) {
        let ids: Vec<ConnectionId> = simulation.open.iter().map(|open| open.id).collect();
        let mut has_received = false;
        for id in ids {
            if simulation.step(id, now) {
                has_received = true;
                simulation.run_actions(now);
            }
        }
        let actions = simulation.run_actions(now);
        assert!(
            has_received || actions == 0 || next_poll <= ms(now),
            "action at {now} ms, before the next poll due at {next_poll:?}"
        );
        next_poll = simulation.set.next_poll_at();
        assert!(
            next_poll > ms(now),
            "next poll is due immediately at {now} ms"
        );
    }
    LogObservations {
        open: simulation.open.len(),
        ..simulation.observed
    }
}

/// Checks that the connection at `index` may be closed for this reason. `delivered` tells whether the event has
/// arrived.
fn check_close(
    open: &OpenConnection,
    index: usize,
    now: u64,
    reason: LogCloseReason,
    delivered: bool,
) {
    let (age, silent_for) = (ms(now - open.opened_at), ms(now - open.last_byte_at));
    match reason {
        LogCloseReason::Silent => assert!(
            silent_for >= NOTIFICATION_DEADLINE || age >= MAX_FIELD_DURATION,
            "connection {age:?} old, last byte {silent_for:?} ago"
        ),
        LogCloseReason::Redundant => assert!(
            delivered || age >= NOTIFICATION_DEADLINE,
            "connection {age:?} old, event not delivered"
        ),
        LogCloseReason::Replaced => {
            let newest = index == MAX_OPEN - 1 && age >= PROGRESS_TIMEOUT;
            assert!(
                age >= NOTIFICATION_DEADLINE && silent_for >= PROGRESS_TIMEOUT || newest,
                "connection {index}, {age:?} old, last byte {silent_for:?} ago"
            );
        }
    }
}

fn set(seed: u64, pause: u64) -> ConnectionSet {
    ConnectionSet::new(ReconnectBackoff::new(ms(pause), seed))
}

fn any_behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        (0..3000u64).prop_map(|after| Behaviour::Ends { after }),
        Just(Behaviour::Silent),
        (STEP_MS..9000).prop_map(|event| Behaviour::Late { event }),
        (STEP_MS..9000).prop_map(|event| Behaviour::Comments { event }),
        Just(Behaviour::Trickles),
        (20_000..2_000_000usize).prop_map(|rate| Behaviour::LongList { rate }),
    ]
}

proptest! {
    /// For any behaviour of the connections, the number of open ones is bounded, none is closed early, and the number
    /// of actions in each step is bounded. An event that one of the first two connections sends within 7 s is
    /// delivered.
    #[test]
    fn any_log_is_followed_within_the_bounds_on_connections(
        seed: u64,
        pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()),
        behaviours in prop::collection::vec(any_behaviour(), 1..12),
    ) {
        let observed = simulate(&mut set(seed, pause), |n| behaviours[n % behaviours.len()], 30_000);
        for (number, opened) in observed.opened.iter().take(MAX_OPEN - 1).enumerate() {
            let event_due = behaviours[number % behaviours.len()].event_after().map(|event_due| opened + event_due);
            if let Some(event_due) = event_due.filter(|event_due| *event_due < opened + 7000) {
                let delivered_at = observed.delivered_at.expect("the event was delivered");
                prop_assert!(delivered_at <= event_due + STEP_MS, "connection {number} due at {event_due} ms, delivered at {delivered_at} ms");
            }
        }
    }

    /// A log that answers each connection equally late delivers the event on the first, before 7 s have passed. Closing
    /// a late connection in favour of a fresh one would delay the event again each time.
    #[test]
    fn log_that_is_late_on_each_connection_delivers_in_time(
        seed: u64,
        pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()),
        late in STEP_MS..6900,
        comments: bool,
    ) {
        let behaviour = match comments {
            true => Behaviour::Comments { event: late },
            false => Behaviour::Late { event: late },
        };
        let observed = simulate(&mut set(seed, pause), |_| behaviour, 10_000);
        prop_assert!(observed.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{observed:?}");
        prop_assert_eq!(observed.open, 1, "the other connections are closed");
    }

    /// Where up to three connections are silent, trickle or end, the next one is opened early enough to deliver within
    /// 7 s.
    #[test]
    fn list_behind_three_failing_connections_is_delivered(
        seed: u64,
        pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()),
        failing in prop::collection::vec(
            prop_oneof![Just(Behaviour::Silent), Just(Behaviour::Trickles), (0..500u64).prop_map(|after| Behaviour::Ends { after })],
            0..=3,
        ),
    ) {
        let behaviour = |n: usize| failing.get(n).copied().unwrap_or(Behaviour::Late { event: 200 });
        let observed = simulate(&mut set(seed, pause), behaviour, 10_000);
        prop_assert!(observed.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{observed:?}");
    }

    /// An event that is late on the third connection arrives within 7 s though the first two are silent.
    #[test]
    fn late_list_behind_two_silent_connections_is_delivered(
        seed: u64,
        pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()),
        late in STEP_MS..2200,
    ) {
        let behaviour = |n: usize| if n < 2 { Behaviour::Silent } else { Behaviour::Late { event: late } };
        let observed = simulate(&mut set(seed, pause), behaviour, 10_000);
        prop_assert!(observed.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{observed:?}");
    }

    /// A long list over a slow link is delivered on the first connection, and the log sends at most twice its bytes in
    /// all.
    #[test]
    fn long_list_is_sent_twice_at_most(
        seed: u64,
        pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()),
        rate in 25_000..2_000_000usize,
    ) {
        let behaviour = Behaviour::LongList { rate };
        let observed = simulate(&mut set(seed, pause), |_| behaviour, 30_000);
        prop_assert_eq!(observed.delivered_at.map(|delivered_at| delivered_at / STEP_MS), behaviour.event_after().map(|event_due| event_due.div_ceil(STEP_MS)));
        let comments = 30 * 3;
        prop_assert!(observed.bytes <= 2 * LONG_LIST + comments, "{} bytes, {:?}", observed.bytes, observed.opened);
    }

    /// If each connection ends within 200 ms, successive connections are opened at least the reconnect pause apart, or
    /// 500 ms if the pause is longer.
    #[test]
    fn connections_that_end_are_reopened_after_the_backoff(seed: u64, pause in prop::sample::select(RECONNECT_PAUSES_MS.to_vec()), after in 0..200u64) {
        let observed = simulate(&mut set(seed, pause), |_| Behaviour::Ends { after }, 10_000);
        for pair in observed.opened.windows(2) {
            prop_assert!(pair[1] - pair[0] + STEP_MS >= pause.min(500), "{:?}", observed.opened);
        }
    }
}

#[test]
fn healthy_log_has_one_connection() {
    let observed = simulate(
        &mut set(1, 250),
        |_| Behaviour::Comments { event: 100 },
        60_000,
    );
    assert_eq!(observed.opened, [0]);
}

#[test]
fn comment_late_by_a_second_opens_no_connection() {
    let mut set = set(1, 250);
    let Some(Action::Open(id)) = set.poll(Duration::ZERO) else {
        panic!("the first connection is not opened at once")
    };
    let complete = Received {
        bytes: 3,
        completed_fields: 2,
        unfinished: false,
    };
    for second in [1000, 2000, 4000, 5000, 7000, 9000] {
        assert_eq!(set.poll(ms(second)), None, "at {second} ms");
        set.received(id, ms(second), complete);
    }
}

#[test]
fn log_at_a_new_address_is_connected_to_at_once() {
    let mut set = set(1, 500);
    while set.poll(ms(0)).is_some() {}
    while set.poll(ms(2600)).is_some() {}
    set.address_changed(ms(2700));
    assert!(matches!(set.poll(ms(2700)), Some(Action::Open(_))));
    assert_eq!(
        set.poll(ms(2700)),
        None,
        "a second connection is opened as well"
    );
}

/// After a silent first connection has revived, it is closed once the newer one is proven.
#[test]
fn older_of_two_live_connections_is_closed() {
    let mut set = set(1, 250);
    let mut open = Vec::new();
    let complete = Received {
        bytes: 3,
        completed_fields: 2,
        unfinished: false,
    };
    for now in (0..15_000).step_by(100) {
        while let Some(action) = set.poll(ms(now)) {
            match action {
                Action::Open(id) => open.push(id),
                Action::Close(id, reason) => {
                    assert_eq!((id, reason), (open[0], LogCloseReason::Redundant));
                    assert!((9200..10_500).contains(&now), "closed at {now} ms");
                    open.remove(0);
                }
            }
        }
        // The first connection receives nothing in its first 3 s.
        for (number, id) in open.iter().enumerate() {
            if now % 1000 == 0 && (number > 0 || now >= 3000) {
                set.received(*id, ms(now), complete);
            }
        }
    }
    assert_eq!(open.len(), 1);
}

/// A connection that only trickles is closed after `MAX_FIELD_DURATION`, here 20 s, even where another one is live.
#[test]
fn trickling_connection_is_closed_beside_a_live_one() {
    let behaviour = |n: usize| {
        if n == 0 {
            Behaviour::Trickles
        } else {
            Behaviour::Comments { event: 60_000 }
        }
    };
    assert_eq!(simulate(&mut set(1, 250), behaviour, 19_900).open, 2);
    assert_eq!(simulate(&mut set(1, 250), behaviour, 20_500).open, 1);
}
