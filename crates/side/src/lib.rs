//! The side process, which runs beside each backend server; every request to
//! the server passes through it. It owns the adapter slots and their pins, the
//! request queue, the loading and unloading of adapters, and the drain.
//!
//! Architecture Invariant: adapters are loaded and unloaded only while this
//! process holds the server's lease, which is checked again after every wait.

mod attempt;
mod dispatch;
mod engine_watch;
pub mod events;
mod load;
mod relay;
pub mod settings;

use std::{
    collections::HashMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use event_listener::Event;
use hyper::StatusCode;
use parking_lot::Mutex;

use fleet::{Name, lease::Ownership};
use front::{body, server};
use kernel::{Kernel, drain::Drain, metrics, plugin};
use node::{Node, Profile, leases, program};
use placement::{
    rendezvous,
    slots::{Key, SlotId, Slots},
};
use schedule::queue::Queue;
use services::engine::Engine;
use wire::{
    codec,
    frame::{Call, Load, NotBegun, Reply, SlotStatus, Status, Target},
    identity::Role,
    link::{Exchange, Link},
};

use crate::{dispatch::Job, settings::Settings};

/// Initial value of [`Core::load_wait`], before any load was measured.
const INITIAL_LOAD_WAIT: Duration = Duration::from_millis(400);

/// State of a side process, shared by its tasks.
pub struct Side {
    node: Arc<Node>,
    settings: Settings,
    engine: Engine,
    /// Name of the lease on the backend server.
    lease_name: Name,
    core: Mutex<Core>,
    /// Notifies the dispatcher when an attempt arrives or ends, or a load ends.
    wake: Event,
    /// Attempts queued or running.
    in_flight: AtomicU64,
}

/// State that the dispatcher decides on. One lock covers it, because each decision depends on both
/// the slots and the queue.
struct Core {
    slots: Slots,
    queue: Queue<Job>,
    /// Attempts that have left the queue and not ended, including those that wait for a load.
    admitted: u64,
    /// Admitted attempts that run at the engine.
    running: u64,
    /// Sum of the costs of the running attempts.
    running_tokens: u64,
    /// An attempt that must run alone is admitted.
    is_exclusive: bool,
    /// Channels to the attempts that wait for a load.
    load_waiters: HashMap<SlotId, Vec<async_channel::Sender<LoadOutcome>>>,
    /// Exponential moving average of the duration of loads, including the wait for a permit.
    load_wait: Duration,
    /// Number of engine crashes that this process observed.
    epoch: u64,
    is_engine_down: bool,
}

/// Outcome of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadOutcome {
    Loaded,
    Failed,
}

/// Runs a side process until SIGTERM.
pub fn main(settings: Settings) -> ExitCode {
    let threads = settings.node.threads;
    let log_level = settings.node.log_level;
    program::run(threads, log_level, |kernel| async move {
        let metrics = settings.metrics;
        match open(&kernel, settings) {
            Ok(side) => {
                if let Some(address) = metrics {
                    kernel.spawn_detached(serve_metrics(kernel.clone(), address));
                }
                side.run_to_stop().await
            }
            Err(error) => {
                log::error!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}

/// Listens at the address of the process and starts its tasks.
///
/// # Errors
///
/// The address or the certificates cannot be used.
pub fn open(kernel: &Kernel, settings: Settings) -> Result<Arc<Side>, wire::link::OpenError> {
    let files = settings.node.identity.clone();
    let link = Link::open(kernel, settings.node.fleet_address, files)?;
    let profile = Profile {
        role: fleet::member::Role::Side,
        server: Some(Arc::clone(&settings.server)),
        weight: settings.weight,
        routes: settings.routes.clone(),
    };
    let node = Node::new(kernel, settings.node.clone(), profile, link);
    let side = Arc::new(Side::new(node, settings));
    side.start();
    Ok(side)
}

impl Side {
    fn new(node: Arc<Node>, settings: Settings) -> Side {
        let dialect = plugin::find("openai").expect("the dialect is linked into this program");
        let core = Core {
            slots: Slots::new(settings.slots, settings.eviction),
            queue: Queue::new(settings.discipline, settings.queue_limit),
            admitted: 0,
            running: 0,
            running_tokens: 0,
            is_exclusive: false,
            load_waiters: HashMap::new(),
            load_wait: INITIAL_LOAD_WAIT,
            epoch: 0,
            is_engine_down: false,
        };
        Side {
            engine: Engine::new(&node.kernel, settings.backend, dialect),
            lease_name: Arc::from(format!("server/{}", settings.server)),
            core: Mutex::new(core),
            wake: Event::new(),
            in_flight: AtomicU64::new(0),
            node,
            settings,
        }
    }

    /// Spawns the tasks of the process.
    fn start(self: &Arc<Side>) {
        let kernel = &self.node.kernel;
        program::start(&self.node);
        let lease_name = Arc::clone(&self.lease_name);
        let leases = leases::run(Arc::clone(&self.node), move |_| vec![Arc::clone(&lease_name)]);
        kernel.spawn_detached(leases);
        kernel.spawn_detached(dispatch::run(Arc::clone(self)));
        kernel.spawn_detached(engine_watch::run(Arc::clone(self)));
        let side = Arc::clone(self);
        let link = self.node.link.clone();
        kernel.spawn_detached(async move {
            link.serve(move |role, call, exchange| serve(Arc::clone(&side), role, call, exchange))
                .await;
        });
    }

    /// Serves until SIGTERM, then shuts down gracefully. Fails if attempts were still in flight at
    /// the stop limit.
    pub async fn run_to_stop(&self) -> ExitCode {
        program::wait_for_stop(&self.node).await;
        self.stop().await
    }

    /// Waits for attempts in flight, releases the lease and closes the listener.
    async fn stop(&self) -> ExitCode {
        self.wake.notify(usize::MAX);
        let clock = &self.node.kernel.clock;
        clock.sleep(self.node.settings.stop_notice).await;
        let is_done = self.node.drain.finish(clock, self.node.settings.stop_limit).await;
        leases::release(&self.node, |_| 0).await;
        self.node.link.close().await;
        if is_done { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    /// Returns the lease on the backend server, if this process holds it now.
    fn held_lease(&self) -> Option<Ownership> {
        let now = self.node.now();
        self.node.with_participant(|participant| participant.held(now, &self.lease_name))
    }

    /// Returns the reason to reject new attempts, if there is one.
    fn rejection(&self) -> Option<NotBegun> {
        if self.is_draining() {
            return Some(NotBegun::Leaving);
        }
        if self.held_lease().is_none() {
            return Some(NotBegun::NotHolder);
        }
        self.core.lock().is_engine_down.then_some(NotBegun::EngineDown)
    }

    /// Returns whether this process is stopping or its server is drained by an operator.
    fn is_draining(&self) -> bool {
        let is_drained =
            |state: Arc<fleet::state::State>| state.drained_servers.contains(&self.settings.server);
        self.node.drain.is_stopping() || self.node.state().is_some_and(is_drained)
    }

    /// Returns whether the backend server serves a target.
    fn serves(&self, target: &Target) -> bool {
        match target {
            Target::Adapter { .. } => self.settings.routes.is_empty(),
            Target::Route { route } => self.settings.routes.contains(route),
        }
    }

    /// Returns the work ahead of a request for `target`, and whether its adapter is resident.
    fn work_ahead(&self, target: &Target) -> Load {
        let core = self.core.lock();
        // Running requests delay a new one only when the batch is full.
        let is_full = self.settings.batch <= core.running;
        let running_tokens = if is_full { core.running_tokens } else { 0 };
        Load {
            queued_tokens: core.queue.queued_tokens() + running_tokens,
            is_resident: match key_of(target) {
                Some(key) => core.slots.is_present(&key),
                None => true,
            },
            has_free_slot: core.slots.has_room(),
            load_wait: core.load_wait,
        }
    }

    fn status(&self) -> Status {
        let core = self.core.lock();
        let slots = core.slots.list().map(|(key, pins)| SlotStatus {
            adapter: Arc::clone(&key.adapter),
            version: key.version,
            pins,
        });
        Status {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            queued: core.queue.len() as u64,
            queued_tokens: core.queue.queued_tokens(),
            slots: slots.collect(),
            ..self.node.status()
        }
    }

    /// Returns the id of an engine crash, which is the same for all attempts that it affected.
    fn crash_id(&self, epoch: u64) -> u64 {
        let incarnation = self.node.with_participant(|participant| participant.me().incarnation);
        rendezvous::hash(&self.settings.server) ^ incarnation ^ epoch.rotate_left(32)
    }
}

/// Serves the metrics page until the process exits.
async fn serve_metrics(kernel: Kernel, address: SocketAddr) {
    match server::listen(address).await {
        Ok(listener) => {
            let page = |_| async { body::full(StatusCode::OK, "text/plain", metrics::render()) };
            server::serve(&kernel, listener, &Drain::default(), page).await;
        }
        Err(error) => log::error!("cannot serve metrics: {error}"),
    }
}

/// Returns the adapter that a target needs; `None` for a plain service.
fn key_of(target: &Target) -> Option<Key> {
    match target {
        Target::Adapter { adapter, version } => {
            Some(Key { adapter: Arc::clone(adapter), version: *version })
        }
        Target::Route { .. } => None,
    }
}

/// Answers one call of another process.
async fn serve(side: Arc<Side>, role: Role, call: Call, mut exchange: Exchange) {
    let reply = match call {
        Call::Attempt(attempt) if role == Role::Entry => {
            return attempt::run(&side, *attempt, exchange).await;
        }
        Call::Probe(target) if role == Role::Entry => Reply::Load(side.work_ahead(&target)),
        Call::Status => Reply::Status(Box::new(side.status())),
        call => side.node.answer(&call).unwrap_or(Reply::Forbidden),
    };
    if let Err(error) = codec::send(&mut exchange.send, &reply).await {
        log::debug!("failed to send a reply: {error}");
    }
}
