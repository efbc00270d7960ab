//! What follows an attempt that gave no usable response: whether the request is sent again, and
//! whether its server has crashed under it.

use std::sync::Arc;

use hyper::StatusCode;
use kernel::event::Event;
use serving::{breakage::Attempt, directory::Listing};

use crate::{
    answer::Rejection,
    entry::Entry,
    exchange::{Failure, NotRunReason},
    job::Job,
    quarantine::HeldTrial,
    serve::DEFAULT_RETRY_AFTER,
};

impl Job {
    /// Handles an attempt that yielded no usable response head.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no further attempt is possible.
    pub(super) async fn handle_send_failure(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        failure: &Failure,
    ) -> Result<(), Rejection> {
        if !failure.has_not_run() {
            self.runs += 1;
            return self.handle_broken_response(entry, server, failure).await;
        }
        self.server = None;
        metrics::counter!("chivelatch_not_run_total").increment(1);
        log::info!(
            event = Event::NotRun, request = &*self.meta.id, server = &*server.id;
            "{failure}"
        );
        if matches!(failure, Failure::NotRun { .. }) && !self.refused_by.contains(&server.id) {
            self.refused_by.push(server.id.clone());
        }
        match failure {
            Failure::NotRun { reason: NotRunReason::AdapterMissing, .. } => {
                self.forget_adapter(entry, server);
                return Ok(());
            }
            Failure::NotRun { reason: NotRunReason::Pausing, .. } => return Ok(()),
            Failure::Unreachable { .. } | Failure::Replaced => {
                self.attempts -= 1;
                if matches!(failure, Failure::Replaced) {
                    self.replaced.push((server.id.clone(), server.born_ms));
                }
                entry.pool.close_idle(server.address);
                entry.record_failure(&server.id);
                entry.presume_warmup(server);
                entry.examine_unreachable(server);
            }
            _ => entry.record_failure(&server.id),
        }
        self.excluded.push(server.id.clone());
        Ok(())
    }

    /// Handles an attempt that may have run and gave no usable response.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no further attempt is possible.
    pub(super) async fn handle_broken_response(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        failure: &Failure,
    ) -> Result<(), Rejection> {
        self.server = None;
        metrics::counter!("chivelatch_broken_total").increment(1);
        log::warn!(
            event = Event::Broken, request = &*self.meta.id, server = &*server.id,
            fingerprint:% = self.identity.fingerprint.short(), runs = self.runs;
            "{failure}"
        );
        self.has_timed_out |= matches!(failure, Failure::TimedOut);
        if !self.has_timed_out {
            entry.record_failure(&server.id);
        }
        self.excluded.push(server.id.clone());
        if matches!(failure, Failure::Disconnected { .. }) {
            self.examine_break(entry, server).await;
        }
        if self.has_timed_out || !self.can_retry() {
            return Err(self.final_rejection("the server gave no answer", DEFAULT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Finds out whether a server has crashed under this request, before it is sent to another one.
    /// The caller may leave meanwhile.
    pub async fn examine_break(&mut self, entry: &Arc<Entry>, server: &Listing) {
        let (attempt, trial) = self.take_attempt();
        self.server = None;
        let examination =
            Arc::clone(entry).examine_break(self.meta.id.clone(), server.clone(), attempt);
        let ended = Arc::new(event_listener::Event::new());
        let end = ended.listen();
        entry.kernel.spawn_detached(async move {
            examination.await;
            // The trial ends once its result is known.
            drop(trial);
            ended.notify(usize::MAX);
        });
        if self.can_retry() {
            let _ended_or_no_time_left = entry.timeout(self.remaining(entry), end).await;
        }
    }

    /// Returns the current attempt as a suspect, with its trial.
    pub(super) fn take_attempt(&mut self) -> (Attempt, Option<HeldTrial>) {
        let trial = self.trial.take();
        let on_trial =
            trial.as_ref().map(|held| held.trial.suspects(self.entry.now())).unwrap_or_default();
        (Attempt { request: self.identity.clone(), on_trial }, trial)
    }

    /// Records that a server completed a run of this request.
    pub fn record_completion(&mut self, entry: &Entry, status: StatusCode) {
        let server = self.server.take();
        let service = server.map(|server| server.service).unwrap_or_default();
        entry.record_completion(&self.identity, &service, status.is_success());
        self.trial = None;
    }

    /// Removes the adapter from the server's status report, since it is no longer resident there.
    fn forget_adapter(&self, entry: &Entry, server: &Listing) {
        let Some(adapter) = self.meta.model.as_ref().and_then(|model| model.adapter.as_ref())
        else {
            return;
        };
        let host = server.address.ip();
        entry.status_reports.with(&host, |reports| {
            if let Some(report) = reports.get_mut(&host) {
                let status = Arc::make_mut(&mut report.status);
                status.adapters.retain(|(name, _)| name != adapter);
            }
        });
    }
}
