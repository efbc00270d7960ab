//! Follows the configuration stream of the log and the instance list.
//!
//! A read counts for freshness and leases from the time of its request, not of its response: its
//! content may be as old as that.

use std::{sync::Arc, time::Duration};

use fleet::{
    change,
    member::{Listing, Member, Phase, Role},
    replica::Entry,
};
use services::{
    list::{Etag, Refresh},
    log::{self, Batch},
};

use crate::Node;

/// Log stream of the configuration records.
pub const CONFIG_STREAM: &str = "configuration";
/// Maximum reads per second that the entry instances together make of one log stream.
const MAX_FLEET_READS_PER_SECOND: u32 = 200;

/// Reads the configuration stream at every log interval, until the process exits.
pub async fn configuration(node: Arc<Node>) {
    loop {
        read_configuration(&node).await;
        let interval = throttled_interval(&node, node.settings.log_interval);
        node.kernel.clock.sleep(interval).await;
    }
}

/// Announces this process and reads the instance list at every list interval, until the process
/// exits.
pub async fn list(node: Arc<Node>) {
    let mut etag = None;
    loop {
        announce(&node).await;
        read_list(&node, &mut etag).await;
        node.kernel.clock.sleep(node.settings.list_interval).await;
    }
}

/// Announces this process to the instance list once. Failures are only logged.
pub async fn announce(node: &Node) {
    let member = node.member();
    if let Err(error) = (node.list.announce)(&member).await {
        ::log::debug!("cannot announce this process to the instance list: {error}");
    }
}

/// Returns `interval`, or a longer one if the live entry instances would otherwise exceed
/// `MAX_FLEET_READS_PER_SECOND`.
pub fn throttled_interval(node: &Node, interval: Duration) -> Duration {
    let entries = node.listing().live(Role::Entry).count();
    let readers = u32::try_from(entries).unwrap_or(u32::MAX);
    interval.max(Duration::from_secs(1) * readers / MAX_FLEET_READS_PER_SECOND)
}

/// Reads the configuration stream to its tail. Failures are only logged.
pub async fn read_configuration(node: &Node) {
    let requested_at = node.now();
    let from = node.replica.read().next();
    let read = node.log.read_to_tail(CONFIG_STREAM, from, |batch| apply_batch(node, batch)).await;
    match read {
        Ok(()) => node.freshness.lock().on_log_read(requested_at),
        Err(error) => ::log::debug!("cannot read the configuration stream: {error}"),
    }
}

/// Applies a batch to the replica and notifies listeners if the replica changed.
fn apply_batch(node: &Node, batch: Batch) {
    let entries = batch.records.iter().filter_map(|record| {
        let decoded = log::decode::<change::Record>(CONFIG_STREAM, record)?;
        Some(Entry { offset: record.offset, record: Arc::new(decoded) })
    });
    let is_changed = {
        let mut replica = node.replica.write();
        let before = replica.next();
        replica.ingest(batch.first, entries);
        // Reading an empty log creates the state at revision 0 and leaves the offset as it is.
        before != replica.next() || replica.state().is_some_and(|state| state.revision == 0)
    };
    if is_changed {
        node.configuration_changed.notify(usize::MAX);
    }
}

/// Reads the instance list, if it changed since `etag`, and records the read.
async fn read_list(node: &Node, etag: &mut Etag) {
    let requested_at = node.now();
    match (node.list.read)(etag.clone()).await {
        Ok(Refresh::Unchanged) => record_list_read(node, requested_at),
        Ok(Refresh::Changed { listing, etag: new }) => {
            *etag = new;
            let before = std::mem::replace(&mut *node.listing.write(), Arc::new(listing));
            disconnect_delisted(node, &before);
            record_list_read(node, requested_at);
        }
        Err(error) => ::log::debug!("cannot read the instance list: {error}"),
    }
}

/// Closes the connections to processes that left the list, so that calls to them fail at once
/// rather than after a timeout. One that was leaving may still answer its last calls.
fn disconnect_delisted(node: &Node, before: &Listing) {
    let listing = node.listing();
    let is_delisted = |member: &&Member| !listing.contains(&member.instance, member.incarnation);
    for member in before.members.iter().filter(is_delisted) {
        match member.phase {
            Phase::Live => node.link.disconnect(member.address),
            Phase::Leaving => node.link.forget(member.address),
        }
    }
}

/// Records a successful read of the list in the lease participant and the freshness state.
fn record_list_read(node: &Node, requested_at: Duration) {
    let listing = node.listing();
    let now = node.now();
    node.participant.lock().on_list_read(now, requested_at, &listing);
    let peers = node.peers(Role::Entry).len();
    node.freshness.lock().on_list_read(peers);
}
