//! Slots under random use: nothing in use is ever evicted.

use std::{sync::Arc, time::Duration};

use inventory::iter;
use rand::RngExt as _;

use placement::slots::{Key, Pin, Slots, Stay, Victim};
use seeds::Random;

const CAPACITY: usize = 4;

fn victim(name: &str) -> &'static Victim {
    let mut known = iter::<Victim>.into_iter();
    known.find(|victim| victim.name == name).expect("the policy is linked in")
}

fn key(number: u32) -> Key {
    Key { adapter: Arc::from(format!("council-{number:03}")), version: 1 }
}

/// Requests that use an adapter, by the stay that they pinned.
#[derive(Default)]
struct Uses {
    running: Vec<(Key, Stay)>,
    loading: Vec<Stay>,
    told_late: Vec<Stay>,
}

impl Uses {
    fn has(&self, key: &Key) -> bool {
        self.running.iter().any(|(used, _)| used == key)
    }
}

fn stay(pin: &Pin) -> Option<Stay> {
    match pin {
        Pin::Resident(stay) | Pin::Loading(stay) | Pin::Load { stay, .. } => Some(*stay),
        Pin::Full => None,
    }
}

fn step(random: &mut Random, now: Duration, slots: &mut Slots, uses: &mut Uses) {
    let key = key(random.random_range(0..8));
    match random.random_range(0..20) {
        0..8 => {
            let pin = slots.pin(now, &key);
            if let Pin::Load { stay, victim } = &pin {
                uses.loading.push(*stay);
                let victim = victim.as_ref();
                assert!(!victim.is_some_and(|victim| uses.has(victim)), "{victim:?} was in use");
            }
            uses.running.extend(stay(&pin).map(|stay| (key, stay)));
        }
        8..14 if !uses.running.is_empty() => {
            let ended = uses.running.swap_remove(random.random_range(0..uses.running.len()));
            slots.unpin(ended.1);
        }
        14..18 if !uses.loading.is_empty() => {
            let ended = uses.loading.swap_remove(random.random_range(0..uses.loading.len()));
            if random.random_ratio(1, 3) {
                // Its waiters never run; they are told later, and unpin then.
                slots.load_failed(ended);
                let waiters = uses.running.extract_if(.., |(_, stay)| *stay == ended);
                uses.told_late.extend(waiters.map(|(_, stay)| stay));
            } else {
                slots.loaded(ended);
            }
        }
        18 => {
            slots.lose(&key);
            uses.told_late.drain(..).for_each(|stay| slots.unpin(stay));
        }
        19 if random.random_ratio(1, 10) => slots.doubt(),
        _ => {}
    }
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    for name in ["frequency", "lru"] {
        seeds::run(2000, |random| {
            let mut slots = Slots::new(CAPACITY, victim(name));
            let mut uses = Uses::default();
            for second in 0..300 {
                step(random, Duration::from_secs(second), &mut slots, &mut uses);
                assert!(slots.list().count() <= CAPACITY);
            }
        });
    }
}

#[test]
fn a_pin_is_taken_before_the_load_ends() {
    let mut slots = Slots::new(1, victim("frequency"));

    let first = slots.pin(Duration::ZERO, &key(1));
    let joined = slots.pin(Duration::ZERO, &key(1));
    let other = slots.pin(Duration::ZERO, &key(2));

    assert!(matches!(first, Pin::Load { victim: None, .. }));
    assert!(matches!(joined, Pin::Loading(_)));
    assert_eq!(other, Pin::Full);
}

#[test]
fn the_rarely_used_adapter_leaves_first() {
    let mut slots = Slots::new(2, victim("frequency"));
    for number in [1, 1, 1, 2] {
        let pin = slots.pin(Duration::from_secs(number.into()), &key(number));
        let stay = stay(&pin).expect("there is room");
        slots.loaded(stay);
        slots.unpin(stay);
    }

    let pin = slots.pin(Duration::from_secs(10), &key(3));

    assert!(matches!(pin, Pin::Load { victim: Some(victim), .. } if victim == key(2)));
}

#[test]
fn the_end_of_an_earlier_stay_does_not_unpin_a_later_one() {
    let mut slots = Slots::new(1, victim("frequency"));
    let first = stay(&slots.pin(Duration::ZERO, &key(1))).expect("there is room");
    slots.load_failed(first);
    slots.pin(Duration::ZERO, &key(1));

    slots.unpin(first);

    assert_eq!(slots.pin(Duration::ZERO, &key(2)), Pin::Full);
}

#[test]
fn an_adapter_that_seems_lost_keeps_its_slot_while_it_is_used() {
    cov_mark::check!(pin_on_a_doubtful_adapter);
    let mut slots = Slots::new(1, victim("frequency"));
    let used = stay(&slots.pin(Duration::ZERO, &key(1))).expect("there is room");
    slots.loaded(used);

    slots.lose(&key(1));
    let meanwhile = slots.pin(Duration::ZERO, &key(1));
    slots.unpin(used);
    let afterwards = slots.pin(Duration::ZERO, &key(1));

    assert_eq!(meanwhile, Pin::Full);
    assert!(matches!(afterwards, Pin::Load { .. }));
}
