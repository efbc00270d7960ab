//! Adapter slots under random use. Guards against the eviction of an adapter that a
//! running or waiting request needs, when loads fail or the engine crashes meanwhile.

use std::{sync::Arc, time::Duration};

use inventory::iter;
use rand::RngExt as _;

use placement::slots::{Eviction, Key, Pin, SlotId, Slots};
use seeds::Random;

const CAPACITY: usize = 4;

fn eviction(name: &str) -> &'static Eviction {
    let mut known = iter::<Eviction>.into_iter();
    known.find(|eviction| eviction.name == name).expect("the eviction policy is linked in")
}

fn key(number: u32) -> Key {
    Key { adapter: Arc::from(format!("council-{number:03}")), version: 1 }
}

/// Requests that use an adapter, and loads in progress.
#[derive(Default)]
struct Uses {
    /// Requests that run or wait for a load, with their adapter and the slot id that they pinned.
    running: Vec<(Key, SlotId)>,
    /// Slots whose load has not ended.
    loading: Vec<SlotId>,
    /// Pins of requests whose load failed, which are not released yet.
    pending_unpins: Vec<SlotId>,
}

impl Uses {
    fn has(&self, key: &Key) -> bool {
        self.running.iter().any(|(used, _)| used == key)
    }
}

fn slot_id(pin: &Pin) -> Option<SlotId> {
    match pin {
        Pin::Resident(id) | Pin::Loading(id) | Pin::Load { id, .. } => Some(*id),
        Pin::Blocked => None,
    }
}

fn step(random: &mut Random, now: Duration, slots: &mut Slots, uses: &mut Uses) {
    let key = key(random.random_range(0..8));
    match random.random_range(0..20) {
        0..8 => {
            let pin = slots.pin(now, &key);
            if let Pin::Load { id, victim } = &pin {
                uses.loading.push(*id);
                let victim = victim.as_ref();
                assert!(!victim.is_some_and(|victim| uses.has(victim)), "{victim:?} was in use");
            }
            uses.running.extend(slot_id(&pin).map(|id| (key, id)));
        }
        8..14 if !uses.running.is_empty() => {
            let ended = uses.running.swap_remove(random.random_range(0..uses.running.len()));
            slots.unpin(ended.1);
        }
        14..18 if !uses.loading.is_empty() => {
            let ended = uses.loading.swap_remove(random.random_range(0..uses.loading.len()));
            if random.random_ratio(1, 3) {
                // The waiting requests never run; they release their pins later.
                slots.load_failed(ended);
                let waiters = uses.running.extract_if(.., |(_, id)| *id == ended);
                uses.pending_unpins.extend(waiters.map(|(_, id)| id));
            } else {
                slots.load_succeeded(ended);
            }
        }
        18 => {
            slots.mark_lost(&key);
            uses.pending_unpins.drain(..).for_each(|id| slots.unpin(id));
        }
        19 if random.random_ratio(1, 10) => slots.mark_all_lost(),
        _ => {}
    }
}

#[test]
fn never_evicts_adapter_in_use() {
    for name in ["frequency", "lru"] {
        seeds::run(2000, |random| {
            let mut slots = Slots::new(CAPACITY, eviction(name));
            let mut uses = Uses::default();
            for second in 0..300 {
                step(random, Duration::from_secs(second), &mut slots, &mut uses);
                assert!(slots.list().count() <= CAPACITY);
            }
        });
    }
}

#[test]
fn pins_adapter_before_load_completes() {
    let mut slots = Slots::new(1, eviction("frequency"));

    let first = slots.pin(Duration::ZERO, &key(1));
    let second = slots.pin(Duration::ZERO, &key(1));
    let other = slots.pin(Duration::ZERO, &key(2));

    assert!(matches!(first, Pin::Load { victim: None, .. }));
    assert!(matches!(second, Pin::Loading(_)));
    assert_eq!(other, Pin::Blocked);
}

#[test]
fn evicts_least_used_adapter_first() {
    let mut slots = Slots::new(2, eviction("frequency"));
    for number in [1, 1, 1, 2] {
        let pin = slots.pin(Duration::from_secs(number.into()), &key(number));
        let id = slot_id(&pin).expect("a slot is free");
        slots.load_succeeded(id);
        slots.unpin(id);
    }

    let pin = slots.pin(Duration::from_secs(10), &key(3));

    assert!(matches!(pin, Pin::Load { victim: Some(victim), .. } if victim == key(2)));
}

#[test]
fn late_unpin_does_not_release_later_occupancy() {
    let mut slots = Slots::new(1, eviction("frequency"));
    let first = slot_id(&slots.pin(Duration::ZERO, &key(1))).expect("a slot is free");
    slots.load_failed(first);
    slots.pin(Duration::ZERO, &key(1));

    slots.unpin(first);

    assert_eq!(slots.pin(Duration::ZERO, &key(2)), Pin::Blocked);
}

#[test]
fn keeps_slot_of_lost_adapter_while_in_use() {
    cov_mark::check!(pin_of_unconfirmed_adapter);
    let mut slots = Slots::new(1, eviction("frequency"));
    let used = slot_id(&slots.pin(Duration::ZERO, &key(1))).expect("a slot is free");
    slots.load_succeeded(used);

    slots.mark_lost(&key(1));
    let while_in_use = slots.pin(Duration::ZERO, &key(1));
    slots.unpin(used);
    let after_unpin = slots.pin(Duration::ZERO, &key(1));

    assert_eq!(while_in_use, Pin::Blocked);
    assert!(matches!(after_unpin, Pin::Load { .. }));
}
