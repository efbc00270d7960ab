//! Grants of quota tokens and load permits from the resources that this instance holds.
//!
//! The token bucket of a quota shard, and likewise the load limiter, is bound to one
//! lease by its fencing token. A later lease gets a new one, with the level that the
//! lease's origin allows.

use std::{collections::HashMap, sync::Arc};

use fleet::{
    Name,
    lease::{Moment, Origin, Ownership},
    state::State,
};
use node::{Node, leases};
use quota::{
    bucket::Bucket,
    permit::{self, Decision, Limiter},
    pool::{Part, Source},
    share::{self, Limits},
};
use wire::frame::{Draw, Grant, Permit, Settlement};

use crate::{Entry, settings::Settings};

/// Token buckets and the load limiter of the leases that this instance holds or held.
#[derive(Debug, Default)]
pub(crate) struct Issuer {
    /// Quota shards by resource.
    shards: HashMap<Name, Shard>,
    /// Fencing token of the lease on the load budget, and the limiter.
    limiter: Option<(u64, Limiter)>,
}

/// Token bucket of a quota shard and the fencing token of its lease.
#[derive(Debug)]
struct Shard {
    fence: u64,
    bucket: Bucket,
}

/// Returns the resources that this instance should hold: those that it holds already, and
/// those that it is the preferred instance to claim.
pub(crate) fn resources_to_hold(node: &Node, settings: &Settings) -> Vec<Name> {
    let Some(state) = node.state() else { return Vec::new() };
    let shards = state.accounts.iter().flat_map(|(account, limits)| {
        let limits = Limits { rate: limits.rate, burst: limits.burst };
        (0..limits.shard_count(settings.shards)).filter_map(move |index| {
            let resource = share::resource(account, index);
            should_hold(node, &resource, account, index).then_some(resource)
        })
    });
    let load_budget = Arc::from(permit::RESOURCE);
    let load_budget = should_hold(node, &load_budget, permit::RESOURCE, 0).then_some(load_budget);
    shards.chain(load_budget).collect()
}

/// Returns the limits of an account, or `None` if there is no such account.
pub(crate) fn account_limits(state: &State, account: &str) -> Option<Limits> {
    let account = state.accounts.get(account)?;
    Some(Limits { rate: account.rate, burst: account.burst })
}

/// Answers a draw of this or another instance.
pub(crate) fn grant_tokens(entry: &Entry, draw: &Draw) -> Grant {
    let resource = share::resource(&draw.account, draw.shard);
    let now = entry.node.now();
    let ownership = entry.node.with_participant(|participant| participant.held(now, &resource));
    ensure_bucket(entry, now, &draw.account, draw.shard, ownership);
    let Some(ownership) = ownership else {
        let starts_in =
            entry.node.with_participant(|participant| participant.starts_in(now, &resource));
        return Grant::NotHolder { starts_in };
    };
    let mut issuer = entry.issuer.lock();
    let own = issuer.shards.get_mut(&resource).filter(|shard| shard.fence == ownership.fence);
    let Some(shard) = own else { return Grant::NotHolder { starts_in: None } };
    let amount = shard.bucket.take(now, draw.want);
    let source = Source { shard: draw.shard, fence: ownership.fence, granted_at: now };
    Grant::Tokens {
        part: Part { source, amount },
        refill: shard.bucket.time_until(now, draw.want - amount),
    }
}

/// Creates the missing buckets of the shards that this instance holds, so that the
/// release of each lease carries the bucket's level.
pub(crate) fn ensure_buckets(entry: &Entry) {
    let Some(state) = entry.node.state() else { return };
    let now = entry.node.now();
    for account in state.accounts.keys() {
        for shard in 0..entry.settings.shards {
            let resource = share::resource(account, shard);
            let claimed =
                entry.node.with_participant(|participant| participant.claimed(now, &resource));
            ensure_bucket(entry, now, account, shard, claimed);
        }
    }
}

/// Creates the bucket of a held shard unless it exists under the same lease, and applies
/// changes of the account's limits.
fn ensure_bucket(
    entry: &Entry,
    now: Moment,
    account: &Name,
    shard: u64,
    ownership: Option<Ownership>,
) {
    let Some(ownership) = ownership else { return };
    let resource = share::resource(account, shard);
    let limits = entry.node.state().and_then(|state| account_limits(&state, account));
    let Some(limits) = limits else { return };
    let shards = limits.shard_count(entry.settings.shards);
    if shards <= shard {
        return;
    }
    let share = limits.share(shard, shards);
    let level = initial_level(ownership, share, entry.node.settings.takeover);
    let new = || Shard { fence: ownership.fence, bucket: Bucket::new(now, share, level) };
    let mut issuer = entry.issuer.lock();
    let known = issuer.shards.entry(resource).or_insert_with(new);
    if known.fence != ownership.fence {
        *known = new();
    }
    known.bucket.resize(now, share);
}

/// Refunds unused tokens, and charges those used beyond a reservation. Tokens that were
/// granted under another lease are lost.
pub(crate) fn settle(entry: &Entry, settlement: &Settlement) {
    let now = entry.node.now();
    let mut issuer = entry.issuer.lock();
    for part in &settlement.unused {
        let resource = share::resource(&settlement.account, part.source.shard);
        let Some(shard) = issuer.shards.get_mut(&resource) else { continue };
        if shard.fence == part.source.fence {
            shard.bucket.refund(now, part.amount, part.source.granted_at);
        }
    }
    let mut excess = settlement.excess;
    for index in 0..entry.settings.shards {
        let resource = share::resource(&settlement.account, index);
        if let Some(shard) = issuer.shards.get_mut(&resource).filter(|_| 0 < excess) {
            shard.bucket.charge(now, std::mem::take(&mut excess));
        }
    }
}

/// Answers a side process that requests a permit to load an adapter.
pub(crate) fn grant_permit(entry: &Entry, account: &Name) -> Permit {
    let now = entry.node.now();
    let Some(ownership) =
        entry.node.with_participant(|participant| participant.held(now, permit::RESOURCE))
    else {
        return Permit::NotHolder;
    };
    let limits = entry.node.state().and_then(|state| account_limits(&state, account));
    // Permits are shared in proportion to the rate; an unknown account gets the smallest share.
    let rate = limits.map_or(1, |limits| limits.rate);
    let budget = entry.settings.load_budget;
    let mut issuer = entry.issuer.lock();
    let is_current = issuer.limiter.as_ref().is_some_and(|(fence, _)| *fence == ownership.fence);
    if !is_current {
        let level = match ownership.origin {
            Origin::First => budget.burst,
            Origin::Released(carry) => carry,
            Origin::Takeover => 0,
        };
        let limiter = Limiter::new(now, budget, level, ownership.fence);
        issuer.limiter = Some((ownership.fence, limiter));
    }
    match issuer.limiter.as_mut().map(|(_, limiter)| limiter.acquire(now, account, rate)) {
        Some(Decision::Granted(permit)) => Permit::Granted(permit),
        Some(Decision::RetryAfter(wait)) => Permit::Later(wait),
        None => Permit::NotHolder,
    }
}

/// Releases the permit of a load that has ended.
pub(crate) fn release_permit(entry: &Entry, permit: u64) {
    if let Some((_, limiter)) = entry.issuer.lock().limiter.as_mut() {
        limiter.release(permit);
    }
}

impl Issuer {
    /// Returns the level that the next holder of a resource starts with.
    pub(crate) fn carried_level(&mut self, now: Moment, resource: &Name) -> u64 {
        if &**resource == permit::RESOURCE {
            return self.limiter.as_mut().map_or(0, |(_, limiter)| limiter.level(now));
        }
        self.shards.get_mut(resource).map_or(0, |shard| shard.bucket.level(now))
    }
}

/// Returns the tokens that a new holder may start with. A holder that failed may have
/// granted every token up to the claim of the lease; the refill of the takeover time since
/// then is available.
fn initial_level(ownership: Ownership, share: share::Share, takeover: std::time::Duration) -> u64 {
    match ownership.origin {
        Origin::First => share.capacity,
        Origin::Released(carry) => carry,
        Origin::Takeover => (share.rate as f64 * takeover.as_secs_f64()) as u64,
    }
}

/// Returns whether this instance holds a resource or is the preferred one to claim it.
fn should_hold(node: &Node, resource: &str, subject: &str, index: u64) -> bool {
    let is_holder = node.with_participant(|participant| {
        let lease = participant.table().lease(resource);
        lease.is_some_and(|lease| lease.holder == *participant.me() && lease.released.is_none())
    });
    is_holder || leases::is_preferred(node, subject, index as usize)
}
