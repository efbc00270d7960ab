//! Benchmark of the decisions on the path of every request, at the fleet size expected in two
//! years. It measures real time, unlike the simulations.

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
use schedule::queue::{Item, Queue, Readiness};

use crate::{combination::COMBINATIONS, workload};

const SERVERS: usize = 600;
const ADAPTERS: usize = 35_000;
const ZONES: usize = 5;
const ACCOUNTS: usize = 100;
const QUEUED_REQUESTS: usize = 400;
const SLOTS: usize = 16;
const ITERATIONS: u32 = 20_000;
const LIMITS: Limits = Limits { rate: 1_000_000, burst: 20_000_000 };

/// Mean times of the decisions, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Recording of the popularity, ranking of the servers and choice among them.
    pub route_us: f64,
    /// Draw from the shard, reservation and refund.
    pub admit_us: f64,
    /// Push to the queue, pop from it, and pin and unpin of the adapter slot.
    pub dispatch_us: f64,
}

/// Measures the mean time of each decision.
pub fn measure() -> Times {
    Times { route_us: time_routing(), admit_us: time_admission(), dispatch_us: time_dispatch() }
}

fn time_routing() -> f64 {
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
    mean_time_us(|iteration| {
        // The stride is coprime with the number of adapters, so that no adapter repeats early.
        let name = &names[iteration as usize * 7919 % ADAPTERS];
        let rate = popularity.record(virtual_time(iteration), Arc::clone(name));
        let context = Context {
            target_hash: rendezvous::hash(name),
            rate,
            servers: &servers,
            sequence: iteration as usize,
            rate_per_server: 4.0,
        };
        let ranking = (policy.consider)(&context);
        let candidates = vec![Candidate::default(); ranking.len()];
        (policy.choose)(&costs, &candidates)
    })
}

fn time_admission() -> f64 {
    let share = LIMITS.share(0, 2);
    let mut bucket = Bucket::new(Moment::ZERO, share, share.capacity);
    let mut pool = Pool::default();
    mean_time_us(|iteration| {
        let now = virtual_time(iteration);
        let requested = pool.draw_size(now, 300, LIMITS.spend_lifetime());
        let source = Source { shard: 0, fence: 1, granted_at: now };
        let amount = bucket.take(now, requested);
        pool.deposit(now, LIMITS.spend_lifetime(), Part { source, amount });
        let reservation = pool.reserve(now, 300)?;
        let unused = reservation.unused(200);
        Some(unused.iter().map(|part| bucket.refund(now, part.amount, now)).sum::<u64>())
    })
}

fn time_dispatch() -> f64 {
    let combination = &COMBINATIONS[0];
    let mut queue = Queue::new(combination.find_discipline(), QUEUED_REQUESTS * 2);
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
    for index in 0..QUEUED_REQUESTS {
        queue.push(item(index)).expect("the queue limit is twice as high");
    }
    mean_time_us(|iteration| {
        // A full queue rejects the request, which does not matter here.
        let _result = queue.push(item(iteration as usize * 31));
        let popped = queue.pop(virtual_time(iteration), |item| {
            if slots.is_present(&item.work) { Readiness::Ready } else { Readiness::Loadable }
        })?;
        match slots.pin(virtual_time(iteration), &popped.work) {
            Pin::Resident(slot) | Pin::Loading(slot) => slots.unpin(slot),
            Pin::Load { id: slot, .. } => {
                slots.load_succeeded(slot);
                slots.unpin(slot);
            }
            Pin::Blocked => {}
        }
        Some(())
    })
}

/// Returns the time passed to the decisions in an iteration.
fn virtual_time(iteration: u32) -> Moment {
    Duration::from_millis(1) * iteration
}

/// Returns the mean time of `decision` in microseconds.
fn mean_time_us<T>(mut decision: impl FnMut(u32) -> T) -> f64 {
    let clock = Clock::default();
    let started_at = clock.now();
    for iteration in 0..ITERATIONS {
        std::hint::black_box(decision(iteration));
    }
    (clock.now() - started_at).as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}
