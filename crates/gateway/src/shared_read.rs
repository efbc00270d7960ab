//! Reads of a topic of the store that requests need now and then. Those that arrive close together share
//! a read, which starts after each of them has arrived.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;

use serving::{Moment, mirror::Topic};

use crate::{entry::Entry, ports::Record};

/// Shortest time between the starts of two reads.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Reads of one topic, each of which yields a `T`.
pub struct Reads<T> {
    /// Start of the latest successful read, and what it found.
    latest: Mutex<Option<(Moment, T)>>,
    /// Whether a request waits for a read that has not started.
    is_requested: AtomicBool,
    requested: event_listener::Event,
    finished: event_listener::Event,
}

impl<T> Default for Reads<T> {
    fn default() -> Reads<T> {
        Reads {
            latest: Mutex::default(),
            is_requested: AtomicBool::new(false),
            requested: event_listener::Event::new(),
            finished: event_listener::Event::new(),
        }
    }
}

impl<T: Clone> Reads<T> {
    /// Returns what a read finds that starts from now on, or `None` after `limit`.
    pub async fn next(&self, entry: &Entry, limit: Duration) -> Option<T> {
        let (asked_at, deadline) = (entry.now(), entry.now() + limit);
        loop {
            let finished = self.finished.listen();
            let latest = self.latest.lock().clone();
            if let Some((_, found)) = latest.filter(|(started_at, _)| asked_at <= *started_at) {
                return Some(found);
            }
            self.is_requested.store(true, Ordering::Relaxed);
            self.requested.notify(usize::MAX);
            let remaining = deadline.saturating_sub(entry.now());
            entry.kernel.clock.timeout(remaining, finished).await.ok()?;
        }
    }

    /// Reads the topic whenever requests need it. `apply` yields what a read has found.
    pub async fn serve(
        &self,
        entry: &Arc<Entry>,
        topic: Topic,
        apply: impl Fn(&Entry, Vec<Record>) -> T,
    ) {
        loop {
            let requested = self.requested.listen();
            if !self.is_requested.swap(false, Ordering::Relaxed) {
                requested.await;
                continue;
            }
            let started_at = entry.now();
            match (entry.store.snapshot)(topic).await {
                Ok(snapshot) => {
                    let found = apply(entry, snapshot.records);
                    *self.latest.lock() = Some((started_at, found));
                    self.finished.notify(usize::MAX);
                }
                Err(error) => {
                    entry.record_store_failure(topic, &error);
                    self.is_requested.store(true, Ordering::Relaxed);
                }
            }
            entry.kernel.clock.sleep(MIN_INTERVAL).await;
        }
    }
}
