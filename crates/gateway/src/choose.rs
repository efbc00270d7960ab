//! Selection of a request's server, and the wait for its adapter there.
//!
//! A request whose adapter is not resident on the selected server stays at the
//! entry instance with a load request. The selection is repeated at each change
//! and at least every `MAX_RECHECK_INTERVAL`.

use std::{sync::Arc, time::Duration};

use futures_lite::future;
use smallvec::SmallVec;

use fleet::suspect::Decision;
use kernel::event::Event;
use serving::{
    Moment, Name, adapter,
    directory::Listing,
    manifest::EngineConfig,
    origin::Progress,
    rejection,
    residency::SlotUsage,
    selection::{self, AdapterState, Candidate, Choice},
};

use crate::{
    answer::Rejection,
    entry::Entry,
    gate::{HeldPermit, Pass},
    in_flight::LoadRequest,
    job::Job,
    ports::Model,
    quarantine::HeldTrial,
    roster::{Roster, Server, StatusReport},
    serve::{DEFAULT_RETRY_AFTER, authorize},
    stop,
};

/// Request rate of an adapter at this instance, in requests per second, from which the instance
/// prefers a server in its own availability zone as well as the one that all instances prefer.
const ZONE_PREFERENCE_RATE: f64 = 0.3;
/// Age of the latest status report above which a side process is assumed unreachable, so that no
/// adapter can be loaded through it.
const SIDE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time to load the first adapter after the base model.
const FIRST_ADAPTER_TIME: Duration = Duration::from_millis(300);
/// Assumed time to load a base model if the configuration does not state it.
const DEFAULT_MODEL_LOAD_TIME: Duration = Duration::from_millis(1500);
/// Longest time until a waiting request is evaluated again.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stream that has begun waits if earlier attempts have ruled out all servers of its
/// version.
const EXCLUSION_PERIOD: Duration = Duration::from_millis(200);
/// Time by which a permit may start later than expected.
const PERMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// Time between two requests for a permit.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of one evaluation of the servers for a request.
enum Selection {
    Send {
        server: Listing,
        tokens_ahead: u64,
    },
    AwaitAdapter {
        server: Listing,
    },
    /// To wait for a base model.
    AwaitModel,
    /// To wait until a server takes the next request.
    AwaitServer {
        server: Listing,
        wait: Duration,
    },
    /// To wait until the servers that earlier attempts have ruled out may be tried again.
    AwaitExcluded,
    Reject {
        retry_after: Duration,
        reason: &'static str,
    },
}

/// Input of one evaluation of the servers for a request.
struct Context<'a> {
    entry: &'a Entry,
    roster: &'a Roster,
    service: &'a str,
    /// Ready servers of the service that no earlier attempt has ruled out.
    servers: Vec<&'a Listing>,
    now: Moment,
    /// Time that the request has waited in this selection.
    waited: Duration,
    /// Permit that the request holds.
    held: Option<&'a HeldPermit>,
}

impl Job {
    /// Waits until a server can run the request. Returns it with the prompt tokens outstanding
    /// there and the proof that it was admitted.
    ///
    /// # Errors
    ///
    /// Returns the rejection if no server is expected to respond in time.
    pub async fn select(&mut self, entry: &Arc<Entry>) -> Result<(Listing, u64, Pass), Rejection> {
        let mut load_request: Option<LoadRequest> = None;
        let mut held: Option<HeldPermit> = None;
        let mut next_ask_at = Moment::ZERO;
        let mut is_held_back = false;
        let started_at = entry.now();
        loop {
            self.authorize_again(entry)?;
            let changed = entry.state_changed.listen();
            let decision = entry.decide(&self.identity);
            if let Decision::Reject(retry_after) = decision {
                return Err(self.quarantine_rejection(retry_after));
            }
            let awaited_server = load_request.as_ref().map(|request| request.server.clone());
            let mut limit = MAX_RECHECK_INTERVAL;
            let selection =
                self.evaluate(entry, awaited_server.as_ref(), started_at, held.as_ref());
            let chosen = match &selection {
                Selection::Send { server, .. } => Some((server, Duration::ZERO)),
                Selection::AwaitServer { server, wait } => Some((server, *wait)),
                _ => None,
            };
            if let Some((server, wait)) = chosen
                && next_ask_at <= entry.now()
                && entry.needs_permit(server, held.as_ref())
                && wait <= entry.gate.limits.lock().max_reservation(&server.id)
            {
                held = entry.obtain_permit(server, wait + PERMIT_TOLERANCE).await;
                next_ask_at = entry.now() + PERMIT_RETRY_DELAY;
                match &held {
                    Some(permit) => permit.log_grant(&self.meta.id),
                    None if !std::mem::replace(&mut is_held_back, true) => {
                        entry.count_held_back(server);
                    }
                    None => {}
                }
                // The expected wait there is another one now.
                continue;
            }
            match selection {
                Selection::Send { server, tokens_ahead } => {
                    self.obtain_trial(entry, &server, &decision).await;
                    let trial = self.trial.as_ref();
                    let clearance = entry.clear_to_run(&self.identity, &server, trial);
                    let compatible = self.progress.admit(&server);
                    let pass = clearance.zip(compatible).and_then(|(clearance, compatible)| {
                        entry.admit(&server, clearance, compatible, &mut held)
                    });
                    if let Some(pass) = pass {
                        return Ok((server, tokens_ahead, pass));
                    }
                    // Another request was admitted since the evaluation, or no permit or trial was
                    // free.
                    limit = limit.min(match decision {
                        Decision::Hold(wait) => wait,
                        _ => PERMIT_RETRY_DELAY,
                    });
                }
                Selection::Reject { retry_after, reason } => {
                    return Err(self.final_rejection(reason, retry_after));
                }
                Selection::AwaitModel => load_request = None,
                Selection::AwaitExcluded => {
                    load_request = None;
                    let pause = self.remaining(entry).min(EXCLUSION_PERIOD);
                    let _drain_over = entry.timeout(pause, future::pending::<()>()).await;
                    self.excluded.clear();
                    continue;
                }
                Selection::AwaitServer { wait, .. } => {
                    load_request = None;
                    limit = limit.min(wait);
                }
                Selection::AwaitAdapter { server } => {
                    if awaited_server.as_ref() != Some(&server.id) {
                        load_request = LoadRequest::new(entry, &server, &self.meta);
                    }
                }
            }
            let limit = self.remaining(entry).min(limit);
            let _changed_or_timed_out = entry.timeout(limit, changed).await;
        }
    }

    /// Obtains a trial on a server if the request is or has a suspect and has none there.
    async fn obtain_trial(&mut self, entry: &Arc<Entry>, server: &Listing, decision: &Decision) {
        let Decision::Try { suspects, is_exclusive } = decision else { return };
        let is_held = |held: &HeldTrial| held.trial.covers(&server.id, suspects, entry.now());
        if self.trial.as_ref().is_some_and(is_held) {
            return;
        }
        self.trial = None;
        // Short runs can take turns, so that a crash has one cause.
        let is_exclusive = *is_exclusive || !self.grant.route.retry_policy.is_stream();
        self.trial = entry.obtain_trial(self, server, suspects.clone(), is_exclusive).await;
    }

    /// Authorizes the request again, since the configuration may have changed.
    fn authorize_again(&mut self, entry: &Entry) -> Result<(), Rejection> {
        let Some(manifest) = entry.manifest() else { return Ok(()) };
        match authorize(&manifest, &self.meta, &self.parts) {
            Ok(grant) => {
                self.grant = grant;
                Ok(())
            }
            Err(rejection) if self.runs == 0 => Err(rejection),
            Err(_) => Err(self.final_rejection("the configuration changed", DEFAULT_RETRY_AFTER)),
        }
    }

    /// Evaluates the servers once. `awaited_server` is the server that the request already waits
    /// for, until its adapter is loaded there.
    fn evaluate(
        &self,
        entry: &Entry,
        awaited_server: Option<&Name>,
        started_at: Moment,
        held: Option<&HeldPermit>,
    ) -> Selection {
        let now = entry.now();
        if self.remaining(entry).is_zero() {
            let stopping = entry.stop.has_begun().then_some(stop::RETRY_AFTER);
            return Selection::Reject {
                retry_after: stopping.unwrap_or(DEFAULT_RETRY_AFTER),
                reason: "no time is left",
            };
        }
        let draw = placement::rendezvous::hash(&self.meta.id);
        let Some(service) = self.target_service(draw) else {
            return Selection::Reject {
                retry_after: DEFAULT_RETRY_AFTER,
                reason: "the route has no service",
            };
        };
        let roster = entry.roster();
        let servers = roster.servers(service);
        let regions = entry.tunable().regions;
        let allowed =
            servers.iter().filter(|server| self.grant.allows_region(regions.get(&server.zone)));
        let compatible = allowed
            .filter(|server| self.progress.admit(server).is_some() && !self.is_replaced(server))
            .filter(|server| !self.is_held_by(server));
        let compatible = self.registered_first(entry, compatible.collect());
        let eligible = compatible.iter().filter(|server| !self.excluded.contains(&server.id));
        let eligible: Vec<&Listing> = eligible.copied().collect();
        if eligible.is_empty() {
            return self.without_eligible(&compatible);
        }
        let context = Context {
            entry,
            roster: &roster,
            service,
            servers: eligible,
            now,
            waited: now.saturating_sub(started_at),
            held,
        };
        match self.meta.model.as_ref().filter(|_| context.has_engines()) {
            Some(model) => self.select_engine(&context, model, awaited_server),
            None => self.select_plain_server(&context, draw),
        }
    }

    /// Returns whether the listed process of a server was found to be gone. It never comes back.
    fn is_replaced(&self, server: &Listing) -> bool {
        self.replaced.iter().any(|(id, born_ms)| *id == server.id && *born_ms == server.born_ms)
    }

    /// Returns the servers whose versions are in the register if a resumable stream begins, unless
    /// there is none: what is not in the register is forgotten when all processes lose power.
    fn registered_first<'a>(&self, entry: &Entry, servers: Vec<&'a Listing>) -> Vec<&'a Listing> {
        if self.progress.has_begun() || !self.grant.route.retry_policy.is_resumable() {
            return servers;
        }
        let is_registered =
            |server: &&&Listing| entry.is_registered(&server.service, &server.version);
        let registered: Vec<&Listing> = servers.iter().filter(is_registered).copied().collect();
        if registered.is_empty() { servers } else { registered }
    }

    /// Returns the service that runs the request. A stream that has begun stays with its service
    /// while the route may use it.
    fn target_service(&self, draw: u64) -> Option<&Name> {
        let route = &self.grant.route;
        match &self.progress {
            Progress::Begun(origin) => route.has_target(&origin.service).then_some(&origin.service),
            _ => route.target(draw),
        }
    }

    /// Returns the selection if earlier attempts have ruled out all servers that the request may
    /// run on. A stream that has begun may go on at no others, so it waits for them, unless another
    /// attempt is open.
    fn without_eligible(&self, compatible: &[&Listing]) -> Selection {
        if self.is_hedging() {
            return Selection::Reject {
                retry_after: DEFAULT_RETRY_AFTER,
                reason: "no other server is left",
            };
        }
        match (self.progress.has_begun(), compatible.is_empty()) {
            (true, false) => Selection::AwaitExcluded,
            (true, true) => Selection::Reject {
                retry_after: DEFAULT_RETRY_AFTER,
                reason: "no server of the version that began the stream is left",
            },
            _ => {
                Selection::Reject { retry_after: DEFAULT_RETRY_AFTER, reason: "no server is left" }
            }
        }
    }

    fn select_engine(
        &self,
        context: &Context<'_>,
        model: &Model,
        awaited_server: Option<&Name>,
    ) -> Selection {
        let candidates = context.engine_candidates(model, awaited_server);
        let Some(choice) = selection::choose_engine(self.prompt_tokens(), &candidates) else {
            return self.await_model(context);
        };
        let route = &self.grant.route;
        let remaining = self.remaining(context.entry);
        let limit = match awaited_server {
            None if !self.progress.has_begun() => {
                rejection::first_event_limit(route, route.urgency, remaining)
            }
            // A request that already waits, or a stream that has begun, is rejected only if the first event is
            // not expected within the time that the callers of the route wait for it.
            _ => rejection::first_event_budget(route, remaining + context.waited),
        };
        let expected = choice.expected + context.waited;
        if limit < expected {
            self.log_busy(context, &choice, &candidates[choice.index], limit);
            let chosen = &candidates[choice.index];
            let server = &context.servers[choice.index].id;
            let retry_after = rejection::retry_after(expected, limit)
                .max(chosen.pause)
                .max(context.entry.return_after(server));
            return Selection::Reject { retry_after, reason: "the servers are busy for too long" };
        }
        let server = context.servers[choice.index].clone();
        let chosen = &candidates[choice.index];
        // A permit would expire while its request waits for an adapter.
        let loads_first = chosen.adapter != AdapterState::Present && context.is_limited(&server);
        if !chosen.pause.is_zero() && !loads_first {
            return Selection::AwaitServer { server, wait: chosen.pause };
        }
        match chosen.adapter {
            AdapterState::Present => {
                Selection::Send { server, tokens_ahead: chosen.outstanding_tokens }
            }
            _ => Selection::AwaitAdapter { server },
        }
    }

    fn select_plain_server(&self, context: &Context<'_>, draw: u64) -> Selection {
        let candidates = context.servers.iter().map(|listing| {
            context.entry.with_server(&listing.id, |server| context.candidate(listing, server))
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let Some(index) = selection::choose_plain_server(&candidates, draw >> 32) else {
            return Selection::Reject {
                retry_after: DEFAULT_RETRY_AFTER,
                reason: "no server is left",
            };
        };
        let pause = candidates[index].pause;
        let server = context.servers[index].clone();
        if pause.is_zero() {
            return Selection::Send { server, tokens_ahead: 0 };
        }
        if self.remaining(context.entry) <= pause + self.typical_latency(0) {
            let retry_after = pause.max(context.entry.return_after(&server.id));
            let reason = if context.is_limited(&server) {
                "the limits of the servers are used up"
            } else {
                "the servers want a pause"
            };
            return Selection::Reject { retry_after, reason };
        }
        Selection::AwaitServer { server, wait: pause }
    }

    fn log_busy(&self, context: &Context<'_>, best: &Choice, engine: &Candidate, limit: Duration) {
        let listing = context.servers[best.index];
        let seen = context.entry.status_report(listing).map(|report| report.received_at);
        log::info!(
            event = Event::Busy, request = &*self.meta.id, server = &*listing.id,
            adapter:? = engine.adapter, queue = engine.slot_queue,
            tokens_ahead = engine.outstanding_tokens,
            seen_ms_ago = context.now.saturating_sub(seen.unwrap_or_default()).as_millis() as u64,
            expected_ms = best.expected.as_millis() as u64,
            held_ms = context.waited.as_millis() as u64, limit_ms = limit.as_millis() as u64,
            rate:? = context.entry.server_rate(&listing.id),
            next_ms = engine.pause.as_millis() as u64;
            "rejecting the request; even the best engine is not expected to respond in time"
        );
    }

    /// Returns the selection while no engine has the base model: to wait if one is expected to load
    /// it in time, or else to reject the request.
    fn await_model(&self, context: &Context<'_>) -> Selection {
        let expected = context.expected_model_wait();
        let time_budget = rejection::first_event_budget(
            &self.grant.route,
            self.remaining(context.entry) + context.waited,
        );
        if context.waited + expected <= time_budget {
            return Selection::AwaitModel;
        }
        Selection::Reject { retry_after: expected, reason: "no server has the model" }
    }
}

impl Context<'_> {
    /// Returns the servers as candidates for a request of this model. `awaited_server` is the one
    /// that the request already waits for, if any.
    fn engine_candidates(&self, model: &Model, awaited_server: Option<&Name>) -> Vec<Candidate> {
        let min_version = self.entry.min_version(model);
        let preferred = self.preferred_servers(model);
        let has_unlimited = self.servers.iter().any(|listing| !self.has_named_limit(listing));
        let candidates = self.servers.iter().map(|listing| {
            let report = self.entry.status_report(listing);
            let state = adapter_state(listing, report.as_ref(), model, min_version, self.now);
            // Orders to load count against the limit, too, so loads go to other servers.
            let needs_load = !matches!(state, AdapterState::Present | AdapterState::Pending);
            let state = if needs_load && has_unlimited && self.has_named_limit(listing) {
                AdapterState::Unreachable
            } else {
                state
            };
            self.entry.with_server(&listing.id, |server| {
                let slot_usage = slot_usage(server, report.as_ref());
                let (adapter, queue) = match state {
                    AdapterState::Foreign | AdapterState::Warm
                        if awaited_server == Some(&listing.id) =>
                    {
                        (AdapterState::Pending, slot_usage.remaining_queue_depth())
                    }
                    AdapterState::Pending => (AdapterState::Pending, 0),
                    AdapterState::Foreign if preferred.contains(&listing.id) => {
                        (AdapterState::Home, slot_usage.queue_depth())
                    }
                    adapter => (adapter, slot_usage.queue_depth()),
                };
                Candidate { adapter, slot_queue: queue, ..self.candidate(listing, server) }
            })
        });
        candidates.collect()
    }

    /// Returns the names of the servers that this instance prefers for a model's adapter.
    fn preferred_servers(&self, model: &Model) -> SmallVec<[Name; 2]> {
        let Some(adapter) = model.adapter() else { return SmallVec::new() };
        let (roster, servers) = (self.roster, self.roster.servers(self.service));
        let is_popular =
            ZONE_PREFERENCE_RATE <= self.entry.popularity.lock().rate(self.now, adapter);
        let zone = &self.entry.settings.zone;
        let takes_loads = |listing: &Listing| !self.has_named_limit(listing);
        let preferred_in_zone = is_popular
            .then(|| roster.preferred_in_zone(self.service, adapter, zone, takes_loads))
            .flatten();
        let preferred_server = roster.preferred_server(self.service, adapter, takes_loads);
        let preferred = [preferred_server, preferred_in_zone].into_iter().flatten();
        preferred.map(|index| servers[index].id.clone()).collect()
    }

    /// Returns the expected time until an engine has its base model.
    fn expected_model_wait(&self) -> Duration {
        let reload =
            self.with_engine_config(|engine| engine.reload).unwrap_or(DEFAULT_MODEL_LOAD_TIME);
        let reports = self.servers.iter().filter_map(|listing| self.entry.status_report(listing));
        let elapsed = reports.filter_map(|report| {
            let reported = Duration::from_millis(report.status.loading_ms?);
            Some(reported + self.now.saturating_sub(report.received_at))
        });
        reload.saturating_sub(elapsed.max().unwrap_or_default()) + FIRST_ADAPTER_TIME
    }

    fn has_engines(&self) -> bool {
        self.with_engine_config(|_| ()).is_some()
    }

    /// Runs `read` with the service's engine configuration, if it is a model service.
    fn with_engine_config<T>(&self, read: impl FnOnce(&EngineConfig) -> T) -> Option<T> {
        let manifest = self.entry.manifest()?;
        manifest.services.get(self.service)?.engine.as_ref().map(read)
    }

    /// Returns the time until the limit or the warm-up of a server, if any, allows this request.
    fn limit_wait(&self, listing: &Listing) -> Duration {
        let starts_at = self.held.and_then(|held| held.starts_at(&listing.id));
        let expected = || self.entry.gate.limits.lock().wait(self.now, &listing.id);
        starts_at.map_or_else(expected, |starts_at| starts_at.saturating_sub(self.now))
    }

    /// Returns whether requests to a server need permits.
    fn is_limited(&self, listing: &Listing) -> bool {
        self.entry.binding_rate(&listing.id).is_some()
    }

    /// Returns whether a server has named a limit. Orders to load count against it, unlike during a
    /// warm-up.
    fn has_named_limit(&self, listing: &Listing) -> bool {
        self.entry.server_rate(&listing.id).is_some()
    }

    /// Returns a server as a candidate for a request without an adapter.
    fn candidate(&self, listing: &Listing, server: &Server) -> Candidate {
        Candidate {
            adapter: AdapterState::Present,
            slot_queue: 0,
            outstanding_tokens: server.backlog.outstanding_tokens(self.now),
            requests_in_flight: server.backlog.requests_in_flight(self.now),
            slots: listing.slots,
            slowdown: server.backlog.slowdown(self.now),
            is_measured: server.backlog.is_measured(self.now),
            failure_rate: server.backlog.failure_rate(self.now),
            is_same_zone: listing.zone == self.entry.settings.zone,
            is_suspect: self.now < server.suspect_until,
            pause: server.pause.wait(self.now).max(self.limit_wait(listing)),
            is_limited: self.has_named_limit(listing),
        }
    }
}

/// Returns a server's slot usage, with the load requests that its side process may not have
/// received yet.
fn slot_usage(server: &Server, report: Option<&StatusReport>) -> SlotUsage {
    let reported = report.map(|report| report.status.slot_usage).unwrap_or_default();
    SlotUsage { waiting: reported.waiting.max(server.load_requests.len()), ..reported }
}

/// Returns the state of a model on one server. An adapter older than `min_version` may not run.
fn adapter_state(
    listing: &Listing,
    report: Option<&StatusReport>,
    model: &Model,
    min_version: u64,
    now: Moment,
) -> AdapterState {
    let Some(StatusReport { received_at, status, .. }) = report else {
        let is_listed = model.adapter().is_none() && listing.models.contains(model.base());
        return if is_listed { AdapterState::Present } else { AdapterState::Unreachable };
    };
    if !status.models.contains(model.base()) {
        return AdapterState::Unreachable;
    }
    let Some(adapter) = model.adapter() else { return AdapterState::Present };
    let holds =
        |list: &[adapter::Version]| list.iter().any(|known| known.satisfies(adapter, min_version));
    if holds(&status.adapters) {
        return AdapterState::Present;
    }
    if *received_at + SIDE_TIMEOUT < now {
        return AdapterState::Unreachable;
    }
    if holds(&status.pending) {
        AdapterState::Pending
    } else if holds(&status.recent) {
        AdapterState::Warm
    } else {
        AdapterState::Foreign
    }
}
