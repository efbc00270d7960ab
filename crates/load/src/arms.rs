//! What is compared: ours, and what a user would set up alone. Every part is a
//! plug-in that the programs could use as well.

use inventory::iter;

use placement::{policy::Policy, slots::Eviction};
use schedule::discipline::Discipline;

/// How rates are kept over the entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rates {
    /// Shards with holders, drawn from ahead of need.
    Drawn,
    /// Each instance keeps its part of the rate and burst.
    StaticSplit,
}

/// One combination.
#[derive(Clone, Copy, Debug)]
pub struct Arm {
    pub name: &'static str,
    pub policy: &'static str,
    pub victim: &'static str,
    pub discipline: &'static str,
    pub rates: Rates,
}

/// Ours first, then the baselines.
pub const ARMS: [Arm; 5] = [
    Arm {
        name: "chivelatch",
        policy: "popularity",
        victim: "frequency",
        discipline: "fair",
        rates: Rates::Drawn,
    },
    Arm {
        name: "round robin + lru",
        policy: "round-robin",
        victim: "lru",
        discipline: "fifo",
        rates: Rates::StaticSplit,
    },
    Arm {
        name: "consistent hash + lru",
        policy: "consistent-hash",
        victim: "lru",
        discipline: "fifo",
        rates: Rates::StaticSplit,
    },
    Arm {
        name: "least loaded + lru",
        policy: "least-loaded",
        victim: "lru",
        discipline: "fifo",
        rates: Rates::StaticSplit,
    },
    Arm {
        name: "consistent hash, fair",
        policy: "consistent-hash",
        victim: "frequency",
        discipline: "fair",
        rates: Rates::Drawn,
    },
];

impl Arm {
    /// The routing policy.
    pub fn find_policy(&self) -> &'static Policy {
        let mut known = iter::<Policy>.into_iter();
        known.find(|policy| policy.name == self.policy).expect("the policy is linked in")
    }

    /// The choice of victims.
    pub fn find_victim(&self) -> &'static Eviction {
        let mut known = iter::<Eviction>.into_iter();
        known.find(|victim| victim.name == self.victim).expect("the policy is linked in")
    }

    /// The queue discipline.
    pub fn find_discipline(&self) -> &'static Discipline {
        let mut known = iter::<Discipline>.into_iter();
        known.find(|known| known.name == self.discipline).expect("the discipline is linked in")
    }
}
