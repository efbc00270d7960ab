//! Planned stop of an entry instance.
//!
//! After the stop signal the instance is not ready. It takes new connections until the load balancer has
//! noticed, and then ends each connection after its current request. What is still open at the last call,
//! a moment before the process exits, is answered: a request that was not sent to a server is rejected
//! as not run, one that a server may have run gets a gateway error, and a stream that has begun is broken
//! off. So no request that was read ends without an answer, and no wait goes on beyond the last call.

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
const LAST_CALL_SHARE: f64 = 0.9;
/// Share of the stop limit after which the process exits, whether or not the answers were taken.
const EXIT_SHARE: f64 = 0.96;

/// Whether an instance stops, and how far it has come.
#[derive(Debug, Default)]
pub struct Stop {
    has_begun: AtomicBool,
    /// Time of the last call; `None` before the stop signal.
    last_call_at: Mutex<Option<Moment>>,
    last_call: Drain,
}

impl Stop {
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Returns whether all that is open has to be answered now.
    pub fn is_last_call(&self) -> bool {
        self.last_call.is_stopping()
    }

    /// Returns a deadline, or the time of the last call if that comes before.
    pub fn limit(&self, deadline: Moment) -> Moment {
        self.last_call_at.lock().map_or(deadline, |last_call_at| deadline.min(last_call_at))
    }

    /// Waits for `future` for at most `limit`, and not beyond the last call.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first, or at the last call; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        clock: &Clock,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        let last_call = async {
            self.last_call.stopped().await;
            Err(Timeout { limit })
        };
        future::or(clock.timeout(limit, future), last_call).await
    }
}

impl Entry {
    /// Waits for `future` for at most `limit`, and not beyond the last call of a planned stop.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first, or at the last call; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        self.stop.timeout(&self.kernel.clock, limit, future).await
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
    let (last_call, exit) = (limit.mul_f64(LAST_CALL_SHARE), limit.mul_f64(EXIT_SHARE));
    log::info!(
        event = Event::Stop, limit_ms = last_call.as_millis() as u64;
        "stopping; the instance is no longer ready"
    );
    *entry.stop.last_call_at.lock() = Some(entry.now() + last_call);
    entry.stop.has_begun.store(true, Ordering::Relaxed);
    // Waiting requests learn how much time is left.
    entry.state_changed.notify(usize::MAX);
    let delay = BALANCER_DELAY.min(last_call / 2);
    clock.sleep(delay).await;
    entry.drain.stop();
    let mut is_finished = entry.drain.finish(clock, last_call - delay).await;
    if !is_finished {
        log::info!(event = Event::Stop; "answering all requests that are still open");
        entry.stop.last_call.stop();
        is_finished = entry.drain.finish(clock, exit - last_call).await;
    }
    log::info!(event = Event::Stop, is_finished; "stopped");
    log::logger().flush();
}
