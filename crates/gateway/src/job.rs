//! An authorized request and its attempts.
//!
//! A request that certainly did not run is sent again while its deadline, the
//! retry budget and the servers allow it. One that may have run is sent again
//! only if its route's retry policy and number of attempts allow that, too.

mod failure;
mod rejection;
mod take_up;

use std::{borrow::Cow, sync::Arc, time::Duration};

use bytes::Bytes;
use front::body::Body;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request, Response,
    header::CONTENT_LENGTH,
    http::{request, response},
};

use fleet::suspect::Identity;
use kernel::event::Event;
use services::{
    body::{self, Incomplete, Tail},
    pool::Connection,
};
use serving::{Moment, Name, directory::Listing, manifest::Grant, origin::Progress, selection};
use smallvec::SmallVec;

use crate::{
    answer::{self, Rejection, check_head, end_to_end},
    end::End,
    entry::Entry,
    exchange::{self, Failure, Outbound, Reply},
    gate::Pass,
    in_flight::InFlight,
    ports::{self, RequestMeta, ResponseMeta, ServerNames},
    quarantine::{self, HeldTrial},
    serve::DEFAULT_RETRY_AFTER,
};

/// Assumed number of prompt tokens if the request does not state it.
const DEFAULT_PROMPT_TOKENS: u64 = 500;
/// Largest plain response, in bytes; it is kept until it is whole.
const MAX_PLAIN_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Multiple of the route's objective after which an attempt times out, if another one is allowed.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Number of urgency levels of routes. The account's urgency takes precedence over them.
const ROUTE_URGENCY_LEVELS: u8 = 3;
/// Typical latency of a plain service, as a share of the route's objective.
const TYPICAL_OBJECTIVE_SHARE: f64 = 0.25;

/// An authorized request with the state of its attempts.
pub struct Job {
    entry: Arc<Entry>,
    pub meta: RequestMeta,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<Bytes>,
    pub parts: request::Parts,
    pub body: Bytes,
    /// Identity of the request across its repeats, and what it has in common with others.
    pub identity: Identity,
    pub grant: Grant,
    pub arrived: Moment,
    pub deadline: Moment,
    /// Time until which the caller may send further attempts.
    pub caller_deadline: Moment,
    /// How far a resumable stream has come, over all attempts of its caller.
    pub progress: Progress,
    /// Units charged to the account, and the time of the charge.
    pub charge: Option<(u64, Moment)>,
    /// Servers that the request is not sent to again.
    pub excluded: ServerNames,
    /// Processes that were found to be gone, though they are listed: server and start.
    pub replaced: SmallVec<[(Name, u64); 2]>,
    /// Servers that have refused the request.
    refused_by: ServerNames,
    /// Number of attempts that may have run.
    pub runs: u32,
    /// Number of attempts, without those whose server was unreachable.
    pub attempts: u32,
    /// Whether an attempt was still running at the deadline.
    pub has_timed_out: bool,
    /// Trial of the current attempt, if the request is a suspect.
    pub trial: Option<HeldTrial>,
    /// Server of the current attempt.
    server: Option<Listing>,
    /// Whether the caller got a whole response or a rejection.
    is_finished: bool,
}

/// Response of a server up to its head.
pub struct Upstream {
    pub head: response::Parts,
    pub meta: ResponseMeta,
    pub body: body::Body,
    pub connection: Connection,
    pub in_flight: InFlight,
    pub server: Listing,
}

impl Job {
    /// Returns the state of a request before its first attempt.
    pub fn new(
        entry: &Arc<Entry>,
        meta: RequestMeta,
        parts: request::Parts,
        body: Bytes,
        grant: Grant,
        arrived: Moment,
        time_budget: Duration,
    ) -> Job {
        let limit = grant.route.timeout.map_or(time_budget, |timeout| timeout.min(time_budget));
        let (deadline, caller_deadline) = (arrived + limit, arrived + time_budget);
        let identity = quarantine::identity(&grant, &meta, &parts, &body);
        Job {
            entry: Arc::clone(entry),
            identity,
            meta,
            last_event_id: None,
            parts,
            body,
            grant,
            arrived,
            deadline,
            caller_deadline,
            progress: Progress::NotBegun,
            charge: None,
            excluded: ServerNames::new(),
            replaced: SmallVec::new(),
            refused_by: ServerNames::new(),
            runs: 0,
            attempts: 0,
            has_timed_out: false,
            trial: None,
            server: None,
            is_finished: false,
        }
    }

    /// Returns the time until the deadline, or until the drain timeout of a stopping instance.
    pub fn remaining(&self, entry: &Entry) -> Duration {
        entry.stop.limit(self.deadline).saturating_sub(entry.now())
    }

    /// Returns the longest time between two events that callers of the route expect.
    pub fn event_gap(&self) -> Duration {
        self.grant.route.pause.unwrap_or(self.grant.route.objective)
    }

    /// Returns whether a request of this route may run more than once.
    pub fn can_rerun(&self) -> bool {
        self.grant.route.retry_policy.can_rerun()
    }

    /// Returns whether the route allows one more attempt that may run.
    pub fn can_retry(&self) -> bool {
        self.can_rerun() && self.runs < self.grant.route.attempts
    }

    /// Sends a stream's request until a server sends the first chunk.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no further attempt is possible.
    pub async fn open_stream(
        &mut self,
        entry: &Arc<Entry>,
    ) -> Result<(Upstream, Bytes), Rejection> {
        loop {
            let mut upstream = self.send_until_accepted(entry).await?;
            match self.first_chunk(entry, &mut upstream).await {
                Ok(chunk) => {
                    upstream.in_flight.record_first_event();
                    return Ok((upstream, chunk));
                }
                Err(failure) => {
                    self.handle_broken_response(entry, &upstream.server, &failure).await?;
                }
            }
        }
    }

    /// Sends a plain request until a server sends a whole response. If no further attempt is
    /// possible, returns the last server error.
    ///
    /// # Errors
    ///
    /// Returns the rejection if there was no whole response.
    pub async fn fetch(&mut self, entry: &Arc<Entry>) -> Result<Response<Body>, Rejection> {
        let mut last_error_response: Option<Response<Body>> = None;
        loop {
            let upstream = match self.send_until_accepted(entry).await {
                Ok(upstream) => upstream,
                Err(rejection) => return last_error_response.ok_or(rejection),
            };
            let server = upstream.server.clone();
            match self.read_response(entry, upstream).await {
                Ok(response) if response.status().is_server_error() && self.can_retry() => {
                    log::info!(
                        event = Event::ServerError, request = &*self.meta.id, server = &*server.id,
                        status = response.status().as_u16();
                        "the server failed the request; retrying on another one"
                    );
                    self.excluded.push(server.id);
                    last_error_response = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(failure) => {
                    let handled = self.handle_broken_response(entry, &server, &failure).await;
                    if let Err(rejection) = handled {
                        return last_error_response.ok_or(rejection);
                    }
                }
            }
        }
    }

    /// Sends the request until a server accepts it. Returns the head of the response.
    async fn send_until_accepted(&mut self, entry: &Arc<Entry>) -> Result<Upstream, Rejection> {
        loop {
            let (server, tokens_ahead, pass) = self.select(entry).await?;
            if 0 < self.attempts && !self.try_spend_retry(entry, &server) {
                return Err(
                    self.final_rejection("the budget of repeats is used up", DEFAULT_RETRY_AFTER)
                );
            }
            match self.send(entry, &server, tokens_ahead, pass).await {
                Ok(upstream) => {
                    self.runs += 1;
                    return Ok(upstream);
                }
                Err(failure) => self.handle_send_failure(entry, &server, &failure).await?,
            }
        }
    }

    /// Sends the request to one server.
    async fn send(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        tokens_ahead: u64,
        pass: Pass,
    ) -> Result<Upstream, Failure> {
        let sent_at = entry.now();
        let remaining = self.remaining(entry);
        let in_flight = InFlight::new(entry, server, self, tokens_ahead);
        let request = self.build_request(entry, server, remaining);
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
        self.attempts += 1;
        self.server = Some(server.clone());
        let outbound = Outbound {
            pass,
            check: self.process_check(entry, server),
            id: &self.meta.id,
            is_refused_before: self.refused_by.contains(&server.id),
            request,
            limit: self.attempt_timeout(entry, self.runs + 1),
            stop: &entry.stop,
        };
        let read_head =
            |head: &response::Parts| entry.read_head(server, &self.meta.id, sent_at, head);
        let reply = exchange::send(&entry.kernel, &entry.pool, outbound, read_head);
        let Reply { head, meta, mut body, connection } =
            reply.await.map_err(|failure| match failure {
                Failure::TimedOut => self.timeout_failure(entry),
                failure => failure,
            })?;
        entry.record_sign_of_life(server, entry.moment(connection.opened_at), sent_at);
        let server = server.clone();
        if self.grant.route.retry_policy.is_stream() && head.status.is_success() {
            body.expect_events();
        }
        Ok(Upstream { head, meta, body, connection, in_flight, server })
    }

    fn build_request(
        &self,
        entry: &Entry,
        server: &Listing,
        remaining: Duration,
    ) -> Request<Full<Bytes>> {
        let attempt = ports::Attempt {
            server: server.id.clone(),
            remaining,
            account: self.grant.account.as_ref().map(|account| account.name.clone()),
            urgency: self.meta.model.is_some().then(|| self.urgency()),
            last_event_id: self.last_event_id.clone(),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = (entry.dialect.request_headers)(&self.parts, &attempt);
        request
    }

    /// Reads a plain response to its end.
    async fn read_response(
        &mut self,
        entry: &Entry,
        upstream: Upstream,
    ) -> Result<Response<Body>, Failure> {
        let Upstream { head, meta, body, connection, mut in_flight, server } = upstream;
        let framing = body.framing();
        let body = body.collect_into(entry.kernel.memory.buffer(MAX_PLAIN_RESPONSE_BYTES));
        let body = entry.timeout(self.attempt_timeout(entry, self.runs), body).await;
        let body = body.map_err(|_| self.timeout_failure(entry))?;
        let body = body.map_err(|error| Failure::Disconnected { reason: error.to_string() })?;
        check_head(&head, &meta)?;
        in_flight.record_first_event();
        in_flight.end();
        if !meta.closes_connection {
            entry.pool.release(connection, meta.keep_alive);
        }
        entry.record_response(&server.id, head.status.is_server_error());
        self.record_completion(entry, head.status);
        let outcome = answer::outcome(head.status);
        let end = End { outcome, framing, tail: Tail::NoEvents, bytes: body.len() as u64 };
        self.log_end(entry, &server.id, &end);
        let mut headers = end_to_end(&head.headers);
        headers.remove(CONTENT_LENGTH);
        let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Waits for the first chunk of a stream. The body of an error response may be empty.
    async fn first_chunk(&self, entry: &Entry, upstream: &mut Upstream) -> Result<Bytes, Failure> {
        check_head(&upstream.head, &upstream.meta)?;
        let limit = self.attempt_timeout(entry, self.runs);
        let frame = entry.timeout(limit, upstream.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None) => Ok(Bytes::new()),
            Ok(Some(Err(error @ Incomplete::NoEvent))) => {
                Err(Failure::Broken { reason: error.to_string() })
            }
            Ok(Some(Err(error))) => Err(Failure::Disconnected { reason: error.to_string() }),
            Err(_) => Err(self.timeout_failure(entry)),
        }
    }

    /// Returns the timeout of an attempt: the remaining time, or less if another one is allowed.
    /// `runs` counts the attempts that may have run, this one included.
    fn attempt_timeout(&self, entry: &Entry, runs: u32) -> Duration {
        let remaining = self.remaining(entry);
        if !self.can_rerun() || self.grant.route.attempts <= runs {
            return remaining;
        }
        remaining.min(self.grant.route.objective * ATTEMPT_TIMEOUT_FACTOR)
    }

    /// Returns the failure of an attempt that timed out: [`Failure::TimedOut`] at the deadline of
    /// the request, or else [`Failure::Broken`], so that another attempt may follow.
    fn timeout_failure(&self, entry: &Entry) -> Failure {
        if self.remaining(entry).is_zero() {
            return Failure::TimedOut;
        }
        Failure::Broken {
            reason: "no complete response before the timeout of the attempt".to_owned(),
        }
    }

    fn try_spend_retry(&self, entry: &Entry, server: &Listing) -> bool {
        let now = entry.now();
        let instances = entry.limiter.lock().instance_count(now);
        let limits = &entry.tunable().retry_limits;
        entry.retry_budgets.with(&server.service, |budgets| {
            budgets.entry(server.service.clone()).or_default().try_spend(now, limits, instances)
        })
    }

    /// Logs and measures the end of a response, complete or not.
    pub fn log_end(&mut self, entry: &Entry, server: &Name, end: &End) {
        let End { outcome, framing, tail, bytes } = *end;
        let (framing, tail) = (framing.name(), tail.name());
        self.is_finished = true;
        let elapsed = entry.now().saturating_sub(self.arrived);
        metrics::histogram!("chivelatch_request_seconds", "outcome" => outcome)
            .record(elapsed.as_secs_f64());
        metrics::counter!(
            "chivelatch_response_ends_total",
            "framing" => framing, "tail" => tail, "outcome" => outcome
        )
        .increment(1);
        log::info!(
            event = Event::Ended, request = &*self.meta.id, server = &**server, outcome, bytes,
            framing, tail, took_ms = elapsed.as_millis() as u64;
            "the response ended"
        );
    }

    /// Returns the id of the last event that the caller has, for logs; empty before the first one.
    fn last_event_name(&self) -> Cow<'_, str> {
        let id = self.last_event_id.as_ref().or(self.meta.last_event_id.as_ref());
        id.map_or(Cow::Borrowed(""), |id| String::from_utf8_lossy(id))
    }

    fn account_name(&self) -> &str {
        self.grant.account.as_ref().map_or("", |account| &account.name)
    }

    /// Returns the urgency of the request, which is ordered by that of the account and within it by
    /// that of the route; 0 is the most urgent.
    pub fn urgency(&self) -> u8 {
        let account_urgency = self.grant.account.as_ref().and_then(|account| account.urgency);
        account_urgency.unwrap_or(0).saturating_mul(ROUTE_URGENCY_LEVELS) + self.grant.route.urgency
    }

    /// Returns the number of prompt tokens, or `DEFAULT_PROMPT_TOKENS` if it is not stated.
    pub fn prompt_tokens(&self) -> u64 {
        self.meta.tokens.map_or(DEFAULT_PROMPT_TOKENS, |(prompt, _)| prompt)
    }

    /// Returns the typical time to the first event of a model, or to the whole response of a plain
    /// service.
    pub fn typical_latency(&self, tokens_ahead: u64) -> Duration {
        match &self.meta.model {
            Some(_) => selection::typical_first_event(tokens_ahead + self.prompt_tokens()),
            None => self.grant.route.objective.mul_f64(TYPICAL_OBJECTIVE_SHARE),
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.is_finished {
            metrics::counter!("chivelatch_callers_left_total").increment(1);
            log::info!(
                event = Event::CallerLeft, request = &*self.meta.id, sends = self.attempts,
                runs = self.runs;
                "the client disconnected before its response was complete"
            );
            if let Some(server) = self.server.take() {
                let (attempt, trial) = self.take_attempt();
                let (entry, request) = (Arc::clone(&self.entry), self.meta.id.clone());
                self.entry.kernel.spawn_detached(async move {
                    entry.examine_abandoned(request, server, attempt).await;
                    drop(trial);
                });
            }
        }
    }
}
