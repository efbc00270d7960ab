//! Follows the lease stream of the log, claims the resources that this process should hold, and
//! releases them on an orderly stop.
//!
//! Invariant: the rules of leases are in [`fleet::lease`]. This module passes it what was read and
//! appends the records that it returns; a claim counts only once it is read back.

use std::{sync::Arc, time::Duration};

use fleet::{
    Name,
    lease::{Holder, Participant, Record},
    member::Role,
};
use placement::rendezvous::{self, Server};
use services::log::{self, Batch};

use crate::{Node, follow};

/// Log stream of the lease records.
pub const LEASE_STREAM: &str = "leases";
/// Pause after records were appended, before they are read back.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time in which a process that stops tries to release its leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Follows the lease stream, and claims and renews the resources that `wanted` returns, until the
/// process exits.
pub async fn run(node: Arc<Node>, wanted: impl Fn(&Node) -> Vec<Name>) {
    loop {
        renew_incarnation(&node);
        let has_claims = read_and_claim(&node, &wanted).await;
        let interval = follow::throttled_interval(&node, node.settings.log_interval);
        let pause = if has_claims { READ_BACK_PAUSE } else { interval };
        node.kernel.clock.sleep(pause).await;
    }
}

/// Reads the lease stream to its tail and passes the records to the participant.
///
/// # Errors
///
/// Fails if a read of the log fails; batches that were read before it are discarded and read again
/// next time.
pub async fn read(node: &Node) -> Result<(), services::http::Error> {
    let requested_at = node.now();
    let from = node.with_participant(|participant| participant.table().next);
    let mut batches = Vec::new();
    node.log.read_to_tail(LEASE_STREAM, from, |batch| batches.push(batch)).await?;
    let now = node.now();
    node.with_participant(|participant| {
        batches.iter().for_each(|batch| apply_batch(participant, now, requested_at, batch));
    });
    Ok(())
}

/// Releases all leases of this process, and waits until the releases are read back: without one,
/// the next holder has to wait for a takeover. `carry` returns the value handed to the next holder
/// of a resource.
pub async fn release(node: &Node, carry: impl Fn(&Name) -> u64) {
    let started_at = node.now();
    let mut releases =
        node.with_participant(|participant| participant.release_all(started_at, carry));
    while !releases.is_empty() {
        for record in &releases {
            append(node, record).await;
        }
        if let Err(error) = read(node).await {
            ::log::debug!("cannot read the lease stream: {error}");
        }
        node.with_participant(|participant| {
            let table = participant.table();
            releases.retain(|release| !table.is_in_force(release));
        });
        if releases.is_empty() {
            return;
        }
        if started_at + RELEASE_TIMEOUT <= node.now() {
            ::log::warn!("gave up {} leases without a release in the log", releases.len());
            return;
        }
        node.kernel.clock.sleep(READ_BACK_PAUSE).await;
    }
}

/// Returns whether this process is the preferred claimant of shard `index` of `subject`, by
/// rendezvous hashing. The shards of a subject are spread over different instances, and over
/// different zones if the fleet has several.
pub fn is_preferred(node: &Node, subject: &str, index: usize) -> bool {
    let listing = node.listing();
    let servers: Vec<_> = listing
        .live(Role::Entry)
        .map(|member| Server::new(Arc::clone(&member.instance), Arc::clone(&member.zone), 1))
        .collect();
    let order = rendezvous::preferred(rendezvous::hash(subject), &servers, index + 1);
    let preferred = order.get(index).or(order.first());
    preferred.is_some_and(|index| servers[*index].name == node.settings.instance)
}

/// Passes a batch of lease records to the participant.
fn apply_batch(
    participant: &mut Participant,
    now: Duration,
    requested_at: Duration,
    batch: &Batch,
) {
    let records: Vec<_> = batch
        .records
        .iter()
        .filter_map(|record| Some((record.offset, log::decode::<Record>(LEASE_STREAM, record)?)))
        .collect();
    let records = records.iter().map(|(offset, record)| (*offset, record));
    participant.on_log_read(now, requested_at, batch.first, records);
}

/// Reads the lease stream and appends the claims and renewals of `wanted`. Returns whether there
/// were any.
async fn read_and_claim(node: &Node, wanted: &impl Fn(&Node) -> Vec<Name>) -> bool {
    if let Err(error) = read(node).await {
        ::log::debug!("cannot read the lease stream: {error}");
        return false;
    }
    if node.drain.is_stopping() {
        return false;
    }
    let wanted = wanted(node);
    let now = node.now();
    let claims = node.with_participant(|participant| participant.acquire(now, &wanted));
    for record in &claims {
        append(node, record).await;
    }
    !claims.is_empty()
}

async fn append(node: &Node, record: &Record) {
    // The record may be in the log even though the append failed: a claim is then found by the
    // next read, and is otherwise sent again.
    if let Err(error) = (node.log.append)(LEASE_STREAM, log::encode(record)).await {
        ::log::warn!("no acknowledgement of an appended lease record: {error}");
    }
}

/// Continues as a new incarnation once the current one has left the list: that one can never hold
/// or claim a lease again. A process that stops keeps its incarnation, which can still release.
fn renew_incarnation(node: &Node) {
    if node.drain.is_stopping() {
        return;
    }
    node.with_participant(|participant| {
        if !participant.is_delisted() {
            return;
        }
        let me = Holder {
            instance: Arc::clone(&participant.me().instance),
            incarnation: rand::random(),
        };
        ::log::warn!(
            "this incarnation has left the instance list; continuing as a new incarnation"
        );
        *participant = Participant::new(me, node.settings.lease_rules());
    });
}
