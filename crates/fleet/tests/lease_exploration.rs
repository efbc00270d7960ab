//! Explores every interleaving of two processes that want one lease, breadth
//! first, tick by tick: outages of the log, absences from the list, missed
//! polls, and a list that lags. Time is counted in ticks of one second.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use fleet::{
    Name,
    lease::{Evidence, Holder, Participant, Record, Rules},
    member::{Listing, Member, Phase, Role},
};

const TICK: Duration = Duration::from_secs(1);
/// The most states at one depth, so that the search stays small.
const STATE_LIMIT: usize = 600_000;

/// What the platform's list does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    Never,
    /// An incarnation that left may come back.
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
    /// Whether the first process was listed, newest first, as far as the lag needs.
    listed: Vec<bool>,
    participants: [Participant; 2],
}

/// What happens in one tick.
#[derive(Clone, Copy)]
struct Step {
    is_log_up: bool,
    is_listed: bool,
    /// Whether the first process polls, or is paused.
    polls: bool,
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

fn listing(is_first_seen: bool) -> Listing {
    let members = [is_first_seen.then(|| member(0)), Some(member(1))];
    Listing { members: members.into_iter().flatten().collect() }
}

fn resource() -> Name {
    Arc::from("resource")
}

fn start(case: Case) -> World {
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
        for polls in [true, false] {
            steps.push(Step { is_log_up, is_listed: false, polls });
            if may_be_listed {
                steps.push(Step { is_log_up, is_listed: true, polls });
            }
        }
    }
    steps
}

fn advance(world: &World, step: Step, now: Duration) -> World {
    let mut next = world.clone();
    next.listed.pop();
    next.listed.insert(0, step.is_listed);
    // The worst case: the first process reads an old list, the second a new one.
    let oldest = *next.listed.last().expect("the history is never empty");
    for (index, is_first_seen) in [(0, oldest), (1, step.is_listed)] {
        if index == 0 && !step.polls {
            continue;
        }
        let World { records, participants, .. } = &mut next;
        participants[index].on_list_read(now, now, &listing(is_first_seen));
        if !step.is_log_up {
            continue;
        }
        let numbered = (0..).zip(records.iter());
        participants[index].on_log_read(now, now, 0, numbered);
        records.extend(participants[index].acquire(now, [&resource()]));
    }
    next
}

/// The depth at which both hold the lease, if the search finds one.
fn first_violation(case: Case) -> Option<u32> {
    let mut states = HashSet::from([start(case)]);
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
        assert!(reached.len() < STATE_LIMIT, "the search grew beyond its limit at {depth}");
        states = reached;
    }
    None
}

/// Whether the second process comes to hold the lease at all.
fn takes_over(case: Case) -> bool {
    let mut world = start(case);
    for depth in 1..=case.depth * 2 {
        let step = Step { is_log_up: true, is_listed: depth < 3, polls: depth < 3 };
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

/// Entries come back; a small case, since the list then has many histories.
const RETURNING: Case = Case {
    depth: 12,
    takeover_ticks: 2,
    lag_ticks: 0,
    evidence: Evidence::LogOnly,
    returns: Return::Possible,
};

#[test]
fn never_two_holders_when_incarnations_do_not_come_back() {
    assert_eq!(first_violation(SAFE), None);
}

#[test]
fn never_two_holders_by_the_log_alone_when_entries_come_back() {
    assert_eq!(first_violation(RETURNING), None);
}

#[test]
fn a_vanished_holder_is_replaced() {
    assert!(takes_over(SAFE));
    assert!(takes_over(Case { returns: Return::Never, ..RETURNING }));
}

#[test]
fn holding_by_the_list_is_unsafe_when_entries_come_back() {
    let naive = Case { evidence: Evidence::LogOrList, ..RETURNING };

    assert!(first_violation(naive).is_some());
}

#[test]
fn a_lag_beyond_the_assumption_is_unsafe() {
    let outside = Case { takeover_ticks: 2, lag_ticks: 9, ..SAFE };

    assert!(first_violation(outside).is_some());
}
