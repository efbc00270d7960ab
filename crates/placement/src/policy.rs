//! Routing policies as plug-ins: the one in use and the baselines it is
//! measured against.

use crate::{
    choice::{self, Candidate, Costs},
    rendezvous::{self, Ranking, Server},
};

/// What a policy decides from.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Seed of the adapter's name (`rendezvous::hash`).
    pub adapter: u64,
    /// Requests a second for the adapter over the whole fleet.
    pub rate: f64,
    pub servers: &'a [Server],
    /// Counts requests of this entry, for policies that take turns.
    pub turn: usize,
    /// Requests a second for one adapter that one server should see.
    pub per_server: f64,
}

/// A routing policy.
#[derive(Debug)]
pub struct Policy {
    pub name: &'static str,
    /// Servers to consider, best first.
    pub consider: fn(&Question<'_>) -> Ranking,
    /// Which of the considered servers to use.
    pub choose: fn(&Costs, &[Candidate]) -> Option<usize>,
}

inventory::collect!(Policy);

/// Servers considered beside those that serve an adapter, for when they are full.
const SPILL: usize = 1;

inventory::submit! {
    Policy { name: "popularity", consider: by_popularity, choose: choice::best }
}

inventory::submit! {
    Policy { name: "round-robin", consider: in_turn, choose: first }
}

inventory::submit! {
    Policy { name: "consistent-hash", consider: by_hash, choose: first }
}

inventory::submit! {
    Policy { name: "least-loaded", consider: all, choose: least_queued }
}

fn by_popularity(question: &Question<'_>) -> Ranking {
    let replicas = choice::replicas(question.rate, question.per_server, question.servers.len());
    rendezvous::preferred(question.adapter, question.servers, replicas + SPILL)
}

fn by_hash(question: &Question<'_>) -> Ranking {
    rendezvous::preferred(question.adapter, question.servers, 1)
}

fn in_turn(question: &Question<'_>) -> Ranking {
    let count = question.servers.len();
    (0..count.min(1)).map(|_| question.turn % count).collect()
}

fn all(question: &Question<'_>) -> Ranking {
    (0..question.servers.len()).collect()
}

fn first(_costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (!candidates.is_empty()).then_some(0)
}

fn least_queued(_costs: &Costs, candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|index| candidates[*index].queued_tokens)
}
