//! Relay of a stream of events from a server to the caller.
//!
//! A resumable stream is forwarded in whole events, so that after a failure the
//! next server can continue after the last event that the caller has. Any other
//! stream is forwarded as it arrives and ends with the server's connection.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use front::body::{self, Body, Truncated};
use futures_lite::stream;
use http_body_util::BodyExt as _;
use hyper::StatusCode;

use kernel::{event::Event, memory::Reservation};
use services::{
    body::Incomplete,
    event_stream::{self, Splitter},
    pool::Connection,
};
use serving::{directory::Listing, origin::Progress};

use crate::{
    end::End,
    entry::Entry,
    in_flight::InFlight,
    job::{Job, Upstream},
    ports::ResponseMeta,
};

/// Silence after which a stream is resumed on another server, as a multiple of the expected gap
/// between events.
const SILENCE_FACTOR: u32 = 3;
/// Largest event of a resumable stream, in bytes; it is kept until it is whole.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Stream to a caller.
pub struct Relay {
    entry: Arc<Entry>,
    job: Job,
    source: Source,
    /// Set for resumable streams only.
    events: Option<EventBuffer>,
    /// Memory of the event that is not whole yet.
    memory: Reservation,
    /// Data that was read and not forwarded yet.
    buffered: Option<Bytes>,
    forwarded_bytes: u64,
}

/// Server's response that the stream is read from.
struct Source {
    status: StatusCode,
    body: services::body::Body,
    meta: ResponseMeta,
    connection: Connection,
    in_flight: InFlight,
    server: Listing,
}

/// Buffer that splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    splitter: Splitter,
    last_id: Option<Bytes>,
}

/// Result of reading from the source.
enum Step {
    Chunk(Bytes),
    End,
    Broken(&'static str),
    /// The connection ended before the response was whole.
    Disconnected(&'static str),
    TimedOut,
}

impl Relay {
    /// Starts to relay a response whose first chunk has arrived.
    pub fn new(entry: &Arc<Entry>, job: Job, upstream: Upstream, first: Bytes) -> Relay {
        let is_resumable = job.can_rerun();
        let mut relay = Relay {
            entry: Arc::clone(entry),
            job,
            source: Source::new(upstream),
            events: is_resumable.then(EventBuffer::default),
            memory: entry.kernel.memory.reserve(),
            buffered: None,
            forwarded_bytes: 0,
        };
        relay.buffered = relay.complete_events(first);
        relay
    }

    /// Returns the body of the response to the caller.
    pub fn into_body(self) -> Body {
        let chunks = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), Some(relay))),
                Some(Err(truncated)) => Some((Err(truncated), None)),
                None => {
                    relay.finish();
                    None
                }
            }
        });
        body::from_chunks(Box::pin(chunks))
    }

    /// Returns the next chunk for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let step = match self.buffered.take() {
                Some(chunk) => Step::Chunk(chunk),
                None => self.read_step().await,
            };
            match step {
                Step::Chunk(chunk) => {
                    if self.events.is_some() {
                        self.job.begin_stream(&self.entry, &self.source.server).await;
                    }
                    self.forwarded_bytes += chunk.len() as u64;
                    return Some(Ok(chunk));
                }
                Step::End => return None,
                Step::TimedOut => {
                    self.log_end("timed_out");
                    return Some(Err(Truncated));
                }
                Step::Broken(reason) | Step::Disconnected(reason) => {
                    let is_broken_off = matches!(step, Step::Disconnected(_));
                    self.job.review_progress(&self.entry, is_broken_off).await;
                    if is_broken_off {
                        self.job.examine_break(&self.entry, &self.source.server).await;
                    }
                    if !self.resume(reason).await {
                        self.log_end(reason);
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }

    /// Reads until there is something to forward or the source ends.
    async fn read_step(&mut self) -> Step {
        // Bytes of an event that does not get whole are no sign of life.
        let silent_at = self.silence_limit().map(|silence| self.entry.now() + silence);
        loop {
            let remaining = self.job.remaining(&self.entry);
            let silence = silent_at.map(|at| at.saturating_sub(self.entry.now()));
            let limit = silence.map_or(remaining, |silence| silence.min(remaining));
            let frame = self.entry.timeout(limit, self.source.body.frame()).await;
            let chunk = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(incomplete @ Incomplete::NoEvent))) => {
                    return Step::Broken(incomplete.name());
                }
                Ok(Some(Err(incomplete))) => return Step::Disconnected(incomplete.name()),
                Ok(None) => return self.end_of_source(),
                Err(_) if self.job.remaining(&self.entry).is_zero() => return Step::TimedOut,
                Err(_) => return Step::Broken("silent"),
            };
            if let Some(chunk) = self.complete_events(chunk) {
                return Step::Chunk(chunk);
            }
            let rest = self.events.as_ref().map_or(0, |events| events.splitter.rest_len());
            if MAX_EVENT_BYTES < rest || self.memory.resize(rest).is_err() {
                return Step::Broken("event_too_large");
            }
        }
    }

    /// Returns the step at the end of the source. What may follow the last event, such as a
    /// comment, is forwarded as it is.
    fn end_of_source(&mut self) -> Step {
        let rest = self.events.as_mut().map(|events| events.splitter.take_rest());
        match rest.filter(|rest| !rest.is_empty()) {
            Some(rest) => Step::Chunk(rest),
            None => Step::End,
        }
    }

    /// Returns the silence after which the stream is resumed. A stream that cannot be resumed may
    /// be silent until its deadline.
    fn silence_limit(&self) -> Option<Duration> {
        self.events.as_ref()?;
        self.job.can_retry().then(|| self.job.event_gap() * SILENCE_FACTOR)
    }

    /// Returns the data to forward after reading `chunk`, if there is any.
    fn complete_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        let chunk = match &mut self.events {
            Some(events) => events.push(&chunk),
            None => chunk,
        };
        (!chunk.is_empty()).then_some(chunk)
    }

    /// Resumes the stream on another server after the last whole event. Returns `false` if that is
    /// not possible.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let Some(events) = &mut self.events else { return false };
        if !self.job.can_retry() || self.job.progress == Progress::Unknown {
            return false;
        }
        events.splitter = Splitter::default();
        self.job.last_event_id = events.last_id.clone().or(self.job.last_event_id.take());
        log::info!(
            event = Event::Resume, request = &*self.job.meta.id,
            server = &*self.source.server.id, version = &*self.source.server.version, reason;
            "resuming the stream on another server"
        );
        self.entry.record_failure(&self.source.server.id);
        self.source.in_flight.end();
        let (upstream, first) = match self.job.open_stream(&self.entry).await {
            Ok(opened) => opened,
            Err(rejection) => {
                log::info!(
                    event = Event::Resume, request = &*self.job.meta.id,
                    version = self.job.progress.version().map_or("", |it| &**it),
                    reason = rejection.reason;
                    "the stream cannot be resumed"
                );
                return false;
            }
        };
        if !upstream.head.status.is_success() {
            return false;
        }
        self.source = Source::new(upstream);
        self.buffered = self.complete_events(first);
        true
    }

    /// Records the complete response and returns the connection to the pool.
    fn finish(mut self) {
        self.log_end("complete");
        self.job.record_completion(&self.entry, self.source.status);
        self.entry.record_response(&self.source.server.id, false);
        let Source { meta, connection, .. } = self.source;
        if !meta.closes_connection {
            self.entry.pool.release(connection, meta.keep_alive);
        }
    }

    fn log_end(&mut self, outcome: &'static str) {
        let end = End {
            outcome,
            framing: self.source.body.framing(),
            tail: self.source.body.tail(),
            bytes: self.forwarded_bytes,
        };
        self.job.log_end(&self.entry, &self.source.server.id, &end);
    }
}

impl Source {
    fn new(upstream: Upstream) -> Source {
        Source {
            status: upstream.head.status,
            body: upstream.body,
            meta: upstream.meta,
            connection: upstream.connection,
            in_flight: upstream.in_flight,
            server: upstream.server,
        }
    }
}

impl EventBuffer {
    /// Appends a chunk and returns the events that are complete now.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        let complete = self.splitter.push(chunk);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Returns the last event id in complete events.
fn last_id(events: &Bytes) -> Option<Bytes> {
    event_stream::field(events, b"id").last().map(|id| events.slice_ref(id))
}
