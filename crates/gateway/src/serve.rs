//! One request of a caller from its head to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use front::body::{self, Body, BodyError};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, RETRY_AFTER},
    http::{request, response},
};

use services::pool::Connection;
use serving::{
    Moment, Name,
    directory::Listing,
    manifest::{Denial, Grant, Manifest},
    rejection,
    selection::{self, Adapter, Candidate},
};

use crate::{
    entry::Entry,
    exchange::{self, Failure, Refusal, Reply},
    ports::{Ask, Marks, Model, Onward, Tried},
    relay::Relay,
    roster::Server,
};

/// Largest plain answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Homes of an adapter: one, so that the engines together remember the most of them.
const HOMES: usize = 1;
/// A side process that is silent for longer loads nothing.
const SIDE_SILENCE: Duration = Duration::from_millis(1500);
/// Time for which a caller is asked to wait while this instance knows no configuration.
const START_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for an adapter before the choice is made anew.
const RESIDENCY_PAUSE: Duration = Duration::from_millis(100);
/// Time that callers wait where they do not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Tokens that a request is taken to read where it does not say.
const DEFAULT_PROMPT_TOKENS: u64 = 500;
/// Time that a caller's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of a plain route's objective that an answer usually takes.
const PLAIN_SHARE: f64 = 0.25;

/// A request that the configuration allows, with what was done for it.
pub struct Job {
    pub ask: Ask,
    /// Identifier of the last event that the caller has.
    pub last_event: Option<Bytes>,
    parts: request::Parts,
    body: Bytes,
    grant: Grant,
    arrived: Moment,
    /// When the answer is due.
    end: Moment,
    charge: Option<(u64, Moment)>,
    tried: Tried,
    /// Sends that may have run.
    runs: u32,
    sends: u32,
    is_late: bool,
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

/// Counts as work in flight at a server until dropped.
pub struct Flight {
    entry: Arc<Entry>,
    server: Name,
    adapter: Option<Name>,
    tokens: u64,
    sent_at: Moment,
    usual: Duration,
    is_read: bool,
    is_over: bool,
}

/// A request's wish for an adapter on a server, until dropped.
struct Want {
    entry: Arc<Entry>,
    server: Name,
    key: (Name, Name, u64),
}

/// Why a request gets no answer of a server.
#[derive(Debug)]
pub struct Rejection {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
}

enum Selection {
    Send { server: Listing, tokens_ahead: u64 },
    AwaitAdapter { server: Listing },
    Refuse { retry_after: Duration, reason: &'static str },
}

/// Answers one request.
pub async fn serve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let answer = match accept(&entry, parts, body).await {
        Ok(job) => run(&entry, job).await,
        Err(response) => response,
    };
    with_connection_header(&entry, answer)
}

/// Reads and checks a request.
async fn accept(
    entry: &Arc<Entry>,
    parts: request::Parts,
    body: Incoming,
) -> Result<Job, Response<Body>> {
    let arrived = entry.now();
    let ask = (entry.dialect.ask)(&parts).map_err(|error| {
        log::info!(event = "refused", status = 400; "{error}");
        respond(entry, None, &Rejection::plain(StatusCode::BAD_REQUEST, error.reason))
    })?;
    let refuse = |rejection: Rejection| {
        log_refusal(&ask, &rejection, entry.now().saturating_sub(arrived));
        respond(entry, Some(&ask.id), &rejection)
    };
    let Some(manifest) = entry.manifest() else {
        return Err(refuse(Rejection::later("no configuration yet", START_PAUSE)));
    };
    let grant = authorize(&manifest, &ask, &parts).map_err(refuse)?;
    let limits = &manifest.limits;
    let body = body::read(&entry.kernel.clock, body, limits.body_bytes, BODY_TIMEOUT).await;
    let body = body.map_err(|error| {
        let status = match error {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
        };
        refuse(Rejection::plain(status, "the body was not taken"))
    })?;
    let patience = ask.patience.unwrap_or(DEFAULT_PATIENCE);
    let limit = grant.route.timeout.map_or(patience, |timeout| timeout.min(patience));
    Ok(Job {
        end: arrived + limit,
        ask,
        last_event: None,
        parts,
        body,
        grant,
        arrived,
        charge: None,
        tried: Tried::new(),
        runs: 0,
        sends: 0,
        is_late: false,
    })
}

fn authorize(manifest: &Manifest, ask: &Ask, parts: &request::Parts) -> Result<Grant, Rejection> {
    let grant = manifest.grant(&ask.host, parts.uri.path(), ask.key.as_deref());
    grant.map_err(|denial| match denial {
        Denial::UnknownRoute => Rejection::plain(StatusCode::NOT_FOUND, "no such route"),
        Denial::UnknownKey => Rejection::plain(StatusCode::UNAUTHORIZED, "unknown key"),
    })
}

/// Runs an accepted request to its answer, or to the head of its stream.
async fn run(entry: &Arc<Entry>, mut job: Job) -> Response<Body> {
    if let Err(rejection) = job.charge(entry) {
        return job.refuse(entry, &rejection);
    }
    if job.grant.route.repetition.is_stream() {
        return match job.open(entry).await {
            Ok((sent, first)) => stream_answer(entry, job, sent, first).await,
            Err(rejection) => job.refuse(entry, &rejection),
        };
    }
    match job.fetch(entry).await {
        Ok(response) => response,
        Err(rejection) => job.refuse(entry, &rejection),
    }
}

async fn stream_answer(entry: &Arc<Entry>, job: Job, sent: Sent, first: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = sent.head.status;
    *response.headers_mut() = end_to_end(&sent.head.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    *response.body_mut() = Relay::new(entry, job, sent, first).into_body();
    response
}

impl Job {
    /// Time until the answer is due.
    pub fn left(&self, entry: &Entry) -> Duration {
        self.end.saturating_sub(entry.now())
    }

    /// Longest pause between events that callers expect.
    pub fn pause(&self) -> Duration {
        self.grant.route.pause.unwrap_or(self.grant.route.objective)
    }

    pub fn may_rerun(&self) -> bool {
        self.grant.route.repetition.may_rerun()
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
    async fn fetch(&mut self, entry: &Arc<Entry>) -> Result<Response<Body>, Rejection> {
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
                        event = "server_error", request = &*self.ask.id, server = &*server,
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

    /// Waits until a server can run the request.
    async fn select(&mut self, entry: &Arc<Entry>) -> Result<(Listing, u64), Rejection> {
        let mut want: Option<Want> = None;
        let began = entry.now();
        loop {
            self.authorize_again(entry)?;
            let changed = entry.residency.listen();
            let wanted = want.as_ref().map(|want| want.server.clone());
            match self.selection(entry, wanted.as_ref(), began) {
                Selection::Send { server, tokens_ahead } => return Ok((server, tokens_ahead)),
                Selection::Refuse { retry_after, reason } => {
                    return Err(self.given_up(reason, retry_after));
                }
                Selection::AwaitAdapter { server } => {
                    if wanted.as_ref() != Some(&server.id) {
                        want = Want::new(entry, &server, self.ask.model.as_ref());
                    }
                }
            }
            let limit = self.left(entry).min(RESIDENCY_PAUSE);
            let _again_either_way = entry.kernel.clock.timeout(limit, changed).await;
        }
    }

    /// The configuration may have changed since the request came.
    fn authorize_again(&mut self, entry: &Entry) -> Result<(), Rejection> {
        let Some(manifest) = entry.manifest() else { return Ok(()) };
        match authorize(&manifest, &self.ask, &self.parts) {
            Ok(grant) => {
                self.grant = grant;
                Ok(())
            }
            Err(rejection) if self.runs == 0 => Err(rejection),
            Err(_) => Err(self.given_up("the configuration changed", START_PAUSE)),
        }
    }

    fn selection(&self, entry: &Entry, wanted: Option<&Name>, began: Moment) -> Selection {
        let now = entry.now();
        if self.end <= now {
            return Selection::Refuse { retry_after: START_PAUSE, reason: "no time is left" };
        }
        let draw = placement::rendezvous::seed(&self.ask.id);
        let Some(service) = self.grant.route.target(draw) else {
            return Selection::Refuse {
                retry_after: START_PAUSE,
                reason: "the route has no service",
            };
        };
        let roster = entry.roster();
        let servers = roster.servers(service);
        let open = servers.iter().filter(|server| !self.tried.contains(&server.id));
        let open: Vec<&Listing> = open.collect();
        if open.is_empty() {
            return Selection::Refuse { retry_after: START_PAUSE, reason: "no server is left" };
        }
        let model = self.ask.model.as_ref().filter(|_| self.is_for_engine(entry, service));
        let Some(model) = model else { return self.plain_selection(entry, &open, now) };
        let version = entry.version(model);
        let adapter = model.adapter.as_deref().unwrap_or(&model.base);
        let homes = roster.homes(service, adapter, HOMES);
        let is_home = |id: &Name| homes.iter().any(|index| servers[*index].id == *id);
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|listing| {
                entry.with_server(&listing.id, |server| {
                    let mut candidate = candidate(entry, listing, server, now);
                    candidate.adapter = residency(listing, server, model, version, now);
                    let is_missing = matches!(candidate.adapter, Adapter::Foreign | Adapter::Warm);
                    if wanted == Some(&listing.id) && is_missing {
                        candidate.adapter = Adapter::Pending;
                    }
                    if candidate.adapter == Adapter::Foreign && is_home(&listing.id) {
                        candidate.adapter = Adapter::Home;
                    }
                    candidate
                })
            })
            .collect();
        let Some(choice) = selection::engine(self.prompt_tokens(), &candidates) else {
            return Selection::Refuse {
                retry_after: START_PAUSE,
                reason: "no server has the model",
            };
        };
        let limit = rejection::limit(&self.grant.route, self.urgency(), self.left(entry));
        let expected = choice.expected + now.saturating_sub(began);
        if limit < expected {
            let retry_after = rejection::retry_after(expected, limit);
            return Selection::Refuse { retry_after, reason: "the servers are busy for too long" };
        }
        let server = open[choice.index].clone();
        match candidates[choice.index].adapter {
            Adapter::Present => {
                Selection::Send { server, tokens_ahead: candidates[choice.index].tokens }
            }
            _ => Selection::AwaitAdapter { server },
        }
    }

    fn plain_selection(&self, entry: &Entry, open: &[&Listing], now: Moment) -> Selection {
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|listing| {
                entry.with_server(&listing.id, |server| candidate(entry, listing, server, now))
            })
            .collect();
        match selection::plain(&candidates) {
            Some(index) => Selection::Send { server: open[index].clone(), tokens_ahead: 0 },
            None => Selection::Refuse { retry_after: START_PAUSE, reason: "no server is left" },
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
            event = "sent", request = &*self.ask.id, server = &*server.id,
            left_ms = left.as_millis() as u64, tokens_ahead, sends = self.sends,
            account = self.account(), units = self.charge.map_or(0, |(units, _)| units);
            "sent to a server"
        );
        self.sends += 1;
        let Reply { head, marks, body, connection } = exchange::send(
            &entry.kernel,
            &entry.pool,
            &entry.dialect,
            server,
            &self.ask.id,
            request,
            left,
        )
        .await?;
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
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = entry.kernel.clock.timeout(self.left(entry), body).await;
        let body = body.map_err(|_| Failure::Late)?;
        let body = body.map_err(|error| Failure::Broken { reason: error.to_string() })?;
        check(&head, &marks)?;
        flight.read();
        flight.end();
        if !marks.closes {
            entry.pool.give_back(connection, marks.keep_alive);
        }
        if head.status.is_success() {
            entry.note_success(&server);
        }
        let bytes = body.to_bytes();
        self.log_end(entry, outcome(head.status), bytes.len() as u64, &server);
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
        let frame = entry.kernel.clock.timeout(self.left(entry), sent.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(None) => Ok(Bytes::new()),
            Ok(Some(Err(error))) => Err(Failure::Broken { reason: error.to_string() }),
            Err(_) => Err(Failure::Late),
        }
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
        log::info!(
            event = "not_run", request = &*self.ask.id, server = &*server.id;
            "{failure}"
        );
        match failure {
            Failure::NotRun { reason: Refusal::AdapterMissing, .. } => {
                self.forget_adapter(entry, &server.id);
                return Ok(());
            }
            Failure::Unreachable { .. } => {
                self.sends -= 1;
                entry.pool.forget(server.address);
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
        log::warn!(
            event = "broken", request = &*self.ask.id, server = &**server,
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
    fn forget_adapter(&self, entry: &Entry, server: &Name) {
        let Some(adapter) = self.ask.model.as_ref().and_then(|model| model.adapter.as_ref()) else {
            return;
        };
        entry.with_server(server, |state| {
            if let Some((_, status)) = &mut state.status {
                status.adapters.retain(|(name, _)| name != adapter);
            }
        });
    }

    /// Charges the client account.
    fn charge(&mut self, entry: &Entry) -> Result<(), Rejection> {
        let Some(account) = &self.grant.account else { return Ok(()) };
        let units = account.units(self.ask.tokens.map(|(prompt, output)| prompt + output));
        let now = entry.now();
        match entry.ledger.lock().take(now, account, units) {
            Ok(()) => {
                self.charge = Some((units, now));
                Ok(())
            }
            Err(wait) => {
                log::info!(
                    event = "over_rate", request = &*self.ask.id, account = &*account.name, units,
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
        let instances = entry.ledger.lock().instances(now);
        let terms = &entry.settings.repeats;
        entry.budgets.with(&server.service, |budgets| {
            budgets.entry(server.service.clone()).or_default().take(now, terms, instances)
        })
    }

    /// The final answer: a promise only where nothing can have run.
    fn given_up(&self, reason: &'static str, retry_after: Duration) -> Rejection {
        if self.runs == 0 {
            return Rejection::later(reason, retry_after);
        }
        let status =
            if self.is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Rejection::plain(status, reason)
    }

    fn refuse(&mut self, entry: &Entry, rejection: &Rejection) -> Response<Body> {
        if let (0, Some((units, at)), Some(account)) =
            (self.runs, self.charge.take(), &self.grant.account)
        {
            entry.ledger.lock().refund(entry.now(), account, units, at);
        }
        log_refusal(&self.ask, rejection, entry.now().saturating_sub(self.arrived));
        respond(entry, Some(&self.ask.id), rejection)
    }

    pub fn log_end(&self, entry: &Entry, outcome: &'static str, bytes: u64, server: &Name) {
        let took = entry.now().saturating_sub(self.arrived);
        metrics::histogram!("chivelatch_request_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        log::info!(
            event = "ended", request = &*self.ask.id, server = &**server, outcome, bytes,
            took_ms = took.as_millis() as u64;
            "answered"
        );
    }

    fn is_for_engine(&self, entry: &Entry, service: &str) -> bool {
        let manifest = entry.manifest();
        let service = manifest.as_ref().and_then(|manifest| manifest.services.get(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn account(&self) -> &str {
        self.grant.account.as_ref().map_or("", |account| &account.name)
    }

    fn urgency(&self) -> u8 {
        let of_account = self.grant.account.as_ref().and_then(|account| account.urgency);
        of_account.unwrap_or(self.grant.route.urgency)
    }

    fn prompt_tokens(&self) -> u64 {
        self.ask.tokens.map_or(DEFAULT_PROMPT_TOKENS, |(prompt, _)| prompt)
    }

    fn usual(&self, tokens_ahead: u64) -> Duration {
        match &self.ask.model {
            Some(_) => selection::usual(tokens_ahead + self.prompt_tokens()),
            None => self.grant.route.objective.mul_f64(PLAIN_SHARE),
        }
    }
}

impl Flight {
    fn new(entry: &Arc<Entry>, server: &Listing, job: &Job, tokens_ahead: u64) -> Flight {
        let tokens = job.ask.model.as_ref().map_or(0, |_| job.prompt_tokens());
        let adapter = job.ask.model.as_ref().and_then(|model| model.adapter.clone());
        let now = entry.now();
        entry.with_server(&server.id, |state| {
            state.backlog.begin(tokens);
            if let Some(adapter) = &adapter {
                *state.in_flight.entry(adapter.clone()).or_default() += 1;
                state.used.push(adapter.clone());
            }
        });
        if job.sends == 0 {
            let terms = &entry.settings.repeats;
            entry.budgets.with(&server.service, |budgets| {
                budgets.entry(server.service.clone()).or_default().request(now, terms);
            });
        }
        Flight {
            entry: Arc::clone(entry),
            server: server.id.clone(),
            adapter,
            tokens,
            sent_at: now,
            usual: job.usual(tokens_ahead),
            is_read: false,
            is_over: false,
        }
    }

    /// The first event is there: the prompt is read.
    pub fn read(&mut self) {
        let now = self.entry.now();
        let seen = now.saturating_sub(self.sent_at);
        let (tokens, usual) = (self.tokens, self.usual);
        self.entry.with_server(&self.server, |state| {
            state.backlog.read(tokens);
            state.backlog.observe(now, usual, seen);
        });
        self.is_read = true;
    }

    /// The request is over at this server.
    pub fn end(&mut self) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let unread = if self.is_read { 0 } else { self.tokens };
        self.entry.with_server(&self.server, |state| {
            state.backlog.read(unread);
            state.backlog.end();
            let Some(adapter) = &self.adapter else { return };
            if let Some(count) = state.in_flight.get_mut(adapter) {
                *count = count.saturating_sub(1);
            }
            state.in_flight.retain(|_, count| 0 < *count);
        });
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end();
    }
}

impl Want {
    fn new(entry: &Arc<Entry>, server: &Listing, model: Option<&Model>) -> Option<Want> {
        let model = model?;
        let adapter = model.adapter.clone()?;
        let key = (model.base.clone(), adapter, entry.version(model));
        entry.with_server(&server.id, |state| {
            *state.wants.entry(key.clone()).or_default() += 1;
        });
        log::info!(
            event = "want", server = &*server.id, adapter = &*key.1, version = key.2;
            "a request waits for an adapter"
        );
        entry.guidance.notify(usize::MAX);
        Some(Want { entry: Arc::clone(entry), server: server.id.clone(), key })
    }
}

impl Drop for Want {
    fn drop(&mut self) {
        self.entry.with_server(&self.server, |state| {
            if let Some(count) = state.wants.get_mut(&self.key) {
                *count = count.saturating_sub(1);
            }
            state.wants.retain(|_, count| 0 < *count);
        });
    }
}

impl Rejection {
    fn plain(status: StatusCode, reason: &'static str) -> Rejection {
        Rejection { status, reason, retry_after: None }
    }

    fn later(reason: &'static str, retry_after: Duration) -> Rejection {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejection { status, reason, retry_after: Some(retry_after) }
    }
}

/// What is known of a server, without the adapter.
fn candidate(entry: &Entry, listing: &Listing, server: &Server, now: Moment) -> Candidate {
    Candidate {
        adapter: Adapter::Present,
        tokens: server.backlog.tokens(now),
        requests: server.backlog.requests(now),
        slots: listing.slots,
        pace: server.backlog.pace(now),
        is_same_zone: listing.zone == entry.settings.zone,
        is_suspect: now < server.suspect_until,
    }
}

/// Where a model is, seen from one server.
fn residency(
    listing: &Listing,
    server: &Server,
    model: &Model,
    version: u64,
    now: Moment,
) -> Adapter {
    let status = server.status.as_ref().filter(|(_, status)| status.born_ms == listing.born_ms);
    let Some((at, status)) = status else {
        let is_listed = model.adapter.is_none() && listing.models.contains(&model.base);
        return if is_listed { Adapter::Present } else { Adapter::Unreachable };
    };
    if !status.models.contains(&model.base) {
        return Adapter::Unreachable;
    }
    let Some(adapter) = &model.adapter else { return Adapter::Present };
    let holds =
        |list: &[(Name, u64)]| list.iter().any(|(name, held)| name == adapter && version <= *held);
    if holds(&status.adapters) {
        return Adapter::Present;
    }
    if *at + SIDE_SILENCE < now {
        return Adapter::Unreachable;
    }
    if holds(&status.pending) {
        Adapter::Pending
    } else if holds(&status.recent) {
        Adapter::Warm
    } else {
        Adapter::Foreign
    }
}

/// A success counts only with the server's signature and as it was made.
fn check(head: &response::Parts, marks: &Marks) -> Result<(), Failure> {
    if head.status.is_success() && !marks.is_signed {
        return Err(Failure::Broken { reason: "a success without a signature".to_owned() });
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Broken { reason: "an encoding that nobody asked for".to_owned() });
    }
    Ok(())
}

fn outcome(status: StatusCode) -> &'static str {
    if status.is_success() { "complete" } else { "failed_by_server" }
}

/// The headers without those of one connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const OF_CONNECTION: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = OF_CONNECTION.contains(&name.as_str())
            || named.iter().any(|named| named == name.as_str());
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn respond(entry: &Entry, id: Option<&Name>, rejection: &Rejection) -> Response<Body> {
    let mut response = body::whole(rejection.status, "text/plain", rejection.reason);
    let headers = response.headers_mut();
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(entry.dialect.request_id.clone(), id);
    }
    if let Some(wait) = rejection.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        headers.insert(RETRY_AFTER, seconds.parse().expect("digits are a valid header value"));
    }
    response
}

fn log_refusal(ask: &Ask, rejection: &Rejection, held: Duration) {
    let status = rejection.status.as_u16();
    metrics::counter!("chivelatch_refusals_total", "status" => status.to_string()).increment(1);
    log::info!(
        event = "refused", request = &*ask.id, status, reason = rejection.reason,
        held_ms = held.as_millis() as u64,
        retry_after_ms = rejection.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "refused"
    );
}

fn with_connection_header(entry: &Entry, mut response: Response<Body>) -> Response<Body> {
    if entry.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
