//! An authorized request and its attempts.
//!
//! A request that certainly did not run is sent again while its deadline, the
//! retry budget and the servers allow it. One that may have run is sent again
//! only if its route's retry policy and number of attempts allow that, too.

mod attempt;
mod failure;
pub mod held;
pub mod opened;
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
    body::{self, Tail},
    pool::Connection,
};
use serving::{Moment, Name, directory::Listing, manifest::Grant, origin::Progress, selection};
use smallvec::SmallVec;

use crate::{
    answer::{self, Rejection, end_to_end},
    end::End,
    entry::Entry,
    exchange::SentFlag,
    in_flight::InFlight,
    job::{
        attempt::{Unanswered, Whole},
        held::Held,
        opened::{Events, Opened},
    },
    ports::{self, RequestMeta, ResponseMeta, ServerNames},
    quarantine::{self, HeldTrial},
};

/// Assumed number of prompt tokens if the request does not state it.
const DEFAULT_PROMPT_TOKENS: u64 = 500;
/// Number of urgency levels of routes. The account's urgency takes precedence over them.
const ROUTE_URGENCY_LEVELS: u8 = 3;
/// Typical latency of a plain service, as a share of the route's objective.
const TYPICAL_OBJECTIVE_SHARE: f64 = 0.25;

/// Why a stream does not go on at a server that answered.
const NO_EVENTS: &str = "the other server failed the request, or had no event";

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
    /// Number of attempts that may have run, open ones included.
    pub runs: u32,
    /// Number of attempts, without those whose server was unreachable.
    pub attempts: u32,
    /// Whether an attempt was still running at the deadline.
    pub has_timed_out: bool,
    /// Trial of the current attempt, if the request is a suspect.
    pub trial: Option<HeldTrial>,
    /// Server of the current attempt.
    server: Option<Listing>,
    /// Whether the request of the current attempt was sent.
    sent: SentFlag,
    /// Attempts that are open beside the current one, since their servers are silent.
    held: SmallVec<[Held; 1]>,
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
            sent: SentFlag::default(),
            held: SmallVec::new(),
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

    /// Returns whether a stream that has begun may go on in another attempt.
    pub fn can_resume(&self) -> bool {
        self.can_retry() && self.progress != Progress::Unknown
    }

    /// Sends a stream's request until a server sends the first event, or a response of another kind; of a
    /// stream that cannot be resumed, the first chunk.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no further attempt is possible.
    pub async fn open_stream(&mut self, entry: &Arc<Entry>) -> Result<Opened, Rejection> {
        let reading = if self.can_rerun() { &attempt::RESUMABLE_STREAM } else { &attempt::STREAM };
        match self.run(entry, reading).await {
            Ok(opened) | Err(Unanswered::Failed(opened)) => Ok(opened),
            Err(Unanswered::Rejected(rejection)) => Err(rejection),
        }
    }

    /// Sends the request of a stream whose server was lost until another one sends the next event, or ends
    /// the stream, since there is none.
    ///
    /// # Errors
    ///
    /// Returns the reason if none does.
    pub async fn continue_stream(&mut self, entry: &Arc<Entry>) -> Result<Events, &'static str> {
        match self.open_stream(entry).await {
            Ok(Opened::Events(events)) => Ok(events),
            Ok(Opened::Response(_)) => Err(NO_EVENTS),
            Err(rejection) => Err(rejection.reason),
        }
    }

    /// Sends the request of a stream that has begun, and that a silent server still holds, until another
    /// server sends the next event.
    ///
    /// # Errors
    ///
    /// Returns the reason if none does.
    pub async fn open_beside(&mut self, entry: &Arc<Entry>) -> Result<Events, &'static str> {
        self.review_progress(entry, false).await;
        if !self.can_resume() {
            return Err("the version that began the stream is in doubt");
        }
        match self.run(entry, &attempt::RESUMABLE_STREAM).await {
            Ok(Opened::Events(events)) => Ok(events),
            Ok(Opened::Response(_)) => Err(NO_EVENTS),
            Err(unanswered) => Err(unanswered.reason()),
        }
    }

    /// Sends a plain request until a server sends a whole response. If no further attempt is
    /// possible, returns the last server error.
    ///
    /// # Errors
    ///
    /// Returns the rejection if there was no whole response.
    pub async fn fetch(&mut self, entry: &Arc<Entry>) -> Result<Response<Body>, Rejection> {
        match self.run(entry, &attempt::PLAIN).await {
            Ok(whole) | Err(Unanswered::Failed(whole)) => Ok(self.respond(entry, whole)),
            Err(Unanswered::Rejected(rejection)) => Err(rejection),
        }
    }

    /// Returns the response to the caller of a plain request.
    fn respond(&mut self, entry: &Entry, whole: Whole) -> Response<Body> {
        let Whole { head, body, framing, server } = whole;
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
        response
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
            let trial = self.trial.take();
            let sent = self.sent.clone();
            let current = self.server.take().map(|server| Held { server, trial, sent });
            for Held { server, trial, .. } in self.held.drain(..).chain(current) {
                let attempt = failure::attempt(&self.identity, trial.as_ref(), self.entry.now());
                let (entry, request) = (Arc::clone(&self.entry), self.meta.id.clone());
                self.entry.kernel.spawn_detached(async move {
                    entry.examine_abandoned(request, server, attempt).await;
                    drop(trial);
                });
            }
        }
    }
}
