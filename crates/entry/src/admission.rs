//! Reservation of a client account's tokens for its requests, and the refund of those
//! that are not used.
//!
//! A request reserves from this instance's pool of the account. The pool draws grants
//! from the shards of the account's token bucket, each of which one entry instance
//! holds by a lease.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{Name, lease::Moment};
use quota::{
    pool::{Part, Reservation},
    share::{self, Limits},
};
use wire::{
    frame::{Call, Draw, Grant, Reply, Settlement},
    identity::Role,
    link,
};

use crate::{Entry, issuer, rejection::Kind, rejection::Rejection};

/// Interval at which idle grants are returned to their holders.
const IDLE_RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time in which this instance's view of the leases may be behind, while the log is read.
const STALE_VIEW_TIMEOUT: Duration = Duration::from_secs(2);
/// First interval between draws from shards without a holder; it doubles up to the longest one.
const MIN_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(25);
const MAX_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for refills; after a longer one, the request is rejected. A wait up to this
/// limit takes less time than a rejection and the caller's retry.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(50);
const MIN_REFILL_WAIT: Duration = Duration::from_millis(2);
/// Retry-after time while a shard's holder is being replaced.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reserves `cost` tokens. Waits for a short refill, and until `deadline` for a shard that is
/// expected to have another holder by then.
///
/// # Errors
///
/// A rejection with a retry-after time, or without one if `cost` exceeds the burst of the
/// account.
pub(crate) async fn reserve(
    entry: &Entry,
    account: &Name,
    limits: Limits,
    cost: u64,
    deadline: Moment,
) -> Result<Reservation, Rejection> {
    let shards = limits.shard_count(entry.settings.shards);
    let largest = limits.largest_reservation(shards);
    if largest < cost {
        let message = format!(
            "the request reserves {cost} tokens and the account's burst allows {largest}; \
             lower max_tokens or ask for a higher burst"
        );
        return Err(Rejection::not_run(Kind::BeyondBurst, message));
    }
    let arrived_at = entry.node.now();
    let mut poll_interval = MIN_CLAIM_POLL_INTERVAL;
    let mut refill_wait = Duration::ZERO;
    loop {
        let shortage = match try_reserve(entry, account, limits, cost, deadline).await {
            Ok(reservation) => return Ok(reservation),
            Err(shortage) => shortage,
        };
        let expects_holder = shortage == Shortage::Handover
            || expects_holder(entry, account, shards, deadline)
            || is_view_behind(entry, arrived_at);
        match shortage {
            Shortage::Handover | Shortage::NoHolder
                if expects_holder && entry.node.now() + poll_interval < deadline =>
            {
                entry.node.kernel.clock.sleep(poll_interval).await;
                poll_interval = MAX_CLAIM_POLL_INTERVAL.min(poll_interval * 2);
            }
            // Only the refills count: the calls to the holders may take long, too.
            Shortage::Refill(wait) if refill_wait + wait <= MAX_REFILL_WAIT => {
                let wait = wait.max(MIN_REFILL_WAIT);
                refill_wait += wait;
                entry.node.kernel.clock.sleep(wait).await;
            }
            shortage => return Err(rate_limit_rejection(account, shortage)),
        }
    }
}

/// Reason why a shard did not grant enough tokens. The order is that in which the reasons
/// are expected to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Shortage {
    /// The shard is being handed over and will have a holder shortly.
    Handover,
    /// Enough tokens are available after this time.
    Refill(Duration),
    /// The shard has no holder, or its holder does not answer.
    NoHolder,
}

/// Reserves from the pool, after draws from one shard after another until it has enough.
/// Returns the shortage that is expected to end first.
async fn try_reserve(
    entry: &Entry,
    account: &Name,
    limits: Limits,
    cost: u64,
    deadline: Moment,
) -> Result<Reservation, Shortage> {
    let mut shortage = Shortage::NoHolder;
    for shard in shard_order(limits.shard_count(entry.settings.shards)) {
        let now = entry.node.now();
        let reserved = with_pool(entry, account, |pool| pool.reserve(now, cost));
        if let Some(reservation) = reserved {
            return Ok(reservation);
        }
        shortage = shortage.min(draw(entry, account, limits, shard, cost, deadline).await);
    }
    let now = entry.node.now();
    with_pool(entry, account, |pool| pool.reserve(now, cost)).ok_or(shortage)
}

/// Returns whether a shard of the account is expected to have another holder before `deadline`: it is
/// handed over, or taken over from a holder that failed.
fn expects_holder(entry: &Entry, account: &Name, shards: u64, deadline: Moment) -> bool {
    entry.node.with_participant(|participant| {
        (0..shards).any(|index| {
            let resource = share::resource(account, index);
            participant.is_handed_over(&resource)
                || participant.takeover_at(&resource).is_some_and(|at| at < deadline)
        })
    })
}

/// Returns whether the log may hold a release or a claim since `arrived_at` that this instance has
/// not read yet.
fn is_view_behind(entry: &Entry, arrived_at: Moment) -> bool {
    entry.node.now() < arrived_at + STALE_VIEW_TIMEOUT
        && !entry.node.with_participant(|participant| participant.has_read_log_since(arrived_at))
}

fn rate_limit_rejection(account: &Name, shortage: Shortage) -> Rejection {
    let (cause, wait) = match shortage {
        Shortage::Refill(wait) => ("rate", wait),
        Shortage::Handover | Shortage::NoHolder => ("no-holder", NO_HOLDER_RETRY_AFTER),
    };
    metrics::counter!(
        "chivelatch_rate_refusals_total", "account" => account.to_string(), "cause" => cause
    )
    .increment(1);
    let message = match shortage {
        Shortage::Refill(_) => {
            "the account's rate is used up; come back later or ask for a higher rate"
        }
        Shortage::Handover | Shortage::NoHolder => {
            "the instance that counts the account's tokens is being replaced; come back later"
        }
    };
    Rejection::not_run(Kind::RateLimited, message).retry_after(wait)
}

/// Refunds the unused tokens of a reservation, or charges those used beyond it.
pub(crate) async fn settle(entry: &Entry, account: &Name, reservation: &Reservation, used: u64) {
    let unused = reservation.unused(used);
    let excess = used.saturating_sub(reservation.amount());
    if !unused.is_empty() || 0 < excess {
        refund(entry, account, &unused, excess).await;
    }
}

/// Returns idle grants to their holders, for as long as the process runs.
pub(crate) async fn return_idle_grants(entry: Arc<Entry>) {
    loop {
        entry.node.kernel.clock.sleep(IDLE_RETURN_INTERVAL).await;
        let now = entry.node.now();
        let mut idle = Vec::new();
        entry.pools.for_each_shard(|pools| {
            for (account, pool) in pools {
                let parts = pool.take_idle(now);
                if !parts.is_empty() {
                    idle.push((Arc::clone(account), parts));
                }
            }
        });
        for (account, parts) in idle {
            refund(&entry, &account, &parts, 0).await;
        }
    }
}

/// Draws tokens from one shard into the pool. Returns the reason why the shard did not
/// grant more.
async fn draw(
    entry: &Entry,
    account: &Name,
    limits: Limits,
    shard: u64,
    cost: u64,
    deadline: Moment,
) -> Shortage {
    let requested_at = entry.node.now();
    let lifetime = limits.spend_lifetime();
    let want = with_pool(entry, account, |pool| pool.draw_size(requested_at, cost, lifetime));
    let draw = Draw { account: Arc::clone(account), shard, want };
    match request_grant(entry, &draw).await {
        Some(Grant::Tokens { part, refill }) => {
            with_pool(entry, account, |pool| pool.deposit(requested_at, lifetime, part));
            Shortage::Refill(refill)
        }
        // An instance that takes over from a failed holder has to wait before it grants tokens.
        Some(Grant::NotHolder { starts_in: Some(wait) }) if deadline <= entry.node.now() + wait => {
            Shortage::NoHolder
        }
        Some(Grant::NotHolder { .. }) => Shortage::Handover,
        None => Shortage::NoHolder,
    }
}

/// Requests a grant from the holder of the shard, which may be this instance. Returns
/// `None` if no holder is known or the call fails.
async fn request_grant(entry: &Entry, draw: &Draw) -> Option<Grant> {
    let resource = share::resource(&draw.account, draw.shard);
    let local = issuer::grant_tokens(entry, draw);
    let is_held_here =
        matches!(local, Grant::Tokens { .. } | Grant::NotHolder { starts_in: Some(_) });
    if is_held_here {
        return Some(local);
    }
    let address = entry.node.holder_address(&resource)?;
    let call = Call::Draw(draw.clone());
    match entry.node.link.unary_call(address, Role::Entry, &call, node::CALL_TIMEOUT).await {
        Ok(Reply::Grant(grant)) => Some(grant),
        Ok(_) => None,
        Err(link::Error::Stopped { .. }) => Some(Grant::NotHolder { starts_in: None }),
        Err(error) => {
            log::debug!("failed to draw tokens from the holder of {resource}: {error}");
            None
        }
    }
}

/// Refunds each part to the holder of its shard, and charges `excess` to one of them.
/// Parts that fail to arrive are lost.
async fn refund(entry: &Entry, account: &Name, parts: &[Part], excess: u64) {
    let mut by_shard: BTreeMap<u64, Vec<Part>> = BTreeMap::new();
    for part in parts {
        by_shard.entry(part.source.shard).or_default().push(*part);
    }
    if by_shard.is_empty() {
        by_shard.insert(0, Vec::new());
    }
    let mut excess = excess;
    for (shard, unused) in by_shard {
        let account = Arc::clone(account);
        let settlement = Settlement { account, unused, excess: std::mem::take(&mut excess) };
        send_settlement(entry, shard, settlement).await;
    }
}

async fn send_settlement(entry: &Entry, shard: u64, settlement: Settlement) {
    let resource = share::resource(&settlement.account, shard);
    let now = entry.node.now();
    if entry.node.with_participant(|participant| participant.held(now, &resource)).is_some() {
        return issuer::settle(entry, &settlement);
    }
    let Some(address) = entry.node.holder_address(&resource) else { return };
    let call = Call::Settle(settlement);
    let sent = entry.node.link.unary_call(address, Role::Entry, &call, node::CALL_TIMEOUT).await;
    if let Err(error) = sent {
        log::debug!("failed to refund tokens to the holder of {resource}; they are lost: {error}");
    }
}

fn with_pool<T>(
    entry: &Entry,
    account: &Name,
    use_pool: impl FnOnce(&mut quota::pool::Pool) -> T,
) -> T {
    entry.pools.with(account, |pools| use_pool(pools.entry(Arc::clone(account)).or_default()))
}

/// Returns every shard once, starting at a random one, so that the demand spreads evenly
/// over the shards.
fn shard_order(shards: u64) -> impl Iterator<Item = u64> {
    let first = rand::random_range(0..shards);
    (0..shards).map(move |index| (first + index) % shards)
}
