//! Relay of a streamed answer to its caller, chunk by chunk.
//!
//! The caller's key is checked before each chunk, after each change of the configuration
//! and at a regular interval. A stream whose key was withdrawn ends with an error event.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::future;
use hyper::{Response, StatusCode};

use front::body::{self, Body, Disconnected, Sender};
use wire::frame::Isolation;

use crate::{
    Entry,
    answer::{self, AdmittedJob},
    attempt::{Failure, Frame, Stream, is_success},
    caller, quarantine,
    rejection::{Kind, Outcome, Rejection, add_standard_headers},
};

/// Time that a caller may take to accept a chunk before it counts as disconnected.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks of the caller's key while no frame arrives and the configuration
/// does not change. These checks detect a configuration that has become stale.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Event that a relay waits for.
enum Event {
    Frame(Option<Frame>),
    Recheck,
}

/// End of a stream.
enum End {
    Complete {
        tokens: Option<u64>,
    },
    /// The caller gets the rejection as an error event, and the connection is aborted.
    Failed(Rejection),
    ClientDisconnect,
}

/// Returns the response to the caller, and starts the task that streams its body.
pub(crate) fn respond(entry: &Arc<Entry>, admitted: AdmittedJob, stream: Stream) -> Response<Body> {
    let status = StatusCode::from_u16(stream.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let (sender, mut response) = body::streamed(status, &stream.content_type);
    add_standard_headers(&mut response, &admitted.job.request_id, Outcome::Completed);
    let entry = Arc::clone(entry);
    let kernel = entry.node.kernel.clone();
    kernel.spawn_detached(async move { run(&entry, admitted, stream, sender).await });
    response
}

/// Relays a stream and settles its reservation. The reservation stays charged in full
/// unless the stream is complete.
async fn run(entry: &Arc<Entry>, admitted: AdmittedJob, stream: Stream, sender: Sender) {
    let has_succeeded = is_success(stream.status);
    match relay(entry, &admitted, stream, &sender).await {
        End::Complete { tokens } => {
            let used = tokens.unwrap_or(admitted.job.cost);
            quarantine::record_completion(entry, &admitted.job, has_succeeded).await;
            answer::settle(entry, &admitted, used).await;
            sender.finish().await;
            answer::count(&admitted.job, Outcome::Completed);
        }
        End::Failed(rejection) => {
            let request = &admitted.job.request_id;
            entry.node.note(request, format!("the stream was ended: {}", rejection.message));
            let event = format!("event: error\ndata: {}\n\n", rejection.body(request));
            let _disconnected = send_chunk(entry, &sender, Bytes::from(event)).await;
            answer::count(&admitted.job, Outcome::Unknown);
        }
        End::ClientDisconnect => {
            entry.node.note(&admitted.job.request_id, "the caller disconnected");
            answer::count(&admitted.job, Outcome::Unknown);
        }
    }
}

/// Relays frames to the caller until the stream ends.
async fn relay(entry: &Arc<Entry>, admitted: &AdmittedJob, stream: Stream, sender: &Sender) -> End {
    let Stream { first, frames, isolation, .. } = stream;
    if send_chunk(entry, sender, Bytes::from(first)).await.is_err() {
        return End::ClientDisconnect;
    }
    let mut last_chunk_at = entry.node.now();
    loop {
        let configuration_change = entry.node.configuration_change();
        if let Err(rejection) = caller::recheck_key(entry, admitted.job.key.as_ref()) {
            return End::Failed(Rejection { outcome: Outcome::Unknown, ..rejection });
        }
        let frame = async { Event::Frame(frames.recv().await.ok()) };
        let recheck = async {
            future::or(configuration_change, entry.node.kernel.clock.sleep(RECHECK_INTERVAL)).await;
            Event::Recheck
        };
        let bytes = match future::or(frame, recheck).await {
            Event::Recheck => continue,
            Event::Frame(Some(Frame::Chunk(bytes))) => Bytes::from(bytes),
            Event::Frame(Some(Frame::End { tokens })) => return End::Complete { tokens },
            Event::Frame(Some(Frame::Failed(failure))) => {
                return end_after_failure(entry, admitted, isolation, &failure).await;
            }
            Event::Frame(Some(Frame::Head(_)) | None) => {
                return end_after_failure(entry, admitted, isolation, &Failure::Lost).await;
            }
        };
        let now = entry.node.now();
        metrics::histogram!("chivelatch_token_gap_seconds")
            .record((now - last_chunk_at).as_secs_f64());
        last_chunk_at = now;
        if send_chunk(entry, sender, bytes).await.is_err() {
            return End::ClientDisconnect;
        }
    }
}

/// Reports a crash to the peers, and returns the end of the stream for the caller.
async fn end_after_failure(
    entry: &Arc<Entry>,
    admitted: &AdmittedJob,
    isolation: Isolation,
    failure: &Failure,
) -> End {
    if let Failure::Crashed { crash } = failure {
        quarantine::report_crash(entry, &admitted.job, *crash, isolation).await;
    }
    let message = "the backend server failed before the answer was whole; send the request again";
    End::Failed(Rejection::unknown(Kind::BackendFailed, message))
}

/// Sends bytes to the caller; fails if it has disconnected or does not read them in time.
async fn send_chunk(entry: &Entry, sender: &Sender, bytes: Bytes) -> Result<(), Disconnected> {
    let sent = entry.node.kernel.clock.timeout(CLIENT_READ_TIMEOUT, sender.send(bytes)).await;
    sent.unwrap_or(Err(Disconnected))
}
