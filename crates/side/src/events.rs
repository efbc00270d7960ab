//! Server-sent events of a completion: cutting the stream into events, and
//! checking each against what was asked for.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Mark of a completion's end.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
const SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data: ";
/// Largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// What a checked part of an answer tells.
#[derive(Debug, Deserialize)]
pub(crate) struct Completion {
    pub(crate) model: String,
    pub(crate) usage: Option<Usage>,
}

/// Tokens as the engine counts them.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) total_tokens: u64,
}

/// Something in an answer was not what was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It names another model.
    Crossed,
    /// It cannot be read.
    Malformed,
    /// Its end mark is missing.
    Cut,
}

/// Checks a stream of events.
#[derive(Debug)]
pub(crate) struct Checker {
    model: String,
    buffer: BytesMut,
    is_done: bool,
    tokens: Option<u64>,
}

impl Checker {
    pub(crate) fn new(model: &str) -> Checker {
        Checker { model: model.to_owned(), buffer: BytesMut::new(), is_done: false, tokens: None }
    }

    /// Takes in the next bytes; returns the whole events so far, checked.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        self.buffer.extend_from_slice(bytes);
        let mut checked = 0;
        while let Some(length) = find_end(&self.buffer[checked..], SEPARATOR) {
            let event = &self.buffer[checked..checked + length];
            let outcome = check_event(event, &self.model)?;
            self.is_done |= outcome.is_done;
            self.tokens = outcome.tokens.or(self.tokens);
            checked += length;
        }
        if MAX_EVENT_BYTES < self.buffer.len() - checked {
            return Err(Fault::Malformed);
        }
        Ok(self.buffer.split_to(checked).freeze())
    }

    /// The stream has ended; returns the tokens used.
    pub(crate) fn finish(&self) -> Result<Option<u64>, Fault> {
        if self.is_done && self.buffer.is_empty() { Ok(self.tokens) } else { Err(Fault::Cut) }
    }
}

/// Checks a whole answer; returns the tokens used.
pub(crate) fn check_body(body: &[u8], model: &str) -> Result<Option<u64>, Fault> {
    let completion: Completion = serde_json::from_slice(body).map_err(|_| Fault::Cut)?;
    if completion.model != model {
        return Err(Fault::Crossed);
    }
    Ok(completion.usage.map(|usage| usage.total_tokens))
}

struct Event {
    is_done: bool,
    tokens: Option<u64>,
}

fn check_event(event: &[u8], model: &str) -> Result<Event, Fault> {
    if event == DONE_EVENT {
        return Ok(Event { is_done: true, tokens: None });
    }
    // Comments and other fields carry no answer.
    let Some(data) = event.strip_prefix(DATA_PREFIX) else {
        return Ok(Event { is_done: false, tokens: None });
    };
    let completion: Completion = serde_json::from_slice(data).map_err(|_| Fault::Malformed)?;
    if completion.model != model {
        return Err(Fault::Crossed);
    }
    Ok(Event { is_done: false, tokens: completion.usage.map(|usage| usage.total_tokens) })
}

/// Length up to and with the first separator.
fn find_end(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    let position = bytes.windows(separator.len()).position(|window| window == separator)?;
    Some(position + separator.len())
}
