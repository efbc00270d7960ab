//! An entry instance: its state, its tasks and its orderly stop.

use std::{
    net::{IpAddr, SocketAddr},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};

use kernel::{
    Kernel,
    drain::{self, Drain},
    event::Event,
    shard,
};
use placement::popularity::Popularity;
use services::pool::Pool;
use serving::{
    Moment, Name,
    directory::Listing,
    manifest::Manifest,
    mirror::{Mirror, Topic},
    rate_limit::Limiter,
    retry::Budget,
};

use crate::{
    follow, listen, mesh,
    mesh::Peers,
    ports::{Dialect, Model, Reloader, Settings, Store, Tunable},
    reload,
    roster::{Roster, Server, Sighting},
};

/// Time after a stop signal in which new connections are still served: the
/// balancer notices two missed checks only.
const BALANCER_NOTICE: Duration = Duration::from_millis(2500);
/// Part of the stop limit in which running requests may end.
const STOP_SHARE: f64 = 0.9;
/// First pause after a failure of a server; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Time in which half of an adapter's requests are forgotten.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);

/// State of an entry instance; shared by all its tasks.
pub struct Entry {
    pub kernel: Kernel,
    pub settings: Settings,
    pub dialect: Dialect,
    pub pool: Pool,
    pub store: Store,
    pub incarnation: u64,
    pub drain: Drain,
    /// Notified when a server's adapters change.
    pub residency: event_listener::Event,
    /// Notified when a side process should hear from this instance at once.
    pub guidance: event_listener::Event,
    pub servers: shard::Map<Name, Server>,
    /// Model engines as the side processes on their hosts see them.
    pub sightings: shard::Map<IpAddr, Sighting>,
    pub budgets: shard::Map<Name, Budget>,
    pub ledger: Mutex<Limiter>,
    /// Requests by adapter at this instance.
    pub popularity: Mutex<Popularity<Name>>,
    pub peers: Mutex<Peers>,
    knowledge: RwLock<Mirror>,
    roster: RwLock<Arc<Roster>>,
    health: Mutex<Health>,
    tunable: RwLock<Tunable>,
    is_stopping: AtomicBool,
    start: Instant,
}

/// Whether the store answers.
#[derive(Debug, Default)]
struct Health {
    answered: Moment,
    is_failing: bool,
}

/// Runs an entry instance until it is told to stop.
pub async fn run(
    kernel: Kernel,
    settings: Settings,
    dialect: Dialect,
    pool: Pool,
    store: Store,
    reloader: Reloader,
) -> ExitCode {
    let entry = Arc::new(Entry::new(&kernel, settings, dialect, pool, store));
    log::info!(
        event = Event::Start, instance = &*entry.settings.instance, zone = &*entry.settings.zone;
        "entry instance starts"
    );
    if let Err(error) = listen::start(&entry).await {
        log::error!(event = Event::Start; "{error}");
        return ExitCode::FAILURE;
    }
    if let Err(error) = mesh::start_entry(&entry).await {
        log::error!(event = Event::Start; "{error}");
        return ExitCode::FAILURE;
    }
    follow::start(&entry);
    kernel.spawn_detached(reload::run(Arc::clone(&entry), reloader));
    drain::termination().await;
    stop(&entry).await;
    ExitCode::SUCCESS
}

/// Takes no new connections once the balancer has noticed, and lets requests end.
async fn stop(entry: &Entry) {
    let limit = entry.tunable().stop_limit.mul_f64(STOP_SHARE);
    log::info!(event = Event::Stop, limit_ms = limit.as_millis() as u64; "stopping: not ready any more");
    entry.is_stopping.store(true, Ordering::Relaxed);
    let notice = BALANCER_NOTICE.min(limit / 2);
    entry.kernel.clock.sleep(notice).await;
    entry.drain.stop();
    let is_finished = entry.drain.finish(&entry.kernel.clock, limit - notice).await;
    log::info!(event = Event::Stop, is_finished; "stopped");
    log::logger().flush();
}

impl Entry {
    fn new(
        kernel: &Kernel,
        settings: Settings,
        dialect: Dialect,
        pool: Pool,
        store: Store,
    ) -> Entry {
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != settings.mesh);
        Entry {
            kernel: kernel.clone(),
            dialect,
            pool,
            store,
            incarnation: rand::random(),
            drain: Drain::default(),
            residency: event_listener::Event::new(),
            guidance: event_listener::Event::new(),
            servers: shard::Map::default(),
            sightings: shard::Map::default(),
            budgets: shard::Map::default(),
            ledger: Mutex::default(),
            popularity: Mutex::new(Popularity::new(POPULARITY_HALF_LIFE)),
            peers: Mutex::new(Peers::new(seeds)),
            knowledge: RwLock::default(),
            roster: RwLock::default(),
            health: Mutex::default(),
            tunable: RwLock::new(settings.tunable.clone()),
            is_stopping: AtomicBool::new(false),
            start: kernel.clock.now(),
            settings,
        }
    }

    /// Monotonic time since the process started.
    pub fn now(&self) -> Moment {
        self.kernel.clock.now().saturating_duration_since(self.start)
    }

    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.knowledge.read().manifest.clone()
    }

    pub fn roster(&self) -> Arc<Roster> {
        Arc::clone(&self.roster.read())
    }

    /// Settings that may change while the process runs.
    pub fn tunable(&self) -> Tunable {
        self.tunable.read().clone()
    }

    pub fn set_tunable(&self, tunable: Tunable) {
        *self.tunable.write() = tunable;
    }

    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_informed()
    }

    /// Waits until the instance has heard its configuration and the servers, at most until `end`.
    pub async fn wait_until_informed(&self, end: Moment) {
        loop {
            let changed = self.residency.listen();
            let left = end.saturating_sub(self.now());
            if self.is_informed() || left.is_zero() {
                return;
            }
            let _again_either_way = self.kernel.clock.timeout(left, changed).await;
        }
    }

    fn is_informed(&self) -> bool {
        let knowledge = self.knowledge.read();
        knowledge.manifest.is_some() && !knowledge.directory.is_empty()
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Reads what is known.
    pub fn with_knowledge<T>(&self, read: impl FnOnce(&Mirror) -> T) -> T {
        read(&self.knowledge.read())
    }

    /// Changes what is known; where requests are concerned, makes the roster anew and wakes
    /// those that wait.
    pub fn update_knowledge<T>(&self, update: impl FnOnce(Moment, &mut Mirror) -> T) -> T {
        let now = self.now();
        let mut knowledge = self.knowledge.write();
        let before = knowledge.generation();
        let result = update(now, &mut knowledge);
        if knowledge.generation() == before {
            return result;
        }
        let roster = Roster::new(&knowledge.directory);
        drop(knowledge);
        *self.roster.write() = Arc::new(roster);
        self.residency.notify(usize::MAX);
        result
    }

    /// The store answered.
    pub fn store_answered(&self, topic: Topic) {
        let now = self.now();
        let mut health = self.health.lock();
        health.answered = now;
        if !std::mem::take(&mut health.is_failing) {
            return;
        }
        drop(health);
        log::info!(event = Event::DependencyRegained, dependency = "store", topic:? = topic; "the store answers again");
        self.knowledge.write().directory.record_store_recovery(now);
    }

    /// The store gave no usable answer.
    pub fn store_failed(&self, topic: Topic, error: &services::http::Error) {
        let mut health = self.health.lock();
        if std::mem::replace(&mut health.is_failing, true) {
            return;
        }
        drop(health);
        metrics::counter!("chivelatch_store_losses_total").increment(1);
        log::warn!(event = Event::DependencyLost, dependency = "store", topic:? = topic; "{error}");
    }

    /// Time since the store last answered, while it does not.
    pub fn store_silence(&self) -> Duration {
        let health = self.health.lock();
        self.now().saturating_sub(health.answered)
    }

    /// The oldest version of a model's adapter that may run.
    pub fn version(&self, model: &Model) -> u64 {
        let Some(adapter) = &model.adapter else { return 0 };
        self.knowledge.read().min_version(&model.base, adapter)
    }

    /// Runs `update` with the state of a server.
    pub fn with_server<T>(&self, id: &Name, update: impl FnOnce(&mut Server) -> T) -> T {
        self.servers.with(id, |servers| update(servers.entry(id.clone()).or_default()))
    }

    /// Notes that a server failed, so that others are preferred for a while.
    pub fn note_failure(&self, id: &Name) {
        let now = self.now();
        self.with_server(id, |server| {
            server.backlog.record_outcome(now, true);
            let pause = FIRST_PAUSE * 2u32.saturating_pow(server.failures.min(8));
            server.failures += 1;
            server.suspect_until = now + pause.min(MAX_PAUSE);
        });
    }

    /// Notes that a server gave a whole answer, though maybe a failed one.
    pub fn note_answer(&self, id: &Name, is_failure: bool) {
        let now = self.now();
        self.with_server(id, |server| {
            server.backlog.record_outcome(now, is_failure);
            server.failures = 0;
            server.suspect_until = Moment::ZERO;
        });
    }

    /// The servers that the list shows on a host: also those that are gone and not yet removed.
    pub fn servers_on(&self, host: IpAddr) -> Vec<Listing> {
        let knowledge = self.knowledge.read();
        let servers = knowledge.directory.iter();
        servers.filter(|listing| listing.address.ip() == host).cloned().collect()
    }

    /// What the side process beside a server said about this very server.
    pub fn sighting(&self, listing: &Listing) -> Option<Sighting> {
        let host = listing.address.ip();
        let sighting = self.sightings.with(&host, |sightings| sightings.get(&host).cloned());
        sighting.filter(|sighting| sighting.is_of(listing))
    }

    /// Where the side process beside a server listens.
    pub fn side_of(&self, listing: &Listing) -> SocketAddr {
        SocketAddr::new(listing.address.ip(), self.settings.mesh.port())
    }
}
