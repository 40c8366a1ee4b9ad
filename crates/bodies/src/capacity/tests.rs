//! The room beside a plain model that adds everything up anew, and what the policies cost on a played day.

use super::*;
use proptest::collection::vec;
use proptest::prelude::*;

const KIB: u64 = 1024;
const LIMITS: Limits = Limits {
    memory_bytes: 1024 * KIB,
    file_bytes: 4096 * KIB,
    max_body_memory_bytes: 300 * KIB,
    max_body_bytes: 2048 * KIB,
    tenant_share: 0.6,
    unknown_length_allowed: true,
    storage_required: Vec::new(),
};

#[derive(Clone, Debug)]
enum Event {
    Admit {
        tenant: usize,
        class: usize,
        length: Option<u64>,
    },
    Receive(usize, u64),
    StartEviction,
    FinishEviction(usize, bool),
    StopStoring(usize),
    ReleaseRead(usize, u64),
    Remove(usize),
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
        4 => (0usize..3, 0usize..2, length).prop_map(|(tenant, class, length)| Event::Admit { tenant, class, length }),
        3 => (n.clone(), 1u64..200 * KIB).prop_map(|(n, b)| Event::Receive(n, b)),
        2 => Just(Event::StartEviction),
        2 => (n.clone(), any::<bool>()).prop_map(|(n, done)| Event::FinishEviction(n, done)),
        1 => n.clone().prop_map(Event::StopStoring),
        1 => (n.clone(), 1u64..300 * KIB).prop_map(|(n, b)| Event::ReleaseRead(n, b)),
        2 => n.prop_map(Event::Remove),
    ];
    vec(event, 1..120)
}

/// What the whole list of bodies adds up to.
fn sums(room: &Capacity, tenant: Option<usize>) -> (u64, u64) {
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
        policy in prop_oneof![Just(EvictionPolicy::Never), Just(EvictionPolicy::Largest), Just(EvictionPolicy::Oldest)],
    ) {
        let limits = Limits { storage_required: vec![false, true], ..LIMITS };
        let mut room = Capacity::new(limits.clone(), policy);
        let mut ids: Vec<BodyId> = Vec::new();
        let pick = |ids: &[BodyId], n: usize| ids.get(n % ids.len().max(1)).copied();
        for event in events {
            match event {
                Event::Admit { tenant, class, length } => {
                    let before = (sums(&room, None), sums(&room, Some(tenant)));
                    match room.admit(tenant, class, length) {
                        Ok(id) => {
                            ids.push(id);
                            prop_assert!(class == 0 || room.storage(id) != Storage::NotStored, "it must be kept");
                            prop_assert!(length.is_none_or(|l| l <= limits.max_body_bytes));
                        }
                        Err(AdmissionError::TooLarge { max_bytes: most }) => prop_assert!(length.is_some_and(|l| l > most)),
                        Err(AdmissionError::UnknownLength) => prop_assert!(false, "it may be unknown"),
                        // By the list: not even what passes through has room, or it must be kept and fits nowhere.
                        Err(AdmissionError::NoCapacity) => {
                            let ((memory, file), (own, own_file)) = before;
                            let share = |budget: u64| (budget as f64 * limits.tenant_share) as u64;
                            let window = memory + WINDOW > limits.memory_bytes || own + WINDOW > share(limits.memory_bytes);
                            let first = length.unwrap_or(PIECE);
                            let slots = first.div_ceil(PIECE) * PIECE;
                            let files = file + slots > limits.file_bytes || own_file + slots > share(limits.file_bytes);
                            prop_assert!(window || (class == 1 && files), "{before:?} {length:?}");
                        }
                    }
                }
                Event::Receive(n, bytes) => if let Some(id) = pick(&ids, n) {
                    let told = room.held.get(&id).is_some_and(|h| h.told);
                    match room.receive(id, bytes) {
                        Ok(place) => prop_assert_eq!(place, room.storage(id)),
                        Err(refused) => {
                            let too_large = matches!(refused, AdmissionError::TooLarge { .. });
                            prop_assert!(!told || too_large);
                            room.remove(id);
                            ids.retain(|i| *i != id);
                        }
                    }
                    if let Some(h) = room.held.get(&id).filter(|h| !h.told && h.place != Storage::NotStored) {
                        prop_assert!(h.memory - WINDOW + h.file >= h.came, "all that came has room");
                    }
                },
                Event::StartEviction => if let Some(id) = room.start_eviction() {
                    let h = &room.held[&id];
                    prop_assert!(h.moving && h.place == Storage::Memory && h.file >= h.memory);
                },
                Event::FinishEviction(n, done) => if let Some(id) = pick(&ids, n) {
                    let before = room.held.get(&id).cloned();
                    room.finish_eviction(id, done);
                    if let Some(h) = before.filter(|h| h.moving && done) {
                        prop_assert_eq!(room.held[&id].memory, 0, "{:?}", h);
                    }
                },
                Event::StopStoring(n) => if let Some(id) = pick(&ids, n) {
                    room.stop_storing(id);
                    prop_assert_eq!(room.storage(id), Storage::NotStored);
                },
                Event::ReleaseRead(n, bytes) => if let Some(id) = pick(&ids, n) {
                    room.release_read(id, bytes, bytes);
                },
                Event::Remove(n) => if let Some(id) = pick(&ids, n) {
                    room.remove(id);
                    ids.retain(|i| *i != id);
                },
            }
            prop_assert_eq!(room.used(), sums(&room, None));
            let (memory, file) = room.used();
            prop_assert!(memory <= limits.memory_bytes && file <= limits.file_bytes);
            for tenant in 0..3 {
                let own = sums(&room, Some(tenant));
                prop_assert!(own.0 <= (limits.memory_bytes as f64 * limits.tenant_share) as u64);
                let kept = room.tenants.get(&tenant).copied().unwrap_or_default();
                prop_assert_eq!((kept.memory, kept.file), own);
            }
            prop_assert_eq!(room.len(), ids.len());
        }
        for id in ids {
            room.remove(id);
        }
        prop_assert!(room.is_empty() && room.used() == (0, 0) && room.tenants.is_empty());
    }
}

#[test]
fn where_bodies_go_by_their_size() {
    let mut room = Capacity::new(
        Limits {
            storage_required: vec![false, true],
            tenant_share: 1.0,
            ..LIMITS
        },
        EvictionPolicy::Largest,
    );
    let small = room.admit(0, 0, Some(100 * KIB)).expect("room");
    let large = room.admit(0, 0, Some(1024 * KIB)).expect("room");
    assert_eq!(
        (room.storage(small), room.storage(large)),
        (Storage::Memory, Storage::File)
    );
    assert_eq!(
        room.admit(0, 0, Some(2049 * KIB)),
        Err(AdmissionError::TooLarge {
            max_bytes: 2048 * KIB
        })
    );
    let others: Vec<_> = (0..3)
        .map(|_| room.admit(1, 0, Some(1024 * KIB)).expect("room"))
        .collect();
    let through = room
        .admit(0, 0, Some(1024 * KIB))
        .expect("it passes through");
    assert_eq!(room.storage(through), Storage::NotStored);
    assert_eq!(
        room.admit(0, 1, Some(1024 * KIB)),
        Err(AdmissionError::NoCapacity),
        "its class must be kept"
    );
    room.remove(others[0]);
    assert!(room.admit(0, 1, Some(1024 * KIB)).is_ok());
}

/// One whose length is not told grows from memory to files, and from there to not kept.
#[test]
fn an_unknown_length_grows_through_the_places() {
    let limits = Limits {
        file_bytes: 512 * KIB,
        tenant_share: 1.0,
        ..LIMITS
    };
    let mut room = Capacity::new(limits, EvictionPolicy::Largest);
    let id = room.admit(0, 0, None).expect("room");
    let mut places = Vec::new();
    for _ in 0..20 {
        let place = room.receive(id, 64 * KIB).expect("it may pass through");
        if places.last() != Some(&place) {
            places.push(place);
        }
    }
    assert_eq!(places, [Storage::Memory, Storage::File, Storage::NotStored]);
    assert_eq!(
        Capacity::new(
            Limits {
                unknown_length_allowed: false,
                ..LIMITS
            },
            EvictionPolicy::Largest
        )
        .admit(0, 0, None),
        Err(AdmissionError::UnknownLength)
    );
}
