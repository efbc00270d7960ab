//! Validation of completions: parses server-sent events (or a single JSON body)
//! and checks that each names the requested model.
//!
//! Engines that mix up concurrent requests are detected here, before their
//! output reaches a caller.

use bytes::Bytes;
use serde::Deserialize;

use services::event_stream::{self, Splitter};

/// Data of the last event of a complete stream.
const DONE: &[u8] = b"[DONE]";
/// Largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The checked fields of a completion or of one chunk of it.
#[derive(Debug, Deserialize)]
pub struct Completion {
    pub model: String,
    pub usage: Option<Usage>,
}

/// Token usage as counted by the engine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Usage {
    pub total_tokens: u64,
}

/// Reason why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The response names a model other than the requested one.
    Crossed,
    /// An event is not valid JSON or exceeds [`MAX_EVENT_BYTES`].
    Malformed,
    /// The stream ended early, or a body that was not streamed is not a valid completion.
    Cut,
}

/// Incremental checker of an event stream.
#[derive(Debug)]
pub struct Checker {
    /// The requested model.
    model: String,
    splitter: Splitter,
    is_done: bool,
    tokens: Option<u64>,
}

impl Checker {
    pub fn new(model: &str) -> Checker {
        Checker {
            model: model.to_owned(),
            splitter: Splitter::default(),
            is_done: false,
            tokens: None,
        }
    }

    /// Appends `bytes` to the stream; checks the events that are now complete and returns them.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        let complete = self.splitter.push(bytes);
        for event in event_stream::events(&complete) {
            let checked_event = check_event(event, &self.model)?;
            self.is_done |= checked_event.is_done;
            self.tokens = checked_event.tokens.or(self.tokens);
        }
        if MAX_EVENT_BYTES < self.splitter.rest_len() {
            return Err(Fault::Malformed);
        }
        Ok(complete)
    }

    /// Checks that the stream is complete; returns the total tokens used, if reported.
    pub fn finish(&self) -> Result<Option<u64>, Fault> {
        if self.is_done && self.splitter.rest_len() == 0 {
            Ok(self.tokens)
        } else {
            Err(Fault::Cut)
        }
    }
}

/// Checks a completion that was not streamed; returns the total tokens used, if reported.
pub fn check_body(body: &[u8], model: &str) -> Result<Option<u64>, Fault> {
    let completion: Completion = serde_json::from_slice(body).map_err(|_| Fault::Cut)?;
    if completion.model != model {
        return Err(Fault::Crossed);
    }
    Ok(completion.usage.map(|usage| usage.total_tokens))
}

/// Result of checking one event.
struct Event {
    is_done: bool,
    tokens: Option<u64>,
}

fn check_event(event: &[u8], model: &str) -> Result<Event, Fault> {
    let mut checked = Event { is_done: false, tokens: None };
    // Comments and fields other than `data` carry no part of the completion.
    for data in event_stream::field(event, b"data") {
        if data == DONE {
            checked.is_done = true;
            continue;
        }
        let completion: Completion = serde_json::from_slice(data).map_err(|_| Fault::Malformed)?;
        if completion.model != model {
            return Err(Fault::Crossed);
        }
        checked.tokens = completion.usage.map(|usage| usage.total_tokens).or(checked.tokens);
    }
    Ok(checked)
}
