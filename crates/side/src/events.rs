//! Validation of completions: parses server-sent events (or a single JSON body)
//! and checks that each names the requested model.
//!
//! Engines that mix up concurrent requests are detected here, before their
//! output reaches a caller.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
const SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data: ";
/// Largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The checked fields of a completion or of one chunk of it.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    pub(crate) model: String,
    pub(crate) usage: Option<Usage>,
}

/// Token usage as counted by the engine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) total_tokens: u64,
}

/// Reason why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The response names a model other than the requested one.
    Crossed,
    /// An event is not valid JSON or exceeds [`MAX_EVENT_BYTES`].
    Malformed,
    /// The stream ended early, or a body that was not streamed is not a valid completion.
    Cut,
}

/// Incremental checker of an event stream.
#[derive(Debug)]
pub(crate) struct Checker {
    /// The requested model.
    model: String,
    /// Bytes of the incomplete last event.
    buffer: BytesMut,
    is_done: bool,
    tokens: Option<u64>,
}

impl Checker {
    pub(crate) fn new(model: &str) -> Checker {
        Checker { model: model.to_owned(), buffer: BytesMut::new(), is_done: false, tokens: None }
    }

    /// Appends `bytes` to the stream; checks the events that are now complete and returns them.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        self.buffer.extend_from_slice(bytes);
        let mut checked = 0;
        while let Some(length) = find_end(&self.buffer[checked..], SEPARATOR) {
            let event = &self.buffer[checked..checked + length];
            let checked_event = check_event(event, &self.model)?;
            self.is_done |= checked_event.is_done;
            self.tokens = checked_event.tokens.or(self.tokens);
            checked += length;
        }
        if MAX_EVENT_BYTES < self.buffer.len() - checked {
            return Err(Fault::Malformed);
        }
        Ok(self.buffer.split_to(checked).freeze())
    }

    /// Checks that the stream is complete; returns the total tokens used, if reported.
    pub(crate) fn finish(&self) -> Result<Option<u64>, Fault> {
        if self.is_done && self.buffer.is_empty() { Ok(self.tokens) } else { Err(Fault::Cut) }
    }
}

/// Checks a completion that was not streamed; returns the total tokens used, if reported.
pub(crate) fn check_body(body: &[u8], model: &str) -> Result<Option<u64>, Fault> {
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
    if event == DONE_EVENT {
        return Ok(Event { is_done: true, tokens: None });
    }
    // Comments and fields other than `data` carry no part of the completion.
    let Some(data) = event.strip_prefix(DATA_PREFIX) else {
        return Ok(Event { is_done: false, tokens: None });
    };
    let completion: Completion = serde_json::from_slice(data).map_err(|_| Fault::Malformed)?;
    if completion.model != model {
        return Err(Fault::Crossed);
    }
    Ok(Event { is_done: false, tokens: completion.usage.map(|usage| usage.total_tokens) })
}

/// Returns the length up to the end of the first separator.
fn find_end(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    let position = bytes.windows(separator.len()).position(|window| window == separator)?;
    Some(position + separator.len())
}
