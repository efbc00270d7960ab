//! Status reports of side processes, as an entry instance records them.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use serving::{backlog::Report, residency::SlotUsage};

use crate::{
    entry::Entry,
    message::{Residents, Status, Work},
    roster::StatusReport,
};

/// Records a status report and wakes waiting requests if adapters or models changed.
pub fn record_status(entry: &Entry, from: SocketAddr, status: Status) {
    let host = from.ip();
    let report =
        StatusReport { received_at: entry.now(), status: Arc::new(status), is_outdated: false };
    record_work(entry, &report, host, &report.status.work);
    let status = Arc::clone(&report.status);
    let previous = entry.status_reports.with(&host, |reports| reports.insert(host, report));
    let is_unchanged = previous.is_some_and(|previous| {
        (
            previous.status.born_ms,
            &previous.status.adapters,
            &previous.status.pending,
            &previous.status.models,
        ) == (status.born_ms, &status.adapters, &status.pending, &status.models)
    });
    if !is_unchanged {
        entry.state_changed.notify(usize::MAX);
    }
}

/// Records a change of the adapters. A status of another revision is asked for anew.
pub fn record_residents(entry: &Entry, from: SocketAddr, residents: &Residents) {
    let (host, now) = (from.ip(), entry.now());
    let updated = entry.status_reports.with(&host, |reports| {
        let report = reports.get_mut(&host)?;
        let status = Arc::make_mut(&mut report.status);
        let is_changed =
            (&status.adapters, &status.pending) != (&residents.adapters, &residents.pending);
        report.is_outdated = !status.update(residents);
        if report.is_outdated {
            return None;
        }
        report.received_at = now;
        Some((report.clone(), is_changed))
    });
    let Some((report, is_changed)) = updated else { return };
    record_work(entry, &report, host, &residents.work);
    if is_changed {
        entry.state_changed.notify(usize::MAX);
    }
}

/// Records a change of the work in flight alone. It confirms that the side process is alive and
/// that the rest of its latest status report still holds.
pub fn record_work_update(
    entry: &Entry,
    from: SocketAddr,
    born_ms: u64,
    slot_usage: SlotUsage,
    work: &Work,
) {
    let (host, now) = (from.ip(), entry.now());
    let report = entry.status_reports.with(&host, |reports| {
        let report = reports.get_mut(&host)?;
        if report.status.born_ms != born_ms || report.is_outdated {
            return None;
        }
        report.received_at = now;
        Arc::make_mut(&mut report.status).slot_usage = slot_usage;
        Some(report.clone())
    });
    if let Some(report) = report {
        record_work(entry, &report, host, work);
    }
}

/// Records the work of the other entry instances at an engine.
fn record_work(entry: &Entry, report: &StatusReport, host: IpAddr, work: &Work) {
    let at = report.received_at;
    for listing in entry.servers_on(host).iter().filter(|listing| report.is_about(listing)) {
        entry.with_server(&listing.id, |server| {
            server.backlog.clear_peer_reports();
            for (peer, tokens, requests) in work {
                if *peer != entry.settings.mesh {
                    let report = Report { tokens: *tokens, requests: *requests, at };
                    server.backlog.record_peer_report(*peer, report);
                }
            }
        });
    }
}
