//! Buffers of data that other processes send, and their common budget.

use kernel::memory::{Budget, Full};

const CHUNK: [u8; 1000] = [7; 1000];

// Guards against a sender that goes on without end.
#[test]
fn limits_a_buffer() {
    let budget = Budget::new(1_000_000);
    let mut buffer = budget.buffer(2500);

    let pushed = [0; 3].map(|_| buffer.push(&CHUNK));

    assert_eq!(pushed, [Ok(()), Ok(()), Err(Full::TooLarge { limit: 2500 })]);
    assert_eq!(buffer.into_bytes().len(), 2000);
}

// Guards against many senders, each of which keeps its own limit.
#[test]
fn limits_all_buffers_together() {
    let budget = Budget::new(100_000);
    let mut buffers: Vec<_> = (0..60).map(|_| budget.buffer(50_000)).collect();

    let mut refusals = 0;
    for _ in 0..50 {
        refusals += buffers.iter_mut().filter_map(|buffer| buffer.push(&CHUNK).err()).count();
    }

    assert!(0 < refusals && budget.peak() <= 100_000, "{refusals}, {budget:?}");
    drop(buffers);
    assert_eq!(budget.used(), 0);
}

#[test]
fn keeps_memory_until_the_last_copy_is_dropped() {
    let budget = Budget::new(100_000);
    let mut buffer = budget.buffer(50_000);
    buffer.push(&CHUNK).unwrap();

    let bytes = buffer.into_bytes();
    let part = bytes.slice(10..20);
    drop(bytes);
    let used_by_part = budget.used();
    drop(part);

    assert!(CHUNK.len() <= used_by_part);
    assert_eq!(budget.used(), 0);
}

#[test]
fn returns_what_a_reservation_no_longer_needs() {
    let budget = Budget::new(1000);
    let mut reservation = budget.reserve();

    let results = [800, 1200, 300].map(|bytes| reservation.resize(bytes));

    assert_eq!(results, [Ok(()), Err(Full::Exhausted { capacity: 1000 }), Ok(())]);
    assert_eq!((budget.used(), budget.peak()), (300, 800));
}

// Guards against large responses without end that leave no memory for the small requests and responses of other
// callers.
#[test]
fn keeps_a_part_for_small_buffers() {
    const CAPACITY: usize = 14_000_000;
    let budget = Budget::new(CAPACITY);
    let mut endless: Vec<_> = (0..60).map(|_| budget.buffer(8 << 20)).collect();
    let chunk = vec![0; 16 * 1024];
    for _ in 0..400 {
        endless.iter_mut().for_each(|buffer| {
            let _fits = buffer.push(&chunk);
        });
    }

    let mut small: Vec<_> = (0..50).map(|_| budget.buffer(1 << 20)).collect();
    let fit = small.iter_mut().filter_map(|buffer| buffer.push(&chunk).ok()).count();

    assert_eq!(fit, 50, "{} bytes are in use", budget.used());
    assert!(budget.used() <= CAPACITY);
}
