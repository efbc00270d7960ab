//! How a server's response ended, for logs and metrics.

use services::{event_stream::Scanner, framing::Framing};

/// End of a response.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// `complete`, or the reason why it is not.
    pub outcome: &'static str,
    pub framing: Framing,
    pub tail: Tail,
    /// Length of what was forwarded of the body, in bytes.
    pub bytes: u64,
}

/// Last part of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The body has no events, or none has begun.
    NoEvents,
    /// The last event is whole.
    WholeEvent,
    /// The last event is incomplete.
    PartialEvent,
}

impl Tail {
    /// Returns the tail of a stream that was read by `scanner`.
    pub fn of(scanner: &Scanner) -> Tail {
        match (scanner.is_inside_event(), scanner.has_events()) {
            (true, _) => Tail::PartialEvent,
            (false, true) => Tail::WholeEvent,
            (false, false) => Tail::NoEvents,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Tail::NoEvents => "no_events",
            Tail::WholeEvent => "whole_event",
            Tail::PartialEvent => "partial_event",
        }
    }
}
