//! Which of an adapter's servers takes a request.
//!
//! A few candidates are compared by the wait they would cause, after
//! Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
//! Transactions on Parallel and Distributed Systems 12(10), 2001.

use std::time::Duration;

/// What is known of a candidate. Reports lag, so work sent since is added.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Tokens waiting or running at the last report, and sent since.
    pub queued_tokens: u64,
    /// Whether the adapter is loaded there or being loaded.
    pub is_resident: bool,
    /// Whether a slot can be had without waiting for a running request.
    pub has_free_slot: bool,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
    /// Whether it has just failed or refused.
    pub is_suspect: bool,
}

/// Costs that the comparison weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Wait caused by one token ahead.
    pub per_token: Duration,
    /// Expected time to load an adapter.
    pub load: Duration,
    /// Expected wait for a slot when all are pinned.
    pub no_slot: Duration,
    /// Round trip to another zone.
    pub remote: Duration,
    /// Wait charged to a server that has just failed.
    pub suspect: Duration,
}

impl Default for Costs {
    fn default() -> Costs {
        Costs {
            per_token: Duration::from_micros(500),
            load: Duration::from_millis(400),
            no_slot: Duration::from_secs(1),
            remote: Duration::from_micros(1500),
            suspect: Duration::from_secs(5),
        }
    }
}

/// Expected wait on a candidate.
pub fn expected_wait(costs: &Costs, candidate: &Candidate) -> Duration {
    let mut wait = costs.per_token * u32::try_from(candidate.queued_tokens).unwrap_or(u32::MAX);
    if !candidate.is_resident {
        wait += costs.load;
    }
    if !candidate.is_resident && !candidate.has_free_slot {
        wait += costs.no_slot;
    }
    if candidate.is_remote {
        wait += costs.remote;
    }
    if candidate.is_suspect {
        wait += costs.suspect;
    }
    wait
}

/// Position of the candidate with the shortest expected wait; the earlier of equals.
pub fn best(costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|index| expected_wait(costs, &candidates[*index]))
}

/// How many servers an adapter asked for `rate` times a second gets, when one
/// server should see at most `rate_per_server` of them.
pub fn replica_count(rate: f64, rate_per_server: f64, servers: usize) -> usize {
    let wanted = (rate / rate_per_server).ceil().max(1.0) as usize;
    wanted.min(servers.max(1))
}
