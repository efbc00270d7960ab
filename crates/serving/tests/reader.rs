//! Guards against a zone whose instances rely on a reader that does not read the store, and against
//! one in which all of them read it: the instances of a zone with reports that are lost, readers that
//! are killed, frozen or cut off from the store, and copies that cannot be fetched.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use seeds::Random;
use serving::reader::{self, Report, Version, Zone};

/// Time between two reports of an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time without a read, for an instance that reaches the store or one that does, beyond
/// which configurations and leaving servers would be noticed too late.
const MAX_SILENCE: Duration = Duration::from_millis(2000);
/// Time between two reads of an instance that reads the store.
const READ_INTERVAL: Duration = Duration::from_millis(450);
/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// One instance of a simulated zone.
struct Instance {
    zone: Zone,
    incarnation: u64,
    /// Change of the store that the mirror has.
    known: u64,
    /// Time of the newest state of the store that the mirror has, by reading or by a copy.
    as_of: Duration,
    read_at: Duration,
    reported_at: Duration,
    frozen_until: Duration,
    cut_until: Duration,
    reads: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 9000))
}

fn rank(index: usize) -> u64 {
    (index as u64 * 7919) % 1009
}

fn instance(index: usize, now: Duration, random: &mut Random) -> Instance {
    Instance {
        zone: Zone::new(rank(index)),
        incarnation: random.random(),
        known: 0,
        as_of: now,
        read_at: Duration::ZERO,
        reported_at: now.saturating_sub(REPORT_INTERVAL.mul_f64(random.random())),
        frozen_until: Duration::ZERO,
        cut_until: Duration::ZERO,
        reads: 0,
    }
}

/// Faults of a simulated zone, as chances in each step.
#[derive(Clone, Copy, Default)]
struct Faults {
    loss: f64,
    freeze: f64,
    cut: f64,
    kill: f64,
    /// Chance that a copy cannot be fetched.
    failed_copy: f64,
}

/// Result of a simulated zone.
struct Outcome {
    /// Longest time by which a mirror was behind the store, while its instance was not disturbed.
    worst_lag: Duration,
    reads_per_second: f64,
}

/// Plays a zone of `count` instances for 60 s.
fn play(random: &mut Random, count: usize, faults: Faults) -> Outcome {
    let mut instances: Vec<Instance> =
        (0..count).map(|index| instance(index, Duration::ZERO, random)).collect();
    let (mut now, mut worst_lag) = (Duration::ZERO, Duration::ZERO);
    let (end, mut change, mut reads) = (Duration::from_secs(60), 0, 0);
    while now < end {
        now += STEP;
        change += u64::from(random.random_bool(0.01));
        for index in 0..count {
            if random.random_bool(faults.kill) {
                reads += instances[index].reads;
                instances[index] = instance(index, now, random);
            }
            let state = &mut instances[index];
            if random.random_bool(faults.freeze) {
                state.frozen_until = now + Duration::from_millis(random.random_range(100..4000));
            }
            if random.random_bool(faults.cut) {
                state.cut_until = now + Duration::from_millis(random.random_range(500..6000));
            }
            if now < state.frozen_until {
                state.as_of = now;
                continue;
            }
            let is_due = state.read_at + READ_INTERVAL <= now;
            if state.zone.followed_silence(now).is_none() && is_due {
                state.read_at = now;
                if state.cut_until <= now {
                    (state.as_of, state.known) = (now, change);
                    state.reads += 1;
                }
            }
            // One that is cut off is excused until it hears the others again.
            if now < state.cut_until {
                state.as_of = state.as_of.max(now.saturating_sub(READ_INTERVAL));
            }
            worst_lag = worst_lag.max(now - state.as_of);
            if state.reported_at + REPORT_INTERVAL <= now {
                state.reported_at = now;
                send_report(&mut instances, index, now, faults, random);
            }
        }
    }
    reads += instances.iter().map(|state| state.reads).sum::<u64>();
    Outcome { worst_lag, reads_per_second: reads as f64 / end.as_secs_f64() }
}

fn send_report(
    instances: &mut [Instance],
    from: usize,
    now: Duration,
    faults: Faults,
    random: &mut Random,
) {
    let sender = &instances[from];
    let is_reader = sender.zone.followed_silence(now).is_none();
    let silence = is_reader.then(|| now - sender.as_of);
    let report = Report {
        incarnation: sender.incarnation,
        generation: sender.known,
        silence,
        answers: None,
    };
    let as_of = sender.as_of;
    for index in (0..instances.len()).filter(|index| *index != from) {
        let receiver = &mut instances[index];
        if now < receiver.frozen_until || random.random_bool(faults.loss) {
            continue;
        }
        let fetches = receiver.zone.record_report(now, address(from), rank(from), report);
        if fetches && !random.random_bool(faults.failed_copy) {
            receiver.known = receiver.known.max(report.generation);
            receiver.zone.record_copy(now, address(from), report.version());
        }
        if receiver.zone.is_current(address(from)) && receiver.zone.followed_silence(now).is_some()
        {
            receiver.as_of = receiver.as_of.max(as_of);
        }
    }
}

#[test]
fn one_instance_of_a_zone_reads_the_store() {
    for count in [1, 2, 11, 57] {
        let outcome = play(&mut Random::seed_from_u64(1), count, Faults::default());

        assert!(outcome.reads_per_second < 2.0 * 1.0 / READ_INTERVAL.as_secs_f64(), "{count}");
        assert!(outcome.worst_lag < MAX_SILENCE, "{count}: {:?}", outcome.worst_lag);
    }
}

#[test]
fn mirrors_stay_current_over_faults() {
    let faults = Faults { loss: 0.05, freeze: 0.0005, cut: 0.0005, kill: 0.0005, failed_copy: 0.2 };
    seeds::run(100, |random| {
        for count in [2, 5, 11] {
            let outcome = play(random, count, faults);

            assert!(outcome.worst_lag < MAX_SILENCE, "{count}: {:?}", outcome.worst_lag);
        }
    });
}

#[test]
fn instance_that_cannot_fetch_copies_reads_the_store() {
    let faults = Faults { failed_copy: 1.0, ..Faults::default() };

    let outcome = play(&mut Random::seed_from_u64(1), 5, faults);

    assert!(outcome.worst_lag < MAX_SILENCE, "{:?}", outcome.worst_lag);
    assert!(8.0 < outcome.reads_per_second, "{}", outcome.reads_per_second);
}

#[test]
fn nobody_follows_a_reader_without_the_store() {
    let mut zone = Zone::new(1);
    let report =
        |silence| Report { incarnation: 3, generation: 4, silence: Some(silence), answers: None };
    let now = Duration::from_secs(9);

    zone.record_report(now, address(0), 2, report(Duration::from_millis(100)));
    zone.record_copy(now, address(0), Version { incarnation: 3, generation: 4 });
    let at_first = zone.followed_silence(now);
    zone.record_report(now, address(0), 2, report(Duration::from_millis(1300)));
    let later = zone.followed_silence(now);

    assert_eq!((at_first, later), (Some(Duration::from_millis(100)), None));
}

#[test]
fn copy_of_an_earlier_start_is_not_current() {
    let mut zone = Zone::new(1);
    let silence = Some(Duration::ZERO);
    let now = Duration::from_secs(9);

    zone.record_copy(now, address(0), Version { incarnation: 3, generation: 4 });
    let fetches = zone.record_report(
        now,
        address(0),
        2,
        Report { incarnation: 8, generation: 4, silence, answers: None },
    );

    assert!(fetches);
    assert!(!zone.is_current(address(0)));
}

// Guards against a mirror that differs from the reader's and is never compared again.
#[test]
fn mirror_that_own_reads_have_changed_is_no_copy() {
    let mut zone = Zone::new(1);
    let report =
        Report { incarnation: 3, generation: 4, silence: Some(Duration::ZERO), answers: None };
    let now = Duration::from_secs(9);
    zone.record_copy(now, address(0), report.version());
    let fetches_at_first = zone.record_report(now, address(0), 2, report);

    zone.record_own_change();

    assert_eq!(zone.followed_silence(now), None);
    assert!(!fetches_at_first && zone.record_report(now, address(0), 2, report));
}

#[test]
fn nobody_follows_an_instance_that_has_not_reached_the_store() {
    let mut zone = Zone::new(1);
    let now = Duration::from_millis(100);

    let report = Report { incarnation: 3, generation: 0, silence: None, answers: None };

    assert!(!zone.record_report(now, address(0), 2, report));
    assert_eq!(zone.source(now), None);
}

// Guards against the smallest machine of a zone reading the store for all of it.
#[test]
fn follows_the_reader_with_the_larger_processor_share() {
    let report =
        Report { incarnation: 1, generation: 1, silence: Some(Duration::ZERO), answers: None };
    let (small, large) = (reader::rank(u64::MAX, 63), reader::rank(0, 500));
    let (mut at_small, mut at_large) = (Zone::new(small), Zone::new(large));

    at_small.record_report(Duration::ZERO, address(0), large, report);
    at_large.record_report(Duration::ZERO, address(1), small, report);

    assert_eq!(at_small.source(Duration::ZERO), Some(address(0)));
    assert_eq!(at_large.source(Duration::ZERO), None);
}

#[test]
fn ranks_instances_with_equal_shares_by_hash() {
    assert!(reader::rank(1 << 20, 500) < reader::rank(1 << 21, 500));
}
