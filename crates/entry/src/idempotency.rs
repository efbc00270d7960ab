//! At-most-once execution of non-idempotent requests, under the idempotency keys of
//! their callers.
//!
//! A request claims its key with a `Begin` record in a stream of the ledger; the first
//! `Begin` in log order wins. Only the winner is sent to a server, and only once its
//! claim has been read back from the log. Duplicates get the recorded answer, or a
//! rejection that states whether the request may have run.

use std::{collections::HashMap, sync::Arc, time::Duration};

use hyper::{
    Response,
    header::{HeaderName, HeaderValue},
};
use parking_lot::Mutex;

use fleet::{Name, digest::Digest};
use front::body::Body;
use ledger::{
    record::{self, Answer, Record},
    state::{Execution, Phase, State},
};
use schedule::retry;
use services::log::{self, Batch};

use crate::{
    Entry, answer,
    attempt::{self, Buffered, ServerAnswer},
    job::Job,
    rejection::{Kind, Outcome, Rejection},
    settings::Settings,
};

/// Header that marks a replayed answer.
const REPLAYED_HEADER: &str = "idempotent-replayed";
/// Time limit for reading back which request holds a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the record of an answer; the answer is then sent without waiting further.
const RECORD_DONE_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry-after time while the log is unavailable.
const LOG_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry-after time for duplicates of a request in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Limit of the append attempts for the record that ends an execution.
const MAX_APPEND_ATTEMPTS: u32 = 600;
/// Mean delay between append attempts, except the first ones, which follow sooner.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the ledger streams as far as this instance has read them.
pub(crate) struct Ledger {
    /// How long a key is remembered.
    window: Duration,
    /// Number of ledger streams, over which the keys are spread.
    partitions: u64,
    /// States by stream name.
    states: Mutex<HashMap<String, State>>,
}

/// Result of claiming a key.
enum Claim {
    Won,
    /// Another request holds the key.
    Taken(Execution),
    /// The log did not show in time which request holds the key.
    Unknown,
}

impl Ledger {
    pub(crate) fn new(settings: &Settings) -> Ledger {
        Ledger {
            window: settings.ledger_window,
            partitions: settings.partitions,
            states: Mutex::default(),
        }
    }

    fn next_offset(&self, stream: &str) -> u64 {
        self.states.lock().get(stream).map_or(0, State::next_offset)
    }

    fn execution(&self, stream: &str, key: &Digest) -> Option<Execution> {
        self.states.lock().get(stream)?.execution(key).cloned()
    }

    fn apply(&self, stream: &str, batch: &Batch) {
        let mut states = self.states.lock();
        let state = states.entry(stream.to_owned()).or_insert_with(|| State::new(self.window));
        state.skip_to(batch.first);
        for entry in &batch.records {
            if let Some(record) = log::decode::<Record>(stream, entry) {
                state.apply(entry.offset, Duration::from_millis(entry.at_ms), &record);
            }
        }
    }
}

/// Runs a request under an idempotency key, or replays the answer of its first execution.
///
/// # Errors
///
/// See [`Rejection`]. `not-run` means that the key can be used again, except for
/// [`Kind::KeyReused`], where it belongs to another request.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    job: &Job,
    key: Digest,
) -> Result<Response<Body>, Rejection> {
    let stream = record::stream_name(&key, entry.ledger.partitions);
    catch_up(entry, &stream).await?;
    if let Some(execution) = entry.ledger.execution(&stream, &key) {
        return answer_duplicate(entry, job, execution);
    }
    match claim(entry, job, &stream, key).await? {
        Claim::Won => execute(entry, job, &stream).await,
        Claim::Taken(execution) => answer_duplicate(entry, job, execution),
        Claim::Unknown => {
            // The claim may still win, and its request was not sent: free the key again.
            append_in_background(entry, &stream, Record::Abandon { id: execution_id(job) });
            Err(unavailable())
        }
    }
}

/// Appends a `Begin` for the key and reads back which one the log ordered first.
async fn claim(
    entry: &Arc<Entry>,
    job: &Job,
    stream: &str,
    key: Digest,
) -> Result<Claim, Rejection> {
    let author = entry.node.with_participant(|participant| participant.me().clone());
    let begin = Record::Begin { id: execution_id(job), key, request: job.fingerprint, author };
    let appended = (entry.node.log.append)(stream, log::encode(&begin)).await;
    if appended.as_ref().is_err_and(services::http::Error::is_without_effect) {
        return Err(unavailable());
    }
    let deadline = entry.node.now() + CLAIM_TIMEOUT;
    loop {
        let is_caught_up = catch_up(entry, stream).await.is_ok();
        match entry.ledger.execution(stream, &key) {
            Some(execution) if execution.id == execution_id(job) => return Ok(Claim::Won),
            Some(execution) if is_caught_up => return Ok(Claim::Taken(execution)),
            _ => {}
        }
        if deadline <= entry.node.now() {
            return Ok(Claim::Unknown);
        }
        entry.node.kernel.clock.sleep(CLAIM_POLL_INTERVAL).await;
    }
}

/// Runs a request that won its key, and records the end of its execution.
async fn execute(entry: &Arc<Entry>, job: &Job, stream: &str) -> Result<Response<Body>, Rejection> {
    match attempt::run(entry, job).await {
        Ok(ServerAnswer::Buffered(buffered)) => {
            record_done(entry, job, stream, &buffered).await;
            answer::count(job, Outcome::Completed);
            Ok(answer::respond_buffered(&job.request_id, buffered))
        }
        Ok(ServerAnswer::Stream(_)) => {
            append_in_background(entry, stream, Record::Lost { id: execution_id(job) });
            let message = "the service streamed the answer of a call that may not be repeated; \
                           check whether it took effect, and let the service answer as a whole";
            Err(Rejection::unknown(Kind::BackendFailed, message))
        }
        Err(rejection) => {
            let id = execution_id(job);
            let record = match rejection.outcome {
                Outcome::NotRun => Record::Abandon { id },
                Outcome::Completed | Outcome::Unknown => Record::Lost { id },
            };
            append_in_background(entry, stream, record);
            Err(rejection)
        }
    }
}

/// Answers a request whose key is held by an earlier execution.
fn answer_duplicate(
    entry: &Entry,
    job: &Job,
    execution: Execution,
) -> Result<Response<Body>, Rejection> {
    if execution.request != job.fingerprint {
        let message = "the idempotency key belongs to another request; choose a new one";
        return Err(Rejection::not_run(Kind::KeyReused, message));
    }
    if let Phase::Answered(answer) = &execution.phase {
        entry.node.note(&job.request_id, format!("replayed the answer of {}", execution.id));
        return Ok(replay(job, answer));
    }
    let author = &execution.author;
    let is_open = execution.phase == Phase::Open;
    if is_open && entry.node.listing().contains(&author.instance, author.incarnation) {
        let message = "the request is being run; send it again for its answer";
        return Err(
            Rejection::unknown(Kind::InProgress, message).retry_after(IN_PROGRESS_RETRY_AFTER)
        );
    }
    let message = "the request may have run, and its answer is lost; \
                   check whether it took effect before sending a new one under a new key";
    Err(Rejection::unknown(Kind::OutcomeUnknown, message))
}

fn replay(job: &Job, answer: &Answer) -> Response<Body> {
    let buffered = Buffered {
        status: answer.status,
        content_type: Arc::clone(&answer.content_type),
        body: answer.body.clone(),
        tokens: None,
    };
    let mut response = answer::respond_buffered(&job.request_id, buffered);
    let header = HeaderName::from_static(REPLAYED_HEADER);
    response.headers_mut().insert(header, HeaderValue::from_static("true"));
    response
}

/// Records the answer, and waits for the record up to [`RECORD_DONE_TIMEOUT`], so that a
/// duplicate sent right after the answer finds it at every instance. Later attempts to
/// append it continue in the background.
async fn record_done(entry: &Arc<Entry>, job: &Job, stream: &str, buffered: &Buffered) {
    let answer = Answer {
        status: buffered.status,
        content_type: Arc::clone(&buffered.content_type),
        body: buffered.body.clone(),
    };
    let done = Record::Done { id: execution_id(job), answer };
    let appending = append_with_retries(Arc::clone(entry), stream.to_owned(), done);
    let task = entry.node.kernel.spawn(appending);
    // A timeout on the task itself would cancel the append.
    let (done_sender, done_receiver) = async_channel::bounded::<()>(1);
    entry.node.kernel.spawn_detached(async move {
        task.await;
        drop(done_sender);
    });
    let _continues_in_background =
        entry.node.kernel.clock.timeout(RECORD_DONE_TIMEOUT, done_receiver.recv()).await;
}

fn append_in_background(entry: &Arc<Entry>, stream: &str, record: Record) {
    let appending = append_with_retries(Arc::clone(entry), stream.to_owned(), record);
    entry.node.kernel.spawn_detached(appending);
}

/// Appends a record and retries until the log acknowledges it; the record may be in the
/// log more than once. The delays are jittered, so that appends do not arrive all at once
/// when an outage of the log ends.
async fn append_with_retries(entry: Arc<Entry>, stream: String, record: Record) {
    // A graceful shutdown waits for the append.
    let _guard = entry.connections.guard();
    let body = log::encode(&record);
    for attempt in 0..MAX_APPEND_ATTEMPTS {
        match (entry.node.log.append)(&stream, body.clone()).await {
            Ok(_) => return,
            Err(error) => ::log::debug!("failed to append to stream {stream}; retrying: {error}"),
        }
        let delay = APPEND_RETRY_DELAY.mul_f64(rand::random::<f64>() + 0.5);
        let delay = delay.min(retry::delay(attempt, 1.0) * 4);
        entry.node.kernel.clock.sleep(delay).await;
    }
    ::log::error!(
        "failed to append a record to stream {stream} in {MAX_APPEND_ATTEMPTS} attempts; \
         the outcome of its request stays unknown to duplicates, whose callers have to check \
         whether it took effect"
    );
}

/// Reads a ledger stream to its tail.
async fn catch_up(entry: &Entry, stream: &str) -> Result<(), Rejection> {
    let from = entry.ledger.next_offset(stream);
    let apply = |batch: Batch| entry.ledger.apply(stream, &batch);
    let read = entry.node.log.read_to_tail(stream, from, apply).await;
    read.map_err(|error| {
        ::log::debug!("failed to read stream {stream}: {error}");
        unavailable()
    })
}

fn unavailable() -> Rejection {
    let message = "calls that may not be repeated cannot be recorded while the log is out; \
                   send the call again later with the same idempotency key";
    Rejection::not_run(Kind::LedgerUnavailable, message).retry_after(LOG_OUTAGE_RETRY_AFTER)
}

/// Returns the id of a request's execution in the ledger, which is that of the request.
fn execution_id(job: &Job) -> Name {
    Arc::clone(&job.request_id)
}
