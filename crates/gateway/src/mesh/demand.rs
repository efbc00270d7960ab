//! Demand reports of an entry instance to the side processes of the model engines.

use std::{sync::Arc, time::Duration};

use async_net::UdpSocket;

use serving::{Name, directory::Listing, manifest::Manifest};

use crate::{
    entry::Entry,
    mesh::send,
    message::{Demand, Message},
    roster::Server,
};

/// Time between demand reports to an engine with work.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Demand reports to an engine of the own zone without work are sent once in this many intervals.
const IDLE_DEMAND_ROUNDS: u64 = 4;
/// The same for an engine of another zone. A side process forgets an instance after three times that.
const REMOTE_IDLE_DEMAND_ROUNDS: u64 = 10;
/// Shortest time between rounds of demand reports, since each new load request triggers one.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(4);

/// Sends demand reports to the side processes, at intervals and when a request starts to wait.
pub async fn run(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        let triggered = entry.load_requested.listen();
        let is_triggered = entry.kernel.clock.timeout(DEMAND_INTERVAL, triggered).await.is_ok();
        if !is_triggered {
            round += 1;
        }
        let Some(manifest) = entry.manifest() else { continue };
        for (listing, demand) in due_demands(&entry, &manifest, is_triggered, round) {
            send(&socket, entry.side_address(&listing), &Message::Demand(demand)).await;
        }
        entry.kernel.clock.sleep(MIN_DEMAND_INTERVAL).await;
    }
}

/// Returns the demand reports to send in this round. A round triggered by a load request has only
/// those with load requests.
fn due_demands(
    entry: &Entry,
    manifest: &Manifest,
    is_triggered: bool,
    round: u64,
) -> Vec<(Listing, Demand)> {
    let mut demands = Vec::new();
    let roster = entry.roster();
    for service in manifest.services.values() {
        let Some(engine) = &service.engine else { continue };
        for listing in roster.servers(&service.name).iter() {
            let model = listing.models.first().or(engine.models.first()).cloned();
            let report = entry.status_report(listing);
            let has_no_report = report.is_none_or(|report| report.is_outdated);
            let is_near = listing.zone == entry.settings.zone;
            let idle_rounds = if is_near { IDLE_DEMAND_ROUNDS } else { REMOTE_IDLE_DEMAND_ROUNDS };
            let demand = entry.with_server(&listing.id, |server| {
                let is_due = if is_triggered {
                    !server.load_requests.is_empty()
                } else {
                    round.is_multiple_of(idle_rounds) || has_no_report || is_busy(server)
                };
                is_due.then(|| Demand {
                    is_near,
                    needs_status: has_no_report,
                    ..take_demand(listing, server, model, engine.adapter_slots)
                })
            });
            demands.extend(demand.map(|demand| (listing.clone(), demand)));
        }
    }
    demands
}

fn is_busy(server: &Server) -> bool {
    server.backlog.local_work() != (0, 0)
        || !server.used.is_empty()
        || !server.load_requests.is_empty()
}

/// Returns the demand report for a server and resets its used adapters.
fn take_demand(
    listing: &Listing,
    server: &mut Server,
    model: Option<Name>,
    adapter_slots: usize,
) -> Demand {
    let (tokens, requests) = server.backlog.local_work();
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
