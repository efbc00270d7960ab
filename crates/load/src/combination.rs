//! Combinations of policies under comparison: the project's own and the baselines that a user
//! could set up without it. All but the rate limiting are plug-ins, which the programs can use too.

use inventory::iter;

use placement::{policy::Policy, slots::Eviction};
use schedule::discipline::Discipline;

/// Enforcement of account rate limits across the entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimiting {
    /// Sharded token buckets, from which the instances draw grants ahead of demand.
    Sharded,
    /// One token bucket per instance with an equal part of the rate and burst.
    StaticSplit,
}

/// Combination of policies, each identified by its plug-in name.
#[derive(Clone, Copy, Debug)]
pub struct Combination {
    pub name: &'static str,
    pub policy: &'static str,
    pub eviction: &'static str,
    pub discipline: &'static str,
    pub rate_limiting: RateLimiting,
}

/// The project's own combination, followed by the baselines.
pub const COMBINATIONS: [Combination; 5] = [
    Combination {
        name: "chivelatch",
        policy: "popularity",
        eviction: "frequency",
        discipline: "fair",
        rate_limiting: RateLimiting::Sharded,
    },
    Combination {
        name: "round robin + lru",
        policy: "round-robin",
        eviction: "lru",
        discipline: "fifo",
        rate_limiting: RateLimiting::StaticSplit,
    },
    Combination {
        name: "consistent hash + lru",
        policy: "consistent-hash",
        eviction: "lru",
        discipline: "fifo",
        rate_limiting: RateLimiting::StaticSplit,
    },
    Combination {
        name: "least loaded + lru",
        policy: "least-loaded",
        eviction: "lru",
        discipline: "fifo",
        rate_limiting: RateLimiting::StaticSplit,
    },
    Combination {
        name: "consistent hash, fair",
        policy: "consistent-hash",
        eviction: "frequency",
        discipline: "fair",
        rate_limiting: RateLimiting::Sharded,
    },
];

impl Combination {
    /// Returns the routing policy.
    pub fn find_policy(&self) -> &'static Policy {
        let mut policies = iter::<Policy>.into_iter();
        policies
            .find(|policy| policy.name == self.policy)
            .expect("the routing policy is registered")
    }

    /// Returns the eviction policy.
    pub fn find_eviction(&self) -> &'static Eviction {
        let mut evictions = iter::<Eviction>.into_iter();
        evictions
            .find(|eviction| eviction.name == self.eviction)
            .expect("the eviction policy is registered")
    }

    /// Returns the queue discipline.
    pub fn find_discipline(&self) -> &'static Discipline {
        let mut disciplines = iter::<Discipline>.into_iter();
        disciplines
            .find(|discipline| discipline.name == self.discipline)
            .expect("the discipline is registered")
    }
}
