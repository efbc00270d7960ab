//! Requests that crash every server that runs them, over a simulated fleet of instances.
//!
//! Guards against servers that are lost to one request, or to what different requests share, again
//! and again, and against innocent requests that are rejected for crashes beside which they ran: with
//! repeats at all instances, lost and late reports, crashes of other causes, and instances that are
//! killed or partitioned.

mod day;
mod model;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use day::{Deadly, Plan};
use model::{Fleet, milliseconds};

/// A calm day with one poison request.
fn plan(instances: usize) -> Plan {
    Plan {
        instances,
        servers: 4,
        poisons: 1,
        repeat_interval: milliseconds(100),
        copies: 1,
        loss: 0.02,
        crash_interval: None,
        kill_interval: None,
        deadly: None,
    }
}

/// Worst results over all seeds of a plan.
#[derive(Debug, Default)]
struct Worst {
    /// Most servers that one poison request has crashed.
    crashes: usize,
    /// Most times that one was sent later than [`CONTACT_PERIOD`] after its third crash.
    late_sends: usize,
    /// Most rejections of one innocent content that are due to a quarantine.
    wrongful: usize,
    /// Lowest share of innocent requests that were answered.
    answered_share: f64,
    /// Most servers that requests with the deadly part have crashed.
    part_crashes: usize,
    /// Most times that such requests were sent later than [`CONTACT_PERIOD`] after the fifth crash.
    late_part_sends: usize,
    /// Most sound requests with parts that a quarantine rejected.
    sound_rejected: usize,
    /// Lowest share of sound requests with parts that were answered.
    sound_share: f64,
}

fn play(name: &str, seeds: u64, plan: Plan) -> Worst {
    let worst = RefCell::new(Worst { answered_share: 1.0, sound_share: 1.0, ..Worst::default() });
    let (mut crashes, mut poisons) = (Cell::new(0), Cell::new(0));
    seeds::run(seeds, |random| {
        let outcome = Fleet::play(plan, random);
        let mut worst = worst.borrow_mut();
        for (poison, its_crashes) in outcome.crashes.iter().enumerate() {
            crashes.set(crashes.get() + its_crashes.len());
            poisons.set(poisons.get() + 1);
            worst.crashes = worst.crashes.max(its_crashes.len());
            worst.late_sends = worst.late_sends.max(outcome.late_sends(poison));
        }
        let most = outcome.wrongful.values().copied().max().unwrap_or(0);
        worst.wrongful = worst.wrongful.max(most);
        let share = outcome.answered as f64 / outcome.innocents as f64;
        worst.answered_share = worst.answered_share.min(share);
        worst.part_crashes = worst.part_crashes.max(outcome.part_crashes.len());
        worst.late_part_sends = worst.late_part_sends.max(outcome.late_part_sends());
        worst.sound_rejected = worst.sound_rejected.max(outcome.sound_rejected);
        let sound_share = outcome.sound_answered as f64 / outcome.sound.max(1) as f64;
        if plan.deadly.is_some() {
            worst.sound_share = worst.sound_share.min(sound_share);
        }
    });
    let worst = worst.into_inner();
    let mean = *crashes.get_mut() as f64 / f64::from((*poisons.get_mut()).max(1));
    println!("{} instances, {name}: {worst:?}, mean crashes {mean:.2}", plan.instances);
    worst
}

/// Most servers that one request may crash in all.
const MAX_CRASHES: usize = 3;
/// Most times that it may be sent later than [`CONTACT_PERIOD`] after its third crash.
const MAX_LATE_SENDS: usize = 3;
/// Most rejections of an innocent request.
const MAX_WRONGFUL: usize = 1;
/// Seeds of each plan in CI.
const SEEDS: u64 = 4;

#[test]
fn loses_at_most_three_servers_to_a_repeated_request() {
    for instances in [1, 4, 9, 26] {
        for repeat_interval in [milliseconds(100), milliseconds(5000)] {
            let name = format!("repeats each {repeat_interval:?}");
            let worst = play(&name, 2 * SEEDS, Plan { repeat_interval, ..plan(instances) });

            assert!(worst.crashes <= MAX_CRASHES && worst.wrongful == 0, "{name}: {worst:?}");
        }
    }
}

#[test]
fn keeps_poison_from_servers_and_rejects_no_innocent_request_in_any_state() {
    for instances in [1, 4, 9, 26] {
        let base = plan(instances);
        let plans = [
            ("repeats each 20 ms", Plan { repeat_interval: milliseconds(20), ..base }),
            ("8 at once", Plan { copies: 8, repeat_interval: milliseconds(1000), ..base }),
            ("5 requests", Plan { poisons: 5, ..base }),
            ("5 requests, 12 servers", Plan { poisons: 5, servers: 12, ..base }),
            ("a fifth of datagrams lost", Plan { loss: 0.2, ..base }),
            ("one server", Plan { servers: 1, ..base }),
            ("other crashes", Plan { crash_interval: Some(milliseconds(1000)), ..base }),
            (
                "other crashes alone",
                Plan { poisons: 0, crash_interval: Some(milliseconds(500)), ..base },
            ),
            (
                "other crashes, 5 requests, 12 servers",
                Plan { servers: 12, poisons: 5, crash_interval: Some(milliseconds(700)), ..base },
            ),
            ("kills", Plan { kill_interval: Some(milliseconds(4000)), ..base }),
        ];
        for (name, plan) in plans {
            let worst = play(name, SEEDS, plan);

            let has_few_sends = worst.late_sends <= MAX_LATE_SENDS;
            assert!(has_few_sends && worst.wrongful <= MAX_WRONGFUL, "{name}: {worst:?}");
        }
    }
}

/// Most servers that requests with one part may crash in all.
const MAX_PART_CRASHES: usize = 5;
/// Most times that they may be sent later than [`CONTACT_PERIOD`] after the fifth crash.
const MAX_LATE_PART_SENDS: usize = 3;
/// Lowest share of sound requests that are answered beside them.
const MIN_SOUND_SHARE: f64 = 0.8;

/// A day on which one request a second, no two alike, has a part that crashes servers.
fn plan_with_part(instances: usize) -> Plan {
    let deadly = Deadly {
        interval: milliseconds(1000),
        sound_interval: milliseconds(25),
        attempts: 1,
        shares_session: false,
        starts_after: Duration::ZERO,
    };
    Plan { servers: 12, poisons: 0, deadly: Some(deadly), ..plan(instances) }
}

#[test]
fn loses_at_most_five_servers_to_requests_that_share_a_part() {
    for instances in [1, 4, 26, 68, 146] {
        let base = plan_with_part(instances);
        let is_large = 26 < instances;
        let intervals = [milliseconds(1000), milliseconds(300), milliseconds(3000)];
        for interval in intervals.into_iter().take(if is_large { 1 } else { 3 }) {
            let name = format!("a part each {interval:?}");
            let deadly = base.deadly.map(|deadly| Deadly { interval, ..deadly });

            let worst = play(&name, SEEDS, Plan { deadly, ..base });

            assert!(worst.part_crashes <= MAX_PART_CRASHES, "{name}: {worst:?}");
            assert!(worst.sound_rejected == 0, "{name}: {worst:?}");
            assert!(MIN_SOUND_SHARE <= worst.sound_share, "{name}: {worst:?}");
        }
    }
}

#[test]
fn keeps_a_part_from_servers_and_rejects_no_sound_request_in_any_state() {
    for instances in [1, 4, 26] {
        let base = plan_with_part(instances);
        let deadly = base.deadly.unwrap();
        let with = |deadly: Deadly| Plan { deadly: Some(deadly), ..base };
        let plans = [
            ("each 50 ms", with(Deadly { interval: milliseconds(50), ..deadly })),
            ("two attempts", with(Deadly { attempts: 2, ..deadly })),
            ("one session", with(Deadly { shares_session: true, ..deadly })),
            ("sound for 8 s", with(Deadly { starts_after: milliseconds(8000), ..deadly })),
            ("a fifth of datagrams lost", Plan { loss: 0.2, ..base }),
            ("other crashes", Plan { crash_interval: Some(milliseconds(1000)), ..base }),
            ("a poison request", Plan { poisons: 1, ..base }),
            ("kills", Plan { kill_interval: Some(milliseconds(4000)), ..base }),
        ];
        for (name, plan) in plans {
            let worst = play(&format!("a part, {name}"), SEEDS, plan);

            assert!(worst.late_part_sends <= MAX_LATE_PART_SENDS, "{name}: {worst:?}");
            assert!(worst.sound_rejected == 0, "{name}: {worst:?}");
        }
    }
}
