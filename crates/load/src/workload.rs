//! Seeded workloads of the two deployments.

use std::{sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use fleet::{Name, change::Urgency, lease::Moment};
use quota::{permit::Budget, share::Limits};

const ADAPTERS: usize = 3000;
/// Exponent of the Zipf distribution of popularity.
const SKEW: f64 = 1.1;
/// How often popularity shifts, and how many of the most popular adapters it moves.
const SHIFT_INTERVAL: Duration = Duration::from_secs(120);
const SHIFTED: usize = 20;
const PROMPT_TOKENS: u64 = 60;
/// Shares of the demand by account: a few are large.
const ACCOUNT_SHARES: [f64; 5] = [0.4, 0.3, 0.15, 0.1, 0.05];
/// The account that floods.
pub const FLOODER: usize = 1;
/// Its demand in multiples of its rate.
const FLOOD_FACTOR: f64 = 5.0;
/// What an account's rate leaves above its usual demand.
const RATE_HEADROOM: f64 = 1.5;
/// Burst in seconds of the rate.
const BURST_SECONDS: u64 = 20;

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    pub slots: usize,
    /// Requests that an engine decodes together.
    pub batch: usize,
    pub entries: usize,
    /// Requests a second, without a flood.
    pub rate: f64,
    pub budget: Budget,
}

/// Whether an account sends several times its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    Usual,
    Flood,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrived: Moment,
    pub account: usize,
    pub adapter: usize,
    pub prompt: u64,
    pub output: u64,
    /// Tokens that the caller allows for the answer.
    pub max_output: u64,
    pub entry: usize,
    pub urgency: Urgency,
}

/// The deployments at the sizes that their users gave.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "datenbrunnen",
        engines: 8,
        slots: 8,
        batch: 8,
        entries: 4,
        rate: 4.0,
        budget: Budget {
            rate: 3,
            burst: 4,
            in_flight: 8,
            permit_lifetime: Duration::from_secs(10),
        },
    },
    Deployment {
        name: "taff-valley",
        engines: 6,
        slots: 8,
        batch: 8,
        entries: 4,
        rate: 2.7,
        budget: Budget {
            rate: 2,
            burst: 4,
            in_flight: 8,
            permit_lifetime: Duration::from_secs(10),
        },
    },
];

/// Name of an account.
pub fn account_name(index: usize) -> Name {
    Arc::from(format!("account-{index}"))
}

/// Name of an adapter.
pub fn adapter_name(index: usize) -> Name {
    Arc::from(format!("adapter-{index:04}"))
}

/// Limits of an account, above its usual demand.
pub fn limits(deployment: &Deployment, account: usize) -> Limits {
    let request_tokens = (PROMPT_TOKENS + mean_output()) as f64;
    let demand = deployment.rate * ACCOUNT_SHARES[account] * request_tokens;
    let rate = (demand * RATE_HEADROOM).ceil() as u64;
    Limits { rate, burst: rate * BURST_SECONDS }
}

/// All requests of one run, by arrival.
pub fn generate(
    deployment: &Deployment,
    demand: Demand,
    length: Duration,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
        // Each account has its own random numbers, so that a flood moves no other's.
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed * 1000 + account as u64);
        let floods = demand == Demand::Flood && account == FLOODER;
        let factor = if floods { FLOOD_FACTOR * RATE_HEADROOM } else { 1.0 };
        let rate = deployment.rate * share * factor;
        let mut at = 0.0;
        loop {
            at += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            if length.as_secs_f64() <= at {
                break;
            }
            requests.push(request(deployment, account, Duration::from_secs_f64(at), &mut random));
        }
    }
    requests.sort_by_key(|request| request.arrived);
    requests
}

fn request(
    deployment: &Deployment,
    account: usize,
    arrived: Moment,
    random: &mut Xoshiro256PlusPlus,
) -> Request {
    let rank = zipf(random);
    let output = random.random_range(20..=mean_output() * 2 - 20);
    Request {
        arrived,
        account,
        adapter: adapter_at(rank, arrived),
        prompt: PROMPT_TOKENS,
        output,
        max_output: mean_output() * 2,
        entry: random.random_range(0..deployment.entries),
        urgency: Urgency::Interactive,
    }
}

/// The adapter at a rank of popularity; the top ranks change hands now and then.
fn adapter_at(rank: usize, now: Moment) -> usize {
    let shifts = (now.as_secs() / SHIFT_INTERVAL.as_secs()) as usize;
    if rank < SHIFTED { (rank + shifts * 997) % ADAPTERS } else { rank }
}

/// A rank by inverting the distribution's continuous approximation.
fn zipf(random: &mut Xoshiro256PlusPlus) -> usize {
    let exponent = 1.0 - SKEW;
    let highest = (ADAPTERS as f64 + 1.0).powf(exponent);
    let unit: f64 = random.random();
    let rank = (1.0 + unit * (highest - 1.0)).powf(1.0 / exponent);
    (rank as usize).clamp(1, ADAPTERS) - 1
}

const fn mean_output() -> u64 {
    60
}
