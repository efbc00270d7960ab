//! Quota shards and load permits that this instance holds.

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

/// Buckets by resource, each bound to the lease it belongs to.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    shards: HashMap<Name, Shard>,
    office: Option<(u64, Limiter)>,
}

#[derive(Debug)]
struct Shard {
    fence: u64,
    bucket: Bucket,
}

/// Resources that this instance should hold: those it is the one to claim, and
/// those it has already.
pub(crate) fn wanted(node: &Node, settings: &Settings) -> Vec<Name> {
    let Some(state) = node.state() else { return Vec::new() };
    let shards = state.accounts.iter().flat_map(|(account, limits)| {
        let limits = Limits { rate: limits.rate, burst: limits.burst };
        (0..limits.shard_count(settings.shards)).filter_map(move |index| {
            let resource = share::resource(account, index);
            is_wanted(node, &resource, account, index).then_some(resource)
        })
    });
    let loads = Arc::from(permit::RESOURCE);
    let loads = is_wanted(node, &loads, permit::RESOURCE, 0).then_some(loads);
    shards.chain(loads).collect()
}

/// Limits of an account.
pub(crate) fn limits(state: &State, account: &str) -> Option<Limits> {
    let account = state.accounts.get(account)?;
    Some(Limits { rate: account.rate, burst: account.burst })
}

/// Answers a draw.
pub(crate) fn draw(entry: &Entry, draw: &Draw) -> Grant {
    let resource = share::resource(&draw.account, draw.shard);
    let now = entry.node.now();
    let held = entry.node.with_seat(|seat| seat.held(now, &resource));
    ensure_bucket(entry, now, &draw.account, draw.shard, held);
    let Some(held) = held else {
        let starts_in = entry.node.with_seat(|seat| seat.starts_in(now, &resource));
        return Grant::NotHolder { starts_in };
    };
    let mut holder = entry.holder.lock();
    let own = holder.shards.get_mut(&resource).filter(|shard| shard.fence == held.fence);
    let Some(shard) = own else { return Grant::NotHolder { starts_in: None } };
    let amount = shard.bucket.take(now, draw.want);
    let source = Source { shard: draw.shard, fence: held.fence, granted_at: now };
    Grant::Tokens {
        part: Part { source, amount },
        refill: shard.bucket.time_until(now, draw.want - amount),
    }
}

/// Makes sure that every shard that this instance holds has a bucket, so that
/// there is something to pass on.
pub(crate) fn ensure_buckets(entry: &Entry) {
    let Some(state) = entry.node.state() else { return };
    let now = entry.node.now();
    for account in state.accounts.keys() {
        for shard in 0..entry.settings.shards {
            let resource = share::resource(account, shard);
            let claimed = entry.node.with_seat(|seat| seat.claimed(now, &resource));
            ensure_bucket(entry, now, account, shard, claimed);
        }
    }
}

/// Makes the bucket of a shard that this instance has come to hold, and follows
/// changes of the account's limits.
fn ensure_bucket(entry: &Entry, now: Moment, account: &Name, shard: u64, held: Option<Ownership>) {
    let Some(held) = held else { return };
    let resource = share::resource(account, shard);
    let limits = entry.node.state().and_then(|state| limits(&state, account));
    let Some(limits) = limits else { return };
    let shards = limits.shard_count(entry.settings.shards);
    if shards <= shard {
        return;
    }
    let share = limits.share(shard, shards);
    let level = first_level(held, share, entry.node.settings.takeover);
    let new = || Shard { fence: held.fence, bucket: Bucket::new(now, share, level) };
    let mut holder = entry.holder.lock();
    let known = holder.shards.entry(resource).or_insert_with(new);
    if known.fence != held.fence {
        *known = new();
    }
    known.bucket.resize(now, share);
}

/// Takes back unused tokens, and charges those used beyond a reservation. What
/// another holder granted is lost.
pub(crate) fn settle(entry: &Entry, settlement: &Settlement) {
    let now = entry.node.now();
    let mut holder = entry.holder.lock();
    for part in &settlement.unused {
        let resource = share::resource(&settlement.account, part.source.shard);
        let Some(shard) = holder.shards.get_mut(&resource) else { continue };
        if shard.fence == part.source.fence {
            shard.bucket.refund(now, part.amount, part.source.granted_at);
        }
    }
    let mut excess = settlement.excess;
    for index in 0..entry.settings.shards {
        let resource = share::resource(&settlement.account, index);
        if let Some(shard) = holder.shards.get_mut(&resource).filter(|_| 0 < excess) {
            shard.bucket.charge(now, std::mem::take(&mut excess));
        }
    }
}

/// Answers a side process that wants to load an adapter.
pub(crate) fn ask_permit(entry: &Entry, account: &Name) -> Permit {
    let now = entry.node.now();
    let Some(held) = entry.node.with_seat(|seat| seat.held(now, permit::RESOURCE)) else {
        return Permit::NotHolder;
    };
    let limits = entry.node.state().and_then(|state| limits(&state, account));
    let rate = limits.map_or(1, |limits| limits.rate);
    let budget = entry.settings.load_budget;
    let mut holder = entry.holder.lock();
    let is_current = holder.office.as_ref().is_some_and(|(fence, _)| *fence == held.fence);
    if !is_current {
        let level = match held.origin {
            Origin::First => budget.burst,
            Origin::Released(carry) => carry,
            Origin::Takeover => 0,
        };
        holder.office = Some((held.fence, Limiter::new(now, budget, level)));
    }
    match holder.office.as_mut().map(|(_, office)| office.acquire(now, account, rate)) {
        Some(Decision::Granted(permit)) => Permit::Granted(permit),
        Some(Decision::RetryAfter(wait)) => Permit::Later(wait),
        None => Permit::NotHolder,
    }
}

/// A load has ended.
pub(crate) fn return_permit(entry: &Entry, permit: u64) {
    if let Some((_, office)) = entry.holder.lock().office.as_mut() {
        office.release(permit);
    }
}

impl Holder {
    /// What the next holder of a resource takes over.
    pub(crate) fn carry(&mut self, now: Moment, resource: &Name) -> u64 {
        if &**resource == permit::RESOURCE {
            return self.office.as_mut().map_or(0, |(_, office)| office.level(now));
        }
        self.shards.get_mut(resource).map_or(0, |shard| shard.bucket.level(now))
    }
}

/// Tokens that a new holder may start with. A vanished holder may have granted
/// everything until the claim; what has flowed in since is free.
fn first_level(held: Ownership, share: share::Share, takeover: std::time::Duration) -> u64 {
    match held.origin {
        Origin::First => share.capacity,
        Origin::Released(carry) => carry,
        Origin::Takeover => (share.rate as f64 * takeover.as_secs_f64()) as u64,
    }
}

fn is_wanted(node: &Node, resource: &str, subject: &str, index: u64) -> bool {
    let is_mine = node.with_seat(|seat| {
        let lease = seat.table().lease(resource);
        lease.is_some_and(|lease| lease.holder == *seat.me() && lease.released.is_none())
    });
    is_mine || leases::is_preferred(node, subject, index as usize)
}
