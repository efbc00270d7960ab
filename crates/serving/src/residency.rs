//! Planning of the adapters that are resident on one model engine. It runs in the
//! side process next to the engine, the only one that sends orders to it.
//!
//! Entry instances report which adapters their requests wait for and which are
//! used by requests in flight. An adapter in use is never evicted; among the
//! others the least used one is evicted first. Use counts decay exponentially, so
//! that an adapter that was popular only in the past does not stay resident.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use fleet::decay;

use crate::{
    Moment, Name,
    adapter::{self, Adapter},
    limit::{OrderPace, Rate},
};

/// Age from which the report of an entry instance is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Time after which a load request is dropped that no entry instance repeats.
const LOAD_REQUEST_LIFETIME: Duration = Duration::from_millis(600);
/// Time after its last use in which an adapter is not evicted, since further requests for it may
/// be in transit.
const USE_GRACE: Duration = Duration::from_millis(150);
/// Half-life of an adapter's use count.
const USE_HALF_LIFE: Duration = Duration::from_secs(8);
/// Number of use counts above which low ones are dropped.
const MAX_USE_COUNTS: usize = 1024;
/// Use counts up to this are dropped once there are too many.
const NEGLIGIBLE_USE_COUNT: f64 = 0.05;
/// Adapters that may be loading on one engine at once.
const MAX_PENDING_LOADS: usize = 2;
/// Adapters, resident ones included, that an engine is assumed to load quickly since they were
/// resident before.
pub const MAX_RECENT_ADAPTERS: usize = 30;
/// Time after which a limit that entry instances do not report again has ended.
const REPORTED_LIMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Time without further orders after an order that got no response.
const UNANSWERED_ORDER_PAUSE: Duration = Duration::from_millis(300);

/// State that the engine reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Start of the engine's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of orders accepted since the start.
    pub orders: u64,
    /// Whether a base model is being loaded or unloaded.
    pub is_busy: bool,
    /// Whether the engine announces that it leaves.
    pub is_leaving: bool,
    /// Loaded base models.
    pub models: Vec<Name>,
    /// Base models of which the engine's machine has copies, loaded or not.
    pub local_models: Vec<Name>,
    /// Resident adapters.
    pub adapters: Vec<adapter::Version>,
    /// Adapters that are being loaded.
    pub pending: Vec<adapter::Version>,
    /// Limit that the engine names for the requests of all instances together.
    pub limit: Option<Rate>,
}

/// Report of one entry instance.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Base model that the engine should load.
    pub model: Option<Name>,
    /// Adapter slots of the engine.
    pub adapter_slots: usize,
    /// Requests in flight by adapter.
    pub in_flight: Vec<(Adapter, u32)>,
    /// Adapters used since the previous report, once for each use.
    pub used: Vec<Adapter>,
    /// Adapters that requests wait for, in the oldest version that may run.
    pub load_requests: Vec<adapter::Version>,
}

/// Occupancy of an engine's adapter slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUsage {
    /// Slots that are empty or hold an adapter that can be evicted.
    pub free: usize,
    /// Requested adapters whose load has not started.
    pub waiting: usize,
}

impl SlotUsage {
    /// Returns the number of loads that lack a free slot if one more adapter is requested.
    pub fn queue_depth(&self) -> usize {
        (self.waiting + 1).saturating_sub(self.free)
    }

    /// Returns the expected number of loads that lack a free slot and precede that of an adapter
    /// which is already requested. About half of the other loads were requested after it.
    pub fn remaining_queue_depth(&self) -> usize {
        self.waiting.saturating_sub(self.free).div_ceil(2)
    }
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    LoadModel { model: Name },
    Load(Adapter),
    Unload(Adapter),
}

/// Planner of the orders to one engine.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Latest report of each entry instance, with its arrival.
    reports: HashMap<SocketAddr, (Moment, Report)>,
    load_requests: BTreeMap<adapter::Version, LoadRequest>,
    use_counts: HashMap<Adapter, UseCount>,
    /// Adapters that were resident since the engine started, the most recent last.
    recent: Vec<adapter::Version>,
    /// Start of the engine process that `recent` belongs to.
    born_ms: u64,
    paused_until: Moment,
    order_pace: OrderPace,
    /// Limit of the engine that an entry instance reported, with the time.
    reported_limit: Option<(Moment, Rate)>,
}

/// Times of the first and the latest report that requested an adapter.
#[derive(Clone, Copy, Debug)]
struct LoadRequest {
    since: Moment,
    renewed: Moment,
}

/// Use count of an adapter, with exponential decay since `at`.
#[derive(Clone, Copy, Debug)]
struct UseCount {
    count: f64,
    at: Moment,
}

impl Planner {
    /// Records the report of an entry instance.
    pub fn record_report(&mut self, now: Moment, from: SocketAddr, report: Report) {
        for adapter in &report.used {
            self.record_use(now, adapter);
        }
        // The use count of an adapter does not decay while requests for it are in flight.
        for (adapter, _) in &report.in_flight {
            self.use_counts.entry(adapter.clone()).or_insert(UseCount { count: 1.0, at: now }).at =
                now;
        }
        for requested in &report.load_requests {
            let entry = self.load_requests.entry(requested.clone());
            entry.or_insert(LoadRequest { since: now, renewed: now }).renewed = now;
        }
        let previous = self.reports.insert(from, (now, report));
        for withdrawn in previous.into_iter().flat_map(|(_, report)| report.load_requests) {
            if !self.is_requested(&withdrawn) {
                self.load_requests.remove(&withdrawn);
            }
        }
    }

    /// Records that an order got no response. The engine may still execute it, so further orders
    /// are delayed.
    pub fn record_unanswered_order(&mut self, now: Moment) {
        self.paused_until = now + UNANSWERED_ORDER_PAUSE;
    }

    /// Returns the next order for the engine, if it needs one.
    pub fn next_order(&mut self, now: Moment, engine: &EngineState) -> Option<Order> {
        self.reports.retain(|_, (at, _)| now < *at + REPORT_LIFETIME);
        self.load_requests.retain(|_, request| now < request.renewed + LOAD_REQUEST_LIFETIME);
        if engine.is_busy || engine.is_leaving || now < self.paused_until {
            return None;
        }
        self.order_pace.set(now, self.limit(now, engine));
        let order = self.wanted_order(now, engine)?;
        self.order_pace.admit(now).then_some(order)
    }

    /// Records a limit of the engine that an entry instance reports.
    pub fn record_limit(&mut self, now: Moment, rate: Rate) {
        self.reported_limit = Some((now, rate));
    }

    /// Returns the strictest limit that is known of the engine.
    fn limit(&self, now: Moment, engine: &EngineState) -> Option<Rate> {
        let reported = self.reported_limit.filter(|(at, _)| now < *at + REPORTED_LIMIT_LIFETIME);
        let rates = [reported.map(|(_, rate)| rate), engine.limit].into_iter().flatten();
        rates.min_by(|a, b| a.per_second().total_cmp(&b.per_second()))
    }

    fn wanted_order(&self, now: Moment, engine: &EngineState) -> Option<Order> {
        if let Some(model) = self.missing_model(engine) {
            return Some(Order::LoadModel { model });
        }
        if MAX_PENDING_LOADS <= engine.pending.len() {
            return None;
        }
        let requested = self.oldest_load_request(engine)?.clone();
        let is_replacement =
            engine.adapters.iter().any(|resident| resident.adapter == requested.adapter);
        let occupied = engine.adapters.len() + engine.pending.len();
        if is_replacement || occupied < self.adapter_slots() {
            return Some(Order::Load(requested.adapter));
        }
        let victim = self.victim(now, engine)?;
        Some(Order::Unload(victim.adapter.clone()))
    }

    /// Records the resident adapters of the engine.
    pub fn record_engine_state(&mut self, engine: &EngineState) {
        if self.born_ms != engine.born_ms {
            self.born_ms = engine.born_ms;
            self.recent.clear();
        }
        for resident in &engine.adapters {
            self.recent.retain(|known| known != resident);
            self.recent.push(resident.clone());
        }
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_ADAPTERS);
        self.recent.drain(..surplus);
    }

    /// Returns the adapters that are or were recently resident. The engine loads them quickly.
    pub fn recent_adapters(&self) -> &[adapter::Version] {
        &self.recent
    }

    /// Returns the free adapter slots and the number of load requests that need one.
    pub fn slot_usage(&self, now: Moment, engine: &EngineState) -> SlotUsage {
        let is_free = |resident: &&adapter::Version| self.is_evictable(now, &resident.adapter);
        let in_use = engine.adapters.iter().filter(|resident| !is_free(resident)).count();
        SlotUsage {
            free: self.adapter_slots().saturating_sub(in_use + engine.pending.len()),
            waiting: self.unmet_load_requests(engine).count(),
        }
    }

    /// Returns whether any request waits for an adapter.
    pub fn has_load_requests(&self) -> bool {
        !self.load_requests.is_empty()
    }

    /// Returns whether the latest report of any entry instance requests a load.
    fn is_requested(&self, requested: &adapter::Version) -> bool {
        self.reports.values().any(|(_, report)| report.load_requests.contains(requested))
    }

    /// Returns the requests in flight of all entry instances that use an adapter.
    pub fn requests_in_flight(&self, adapter: &Adapter) -> u32 {
        let reports = self.reports.values().flat_map(|(_, report)| &report.in_flight);
        reports.filter(|(used, _)| used == adapter).map(|(_, count)| count).sum()
    }

    /// Returns the base model to load into an engine without one: the model in the latest
    /// report, or else the only model of which the machine has a copy.
    fn missing_model(&self, engine: &EngineState) -> Option<Name> {
        if !engine.models.is_empty() {
            return None;
        }
        let newest = self.reports.values().max_by_key(|(at, _)| *at);
        let reported = newest.and_then(|(_, report)| report.model.clone());
        reported.or_else(|| match engine.local_models.as_slice() {
            [only] => Some(only.clone()),
            _ => None,
        })
    }

    fn adapter_slots(&self) -> usize {
        let newest = self.reports.values().max_by_key(|(at, _)| *at);
        newest.map_or(0, |(_, report)| report.adapter_slots)
    }

    fn oldest_load_request(&self, engine: &EngineState) -> Option<&adapter::Version> {
        let unmet = self.unmet_load_requests(engine);
        unmet.min_by_key(|(_, request)| request.since).map(|(requested, _)| requested)
    }

    /// Returns the requests for adapters that are neither resident nor being loaded.
    fn unmet_load_requests(
        &self,
        engine: &EngineState,
    ) -> impl Iterator<Item = (&adapter::Version, &LoadRequest)> {
        self.load_requests.iter().filter(|(adapter::Version { adapter, number }, _)| {
            engine.models.contains(&adapter.model)
                && !engine.adapters.iter().any(|resident| resident.satisfies(adapter, *number))
                && !engine.pending.iter().any(|pending| pending.adapter == *adapter)
        })
    }

    /// Returns the adapter to evict: the least used one that is not in use.
    fn victim<'a>(&self, now: Moment, engine: &'a EngineState) -> Option<&'a adapter::Version> {
        let evictable = engine.adapters.iter();
        let evictable = evictable.filter(|resident| self.is_evictable(now, &resident.adapter));
        evictable.min_by(|a, b| {
            self.use_count(now, &a.adapter).total_cmp(&self.use_count(now, &b.adapter))
        })
    }

    fn is_evictable(&self, now: Moment, adapter: &Adapter) -> bool {
        let is_requested = self.load_requests.keys().any(|request| request.adapter == *adapter);
        let is_recent = self.use_counts.get(adapter).is_some_and(|uses| now <= uses.at + USE_GRACE);
        !is_requested && !is_recent && self.requests_in_flight(adapter) == 0
    }

    fn use_count(&self, now: Moment, adapter: &Adapter) -> f64 {
        self.use_counts.get(adapter).map_or(0.0, |uses| uses.decayed(now))
    }

    fn record_use(&mut self, now: Moment, adapter: &Adapter) {
        let uses =
            self.use_counts.entry(adapter.clone()).or_insert(UseCount { count: 0.0, at: now });
        *uses = UseCount { count: uses.decayed(now) + 1.0, at: now };
        if MAX_USE_COUNTS < self.use_counts.len() {
            self.use_counts.retain(|_, uses| NEGLIGIBLE_USE_COUNT < uses.decayed(now));
        }
    }
}

impl UseCount {
    fn decayed(&self, now: Moment) -> f64 {
        self.count * decay::remaining(self.at, now, USE_HALF_LIFE)
    }
}
