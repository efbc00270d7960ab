//! The gate before the backend servers: whether a request may be sent to a server now.
//!
//! It knows the emptied zones, and of servers the pauses that they ask for, the limits that they
//! name and whether they are warming up. A request to a server with a limit or a warm-up needs a
//! permit of the instance that issues them (`serving::limit`).
//!
//! Architecture Invariant: a request is sent only with a [`Pass`], and only the gate hands them
//! out, for the proofs that the request may run ([`Clearance`]) and that the server is of the
//! version at which it must go on ([`Compatible`]).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;

use kernel::event::Event;
use placement::rendezvous;
use serving::{
    Moment, Name,
    directory::Listing,
    limit::{self, Limits, Permit, Rate, Statement},
    mirror::Mirror,
    origin::Compatible,
    rate_limit::Members,
};

use crate::{
    entry::Entry,
    mesh,
    message::{Message, PermitReply, PermitRequest},
    quarantine::Clearance,
    replies::Replies,
};

/// Time after which a request for a permit counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time until the next request for a permit if none was granted for another reason than the limit.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after its start from which an instance issues permits. It hears its peers before.
const ISSUER_MIN_AGE: Duration = Duration::from_secs(1);

/// Time after its start in which an instance leaves their share of a limit to others that it has not
/// heard.
const UNHEARD_PEER_PERIOD: Duration = Duration::from_secs(60);

/// Proof that the gate has admitted one request to a server. Its permit and its place after a pause
/// are left to other requests if it is dropped before the request was sent.
pub struct Pass {
    entry: Arc<Entry>,
    server: Listing,
    permit: Option<HeldPermit>,
    is_used: bool,
}

/// Permit that a request holds. It is left to other requests if it is not used.
pub struct HeldPermit {
    entry: Arc<Entry>,
    pub server: Name,
    permit: Option<Permit>,
}

/// Limits of servers, and the requests for permits that are under way.
pub struct Gate {
    pub limits: Mutex<Limits>,
    replies: Replies<PermitReply>,
}

/// Instance that issues permits of a server, or grants the trials of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Issuer {
    Local,
    Peer(SocketAddr),
}

impl Entry {
    /// Admits a request to a server, if the server takes one now. Uses the permit that the request
    /// holds if the server has a limit.
    pub fn admit(
        self: &Arc<Entry>,
        server: &Listing,
        _clearance: Clearance,
        _compatible: Compatible,
        held: &mut Option<HeldPermit>,
    ) -> Option<Pass> {
        let now = self.now();
        // The zone may have been emptied while the request waited for a trial.
        if self.roster().emptied_zones().contains(&server.zone) {
            return None;
        }
        let is_limited = self.binding_rate(&server.id).is_some();
        if is_limited && !held.as_ref().is_some_and(|held| held.is_valid(&server.id, now)) {
            return None;
        }
        if !self.with_server(&server.id, |state| state.pause.admit(now)) {
            return None;
        }
        let permit = if is_limited { held.take() } else { None };
        let (entry, server) = (Arc::clone(self), server.clone());
        Some(Pass { entry, server, permit, is_used: false })
    }

    /// Returns the limit that a server has named, in requests per second.
    pub fn server_rate(&self, server: &Name) -> Option<f64> {
        self.gate.limits.lock().rate(server).map(Rate::per_second)
    }

    /// Returns the rate for which requests to a server need permits: its limit, or that of its
    /// warm-up.
    pub fn binding_rate(&self, server: &Name) -> Option<Rate> {
        self.gate.limits.lock().binding_rate(self.now(), server)
    }

    /// Returns whether a request needs a permit of a server, and holds none.
    pub fn needs_permit(&self, server: &Listing, held: Option<&HeldPermit>) -> bool {
        let is_limited = self.binding_rate(&server.id).is_some();
        is_limited && !held.is_some_and(|held| held.is_for(&server.id, self.now()))
    }

    /// Obtains a permit of a server that starts within `max_wait`. If none is free, the time until
    /// the next one is known afterwards.
    pub async fn obtain_permit(
        self: &Arc<Entry>,
        server: &Listing,
        max_wait: Duration,
    ) -> Option<HeldPermit> {
        let asked_at = self.now();
        let unused = self.gate.limits.lock().take_unused(asked_at, &server.id, max_wait);
        if let Some(permit) = unused {
            return Some(HeldPermit::new(self, server, permit));
        }
        let outcome = match self.issuer(&server.id) {
            Some(Issuer::Local) => self.issue(&server.id, max_wait),
            Some(Issuer::Peer(peer)) => self.request_permit(peer, server, max_wait).await,
            None => Err(RETRY_DELAY),
        };
        let now = self.now();
        match outcome {
            Ok(wait) => {
                self.gate.limits.lock().record_grant(now, &server.id, wait);
                Some(HeldPermit::new(self, server, Permit::new(asked_at, now, wait)))
            }
            Err(wait) => {
                self.gate.limits.lock().record_wait(now, &server.id, wait);
                None
            }
        }
    }

    /// Counts a request that gets no permit of a server at once.
    pub fn count_held_back(&self, server: &Listing) {
        if self.gate.limits.lock().is_warming_up(self.now(), &server.id) {
            metrics::counter!("chivelatch_warmup_held_requests_total").increment(1);
        }
    }

    /// Returns the time after which one more caller that is rejected because of a server's limit
    /// should return.
    pub fn return_after(&self, server: &Name) -> Duration {
        let now = self.now();
        let instances = self.limiter.lock().instance_count(now);
        self.gate.limits.lock().return_after(now, server, instances)
    }

    /// Records what a response says about its server's limit. Its request was sent at `sent_at`.
    pub fn record_limit(&self, server: &Listing, sent_at: Moment, statement: Statement) {
        let is_changed = self.gate.limits.lock().record_statement(
            self.now(),
            sent_at,
            (&server.id, server.born_ms),
            statement,
        );
        if is_changed {
            self.log_limit(&server.id, "response");
            self.announced.notify(usize::MAX);
        }
    }

    /// Returns the reports for peers, and reviews which instance issues the permits.
    pub fn limit_reports(&self) -> Vec<limit::Report> {
        let reports = self.gate.limits.lock().reports(self.now());
        for report in &reports {
            self.issuer(&report.server);
        }
        reports
    }

    /// Records the listings of servers that may be warming up. `presumes_start` says that one that is
    /// first listed now has just started.
    pub fn review_warmups(&self, mirror: &Mirror, presumes_start: bool) {
        let Some(manifest) = &mirror.manifest else { return };
        let (now, mut limits) = (self.now(), self.gate.limits.lock());
        for listing in mirror.directory.iter() {
            let terms = manifest.services.get(&listing.service).and_then(|it| it.warmup);
            limits.record_listing(now, listing, terms, presumes_start);
        }
    }

    /// Records the time left of a warm-up that a response of a server states.
    pub fn record_time_left(&self, server: &Listing, left: Duration) {
        let process = (&server.id, server.born_ms);
        self.gate.limits.lock().record_time_left(self.now(), process, left);
    }

    /// Records that a server could not be reached, or got no requests for a while. It may come back
    /// as a process that is warming up.
    pub fn presume_warmup(&self, server: &Listing) {
        let process = (&server.id, server.born_ms);
        self.gate.limits.lock().record_unreachable(self.now(), process);
    }

    /// Logs the warm-ups that have begun or ended, and reviews which instance issues the permits.
    pub fn log_warmups(&self) {
        let now = self.now();
        let (changes, servers) = {
            let mut limits = self.gate.limits.lock();
            (limits.take_warmup_changes(now), limits.warming_up(now))
        };
        for server in &servers {
            self.issuer(server);
        }
        metrics::gauge!("chivelatch_servers_warming_up").set(servers.len() as f64);
        for change in changes {
            log::info!(
                event = Event::Warmup, server = &*change.server, is_begun = change.is_begun,
                source:? = change.source;
                "a warm-up of the server has begun or ended"
            );
        }
    }

    /// Records the limits that a peer reports.
    pub fn record_limit_reports(&self, reports: &[limit::Report]) {
        for report in reports {
            let is_changed = self.gate.limits.lock().record_report(self.now(), report);
            if is_changed {
                self.log_limit(&report.server, "peer");
            }
        }
    }

    /// Returns the response to a peer's request for a permit.
    pub fn answer_permit_request(&self, request: &PermitRequest) -> PermitReply {
        self.record_limit_reports(std::slice::from_ref(&request.limit));
        let server = &request.limit.server;
        let outcome = match self.issuer(server) {
            Some(Issuer::Local) => self.issue(server, request.max_wait),
            _ => Err(RETRY_DELAY),
        };
        PermitReply { id: request.id, outcome }
    }

    /// Records the response to a request for a permit, if it is still awaited.
    pub fn record_permit_reply(&self, reply: PermitReply) {
        self.gate.replies.record(reply.id, reply);
    }

    fn issue(&self, server: &Name, max_wait: Duration) -> Result<Duration, Duration> {
        let now = self.now();
        let members = self.limiter.lock().members(now);
        let known = members.known.max(self.named_instance_count(now));
        let heard_share = (1 + members.heard.len()) as f64 / known.max(1) as f64;
        let outcome = self.gate.limits.lock().issue(now, server, heard_share.min(1.0), max_wait);
        if outcome.is_ok() {
            metrics::counter!("chivelatch_permits_issued_total", "server" => server.to_string())
                .increment(1);
        }
        outcome
    }

    /// Returns the instance that issues a server's permits, as far as this one knows.
    fn issuer(&self, server: &Name) -> Option<Issuer> {
        let issuer = self.elect(server);
        let is_local = issuer == Some(Issuer::Local);
        self.gate.limits.lock().record_issuer(self.now(), server, is_local);
        issuer
    }

    /// Returns the instance that decides for all of them on a name, as far as this one knows. Where
    /// all have just started and hear each other, any of them may, or else one of a certain age.
    pub fn elect(&self, name: &Name) -> Option<Issuer> {
        let now = self.now();
        let members = self.limiter.lock().members(now);
        let hears_all = self.hears_all(&members);
        let own = (!self.stop.has_begun()).then_some((self.settings.mesh, now));
        let candidates: Vec<(SocketAddr, Duration)> =
            members.heard.into_iter().chain(own).collect();
        let is_old = |age: Duration| ISSUER_MIN_AGE <= age;
        let may_be_young = hears_all && !candidates.iter().any(|(_, age)| is_old(*age));
        let candidates = candidates.into_iter().filter(|(_, age)| may_be_young || is_old(*age));
        let hash = |address| rendezvous::hash(&format!("{name} {address}"));
        let address = limit::issuer(candidates.map(|(address, _)| address), hash);
        let is_local = address == Some(self.settings.mesh);
        Some(if is_local { Issuer::Local } else { Issuer::Peer(address?) })
    }

    /// Returns the number of instances that the store and the settings name, while this one may have
    /// started in a partition from them; the names of those that are gone stay in the store.
    fn named_instance_count(&self, now: Moment) -> usize {
        if UNHEARD_PEER_PERIOD <= now {
            return 0;
        }
        1 + self.peers.lock().addresses().count()
    }

    /// Returns whether this instance hears all others that the store and the settings name.
    fn hears_all(&self, members: &Members) -> bool {
        if !self.is_informed() {
            return false;
        }
        let peers = self.peers.lock();
        let mut addresses = peers.addresses();
        addresses.all(|address| members.heard.iter().any(|(heard, _)| *heard == address))
    }

    async fn request_permit(
        &self,
        issuer: SocketAddr,
        server: &Listing,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        let limit = self.gate.limits.lock().report(self.now(), &server.id);
        let (Some(limit), Some(socket)) = (limit, self.mesh_socket.get()) else {
            return Err(RETRY_DELAY);
        };
        let request = PermitRequest { id: rand::random(), limit, max_wait };
        let awaited = self.gate.replies.expect(request.id);
        mesh::send(socket, issuer, &Message::PermitRequest(request)).await;
        let reply = self.kernel.clock.timeout(REPLY_TIMEOUT, awaited.reply()).await;
        reply.map_or(Err(RETRY_DELAY), |reply| reply.outcome)
    }

    fn log_limit(&self, server: &Name, source: &'static str) {
        let rate = self.server_rate(server);
        metrics::gauge!("chivelatch_server_limit", "server" => server.to_string())
            .set(rate.unwrap_or(f64::NAN));
        log::info!(
            event = Event::Limit, server = &**server, rate:? = rate, source,
            issuer:? = self.issuer(server);
            "the server states another limit for the requests of all instances"
        );
    }
}

impl Pass {
    pub fn server(&self) -> &Listing {
        &self.server
    }

    /// Uses the pass: the request may reach the server from now on.
    pub fn record_use(&mut self) {
        self.is_used = true;
        let Some(mut held) = self.permit.take() else { return };
        held.permit = None;
        let server = self.server.id.to_string();
        metrics::counter!("chivelatch_permits_used_total", "server" => server).increment(1);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let now = self.entry.now();
        self.entry.with_server(&self.server.id, |state| state.pause.give_back(now));
    }
}

impl Default for Gate {
    fn default() -> Gate {
        let limits = Mutex::new(Limits::new(rand::random()));
        Gate { limits, replies: Replies::default() }
    }
}

impl HeldPermit {
    fn new(entry: &Arc<Entry>, server: &Listing, permit: Permit) -> HeldPermit {
        HeldPermit { entry: Arc::clone(entry), server: server.id.clone(), permit: Some(permit) }
    }

    /// Returns the time at which the permit starts, if it is for this server and not used.
    pub fn starts_at(&self, server: &Name) -> Option<Moment> {
        self.permit.filter(|_| self.server == *server).map(|permit| permit.starts_at)
    }

    /// Logs which request the permit was granted for, if the server has named a limit.
    pub fn log_grant(&self, request: &str) {
        let Some(permit) = self.permit else { return };
        let (now, rate) = (self.entry.now(), self.entry.server_rate(&self.server));
        if rate.is_none() {
            return;
        }
        let wait = permit.starts_at.saturating_sub(now);
        log::info!(
            event = Event::Permit, request, server = &*self.server, rate:? = rate,
            next_ms = wait.as_millis() as u64;
            "a permit was granted for a request to a server with a limit"
        );
    }

    fn is_for(&self, server: &Name, now: Moment) -> bool {
        self.server == *server && self.permit.is_some_and(|permit| now < permit.ends_at)
    }

    fn is_valid(&self, server: &Name, now: Moment) -> bool {
        self.server == *server && self.permit.is_some_and(|permit| permit.is_valid(now))
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let now = self.entry.now();
        if let Some(permit) = self.permit.take() {
            self.entry.gate.limits.lock().release(now, &self.server, permit);
        }
    }
}
