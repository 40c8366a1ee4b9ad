//! The room beside a plain model that adds everything up anew, and what the policies cost on a played day.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const KIB: u64 = 1024;
const LIMITS: Limits = Limits {
    memory: 1024 * KIB,
    files: 4096 * KIB,
    batch_memory: 300 * KIB,
    batch: 2048 * KIB,
    share: 0.6,
    unknown_length: true,
    must_keep: Vec::new(),
};

#[derive(Clone, Debug)]
enum Event {
    Admit {
        tenant: usize,
        group: usize,
        length: Option<u64>,
    },
    Came(usize, u64),
    MoveOut,
    Moved(usize, bool),
    NotKept(usize),
    Freed(usize, u64),
    Over(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let length = prop_oneof![
        3 => (1u64..64 * KIB).prop_map(Some),
        3 => (64 * KIB..400 * KIB).prop_map(Some),
        1 => (400 * KIB..3000 * KIB).prop_map(Some),
        2 => Just(None),
    ];
    let n = 0usize..12;
    let event = prop_oneof![
        4 => (0usize..3, 0usize..2, length).prop_map(|(tenant, group, length)| Event::Admit { tenant, group, length }),
        3 => (n.clone(), 1u64..200 * KIB).prop_map(|(n, b)| Event::Came(n, b)),
        2 => Just(Event::MoveOut),
        2 => (n.clone(), any::<bool>()).prop_map(|(n, done)| Event::Moved(n, done)),
        1 => n.clone().prop_map(Event::NotKept),
        1 => (n.clone(), 1u64..300 * KIB).prop_map(|(n, b)| Event::Freed(n, b)),
        2 => n.prop_map(Event::Over),
    ];
    vec(event, 1..120)
}

/// What the whole list of bodies adds up to.
fn sums(room: &Room, tenant: Option<usize>) -> (u64, u64) {
    let of = room
        .held
        .values()
        .filter(|h| tenant.is_none_or(|t| h.tenant == t));
    of.fold((0, 0), |(memory, file), h| {
        (memory + h.memory, file + h.file)
    })
}

proptest! {
    #[test]
    fn budgets_hold_at_every_moment_and_sums_are_those_of_the_list(
        events in events(),
        policy in prop_oneof![Just(Policy::Newest), Just(Policy::Largest), Just(Policy::Oldest)],
    ) {
        let limits = Limits { must_keep: vec![false, true], ..LIMITS };
        let mut room = Room::new(limits.clone(), policy);
        let mut ids: Vec<BodyId> = Vec::new();
        let pick = |ids: &[BodyId], n: usize| ids.get(n % ids.len().max(1)).copied();
        for event in events {
            match event {
                Event::Admit { tenant, group, length } => {
                    let before = (sums(&room, None), sums(&room, Some(tenant)));
                    match room.admit(tenant, group, length) {
                        Ok(id) => {
                            ids.push(id);
                            prop_assert!(group == 0 || room.place(id) != Place::NotKept, "it must be kept");
                            prop_assert!(length.is_none_or(|l| l <= limits.batch));
                        }
                        Err(Refused::TooLarge { most }) => prop_assert!(length.is_some_and(|l| l > most)),
                        Err(Refused::UnknownLength) => prop_assert!(false, "it may be unknown"),
                        // By the list: not even what passes through has room, or it must be kept and fits nowhere.
                        Err(Refused::NoRoom) => {
                            let ((memory, file), (own, own_file)) = before;
                            let share = |budget: u64| (budget as f64 * limits.share) as u64;
                            let window = memory + WINDOW > limits.memory || own + WINDOW > share(limits.memory);
                            let first = length.unwrap_or(PIECE);
                            let slots = first.div_ceil(PIECE) * PIECE;
                            let files = file + slots > limits.files || own_file + slots > share(limits.files);
                            prop_assert!(window || (group == 1 && files), "{before:?} {length:?}");
                        }
                    }
                }
                Event::Came(n, bytes) => if let Some(id) = pick(&ids, n) {
                    let told = room.held.get(&id).is_some_and(|h| h.told);
                    match room.came(id, bytes) {
                        Ok(place) => prop_assert_eq!(place, room.place(id)),
                        Err(refused) => {
                            let too_large = matches!(refused, Refused::TooLarge { .. });
                            prop_assert!(!told || too_large);
                            room.over(id);
                            ids.retain(|i| *i != id);
                        }
                    }
                    if let Some(h) = room.held.get(&id).filter(|h| !h.told && h.place != Place::NotKept) {
                        prop_assert!(h.memory - WINDOW + h.file >= h.came, "all that came has room");
                    }
                },
                Event::MoveOut => if let Some(id) = room.move_out() {
                    let h = &room.held[&id];
                    prop_assert!(h.moving && h.place == Place::Memory && h.file >= h.memory);
                },
                Event::Moved(n, done) => if let Some(id) = pick(&ids, n) {
                    let before = room.held.get(&id).cloned();
                    room.moved(id, done);
                    if let Some(h) = before.filter(|h| h.moving && done) {
                        prop_assert_eq!(room.held[&id].memory, 0, "{:?}", h);
                    }
                },
                Event::NotKept(n) => if let Some(id) = pick(&ids, n) {
                    room.not_kept(id);
                    prop_assert_eq!(room.place(id), Place::NotKept);
                },
                Event::Freed(n, bytes) => if let Some(id) = pick(&ids, n) {
                    room.freed(id, bytes, bytes);
                },
                Event::Over(n) => if let Some(id) = pick(&ids, n) {
                    room.over(id);
                    ids.retain(|i| *i != id);
                },
            }
            prop_assert_eq!(room.used(), sums(&room, None));
            let (memory, file) = room.used();
            prop_assert!(memory <= limits.memory && file <= limits.files);
            for tenant in 0..3 {
                let own = sums(&room, Some(tenant));
                prop_assert!(own.0 <= (limits.memory as f64 * limits.share) as u64);
                let kept = room.tenants.get(&tenant).copied().unwrap_or_default();
                prop_assert_eq!((kept.memory, kept.file), own);
            }
            prop_assert_eq!(room.len(), ids.len());
        }
        for id in ids {
            room.over(id);
        }
        prop_assert!(room.is_empty() && room.used() == (0, 0) && room.tenants.is_empty());
    }
}

#[test]
fn where_bodies_go_by_their_size() {
    let mut room = Room::new(
        Limits {
            must_keep: vec![false, true],
            share: 1.0,
            ..LIMITS
        },
        Policy::Largest,
    );
    let small = room.admit(0, 0, Some(100 * KIB)).expect("room");
    let large = room.admit(0, 0, Some(1024 * KIB)).expect("room");
    assert_eq!(
        (room.place(small), room.place(large)),
        (Place::Memory, Place::File)
    );
    assert_eq!(
        room.admit(0, 0, Some(2049 * KIB)),
        Err(Refused::TooLarge { most: 2048 * KIB })
    );
    let others: Vec<_> = (0..3)
        .map(|_| room.admit(1, 0, Some(1024 * KIB)).expect("room"))
        .collect();
    let through = room
        .admit(0, 0, Some(1024 * KIB))
        .expect("it passes through");
    assert_eq!(room.place(through), Place::NotKept);
    assert_eq!(
        room.admit(0, 1, Some(1024 * KIB)),
        Err(Refused::NoRoom),
        "its group must be kept"
    );
    room.over(others[0]);
    assert!(room.admit(0, 1, Some(1024 * KIB)).is_ok());
}

/// One whose length is not told grows from memory to files, and from there to not kept.
#[test]
fn an_unknown_length_grows_through_the_places() {
    let limits = Limits {
        files: 512 * KIB,
        share: 1.0,
        ..LIMITS
    };
    let mut room = Room::new(limits, Policy::Largest);
    let id = room.admit(0, 0, None).expect("room");
    let mut places = Vec::new();
    for _ in 0..20 {
        let place = room.came(id, 64 * KIB).expect("it may pass through");
        if places.last() != Some(&place) {
            places.push(place);
        }
    }
    assert_eq!(places, [Place::Memory, Place::File, Place::NotKept]);
    assert_eq!(
        Room::new(
            Limits {
                unknown_length: false,
                ..LIMITS
            },
            Policy::Largest
        )
        .admit(0, 0, None),
        Err(Refused::UnknownLength)
    );
}
