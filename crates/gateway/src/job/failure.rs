//! What follows an attempt that gave no usable response: whether the request is sent again, and
//! whether its server has crashed under it.

use std::sync::Arc;

use event_listener::EventListener;
use fleet::suspect::Identity;
use hyper::StatusCode;

use kernel::event::Event;
use serving::{Moment, breakage::Attempt, directory::Listing};

use crate::{
    answer::Rejection,
    entry::Entry,
    exchange::{Failure, NotRunReason},
    job::{Job, held::Held},
    ports::Model,
    quarantine::HeldTrial,
    serve::DEFAULT_RETRY_AFTER,
};

impl Job {
    /// Handles an attempt that yielded no usable response.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no further attempt is possible.
    pub(super) async fn handle_failure(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        failure: &Failure,
    ) -> Result<(), Rejection> {
        if !failure.has_not_run() {
            return self.handle_broken_response(entry, server, failure).await;
        }
        self.server = None;
        self.runs -= 1;
        metrics::counter!("chivelatch_not_run_total").increment(1);
        log::info!(
            event = Event::NotRun, request = &*self.meta.id, server = &*server.id;
            "{failure}"
        );
        let is_refused_again = self.refused_by.contains(&server.id);
        if matches!(failure, Failure::NotRun { .. }) && !is_refused_again {
            self.refused_by.push(server.id.clone());
        }
        match failure {
            Failure::NotRun { reason: NotRunReason::AdapterMissing, .. } => {
                self.forget_adapter(entry, server);
                if is_refused_again {
                    self.excluded.push(server.id.clone());
                }
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
    async fn handle_broken_response(
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
        let trial = self.trial.take();
        self.server = None;
        let examined = self.start_examination(entry, server.clone(), trial);
        if self.can_retry() {
            let _ended_or_no_time_left = entry.timeout(self.remaining(entry), examined).await;
        }
    }

    /// Finds out whether a server has crashed under this request, which is not sent again.
    pub fn examine_final_break(&mut self, entry: &Arc<Entry>, server: &Listing) {
        let trial = self.trial.take();
        self.server = None;
        let _examined = self.start_examination(entry, server.clone(), trial);
    }

    /// Finds out whether a server has crashed under an attempt that another one has replaced.
    pub fn examine_detached(&self, entry: &Arc<Entry>, held: Option<Held>) {
        let Some(Held { server, trial, .. }) = held else { return };
        let _examined = self.start_examination(entry, server, trial);
    }

    /// Starts to find out whether a server has crashed under an attempt. Returns the end of that.
    fn start_examination(
        &self,
        entry: &Arc<Entry>,
        server: Listing,
        trial: Option<HeldTrial>,
    ) -> EventListener {
        let attempt = attempt(&self.identity, trial.as_ref(), entry.now());
        let examination = Arc::clone(entry).examine_break(self.meta.id.clone(), server, attempt);
        let ended = Arc::new(event_listener::Event::new());
        let end = ended.listen();
        entry.kernel.spawn_detached(async move {
            examination.await;
            // The trial ends once its result is known.
            drop(trial);
            ended.notify(usize::MAX);
        });
        end
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
        let Some(adapter) = self.meta.model.as_ref().and_then(Model::adapter) else { return };
        let host = server.address.ip();
        entry.status_reports.with(&host, |reports| {
            if let Some(report) = reports.get_mut(&host) {
                let status = Arc::make_mut(&mut report.status);
                status.adapters.retain(|resident| resident.adapter != *adapter);
            }
        });
    }
}

/// Returns an attempt of a request as a suspect.
pub(super) fn attempt(request: &Identity, trial: Option<&HeldTrial>, now: Moment) -> Attempt {
    let on_trial = trial.map(|held| held.trial.suspects(now)).unwrap_or_default();
    Attempt { request: request.clone(), on_trial }
}
