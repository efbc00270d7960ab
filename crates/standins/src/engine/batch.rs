//! Continuous batching: each step generates one token for each request in the batch.

use std::{collections::VecDeque, sync::Arc};

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;

use crate::engine::Engine;

/// Limit of tokens queued for a slow client; a request over the limit is dropped.
const TOKEN_CHANNEL_CAPACITY: usize = 4096;

/// Requests in order of arrival; the first ones are decoded, the rest wait.
#[derive(Debug, Default)]
pub struct Batch {
    queue: Mutex<VecDeque<Request>>,
}

#[derive(Debug)]
struct Request {
    model: String,
    remaining: u64,
    tokens: Sender<()>,
}

impl Batch {
    /// Adds a request and returns a channel that receives one message for each token. The
    /// channel closes early when the engine crashes.
    pub fn add(&self, model: &str, tokens: u64) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(TOKEN_CHANNEL_CAPACITY);
        let request = Request { model: model.to_owned(), remaining: tokens, tokens: sender };
        self.queue.lock().push_back(request);
        receiver
    }

    /// Drops all requests.
    pub fn clear(&self) {
        self.queue.lock().clear();
    }

    /// Returns whether any request uses an adapter.
    pub fn has_request_for(&self, model: &str) -> bool {
        self.queue.lock().iter().any(|request| request.model == model)
    }

    /// Generates a token for each of the first `max_requests` requests and returns the number
    /// of tokens.
    fn step(&self, max_requests: usize) -> u64 {
        let mut queue = self.queue.lock();
        let mut generated = 0;
        for request in queue.iter_mut().take(max_requests) {
            let is_sent = request.tokens.try_send(()).is_ok();
            request.remaining = if is_sent { request.remaining.saturating_sub(1) } else { 0 };
            generated += u64::from(is_sent);
        }
        queue.retain(|request| 0 < request.remaining);
        generated
    }
}

/// Runs decoding steps at the engine's interval.
pub async fn run_steps(engine: Arc<Engine>) {
    loop {
        engine.kernel.clock.sleep(engine.settings.step).await;
        let generated = engine.batch.step(engine.settings.batch);
        if 0 < generated {
            let mut journal = engine.journal.lock();
            journal.tokens += generated;
            journal.steps += 1;
        }
    }
}
