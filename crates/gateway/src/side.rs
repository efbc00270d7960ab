//! Side process of one model engine: loads and evicts adapters by the demand of
//! the entry instances, and reports the engine's state to them.
//!
//! Architecture Invariant: only the side process sends orders to its engine, so
//! they need no lease.

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
    Moment, Name, adapter, limit,
    residency::{EngineState, Order, Planner, Report, SlotUsage},
    subscription::{Due, Subscription},
};

use crate::{
    listen, mesh,
    message::{Demand, LeavingServer, Message, News, Residents, Status, Work},
    origin::Holder,
    ports::{Engine, OrderResponse, Settings},
};

/// Time between reads of the engine's state while nothing is to be loaded.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time between reads of the engine's state while an adapter is requested or being loaded.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(12);
/// Silence after which an entry instance gets no more reports.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(3);
/// A side process, shared by its tasks.
struct Side {
    kernel: Kernel,
    engine: Engine,
    socket: UdpSocket,
    start: Instant,
    state: Mutex<State>,
    /// Origins of streams, which outlast the entry instances here.
    origins: Holder,
    /// Notified when the engine's state should be read at once.
    poll_requested: event_listener::Event,
}

/// What a side process knows of its engine and its subscribers, and what it last sent to them.
#[derive(Default)]
struct State {
    planner: Planner,
    subscribers: HashMap<SocketAddr, Subscriber>,
    /// Start of the engine's process, in milliseconds since the Unix epoch.
    born_ms: u64,
    /// Name of the engine with this start, if it is known.
    engine_id: Option<Name>,
    /// Start of the engine's process that announced that it leaves, and was reported.
    reported_leaving: Option<u64>,
    /// Time at which the engine accepted the latest order to load a base model.
    loading_since: Option<Moment>,
    /// Latest status, without the work in flight, and the number of its changes.
    status: Status,
    status_changes: u64,
    /// Number of changes of what only the whole status tells.
    revision: u64,
}

/// An entry instance that gets reports.
#[derive(Default)]
struct Subscriber {
    last_seen: Moment,
    /// Prompt tokens of its requests that wait for their first event.
    tokens: u64,
    /// Its requests in flight.
    requests: u32,
    subscription: Subscription,
    /// Work of the latest report to it.
    sent_work: (Work, SlotUsage),
}

/// Runs a side process until SIGTERM.
pub async fn run(kernel: Kernel, settings: Settings, engine: Engine) -> ExitCode {
    log::info!(
        event = Event::Start, instance = &*settings.instance, zone = &*settings.zone;
        "side process is starting"
    );
    settings.limit_buffers(&kernel);
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
        origins: Holder::new(kernel.clock.now()),
        poll_requested: event_listener::Event::new(),
    });
    kernel.spawn_detached(receive(Arc::clone(&side)));
    kernel.spawn_detached(manage_engine(side));
    kernel.spawn_detached(mesh::log_regularly(kernel.clone()));
    // A side process reloads no settings, but SIGHUP must not end it.
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

/// Receives what entry instances send: their demand reports, the limits that they know, and the
/// origins of streams.
async fn receive(side: Arc<Side>) {
    loop {
        let Some((from, message)) = mesh::next(&side.socket).await else { continue };
        match message {
            Message::Demand(demand) => record_demand(&side, from, demand),
            Message::News(News::Limits(reports)) => record_limits(&side, &reports),
            message => {
                let response = side.origins.respond(side.kernel.clock.now(), message);
                if let Some(response) = response {
                    mesh::send(&side.socket, from, &response).await;
                }
            }
        }
    }
}

/// Records a demand report. Load requests and reports of new subscribers wake the engine task.
fn record_demand(side: &Side, from: SocketAddr, demand: Demand) {
    let now = side.now();
    let has_load_requests = !demand.load_requests.is_empty();
    let mut state = side.state.lock();
    let needs_status = demand.needs_status || !state.subscribers.contains_key(&from);
    let subscriber = state.subscribers.entry(from).or_default();
    subscriber.last_seen = now;
    (subscriber.tokens, subscriber.requests) = (demand.tokens, demand.requests);
    subscriber.subscription.is_near = demand.is_near;
    subscriber.subscription.takes_residents = demand.takes_residents;
    if needs_status {
        subscriber.subscription.forget_status();
    }
    subscriber.subscription.has_work =
        (demand.tokens, demand.requests) != (0, 0) || has_load_requests;
    if demand.born_ms == state.born_ms {
        state.engine_id = Some(demand.server);
    }
    let report = Report {
        model: demand.model,
        adapter_slots: demand.adapter_slots,
        in_flight: demand.in_flight,
        used: demand.used,
        load_requests: demand.load_requests,
    };
    state.planner.record_report(now, from, report);
    drop(state);
    if needs_status || has_load_requests {
        side.poll_requested.notify(usize::MAX);
    }
}

/// Records the limit of this process's engine, if entry instances report one.
fn record_limits(side: &Side, reports: &[limit::Report]) {
    let (now, mut state) = (side.now(), side.state.lock());
    let own = reports.iter().filter(|report| report.born_ms == state.born_ms);
    for rate in own.filter_map(|report| report.rate).collect::<Vec<_>>() {
        state.planner.record_limit(now, rate);
    }
}

/// Polls the engine's state, reports it to the subscribers and sends orders to the engine.
async fn manage_engine(side: Arc<Side>) {
    let mut is_unreachable = false;
    loop {
        let requested = side.poll_requested.listen();
        let mut interval = IDLE_POLL_INTERVAL;
        match (side.engine.state)().await {
            Ok(engine) => {
                record_engine_start(&side, &engine);
                if std::mem::take(&mut is_unreachable) {
                    log::info!(
                        event = Event::DependencyRegained, dependency = "engine";
                        "the engine is reachable again"
                    );
                }
                report_leaving(&side, &engine).await;
                send_updates(&side, &engine).await;
                if send_next_order(&side, &engine).await {
                    continue;
                }
                let has_load_requests = side.state.lock().planner.has_load_requests();
                if has_load_requests || engine.is_busy || !engine.pending.is_empty() {
                    interval = BUSY_POLL_INTERVAL;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!(
                        event = Event::DependencyLost, dependency = "engine";
                        "cannot read the engine's state; retrying: {error}"
                    );
                }
            }
        }
        if interval == BUSY_POLL_INTERVAL {
            side.kernel.clock.sleep(interval).await;
        } else {
            let _requested_or_timed_out = side.kernel.clock.timeout(interval, requested).await;
        }
    }
}

/// Resets the engine's name if its process is a new one.
fn record_engine_start(side: &Side, engine: &EngineState) {
    let mut state = side.state.lock();
    if state.born_ms != engine.born_ms {
        log::info!(
            event = Event::EngineStart, born_ms = engine.born_ms;
            "the engine's process is a new one"
        );
        state.born_ms = engine.born_ms;
        state.engine_id = None;
    }
}

/// Sends the next order to the engine. Returns whether the engine responded to one.
async fn send_next_order(side: &Side, engine: &EngineState) -> bool {
    let (order, engine_id) = {
        let mut state = side.state.lock();
        let now = side.now();
        (state.planner.next_order(now, engine), state.engine_id.clone())
    };
    let Some(order) = order else { return false };
    let outcome = (side.engine.order)(&order, engine.orders, engine_id.as_deref()).await;
    let orders = engine.orders;
    match &outcome {
        Ok(OrderResponse::Accepted) => {
            log::info!(
                event = Event::Order, order:? = order, orders;
                "the engine accepted an order"
            );
            if matches!(order, Order::LoadModel { .. }) {
                let mut state = side.state.lock();
                state.loading_since = Some(side.now());
                state.start_revision();
            }
        }
        Ok(OrderResponse::OtherEngine { actual }) => {
            log::info!(
                event = Event::Order, order:? = order, meant:? = engine_id, actual:? = actual;
                "the engine rejected an order that was addressed to another engine"
            );
            side.state.lock().engine_id = actual.clone();
        }
        Err(error) => {
            log::warn!(
                event = Event::Order, order:? = order, orders;
                "the engine did not confirm an order; pausing orders: {error}"
            );
            side.state.lock().planner.record_unanswered_order(side.now());
        }
    }
    metrics::counter!("chivelatch_orders_total", "kind" => kind(&order)).increment(1);
    outcome.is_ok()
}

/// Returns the metric label of an order.
fn kind(order: &Order) -> &'static str {
    match order {
        Order::LoadModel { .. } => "load_model",
        Order::Load { .. } => "load",
        Order::Unload { .. } => "unload",
    }
}

/// Tells the subscribers once if the engine announces that it leaves and its name is known.
async fn report_leaving(side: &Side, engine: &EngineState) {
    if !engine.is_leaving {
        return;
    }
    let (server, subscribers) = {
        let mut state = side.state.lock();
        let Some(server) = state.engine_id.clone() else { return };
        if state.reported_leaving.replace(engine.born_ms) == Some(engine.born_ms) {
            return;
        }
        (server, state.subscribers.keys().copied().collect::<Vec<_>>())
    };
    log::info!(
        event = Event::Leaving, server = &*server, born_ms = engine.born_ms;
        "the engine leaves; it gets no more orders"
    );
    let leaving = LeavingServer { server, born_ms: engine.born_ms };
    let message = Message::News(News::Leaving(vec![leaving]));
    for subscriber in subscribers {
        mesh::send(&side.socket, subscriber, &message).await;
    }
}

/// Sends the due reports to the subscribers.
async fn send_updates(side: &Side, engine: &EngineState) {
    for (message, subscribers) in due_updates(side, engine) {
        for subscriber in subscribers {
            mesh::send(&side.socket, subscriber, &message).await;
        }
    }
}

/// Returns the due reports with the subscribers that get them.
fn due_updates(side: &Side, engine: &EngineState) -> Vec<(Message, Vec<SocketAddr>)> {
    let now = side.now();
    let mut state = side.state.lock();
    state.planner.record_engine_state(engine);
    state.subscribers.retain(|_, subscriber| now < subscriber.last_seen + SUBSCRIBER_TIMEOUT);
    let work = (state.work(), state.planner.slot_usage(now, engine));
    state.record_status(engine);
    let (status, changes) = (state.status.clone(), state.status_changes);
    let (mut with_status, mut with_residents, mut with_work) = (Vec::new(), Vec::new(), Vec::new());
    for (address, subscriber) in &mut state.subscribers {
        let has_new_work = subscriber.sent_work != work;
        let Some(due) = subscriber.subscription.due(now, changes, has_new_work) else { continue };
        subscriber.subscription.record_sent(now, changes, due);
        subscriber.sent_work.clone_from(&work);
        match due {
            Due::Status => with_status.push(*address),
            Due::Residents => with_residents.push(*address),
            Due::Work => with_work.push(*address),
        }
    }
    let (work, slot_usage) = work;
    let loading = state.loading_since.filter(|_| engine.models.is_empty());
    let loading_ms = loading.map(|since| now.saturating_sub(since).as_millis() as u64);
    let short = Message::Work { born_ms: engine.born_ms, slot_usage, work: work.clone() };
    let residents = Message::Residents(Residents {
        born_ms: engine.born_ms,
        revision: state.revision,
        slot_usage,
        adapters: status.adapters.clone(),
        pending: status.pending.clone(),
        work: work.clone(),
    });
    let revision = state.revision;
    let full = Message::Status(Status { work, slot_usage, loading_ms, revision, ..status });
    vec![(full, with_status), (residents, with_residents), (short, with_work)]
}

impl State {
    /// Returns the work in flight of all subscribers.
    fn work(&self) -> Work {
        let active = self.subscribers.iter();
        let active = active.filter(|(_, it)| (it.tokens, it.requests) != (0, 0));
        let mut work: Work =
            active.map(|(address, it)| (*address, it.tokens, it.requests)).collect();
        work.sort_unstable();
        work
    }

    /// Records the status of the engine, without the work in flight.
    fn record_status(&mut self, engine: &EngineState) {
        let status = self.status(engine);
        let revised =
            |status: &Status| (status.server.clone(), status.born_ms, status.models.clone());
        if revised(&self.status) != revised(&status) {
            self.start_revision();
        }
        if self.status != status {
            self.status = status;
            self.status_changes += 1;
        }
    }

    /// Lets all subscribers get the whole status.
    fn start_revision(&mut self) {
        self.revision += 1;
        self.subscribers.values_mut().for_each(|it| it.subscription.forget_status());
    }

    /// Returns the status of the engine without the work in flight. Its lists are sorted, so that
    /// another order is no change.
    fn status(&self, engine: &EngineState) -> Status {
        let sorted = |list: &[adapter::Version]| {
            let mut versions = list.to_vec();
            versions.sort_unstable();
            versions
        };
        Status {
            server: self.engine_id.clone(),
            born_ms: engine.born_ms,
            models: engine.models.clone(),
            slot_usage: SlotUsage::default(),
            loading_ms: None,
            adapters: sorted(&engine.adapters),
            pending: sorted(&engine.pending),
            recent: self.evicted(engine),
            work: Work::new(),
            revision: 0,
        }
    }

    /// Returns the adapters that were resident recently and are not now, the most recent last.
    fn evicted(&self, engine: &EngineState) -> Vec<adapter::Version> {
        let recent = self.planner.recent_adapters().iter();
        recent.filter(|it| !engine.adapters.contains(it)).cloned().collect()
    }
}
