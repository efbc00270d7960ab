//! Routing policies as plug-ins: the one in use and the baselines it is
//! measured against.

use crate::{
    choice::{self, Candidate, Costs},
    rendezvous::{self, Ranking, Server},
};

/// What a policy decides from.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Seed of the adapter's name (`rendezvous::hash`).
    pub target_hash: u64,
    /// Requests a second for the adapter over the whole fleet.
    pub rate: f64,
    pub servers: &'a [Server],
    /// Counts requests of this entry, for policies that take turns.
    pub sequence: usize,
    /// Requests a second for one adapter that one server should see.
    pub rate_per_server: f64,
}

/// A routing policy.
#[derive(Debug)]
pub struct Policy {
    pub name: &'static str,
    /// Servers to consider, best first.
    pub consider: fn(&Context<'_>) -> Ranking,
    /// Which of the considered servers to use.
    pub choose: fn(&Costs, &[Candidate]) -> Option<usize>,
}

inventory::collect!(Policy);

/// Servers considered beside those that serve an adapter, for when they are full.
const SPILLOVER_SERVERS: usize = 1;

inventory::submit! {
    Policy { name: "popularity", consider: by_popularity, choose: choice::best }
}

inventory::submit! {
    Policy { name: "round-robin", consider: round_robin, choose: first_candidate }
}

inventory::submit! {
    Policy { name: "consistent-hash", consider: consistent_hash, choose: first_candidate }
}

inventory::submit! {
    Policy { name: "least-loaded", consider: all_servers, choose: least_queued }
}

fn by_popularity(context: &Context<'_>) -> Ranking {
    let replicas =
        choice::replica_count(context.rate, context.rate_per_server, context.servers.len());
    rendezvous::preferred(context.target_hash, context.servers, replicas + SPILLOVER_SERVERS)
}

fn consistent_hash(context: &Context<'_>) -> Ranking {
    rendezvous::preferred(context.target_hash, context.servers, 1)
}

fn round_robin(context: &Context<'_>) -> Ranking {
    let count = context.servers.len();
    (0..count.min(1)).map(|_| context.sequence % count).collect()
}

fn all_servers(context: &Context<'_>) -> Ranking {
    (0..context.servers.len()).collect()
}

fn first_candidate(_costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (!candidates.is_empty()).then_some(0)
}

fn least_queued(_costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|index| candidates[*index].queued_tokens)
}
