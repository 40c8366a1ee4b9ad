//! The connection set beside played logs: every connection behaves as drawn, time goes on in steps, and each step is judged.

use super::*;
use proptest::prelude::*;

/// Milliseconds between two looks of the played world.
const STEP: u64 = 10;
/// A list of 3,200 engines, in bytes.
const LONG_LIST: usize = 440_000;
/// Pauses of the reconnect that settings may ask for, in milliseconds; longer ones are cut to 500.
const PAUSES: [u64; 3] = [50, 250, 3000];

/// Open at once to one log, by docs/CAPACITY.md.
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
    /// Its first line, which ends the event that is due, comes so late; then it lives.
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
    /// When its event has come whole, if it does.
    fn told_after(self) -> Option<u64> {
        match self {
            Served::Ends { .. } | Served::Silent | Served::Trickles => None,
            Served::Late { event } | Served::Comments { event } => Some(event),
            Served::LongList { rate } => Some((LONG_LIST as u64 * 1000).div_ceil(rate as u64)),
        }
    }

    /// What comes in the step that ends at this age.
    fn comes(self, age: u64) -> Option<Received> {
        let lives = |from: u64| age >= from && (age - from) % 1000 < STEP;
        let whole = Received {
            bytes: 3,
            lines: 2,
            unfinished: false,
        };
        let part = |bytes| Received {
            bytes,
            lines: 0,
            unfinished: true,
        };
        let told = self
            .told_after()
            .is_some_and(|told| (told..told + STEP).contains(&age));
        match self {
            _ if told => Some(whole),
            Served::Ends { .. } | Served::Silent => None,
            Served::Late { event } => lives(event).then_some(whole),
            Served::Comments { .. } => lives(0).then_some(whole),
            Served::Trickles => (age % 200 < STEP).then_some(part(1)),
            Served::LongList { rate } if age < LONG_LIST as u64 * 1000 / rate as u64 => {
                Some(part(rate * STEP as usize / 1000))
            }
            Served::LongList { .. } => lives(0).then_some(whole),
        }
    }
}

struct Open {
    id: ConnectionId,
    served: Served,
    opened: u64,
    last_byte: u64,
}

/// What a played log has seen.
#[derive(Debug, Default)]
struct Played {
    heard: Option<u64>,
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
    /// What comes on a connection in the step that ends now; whether anything did.
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
        let Some(received) = served.comes(age) else {
            return false;
        };
        self.set.received(id, ms(now), received);
        self.played.bytes += received.bytes;
        self.open[place].last_byte = now;
        let told = served
            .told_after()
            .is_some_and(|told| (told..told + STEP).contains(&age));
        if told && self.played.heard.is_none() {
            self.set.advanced(id);
            self.played.heard = Some(now);
        }
        true
    }

    /// Does what the set wants done, as the driver does after each step.
    fn act(&mut self, now: u64) -> usize {
        let mut actions = 0;
        while let Some(action) = self.set.poll(ms(now)) {
            actions += 1;
            assert!(actions <= 2 * MOST_OPEN, "no end of actions at {now} ms");
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
                    judge_close(
                        &self.open[place],
                        place,
                        now,
                        reason,
                        self.played.heard.is_some(),
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

/// Plays a log for so long, and judges each step.
fn play(set: &mut ConnectionSet, served: impl Fn(usize) -> Served, long: u64) -> Played {
    let mut world = World {
        set,
        served,
        open: Vec::new(),
        played: Played::default(),
    };
    let mut wake = Duration::ZERO;
    for now in (0..long).step_by(STEP as usize) {
        let ids: Vec<ConnectionId> = world.open.iter().map(|open| open.id).collect();
        let mut came = false;
        for id in ids {
            if world.step(id, now) {
                came = true;
                world.act(now);
            }
        }
        let actions = world.act(now);
        assert!(
            came || actions == 0 || wake <= ms(now),
            "acts at {now} ms, woken for {wake:?}"
        );
        wake = world.set.wake();
        assert!(wake > ms(now), "awake again at once at {now} ms");
    }
    Played {
        open: world.open.len(),
        ..world.played
    }
}

/// A connection is closed only where it may be.
fn judge_close(open: &Open, place: usize, now: u64, reason: CloseReason, heard: bool) {
    let (age, quiet) = (ms(now - open.opened), ms(now - open.last_byte));
    match reason {
        CloseReason::Silent => assert!(
            quiet >= TOLD || age >= LONGEST_LINE,
            "{age:?} old, {quiet:?} quiet"
        ),
        CloseReason::Redundant => assert!(heard || age >= TOLD, "{age:?} old and nothing heard"),
        CloseReason::Replaced => {
            let newest = place == MOST_OPEN - 1 && age >= SILENT;
            assert!(
                age >= TOLD && quiet >= SILENT || newest,
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
    /// connections brings in its time is heard.
    #[test]
    fn any_log_is_followed_within_bounds(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        served in prop::collection::vec(any_served(), 1..12),
    ) {
        let played = play(&mut set(seed, pause), |n| served[n % served.len()], 30_000);
        for (number, opened) in played.opened.iter().take(MOST_OPEN - 1).enumerate() {
            let told = served[number % served.len()].told_after().map(|told| opened + told);
            if let Some(told) = told.filter(|told| *told < opened + 7000) {
                let heard = played.heard.expect("heard");
                prop_assert!(heard <= told + STEP, "connection {number} told at {told} ms, heard at {heard} ms");
            }
        }
    }

    /// A log that is late on each connection alike is heard on the first.
    #[test]
    fn a_log_that_is_always_late_is_heard_inside_its_time(
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
        prop_assert!(played.heard.is_some_and(|heard| heard < 7000), "{played:?}");
        prop_assert_eq!(played.open, 1, "the others are closed");
    }

    /// Three connections that are silent, trickle or end come to nothing; the fourth is opened in time.
    #[test]
    fn behind_three_that_come_to_nothing_a_list_is_heard(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        bad in prop::collection::vec(
            prop_oneof![Just(Served::Silent), Just(Served::Trickles), (0..500u64).prop_map(|after| Served::Ends { after })],
            0..=3,
        ),
    ) {
        let served = |n: usize| bad.get(n).copied().unwrap_or(Served::Late { event: 200 });
        let played = play(&mut set(seed, pause), served, 10_000);
        prop_assert!(played.heard.is_some_and(|heard| heard < 7000), "{played:?}");
    }

    /// Nor does a log that is late hide behind two connections that come to nothing.
    #[test]
    fn behind_two_that_come_to_nothing_a_late_list_is_heard(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        late in STEP..2200,
    ) {
        let served = |n: usize| if n < 2 { Served::Silent } else { Served::Late { event: late } };
        let played = play(&mut set(seed, pause), served, 10_000);
        prop_assert!(played.heard.is_some_and(|heard| heard < 7000), "{played:?}");
    }

    /// A long list over a slow link is heard on the first connection, and no more than twice its bytes are asked for.
    #[test]
    fn a_long_list_is_asked_for_twice_at_most(
        seed: u64,
        pause in prop::sample::select(PAUSES.to_vec()),
        rate in 25_000..2_000_000usize,
    ) {
        let served = Served::LongList { rate };
        let played = play(&mut set(seed, pause), |_| served, 30_000);
        prop_assert_eq!(played.heard.map(|heard| heard / STEP), served.told_after().map(|told| told.div_ceil(STEP)));
        let comments = 30 * 3;
        prop_assert!(played.bytes <= 2 * LONG_LIST + comments, "{} bytes, {:?}", played.bytes, played.opened);
    }

    /// What ends at once is opened again at its pace.
    #[test]
    fn connections_that_end_keep_the_pace(seed: u64, pause in prop::sample::select(PAUSES.to_vec()), after in 0..200u64) {
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
fn a_comment_that_is_late_by_a_second_costs_no_connection() {
    let mut set = set(1, 250);
    let Some(Action::Open(id)) = set.poll(Duration::ZERO) else {
        panic!("the first is opened at once")
    };
    let whole = Received {
        bytes: 3,
        lines: 2,
        unfinished: false,
    };
    for second in [1000, 2000, 4000, 5000, 7000, 9000] {
        assert_eq!(set.poll(ms(second)), None, "at {second} ms");
        set.received(id, ms(second), whole);
    }
}

#[test]
fn a_log_that_moved_is_connected_to_at_once() {
    let mut set = set(1, 500);
    while set.poll(ms(0)).is_some() {}
    while set.poll(ms(2600)).is_some() {}
    set.moved(ms(2700));
    assert!(matches!(set.poll(ms(2700)), Some(Action::Open(_))));
    assert_eq!(set.poll(ms(2700)), None, "and no other beside it");
}

/// Of two that live, the one that was silent before is closed once the newer has had its time.
#[test]
fn two_that_live_are_one_again_after_a_while() {
    let mut set = set(1, 250);
    let mut open = Vec::new();
    let whole = Received {
        bytes: 3,
        lines: 2,
        unfinished: false,
    };
    for now in (0..15_000).step_by(100) {
        while let Some(action) = set.poll(ms(now)) {
            match action {
                Action::Open(id) => open.push(id),
                Action::Close(id, reason) => {
                    assert_eq!((id, reason), (open[0], CloseReason::Redundant));
                    assert!((9200..10_500).contains(&now), "closed at {now} ms");
                    open.remove(0);
                }
            }
        }
        // The first says nothing in its first three seconds.
        for (number, id) in open.iter().enumerate() {
            if now % 1000 == 0 && (number > 0 || now >= 3000) {
                set.received(*id, ms(now), whole);
            }
        }
    }
    assert_eq!(open.len(), 1);
}

/// Beside one that lives, one that only trickles is heard out for a time, and no longer.
#[test]
fn a_trickle_is_closed_in_the_end() {
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
