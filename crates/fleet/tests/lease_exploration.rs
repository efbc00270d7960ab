//! Guards against two processes holding one lease at the same time.
//!
//! A breadth-first search explores every interleaving of two processes that claim
//! one lease, under outages of the log, absences from the instance list, missed
//! polls and a lagging list. Time advances in ticks of one second. Two tests violate
//! an assumption of the lease rules and expect two holders: they guard against a
//! search that misses violations.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use fleet::{
    Name,
    lease::{Evidence, Holder, Participant, Record, Rules},
    member::{Listing, Member, Phase, Role},
};

const TICK: Duration = Duration::from_secs(1);
/// Limit on the states at one depth, which bounds the cost of the search.
const MAX_STATES_PER_DEPTH: usize = 600_000;

/// Whether an incarnation that left the instance list may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    Never,
    Possible,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    depth: u32,
    takeover_ticks: u32,
    lag_ticks: u32,
    evidence: Evidence,
    returns: Return,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    records: Vec<Record>,
    /// Whether the first process was listed at each tick of the lag, newest first.
    listed: Vec<bool>,
    participants: [Participant; 2],
}

/// The conditions during one tick.
#[derive(Clone, Copy)]
struct Step {
    is_log_up: bool,
    is_listed: bool,
    /// Whether the first process polls; otherwise it is paused.
    is_polling: bool,
}

fn holder(index: usize) -> Holder {
    Holder { instance: Arc::from(["first", "second"][index]), incarnation: index as u64 + 1 }
}

fn member(index: usize) -> Member {
    let Holder { instance, incarnation } = holder(index);
    Member {
        instance,
        incarnation,
        role: Role::Entry,
        zone: Arc::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        phase: Phase::Live,
        server: None,
        weight: 1,
        routes: Vec::new(),
    }
}

/// Returns a list with the second process and, if `has_first` is set, the first.
fn listing(has_first: bool) -> Listing {
    let members = [has_first.then(|| member(0)), Some(member(1))];
    Listing { members: members.into_iter().flatten().collect() }
}

fn resource() -> Name {
    Arc::from("resource")
}

fn initial_world(case: Case) -> World {
    let rules = Rules {
        takeover: TICK * case.takeover_ticks,
        retention: TICK * 1000,
        evidence: case.evidence,
    };
    let participants = [0, 1].map(|index| Participant::new(holder(index), rules));
    World { records: Vec::new(), listed: vec![true; case.lag_ticks as usize + 1], participants }
}

fn steps(world: &World, case: Case) -> Vec<Step> {
    let may_be_listed = case.returns == Return::Possible || world.listed[0];
    let mut steps = Vec::new();
    for is_log_up in [true, false] {
        for is_polling in [true, false] {
            steps.push(Step { is_log_up, is_listed: false, is_polling });
            if may_be_listed {
                steps.push(Step { is_log_up, is_listed: true, is_polling });
            }
        }
    }
    steps
}

fn advance(world: &World, step: Step, now: Duration) -> World {
    let mut next = world.clone();
    next.listed.pop();
    next.listed.insert(0, step.is_listed);
    // The worst case: the first process reads the oldest list, the second the newest.
    let oldest = *next.listed.last().expect("the history is never empty");
    for (index, has_first) in [(0, oldest), (1, step.is_listed)] {
        if index == 0 && !step.is_polling {
            continue;
        }
        let World { records, participants, .. } = &mut next;
        participants[index].on_list_read(now, now, &listing(has_first));
        if !step.is_log_up {
            continue;
        }
        let with_offsets = (0..).zip(records.iter());
        participants[index].on_log_read(now, now, 0, with_offsets);
        records.extend(participants[index].acquire(now, [&resource()]));
    }
    next
}

/// Returns the depth at which both processes hold the lease, if the search finds one.
fn first_violation(case: Case) -> Option<u32> {
    let mut states = HashSet::from([initial_world(case)]);
    for depth in 1..=case.depth {
        let now = TICK * depth;
        let mut reached = HashSet::new();
        for world in &states {
            for step in steps(world, case) {
                let next = advance(world, step, now);
                let holders = next
                    .participants
                    .iter()
                    .filter(|participant| participant.held(now, "resource").is_some());
                if 1 < holders.count() {
                    return Some(depth);
                }
                reached.insert(next);
            }
        }
        assert!(
            reached.len() < MAX_STATES_PER_DEPTH,
            "the search exceeds its limit at depth {depth}"
        );
        states = reached;
    }
    None
}

/// Whether the second process takes the lease over after the first has left the list.
fn takes_over(case: Case) -> bool {
    let mut world = initial_world(case);
    for depth in 1..=case.depth * 2 {
        // The first process holds the lease by tick 2; from tick 3 on, it is paused and not listed.
        let step = Step { is_log_up: true, is_listed: depth < 3, is_polling: depth < 3 };
        world = advance(&world, step, TICK * depth);
        if world.participants[1].held(TICK * depth, "resource").is_some() {
            return true;
        }
    }
    false
}

const SAFE: Case = Case {
    depth: 15,
    takeover_ticks: 4,
    lag_ticks: 1,
    evidence: Evidence::LogOrList,
    returns: Return::Never,
};

/// Incarnations may return. The case is small, because the list then has many histories.
const RETURNING: Case = Case {
    depth: 12,
    takeover_ticks: 2,
    lag_ticks: 0,
    evidence: Evidence::LogOnly,
    returns: Return::Possible,
};

#[test]
fn has_at_most_one_holder_if_incarnations_never_return() {
    assert_eq!(first_violation(SAFE), None);
}

#[test]
fn has_at_most_one_holder_by_log_alone_if_incarnations_return() {
    assert_eq!(first_violation(RETURNING), None);
}

#[test]
fn replaces_absent_holder() {
    assert!(takes_over(SAFE));
    assert!(takes_over(Case { returns: Return::Never, ..RETURNING }));
}

#[test]
fn finds_two_holders_by_list_if_incarnations_return() {
    let by_list = Case { evidence: Evidence::LogOrList, ..RETURNING };

    assert!(first_violation(by_list).is_some());
}

#[test]
fn finds_two_holders_if_list_lags_beyond_limit() {
    let lagging = Case { takeover_ticks: 2, lag_ticks: 9, ..SAFE };

    assert!(first_violation(lagging).is_some());
}
