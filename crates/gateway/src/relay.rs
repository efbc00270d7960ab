//! Relay of the answer to a stream's request, from a server to the caller.
//!
//! Events that may be continued are forwarded by [`events`]. Any other answer belongs to its server and is
//! forwarded by [`response`]. Which of the two an answer is, is decided by its head.

mod events;
mod response;

use std::sync::Arc;

use bytes::Bytes;
use front::body::{self, Body, Truncated};
use futures_lite::stream;
use http_body_util::BodyExt as _;

use services::body::Incomplete;
use serving::Moment;

use crate::{
    answer,
    end::End,
    entry::Entry,
    job::{Job, Upstream, opened::Opened},
};

pub use events::EventBuffer;

/// Answer that is relayed to a caller.
pub enum Relay {
    Events(Box<events::Relay>),
    Response(Box<response::Relay>),
}

/// Reason why nothing more comes from a server.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Broken(&'static str),
    /// The connection ended before the response was whole.
    Disconnected(&'static str),
    TimedOut,
}

impl Relay {
    /// Starts to relay an answer whose first data has arrived.
    pub fn new(entry: &Arc<Entry>, job: Job, opened: Opened) -> Relay {
        match opened {
            Opened::Events(events) => {
                Relay::Events(Box::new(events::Relay::new(entry, job, events)))
            }
            Opened::Response(response) => {
                Relay::Response(Box::new(response::Relay::new(entry, job, response)))
            }
        }
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

    /// Returns the next chunk for the caller, or `None` at the end of the answer.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        match self {
            Relay::Events(relay) => relay.next().await,
            Relay::Response(relay) => relay.next().await,
        }
    }

    /// Records that the answer is complete.
    fn finish(self) {
        match self {
            Relay::Events(relay) => relay.finish(),
            Relay::Response(relay) => relay.finish(),
        }
    }
}

impl Loss {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Loss::Broken(name) | Loss::Disconnected(name) => name,
            Loss::TimedOut => "timed_out",
        }
    }
}

/// Reads the next chunk of a server's response. Returns `None` at its end. Nothing is lost if the future is
/// dropped.
async fn read_chunk(
    entry: &Entry,
    upstream: &mut Upstream,
    deadline: Moment,
) -> Result<Option<Bytes>, Loss> {
    let frame = entry.timeout_at(deadline, upstream.body.frame()).await;
    match frame.map_err(|_| Loss::TimedOut)? {
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(incomplete @ Incomplete::NoEvent)) => Err(Loss::Broken(incomplete.name())),
        Some(Err(incomplete)) => Err(Loss::Disconnected(incomplete.name())),
        None => Ok(None),
    }
}

/// Records the whole response of a server and returns its connection to the pool.
fn finish(entry: &Entry, job: &mut Job, upstream: Upstream, forwarded_bytes: u64) {
    let status = upstream.head.status;
    log_end(entry, job, &upstream, answer::outcome(status), forwarded_bytes);
    job.record_completion(entry, status);
    entry.record_response(&upstream.server.id, status.is_server_error());
    let Upstream { meta, connection, .. } = upstream;
    if !meta.closes_connection {
        entry.pool.release(connection, meta.keep_alive);
    }
}

fn log_end(
    entry: &Entry,
    job: &mut Job,
    upstream: &Upstream,
    outcome: &'static str,
    forwarded_bytes: u64,
) {
    let end = End {
        outcome,
        framing: upstream.body.framing(),
        tail: upstream.body.tail(),
        bytes: forwarded_bytes,
    };
    job.log_end(entry, &upstream.server.id, &end);
}
