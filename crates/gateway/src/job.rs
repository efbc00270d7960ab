//! A request that the configuration allows, through as many servers as it takes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use front::body::Body;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::CONTENT_LENGTH,
    http::{request, response},
};

use kernel::event::Event;
use services::{http::MAX_RESPONSE_BYTES, pool::Connection};
use serving::{Moment, Name, directory::Listing, manifest::Grant, selection};

use crate::{
    answer::{self, Rejection, check, end_to_end},
    entry::Entry,
    exchange::{self, Failure, Refusal, Reply},
    flight::Flight,
    ports::{Ask, Marks, Onward, Tried},
    serve::START_PAUSE,
};

/// Tokens that a request is taken to read where it does not say.
const DEFAULT_PROMPT_TOKENS: u64 = 500;
/// Silence, as a multiple of the objective, after which a request that may run again is sent
/// to another server.
const SILENCE_FACTOR: u32 = 2;
/// Urgencies that routes have: an account's urgency goes before them.
const URGENCIES_OF_ROUTES: u8 = 3;
/// Part of a plain route's objective that an answer usually takes.
const PLAIN_SHARE: f64 = 0.25;

/// A request that the configuration allows, with what was done for it.
pub struct Job {
    pub ask: Ask,
    /// Identifier of the last event that the caller has.
    pub last_event: Option<Bytes>,
    pub parts: request::Parts,
    pub body: Bytes,
    pub grant: Grant,
    pub arrived: Moment,
    /// When the answer is due.
    pub end: Moment,
    pub charge: Option<(u64, Moment)>,
    pub tried: Tried,
    /// Sends that may have run.
    pub runs: u32,
    pub sends: u32,
    pub is_late: bool,
    /// Answered or refused.
    is_over: bool,
}

/// A request that was sent and answered so far.
pub struct Sent {
    pub head: response::Parts,
    pub marks: Marks,
    pub body: Incoming,
    pub connection: Connection,
    pub flight: Flight,
    pub server: Name,
}

impl Job {
    /// A request that arrived at `arrived` and is due at `end`.
    pub fn new(
        ask: Ask,
        parts: request::Parts,
        body: Bytes,
        grant: Grant,
        arrived: Moment,
        end: Moment,
    ) -> Job {
        Job {
            ask,
            last_event: None,
            parts,
            body,
            grant,
            arrived,
            end,
            charge: None,
            tried: Tried::new(),
            runs: 0,
            sends: 0,
            is_late: false,
            is_over: false,
        }
    }

    /// Time until the answer is due.
    pub fn left(&self, entry: &Entry) -> Duration {
        self.end.saturating_sub(entry.now())
    }

    /// Longest pause between events that callers expect.
    pub fn pause(&self) -> Duration {
        self.grant.route.pause.unwrap_or(self.grant.route.objective)
    }

    pub fn may_rerun(&self) -> bool {
        self.grant.route.retry_policy.can_rerun()
    }

    /// Whether the route allows one more server to run the request.
    pub fn may_send_again(&self) -> bool {
        self.may_rerun() && self.runs < self.grant.route.attempts
    }

    /// Sends a stream's request until one server gives a first piece.
    pub async fn open(&mut self, entry: &Arc<Entry>) -> Result<(Sent, Bytes), Rejection> {
        loop {
            let mut sent = self.send_until_taken(entry).await?;
            match self.first_piece(entry, &mut sent).await {
                Ok(piece) => {
                    sent.flight.read();
                    return Ok((sent, piece));
                }
                Err(failure) => self.note_broken(entry, &sent.server, &failure)?,
            }
        }
    }

    /// Sends a plain request until one server gives a whole answer.
    pub async fn fetch(&mut self, entry: &Arc<Entry>) -> Result<Response<Body>, Rejection> {
        let mut failed: Option<Response<Body>> = None;
        loop {
            let sent = match self.send_until_taken(entry).await {
                Ok(sent) => sent,
                Err(rejection) => return failed.ok_or(rejection),
            };
            let server = sent.server.clone();
            match self.whole(entry, sent).await {
                Ok(response) if response.status().is_server_error() && self.may_send_again() => {
                    log::info!(
                        event = Event::ServerError, request = &*self.ask.id, server = &*server,
                        status = response.status().as_u16();
                        "the server failed the request; another one is tried"
                    );
                    self.tried.push(server);
                    failed = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(failure) => {
                    if let Err(rejection) = self.note_broken(entry, &server, &failure) {
                        return failed.ok_or(rejection);
                    }
                }
            }
        }
    }

    /// Sends until a server has taken the request; its answer's head is there.
    async fn send_until_taken(&mut self, entry: &Arc<Entry>) -> Result<Sent, Rejection> {
        loop {
            let (server, tokens_ahead) = self.select(entry).await?;
            if 0 < self.sends && !self.take_repeat(entry, &server) {
                return Err(self.given_up("the budget of repeats is used up", START_PAUSE));
            }
            match self.send(entry, &server, tokens_ahead).await {
                Ok(sent) => {
                    self.runs += 1;
                    return Ok(sent);
                }
                Err(failure) => self.note_failure(entry, &server, &failure)?,
            }
        }
    }

    async fn send(
        &mut self,
        entry: &Arc<Entry>,
        server: &Listing,
        tokens_ahead: u64,
    ) -> Result<Sent, Failure> {
        let left = self.left(entry);
        let flight = Flight::new(entry, server, self, tokens_ahead);
        let request = self.onward(entry, server, left);
        log::info!(
            event = Event::Sent, request = &*self.ask.id, server = &*server.id,
            left_ms = left.as_millis() as u64, tokens_ahead, sends = self.sends,
            account = self.account(), units = self.charge.map_or(0, |(units, _)| units);
            "sent to a server"
        );
        metrics::counter!("chivelatch_sends_total").increment(1);
        self.sends += 1;
        let Reply { head, marks, body, connection } = exchange::send(
            &entry.kernel,
            &entry.pool,
            &entry.dialect,
            server,
            &self.ask.id,
            request,
            self.try_limit(entry, self.runs + 1),
        )
        .await
        .map_err(|failure| match failure {
            Failure::Late => self.overdue(entry),
            failure => failure,
        })?;
        Ok(Sent { head, marks, body, connection, flight, server: server.id.clone() })
    }

    fn onward(&self, entry: &Entry, server: &Listing, left: Duration) -> Request<Full<Bytes>> {
        let onward = Onward {
            server: server.id.clone(),
            left,
            account: self.grant.account.as_ref().map(|account| account.name.clone()),
            urgency: self.ask.model.is_some().then(|| self.urgency()),
            last_event: self.last_event.clone(),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = (entry.dialect.onward)(&self.parts, &onward);
        request
    }

    /// Reads a plain answer to its end.
    async fn whole(&mut self, entry: &Entry, sent: Sent) -> Result<Response<Body>, Failure> {
        let Sent { head, marks, body, connection, mut flight, server } = sent;
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let body = entry.kernel.clock.timeout(self.try_limit(entry, self.runs), body).await;
        let body = body.map_err(|_| self.overdue(entry))?;
        let body = body.map_err(|error| Failure::Broken { reason: error.to_string() })?;
        check(&head, &marks)?;
        flight.read();
        flight.end();
        if !marks.closes {
            entry.pool.release(connection, marks.keep_alive);
        }
        entry.note_answer(&server, head.status.is_server_error());
        let bytes = body.to_bytes();
        self.log_end(entry, answer::outcome(head.status), bytes.len() as u64, &server);
        let mut headers = end_to_end(&head.headers);
        headers.remove(CONTENT_LENGTH);
        let body = Full::new(bytes).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Waits for the first piece of a stream; a failed one may have an empty body.
    async fn first_piece(&self, entry: &Entry, sent: &mut Sent) -> Result<Bytes, Failure> {
        check(&sent.head, &sent.marks)?;
        let frame =
            entry.kernel.clock.timeout(self.try_limit(entry, self.runs), sent.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None) => Ok(Bytes::new()),
            Ok(Some(Err(error))) => Err(Failure::Broken { reason: error.to_string() }),
            Err(_) => Err(self.overdue(entry)),
        }
    }

    /// Time that this try may take: with another one allowed, silence is not waited out.
    fn try_limit(&self, entry: &Entry, tries: u32) -> Duration {
        let left = self.left(entry);
        if !self.may_rerun() || self.grant.route.attempts <= tries {
            return left;
        }
        left.min(self.grant.route.objective * SILENCE_FACTOR)
    }

    fn overdue(&self, entry: &Entry) -> Failure {
        if self.left(entry).is_zero() {
            return Failure::Late;
        }
        Failure::Broken { reason: "the server stays silent".to_owned() }
    }

    /// Decides after a send that no server took.
    fn note_failure(
        &mut self,
        entry: &Entry,
        server: &Listing,
        failure: &Failure,
    ) -> Result<(), Rejection> {
        if !failure.is_without_effect() {
            self.runs += 1;
            return self.note_broken(entry, &server.id, failure);
        }
        metrics::counter!("chivelatch_not_run_total").increment(1);
        log::info!(
            event = Event::NotRun, request = &*self.ask.id, server = &*server.id;
            "{failure}"
        );
        match failure {
            Failure::NotRun { reason: Refusal::AdapterMissing, .. } => {
                self.forget_adapter(entry, server);
                return Ok(());
            }
            Failure::Unreachable { .. } => {
                self.sends -= 1;
                entry.pool.close_idle(server.address);
                entry.note_failure(&server.id);
            }
            _ => entry.note_failure(&server.id),
        }
        self.tried.push(server.id.clone());
        Ok(())
    }

    /// Decides after a server took the request and gave no usable answer.
    fn note_broken(
        &mut self,
        entry: &Entry,
        server: &Name,
        failure: &Failure,
    ) -> Result<(), Rejection> {
        metrics::counter!("chivelatch_broken_total").increment(1);
        log::warn!(
            event = Event::Broken, request = &*self.ask.id, server = &**server,
            runs = self.runs;
            "{failure}"
        );
        self.is_late |= matches!(failure, Failure::Late);
        if !self.is_late {
            entry.note_failure(server);
        }
        self.tried.push(server.clone());
        if self.is_late || !self.may_send_again() {
            return Err(self.given_up("the server gave no answer", START_PAUSE));
        }
        Ok(())
    }

    /// The server said that it does not hold the adapter after all.
    fn forget_adapter(&self, entry: &Entry, server: &Listing) {
        let Some(adapter) = self.ask.model.as_ref().and_then(|model| model.adapter.as_ref()) else {
            return;
        };
        let host = server.address.ip();
        entry.sightings.with(&host, |sightings| {
            if let Some(sighting) = sightings.get_mut(&host) {
                let status = Arc::make_mut(&mut sighting.status);
                status.adapters.retain(|(name, _)| name != adapter);
            }
        });
    }

    /// Charges the client account.
    pub fn charge(&mut self, entry: &Entry) -> Result<(), Rejection> {
        let Some(account) = &self.grant.account else { return Ok(()) };
        let units = account.units(self.ask.tokens.map(|(prompt, output)| prompt + output));
        let now = entry.now();
        match entry.ledger.lock().acquire(now, account, units) {
            Ok(()) => {
                self.charge = Some((units, now));
                Ok(())
            }
            Err(wait) => {
                log::info!(
                    event = Event::OverRate, request = &*self.ask.id, account = &*account.name, units,
                    rate = account.rate, burst = account.burst;
                    "the client account's rate is used up"
                );
                Err(Rejection {
                    status: StatusCode::TOO_MANY_REQUESTS,
                    reason: "the client account's rate is used up",
                    retry_after: Some(wait),
                })
            }
        }
    }

    fn take_repeat(&self, entry: &Entry, server: &Listing) -> bool {
        let now = entry.now();
        let instances = entry.ledger.lock().instance_count(now);
        let terms = &entry.tunable().repeats;
        entry.budgets.with(&server.service, |budgets| {
            budgets.entry(server.service.clone()).or_default().try_spend(now, terms, instances)
        })
    }

    /// The final answer: a promise only where nothing can have run.
    pub fn given_up(&self, reason: &'static str, retry_after: Duration) -> Rejection {
        if self.runs == 0 {
            return Rejection::later(reason, retry_after);
        }
        let status =
            if self.is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Rejection::plain(status, reason)
    }

    pub fn refuse(&mut self, entry: &Entry, rejection: &Rejection) -> Response<Body> {
        self.is_over = true;
        if let (0, Some((units, at)), Some(account)) =
            (self.runs, self.charge.take(), &self.grant.account)
        {
            entry.ledger.lock().refund(entry.now(), account, units, at);
        }
        answer::log_refusal(&self.ask, rejection, entry.now().saturating_sub(self.arrived));
        answer::respond(entry, Some(&self.ask.id), rejection)
    }

    pub fn log_end(&mut self, entry: &Entry, outcome: &'static str, bytes: u64, server: &Name) {
        self.is_over = true;
        let took = entry.now().saturating_sub(self.arrived);
        metrics::histogram!("chivelatch_request_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        log::info!(
            event = Event::Ended, request = &*self.ask.id, server = &**server, outcome, bytes,
            took_ms = took.as_millis() as u64;
            "answered"
        );
    }

    fn account(&self) -> &str {
        self.grant.account.as_ref().map_or("", |account| &account.name)
    }

    pub fn urgency(&self) -> u8 {
        let of_account = self.grant.account.as_ref().and_then(|account| account.urgency);
        of_account.unwrap_or(0).saturating_mul(URGENCIES_OF_ROUTES) + self.grant.route.urgency
    }

    pub fn prompt_tokens(&self) -> u64 {
        self.ask.tokens.map_or(DEFAULT_PROMPT_TOKENS, |(prompt, _)| prompt)
    }

    pub fn usual(&self, tokens_ahead: u64) -> Duration {
        match &self.ask.model {
            Some(_) => selection::typical_first_event(tokens_ahead + self.prompt_tokens()),
            None => self.grant.route.objective.mul_f64(PLAIN_SHARE),
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.is_over {
            metrics::counter!("chivelatch_callers_left_total").increment(1);
            log::info!(
                event = Event::CallerLeft, request = &*self.ask.id, sends = self.sends,
                runs = self.runs;
                "the caller left before its answer was whole"
            );
        }
    }
}
