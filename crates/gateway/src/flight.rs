//! Work in flight at servers, and wishes for adapters there, both counted until
//! dropped.

use std::{sync::Arc, time::Duration};

use kernel::event::Event;
use serving::{Moment, Name, directory::Listing};

use crate::{entry::Entry, job::Job, ports::Ask};

/// Counts as work in flight at a server until dropped.
pub struct Flight {
    entry: Arc<Entry>,
    server: Name,
    adapter: Option<Name>,
    tokens: u64,
    sent_at: Moment,
    usual: Duration,
    is_read: bool,
    is_over: bool,
}

/// A request's wish for an adapter on a server, until dropped.
pub struct Want {
    pub server: Name,
    entry: Arc<Entry>,
    key: (Name, Name, u64),
}

impl Flight {
    pub fn new(entry: &Arc<Entry>, server: &Listing, job: &Job, tokens_ahead: u64) -> Flight {
        let tokens = job.ask.model.as_ref().map_or(0, |_| job.prompt_tokens());
        let adapter = job.ask.model.as_ref().and_then(|model| model.adapter.clone());
        let now = entry.now();
        entry.with_server(&server.id, |state| {
            state.backlog.record_send(tokens);
            if let Some(adapter) = &adapter {
                *state.in_flight.entry(adapter.clone()).or_default() += 1;
                state.used.push(adapter.clone());
            }
        });
        if let Some(adapter) = adapter.clone().filter(|_| job.sends == 0) {
            entry.popularity.lock().record(now, adapter);
        }
        if job.sends == 0 {
            let terms = &entry.tunable().repeats;
            entry.budgets.with(&server.service, |budgets| {
                budgets.entry(server.service.clone()).or_default().record_first_attempt(now, terms);
            });
        }
        Flight {
            entry: Arc::clone(entry),
            server: server.id.clone(),
            adapter,
            tokens,
            sent_at: now,
            usual: job.usual(tokens_ahead),
            is_read: false,
            is_over: false,
        }
    }

    /// The first event is there: the prompt is read.
    pub fn read(&mut self) {
        let now = self.entry.now();
        let seen = now.saturating_sub(self.sent_at);
        let (tokens, usual) = (self.tokens, self.usual);
        metrics::histogram!("chivelatch_first_event_seconds").record(seen.as_secs_f64());
        self.entry.with_server(&self.server, |state| {
            state.backlog.record_first_event(tokens);
            state.backlog.record_latency(now, usual, seen);
        });
        self.is_read = true;
    }

    /// The request is over at this server.
    pub fn end(&mut self) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let unread = if self.is_read { 0 } else { self.tokens };
        self.entry.with_server(&self.server, |state| {
            state.backlog.record_first_event(unread);
            state.backlog.record_end();
            let Some(adapter) = &self.adapter else { return };
            if let Some(count) = state.in_flight.get_mut(adapter) {
                *count = count.saturating_sub(1);
            }
            state.in_flight.retain(|_, count| 0 < *count);
        });
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end();
    }
}

impl Want {
    pub fn new(entry: &Arc<Entry>, server: &Listing, ask: &Ask) -> Option<Want> {
        let model = ask.model.as_ref()?;
        let adapter = model.adapter.clone()?;
        let key = (model.base.clone(), adapter, entry.version(model));
        entry.with_server(&server.id, |state| {
            *state.wants.entry(key.clone()).or_default() += 1;
        });
        log::info!(
            event = Event::Want, request = &*ask.id, server = &*server.id, adapter = &*key.1, version = key.2;
            "a request waits for an adapter"
        );
        entry.guidance.notify(usize::MAX);
        Some(Want { entry: Arc::clone(entry), server: server.id.clone(), key })
    }
}

impl Drop for Want {
    fn drop(&mut self) {
        self.entry.with_server(&self.server, |state| {
            if let Some(count) = state.wants.get_mut(&self.key) {
                *count = count.saturating_sub(1);
            }
            state.wants.retain(|_, count| 0 < *count);
        });
    }
}
