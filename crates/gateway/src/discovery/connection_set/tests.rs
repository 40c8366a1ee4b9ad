//! The connection set with simulated logs: each connection behaves as drawn, time advances in steps, and each step is checked.

use super::*;
use proptest::prelude::*;

/// Milliseconds of one simulated step.
const STEP: u64 = 10;
/// Bytes of a list of 3,200 engines.
const LONG_LIST: usize = 440_000;
/// Pauses of the reconnect that settings may ask for, in milliseconds; longer ones are cut to 500.
const PAUSES: [u64; 3] = [50, 250, 3000];

/// Connections to one log at once, by docs/CAPACITY.md.
const BOUND: usize = 3;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How one connection is served; times are milliseconds since it was opened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Served {
    Ends {
        after: u64,
    },
    Silent,
    /// Its first line, which ends the event that is due, comes so late; then comments.
    Late {
        event: u64,
    },
    /// Comments each second from its start, the event so late.
    Comments {
        event: u64,
    },
    /// Bytes that never end a line.
    Trickles,
    /// A list of `LONG_LIST` bytes in one line, at so many bytes a second.
    LongList {
        rate: usize,
    },
}

impl Served {
    /// When its event is complete, if it ever is.
    fn event_after(self) -> Option<u64> {
        match self {
            Served::Ends { .. } | Served::Silent | Served::Trickles => None,
            Served::Late { event } | Served::Comments { event } => Some(event),
            Served::LongList { rate } => Some((LONG_LIST as u64 * 1000).div_ceil(rate as u64)),
        }
    }

    /// What is received in the step that ends at this age.
    fn received(self, age: u64) -> Option<Received> {
        let comments = |from: u64| age >= from && (age - from) % 1000 < STEP;
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
            .is_some_and(|event_due| (event_due..event_due + STEP).contains(&age));
        match self {
            _ if event_due => Some(complete),
            Served::Ends { .. } | Served::Silent => None,
            Served::Late { event } => comments(event).then_some(complete),
            Served::Comments { .. } => comments(0).then_some(complete),
            Served::Trickles => (age % 200 < STEP).then_some(part(1)),
            Served::LongList { rate } if age < LONG_LIST as u64 * 1000 / rate as u64 => {
                Some(part(rate * STEP as usize / 1000))
            }
            Served::LongList { .. } => comments(0).then_some(complete),
        }
    }
}

struct Open {
    id: ConnectionId,
    served: Served,
    opened: u64,
    last_byte: u64,
}

/// What a simulated log has seen.
#[derive(Debug, Default)]
struct Played {
    delivered_at: Option<u64>,
    /// When each connection was opened, in milliseconds.
    opened: Vec<u64>,
    bytes: usize,
    /// Connections that are open at the end.
    open: usize,
}

/// The connection set, driven against connections that behave as drawn.
struct World<'a, F> {
    set: &'a mut ConnectionSet,
    served: F,
    open: Vec<Open>,
    played: Played,
}

impl<F: Fn(usize) -> Served> World<'_, F> {
    /// Delivers what a connection receives in the step that ends now; whether that is anything.
    fn step(&mut self, id: ConnectionId, now: u64) -> bool {
        let Some(place) = self.open.iter().position(|open| open.id == id) else {
            return false;
        };
        let Open { served, opened, .. } = self.open[place];
        let age = now - opened;
        if matches!(served, Served::Ends { after } if age >= after) {
            self.set.ended(id, ms(now));
            self.open.remove(place);
            return true;
        }
        let Some(received) = served.received(age) else {
            return false;
        };
        self.set.received(id, ms(now), received);
        self.played.bytes += received.bytes;
        self.open[place].last_byte = now;
        let event_due = served
            .event_after()
            .is_some_and(|event_due| (event_due..event_due + STEP).contains(&age));
        if event_due && self.played.delivered_at.is_none() {
            self.set.event_received(id);
            self.played.delivered_at = Some(now);
        }
        true
    }

    /// Does the actions that are due, as the driver does after each step.
    fn act(&mut self, now: u64) -> usize {
        let mut actions = 0;
        while let Some(action) = self.set.poll(ms(now)) {
            actions += 1;
            assert!(actions <= 2 * MAX_OPEN, "no end of actions at {now} ms");
            match action {
                Action::Open(id) => {
                    let served = (self.served)(self.played.opened.len());
                    self.played.opened.push(now);
                    self.open.push(Open {
                        id,
                        served,
                        opened: now,
                        last_byte: now,
                    });
                }
                Action::Close(id, reason) => {
                    let place = self
                        .open
                        .iter()
                        .position(|open| open.id == id)
                        .expect("it is open");
                    check_close(
                        &self.open[place],
                        place,
                        now,
                        reason,
                        self.played.delivered_at.is_some(),
                    );
                    self.open.remove(place);
                }
            }
        }
        assert!(
            self.open.len() <= BOUND,
            "{} open at {now} ms",
            self.open.len()
        );
        actions
    }
}

/// Simulates a log for so many milliseconds, and checks each step.
fn play(set: &mut ConnectionSet, served: impl Fn(usize) -> Served, long: u64) -> Played {
    let mut world = World {
        set,
        served,
        open: Vec::new(),
        played: Played::default(),
    };
    let mut next_poll = Duration::ZERO;
    for now in (0..long).step_by(STEP as usize) {
        let ids: Vec<ConnectionId> = world.open.iter().map(|open| open.id).collect();
        let mut has_received = false;
        for id in ids {
            if world.step(id, now) {
                has_received = true;
                world.act(now);
            }
        }
        let actions = world.act(now);
        assert!(
            has_received || actions == 0 || next_poll <= ms(now),
            "acts at {now} ms, next poll was due at {next_poll:?}"
        );
        next_poll = world.set.next_poll_at();
        assert!(next_poll > ms(now), "due again at once at {now} ms");
    }
    Played {
        open: world.open.len(),
        ..world.played
    }
}

/// A connection is closed only where it may be.
fn check_close(open: &Open, place: usize, now: u64, reason: LogCloseReason, delivered: bool) {
    let (age, quiet) = (ms(now - open.opened), ms(now - open.last_byte));
    match reason {
        LogCloseReason::Silent => assert!(
            quiet >= NOTIFICATION_DEADLINE || age >= MAX_FIELD_DURATION,
            "{age:?} old, {quiet:?} quiet"
        ),
        LogCloseReason::Redundant => assert!(
            delivered || age >= NOTIFICATION_DEADLINE,
            "{age:?} old and nothing delivered"
        ),
        LogCloseReason::Replaced => {
            let newest = place == MAX_OPEN - 1 && age >= PROGRESS_TIMEOUT;
            assert!(
                age >= NOTIFICATION_DEADLINE && quiet >= PROGRESS_TIMEOUT || newest,
                "{age:?} old, {quiet:?} quiet, place {place}"
            );
        }
    }
}

fn set(seed: u64, pause: u64) -> ConnectionSet {
    ConnectionSet::new(Reconnect::new(ms(pause), seed))
}

fn any_served() -> impl Strategy<Value = Served> {
    prop_oneof![
        (0..3000u64).prop_map(|after| Served::Ends { after }),
        Just(Served::Silent),
        (STEP..9000).prop_map(|event| Served::Late { event }),
        (STEP..9000).prop_map(|event| Served::Comments { event }),
        Just(Served::Trickles),
        (20_000..2_000_000usize).prop_map(|rate| Served::LongList { rate }),
    ]
}

proptest! {
    /// Whatever the connections do: few are open, none is closed before its time, nothing spins, and what one of the first two
    /// connections delivers in its time arrives.
    #[test]
    fn any_log_is_followed_within_bounds(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        served in prop::collection::vec(any_served(), 1..12),
    ) {
        let played = play(&mut set(seed, pause), |n| served[n % served.len()], 30_000);
        for (number, opened) in played.opened.iter().take(MAX_OPEN - 1).enumerate() {
            let event_due = served[number % served.len()].event_after().map(|event_due| opened + event_due);
            if let Some(event_due) = event_due.filter(|event_due| *event_due < opened + 7000) {
                let delivered_at = played.delivered_at.expect("delivered");
                prop_assert!(delivered_at <= event_due + STEP, "connection {number} due at {event_due} ms, delivered at {delivered_at} ms");
            }
        }
    }

    /// A log that is late on each connection alike delivers on the first.
    #[test]
    fn a_log_that_is_always_late_delivers_in_time(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        late in STEP..6900,
        comments: bool,
    ) {
        let served = match comments {
            true => Served::Comments { event: late },
            false => Served::Late { event: late },
        };
        let played = play(&mut set(seed, pause), |_| served, 10_000);
        prop_assert!(played.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{played:?}");
        prop_assert_eq!(played.open, 1, "the others are closed");
    }

    /// Behind three connections that are silent, trickle or end, the fourth is opened in time.
    #[test]
    fn a_list_behind_three_failing_connections_is_delivered(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        bad in prop::collection::vec(
            prop_oneof![Just(Served::Silent), Just(Served::Trickles), (0..500u64).prop_map(|after| Served::Ends { after })],
            0..=3,
        ),
    ) {
        let served = |n: usize| bad.get(n).copied().unwrap_or(Served::Late { event: 200 });
        let played = play(&mut set(seed, pause), served, 10_000);
        prop_assert!(played.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{played:?}");
    }

    /// Nor is a late log missed behind two silent connections.
    #[test]
    fn a_late_list_behind_two_silent_connections_is_delivered(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        late in STEP..2200,
    ) {
        let served = |n: usize| if n < 2 { Served::Silent } else { Served::Late { event: late } };
        let played = play(&mut set(seed, pause), served, 10_000);
        prop_assert!(played.delivered_at.is_some_and(|delivered_at| delivered_at < 7000), "{played:?}");
    }

    /// A long list over a slow link is delivered on the first connection, and at most twice its bytes are requested.
    #[test]
    fn a_long_list_is_requested_twice_at_most(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        rate in 25_000..2_000_000usize,
    ) {
        let served = Served::LongList { rate };
        let played = play(&mut set(seed, pause), |_| served, 30_000);
        prop_assert_eq!(played.delivered_at.map(|delivered_at| delivered_at / STEP), served.event_after().map(|event_due| event_due.div_ceil(STEP)));
        let comments = 30 * 3;
        prop_assert!(played.bytes <= 2 * LONG_LIST + comments, "{} bytes, {:?}", played.bytes, played.opened);
    }

    /// A connection that ends at once is opened again after the backoff.
    #[test]
    fn connections_that_end_keep_the_backoff(seed: u64, pause in prop::sample::select(PAUSES.to_vec()), after in 0..200u64) {
        let played = play(&mut set(seed, pause), |_| Served::Ends { after }, 10_000);
        for pair in played.opened.windows(2) {
            prop_assert!(pair[1] - pair[0] + STEP >= pause.min(500), "{:?}", played.opened);
        }
    }
}

#[test]
fn a_healthy_log_has_one_connection() {
    let played = play(
        &mut set(1, 250),
        |_| Served::Comments { event: 100 },
        60_000,
    );
    assert_eq!(played.opened, [0]);
}

#[test]
fn a_comment_late_by_a_second_opens_no_connection() {
    let mut set = set(1, 250);
    let Some(Action::Open(id)) = set.poll(Duration::ZERO) else {
        panic!("the first is opened at once")
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
fn a_log_at_a_new_address_is_connected_to_at_once() {
    let mut set = set(1, 500);
    while set.poll(ms(0)).is_some() {}
    while set.poll(ms(2600)).is_some() {}
    set.address_changed(ms(2700));
    assert!(matches!(set.poll(ms(2700)), Some(Action::Open(_))));
    assert_eq!(set.poll(ms(2700)), None, "and no other beside it");
}

/// Of two live connections, the one that was silent before is closed once the newer is proven.
#[test]
fn of_two_live_connections_the_older_is_closed() {
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
        // The first says nothing in its first three seconds.
        for (number, id) in open.iter().enumerate() {
            if now % 1000 == 0 && (number > 0 || now >= 3000) {
                set.received(*id, ms(now), complete);
            }
        }
    }
    assert_eq!(open.len(), 1);
}

/// Beside a live connection, one that only trickles stays open for a time, and no longer.
#[test]
fn a_trickling_connection_is_closed() {
    let served = |n: usize| {
        if n == 0 {
            Served::Trickles
        } else {
            Served::Comments { event: 60_000 }
        }
    };
    assert_eq!(play(&mut set(1, 250), served, 19_900).open, 2);
    assert_eq!(play(&mut set(1, 250), served, 20_500).open, 1);
}
