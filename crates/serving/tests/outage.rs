//! Outages of the store, told from failures between it and one instance.
//!
//! A fleet of instances reads a store and tells each other of its answers. Some of them cannot reach it
//! for a while, do not run for a while, or the store is away for all.

use std::{collections::HashSet, time::Duration};

use rand::RngExt as _;

use seeds::Random;
use serving::{
    Moment,
    outage::{self, Detector, Finding},
};

const FLEETS: [usize; 4] = [2, 4, 26, 68];
const STEP: Duration = Duration::from_millis(20);
/// Time of calm reading before something fails.
const CALM: Duration = Duration::from_secs(6);
/// Time after the end of a failure in which the instances must agree.
const SETTLING_TIME: Duration = Duration::from_millis(1200);
/// Shortest outage in which listings expire: three heartbeats, less the age of the last one.
const SHORTEST_EXPIRY: f64 = 2.4;
/// Share of the reports that are lost.
const LOSS: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Some instances cannot reach the store.
    Cut,
    /// Some instances reach neither the store nor their peers.
    CutFromAll,
    /// Nobody reaches the store.
    Outage,
}

/// Plays some seconds of trouble. Returns the instances that take the store for returned in the end.
fn believers(
    random: &mut Random,
    instances: usize,
    troubled: usize,
    trouble: Trouble,
    length: f64,
) -> HashSet<usize> {
    let mut detectors = vec![Detector::default(); instances];
    let mut next_read: Vec<f64> = (0..instances).map(|_| random.random_range(0.0..0.7)).collect();
    let mut next_report: Vec<f64> = (0..instances).map(|_| random.random_range(0.0..0.6)).collect();
    let mut believers = HashSet::new();
    let start = CALM.as_secs_f64();
    let mut now = Moment::ZERO;
    while now < CALM + Duration::from_secs_f64(length) + SETTLING_TIME {
        now += STEP;
        let time = now.as_secs_f64();
        let is_troubled = (start..start + length).contains(&time);
        let is_hit = |instance: usize| is_troubled && instance < troubled;
        for instance in 0..instances {
            let is_away = is_hit(instance) || is_troubled && trouble == Trouble::Outage;
            if next_read[instance] <= time && !is_away {
                next_read[instance] = time + random.random_range(0.45..0.75);
                note(&mut believers, instance, detectors[instance].record_answer(now));
            }
            if time < next_report[instance] {
                continue;
            }
            next_report[instance] = time + random.random_range(0.1..0.6);
            let is_mute = |it: usize| trouble == Trouble::CutFromAll && is_hit(it);
            let Some(report) = detectors[instance].report(now) else { continue };
            for peer in (0..instances).filter(|peer| *peer != instance) {
                let is_lost = random.random_range(0.0..1.0) < LOSS;
                if !is_lost && !is_mute(instance) && !is_mute(peer) {
                    note(&mut believers, peer, detectors[peer].record_report(now, report));
                }
            }
        }
    }
    believers
}

fn note(believers: &mut HashSet<usize>, instance: usize, finding: Option<Finding>) {
    match finding {
        Some(Finding::Returned(_)) => believers.insert(instance),
        Some(Finding::NeverAway) => believers.remove(&instance),
        None => false,
    };
}

// Guards against a machine that was cut off alone, takes the first answer after that for the return of the
// store, and keeps servers whose listings are removed.
#[test]
fn takes_no_cut_of_some_instances_for_an_outage() {
    seeds::run(8, |random| {
        for instances in FLEETS {
            for trouble in [Trouble::Cut, Trouble::CutFromAll] {
                let troubled = random.random_range(1..instances);
                let length = random.random_range(0.5..12.0);

                let believers = believers(random, instances, troubled, trouble, length);

                let case = format!("{troubled} of {instances}, {trouble:?} of {length} s");
                assert_eq!(believers, HashSet::new(), "{case}");
            }
        }
    });
}

// Guards against the removal of all servers whose listings expired while the store was away.
#[test]
fn notices_each_outage_in_which_listings_expire() {
    seeds::run(8, |random| {
        for instances in FLEETS {
            let length = random.random_range(SHORTEST_EXPIRY..12.0);

            let believers = believers(random, instances, 0, Trouble::Outage, length);

            assert_eq!(believers.len(), instances, "{instances} instances, outage of {length} s");
        }
    });
}

// Guards against an instance that knows no peer, or whose peers were cut off, too.
#[test]
fn counts_a_gap_that_nobody_explains_as_an_outage() {
    let mut detector = Detector::default();
    detector.record_answer(Duration::from_secs(1));

    let finding = detector.record_answer(Duration::from_secs(6));
    let report = |first, last| outage::Report {
        first: Duration::from_secs(first),
        last: Duration::from_secs(last),
    };
    let began_later = detector.record_report(Duration::from_secs(7), report(2, 0));
    let ended_before = detector.record_report(Duration::from_secs(7), report(60, 4));

    assert_eq!(finding, Some(Finding::Returned(Duration::from_secs(5))));
    assert_eq!((began_later, ended_before), (None, None));
}

// Guards against a peer's belief in an outage that counts more than the answers of an instance that was never cut
// off; and against an instance that has just started and denies an outage that it has not seen.
#[test]
fn knows_that_the_store_was_there_after_steady_answers_only() {
    let steady_for = |length: Duration| {
        let mut detector = Detector::default();
        let mut now = Moment::ZERO;
        while now <= length {
            detector.record_answer(now);
            now += Duration::from_millis(500);
        }
        detector.is_steady(length)
    };
    let mut cut_off = Detector::default();
    cut_off.record_answer(Duration::from_secs(1));
    let before_a_report = cut_off.is_steady(Duration::from_secs(20));
    let report =
        outage::Report { first: Duration::from_secs(19), last: Duration::from_millis(300) };
    cut_off.record_report(Duration::from_secs(20), report);
    let after_a_report = cut_off.is_steady(Duration::from_secs(20));
    let after_silence = cut_off.is_steady(Duration::from_secs(23));

    assert_eq!([1, 4, 5].map(|it| steady_for(Duration::from_secs(it))), [false, false, true]);
    assert_eq!([before_a_report, after_a_report, after_silence], [false, true, false]);
}
