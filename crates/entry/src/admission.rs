//! Reserving tokens of a client account, and giving the rest back.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{Name, lease::Holder, member::Phase};
use quota::{
    pool::{Part, Reservation},
    share::{self, Limits},
};
use wire::{
    frame::{Call, Draw, Grant, Reply, Settlement},
    identity::Role,
};

use crate::{Entry, issuer, rejection::Kind, rejection::Rejection};

/// How often unspent grants are given back.
const IDLE_RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a new account's shards get to find a holder.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A wait for tokens that is shorter than being refused and coming back.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(50);
const MIN_REFILL_WAIT: Duration = Duration::from_millis(2);
/// When to come back while a shard's holder is being replaced.
const NO_HOLDER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reserves `cost` tokens, or refuses.
///
/// # Errors
///
/// A rejection that says when to come back, or that the request can never fit.
pub(crate) async fn reserve(
    entry: &Entry,
    account: &Name,
    limits: Limits,
    cost: u64,
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
    let claim_deadline = entry.node.now() + CLAIM_TIMEOUT;
    let refill_deadline = entry.node.now() + MAX_REFILL_WAIT;
    loop {
        let shortage = match try_reserve(entry, account, limits, cost).await {
            Ok(reservation) => return Ok(reservation),
            Err(shortage) => shortage,
        };
        let is_claim_pending =
            shortage == Shortage::Handover || is_claim_expected(entry, account, shards);
        match shortage {
            Shortage::Handover | Shortage::NoHolder
                if is_claim_pending && entry.node.now() < claim_deadline =>
            {
                entry.node.kernel.clock.sleep(CLAIM_POLL_INTERVAL).await;
            }
            Shortage::Refill(wait) if entry.node.now() + wait <= refill_deadline => {
                entry.node.kernel.clock.sleep(wait.max(MIN_REFILL_WAIT)).await;
            }
            shortage => return Err(rate_limit_rejection(account, shortage)),
        }
    }
}

/// Why tokens were not to be had from a shard, the one that ends first first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Shortage {
    /// The shard changes hands and has a holder at once.
    Handover,
    /// Enough tokens are there after this time.
    Refill(Duration),
    /// Nobody answers for the shard.
    NoHolder,
}

/// Reserves from the pool, and from each shard in turn.
async fn try_reserve(
    entry: &Entry,
    account: &Name,
    limits: Limits,
    cost: u64,
) -> Result<Reservation, Shortage> {
    let mut shortage = Shortage::NoHolder;
    for shard in shard_order(limits.shard_count(entry.settings.shards)) {
        let now = entry.node.now();
        let reserved = with_pool(entry, account, |pool| pool.reserve(now, cost));
        if let Some(reservation) = reserved {
            return Ok(reservation);
        }
        shortage = shortage.min(draw(entry, account, limits, shard, cost).await);
    }
    let now = entry.node.now();
    with_pool(entry, account, |pool| pool.reserve(now, cost)).ok_or(shortage)
}

/// Whether a shard is about to get a holder: nobody has held it yet, or its
/// holder gave it up or is leaving. A holder that vanished takes longer to replace.
fn is_claim_expected(entry: &Entry, account: &Name, shards: u64) -> bool {
    let listing = entry.node.listing();
    let is_leaving = |holder: &Holder| {
        let mut leaving = listing.members.iter().filter(|member| member.phase == Phase::Leaving);
        leaving.any(|member| member.instance == holder.instance)
    };
    entry.node.with_seat(|seat| {
        (0..shards).any(|index| {
            let lease = seat.table().lease(&share::resource(account, index));
            lease.is_none_or(|lease| lease.released.is_some() || is_leaving(&lease.holder))
        })
    })
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

/// Corrects a reservation once the tokens really used are known.
pub(crate) async fn settle(entry: &Entry, account: &Name, reservation: &Reservation, used: u64) {
    let unused = reservation.unused(used);
    let excess = used.saturating_sub(reservation.amount());
    if !unused.is_empty() || 0 < excess {
        refund(entry, account, &unused, excess).await;
    }
}

/// Gives back grants that nobody spent, as long as the process runs.
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

/// Draws from one shard; returns what stands in the way of more.
async fn draw(entry: &Entry, account: &Name, limits: Limits, shard: u64, cost: u64) -> Shortage {
    let requested_at = entry.node.now();
    let lifetime = limits.spend_lifetime();
    let want = with_pool(entry, account, |pool| pool.draw_size(requested_at, cost, lifetime));
    let draw = Draw { account: Arc::clone(account), shard, want };
    match request_grant(entry, &draw).await {
        Some(Grant::Tokens { part, refill }) => {
            with_pool(entry, account, |pool| pool.deposit(requested_at, lifetime, part));
            Shortage::Refill(refill)
        }
        // A holder that takes over from one that vanished waits before it starts.
        Some(Grant::NotHolder { starts_in: Some(wait) }) if CLAIM_TIMEOUT < wait => {
            Shortage::NoHolder
        }
        Some(Grant::NotHolder { .. }) => Shortage::Handover,
        None => Shortage::NoHolder,
    }
}

/// Asks whoever holds the shard, this instance first.
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
    match entry.node.link.ask(address, Role::Entry, &call, node::CALL_TIMEOUT).await {
        Ok(Reply::Grant(grant)) => Some(grant),
        Ok(_) => None,
        Err(error) => {
            log::debug!("the holder of {resource} did not answer: {error}");
            None
        }
    }
}

/// Every part goes to the holder of its shard. What is lost on the way is lost.
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
    if entry.node.with_seat(|seat| seat.holds(now, &resource)).is_some() {
        return issuer::settle(entry, &settlement);
    }
    let Some(address) = entry.node.holder_address(&resource) else { return };
    let call = Call::Settle(settlement);
    let sent = entry.node.link.ask(address, Role::Entry, &call, node::CALL_TIMEOUT).await;
    if let Err(error) = sent {
        log::debug!("tokens were not given back: {error}");
    }
}

fn with_pool<T>(
    entry: &Entry,
    account: &Name,
    use_pool: impl FnOnce(&mut quota::pool::Pool) -> T,
) -> T {
    entry.pools.with(account, |pools| use_pool(pools.entry(Arc::clone(account)).or_default()))
}

/// Every shard once, beginning at a random one, so that the shards share the demand.
fn shard_order(shards: u64) -> impl Iterator<Item = u64> {
    let first = rand::random_range(0..shards);
    (0..shards).map(move |index| (first + index) % shards)
}
