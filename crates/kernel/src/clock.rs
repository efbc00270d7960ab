//! The clock from which all code reads the time and on which it sleeps. The real
//! clock follows the system; a paused clock moves only when a test advances it.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use parking_lot::Mutex;
use snafu::Snafu;

/// Source of time; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    paused: Option<Arc<Paused>>,
}

#[derive(Debug)]
struct Paused {
    start: Instant,
    elapsed: Mutex<Duration>,
    advanced: Event,
}

/// Error of a future that did not complete within `limit`.
#[derive(Debug, Snafu)]
#[snafu(display("timed out after {limit:?}; raise the limit or check the peer's load"))]
pub struct Timeout {
    pub limit: Duration,
}

impl Clock {
    /// Returns a clock that moves only by [`Clock::advance`].
    pub fn paused() -> Clock {
        let paused = Paused {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
            advanced: Event::new(),
        };
        Clock { paused: Some(Arc::new(paused)) }
    }

    /// Moves a paused clock forward; has no effect on a real clock.
    pub fn advance(&self, step: Duration) {
        let Some(paused) = &self.paused else { return };
        *paused.elapsed.lock() += step;
        paused.advanced.notify(usize::MAX);
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        match &self.paused {
            Some(paused) => paused.start + *paused.elapsed.lock(),
            None => Instant::now(),
        }
    }

    /// Returns the milliseconds since the Unix epoch, for logs and records only. A
    /// paused clock starts at the epoch.
    pub fn unix_ms(&self) -> u64 {
        match &self.paused {
            Some(paused) => paused.elapsed.lock().as_millis() as u64,
            None => {
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
            }
        }
    }

    /// Sleeps for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        let Some(paused) = &self.paused else {
            Timer::after(duration).await;
            return;
        };
        let deadline = self.now() + duration;
        loop {
            let advanced = paused.advanced.listen();
            if deadline <= self.now() {
                return;
            }
            advanced.await;
        }
    }

    /// Waits for `future` for at most `limit`.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        let completed = async { Ok(future.await) };
        let expired = async {
            self.sleep(limit).await;
            Err(Timeout { limit })
        };
        future::or(completed, expired).await
    }
}
