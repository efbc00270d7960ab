//! Choice of the server for a request among an adapter's candidates.
//!
//! Compares a few candidates and takes the one with the shortest expected wait, after
//! Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
//! Transactions on Parallel and Distributed Systems 12(10), 2001.

use std::time::Duration;

/// Known load of a server that could run a request. Status reports lag, so work
/// sent since the last one is included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Outstanding tokens: queued or running at the last report, or sent since.
    pub queued_tokens: u64,
    /// Whether the adapter is resident or being loaded.
    pub is_resident: bool,
    /// Whether an adapter slot is available without waiting for a running request.
    pub has_free_slot: bool,
    /// Whether the server is in another availability zone.
    pub is_remote: bool,
    /// Whether the server failed or rejected a request recently.
    pub is_suspect: bool,
}

/// Contributions to the expected wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Wait for each outstanding token.
    pub per_token: Duration,
    /// Expected time to load an adapter.
    pub load: Duration,
    /// Expected wait for an adapter slot when all are pinned.
    pub no_slot: Duration,
    /// Round trip to another zone.
    pub remote: Duration,
    /// Penalty for a server that failed or rejected a request recently.
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

/// Returns the expected wait of a request on a candidate.
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

/// Returns the index of the candidate with the shortest expected wait, the first one
/// on a tie, or `None` without candidates.
pub fn best(costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|index| expected_wait(costs, &candidates[*index]))
}

/// Returns the number of servers for an adapter that receives `rate` requests per
/// second, at most `rate_per_server` of them on each: at least 1 and at most `servers`.
pub fn replica_count(rate: f64, rate_per_server: f64, servers: usize) -> usize {
    let wanted = (rate / rate_per_server).ceil().max(1.0) as usize;
    wanted.min(servers.max(1))
}
