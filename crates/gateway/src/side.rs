//! A side process: it keeps the right adapters on the model engine next to it
//! and tells entry instances what is there. It is the only one that gives the
//! engine orders, so no lease is needed for that.

use std::{
    collections::HashMap,
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::UdpSocket;
use parking_lot::Mutex;

use kernel::{Kernel, drain, event::Event};
use serving::{
    Moment, Name,
    residency::{AdapterVersion, EngineState, Order, Planner, Report, SlotUsage},
};

use crate::{
    listen, mesh,
    message::{Guide, Message, Status, Work},
    ports::{Engine, Given, Settings},
};

/// Time between looks at an engine that has nothing to do.
const IDLE_INTERVAL: Duration = Duration::from_millis(150);
/// Time between looks at an engine with an adapter on its way.
const BUSY_INTERVAL: Duration = Duration::from_millis(12);
/// Entry instances that are silent for longer are not written to.
const ENTRY_SILENCE: Duration = Duration::from_secs(3);
/// A status is repeated after this time, also without news.
const STATUS_INTERVAL: Duration = Duration::from_millis(700);
/// Time between reports of the work in flight alone.
const WORK_INTERVAL: Duration = Duration::from_millis(150);

struct Side {
    kernel: Kernel,
    engine: Engine,
    socket: UdpSocket,
    start: Instant,
    state: Mutex<State>,
    changed: event_listener::Event,
}

#[derive(Default)]
struct State {
    planner: Planner,
    entries: HashMap<SocketAddr, Listener>,
    /// Start of the engine as it was last seen.
    born_ms: u64,
    /// Name of the engine with this start, once somebody said it.
    engine_id: Option<Name>,
    /// When the engine began to load a base model.
    loading_since: Option<Moment>,
    told: Option<Status>,
    told_at: Moment,
    told_work: Work,
    told_work_at: Moment,
    told_places: SlotUsage,
}

/// An entry instance that follows this engine.
struct Listener {
    heard: Moment,
    tokens: u64,
    requests: u32,
}

/// Runs a side process until it is told to stop.
pub async fn run(kernel: Kernel, settings: Settings, engine: Engine) -> ExitCode {
    log::info!(
        event = Event::Start, instance = &*settings.instance, zone = &*settings.zone;
        "side process starts"
    );
    let socket = match mesh::open(settings.mesh).await {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(event = Event::Start; "{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = listen::serve_metrics(&kernel, settings.metrics).await {
        log::error!(event = Event::Start; "{error}");
        return ExitCode::FAILURE;
    }
    let side = Arc::new(Side {
        start: kernel.clock.now(),
        kernel: kernel.clone(),
        engine,
        socket,
        state: Mutex::default(),
        changed: event_listener::Event::new(),
    });
    kernel.spawn_detached(listen_to_entries(Arc::clone(&side)));
    kernel.spawn_detached(look_after_engine(side));
    // Nothing of these settings changes while the process runs; a hangup must not end it.
    let _hangups = drain::hangups();
    drain::termination().await;
    log::info!(event = Event::Stop; "stopped");
    log::logger().flush();
    ExitCode::SUCCESS
}

impl Side {
    fn now(&self) -> Moment {
        self.kernel.clock.now().saturating_duration_since(self.start)
    }
}

async fn listen_to_entries(side: Arc<Side>) {
    loop {
        if let Some((from, Message::Guide(guide))) = mesh::next(&side.socket).await {
            note_guide(&side, from, guide);
        }
    }
}

fn note_guide(side: &Side, from: SocketAddr, guide: Guide) {
    let now = side.now();
    let is_wanted = !guide.wants.is_empty();
    let mut state = side.state.lock();
    let listener = Listener { heard: now, tokens: guide.tokens, requests: guide.requests };
    let is_first = state.entries.insert(from, listener).is_none();
    if guide.born_ms == state.born_ms {
        state.engine_id = Some(guide.server);
    }
    let wants = guide.wants.into_iter();
    let report = Report {
        model: guide.model,
        adapter_slots: guide.places,
        in_flight: guide.in_flight,
        used: guide.used,
        load_requests: wants
            .map(|(model, adapter, version)| AdapterVersion { model, adapter, version })
            .collect(),
    };
    state.planner.record_report(now, from, report);
    if is_first {
        state.told = None;
    }
    drop(state);
    if is_first || is_wanted {
        side.changed.notify(usize::MAX);
    }
}

async fn look_after_engine(side: Arc<Side>) {
    let mut is_lost = false;
    loop {
        let changed = side.changed.listen();
        let mut interval = IDLE_INTERVAL;
        match (side.engine.look)().await {
            Ok(holding) => {
                note_start(&side, &holding);
                if std::mem::take(&mut is_lost) {
                    log::info!(event = Event::DependencyRegained, dependency = "engine"; "the engine answers again");
                }
                tell(&side, &holding).await;
                if act(&side, &holding).await {
                    continue;
                }
                let is_wanted = side.state.lock().planner.has_load_requests();
                if is_wanted || holding.is_busy || !holding.pending.is_empty() {
                    interval = BUSY_INTERVAL;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(event = Event::DependencyLost, dependency = "engine"; "{error}");
                }
            }
        }
        if interval == BUSY_INTERVAL {
            side.kernel.clock.sleep(interval).await;
        } else {
            let _sooner_or_later = side.kernel.clock.timeout(interval, changed).await;
        }
    }
}

/// Forgets the engine's name when its process is another one.
fn note_start(side: &Side, holding: &EngineState) {
    let mut state = side.state.lock();
    if state.born_ms != holding.born_ms {
        log::info!(event = Event::EngineStart, born_ms = holding.born_ms; "the engine is a new process");
        state.born_ms = holding.born_ms;
        state.engine_id = None;
    }
}

/// Gives the engine its next order; tells whether there was one.
async fn act(side: &Side, holding: &EngineState) -> bool {
    let (order, engine_id) = {
        let mut state = side.state.lock();
        let now = side.now();
        (state.planner.next_order(now, holding), state.engine_id.clone())
    };
    let Some(order) = order else { return false };
    let outcome = (side.engine.give)(&order, holding.orders, engine_id.as_deref()).await;
    let orders = holding.orders;
    match &outcome {
        Ok(Given::Accepted) => {
            log::info!(event = Event::Order, order:? = order, orders; "the engine accepted an order");
            if matches!(order, Order::LoadModel { .. }) {
                let mut state = side.state.lock();
                state.loading_since = Some(side.now());
                state.told = None;
            }
        }
        Ok(Given::OtherEngine { actual }) => {
            log::info!(
                event = Event::Order, order:? = order, meant:? = engine_id, actual:? = actual;
                "the engine has another name now"
            );
            side.state.lock().engine_id = actual.clone();
        }
        Err(error) => {
            log::warn!(event = Event::Order, order:? = order, orders; "{error}");
            side.state.lock().planner.record_unanswered_order(side.now());
        }
    }
    metrics::counter!("chivelatch_orders_total", "kind" => kind(&order)).increment(1);
    outcome.is_ok()
}

fn kind(order: &Order) -> &'static str {
    match order {
        Order::LoadModel { .. } => "load_model",
        Order::Load { .. } => "load",
        Order::Unload { .. } => "unload",
    }
}

/// Tells entry instances what the engine holds and is at, as far as that is news.
async fn tell(side: &Side, holding: &EngineState) {
    let Some((message, listeners)) = news(side, holding) else { return };
    for listener in listeners {
        mesh::send(&side.socket, listener, &message).await;
    }
}

fn news(side: &Side, holding: &EngineState) -> Option<(Message, Vec<SocketAddr>)> {
    let now = side.now();
    let mut state = side.state.lock();
    state.planner.record_engine_state(holding);
    state.entries.retain(|_, listener| now < listener.heard + ENTRY_SILENCE);
    let listeners = state.entries.keys().copied().collect();
    let work = state.work();
    let places = state.planner.slot_usage(now, holding);
    let held = state.status(holding);
    if state.told_at + STATUS_INTERVAL <= now || state.told.as_ref() != Some(&held) {
        state.told = Some(held.clone());
        state.told_at = now;
        state.told_work.clone_from(&work);
        state.told_work_at = now;
        let loading = state.loading_since.filter(|_| holding.models.is_empty());
        let loading_ms = loading.map(|since| now.saturating_sub(since).as_millis() as u64);
        return Some((Message::Status(Status { work, places, loading_ms, ..held }), listeners));
    }
    if state.told_work_at + WORK_INTERVAL <= now
        && (&state.told_work, state.told_places) != (&work, places)
    {
        state.told_places = places;
        state.told_work.clone_from(&work);
        state.told_work_at = now;
        return Some((Message::Work { born_ms: holding.born_ms, places, work }, listeners));
    }
    None
}

impl State {
    fn work(&self) -> Work {
        let busy = self.entries.iter();
        let busy = busy.filter(|(_, entry)| (entry.tokens, entry.requests) != (0, 0));
        let mut work: Work =
            busy.map(|(address, entry)| (*address, entry.tokens, entry.requests)).collect();
        work.sort_unstable();
        work
    }

    /// What the engine holds, without the work in flight.
    fn status(&self, holding: &EngineState) -> Status {
        let pairs = |list: &[AdapterVersion]| {
            list.iter().map(|resident| (resident.adapter.clone(), resident.version)).collect()
        };
        Status {
            server: self.engine_id.clone(),
            born_ms: holding.born_ms,
            models: holding.models.clone(),
            places: SlotUsage::default(),
            loading_ms: None,
            adapters: pairs(&holding.adapters),
            pending: pairs(&holding.pending),
            recent: pairs(self.planner.recent_adapters()),
            work: Work::new(),
        }
    }
}
