//! Guards that count requests in flight at servers and load requests for
//! adapters. The counts end when the guards are dropped.

use std::{sync::Arc, time::Duration};

use kernel::event::Event;
use serving::{
    Moment, Name,
    adapter::{self, Adapter},
    directory::Listing,
};

use crate::{
    entry::Entry,
    job::Job,
    ports::{Model, RequestMeta},
};

/// Guard of a request in flight at a server.
pub struct InFlight {
    entry: Arc<Entry>,
    server: Name,
    adapter: Option<Adapter>,
    /// Prompt tokens.
    tokens: u64,
    sent_at: Moment,
    /// Typical time to the first event of this request.
    typical: Duration,
    has_first_event: bool,
    has_ended: bool,
}

/// Guard of a request that waits for an adapter on a server.
pub struct LoadRequest {
    pub server: Name,
    entry: Arc<Entry>,
    /// The adapter in the oldest version that may run.
    wanted: adapter::Version,
}

impl InFlight {
    /// Records that a request is sent to a server with this many prompt tokens outstanding.
    pub fn new(entry: &Arc<Entry>, server: &Listing, job: &Job, tokens_ahead: u64) -> InFlight {
        let tokens = job.meta.model.as_ref().map_or(0, |_| job.prompt_tokens());
        let adapter = job.meta.model.as_ref().and_then(Model::adapter).cloned();
        let now = entry.now();
        entry.with_server(&server.id, |state| {
            state.backlog.record_send(tokens);
            if let Some(adapter) = &adapter {
                *state.in_flight.entry(adapter.clone()).or_default() += 1;
                state.used.push(adapter.clone());
            }
        });
        if let Some(adapter) = adapter.clone().filter(|_| job.attempts == 0) {
            entry.popularity.lock().record(now, adapter);
        }
        if job.attempts == 0 {
            let limits = &entry.tunable().retry_limits;
            entry.retry_budgets.with(&server.service, |budgets| {
                budgets
                    .entry(server.service.clone())
                    .or_default()
                    .record_first_attempt(now, limits);
            });
        }
        InFlight {
            entry: Arc::clone(entry),
            server: server.id.clone(),
            adapter,
            tokens,
            sent_at: now,
            typical: job.typical_latency(tokens_ahead),
            has_first_event: false,
            has_ended: false,
        }
    }

    /// Records the first event, after which the prompt is no longer outstanding.
    pub fn record_first_event(&mut self) {
        let now = self.entry.now();
        let latency = now.saturating_sub(self.sent_at);
        let (tokens, typical) = (self.tokens, self.typical);
        metrics::histogram!("chivelatch_first_event_seconds").record(latency.as_secs_f64());
        self.entry.with_server(&self.server, |state| {
            state.backlog.record_first_event(tokens);
            state.backlog.record_latency(now, typical, latency);
        });
        self.has_first_event = true;
    }

    /// Records the end of the request at this server.
    pub fn end(&mut self) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let outstanding = if self.has_first_event { 0 } else { self.tokens };
        self.entry.with_server(&self.server, |state| {
            // A prompt whose request ends before its first event is no longer outstanding either.
            state.backlog.record_first_event(outstanding);
            state.backlog.record_end();
            let Some(adapter) = &self.adapter else { return };
            if let Some(count) = state.in_flight.get_mut(adapter) {
                *count = count.saturating_sub(1);
            }
            state.in_flight.retain(|_, count| 0 < *count);
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end();
    }
}

impl LoadRequest {
    /// Records that a request waits for its adapter. Returns `None` for one without an adapter.
    pub fn new(entry: &Arc<Entry>, server: &Listing, meta: &RequestMeta) -> Option<LoadRequest> {
        let model = meta.model.as_ref()?;
        let adapter = model.adapter()?.clone();
        let wanted = adapter::Version { adapter, number: entry.min_version(model) };
        entry.with_server(&server.id, |state| {
            *state.load_requests.entry(wanted.clone()).or_default() += 1;
        });
        log::info!(
            event = Event::Want, request = &*meta.id, server = &*server.id,
            adapter:% = wanted.adapter, version = wanted.number;
            "requesting the load of an adapter"
        );
        entry.load_requested.notify(usize::MAX);
        Some(LoadRequest { entry: Arc::clone(entry), server: server.id.clone(), wanted })
    }
}

impl Drop for LoadRequest {
    fn drop(&mut self) {
        self.entry.with_server(&self.server, |state| {
            if let Some(count) = state.load_requests.get_mut(&self.wanted) {
                *count = count.saturating_sub(1);
            }
            state.load_requests.retain(|_, count| 0 < *count);
        });
    }
}
