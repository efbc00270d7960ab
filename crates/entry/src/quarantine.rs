//! Requests that were running when an engine crashed (`fleet::suspect`): how they may run,
//! and what the other entry instances are told of them.

use std::{sync::Arc, time::Duration};

use fleet::{
    member::Role,
    suspect::{Decision, Record, Report, Suspects},
};
use smallvec::smallvec;
use wire::frame::{Call, Isolation};

use crate::{
    Entry,
    job::Job,
    rejection::{Kind, Rejection},
};

/// Timeout for reporting a suspect to the peers.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Decides whether the request may share a server with others. A suspect has to run alone; a
/// poison request is rejected. Waits while reports of its last crash may be under way.
///
/// # Errors
///
/// The rejection of a poison request.
pub(crate) async fn isolation(entry: &Entry, job: &Job) -> Result<Isolation, Rejection> {
    let request = job.identity();
    loop {
        let now = entry.node.now();
        match entry.node.with_suspects(|list| list.decide(now, &request)) {
            // A suspected adapter does not keep others from an engine.
            Decision::Try { suspects, .. } if suspects.contains(&request.fingerprint) => {
                return Ok(Isolation::Alone);
            }
            Decision::Allow | Decision::Try { .. } => return Ok(Isolation::Shared),
            Decision::Hold(wait) => entry.node.kernel.clock.sleep(wait).await,
            Decision::Reject(wait) => {
                let message = "this request, or others with its adapter, crashed the backend \
                               servers that ran it; change it, or come back later";
                return Err(Rejection::not_run(Kind::Quarantined, message).retry_after(wait));
            }
        }
    }
}

/// Reports a crash to the other entry instances, so that they know of the suspect before
/// this instance retries the request.
pub(crate) async fn report_crash(entry: &Arc<Entry>, job: &Job, crash: u64, isolation: Isolation) {
    let request = job.identity();
    let on_trial = match isolation {
        Isolation::Shared => Suspects::new(),
        Isolation::Alone => smallvec![request.fingerprint],
    };
    let report = Report { request, service: job.service(), crash, on_trial };
    let now = entry.node.now();
    if !entry.node.with_suspects(|list| list.record(now, &report)) {
        return;
    }
    log::warn!(request = &*job.request_id; "the request was running when an engine crashed");
    tell_peers(entry, job).await;
}

/// Records that the request has completed, and tells the other entry instances if it was a
/// suspect.
pub(crate) async fn record_completion(entry: &Arc<Entry>, job: &Job, has_succeeded: bool) {
    let now = entry.node.now();
    let (request, service) = (job.identity(), job.service());
    let cleared =
        entry.node.with_suspects(|list| list.complete(now, &request, &service, has_succeeded));
    if !cleared.is_empty() {
        tell_peers(entry, job).await;
    }
}

/// Tells the other entry instances what is known of the request. Peers that take longer than
/// [`REPORT_TIMEOUT`] may learn of it later.
async fn tell_peers(entry: &Arc<Entry>, job: &Job) {
    let now = entry.node.now();
    let request = job.identity();
    let records: Vec<Record> = entry.node.with_suspects(|list| {
        request.digests().filter_map(|suspect| list.get(now, suspect)).collect()
    });
    if records.is_empty() {
        return;
    }
    let tasks: Vec<_> = entry
        .node
        .peers(Role::Entry)
        .into_iter()
        .map(|peer| {
            let node = Arc::clone(&entry.node);
            let call = Call::Suspects(records.clone());
            entry.node.kernel.spawn(async move { node.call(&peer, &call).await.is_ok() })
        })
        .collect();
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    let _timed_out = entry.node.kernel.clock.timeout(REPORT_TIMEOUT, all).await;
}
