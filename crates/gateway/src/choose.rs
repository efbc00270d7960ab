//! Which server a request goes to, and the wait for its adapter there.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use kernel::event::Event;
use serving::{
    Moment, Name,
    directory::Listing,
    manifest::EngineConfig,
    rejection,
    residency::SlotUsage,
    selection::{self, AdapterState, Candidate, Choice},
};

use crate::{
    answer::Rejection,
    entry::Entry,
    flight::Want,
    job::Job,
    ports::Model,
    roster::{Roster, Server, Sighting},
    serve::{START_PAUSE, authorize},
};

/// Requests a second at one entry from which an adapter gets a home in its availability zone,
/// beside the one that it has for all.
const LOCAL_RATE: f64 = 0.3;
/// A side process that is silent for longer loads nothing.
const SIDE_SILENCE: Duration = Duration::from_millis(2500);
/// Time for the first adapter after a base model is there.
const MODEL_MARGIN: Duration = Duration::from_millis(300);
/// Time that a base model is taken to need where the configuration does not say.
const MODEL_PAUSE: Duration = Duration::from_millis(1500);
/// Longest wait for an adapter before the choice is made anew.
const RESIDENCY_PAUSE: Duration = Duration::from_millis(100);

enum Selection {
    Send { server: Listing, tokens_ahead: u64 },
    AwaitAdapter { server: Listing },
    AwaitModel,
    Refuse { retry_after: Duration, reason: &'static str },
}

/// The servers that are open to a request at one moment.
struct Field<'a> {
    entry: &'a Entry,
    roster: &'a Roster,
    service: &'a str,
    open: Vec<&'a Listing>,
    now: Moment,
    /// Time for which the request has waited here.
    held: Duration,
}

impl Job {
    /// Waits until a server can run the request.
    pub async fn select(&mut self, entry: &Arc<Entry>) -> Result<(Listing, u64), Rejection> {
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
                Selection::AwaitModel => want = None,
                Selection::AwaitAdapter { server } => {
                    if wanted.as_ref() != Some(&server.id) {
                        want = Want::new(entry, &server, &self.ask);
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
        let draw = placement::rendezvous::hash(&self.ask.id);
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
        let field =
            Field { entry, roster: &roster, service, open, now, held: now.saturating_sub(began) };
        match self.ask.model.as_ref().filter(|_| field.has_engines()) {
            Some(model) => self.engine_selection(&field, model, wanted),
            None => field.plain_selection(),
        }
    }

    fn engine_selection(
        &self,
        field: &Field<'_>,
        model: &Model,
        wanted: Option<&Name>,
    ) -> Selection {
        let candidates = field.engine_candidates(model, wanted);
        let Some(choice) = selection::choose_engine(self.prompt_tokens(), &candidates) else {
            return self.without_model(field);
        };
        let route = &self.grant.route;
        let left = self.left(field.entry);
        let limit = match wanted {
            None => rejection::first_event_limit(route, route.urgency, left),
            // Once it was taken on, a request is refused only if its caller would be gone.
            Some(_) => rejection::first_event_budget(route, left + field.held),
        };
        let expected = choice.expected + field.held;
        if limit < expected {
            self.log_busy(field, &choice, &candidates[choice.index], limit);
            let retry_after = rejection::retry_after(expected, limit);
            return Selection::Refuse { retry_after, reason: "the servers are busy for too long" };
        }
        let server = field.open[choice.index].clone();
        let chosen = &candidates[choice.index];
        match chosen.adapter {
            AdapterState::Present => {
                Selection::Send { server, tokens_ahead: chosen.outstanding_tokens }
            }
            _ => Selection::AwaitAdapter { server },
        }
    }

    fn log_busy(&self, field: &Field<'_>, best: &Choice, engine: &Candidate, limit: Duration) {
        let listing = field.open[best.index];
        let seen = field.entry.sighting(listing).map(|sighting| sighting.at);
        log::info!(
            event = Event::Busy, request = &*self.ask.id, server = &*listing.id,
            adapter:? = engine.adapter, queue = engine.slot_queue,
            tokens_ahead = engine.outstanding_tokens,
            seen_ms_ago = field.now.saturating_sub(seen.unwrap_or_default()).as_millis() as u64,
            expected_ms = best.expected.as_millis() as u64,
            held_ms = field.held.as_millis() as u64, limit_ms = limit.as_millis() as u64;
            "no engine is expected to answer in time"
        );
    }

    /// No engine has the model: one that loads it soon is waited for.
    fn without_model(&self, field: &Field<'_>) -> Selection {
        let expected = field.model_wait();
        let patience =
            rejection::first_event_budget(&self.grant.route, self.left(field.entry) + field.held);
        if field.held + expected <= patience {
            return Selection::AwaitModel;
        }
        Selection::Refuse { retry_after: expected, reason: "no server has the model" }
    }
}

impl Field<'_> {
    fn plain_selection(&self) -> Selection {
        let candidates = self.open.iter().map(|listing| {
            self.entry.with_server(&listing.id, |server| self.candidate(listing, server))
        });
        let candidates: Vec<Candidate> = candidates.collect();
        match selection::choose_plain_server(&candidates) {
            Some(index) => Selection::Send { server: self.open[index].clone(), tokens_ahead: 0 },
            None => Selection::Refuse { retry_after: START_PAUSE, reason: "no server is left" },
        }
    }

    /// The open servers as model engines; a request may already wait at one of them.
    fn engine_candidates(&self, model: &Model, wanted: Option<&Name>) -> Vec<Candidate> {
        let version = self.entry.version(model);
        let homes = self.homes(model);
        let candidates = self.open.iter().map(|listing| {
            let sighting = self.entry.sighting(listing);
            let held = residency(listing, sighting.as_ref(), model, version, self.now);
            self.entry.with_server(&listing.id, |server| {
                let places = places(server, sighting.as_ref());
                let (adapter, queue) = match held {
                    AdapterState::Foreign | AdapterState::Warm if wanted == Some(&listing.id) => {
                        (AdapterState::Pending, places.remaining_queue_depth())
                    }
                    AdapterState::Pending => (AdapterState::Pending, 0),
                    AdapterState::Foreign if homes.contains(&listing.id) => {
                        (AdapterState::Home, places.queue_depth())
                    }
                    adapter => (adapter, places.queue_depth()),
                };
                Candidate { adapter, slot_queue: queue, ..self.candidate(listing, server) }
            })
        });
        candidates.collect()
    }

    /// Names of the servers at which a model's adapter is at home for this instance.
    fn homes(&self, model: &Model) -> SmallVec<[Name; 2]> {
        let Some(adapter) = &model.adapter else { return SmallVec::new() };
        let (roster, servers) = (self.roster, self.roster.servers(self.service));
        let is_popular = LOCAL_RATE <= self.entry.popularity.lock().rate(self.now, adapter);
        let zone = &self.entry.settings.zone;
        let zone_home = is_popular.then(|| roster.zone_home(self.service, adapter, zone)).flatten();
        let homes = [roster.home(self.service, adapter), zone_home].into_iter().flatten();
        homes.map(|index| servers[index].id.clone()).collect()
    }

    /// Time until some engine is expected to have its model.
    fn model_wait(&self) -> Duration {
        let reload = self.with_engine(|engine| engine.reload).unwrap_or(MODEL_PAUSE);
        let sightings = self.open.iter().filter_map(|listing| self.entry.sighting(listing));
        let loading = sightings.filter_map(|sighting| {
            let loading = Duration::from_millis(sighting.status.loading_ms?);
            Some(loading + self.now.saturating_sub(sighting.at))
        });
        reload.saturating_sub(loading.max().unwrap_or_default()) + MODEL_MARGIN
    }

    fn has_engines(&self) -> bool {
        self.with_engine(|_| ()).is_some()
    }

    /// Reads the service's model engines, if it has any.
    fn with_engine<T>(&self, read: impl FnOnce(&EngineConfig) -> T) -> Option<T> {
        let manifest = self.entry.manifest()?;
        manifest.services.get(self.service)?.engine.as_ref().map(read)
    }

    /// What is known of a server, without the adapter.
    fn candidate(&self, listing: &Listing, server: &Server) -> Candidate {
        Candidate {
            adapter: AdapterState::Present,
            slot_queue: 0,
            outstanding_tokens: server.backlog.outstanding_tokens(self.now),
            requests_in_flight: server.backlog.requests_in_flight(self.now),
            slots: listing.slots,
            slowdown: server.backlog.slowdown(self.now),
            failure_rate: server.backlog.failure_rate(self.now),
            is_same_zone: listing.zone == self.entry.settings.zone,
            is_suspect: self.now < server.suspect_until,
        }
    }
}

/// How far a server's places are taken, with the wants that its side process has not heard.
fn places(server: &Server, sighting: Option<&Sighting>) -> SlotUsage {
    let told = sighting.map(|sighting| sighting.status.places).unwrap_or_default();
    SlotUsage { waiting: told.waiting.max(server.wants.len()), ..told }
}

/// Where a model is, seen from one server.
fn residency(
    listing: &Listing,
    sighting: Option<&Sighting>,
    model: &Model,
    version: u64,
    now: Moment,
) -> AdapterState {
    let Some(Sighting { at, status }) = sighting else {
        let is_listed = model.adapter.is_none() && listing.models.contains(&model.base);
        return if is_listed { AdapterState::Present } else { AdapterState::Unreachable };
    };
    if !status.models.contains(&model.base) {
        return AdapterState::Unreachable;
    }
    let Some(adapter) = &model.adapter else { return AdapterState::Present };
    let holds =
        |list: &[(Name, u64)]| list.iter().any(|(name, held)| name == adapter && version <= *held);
    if holds(&status.adapters) {
        return AdapterState::Present;
    }
    if *at + SIDE_SILENCE < now {
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
