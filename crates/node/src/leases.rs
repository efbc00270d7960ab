//! Following the lease stream, claiming what this process should hold, and
//! giving it up.

use std::{sync::Arc, time::Duration};

use fleet::{
    Name,
    lease::{Holder, Participant, Record},
    member::Role,
};
use placement::rendezvous::{self, Server};
use services::log::{self, Batch};

use crate::{Node, follow};

/// Stream that holds the leases.
pub const LEASE_STREAM: &str = "leases";
/// Pause after an incarnation was lost, before the next read.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// Follows the lease stream and claims what `wanted` names.
pub async fn run(node: Arc<Node>, wanted: impl Fn(&Node) -> Vec<Name>) {
    loop {
        renew_incarnation(&node);
        let has_claims = read_and_claim(&node, &wanted).await;
        let interval = follow::throttled_interval(&node, node.settings.log_interval);
        let pause = if has_claims { READ_BACK_PAUSE } else { interval };
        node.kernel.clock.sleep(pause).await;
    }
}

/// Reads the lease stream to its tail.
///
/// # Errors
///
/// The log could not be read; what was read before counts.
pub async fn read(node: &Node) -> Result<(), services::http::Error> {
    let requested_at = node.now();
    let from = node.with_participant(|participant| participant.table().next);
    let mut batches = Vec::new();
    node.log.read_to_tail(LEASE_STREAM, from, |batch| batches.push(batch)).await?;
    let now = node.now();
    node.with_participant(|participant| {
        batches.iter().for_each(|batch| apply_batch(participant, now, requested_at, batch))
    });
    Ok(())
}

/// Gives up everything that this process holds. `carry` tells what each
/// resource passes on.
pub async fn release(node: &Node, carry: impl Fn(&Name) -> u64) {
    let now = node.now();
    let releases = node.with_participant(|participant| participant.release_all(now, carry));
    for record in releases {
        append(node, &record).await;
    }
}

/// Whether this process is the one to claim what nobody holds: part `index` of
/// what `subject` is cut into. The parts lie on different instances, in
/// different zones as far as there are any.
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

/// Claims what is wanted; tells whether anything was appended.
async fn read_and_claim(node: &Node, wanted: &impl Fn(&Node) -> Vec<Name>) -> bool {
    if let Err(error) = read(node).await {
        ::log::debug!("the leases were not read: {error}");
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
    // A claim that was not acknowledged is found by the next read, or made again later.
    if let Err(error) = (node.log.append)(LEASE_STREAM, log::encode(record)).await {
        ::log::warn!("a lease record was not acknowledged: {error}");
    }
}

/// An incarnation that left the list holds nothing any more; a new one starts afresh.
fn renew_incarnation(node: &Node) {
    node.with_participant(|participant| {
        if !participant.is_delisted() {
            return;
        }
        let me = Holder {
            instance: Arc::clone(&participant.me().instance),
            incarnation: rand::random(),
        };
        ::log::warn!("this incarnation left the instance list; continuing as a new one");
        *participant = Participant::new(me, node.settings.lease_rules());
    });
}
