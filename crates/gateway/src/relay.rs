//! Passing on a stream of events as they arrive.
//!
//! A stream that may be resumed is passed on event by event, so that after a
//! break the next server goes on where the caller's last whole event ended. Any
//! other stream is passed on as it comes and ends with its server's connection.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use front::body::{Body, Truncated};
use futures_lite::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};

use kernel::event::Event;
use services::pool::Connection;
use serving::Name;

use crate::{
    entry::Entry,
    flight::Flight,
    job::{Job, Sent},
    ports::Marks,
};

/// Silence, as a multiple of the expected pause, after which a stream is resumed elsewhere.
const SILENCE_FACTOR: u32 = 3;

/// A stream on its way to a caller.
pub struct Relay {
    entry: Arc<Entry>,
    job: Job,
    source: Source,
    /// Set for streams that may be resumed.
    events: Option<Events>,
    ready: Option<Bytes>,
    passed_bytes: u64,
}

struct Source {
    body: Incoming,
    marks: Marks,
    connection: Connection,
    flight: Flight,
    server: Name,
}

/// Whole events of a stream.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last_id: Option<Bytes>,
}

enum Step {
    Pass(Bytes),
    End,
    Broken(&'static str),
    TimedOut,
}

impl Relay {
    /// Begins with a reply whose first piece has arrived.
    pub fn new(entry: &Arc<Entry>, job: Job, sent: Sent, first: Bytes) -> Relay {
        let is_resumable = job.may_rerun();
        let mut relay = Relay {
            entry: Arc::clone(entry),
            job,
            source: Source::new(sent),
            events: is_resumable.then(Events::default),
            ready: None,
            passed_bytes: 0,
        };
        relay.ready = relay.whole_events(first);
        relay
    }

    /// The body of the caller's answer.
    pub fn into_body(self) -> Body {
        let pieces = stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(piece)) => Some((Ok(Frame::data(piece)), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
                None => {
                    relay.finish();
                    None
                }
            }
        });
        StreamBody::new(pieces).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let step = match self.ready.take() {
                Some(piece) => Step::Pass(piece),
                None => self.step().await,
            };
            match step {
                Step::Pass(piece) => {
                    self.passed_bytes += piece.len() as u64;
                    return Some(Ok(piece));
                }
                Step::End => return None,
                Step::TimedOut => {
                    self.log_end("timed_out");
                    return Some(Err(Truncated));
                }
                Step::Broken(reason) => {
                    if !self.resume(reason).await {
                        self.log_end(reason);
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        loop {
            let left = self.job.left(&self.entry);
            let silence = self.silence_limit();
            let limit = silence.map_or(left, |silence| silence.min(left));
            let frame = self.entry.kernel.clock.timeout(limit, self.source.body.frame()).await;
            let piece = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) => return Step::Broken("broken_off"),
                Ok(None) => return self.end(),
                Err(_) if limit < left => return Step::Broken("silent"),
                Err(_) => return Step::TimedOut,
            };
            if let Some(piece) = self.whole_events(piece) {
                return Step::Pass(piece);
            }
        }
    }

    fn end(&mut self) -> Step {
        let rest = self.events.as_mut().map(|events| events.partial.split().freeze());
        match rest.filter(|rest| !rest.is_empty()) {
            Some(rest) => Step::Pass(rest),
            None => Step::End,
        }
    }

    /// Only a stream that can go on elsewhere is given up for its silence.
    fn silence_limit(&self) -> Option<Duration> {
        self.events.as_ref()?;
        self.job.may_send_again().then(|| self.job.pause() * SILENCE_FACTOR)
    }

    fn whole_events(&mut self, piece: Bytes) -> Option<Bytes> {
        let piece = match &mut self.events {
            Some(events) => events.take(&piece),
            None => piece,
        };
        (!piece.is_empty()).then_some(piece)
    }

    /// Goes on at another server after the last whole event.
    async fn resume(&mut self, reason: &'static str) -> bool {
        let Some(events) = &mut self.events else { return false };
        if !self.job.may_send_again() {
            return false;
        }
        events.partial.clear();
        self.job.last_event = events.last_id.clone().or(self.job.last_event.take());
        log::info!(
            event = Event::Resume, request = &*self.job.ask.id, server = &*self.source.server, reason;
            "the stream goes on elsewhere"
        );
        self.entry.note_failure(&self.source.server);
        self.source.flight.end();
        let Ok((sent, first)) = self.job.open(&self.entry).await else { return false };
        if !sent.head.status.is_success() {
            return false;
        }
        self.source = Source::new(sent);
        self.ready = self.whole_events(first);
        true
    }

    fn finish(mut self) {
        self.log_end("complete");
        self.entry.note_answer(&self.source.server, false);
        let Source { marks, connection, .. } = self.source;
        if !marks.closes {
            self.entry.pool.release(connection, marks.keep_alive);
        }
    }

    fn log_end(&mut self, outcome: &'static str) {
        self.job.log_end(&self.entry, outcome, self.passed_bytes, &self.source.server);
    }
}

impl Source {
    fn new(sent: Sent) -> Source {
        Source {
            body: sent.body,
            marks: sent.marks,
            connection: sent.connection,
            flight: sent.flight,
            server: sent.server,
        }
    }
}

impl Events {
    /// Takes a piece; returns the events that are whole now.
    pub fn take(&mut self, piece: &[u8]) -> Bytes {
        self.partial.extend_from_slice(piece);
        let Some(end) = end_of_events(&self.partial) else { return Bytes::new() };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Position after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &Bytes) -> Option<Bytes> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    Some(events.slice_ref(line[3..].trim_ascii()))
}
