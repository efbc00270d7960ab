//! Time of the decisions that every request goes through, at the two-year size.

use std::{sync::Arc, time::Duration};

use serde::Serialize;

use fleet::{change::Urgency, lease::Moment};
use kernel::clock::Clock;
use placement::{
    choice::{Candidate, Costs},
    policy::Context,
    popularity::Popularity,
    rendezvous::{self, Server},
    slots::{Key, Pin, Slots},
};
use quota::{
    bucket::Bucket,
    pool::{Part, Pool, Source},
    share::Limits,
};
use schedule::queue::{Fit, Item, Queue};

use crate::{combination::COMBINATIONS, workload};

const SERVERS: usize = 600;
const ADAPTERS: usize = 35_000;
const ZONES: usize = 5;
const ACCOUNTS: usize = 100;
const WAITING: usize = 400;
const SLOTS: usize = 16;
const ROUNDS: u32 = 20_000;
const LIMITS: Limits = Limits { rate: 1_000_000, burst: 20_000_000 };

/// Mean time of one decision, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Popularity, order of servers and choice.
    pub route_us: f64,
    /// Draw, reserve and refund.
    pub admit_us: f64,
    /// Queue, slots and back.
    pub dispatch_us: f64,
}

/// Measures each decision.
pub fn measure() -> Times {
    Times { route_us: route(), admit_us: admit(), dispatch_us: dispatch() }
}

fn route() -> f64 {
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| {
            let zone = Arc::from(format!("zone-{}", index % ZONES));
            Server::new(Arc::from(format!("engine-{index}")), zone, 1)
        })
        .collect();
    let policy = COMBINATIONS[0].find_policy();
    let names: Vec<_> = (0..ADAPTERS).map(workload::adapter_name).collect();
    let mut popularity = Popularity::new(Duration::from_secs(30));
    let costs = Costs::default();
    time(|round| {
        let name = &names[round as usize * 7919 % ADAPTERS];
        let rate = popularity.record(at(round), Arc::clone(name));
        let question = Context {
            target_hash: rendezvous::hash(name),
            rate,
            servers: &servers,
            sequence: round as usize,
            rate_per_server: 4.0,
        };
        let considered = (policy.consider)(&question);
        let candidates = vec![Candidate::default(); considered.len()];
        (policy.choose)(&costs, &candidates)
    })
}

fn admit() -> f64 {
    let share = LIMITS.share(0, 2);
    let mut bucket = Bucket::new(Moment::ZERO, share, share.capacity);
    let mut pool = Pool::default();
    time(|round| {
        let now = at(round);
        let want = pool.draw_size(now, 300, LIMITS.spend_lifetime());
        let source = Source { shard: 0, fence: 1, granted_at: now };
        let amount = bucket.take(now, want);
        pool.deposit(now, LIMITS.spend_lifetime(), Part { source, amount });
        let reservation = pool.reserve(now, 300)?;
        let unused = reservation.unused(200);
        Some(unused.iter().map(|part| bucket.refund(now, part.amount, now)).sum::<u64>())
    })
}

fn dispatch() -> f64 {
    let combination = &COMBINATIONS[0];
    let mut queue = Queue::new(combination.find_discipline(), WAITING * 2);
    let mut slots = Slots::new(SLOTS, combination.find_eviction());
    let item = |index: usize| Item {
        account: workload::account_name(index % ACCOUNTS),
        group: workload::adapter_name(index % ADAPTERS),
        cost: 200,
        urgency: Urgency::Interactive,
        arrived: Moment::ZERO,
        deadline: Duration::from_secs(3600),
        work: Key { adapter: workload::adapter_name(index % ADAPTERS), version: 1 },
    };
    for index in 0..WAITING {
        queue.push(item(index)).expect("the limit is twice as high");
    }
    time(|round| {
        let _room = queue.push(item(round as usize * 31));
        let next = queue.pop(at(round), |item| {
            if slots.is_present(&item.work) { Fit::Ready } else { Fit::Loadable }
        })?;
        match slots.pin(at(round), &next.work) {
            Pin::Resident(stay) | Pin::Loading(stay) => slots.unpin(stay),
            Pin::Load { id: stay, .. } => {
                slots.load_succeeded(stay);
                slots.unpin(stay);
            }
            Pin::Blocked => {}
        }
        Some(())
    })
}

fn at(round: u32) -> Moment {
    Duration::from_millis(1) * round
}

/// Mean time of `decide` in microseconds.
fn time<T>(mut decide: impl FnMut(u32) -> T) -> f64 {
    let clock = Clock::default();
    let began = clock.now();
    for round in 0..ROUNDS {
        std::hint::black_box(decide(round));
    }
    (clock.now() - began).as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
