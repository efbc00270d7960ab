//! Which process of a server began a stream, by the server's own answer.
//!
//! The listing that a server was chosen by may be about an earlier process with its name and
//! address. The side process of an engine tells of a new one. A server without a report is asked
//! itself once the first event has arrived: if the listed process answers then, it has begun the
//! stream. No event waits for the answer, but nobody is told an origin before it. Without an answer
//! the origin is contradicted, so that the stream goes on nowhere. A plain server may not know the
//! question: if its answer states no start, its listing is believed until it lists a later process.

use std::{sync::Arc, time::Duration};

use kernel::event::Event;
use serving::{
    directory::Listing,
    origin::{Key, Record},
};

use super::{Own, Process, contradiction};
use crate::{
    entry::Entry,
    exchange::{self, Evidence, ProcessCheck},
};

/// Time in which a server may answer a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Questions until a server is taken for silent.
const MAX_QUESTIONS: usize = 2;

impl Entry {
    /// Records that a server began a stream, asks it which process it is, and tells the stream's
    /// holders the answer.
    pub fn examine_origin(
        self: &Arc<Entry>,
        record: Record,
        server: &Listing,
        check: ProcessCheck,
    ) {
        let own = Own {
            expires_at: self.now() + record.remaining,
            told: Default::default(),
            record: record.clone(),
            source: None,
            is_awaited: true,
            contradiction: None,
        };
        self.origins.own.lock().insert(record.key.clone(), own);
        let (entry, server) = (Arc::clone(self), server.clone());
        self.kernel.spawn_detached(async move {
            let listed = || Process { server: server.id.clone(), born_ms: server.born_ms };
            match entry.evidence(&server, check).await {
                Evidence::Listed => entry.announce_awaited(record, None).await,
                Evidence::NotStated => entry.announce_awaited(record, Some(listed())).await,
                Evidence::Other => entry.contradict_origin(record, &server),
            }
            entry.origins.answered.notify(usize::MAX);
        });
    }

    /// Records that it is not known which process began a stream. Its holders are told in the
    /// background.
    pub fn contradict_origin(&self, record: Record, server: &Listing) {
        let source = Process { server: server.id.clone(), born_ms: server.born_ms };
        log::info!(
            event = Event::OriginDoubted, server = &*source.server,
            recorded = &*record.origin.version;
            "a stream may have begun at another process than the listed one; it goes on nowhere"
        );
        let now = self.now();
        let contradiction = contradiction(&record.origin);
        let own = Own {
            expires_at: now + record.remaining,
            told: Default::default(),
            source: None,
            is_awaited: false,
            contradiction: Some(contradiction),
            record,
        };
        let mut registry = self.origins.registry.lock();
        own.records().iter().for_each(|record| registry.record(now, record));
        drop(registry);
        self.origins.own.lock().insert(own.record.key.clone(), own);
    }

    /// Waits until the process that began a stream has answered, if it was asked. Returns whether
    /// nothing is awaited any more.
    pub(super) async fn await_evidence(&self, key: &Key, limit: Duration) -> bool {
        let deadline = self.now() + limit;
        loop {
            let answered = self.origins.answered.listen();
            if !self.origins.own.lock().get(key).is_some_and(|own| own.is_awaited) {
                return true;
            }
            let remaining = deadline.saturating_sub(self.now());
            if self.kernel.clock.timeout(remaining, answered).await.is_err() {
                return false;
            }
        }
    }

    /// Tells the holders of a stream its origin, which the answer of its server was awaited for.
    async fn announce_awaited(self: &Arc<Entry>, record: Record, source: Option<Process>) {
        let now = self.now();
        let expires_at = self.origins.own.lock().get(&record.key).map(|it| it.expires_at);
        let remaining = expires_at.unwrap_or(now).saturating_sub(now);
        self.announce_origin(Record { remaining, ..record }, source).await;
    }

    /// Returns what a server's answer shows. Without an answer, another process may be there.
    async fn evidence(&self, server: &Listing, check: ProcessCheck) -> Evidence {
        for _ in 0..MAX_QUESTIONS {
            let question = exchange::ask(&self.kernel, &self.pool, server, check);
            if let Ok(Ok(evidence)) = self.kernel.clock.timeout(QUESTION_TIMEOUT, question).await {
                return evidence;
            }
        }
        Evidence::Other
    }
}
