//! The clock that all waiting goes through. The real clock follows the
//! machine; a paused clock moves only when a test advances it.

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

/// The awaited future did not finish within its time limit.
#[derive(Debug, Snafu)]
#[snafu(display("timed out after {limit:?}; raise the limit or check the peer's load"))]
pub struct Timeout {
    pub limit: Duration,
}

impl Clock {
    /// A clock that stands still until [`Clock::advance`].
    pub fn paused() -> Clock {
        let paused = Paused {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
            advanced: Event::new(),
        };
        Clock { paused: Some(Arc::new(paused)) }
    }

    /// Moves a paused clock forward; a real clock ignores it.
    pub fn advance(&self, step: Duration) {
        let Some(paused) = &self.paused else { return };
        *paused.elapsed.lock() += step;
        paused.advanced.notify(usize::MAX);
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        match &self.paused {
            Some(paused) => paused.start + *paused.elapsed.lock(),
            None => Instant::now(),
        }
    }

    /// Milliseconds since the Unix epoch, for logs and records only.
    pub fn unix_ms(&self) -> u64 {
        match &self.paused {
            Some(paused) => paused.elapsed.lock().as_millis() as u64,
            None => {
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
            }
        }
    }

    /// Waits for `duration`.
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

    /// Waits for `future`, at most for `limit`.
    ///
    /// # Errors
    ///
    /// [`Timeout`] when `limit` passes first; `future` is dropped.
    pub async fn timeout<T>(
        &self,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Timeout> {
        let work = async { Ok(future.await) };
        let expiry = async {
            self.sleep(limit).await;
            Err(Timeout { limit })
        };
        future::or(work, expiry).await
    }
}
