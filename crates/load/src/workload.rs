//! Seeded workloads of the two deployments for the simulation: Poisson arrivals and
//! Zipf-distributed popularity of adapters, with the most popular ones changing over time. The
//! same seed gives the same requests.

use std::{sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use fleet::{Name, change::Urgency, lease::Moment};
use quota::{permit::Budget, share::Limits};

const ADAPTERS: usize = 3000;
/// Exponent of the Zipf distribution of adapter popularity.
const ZIPF_EXPONENT: f64 = 1.1;
/// Time after which the most popular ranks move to other adapters.
const POPULARITY_SHIFT_INTERVAL: Duration = Duration::from_secs(120);
/// Number of the ranks that move.
const SHIFTED_RANKS: usize = 20;
const PROMPT_TOKENS: u64 = 60;
/// Share of each account in the requests; a few accounts are large.
const ACCOUNT_SHARES: [f64; 5] = [0.4, 0.3, 0.15, 0.1, 0.05];
/// Index of the account that exceeds its rate limit under [`Demand::Flood`].
pub const FLOODING_ACCOUNT: usize = 1;
/// Ratio of the flooding account's demand to its rate limit.
const FLOOD_FACTOR: f64 = 5.0;
/// Ratio of an account's rate limit to its usual demand.
const RATE_HEADROOM: f64 = 1.5;
/// Burst of an account, in seconds of its rate limit.
const BURST_SECONDS: u64 = 20;

/// Size and demand of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Maximum number of requests that an engine decodes in one batch.
    pub max_batch: usize,
    /// Number of entry instances.
    pub entries: usize,
    /// Requests per second over all accounts, without a flood.
    pub rate: f64,
    /// Load budget of the weight store.
    pub budget: Budget,
}

/// Level of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Every account stays below its rate limit on average.
    Usual,
    /// One account sends several times its rate limit.
    Flood,
}

/// Request of a workload.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrived: Moment,
    /// Index of the client account.
    pub account: usize,
    /// Index of the adapter.
    pub adapter: usize,
    pub prompt_tokens: u64,
    /// Tokens that the engine generates.
    pub output_tokens: u64,
    /// Maximum number of output tokens set by the caller.
    pub max_output_tokens: u64,
    /// Index of the entry instance that receives the request.
    pub entry: usize,
    pub urgency: Urgency,
}

/// The simulated deployments, at the sizes that their users stated.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "datenbrunnen",
        engines: 8,
        slots: 8,
        max_batch: 8,
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
        max_batch: 8,
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

/// Returns the name of an account.
pub fn account_name(index: usize) -> Name {
    Arc::from(format!("account-{index}"))
}

/// Returns the name of an adapter.
pub fn adapter_name(index: usize) -> Name {
    Arc::from(format!("adapter-{index:04}"))
}

/// Returns the rate limit and burst of an account, derived from its usual demand.
pub fn limits(deployment: &Deployment, account: usize) -> Limits {
    let tokens_per_request = (PROMPT_TOKENS + mean_output_tokens()) as f64;
    let demand = deployment.rate * ACCOUNT_SHARES[account] * tokens_per_request;
    let rate = (demand * RATE_HEADROOM).ceil() as u64;
    Limits { rate, burst: rate * BURST_SECONDS }
}

/// Generates the requests of one run, ordered by arrival.
pub fn generate(
    deployment: &Deployment,
    demand: Demand,
    duration: Duration,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
        // Each account has its own generator, so that a flood does not change the requests of other
        // accounts.
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed * 1000 + account as u64);
        let is_flooding = demand == Demand::Flood && account == FLOODING_ACCOUNT;
        let factor = if is_flooding { FLOOD_FACTOR * RATE_HEADROOM } else { 1.0 };
        let rate = deployment.rate * share * factor;
        let mut arrival = 0.0;
        loop {
            arrival += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            if duration.as_secs_f64() <= arrival {
                break;
            }
            requests.push(generate_request(
                deployment,
                account,
                Duration::from_secs_f64(arrival),
                &mut random,
            ));
        }
    }
    requests.sort_by_key(|request| request.arrived);
    requests
}

fn generate_request(
    deployment: &Deployment,
    account: usize,
    arrived: Moment,
    random: &mut Xoshiro256PlusPlus,
) -> Request {
    let rank = sample_rank(random);
    let output_tokens = random.random_range(20..=mean_output_tokens() * 2 - 20);
    Request {
        arrived,
        account,
        adapter: adapter_at_rank(rank, arrived),
        prompt_tokens: PROMPT_TOKENS,
        output_tokens,
        max_output_tokens: mean_output_tokens() * 2,
        entry: random.random_range(0..deployment.entries),
        urgency: Urgency::Interactive,
    }
}

/// Returns the adapter at a popularity rank. At every shift interval each of the top ranks is given
/// to the adapter 997 positions further on, which also keeps its own rank.
fn adapter_at_rank(rank: usize, now: Moment) -> usize {
    let shifts = (now.as_secs() / POPULARITY_SHIFT_INTERVAL.as_secs()) as usize;
    if rank < SHIFTED_RANKS { (rank + shifts * 997) % ADAPTERS } else { rank }
}

/// Samples a rank, counted from 0, by inverse transform sampling of the continuous approximation
/// of the Zipf distribution.
fn sample_rank(random: &mut Xoshiro256PlusPlus) -> usize {
    let exponent = 1.0 - ZIPF_EXPONENT;
    let max_power = (ADAPTERS as f64 + 1.0).powf(exponent);
    let uniform: f64 = random.random();
    let rank = (1.0 + uniform * (max_power - 1.0)).powf(1.0 / exponent);
    (rank as usize).clamp(1, ADAPTERS) - 1
}

/// Returns the mean number of output tokens of a request.
const fn mean_output_tokens() -> u64 {
    60
}
