//! Slots under random use: nothing in use is ever evicted.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use inventory::iter;
use placement::slots::{Key, Pin, Slots, Victim};
use rand::RngExt as _;
use seeds::Random;

const CAPACITY: usize = 4;

fn victim(name: &str) -> &'static Victim {
    let mut known = iter::<Victim>.into_iter();
    known.find(|victim| victim.name == name).expect("the policy is linked in")
}

fn key(number: u32) -> Key {
    Key { adapter: Arc::from(format!("council-{number:03}")), version: 1 }
}

fn step(random: &mut Random, now: Duration, slots: &mut Slots, pins: &mut BTreeMap<Key, u32>) {
    let key = key(random.random_range(0..8));
    match random.random_range(0..5) {
        0 | 1 => {
            let pin = slots.pin(now, &key);
            if let Pin::Load { victim: Some(victim) } = &pin {
                assert_eq!(pins.get(victim).copied().unwrap_or(0), 0, "{victim:?} was in use");
            }
            if pin != Pin::Full {
                *pins.entry(key).or_default() += 1;
            }
        }
        2 | 3 => {
            if let Some(count) = pins.get_mut(&key).filter(|count| 0 < **count) {
                *count -= 1;
                slots.unpin(&key);
            }
        }
        _ => slots.loaded(&key),
    }
}

#[test]
fn an_adapter_in_use_is_never_evicted() {
    for name in ["frequency", "lru"] {
        seeds::run(2000, |random| {
            let mut slots = Slots::new(CAPACITY, victim(name));
            let mut pins = BTreeMap::new();
            for second in 0..200 {
                step(random, Duration::from_secs(second), &mut slots, &mut pins);
                let all_pinned_are_there =
                    pins.iter().all(|(key, count)| *count == 0 || slots.is_present(key));
                assert!(all_pinned_are_there);
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

    assert_eq!(first, Pin::Load { victim: None });
    assert_eq!(joined, Pin::Loading);
    assert_eq!(other, Pin::Full);
}

#[test]
fn the_rarely_used_adapter_leaves_first() {
    let mut slots = Slots::new(2, victim("frequency"));
    for number in [1, 1, 1, 2] {
        slots.pin(Duration::from_secs(number.into()), &key(number));
        slots.loaded(&key(number));
        slots.unpin(&key(number));
    }

    let pin = slots.pin(Duration::from_secs(10), &key(3));

    assert_eq!(pin, Pin::Load { victim: Some(key(2)) });
}
