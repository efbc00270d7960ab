//! Bodies of responses, read to their end.
//!
//! Invariant: a body ends without an error only if it is whole. A connection that fails before
//! the end of the body is an error under each framing. So is the end of an event stream inside an
//! event, and the end of its connection before the first one: a server that fails may close the
//! connection in an orderly way, or even state the end of the body.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap, Response,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    header::CONTENT_TYPE,
};
use kernel::memory::{self, Buffer};
use snafu::{ResultExt as _, Snafu};

use crate::{event_stream::Scanner, framing::Framing};

/// Media type of an event stream.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Body of a response.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    framing: Framing,
    /// Set for event streams only.
    events: Option<Scanner>,
    /// Whether lines that are none of an event break the stream off.
    is_strict: bool,
    has_ended: bool,
}

/// Reason why a body is not whole.
#[derive(Debug, Snafu)]
pub enum Incomplete {
    #[snafu(display("the connection failed before the end of the body: {source}"))]
    BrokenOff { source: hyper::Error },
    #[snafu(display("the event stream ended inside an event"))]
    InsideEvent,
    #[snafu(display("the connection of the event stream ended before the first event"))]
    WithoutEvents,
    #[snafu(display("the event stream contains a line that is none of an event"))]
    NoEvent,
    /// The body is not read to its end, since it does not fit.
    #[snafu(display("the body cannot be kept: {source}"))]
    Unbuffered { source: memory::Full },
}

/// Last part of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// The body is no event stream, or has no event.
    NoEvents,
    /// The last event is whole.
    WholeEvent,
    /// The last event is incomplete.
    PartialEvent,
}

impl Body {
    /// Returns a response with the body to be read. That of a success is read as an event stream if its
    /// content type says so; a failure may say so with a text that is none.
    pub fn of(response: Response<Incoming>) -> Response<Body> {
        let (head, incoming) = response.into_parts();
        let framing = Framing::of(&head.headers, &incoming);
        let has_events = head.status.is_success() && is_event_stream(&head.headers);
        let events = has_events.then(Scanner::default);
        Response::from_parts(
            head,
            Body { incoming, framing, events, is_strict: false, has_ended: false },
        )
    }

    /// Reads the body as an event stream and nothing else, whatever its content type; to be called
    /// before the first chunk is read.
    pub fn expect_events(&mut self) {
        self.is_strict = true;
        self.events.get_or_insert_default();
    }

    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the rest of the body into a buffer.
    ///
    /// # Errors
    ///
    /// [`Incomplete`] if the body is not whole, or does not fit into the buffer.
    pub async fn collect_into(mut self, mut buffer: Buffer) -> Result<Bytes, Incomplete> {
        while let Some(frame) = self.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                buffer.push(&chunk).context(UnbufferedSnafu)?;
            }
        }
        Ok(buffer.into_bytes())
    }

    /// Returns the last part of what was read so far.
    pub fn tail(&self) -> Tail {
        match &self.events {
            Some(events) if events.is_inside_event() => Tail::PartialEvent,
            Some(events) if events.has_events() => Tail::WholeEvent,
            _ => Tail::NoEvents,
        }
    }

    /// Returns whether a whole event was read.
    pub fn has_events(&self) -> bool {
        self.events.is_some_and(|events| events.has_events())
    }

    fn is_malformed(&self) -> bool {
        self.is_strict && self.events.is_some_and(|events| events.is_malformed())
    }

    /// Scans a part of an event stream. Returns it up to its last whole event if a line follows that is
    /// none of an event, or the error if it has no such part.
    fn scan(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, Incomplete> {
        let Some(events) = &mut self.events else { return Ok(frame) };
        let Some(chunk) = frame.data_ref() else { return Ok(frame) };
        let end = events.feed(chunk);
        if !self.is_malformed() {
            return Ok(frame);
        }
        let end = end.ok_or(Incomplete::NoEvent)?;
        Ok(Frame::data(chunk.slice(..end)))
    }

    /// Checks that the body is whole where its connection or its framing ended it.
    fn check_end(&self) -> Result<(), Incomplete> {
        let Some(events) = &self.events else { return Ok(()) };
        if events.is_inside_event() {
            return InsideEventSnafu.fail();
        }
        if !self.framing.is_explicit() && !events.has_events() {
            return WithoutEventsSnafu.fail();
        }
        Ok(())
    }
}

/// Returns whether the headers of a response announce an event stream, or nothing.
pub fn may_be_event_stream(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_TYPE) || is_event_stream(headers)
}

/// Returns whether the headers of a response announce an event stream.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        if self.is_malformed() {
            self.has_ended = true;
            return Poll::Ready(Some(NoEventSnafu.fail()));
        }
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        let Some(frame) = frame else {
            self.has_ended = true;
            return Poll::Ready(self.check_end().err().map(Err));
        };
        let frame = frame.context(BrokenOffSnafu);
        let frame = frame.and_then(|frame| self.scan(frame));
        self.has_ended = frame.is_err();
        Poll::Ready(Some(frame))
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Incomplete {
    /// Returns the name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Incomplete::BrokenOff { .. } => "broken_off",
            Incomplete::InsideEvent => "ended_inside_event",
            Incomplete::WithoutEvents => "ended_without_events",
            Incomplete::NoEvent => "no_event",
            Incomplete::Unbuffered { .. } => "too_large",
        }
    }
}

impl Tail {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Tail::NoEvents => "no_events",
            Tail::WholeEvent => "whole_event",
            Tail::PartialEvent => "partial_event",
        }
    }
}
