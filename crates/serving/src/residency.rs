//! Which adapters one model engine holds: decided by the side process next to
//! it, the only one that gives it orders.
//!
//! Entry instances say what their requests wait for and what they have in
//! flight. An adapter in use is never dropped; among the others the least used
//! one makes way. Uses fade, so that what was popular once does not stay.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use fleet::decay;

use crate::{Moment, Name};

/// Reports of entry instances older than this are forgotten.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Wants older than this are forgotten; entry instances repeat theirs.
const WANT_LIFETIME: Duration = Duration::from_millis(600);
/// Time after its last use in which an adapter is not dropped: its requests may be on their way.
const USE_GRACE: Duration = Duration::from_millis(150);
/// Time in which half of an adapter's uses fade.
const USE_HALF_LIFE: Duration = Duration::from_secs(8);
/// Adapters whose uses are remembered before faded ones are forgotten.
const MAX_TRACKED: usize = 1024;
/// Uses that have faded so far count for nothing.
const FADED_USES: f64 = 0.05;
/// Adapters that may be on their way to one engine.
const MAX_PENDING: usize = 2;
/// Adapters that an engine is taken to load again quickly, beside those that it holds.
const RECENT: usize = 30;
/// Time for which an order without an answer keeps further ones back.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(300);

/// What the engine says that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Start of the engine's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Orders that it accepted since.
    pub orders: u64,
    /// A base model is being loaded or dropped.
    pub is_busy: bool,
    pub models: Vec<Name>,
    /// Base models of which the engine's machine has copies, loaded or not.
    pub kept: Vec<Name>,
    pub adapters: Vec<Resident>,
    /// On their way.
    pub pending: Vec<Resident>,
}

/// An adapter in a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resident {
    pub model: Name,
    pub adapter: Name,
    pub version: u64,
}

/// What one entry instance says.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Base model that the engine should hold.
    pub model: Option<Name>,
    /// Places for adapters.
    pub places: usize,
    /// Requests in flight by adapter.
    pub in_flight: Vec<(Name, u32)>,
    /// Adapters used since the report before.
    pub used: Vec<Name>,
    /// Adapters that requests wait for, in the oldest version that will do.
    pub wants: Vec<Resident>,
}

/// How far an engine's places are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Places {
    /// Empty, or held by an adapter that nobody uses.
    pub free: usize,
    /// Adapters that requests wait for and that are not on their way yet.
    pub waiting: usize,
}

impl Places {
    /// Adapters that must find a place before one more could be loaded.
    pub fn queue(&self) -> usize {
        (self.waiting + 1).saturating_sub(self.free)
    }

    /// The same for an adapter that waits already: about half of the others came after it.
    pub fn rest_of_queue(&self) -> usize {
        self.waiting.saturating_sub(self.free).div_ceil(2)
    }
}

/// What to tell the engine next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    LoadModel { model: Name },
    Load { model: Name, adapter: Name },
    Unload { model: Name, adapter: Name },
}

/// What a side process knows of its engine's users.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    reports: HashMap<SocketAddr, (Moment, Report)>,
    wants: BTreeMap<Resident, Want>,
    uses: HashMap<Name, Uses>,
    /// Adapters that the engine held, the last one at the end.
    recent: Vec<Resident>,
    born_ms: u64,
    paused_until: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Want {
    since: Moment,
    renewed: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Uses {
    count: f64,
    at: Moment,
}

impl Planner {
    /// Takes an entry instance's report.
    pub fn report(&mut self, now: Moment, from: SocketAddr, report: Report) {
        for adapter in &report.used {
            self.note_use(now, adapter);
        }
        for (adapter, _) in &report.in_flight {
            self.uses.entry(adapter.clone()).or_insert(Uses { count: 1.0, at: now }).at = now;
        }
        for want in &report.wants {
            let entry = self.wants.entry(want.clone());
            entry.or_insert(Want { since: now, renewed: now }).renewed = now;
        }
        self.reports.insert(from, (now, report));
    }

    /// An order was not answered: it may still be carried out.
    pub fn unanswered(&mut self, now: Moment) {
        self.paused_until = now + UNANSWERED_PAUSE;
    }

    /// The next order for an engine that holds `holding`.
    pub fn next(&mut self, now: Moment, holding: &Holding) -> Option<Order> {
        self.reports.retain(|_, (at, _)| now < *at + REPORT_LIFETIME);
        self.wants.retain(|_, want| now < want.renewed + WANT_LIFETIME);
        if holding.is_busy || now < self.paused_until {
            return None;
        }
        if let Some(model) = self.missing_model(holding) {
            return Some(Order::LoadModel { model });
        }
        if MAX_PENDING <= holding.pending.len() {
            return None;
        }
        let want = self.oldest_want(holding)?.clone();
        let is_replacement =
            holding.adapters.iter().any(|resident| resident.adapter == want.adapter);
        let taken = holding.adapters.len() + holding.pending.len();
        if is_replacement || taken < self.capacity() {
            return Some(Order::Load { model: want.model, adapter: want.adapter });
        }
        let victim = self.victim(now, holding)?;
        Some(Order::Unload { model: victim.model.clone(), adapter: victim.adapter.clone() })
    }

    /// Notes what the engine holds.
    pub fn observe(&mut self, holding: &Holding) {
        if self.born_ms != holding.born_ms {
            self.born_ms = holding.born_ms;
            self.recent.clear();
        }
        for resident in &holding.adapters {
            self.recent.retain(|known| known != resident);
            self.recent.push(resident.clone());
        }
        let surplus = self.recent.len().saturating_sub(RECENT);
        self.recent.drain(..surplus);
    }

    /// Adapters that the engine held lately and loads again quickly.
    pub fn recent(&self) -> &[Resident] {
        &self.recent
    }

    /// Places that are free now, and wants that need one.
    pub fn places(&self, now: Moment, holding: &Holding) -> Places {
        let is_free = |resident: &&Resident| self.is_droppable(now, &resident.adapter);
        let taken = holding.adapters.iter().filter(|resident| !is_free(resident)).count();
        Places {
            free: self.capacity().saturating_sub(taken + holding.pending.len()),
            waiting: self.open_wants(holding).count(),
        }
    }

    /// Whether somebody waits for an adapter.
    pub fn is_wanted(&self) -> bool {
        !self.wants.is_empty()
    }

    /// Requests in flight that use an adapter, over all entry instances.
    pub fn in_flight(&self, adapter: &str) -> u32 {
        let reports = self.reports.values().flat_map(|(_, report)| &report.in_flight);
        reports.filter(|(name, _)| &**name == adapter).map(|(_, count)| count).sum()
    }

    /// The base model to load into an empty engine: the one that entry instances name, or
    /// else the only one that is quick to load.
    fn missing_model(&self, holding: &Holding) -> Option<Name> {
        if !holding.models.is_empty() {
            return None;
        }
        let newest = self.reports.values().max_by_key(|(at, _)| *at);
        let named = newest.and_then(|(_, report)| report.model.clone());
        named.or_else(|| match holding.kept.as_slice() {
            [only] => Some(only.clone()),
            _ => None,
        })
    }

    fn capacity(&self) -> usize {
        let newest = self.reports.values().max_by_key(|(at, _)| *at);
        newest.map_or(0, |(_, report)| report.places)
    }

    fn oldest_want(&self, holding: &Holding) -> Option<&Resident> {
        let open = self.open_wants(holding);
        open.min_by_key(|(_, want)| want.since).map(|(wanted, _)| wanted)
    }

    /// Wants for adapters that the engine neither holds nor loads.
    fn open_wants(&self, holding: &Holding) -> impl Iterator<Item = (&Resident, &Want)> {
        self.wants.iter().filter(|(wanted, _)| {
            let satisfies = |resident: &Resident| {
                resident.model == wanted.model
                    && resident.adapter == wanted.adapter
                    && wanted.version <= resident.version
            };
            holding.models.contains(&wanted.model)
                && !holding.adapters.iter().any(satisfies)
                && !holding.pending.iter().any(|pending| pending.adapter == wanted.adapter)
        })
    }

    fn victim<'a>(&self, now: Moment, holding: &'a Holding) -> Option<&'a Resident> {
        let idle = holding.adapters.iter();
        let idle = idle.filter(|resident| self.is_droppable(now, &resident.adapter));
        idle.min_by(|a, b| self.value(now, &a.adapter).total_cmp(&self.value(now, &b.adapter)))
    }

    fn is_droppable(&self, now: Moment, adapter: &str) -> bool {
        let is_wanted = self.wants.keys().any(|want| &*want.adapter == adapter);
        let is_fresh = self.uses.get(adapter).is_some_and(|uses| now <= uses.at + USE_GRACE);
        !is_wanted && !is_fresh && self.in_flight(adapter) == 0
    }

    fn value(&self, now: Moment, adapter: &str) -> f64 {
        self.uses.get(adapter).map_or(0.0, |uses| uses.faded(now))
    }

    fn note_use(&mut self, now: Moment, adapter: &Name) {
        let uses = self.uses.entry(adapter.clone()).or_insert(Uses { count: 0.0, at: now });
        *uses = Uses { count: uses.faded(now) + 1.0, at: now };
        if MAX_TRACKED < self.uses.len() {
            self.uses.retain(|_, uses| FADED_USES < uses.faded(now));
        }
    }
}

impl Uses {
    fn faded(&self, now: Moment) -> f64 {
        self.count * decay::remaining(self.at, now, USE_HALF_LIFE)
    }
}
