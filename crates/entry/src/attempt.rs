//! Attempts of a request at backend servers, until an answer has started or the request
//! is rejected.
//!
//! Retries end at the request's deadline, at the limit of attempts or when the retry
//! budget is used up. A non-idempotent request is not retried once an attempt may have
//! begun.

mod frames;

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use smallvec::SmallVec;

use fleet::{
    Name,
    change::Repeat,
    member::{Member, Phase},
};
use schedule::retry;
use services::body::EVENT_STREAM;
use wire::{
    frame::{Call, Head, Isolation, NotBegun},
    identity, link,
};

use crate::{
    Entry, caller,
    job::Job,
    quarantine,
    rejection::{Kind, Rejection},
    routing::{self, Choice},
};

pub(crate) use crate::attempt::frames::{Failure, Frame};

/// Frames of an answer that may wait for a slow caller.
const FRAME_CHANNEL_CAPACITY: usize = 16;
/// Retry-after time after a failure of the backend servers.
const SERVER_FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait of a request, from its arrival, for a server whose side process leaves to get a new
/// one. It may get none: an operator may have drained the server.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size limit of an answer that is not streamed.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Answer of a server that has started.
pub(crate) enum ServerAnswer {
    Buffered(Buffered),
    Stream(Stream),
}

/// Answer that was received completely.
#[derive(Clone, Debug)]
pub(crate) struct Buffered {
    pub(crate) status: u16,
    pub(crate) content_type: Name,
    pub(crate) body: Vec<u8>,
    /// Tokens used, if the server reported them.
    pub(crate) tokens: Option<u64>,
}

/// Returns whether the status of an answer is one of success.
pub(crate) fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Streamed answer of which the first chunk was received.
pub(crate) struct Stream {
    pub(crate) status: u16,
    pub(crate) content_type: Name,
    /// First chunk.
    pub(crate) first: Vec<u8>,
    /// Frames that follow the first chunk.
    pub(crate) frames: Receiver<Frame>,
    /// Whether the server runs the request alone.
    pub(crate) isolation: Isolation,
}

/// Sends attempts of a request until its answer has started.
///
/// # Errors
///
/// The rejection for the caller. Its outcome is `not-run` only if no attempt began.
pub(crate) async fn run(entry: &Arc<Entry>, job: &Job) -> Result<ServerAnswer, Rejection> {
    routing::record_request(entry, &job.target);
    entry.retry_budget.lock().record_first_attempt();
    let mut attempted: SmallVec<[Name; 4]> = SmallVec::new();
    let mut failures: SmallVec<[Failure; 4]> = SmallVec::new();
    for attempt in 0.. {
        if !await_next_attempt(entry, job, &failures).await {
            break;
        }
        let permission = match caller::recheck_key(entry, job.key.as_ref()) {
            Ok(()) => quarantine::isolation(entry, job).await,
            Err(rejection) => Err(rejection),
        };
        let isolation = match permission {
            Ok(isolation) => isolation,
            Err(rejection) => return Err(adjust_outcome(rejection, &failures)),
        };
        let Some(choice) = routing::choose(entry, job, &attempted).await else {
            if !wait_for_handover(entry, job, &failures).await {
                break;
            }
            attempted.clear();
            continue;
        };
        match send_attempt(entry, job, attempt, &choice, isolation).await {
            Ok(answer) => {
                if let ServerAnswer::Buffered(buffered) = &answer {
                    let has_succeeded = is_success(buffered.status);
                    quarantine::record_completion(entry, job, has_succeeded).await;
                }
                return Ok(answer);
            }
            Err(failure) => {
                handle_failure(entry, job, &choice, isolation, &failure).await;
                attempted.push(choice.server);
                failures.push(failure);
            }
        }
    }
    Err(final_rejection(job, &failures))
}

/// Waits a little if all attempts so far failed because of handovers, since a server that
/// is handed over gets a new side process shortly. Returns whether to choose again among
/// all servers.
async fn wait_for_handover(entry: &Entry, job: &Job, failures: &[Failure]) -> bool {
    let is_handover = !failures.is_empty() && failures.iter().all(Failure::is_handover);
    let deadline = match failures.iter().any(Failure::awaits_lease) {
        true => job.deadline,
        false => job.deadline.min(job.arrived_at + HANDOVER_TIMEOUT),
    };
    if !is_handover || deadline <= entry.node.now() {
        return false;
    }
    entry.node.kernel.clock.sleep(HANDOVER_POLL_INTERVAL).await;
    true
}

/// Waits until the next attempt is due. Returns false if there must be no further attempt.
/// A retry spends from the retry budget, except after a handover.
async fn await_next_attempt(entry: &Entry, job: &Job, failures: &[Failure]) -> bool {
    let Some(last) = failures.last() else { return true };
    if job.deadline <= entry.node.now() {
        return false;
    }
    if last.may_have_begun() && job.repeat == Repeat::NonIdempotent {
        return false;
    }
    if last.is_handover() {
        return true;
    }
    let attempts = failures.iter().filter(|failure| !failure.is_handover()).count();
    if entry.settings.max_attempts as usize <= attempts {
        return false;
    }
    if !entry.retry_budget.lock().try_spend() {
        return false;
    }
    metrics::counter!("chivelatch_retries_total").increment(1);
    let wait = retry::delay(failures.len() as u32, rand::random());
    entry.node.kernel.clock.sleep(wait).await;
    true
}

/// Sends one attempt and waits until its answer has started. A background task reads the
/// frames of the answer.
async fn send_attempt(
    entry: &Arc<Entry>,
    job: &Job,
    attempt: u32,
    choice: &Choice,
    isolation: Isolation,
) -> Result<ServerAnswer, Failure> {
    let frame = job.to_attempt(entry.node.now(), attempt, isolation);
    let id = frame.id.clone();
    let call = Call::Attempt(Box::new(frame));
    let opened = entry.node.link.call(choice.member.address, identity::Role::Side, &call).await;
    let exchange = opened.map_err(|error| match error {
        link::Error::Stopped { .. } => Failure::NotBegun(NotBegun::Leaving),
        link::Error::Connect { .. } | link::Error::Timeout { .. }
            if has_left(entry, &choice.member) =>
        {
            Failure::NotBegun(NotBegun::Leaving)
        }
        link::Error::Connect { .. } | link::Error::Timeout { .. } => Failure::Unreachable,
        link::Error::Frame { .. } => Failure::Lost,
    })?;
    let (sender, frames) = async_channel::bounded(FRAME_CHANNEL_CAPACITY);
    let reader =
        frames::read(Arc::clone(entry), job.clone(), choice.server.clone(), id, exchange, sender);
    entry.node.kernel.spawn_detached(reader);
    receive_start(frames, isolation).await
}

/// Returns whether a process was listed as leaving or left the list since it was chosen.
fn has_left(entry: &Entry, chosen: &Member) -> bool {
    let listing = entry.node.listing();
    let is_chosen = |member: &&Member| {
        member.instance == chosen.instance && member.incarnation == chosen.incarnation
    };
    let listed = listing.members.iter().find(is_chosen);
    listed.is_none_or(|member| member.phase == Phase::Leaving)
}

/// Waits until the answer has started: for the first chunk of a stream, or for the end of
/// any other answer. A failure is no stream, whatever its type.
async fn receive_start(
    frames: Receiver<Frame>,
    isolation: Isolation,
) -> Result<ServerAnswer, Failure> {
    let mut head: Option<Head> = None;
    let mut body = Vec::new();
    loop {
        match frames.recv().await {
            Ok(Frame::Head(received)) => head = Some(received),
            Ok(Frame::Chunk(bytes)) => {
                let Some(head) = &head else { return Err(Failure::Lost) };
                if is_success(head.status) && head.content_type.starts_with(EVENT_STREAM) {
                    let (status, content_type) = (head.status, Arc::clone(&head.content_type));
                    let stream = Stream { status, content_type, first: bytes, frames, isolation };
                    return Ok(ServerAnswer::Stream(stream));
                }
                body.extend_from_slice(&bytes);
                if MAX_BUFFERED_BYTES < body.len() {
                    return Err(Failure::Lost);
                }
            }
            Ok(Frame::End { tokens }) => {
                let Some(head) = head else { return Err(Failure::Lost) };
                let (status, content_type) = (head.status, head.content_type);
                return Ok(ServerAnswer::Buffered(Buffered { status, content_type, body, tokens }));
            }
            Ok(Frame::Failed(failure)) => return Err(failure),
            Err(_) => return Err(Failure::Lost),
        }
    }
}

/// Records a failed attempt. A server that is handed over is not avoided afterwards.
async fn handle_failure(
    entry: &Arc<Entry>,
    job: &Job,
    choice: &Choice,
    isolation: Isolation,
    failure: &Failure,
) {
    entry.node.note(&job.request_id, format!("{} failed: {failure:?}", choice.server));
    if !failure.is_handover() {
        routing::record_failure(entry, &choice.server);
    }
    if let Failure::Crashed { crash } = failure {
        quarantine::report_crash(entry, job, *crash, isolation).await;
    }
}

/// Returns the rejection of a request after its last attempt.
fn final_rejection(job: &Job, failures: &[Failure]) -> Rejection {
    if failures.iter().any(Failure::may_have_begun) {
        let message = match job.repeat {
            Repeat::Idempotent => {
                "the backend servers failed while they ran the request; \
                 it may be sent again"
            }
            Repeat::NonIdempotent => {
                "the backend server failed while it ran the request; \
                 check whether it took effect before sending a new one"
            }
        };
        return Rejection::unknown(Kind::BackendFailed, message)
            .retry_after(SERVER_FAILURE_RETRY_AFTER);
    }
    let message = "no backend server could begin the request; send it again later";
    Rejection::not_run(Kind::Overloaded, message).retry_after(SERVER_FAILURE_RETRY_AFTER)
}

/// Returns the rejection with an unknown outcome if an earlier attempt may have begun.
fn adjust_outcome(mut rejection: Rejection, failures: &[Failure]) -> Rejection {
    if failures.iter().any(Failure::may_have_begun) {
        rejection.outcome = crate::rejection::Outcome::Unknown;
    }
    rejection
}
