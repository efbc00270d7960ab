//! Routing policies as plug-ins: the default, `popularity`, and the baselines that
//! it is compared with.

use crate::{
    choice::{self, Candidate, Costs},
    rendezvous::{self, Ranking, Server},
};

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Hash of the name of the adapter or route ([`rendezvous::hash`]).
    pub target_hash: u64,
    /// Requests per second for the adapter over the whole fleet; infinite for a route,
    /// which any of its servers can run.
    pub rate: f64,
    /// Servers that can run the request.
    pub servers: &'a [Server],
    /// Sequence number of the request at this entry instance, for round-robin policies.
    pub sequence: usize,
    /// Target for the requests per second for one adapter on one server.
    pub rate_per_server: f64,
}

/// A routing policy.
#[derive(Debug)]
pub struct Policy {
    pub name: &'static str,
    /// Returns the indices of the servers to compare. Their order matters only to `choose`.
    pub consider: fn(&Context<'_>) -> Ranking,
    /// Returns the index of the candidate that gets the request. The candidates are in
    /// the order of `consider`.
    pub choose: fn(&Costs, &[Candidate]) -> Option<usize>,
}

inventory::collect!(Policy);

/// Servers compared beyond an adapter's replicas, which take over when those are full.
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
