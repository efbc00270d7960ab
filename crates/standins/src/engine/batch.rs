//! Continuous batching: each step gives one token to every running request.

use std::{collections::VecDeque, sync::Arc};

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;

use crate::engine::Engine;

/// Tokens that may wait for a slow reader.
const TOKEN_DEPTH: usize = 4096;

/// Requests in the order they came; the first ones run.
#[derive(Debug, Default)]
pub struct Batch {
    running: Mutex<VecDeque<Running>>,
}

#[derive(Debug)]
struct Running {
    model: String,
    left: u64,
    tokens: Sender<()>,
}

impl Batch {
    /// Adds a request; one message arrives for each token. The channel closes
    /// early when the engine crashes.
    pub fn add(&self, model: &str, tokens: u64) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(TOKEN_DEPTH);
        let running = Running { model: model.to_owned(), left: tokens, tokens: sender };
        self.running.lock().push_back(running);
        receiver
    }

    /// Drops every request.
    pub fn clear(&self) {
        self.running.lock().clear();
    }

    /// Whether a request runs on an adapter.
    pub fn uses(&self, model: &str) -> bool {
        self.running.lock().iter().any(|running| running.model == model)
    }

    /// Gives a token to the first `width` requests; returns how many got one.
    fn step(&self, width: usize) -> u64 {
        let mut running = self.running.lock();
        let mut given = 0;
        for request in running.iter_mut().take(width) {
            let is_read = request.tokens.try_send(()).is_ok();
            request.left = if is_read { request.left.saturating_sub(1) } else { 0 };
            given += u64::from(is_read);
        }
        running.retain(|request| 0 < request.left);
        given
    }
}

/// Decodes as long as the engine runs.
pub async fn step_forever(engine: Arc<Engine>) {
    loop {
        engine.kernel.clock.sleep(engine.settings.step).await;
        let given = engine.batch.step(engine.settings.batch);
        if 0 < given {
            let mut journal = engine.journal.lock();
            journal.tokens += given;
            journal.steps += 1;
        }
    }
}
