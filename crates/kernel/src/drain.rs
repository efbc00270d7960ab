//! Orderly shutdown: a stop signal that tasks can wait for, and a count of
//! work in flight that the main task waits on before it exits.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;
use parking_lot::Mutex;

use crate::clock::Clock;

/// Stop signal and in-flight count; cheap to clone.
#[derive(Clone, Debug)]
pub struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    stop: Mutex<Option<Sender<()>>>,
    stopped: Receiver<()>,
    in_flight: Mutex<Option<Sender<()>>>,
    idle: Receiver<()>,
}

/// Counts as one piece of work in flight until dropped.
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
    /// Signals every waiter of [`Drain::stopped`].
    pub fn stop(&self) {
        self.inner.stop.lock().take();
    }

    /// Whether a stop was signalled.
    pub fn is_stopping(&self) -> bool {
        self.inner.stop.lock().is_none()
    }

    /// Waits for the stop signal.
    pub async fn stopped(&self) {
        let _closed = self.inner.stopped.recv().await;
    }

    /// Registers a piece of work.
    pub fn guard(&self) -> Guard {
        Guard { _in_flight: self.inner.in_flight.lock().clone() }
    }

    /// Waits until no work is in flight, at most for `limit`; tells whether all of it ended.
    pub async fn finish(&self, clock: &Clock, limit: Duration) -> bool {
        self.inner.in_flight.lock().take();
        clock.timeout(limit, self.inner.idle.recv()).await.is_ok()
    }
}

/// Signals that ask for the settings to be read again. Without this a hangup ends the process.
pub fn hangups() -> Signals {
    Signals::new([Signal::Hup])
        .expect("the system refused a signal handler; run under a user that may install one")
}

/// Waits for SIGTERM or SIGINT.
pub async fn termination() {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .expect("the system refused a signal handler; run under a user that may install one");
    signals.next().await;
}
