//! Tests the capacity: compares it under random events with sums that are recomputed from all reservations, and checks
//! the choice of storage.

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
    FinishEviction(usize, EvictionOutcome),
    StopStoring(usize),
    ReleaseRead(usize, u64),
    Remove(usize),
}

fn outcome(written: bool) -> EvictionOutcome {
    if written {
        EvictionOutcome::Written
    } else {
        EvictionOutcome::Failed
    }
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
        2 => (n.clone(), any::<bool>()).prop_map(|(n, written)| Event::FinishEviction(n, outcome(written))),
        1 => n.clone().prop_map(Event::StopStoring),
        1 => (n.clone(), 1u64..300 * KIB).prop_map(|(n, b)| Event::ReleaseRead(n, b)),
        2 => n.prop_map(Event::Remove),
    ];
    vec(event, 1..120)
}

/// Returns the reserved bytes in memory and in the file, summed over all reservations or over those of one tenant.
fn sums(capacity: &Capacity, tenant: Option<usize>) -> (u64, u64) {
    let listed = capacity
        .reservations
        .values()
        .filter(|reservation| tenant.is_none_or(|tenant| reservation.tenant == tenant));
    listed.fold((0, 0), |(memory, file), reservation| {
        let usage = reservation.usage;
        (memory + usage.memory_bytes, file + usage.file_bytes)
    })
}

fn usage(capacity: &Capacity) -> (u64, u64) {
    let Usage {
        memory_bytes,
        file_bytes,
    } = capacity.usage();
    (memory_bytes, file_bytes)
}

proptest! {
    #[test]
    fn budgets_are_never_exceeded_and_totals_match_the_reservations(
        events in events(),
        policy in prop_oneof![Just(EvictionPolicy::Never), Just(EvictionPolicy::Largest), Just(EvictionPolicy::Oldest)],
    ) {
        let limits = Limits { storage_required: vec![false, true], ..LIMITS };
        let mut capacity = Capacity::new(limits.clone(), policy);
        let mut ids: Vec<BodyId> = Vec::new();
        let pick = |ids: &[BodyId], n: usize| ids.get(n % ids.len().max(1)).copied();
        for event in events {
            match event {
                Event::Admit { tenant, class, length } => {
                    let before = (sums(&capacity, None), sums(&capacity, Some(tenant)));
                    match capacity.admit(tenant, class, length) {
                        Ok(id) => {
                            ids.push(id);
                            prop_assert!(
                                class == 0 || capacity.storage(id) != Storage::NotStored,
                                "a body of class 1 must be stored"
                            );
                            prop_assert!(length.is_none_or(|l| l <= limits.max_body_bytes));
                        }
                        Err(AdmissionError::TooLarge { max_bytes }) => prop_assert!(length.is_some_and(|l| l > max_bytes)),
                        Err(AdmissionError::UnknownLength) => prop_assert!(false, "unknown lengths are allowed"),
                        // By the sums before the admission, the window does not fit into memory, or the body must be
                        // stored and does not fit into the file.
                        Err(AdmissionError::NoCapacity) => {
                            let ((memory, file), (tenant_memory, tenant_file)) = before;
                            let share = |budget: u64| (budget as f64 * limits.tenant_share) as u64;
                            let window_exceeds_memory = memory + WINDOW_BYTES > limits.memory_bytes
                                || tenant_memory + WINDOW_BYTES > share(limits.memory_bytes);
                            let first_bytes = length.unwrap_or(PIECE_BYTES);
                            let slot_bytes = first_bytes.div_ceil(PIECE_BYTES) * PIECE_BYTES;
                            let body_exceeds_file = file + slot_bytes > limits.file_bytes
                                || tenant_file + slot_bytes > share(limits.file_bytes);
                            prop_assert!(window_exceeds_memory || (class == 1 && body_exceeds_file), "{before:?} {length:?}");
                        }
                    }
                }
                Event::Receive(n, bytes) => if let Some(id) = pick(&ids, n) {
                    let length_known = capacity.reservations.get(&id).is_some_and(|reservation| reservation.length_known);
                    match capacity.receive(id, bytes) {
                        Ok(storage) => prop_assert_eq!(storage, capacity.storage(id)),
                        Err(error) => {
                            let too_large = matches!(error, AdmissionError::TooLarge { .. });
                            prop_assert!(!length_known || too_large);
                            capacity.remove(id);
                            ids.retain(|i| *i != id);
                        }
                    }
                    if let Some(reservation) = capacity.reservations.get(&id)
                        .filter(|reservation| !reservation.length_known && reservation.storage != Storage::NotStored)
                    {
                        prop_assert!(
                            reservation.usage.memory_bytes - WINDOW_BYTES + reservation.usage.file_bytes
                                >= reservation.received_bytes,
                            "the reservation covers all received bytes"
                        );
                    }
                },
                Event::StartEviction => if let Some(id) = capacity.start_eviction() {
                    let reservation = &capacity.reservations[&id];
                    prop_assert!(
                        reservation.evicting
                            && reservation.storage == Storage::Memory
                            && reservation.usage.file_bytes >= reservation.usage.memory_bytes
                    );
                },
                Event::FinishEviction(n, outcome) => if let Some(id) = pick(&ids, n) {
                    let before = capacity.reservations.get(&id).cloned();
                    capacity.finish_eviction(id, outcome);
                    if let Some(reservation) = before
                        .filter(|reservation| reservation.evicting && outcome == EvictionOutcome::Written)
                    {
                        prop_assert_eq!(capacity.reservations[&id].usage.memory_bytes, 0, "{:?}", reservation);
                    }
                },
                Event::StopStoring(n) => if let Some(id) = pick(&ids, n) {
                    capacity.stop_storing(id);
                    prop_assert_eq!(capacity.storage(id), Storage::NotStored);
                },
                Event::ReleaseRead(n, bytes) => if let Some(id) = pick(&ids, n) {
                    capacity.release_read(id, Usage { memory_bytes: bytes, file_bytes: bytes });
                },
                Event::Remove(n) => if let Some(id) = pick(&ids, n) {
                    capacity.remove(id);
                    ids.retain(|i| *i != id);
                },
            }
            prop_assert_eq!(usage(&capacity), sums(&capacity, None));
            let (memory, file) = usage(&capacity);
            prop_assert!(memory <= limits.memory_bytes && file <= limits.file_bytes);
            for tenant in 0..3 {
                let tenant_usage = sums(&capacity, Some(tenant));
                prop_assert!(tenant_usage.0 <= (limits.memory_bytes as f64 * limits.tenant_share) as u64);
                let reserved = capacity.by_tenant.get(&tenant).copied().unwrap_or_default();
                prop_assert_eq!((reserved.memory_bytes, reserved.file_bytes), tenant_usage);
            }
            prop_assert_eq!(capacity.len(), ids.len());
        }
        for id in ids {
            capacity.remove(id);
        }
        prop_assert!(capacity.is_empty() && usage(&capacity) == (0, 0) && capacity.by_tenant.is_empty());
    }
}

#[test]
fn storage_is_chosen_by_body_size() {
    let mut capacity = Capacity::new(
        Limits {
            storage_required: vec![false, true],
            tenant_share: 1.0,
            ..LIMITS
        },
        EvictionPolicy::Largest,
    );
    let small = capacity
        .admit(0, 0, Some(100 * KIB))
        .expect("the body is admitted");
    let large = capacity
        .admit(0, 0, Some(1024 * KIB))
        .expect("the body is admitted");
    assert_eq!(
        (capacity.storage(small), capacity.storage(large)),
        (Storage::Memory, Storage::File)
    );
    assert_eq!(
        capacity.admit(0, 0, Some(2049 * KIB)),
        Err(AdmissionError::TooLarge {
            max_bytes: 2048 * KIB
        })
    );
    let others: Vec<_> = (0..3)
        .map(|_| capacity.admit(1, 0, Some(1024 * KIB)).expect("admitted"))
        .collect();
    let passed_through = capacity
        .admit(0, 0, Some(1024 * KIB))
        .expect("the body is admitted without storage");
    assert_eq!(capacity.storage(passed_through), Storage::NotStored);
    assert_eq!(
        capacity.admit(0, 1, Some(1024 * KIB)),
        Err(AdmissionError::NoCapacity),
        "bodies of class 1 must be stored"
    );
    capacity.remove(others[0]);
    assert!(capacity.admit(0, 1, Some(1024 * KIB)).is_ok());
}

/// A growing body of unknown length moves from memory to the spool file, and is no longer stored once the file is full.
#[test]
fn a_body_of_unknown_length_grows_through_all_kinds_of_storage() {
    let limits = Limits {
        file_bytes: 512 * KIB,
        tenant_share: 1.0,
        ..LIMITS
    };
    let mut capacity = Capacity::new(limits, EvictionPolicy::Largest);
    let id = capacity.admit(0, 0, None).expect("the body is admitted");
    let mut storages = Vec::new();
    for _ in 0..20 {
        let storage = capacity
            .receive(id, 64 * KIB)
            .expect("the body need not be stored");
        if storages.last() != Some(&storage) {
            storages.push(storage);
        }
    }
    assert_eq!(
        storages,
        [Storage::Memory, Storage::File, Storage::NotStored]
    );
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
