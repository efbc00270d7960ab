//! Servers that leave while instances of a zone are cut off from the store, and after it was away.
//!
//! Guards against an instance that goes on sending requests to a server whose listing was removed, since
//! another instance of its zone takes its own cut for an outage of the store; and against the loss of servers
//! whose listings expired in a real one. Plays a zone (`zone`) without a network, with lost reports.

mod zone;

use std::time::Duration;

use rand::RngExt as _;
use seeds::Random;

use zone::{Span, Zone};

/// Instances of the zone. The first ones read the store, as they rank highest.
const SIZES: [usize; 4] = [2, 3, 5, 17];
/// `drain_ms` of the sheets, less the time in which a request reaches its server.
const MAX_REMOVAL_DELAY: Duration = Duration::from_millis(1900);
/// Time of calm reading before something fails.
const CALM: Duration = Duration::from_secs(8);
/// Time after the last event of a play.
const REST: Duration = Duration::from_secs(8);
/// Shortest outage in which listings expire, in seconds: three heartbeats, less the age of the last one.
const SHORTEST_EXPIRY: f64 = 2.4;
/// Longest time in which living servers register again, in seconds.
const REGISTRATION: f64 = 2.0;

fn seconds(from: Duration, seconds: f64) -> Duration {
    Duration::from_secs_f64((from.as_secs_f64() + seconds).max(0.0))
}

/// Removes a server around the end of the cuts, and checks that the instances that were never cut off learn
/// of it in time.
fn check_removal(random: &mut Random, size: usize, cuts: Vec<(usize, Span)>) {
    let case = format!("{size} instances, cuts {cuts:?}");
    let last_end = cuts.iter().map(|(_, span)| span.end).max().unwrap();
    let removed_at = seconds(last_end, random.random_range(-3.0..2.0));
    let end = removed_at.max(last_end) + REST;
    let mut zone = Zone::new(random, size);
    zone.cuts.clone_from(&cuts);
    let removed = zone.remove_server_at(removed_at);

    let mut late = Vec::new();
    zone.play_until(end, |now, zone| {
        if now < removed_at + MAX_REMOVAL_DELAY {
            return;
        }
        let untouched = (0..size).filter(|index| cuts.iter().all(|(cut, _)| cut != index));
        late.extend(untouched.filter(|index| zone.lists(*index, &removed)).map(|it| (now, it)));
    });

    assert!(late.is_empty(), "{case}, removed at {removed_at:?}, still listed: {:?}", late.first());
}

// The reader is cut off alone, and is back; its role passes on and returns.
#[test]
fn removes_a_server_in_time_after_the_reader_was_cut_off() {
    seeds::run(24, |random| {
        for size in SIZES {
            let span = Span::new(CALM, random.random_range(0.4..7.0));
            check_removal(random, size, vec![(0, span)]);
        }
    });
}

// Instances are cut off one after the other, each while the one before is away or just after.
#[test]
fn removes_a_server_in_time_after_readers_were_cut_off_in_turn() {
    seeds::run(24, |random| {
        for size in SIZES {
            let mut begin = CALM;
            let mut cuts = Vec::new();
            for reader in 0..random.random_range(1..size.min(4)) {
                let span = Span::new(begin, random.random_range(0.4..5.0));
                begin = seconds(span.end, random.random_range(-2.5..1.0)).max(span.begin);
                cuts.push((reader, span));
            }
            check_removal(random, size, cuts);
        }
    });
}

// Guards against an instance to which nothing has happened, that has removed a server and takes it in again from the
// copy of one that was cut off.
#[test]
fn removes_a_server_in_time_after_all_but_one_were_cut_off() {
    seeds::run(600, |random| {
        for size in SIZES {
            let span = Span::new(CALM, random.random_range(0.4..7.0));
            let spared = random.random_range(0..size);
            let cuts = (0..size).filter(|it| *it != spared).map(|it| (it, span)).collect();
            check_removal(random, size, cuts);
        }
    });
}

// Guards against an instance that follows another one and does not learn that a server is back, and against
// one that drops a server whose registration it has not read yet.
#[test]
fn keeps_living_servers_after_an_outage() {
    seeds::run(24, |random| {
        for size in SIZES {
            let mut zone = Zone::new(random, size);
            let outage = Span::new(CALM, random.random_range(SHORTEST_EXPIRY..9.0));
            zone.set_outage(outage, REGISTRATION);

            let mut lost = Vec::new();
            zone.play_until(outage.end + REST, |now, zone| {
                let lists_all = |index: &usize| zone.listed_count(*index) == zone::SERVERS;
                let losers = (0..size).filter(|index| CALM <= now && !lists_all(index));
                lost.extend(losers.map(|index| (now, index)));
            });

            let (first, last) = (lost.first(), lost.last());
            assert!(lost.is_empty(), "{size} instances, {outage:?}: {first:?} to {last:?}");
        }
    });
}
