//! Planned stop of an entry instance.
//!
//! After the stop signal the instance is not ready. It takes new connections until the load balancer has
//! noticed, and then ends each connection after its current request. What is still open at the drain timeout,
//! a moment before the process exits, is answered: a request that was not sent to a server is rejected
//! as not run, one that a server may have run gets a gateway error, and a stream that has begun is broken
//! off. So no request that was read ends without an answer, and no wait goes on beyond the drain timeout.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use futures_lite::future;
use parking_lot::Mutex;

use kernel::{
    clock::{Clock, Timeout},
    drain::Drain,
    event::Event,
};
use serving::Moment;

use crate::{answer::Rejection, entry::Entry};

/// Time after which a caller of a stopping instance may return. Another instance takes its request.
pub const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Time after a stop signal in which new connections are still accepted, since the load balancer
/// reacts only to the second failed health check.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);
/// Share of the stop limit after which all that is open is answered.
const DRAIN_SHARE: f64 = 0.9;
/// Share of the stop limit after which the process exits, whether or not the answers were taken.
const EXIT_SHARE: f64 = 0.96;

/// Whether an instance stops, and how far it has come.
#[derive(Debug, Default)]
pub struct Stop {
    has_begun: AtomicBool,
    /// Time of the drain timeout; `None` before the stop signal.
    drain_timeout_at: Mutex<Option<Moment>>,
    drain_over: Drain,
}

impl Stop {
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Returns whether all that is open has to be answered now.
    pub fn is_drain_over(&self) -> bool {
        self.drain_over.is_stopping()
    }

    /// Returns a deadline, or the time of the drain timeout if that comes before.
    pub fn limit(&self, deadline: Moment) -> Moment {
        self.drain_timeout_at
            .lock()
            .map_or(deadline, |drain_timeout_at| deadline.min(drain_timeout_at))
    }

    /// Waits for `future` for at most `limit`, and not beyond the drain timeout.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first, or at the drain timeout; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        clock: &Clock,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        let drain_over = async {
            self.drain_over.stopped().await;
            Err(Timeout { limit })
        };
        future::or(clock.timeout(limit, future), drain_over).await
    }
}

impl Entry {
    /// Waits for `future` for at most `limit`, and not beyond the drain timeout of a planned stop.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first, or at the drain timeout; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        self.stop.timeout(&self.kernel.clock, limit, future).await
    }

    /// The same until a deadline.
    ///
    /// # Errors
    ///
    /// [`Timeout`], see [`Entry::timeout`].
    pub async fn timeout_at<T>(
        &self,
        deadline: Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        let limit = self.stop.limit(deadline).saturating_sub(self.now());
        self.timeout(limit, future).await
    }
}

/// Returns the rejection of a request that the instance cannot serve before it exits.
pub fn rejection() -> Rejection {
    Rejection::later("the instance is stopping; another one takes the request", RETRY_AFTER)
}

/// Stops the instance. Returns once all requests have ended, or the time for that is over.
pub async fn run(entry: &Entry) {
    let clock = &entry.kernel.clock;
    let limit = entry.tunable().stop_limit;
    let (drain_timeout, exit) = (limit.mul_f64(DRAIN_SHARE), limit.mul_f64(EXIT_SHARE));
    log::info!(
        event = Event::Stop, limit_ms = drain_timeout.as_millis() as u64;
        "stopping; the instance is no longer ready"
    );
    *entry.stop.drain_timeout_at.lock() = Some(entry.now() + drain_timeout);
    entry.stop.has_begun.store(true, Ordering::Relaxed);
    // Waiting requests learn how much time is left.
    entry.state_changed.notify(usize::MAX);
    let delay = BALANCER_DELAY.min(drain_timeout / 2);
    clock.sleep(delay).await;
    entry.drain.stop();
    let mut is_finished = entry.drain.finish(clock, drain_timeout - delay).await;
    if !is_finished {
        log::info!(event = Event::Stop; "answering all requests that are still open");
        entry.stop.drain_over.stop();
        is_finished = entry.drain.finish(clock, exit - drain_timeout).await;
    }
    log::info!(event = Event::Stop, is_finished; "stopped");
    log::logger().flush();
}
