//! Requests that are suspected of crashing the servers that run them (`fleet::suspect`).
//!
//! When the connection of an attempt breaks, this module finds out whether the server has crashed
//! (`serving::breakage`), and tells the other instances. A suspect runs only as a trial, granted by
//! one instance for each service.
//!
//! Architecture Invariant: the gate admits a request only with a [`Clearance`], and only this
//! module hands them out.

pub mod archive;

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fleet::{
    digest::Digest,
    suspect::{
        Decision, List, Record,
        trial::{Trial, Trials},
    },
};
use hyper::http::request;
use parking_lot::Mutex;

use kernel::event::Event;
use serving::{
    Moment, Name,
    breakage::{self, Attempt, Breakage, Step},
    directory::Listing,
    manifest::Grant,
};

use crate::{
    entry::Entry,
    gate::Issuer,
    job::Job,
    mesh,
    message::{Message, TrialReply, TrialRequest},
    replies::Replies,
};

/// Reason for the rejection of a request in quarantine.
pub const REASON: &str =
    "the request crashed the servers that ran it; do not send it again unchanged";
/// Time for which a suspect is kept after its last crash, and length of the first quarantine.
const RETENTION: Duration = Duration::from_secs(600);
/// Time after its start for which an instance waits to learn which requests are in quarantine.
pub const SETTLING_PERIOD: Duration = Duration::from_millis(300);
/// Time in which a live server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the server of an attempt that its caller left is examined.
const ABANDONED_DELAY: Duration = Duration::from_millis(100);
/// Time after which a request for a trial counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest trial.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(60);
/// Requests for a trial after which this instance grants it itself. An innocent request must not
/// depend on one peer.
const MAX_TRIAL_REQUESTS: usize = 2;

/// What an instance knows of suspects and their trials.
pub struct Quarantine {
    pub list: Mutex<List>,
    pub breakage: Mutex<Breakage>,
    /// Trials of the services for which this instance grants them.
    trials: Mutex<Trials>,
    replies: Replies<TrialReply>,
    /// Notified when a broken attempt was examined.
    examined: event_listener::Event,
    /// Notified when a quarantine started or ended.
    judged: event_listener::Event,
    /// Whether a peer has told which requests are in quarantine.
    is_informed: AtomicBool,
    /// Whether those in the store were read.
    is_archive_read: AtomicBool,
}

/// Proof that a request may run on a server, given what is known of it.
pub struct Clearance(());

/// Trial that was granted to a request. It ends when this is dropped.
pub struct HeldTrial {
    entry: Arc<Entry>,
    id: u64,
    server: Name,
    ends_at: Moment,
    /// Peer that granted it, or `None` for this instance.
    granted_by: Option<SocketAddr>,
}

/// Returns the fingerprint of a request. A repeat has the same one, at whichever instance it
/// arrives: it names the client account, the host, the method, the path with its query, and the
/// body, and no header that differs between two attempts of a caller.
pub fn fingerprint(grant: &Grant, host: &str, parts: &request::Parts, body: &[u8]) -> Digest {
    let account = grant.account.as_ref().map_or("", |account| &account.name);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = parts.method.as_str();
    Digest::of_parts([account, host, method, path].into_iter().map(str::as_bytes).chain([body]))
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            list: Mutex::new(List::new(RETENTION)),
            breakage: Mutex::default(),
            trials: Mutex::default(),
            replies: Replies::default(),
            examined: event_listener::Event::new(),
            judged: event_listener::Event::new(),
            is_informed: AtomicBool::new(false),
            is_archive_read: AtomicBool::new(false),
        }
    }
}

impl Entry {
    /// Records that a peer has told which requests are in quarantine.
    pub fn record_informed(&self) {
        if !self.quarantine.is_informed.swap(true, Ordering::Relaxed) {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Records that the quarantines in the store were read.
    pub fn record_archive_read(&self) {
        if !self.quarantine.is_archive_read.swap(true, Ordering::Relaxed) {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Returns whether the instance knows which requests are in quarantine, or waited for long
    /// enough.
    pub fn is_informed(&self) -> bool {
        if SETTLING_PERIOD <= self.now() {
            return true;
        }
        let is_archive_read = self.quarantine.is_archive_read.load(Ordering::Relaxed);
        let is_told = self.quarantine.is_informed.load(Ordering::Relaxed);
        is_archive_read && (is_told || self.peers.lock().addresses().next().is_none())
    }

    /// Returns how to run a request.
    pub fn decide(&self, fingerprint: &Digest) -> Decision {
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return Decision::Allow;
        }
        let decision = list.decide(self.now(), fingerprint);
        if list.has_unsaved() {
            self.quarantine.judged.notify(usize::MAX);
        }
        decision
    }

    /// Returns the clearance of a request for a server; a suspect needs a trial there.
    pub fn clear_to_run(
        &self,
        fingerprint: &Digest,
        server: &Listing,
        trial: Option<&HeldTrial>,
    ) -> Option<Clearance> {
        let is_tried = || trial.is_some_and(|trial| trial.is_for(server, self.now()));
        match self.decide(fingerprint) {
            Decision::Allow => Some(Clearance(())),
            Decision::Try { .. } if is_tried() => Some(Clearance(())),
            _ => None,
        }
    }

    /// Obtains a trial of a suspect on a server, which lasts for `lifetime` at most.
    pub async fn obtain_trial(
        self: &Arc<Entry>,
        job: &Job,
        server: &Listing,
        is_exclusive: bool,
    ) -> Option<HeldTrial> {
        let request = TrialRequest {
            id: rand::random(),
            evidence: self.quarantine.list.lock().get(self.now(), &job.fingerprint)?,
            server: server.id.clone(),
            is_exclusive,
            lifetime: job.remaining(self),
        };
        let granted_by = self.request_trial(&server.service, &request).await?;
        log::info!(
            event = Event::Trial, request = &*job.meta.id, server = &*server.id,
            fingerprint:% = job.fingerprint.short(), is_exclusive, granted_by:? = granted_by;
            "a request that was running at a crash runs on trial"
        );
        metrics::counter!("chivelatch_trials_total").increment(1);
        Some(HeldTrial {
            entry: Arc::clone(self),
            id: request.id,
            server: request.server,
            ends_at: self.now() + request.lifetime.min(MAX_TRIAL_TIME),
            granted_by,
        })
    }

    /// Requests a trial. Returns the peer that granted it, or `Some(None)` if this instance did.
    async fn request_trial(
        &self,
        service: &Name,
        request: &TrialRequest,
    ) -> Option<Option<SocketAddr>> {
        for _ in 0..MAX_TRIAL_REQUESTS {
            let (Some(Issuer::Peer(peer)), Some(socket)) =
                (self.elect(service), self.mesh_socket.get())
            else {
                break;
            };
            let awaited = self.quarantine.replies.expect(request.id);
            mesh::send(socket, peer, &Message::TrialRequest(request.clone())).await;
            if let Ok(reply) = self.kernel.clock.timeout(REPLY_TIMEOUT, awaited.reply()).await {
                self.record_suspects(std::slice::from_ref(&reply.evidence));
                return reply.is_granted.then_some(Some(peer));
            }
        }
        self.grant_trial(None, request).then_some(None)
    }

    /// Returns the response to a peer's request for a trial.
    pub fn answer_trial_request(&self, from: SocketAddr, request: &TrialRequest) -> TrialReply {
        self.record_suspects(std::slice::from_ref(&request.evidence));
        let fingerprint = &request.evidence.fingerprint;
        let may_try = matches!(self.decide(fingerprint), Decision::Try { .. });
        let is_granted = may_try && self.grant_trial(Some(from), request);
        let evidence = self.quarantine.list.lock().get(self.now(), fingerprint);
        let evidence = evidence.unwrap_or_else(|| request.evidence.clone());
        TrialReply { id: request.id, is_granted, evidence }
    }

    pub fn record_trial_reply(&self, reply: TrialReply) {
        self.quarantine.replies.record(reply.id, reply);
    }

    pub fn record_trial_end(&self, id: u64) {
        self.quarantine.trials.lock().end(id);
    }

    fn grant_trial(&self, holder: Option<SocketAddr>, request: &TrialRequest) -> bool {
        let now = self.now();
        let heard = self.limiter.lock().members(now).heard;
        let trial = Trial {
            id: request.id,
            fingerprint: request.evidence.fingerprint,
            server: request.server.clone(),
            is_exclusive: request.is_exclusive,
            holder,
            ends_at: now + request.lifetime.min(MAX_TRIAL_TIME),
        };
        let mut trials = self.quarantine.trials.lock();
        trials.retain_holders(|holder| heard.iter().any(|(address, _)| *address == holder));
        trials.start(now, trial)
    }

    /// Finds out whether a server has crashed under an attempt whose connection broke, and if so,
    /// records the request as a suspect.
    pub async fn examine_break(self: Arc<Entry>, request: Name, server: Listing, attempt: Attempt) {
        let crash = breakage::crash_id(&server);
        let quarantine = &self.quarantine;
        let step = self.with_mirror(|mirror| {
            let directory = &mirror.directory;
            quarantine.breakage.lock().record(self.now(), &server, directory, attempt.clone())
        });
        if step == Step::Ignore {
            return;
        }
        log::info!(
            event = Event::Suspect, request = &*request, server = &*server.id,
            born_ms = server.born_ms, fingerprint:% = attempt.fingerprint.short(),
            is_trial = attempt.is_trial;
            "the connection broke; finding out whether the server has crashed"
        );
        if quarantine.list.lock().crashed_at(crash).is_some() {
            return self.record_crash(&server, "known");
        }
        if step == Step::Await {
            return self.await_examination(crash).await;
        }
        self.probe(&server).await;
    }

    /// Tries a new connection to a server with broken attempts.
    async fn probe(&self, server: &Listing) {
        let crash = breakage::crash_id(server);
        let quarantine = &self.quarantine;
        match self.pool.connect(server.address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                self.pool.release(connection, None);
                quarantine.breakage.lock().record_connection(crash);
            }
            Err(services::http::Error::Timeout { .. }) => self.record_crash(server, "silent"),
            Err(services::http::Error::Connect { source, .. })
                if source.kind() == ErrorKind::ConnectionRefused =>
            {
                self.record_crash(server, "refused");
            }
            Err(_) => quarantine.breakage.lock().record_connection(crash),
        }
        quarantine.examined.notify(usize::MAX);
    }

    /// Keeps an attempt in mind that its caller left, and finds out a little later whether its server
    /// has crashed.
    pub async fn examine_abandoned(
        self: Arc<Entry>,
        request: Name,
        server: Listing,
        attempt: Attempt,
    ) {
        self.kernel.clock.sleep(ABANDONED_DELAY).await;
        let has_open = self.pool.has_open(server.address);
        if !has_open {
            return self.examine_break(request, server, attempt).await;
        }
        let crash = breakage::crash_id(&server);
        let now = self.now();
        self.with_mirror(|mirror| {
            let mut breakage = self.quarantine.breakage.lock();
            if breakage.record(now, &server, &mirror.directory, attempt) == Step::Probe {
                breakage.record_connection(crash);
            }
        });
    }

    /// Finds out whether a server that refuses connections has crashed under requests.
    pub fn examine_unreachable(self: &Arc<Entry>, server: &Listing) {
        let crash = breakage::crash_id(server);
        if !self.quarantine.breakage.lock().contains(crash) {
            return;
        }
        let (entry, server) = (Arc::clone(self), server.clone());
        self.kernel.spawn_detached(async move { entry.probe(&server).await });
    }

    async fn await_examination(&self, crash: u64) {
        let deadline = self.now() + PROBE_TIMEOUT;
        loop {
            let examined = self.quarantine.examined.listen();
            let remaining = deadline.saturating_sub(self.now());
            if !self.quarantine.breakage.lock().is_probing(crash) || remaining.is_zero() {
                return;
            }
            let _examined_or_timed_out = self.kernel.clock.timeout(remaining, examined).await;
        }
    }

    /// Records the requests whose attempts broke at a server that has crashed as suspects.
    fn record_crash(&self, server: &Listing, evidence: &'static str) {
        let (now, crash) = (self.now(), breakage::crash_id(server));
        let reports = self.quarantine.breakage.lock().take(crash);
        let mut list = self.quarantine.list.lock();
        let is_new = list.crashed_at(crash).is_none();
        for report in &reports {
            list.record(now, report);
        }
        drop(list);
        if is_new {
            metrics::counter!("chivelatch_crashes_total").increment(1);
        }
        let fingerprints: Vec<String> =
            reports.iter().map(|report| report.fingerprint.short()).collect();
        log::warn!(
            event = Event::Crash, server = &*server.id, born_ms = server.born_ms, evidence,
            fingerprints = fingerprints.join(" ");
            "a server crashed while requests ran there"
        );
        self.announced.notify(usize::MAX);
    }

    /// Records the crashes that the store tells of, and forgets what has expired.
    pub fn review_breakage(&self) {
        let now = self.now();
        if !self.quarantine.breakage.lock().is_empty() {
            let crashed = self.with_mirror(|mirror| {
                self.quarantine.breakage.lock().review(now, &mirror.directory)
            });
            crashed.iter().for_each(|server| self.record_crash(server, "listing"));
        }
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return;
        }
        list.expire(now);
        if list.has_unsaved() {
            self.quarantine.judged.notify(usize::MAX);
        }
        metrics::gauge!("chivelatch_suspects").set(list.open_count() as f64);
        metrics::gauge!("chivelatch_quarantined").set(list.quarantined(now).len() as f64);
    }

    /// Records that a request has completed, so it is no poison request.
    pub fn record_completion(&self, fingerprint: &Digest) {
        let mut breakage = self.quarantine.breakage.lock();
        if !breakage.is_empty() {
            breakage.forget(fingerprint);
        }
        drop(breakage);
        if !self.quarantine.list.lock().complete(self.now(), fingerprint) {
            return;
        }
        log::info!(
            event = Event::Cleared, fingerprint:% = fingerprint.short();
            "a request that was running at a crash has completed"
        );
        metrics::counter!("chivelatch_cleared_total").increment(1);
        self.quarantine.judged.notify(usize::MAX);
        self.state_changed.notify(usize::MAX);
        self.announced.notify(usize::MAX);
    }

    /// Records a response of a server to a request that was sent at `sent_at` on a connection that
    /// was opened at `opened_at`. A server that still serves a connection from before its crash has
    /// not crashed.
    pub fn record_sign_of_life(&self, server: &Listing, opened_at: Moment, sent_at: Moment) {
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return;
        }
        let crash = breakage::crash_id(server);
        let is_alive = list
            .crashed_at(crash)
            .is_some_and(|crashed_at| opened_at < crashed_at && crashed_at < sent_at);
        if !is_alive || !list.refute(self.now(), crash) {
            return;
        }
        drop(list);
        log::info!(
            event = Event::Crash, server = &*server.id, born_ms = server.born_ms,
            evidence = "refuted";
            "the server has not crashed; it responds on an earlier connection"
        );
        self.state_changed.notify(usize::MAX);
        self.announced.notify(usize::MAX);
    }

    /// Records what peers know of suspects.
    pub fn record_suspects(&self, records: &[Record]) {
        let now = self.now();
        let mut list = self.quarantine.list.lock();
        let mut is_changed = false;
        for record in records {
            is_changed |= list.merge(now, record);
        }
        drop(list);
        if is_changed {
            self.state_changed.notify(usize::MAX);
        }
        let breakage = self.quarantine.breakage.lock();
        let crashes = records.iter().flat_map(|record| &record.runs);
        let crashed = crashes.filter_map(|run| breakage.server(run.crash));
        let crashed: Vec<Listing> = crashed.collect();
        drop(breakage);
        crashed.iter().for_each(|server| self.record_crash(server, "peer"));
    }
}

impl HeldTrial {
    /// Returns whether the trial is on this server and not over.
    pub fn is_for(&self, server: &Listing, now: Moment) -> bool {
        self.server == server.id && now < self.ends_at
    }
}

impl Drop for HeldTrial {
    fn drop(&mut self) {
        let (entry, id) = (Arc::clone(&self.entry), self.id);
        let Some(peer) = self.granted_by else { return entry.record_trial_end(id) };
        self.entry.kernel.spawn_detached(async move {
            if let Some(socket) = entry.mesh_socket.get() {
                mesh::send(socket, peer, &Message::TrialEnd { id }).await;
            }
        });
    }
}
