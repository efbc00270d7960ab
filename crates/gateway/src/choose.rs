//! Which server a request goes to, and the wait for its adapter there.

use std::{sync::Arc, time::Duration};

use serving::{
    Moment, Name,
    directory::Listing,
    rejection,
    selection::{self, Adapter, Candidate},
};

use crate::{
    answer::Rejection,
    entry::Entry,
    flight::Want,
    job::Job,
    ports::Model,
    roster::Sighting,
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
        let home = roster.home(service, adapter);
        let is_popular = LOCAL_RATE <= entry.popularity.lock().rate(now, &Name::from(adapter));
        let zone_home =
            is_popular.then(|| roster.zone_home(service, adapter, &entry.settings.zone)).flatten();
        let is_home = |id: &Name| {
            [home, zone_home].into_iter().flatten().any(|index| servers[index].id == *id)
        };
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|listing| {
                let sighting = entry.sighting(listing);
                let mut candidate = candidate(entry, listing, now);
                candidate.adapter = residency(listing, sighting.as_ref(), model, version, now);
                candidate.has_room =
                    sighting.as_ref().is_some_and(|sighting| 0 < sighting.status.room)
                        || candidate.adapter == Adapter::Pending;
                let is_missing = matches!(candidate.adapter, Adapter::Foreign | Adapter::Warm);
                if wanted == Some(&listing.id) && is_missing {
                    candidate.adapter = Adapter::Pending;
                }
                if candidate.adapter == Adapter::Foreign && is_home(&listing.id) {
                    candidate.adapter = Adapter::Home;
                }
                candidate
            })
            .collect();
        let Some(choice) = selection::engine(self.prompt_tokens(), &candidates) else {
            return self.without_model(entry, service, &open, began, now);
        };
        let held = now.saturating_sub(began);
        let limit = if wanted.is_none() {
            rejection::limit(&self.grant.route, self.grant.route.urgency, self.left(entry))
        } else {
            // Once it was taken on, a request is refused only if its caller would be gone.
            rejection::patience(&self.grant.route, self.left(entry) + held)
        };
        let expected = choice.expected + held;
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

    /// No engine has the model: one that loads it soon is waited for.
    fn without_model(
        &self,
        entry: &Entry,
        service: &str,
        open: &[&Listing],
        began: Moment,
        now: Moment,
    ) -> Selection {
        let manifest = entry.manifest();
        let service = manifest.as_ref().and_then(|manifest| manifest.services.get(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let reload = engine.map_or(MODEL_PAUSE, |engine| engine.reload);
        let sightings = open.iter().filter_map(|listing| entry.sighting(listing));
        let loading = sightings.filter_map(|sighting| {
            let loading = Duration::from_millis(sighting.status.loading_ms?);
            Some(loading + now.saturating_sub(sighting.at))
        });
        let waited = loading.max().unwrap_or_default();
        let expected = reload.saturating_sub(waited) + MODEL_MARGIN;
        let held = now.saturating_sub(began);
        if held + expected <= rejection::patience(&self.grant.route, self.left(entry) + held) {
            return Selection::AwaitModel;
        }
        Selection::Refuse { retry_after: expected, reason: "no server has the model" }
    }

    fn plain_selection(&self, entry: &Entry, open: &[&Listing], now: Moment) -> Selection {
        let candidates: Vec<Candidate> =
            open.iter().map(|listing| candidate(entry, listing, now)).collect();
        match selection::plain(&candidates) {
            Some(index) => Selection::Send { server: open[index].clone(), tokens_ahead: 0 },
            None => Selection::Refuse { retry_after: START_PAUSE, reason: "no server is left" },
        }
    }

    fn is_for_engine(&self, entry: &Entry, service: &str) -> bool {
        let manifest = entry.manifest();
        let service = manifest.as_ref().and_then(|manifest| manifest.services.get(service));
        service.is_some_and(|service| service.engine.is_some())
    }
}

/// What is known of a server, without the adapter.
fn candidate(entry: &Entry, listing: &Listing, now: Moment) -> Candidate {
    entry.with_server(&listing.id, |server| Candidate {
        adapter: Adapter::Present,
        has_room: true,
        tokens: server.backlog.tokens(now),
        requests: server.backlog.requests(now),
        slots: listing.slots,
        pace: server.backlog.pace(now),
        failure_share: server.backlog.failure_share(now),
        is_same_zone: listing.zone == entry.settings.zone,
        is_suspect: now < server.suspect_until,
    })
}

/// Where a model is, seen from one server.
fn residency(
    listing: &Listing,
    sighting: Option<&Sighting>,
    model: &Model,
    version: u64,
    now: Moment,
) -> Adapter {
    let Some(Sighting { at, status }) = sighting else {
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
