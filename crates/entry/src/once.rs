//! Running a non-idempotent request at most once.

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

/// Header that marks an answer given before.
const REPLAY_HEADER: &str = "idempotent-replayed";
/// Time to find out whether an unacknowledged record was taken.
const SETTLE_PATIENCE: Duration = Duration::from_secs(2);
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Time that an answer waits for its record before it is given anyway.
const DONE_PATIENCE: Duration = Duration::from_secs(1);
/// When to come back while the log is out.
const OUTAGE_WAIT: Duration = Duration::from_secs(5);
/// When to come back for the answer of a request in progress.
const PROGRESS_WAIT: Duration = Duration::from_secs(1);
/// Tries of a record that has to be in the log in the end.
const RECORD_TRIES: u32 = 600;
const RECORD_PAUSE: Duration = Duration::from_secs(1);

/// The ledger streams as far as this instance has read them.
pub(crate) struct Ledger {
    window: Duration,
    partitions: u64,
    folds: Mutex<HashMap<String, State>>,
}

/// What became of an attempt to win a key.
enum Claim {
    Won,
    Taken(Execution),
    /// The log does not say; the attempt was given up.
    Unsettled,
}

impl Ledger {
    pub(crate) fn new(settings: &Settings) -> Ledger {
        Ledger {
            window: settings.ledger_window,
            partitions: settings.partitions,
            folds: Mutex::default(),
        }
    }

    fn next(&self, stream: &str) -> u64 {
        self.folds.lock().get(stream).map_or(0, State::next_offset)
    }

    fn begun(&self, stream: &str, key: &Digest) -> Option<Execution> {
        self.folds.lock().get(stream)?.execution(key).cloned()
    }

    fn take(&self, stream: &str, batch: &Batch) {
        let mut folds = self.folds.lock();
        let fold = folds.entry(stream.to_owned()).or_insert_with(|| State::new(self.window));
        fold.skip_to(batch.first);
        for entry in &batch.records {
            if let Some(record) = log::decode::<Record>(stream, entry) {
                fold.apply(entry.offset, Duration::from_millis(entry.at_ms), &record);
            }
        }
    }
}

/// Runs a request under an idempotency key, or gives the answer it had before.
///
/// # Errors
///
/// See [`Rejection`]; `not-run` means that this key is free to be used again.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    job: &Job,
    key: Digest,
) -> Result<Response<Body>, Rejection> {
    let stream = record::stream_name(&key, entry.ledger.partitions);
    read(entry, &stream).await?;
    if let Some(begun) = entry.ledger.begun(&stream, &key) {
        return repeat(entry, job, begun);
    }
    match claim(entry, job, &stream, key).await? {
        Claim::Won => execute(entry, job, &stream).await,
        Claim::Taken(begun) => repeat(entry, job, begun),
        Claim::Unsettled => {
            append_in_background(entry, &stream, Record::Abandon { id: begin_id(job) });
            Err(unavailable())
        }
    }
}

/// Appends a `Begin` and reads back which one the log ordered first.
async fn claim(
    entry: &Arc<Entry>,
    job: &Job,
    stream: &str,
    key: Digest,
) -> Result<Claim, Rejection> {
    let author = entry.node.with_seat(|seat| seat.me().clone());
    let begin = Record::Begin { id: begin_id(job), key, request: job.fingerprint, author };
    let appended = (entry.node.log.append)(stream, log::encode(&begin)).await;
    if appended.as_ref().is_err_and(services::http::Error::is_without_effect) {
        return Err(unavailable());
    }
    let deadline = entry.node.now() + SETTLE_PATIENCE;
    loop {
        let is_read = read(entry, stream).await.is_ok();
        match entry.ledger.begun(stream, &key) {
            Some(begun) if begun.id == begin_id(job) => return Ok(Claim::Won),
            Some(begun) if is_read => return Ok(Claim::Taken(begun)),
            _ => {}
        }
        if deadline <= entry.node.now() {
            return Ok(Claim::Unsettled);
        }
        entry.node.kernel.clock.sleep(SETTLE_PAUSE).await;
    }
}

/// Runs a request that won its key, and records how it ended.
async fn execute(entry: &Arc<Entry>, job: &Job, stream: &str) -> Result<Response<Body>, Rejection> {
    match attempt::run(entry, job).await {
        Ok(ServerAnswer::Buffered(buffered)) => {
            record_done(entry, job, stream, &buffered).await;
            answer::count(job, Outcome::Completed);
            Ok(answer::respond_buffered(&job.request, buffered))
        }
        Ok(ServerAnswer::Stream(_)) => {
            append_in_background(entry, stream, Record::Lost { id: begin_id(job) });
            let message = "the service streamed the answer of a call that may not be repeated; \
                           check whether it took effect, and let the service answer as a whole";
            Err(Rejection::unknown(Kind::BackendFailed, message))
        }
        Err(rejection) => {
            let id = begin_id(job);
            let record = match rejection.outcome {
                Outcome::NotRun => Record::Abandon { id },
                Outcome::Completed | Outcome::Unknown => Record::Lost { id },
            };
            append_in_background(entry, stream, record);
            Err(rejection)
        }
    }
}

/// Answers a request whose key is taken.
fn repeat(entry: &Entry, job: &Job, begun: Execution) -> Result<Response<Body>, Rejection> {
    if begun.request != job.fingerprint {
        let message = "the idempotency key belongs to another request; choose a new one";
        return Err(Rejection::not_run(Kind::KeyReused, message));
    }
    if let Phase::Answered(answer) = &begun.phase {
        entry.node.note(&job.request, format!("answered as {} was", begun.id));
        return Ok(replay(job, answer));
    }
    let author = &begun.author;
    let is_open = begun.phase == Phase::Open;
    if is_open && entry.node.listing().contains(&author.instance, author.incarnation) {
        let message = "the request is being run; send it again for its answer";
        return Err(Rejection::unknown(Kind::InProgress, message).retry_after(PROGRESS_WAIT));
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
    let mut response = answer::respond_buffered(&job.request, buffered);
    let header = HeaderName::from_static(REPLAY_HEADER);
    response.headers_mut().insert(header, HeaderValue::from_static("true"));
    response
}

/// Records the answer; the caller waits a little for it, so that a resend right
/// after the answer finds it everywhere.
async fn record_done(entry: &Arc<Entry>, job: &Job, stream: &str, buffered: &Buffered) {
    let answer = Answer {
        status: buffered.status,
        content_type: Arc::clone(&buffered.content_type),
        body: buffered.body.clone(),
    };
    let done = Record::Done { id: begin_id(job), answer };
    let appending = append_until_taken(Arc::clone(entry), stream.to_owned(), done);
    let task = entry.node.kernel.spawn(appending);
    let (told, taken) = async_channel::bounded::<()>(1);
    entry.node.kernel.spawn_detached(async move {
        task.await;
        drop(told);
    });
    let _goes_on = entry.node.kernel.clock.timeout(DONE_PATIENCE, taken.recv()).await;
}

fn append_in_background(entry: &Arc<Entry>, stream: &str, record: Record) {
    let appending = append_until_taken(Arc::clone(entry), stream.to_owned(), record);
    entry.node.kernel.spawn_detached(appending);
}

/// Appends a record that may stand in the log more than once, until the log
/// acknowledges it. The pauses are jittered, so that the end of an outage does
/// not bring a rush.
async fn append_until_taken(entry: Arc<Entry>, stream: String, record: Record) {
    let _guard = entry.callers.guard();
    let body = log::encode(&record);
    for attempt in 0..RECORD_TRIES {
        match (entry.node.log.append)(&stream, body.clone()).await {
            Ok(_) => return,
            Err(error) => ::log::debug!("a ledger record was not acknowledged: {error}"),
        }
        let pause = RECORD_PAUSE.mul_f64(rand::random::<f64>() + 0.5);
        let pause = pause.min(retry::delay(attempt, 1.0) * 4);
        entry.node.kernel.clock.sleep(pause).await;
    }
    ::log::error!("a ledger record was given up; its request's outcome stays unknown");
}

/// Reads a ledger stream to its tail.
async fn read(entry: &Entry, stream: &str) -> Result<(), Rejection> {
    let from = entry.ledger.next(stream);
    let take = |batch: Batch| entry.ledger.take(stream, &batch);
    let read = entry.node.log.read_to_tail(stream, from, take).await;
    read.map_err(|error| {
        ::log::debug!("the ledger was not read: {error}");
        unavailable()
    })
}

fn unavailable() -> Rejection {
    let message = "calls that may not be repeated cannot be recorded while the log is out; \
                   send the call again later with the same idempotency key";
    Rejection::not_run(Kind::LedgerUnavailable, message).retry_after(OUTAGE_WAIT)
}

fn begin_id(job: &Job) -> Name {
    Arc::clone(&job.request)
}
