//! Attempts of a request at backend servers. While one is silent, another one may be opened beside it.
//!
//! Architecture Invariant: an attempt that is open is dropped only if another one yields data, if its own
//! outcome is known, at the request's deadline, or when the caller leaves.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{StatusCode, http::response::Parts};

use kernel::event::Event;
use services::{BoxFuture, body::Incomplete, framing::Framing};
use serving::{
    Moment,
    directory::Listing,
    hedge::{self, Outcome},
};

use crate::{
    answer::{Rejection, check_head},
    entry::Entry,
    exchange::{self, Failure, Outbound, Reply, SentFlag},
    gate::Pass,
    hedge::race,
    in_flight::InFlight,
    job::{
        Job, NO_EVENTS, Upstream,
        held::HedgeEnd,
        opened::{self, Events, Opened, Response},
    },
    serve::DEFAULT_RETRY_AFTER,
};

/// Largest plain response, in bytes; it is kept until it is whole.
const MAX_PLAIN_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest start of a resumable stream up to its first whole event, in bytes; it is kept until then.
const MAX_START_BYTES: usize = 1024 * 1024;

/// Reads a response as far as needed before anything of it goes to the caller, until the deadline.
type Read<T> = fn(Arc<Entry>, Upstream, Moment) -> BoxFuture<Result<T, Failure>>;

/// How the responses of attempts are read.
pub(super) struct Reading<T> {
    read: Read<T>,
    status: fn(&T) -> StatusCode,
    /// Whether a response counts only if there is no other one.
    is_failure: fn(&T) -> bool,
    /// Whether the request is sent again after a failure that a server states.
    retries_failures: bool,
}

/// Streams that cannot be resumed, up to the first chunk.
pub(super) static STREAM: Reading<Opened> = Reading {
    read: |entry, upstream, deadline| Box::pin(read_first_chunk(entry, upstream, deadline)),
    status: Opened::status,
    is_failure: |opened| !opened.status().is_success(),
    retries_failures: false,
};

/// Resumable streams, up to the first whole event; other responses to their requests, up to the first chunk.
pub(super) static RESUMABLE_STREAM: Reading<Opened> = Reading {
    read: |entry, upstream, deadline| match opened::is_of_events(&upstream.head) {
        true => Box::pin(read_first_event(entry, upstream, deadline)),
        false => Box::pin(read_first_chunk(entry, upstream, deadline)),
    },
    status: Opened::status,
    is_failure: |opened| !opened.has_events(),
    retries_failures: false,
};

/// Plain responses, to the end.
pub(super) static PLAIN: Reading<Whole> = Reading {
    read: |entry, upstream, deadline| Box::pin(read_whole(entry, upstream, deadline)),
    status: |whole| whole.head.status,
    is_failure: |whole| whole.head.status.is_server_error(),
    retries_failures: true,
};

/// Whole plain response.
pub(super) struct Whole {
    pub head: Parts,
    pub body: Bytes,
    pub framing: Framing,
    pub server: Listing,
}

/// Reason why no attempt yields a usable answer.
pub(super) enum Unanswered<T> {
    /// The server's own failure.
    Failed(T),
    Rejected(Rejection),
}

/// Attempt that is under way.
struct Attempt<T> {
    server: Listing,
    outcome: BoxFuture<Result<T, Failure>>,
}

/// Future of [`Job::run`], which may run itself for a second attempt.
type Run<'a, T> = Pin<Box<dyn Future<Output = Result<T, Unanswered<T>>> + Send + 'a>>;

impl Job {
    /// Sends the request until an attempt yields a usable answer.
    ///
    /// # Errors
    ///
    /// [`Unanswered`] if no further attempt is possible.
    pub(super) fn run<'a, T: Send + 'static>(
        &'a mut self,
        entry: &'a Arc<Entry>,
        reading: &'static Reading<T>,
    ) -> Run<'a, T> {
        Box::pin(async move {
            let mut failed: Option<T> = None;
            loop {
                let attempt = match self.start(entry, reading).await {
                    Ok(attempt) => attempt,
                    Err(rejection) => return Err(Unanswered::new(failed, rejection)),
                };
                let server = attempt.server.clone();
                let outcome = self.finish(entry, attempt, reading, &mut failed).await;
                let answer = match outcome {
                    Ok(answer) => answer,
                    Err(failure) => match self.handle_failure(entry, &server, &failure).await {
                        Ok(()) => continue,
                        Err(rejection) => return Err(Unanswered::new(failed, rejection)),
                    },
                };
                if !(reading.is_failure)(&answer) {
                    return Ok(answer);
                }
                if !reading.retries_failures || !self.can_retry() {
                    return Err(Unanswered::Failed(answer));
                }
                self.exclude_failing(entry, &server, (reading.status)(&answer));
                failed = Some(answer);
            }
        })
    }

    /// Sends the request to a server, once one takes it.
    async fn start<T: Send + 'static>(
        &mut self,
        entry: &Arc<Entry>,
        reading: &'static Reading<T>,
    ) -> Result<Attempt<T>, Rejection> {
        let (server, tokens_ahead, pass) = self.select(entry).await?;
        if 0 < self.attempts && !self.try_spend_retry(entry, &server) {
            return Err(
                self.final_rejection("the budget of repeats is used up", DEFAULT_RETRY_AFTER)
            );
        }
        let upstream = self.send(entry, &server, tokens_ahead, pass);
        let (entry, deadline) = (Arc::clone(entry), self.deadline);
        let outcome = Box::pin(async move {
            let upstream = upstream.await?;
            (reading.read)(entry, upstream, deadline).await
        });
        Ok(Attempt { server, outcome })
    }

    /// Waits for the outcome of an attempt. If it is silent, opens another one meanwhile. `failed` is set if
    /// the other one's server fails the request.
    async fn finish<T: Send + 'static>(
        &mut self,
        entry: &Arc<Entry>,
        mut attempt: Attempt<T>,
        reading: &'static Reading<T>,
        failed: &mut Option<T>,
    ) -> Result<T, Failure> {
        let mut is_failure_recorded = false;
        loop {
            if let Some(outcome) = self.outcome_before_silence(entry, &mut attempt).await {
                return outcome;
            }
            if !std::mem::replace(&mut is_failure_recorded, true) {
                entry.record_failure(&attempt.server.id);
            }
            let depth = self.begin_hedge(&attempt.server);
            let first = async {
                match attempt.outcome.as_mut().await {
                    Ok(answer) if !(reading.is_failure)(&answer) => Ok(answer),
                    lost => Err(lost),
                }
            };
            match race(first, self.run(entry, reading)).await {
                Outcome::First(answer) => {
                    self.end_hedge(depth, HedgeEnd::First);
                    return Ok(answer);
                }
                Outcome::Second { data, lost } => {
                    let has_not_run = matches!(&lost, Some(Err(failure)) if failure.has_not_run());
                    let held = self.leave_held(depth, has_not_run);
                    if let Some(Err(Failure::Disconnected { .. })) = lost {
                        self.examine_detached(entry, held);
                    }
                    return Ok(data);
                }
                Outcome::ReadOn(unanswered) => {
                    self.end_hedge(depth, HedgeEnd::ReadOn(unanswered.reason()));
                    reading.keep_failure(failed, unanswered);
                }
                Outcome::Neither { lost, refused } => {
                    self.end_hedge(depth, HedgeEnd::Neither(refused.reason()));
                    reading.keep_failure(failed, refused);
                    return lost;
                }
            }
        }
    }

    /// Waits for the outcome of an attempt. Returns `None` if it is silent for so long that another one may
    /// be opened.
    async fn outcome_before_silence<T>(
        &self,
        entry: &Entry,
        attempt: &mut Attempt<T>,
    ) -> Option<Result<T, Failure>> {
        if !self.can_retry() {
            return Some(attempt.outcome.as_mut().await);
        }
        let limit = hedge::answer_silence(self.grant.route.objective);
        entry.kernel.clock.timeout(limit, attempt.outcome.as_mut()).await.ok()
    }

    /// Excludes a server that failed the request, which is sent to another one.
    fn exclude_failing(&mut self, entry: &Entry, server: &Listing, status: StatusCode) {
        log::info!(
            event = Event::ServerError, request = &*self.meta.id, server = &*server.id,
            status = status.as_u16();
            "the server failed the request; retrying on another one"
        );
        self.record_completion(entry, status);
        self.excluded.push(server.id.clone());
    }

    /// Sends the request to one server. The future yields the response up to its head; the request is sent
    /// when it is first polled.
    fn send(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        tokens_ahead: u64,
        pass: Pass,
    ) -> impl Future<Output = Result<Upstream, Failure>> + Send + use<> {
        let (sent_at, remaining) = (entry.now(), self.remaining(entry));
        let in_flight = InFlight::new(entry, server, self, tokens_ahead);
        let request = self.build_request(entry, server, remaining);
        self.log_send(server, remaining, tokens_ahead);
        self.attempts += 1;
        self.runs += 1;
        self.server = Some(server.clone());
        self.sent = SentFlag::default();
        let (check, is_sent) = (self.process_check(entry, server), self.sent.clone());
        let is_refused_before = self.refused_by.contains(&server.id);
        let is_repeatable = self.can_rerun();
        let is_stream = self.grant.route.retry_policy.is_stream();
        let (entry, server, id) = (Arc::clone(entry), server.clone(), self.meta.id.clone());
        async move {
            let outbound = Outbound {
                pass,
                check,
                id: &id,
                is_refused_before,
                is_repeatable,
                request,
                limit: remaining,
                stop: &entry.stop,
                is_sent: &is_sent,
            };
            let read_head = |head: &Parts| entry.read_head(&server, &id, sent_at, head);
            let reply = exchange::send(&entry.kernel, &entry.pool, outbound, read_head).await?;
            let Reply { head, meta, mut body, connection } = reply;
            entry.record_sign_of_life(&server, entry.moment(connection.opened_at), sent_at);
            if is_stream && opened::is_of_events(&head) {
                body.expect_events();
            }
            Ok(Upstream { head, meta, body, connection, in_flight, server })
        }
    }

    fn log_send(&self, server: &Listing, remaining: Duration, tokens_ahead: u64) {
        log::info!(
            event = Event::Sent, request = &*self.meta.id, server = &*server.id,
            version = &*server.version, resumes = self.meta.first_attempt.as_deref().unwrap_or(""),
            last_event = &*self.last_event_name(),
            fingerprint:% = self.identity.fingerprint.short(),
            attributes = self.identity.attribute_names(),
            left_ms = remaining.as_millis() as u64, tokens_ahead, sends = self.attempts,
            account = self.account_name(), units = self.charge.map_or(0, |(units, _)| units);
            "sending the request to a server"
        );
        metrics::counter!("chivelatch_sends_total").increment(1);
    }
}

impl<T> Reading<T> {
    /// Keeps the failure that a server stated, in case that there is no other answer. That of a stream
    /// would hold its connection.
    fn keep_failure(&self, kept: &mut Option<T>, unanswered: Unanswered<T>) {
        if let Unanswered::Failed(answer) = unanswered
            && self.retries_failures
        {
            *kept = Some(answer);
        }
    }
}

impl<T> Unanswered<T> {
    /// Prefers a server's own failure to a rejection.
    fn new(failed: Option<T>, rejection: Rejection) -> Unanswered<T> {
        failed.map_or(Unanswered::Rejected(rejection), Unanswered::Failed)
    }

    pub(super) fn reason(&self) -> &'static str {
        match self {
            Unanswered::Failed(_) => NO_EVENTS,
            Unanswered::Rejected(rejection) => rejection.reason,
        }
    }
}

/// Waits for the first chunk of a response that belongs to its server. It may have none.
async fn read_first_chunk(
    entry: Arc<Entry>,
    mut upstream: Upstream,
    deadline: Moment,
) -> Result<Opened, Failure> {
    check_head(&upstream.head, &upstream.meta)?;
    let chunk = next_chunk(&entry, &mut upstream, deadline).await?;
    upstream.in_flight.record_first_event();
    let first = chunk.unwrap_or_default();
    Ok(Opened::Response(Response { upstream, first }))
}

/// Waits for the first whole event of a stream, or the end of one without events.
async fn read_first_event(
    entry: Arc<Entry>,
    mut upstream: Upstream,
    deadline: Moment,
) -> Result<Opened, Failure> {
    check_head(&upstream.head, &upstream.meta)?;
    let mut start = entry.kernel.memory.buffer(MAX_START_BYTES);
    while !upstream.body.has_events() {
        let Some(chunk) = next_chunk(&entry, &mut upstream, deadline).await? else { break };
        let pushed = start.push(&chunk);
        pushed.map_err(|error| Failure::Broken { reason: error.to_string() })?;
    }
    upstream.in_flight.record_first_event();
    Ok(Opened::Events(Events { upstream, first: start.into_bytes() }))
}

/// Reads the next chunk of a stream. Returns `None` at its end.
async fn next_chunk(
    entry: &Entry,
    upstream: &mut Upstream,
    deadline: Moment,
) -> Result<Option<Bytes>, Failure> {
    let frame = entry.timeout_at(deadline, upstream.body.frame()).await;
    match frame.map_err(|_| Failure::TimedOut)? {
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        None => Ok(None),
        Some(Err(error @ Incomplete::NoEvent)) => {
            Err(Failure::Broken { reason: error.to_string() })
        }
        Some(Err(error)) => Err(Failure::Disconnected { reason: error.to_string() }),
    }
}

/// Reads a plain response to its end, and returns its connection to the pool.
async fn read_whole(
    entry: Arc<Entry>,
    upstream: Upstream,
    deadline: Moment,
) -> Result<Whole, Failure> {
    let Upstream { head, meta, body, connection, mut in_flight, server } = upstream;
    let framing = body.framing();
    let body = body.collect_into(entry.kernel.memory.buffer(MAX_PLAIN_RESPONSE_BYTES));
    let body = entry.timeout_at(deadline, body).await.map_err(|_| Failure::TimedOut)?;
    let body = body.map_err(|error| Failure::Disconnected { reason: error.to_string() })?;
    check_head(&head, &meta)?;
    in_flight.record_first_event();
    in_flight.end();
    if !meta.closes_connection {
        entry.pool.release(connection, meta.keep_alive);
    }
    entry.record_response(&server.id, head.status.is_server_error());
    Ok(Whole { head, body, framing, server })
}
