//! Demand reports of an entry instance to the side processes of the model engines.

use std::{sync::Arc, time::Duration};

use async_net::UdpSocket;

use serving::{
    Moment, Name,
    demand::{self, Need},
    directory::Listing,
    manifest::Manifest,
};

use crate::{
    entry::Entry,
    mesh::send,
    message::{Demand, Message},
    roster::{Server, Told},
};

/// Time between rounds of demand reports (`serving::demand` tells which ones are due).
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between rounds of demand reports, since each new load request triggers one.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(4);

/// Sends demand reports to the side processes, at intervals and when a request starts to wait.
pub async fn run(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        let triggered = entry.load_requested.listen();
        let is_triggered = entry.kernel.clock.timeout(DEMAND_INTERVAL, triggered).await.is_ok();
        let Some(manifest) = entry.manifest() else { continue };
        for (listing, demand) in due_demands(&entry, &manifest, is_triggered) {
            send(&socket, entry.side_address(&listing), &Message::Demand(demand)).await;
        }
        entry.kernel.clock.sleep(MIN_DEMAND_INTERVAL).await;
    }
}

/// Returns the demand reports to send in this round. A round triggered by a load request has only
/// those with load requests.
fn due_demands(entry: &Entry, manifest: &Manifest, is_triggered: bool) -> Vec<(Listing, Demand)> {
    let mut demands = Vec::new();
    let now = entry.now();
    let roster = entry.roster();
    for service in manifest.services.values() {
        let Some(engine) = &service.engine else { continue };
        for listing in roster.servers(&service.name).iter() {
            let model = listing.models.first().or(engine.models.first()).cloned();
            let report = entry.status_report(listing);
            let has_no_report = report.is_none_or(|report| report.is_outdated);
            let is_near = listing.zone == entry.settings.zone;
            let demand = entry.with_server(&listing.id, |server| {
                let is_due = if is_triggered {
                    !server.load_requests.is_empty()
                } else {
                    demand::is_due(now, server.told.at, need(server, has_no_report, is_near))
                };
                is_due.then(|| Demand {
                    is_near,
                    needs_status: has_no_report,
                    ..take_demand(now, listing, server, model, engine.adapter_slots)
                })
            });
            demands.extend(demand.map(|demand| (listing.clone(), demand)));
        }
    }
    demands
}

fn need(server: &Server, needs_status: bool, is_near: bool) -> Need {
    if needs_status || !server.load_requests.is_empty() {
        return Need::Request;
    }
    let is_changed = !server.is_told();
    let has_work = server.backlog.local_work() != (0, 0);
    if is_changed || has_work { Need::Work { is_changed } } else { Need::Idle { is_near } }
}

/// Returns the demand report for a server, which is then told, and resets its used adapters.
fn take_demand(
    now: Moment,
    listing: &Listing,
    server: &mut Server,
    model: Option<Name>,
    adapter_slots: usize,
) -> Demand {
    let (tokens, requests) = server.backlog.local_work();
    server.told = Told {
        at: Some(now),
        work: (tokens, requests),
        in_flight: server.in_flight.clone(),
        has_load_requests: !server.load_requests.is_empty(),
    };
    Demand {
        server: listing.id.clone(),
        born_ms: listing.born_ms,
        is_near: false,
        needs_status: false,
        model,
        adapter_slots,
        tokens,
        requests,
        in_flight: server.in_flight.iter().map(|(name, count)| (name.clone(), *count)).collect(),
        used: std::mem::take(&mut server.used),
        load_requests: server.load_requests.keys().cloned().collect(),
        takes_residents: true,
    }
}
