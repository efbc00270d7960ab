//! Graceful shutdown: a stop signal that tasks can wait for, and guards of the
//! work in flight that the main task waits for before it exits.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;
use parking_lot::Mutex;

use crate::clock::Clock;

/// Stop signal and tracker of the work in flight; cheap to clone.
#[derive(Clone, Debug)]
pub struct Drain {
    inner: Arc<Inner>,
}

/// Two channels that carry no message: each reports by being closed.
#[derive(Debug)]
struct Inner {
    /// Dropped by [`Drain::stop`], which closes `stopped`.
    stop: Mutex<Option<Sender<()>>>,
    stopped: Receiver<()>,
    /// Cloned into each [`Guard`]; `idle` closes when the last clone is dropped.
    in_flight: Mutex<Option<Sender<()>>>,
    idle: Receiver<()>,
}

/// Marks work as in flight until dropped.
#[derive(Clone, Debug)]
pub struct Guard {
    _in_flight: Option<Sender<()>>,
}

impl Default for Drain {
    fn default() -> Drain {
        let (stop, stopped) = async_channel::bounded(1);
        let (in_flight, idle) = async_channel::bounded(1);
        let inner = Inner {
            stop: Mutex::new(Some(stop)),
            stopped,
            in_flight: Mutex::new(Some(in_flight)),
            idle,
        };
        Drain { inner: Arc::new(inner) }
    }
}

impl Drain {
    /// Wakes every waiter of [`Drain::stopped`].
    pub fn stop(&self) {
        self.inner.stop.lock().take();
    }

    /// Returns whether [`Drain::stop`] was called.
    pub fn is_stopping(&self) -> bool {
        self.inner.stop.lock().is_none()
    }

    /// Waits for the stop signal.
    pub async fn stopped(&self) {
        let _closed = self.inner.stopped.recv().await;
    }

    /// Registers work in flight. Has no effect once [`Drain::finish`] was called.
    pub fn guard(&self) -> Guard {
        Guard { _in_flight: self.inner.in_flight.lock().clone() }
    }

    /// Registers work in flight. Returns `None` once [`Drain::finish`] was called.
    pub fn try_guard(&self) -> Option<Guard> {
        let in_flight = self.inner.in_flight.lock().clone()?;
        Some(Guard { _in_flight: Some(in_flight) })
    }

    /// Waits for at most `limit` until no work is in flight; returns whether all of it ended.
    pub async fn finish(&self, clock: &Clock, limit: Duration) -> bool {
        self.inner.in_flight.lock().take();
        clock.timeout(limit, self.inner.idle.recv()).await.is_ok()
    }
}

/// Returns a stream of SIGHUP, which requests a reload of the settings. Without this handler
/// SIGHUP terminates the process.
pub fn hangups() -> Signals {
    Signals::new([Signal::Hup])
        .expect("cannot install a signal handler; run under a user that may install one")
}

/// Waits for SIGTERM or SIGINT.
pub async fn termination() {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .expect("cannot install a signal handler; run under a user that may install one");
    signals.next().await;
}
