//! Relay of events that another server may continue.
//!
//! They are forwarded whole, so that after a failure the next server can continue after the last event
//! that the caller has. While a server is silent, the stream is opened at another one, and read on from
//! whichever yields an event first.

use std::sync::Arc;

use bytes::Bytes;
use front::body::Truncated;

use kernel::{event::Event, memory::Reservation};
use services::event_stream::{self, Splitter};
use serving::{
    Moment,
    hedge::{self, Outcome},
};

use super::{Loss, finish, log_end, read_chunk};
use crate::{
    entry::Entry,
    hedge::race,
    job::{Job, Upstream, held::HedgeEnd, opened::Events},
};

/// Largest event, in bytes; it is kept until it is whole.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Stream of events to a caller.
pub struct Relay {
    entry: Arc<Entry>,
    job: Job,
    source: Source,
    /// Data that was read and not forwarded yet.
    buffered: Option<Bytes>,
    forwarded_bytes: u64,
}

/// Server's response that the stream is read from.
struct Source {
    upstream: Upstream,
    events: EventBuffer,
    /// Memory of the event that is not whole yet.
    memory: Reservation,
}

/// Buffer that splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    splitter: Splitter,
    last_id: Option<Bytes>,
}

/// What a source yields.
enum Step {
    Chunk(Bytes),
    End,
}

impl Relay {
    /// Starts to relay a stream whose first data has arrived.
    pub fn new(entry: &Arc<Entry>, job: Job, events: Events) -> Relay {
        let (source, buffered) = Source::new(entry, events);
        Relay { entry: Arc::clone(entry), job, source, buffered, forwarded_bytes: 0 }
    }

    /// Returns the next chunk for the caller, or `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let step = match self.buffered.take() {
                Some(chunk) => Ok(Step::Chunk(chunk)),
                None => self.read().await,
            };
            match step {
                Ok(Step::Chunk(chunk)) => {
                    self.job.begin_stream(&self.entry, &self.source.upstream.server).await;
                    self.forwarded_bytes += chunk.len() as u64;
                    return Some(Ok(chunk));
                }
                Ok(Step::End) => return None,
                Err(loss) => {
                    if !self.resume(loss).await {
                        let (upstream, bytes) = (&self.source.upstream, self.forwarded_bytes);
                        log_end(&self.entry, &mut self.job, upstream, loss.name(), bytes);
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }

    /// Records that the stream is complete.
    pub fn finish(mut self) {
        finish(&self.entry, &mut self.job, self.source.upstream, self.forwarded_bytes);
    }

    /// Reads from the source. While it is silent, opens the stream at another server, which may become the
    /// source.
    async fn read(&mut self) -> Result<Step, Loss> {
        let mut is_failure_recorded = false;
        loop {
            if let Some(step) = self.read_before_silence().await {
                return step;
            }
            if !std::mem::replace(&mut is_failure_recorded, true) {
                self.entry.record_failure(&self.source.upstream.server.id);
            }
            self.name_last_event();
            let deadline = self.job.deadline;
            let depth = self.job.begin_hedge(&self.source.upstream.server);
            let second = self.job.open_beside(&self.entry);
            match race(self.source.read(&self.entry, deadline), second).await {
                Outcome::First(step) => {
                    self.job.end_hedge(depth, HedgeEnd::First);
                    return Ok(step);
                }
                Outcome::Second { data, lost } => {
                    self.leave_source(depth, lost);
                    if let Some(chunk) = self.switch(data) {
                        return Ok(Step::Chunk(chunk));
                    }
                }
                Outcome::ReadOn(reason) => {
                    self.job.end_hedge(depth, HedgeEnd::ReadOn(reason));
                }
                Outcome::Neither { lost, refused } => {
                    self.job.end_hedge(depth, HedgeEnd::Neither(refused));
                    return Err(lost);
                }
            }
        }
    }

    /// Reads from the source. Returns `None` if it is silent for so long that another attempt may be opened.
    /// A stream that cannot go on elsewhere may be silent until its deadline.
    async fn read_before_silence(&mut self) -> Option<Result<Step, Loss>> {
        let deadline = self.job.deadline;
        let read = self.source.read(&self.entry, deadline);
        if !self.job.can_resume() {
            return Some(read.await);
        }
        let limit = hedge::stream_silence(self.job.event_gap());
        self.entry.kernel.clock.timeout(limit, read).await.ok()
    }

    /// Names the last whole event in further attempts.
    fn name_last_event(&mut self) {
        let last_id = self.source.events.last_id.clone();
        self.job.last_event_id = last_id.or(self.job.last_event_id.take());
    }

    /// Records that another attempt takes over from the source, which may have been lost meanwhile.
    fn leave_source(&mut self, depth: usize, lost: Option<Loss>) {
        let held = self.job.leave_held(depth, false);
        if let Some(Loss::Disconnected(_)) = lost {
            self.job.record_broken_off(&self.entry);
            self.job.examine_detached(&self.entry, held);
        }
    }

    /// Resumes the stream on another server after the last whole event, since the source is lost. Returns
    /// `false` if that is not possible.
    async fn resume(&mut self, loss: Loss) -> bool {
        if let Loss::TimedOut = loss {
            return false;
        }
        let is_broken_off = matches!(loss, Loss::Disconnected(_));
        self.job.review_progress(&self.entry, is_broken_off).await;
        if is_broken_off {
            self.job.examine_break(&self.entry, &self.source.upstream.server).await;
        }
        if !self.job.can_resume() {
            return false;
        }
        self.name_last_event();
        log::info!(
            event = Event::Resume, request = &*self.job.meta.id,
            server = &*self.source.upstream.server.id, version = &*self.source.upstream.server.version,
            reason = loss.name();
            "resuming the stream on another server"
        );
        self.entry.record_failure(&self.source.upstream.server.id);
        self.source.upstream.in_flight.end();
        let reason = match self.job.continue_stream(&self.entry).await {
            Ok(events) => {
                self.buffered = self.switch(events);
                return true;
            }
            Err(reason) => reason,
        };
        log::info!(
            event = Event::Resume, request = &*self.job.meta.id,
            version = self.job.progress.version().map_or("", |it| &**it), reason;
            "the stream cannot be resumed"
        );
        false
    }

    /// Makes an attempt the source. Returns the data to forward, if there is any.
    fn switch(&mut self, events: Events) -> Option<Bytes> {
        let buffered;
        (self.source, buffered) = Source::new(&self.entry, events);
        buffered
    }
}

impl Source {
    /// Returns the source, and the data to forward, if there is any.
    fn new(entry: &Entry, events: Events) -> (Source, Option<Bytes>) {
        let Events { upstream, first } = events;
        let memory = entry.kernel.memory.reserve();
        let mut source = Source { upstream, events: EventBuffer::default(), memory };
        let chunk = source.complete_events(first);
        (source, chunk)
    }

    /// Reads until there is something to forward or the source ends. Nothing is lost if the future is
    /// dropped.
    async fn read(&mut self, entry: &Entry, deadline: Moment) -> Result<Step, Loss> {
        loop {
            let Some(chunk) = read_chunk(entry, &mut self.upstream, deadline).await? else {
                return Ok(self.end());
            };
            if let Some(chunk) = self.complete_events(chunk) {
                return Ok(Step::Chunk(chunk));
            }
            let rest = self.events.splitter.rest_len();
            if MAX_EVENT_BYTES < rest || self.memory.resize(rest).is_err() {
                return Err(Loss::Broken("event_too_large"));
            }
        }
    }

    /// Returns the step at the end of the source. What may follow the last event, such as a
    /// comment, is forwarded as it is.
    fn end(&mut self) -> Step {
        let rest = self.events.splitter.take_rest();
        if rest.is_empty() { Step::End } else { Step::Chunk(rest) }
    }

    /// Returns the data to forward after reading `chunk`, if there is any.
    fn complete_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        let events = self.events.push(&chunk);
        (!events.is_empty()).then_some(events)
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
