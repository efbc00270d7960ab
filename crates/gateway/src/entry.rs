//! An entry instance: its state, its start and its graceful shutdown.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    process::ExitCode,
    sync::{Arc, OnceLock, atomic::AtomicBool},
    time::{Duration, Instant},
};

use async_net::UdpSocket;
use hyper::http::response;
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
    adapter::Adapter,
    directory::Listing,
    limit::Statement,
    manifest::Manifest,
    mirror::{Mirror, Topic},
    origin::Origin,
    outage::{self, Finding},
    rate_limit::Limiter,
    reader,
    retry::Budget,
};

use crate::{
    evacuation, follow,
    gate::Gate,
    listen, mesh,
    mesh::Peers,
    message::{LeavingServer, News},
    origin::Origins,
    ports::{Dialect, Model, Reloader, ResponseMeta, Settings, Store, Tunable},
    quarantine::{self, Quarantine},
    reload,
    roster::{self, Roster, Server, StatusReport},
    shared_read::Reads,
    stop::{self, Stop},
};

/// Time for which a server is avoided after a failure. It doubles with each consecutive one.
const MIN_SUSPECT_TIME: Duration = Duration::from_millis(400);
/// Longest time for which a failed server is avoided.
const MAX_SUSPECT_TIME: Duration = Duration::from_secs(3);
/// Time for which the status report of a host without a listed server is kept; its server may not be
/// listed yet.
const REPORT_MEMORY: Duration = Duration::from_secs(60);
/// Half-life of an adapter's request rate.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);

/// State of an entry instance, shared by all its tasks.
pub struct Entry {
    pub kernel: Kernel,
    pub settings: Settings,
    pub dialect: Dialect,
    pub pool: Pool,
    pub store: Store,
    /// Random number of this start of the process.
    pub incarnation: u64,
    pub drain: Drain,
    /// Notified when the configuration, the servers or their adapters change.
    pub state_changed: event_listener::Event,
    /// Notified when the store was restored from an older copy.
    pub store_restored: event_listener::Event,
    /// Servers that announced to this instance that they leave, with the time, for its peers.
    pub leaving_servers: Mutex<Vec<(Moment, LeavingServer)>>,
    /// Notified when a server announces that it leaves, or states another limit.
    pub announced: event_listener::Event,
    pub gate: Gate,
    pub quarantine: Quarantine,
    pub origins: Origins,
    /// Reads of the register of software versions for take-ups whose origin nobody knows.
    pub software_reads: Reads<BTreeSet<Origin>>,
    /// Socket for datagrams, once it is open.
    pub mesh_socket: OnceLock<Arc<UdpSocket>>,
    /// Notified when a request starts to wait for an adapter.
    pub load_requested: event_listener::Event,
    pub servers: shard::Map<Name, Server>,
    /// Latest status report of each host's side process.
    pub status_reports: shard::Map<IpAddr, StatusReport>,
    /// Retry budgets by service.
    pub retry_budgets: shard::Map<Name, Budget>,
    pub limiter: Mutex<Limiter>,
    /// Request rates by adapter at this instance.
    pub popularity: Mutex<Popularity<Adapter>>,
    pub peers: Mutex<Peers>,
    /// Instances of the own zone that read the store.
    pub readers: Mutex<reader::Zone>,
    /// Whether a copy of a reader's mirror is being fetched.
    pub is_fetching_copy: AtomicBool,
    /// Latest gossip of instances of other zones that waits to be passed on in the own one, by sender
    /// and part.
    pub collected_news: Mutex<HashMap<(SocketAddr, u16), News>>,
    mirror: RwLock<Mirror>,
    roster: RwLock<Arc<Roster>>,
    store_health: Mutex<StoreHealth>,
    outages: Mutex<outage::Detector>,
    /// Time at which this instance last took the store for returned.
    store_returned_at: Mutex<Moment>,
    tunable: RwLock<Tunable>,
    pub stop: Stop,
    /// Position among the instances that end a server's pause at the same time, from 0 to 1.
    return_position: f64,
    start: Instant,
}

/// Reachability of the store.
#[derive(Debug, Default)]
struct StoreHealth {
    /// Time of the last usable response.
    last_response: Moment,
    /// Time of the last one with servers, which are read at short intervals; `None` before the first.
    last_servers_response: Option<Moment>,
    is_failing: bool,
}

/// Runs an entry instance until SIGTERM.
pub async fn run(
    kernel: Kernel,
    settings: Settings,
    dialect: Dialect,
    pool: Pool,
    store: Store,
    reloader: Reloader,
) -> ExitCode {
    settings.limit_buffers(&kernel);
    let entry = Arc::new(Entry::new(&kernel, settings, dialect, pool, store));
    log::info!(
        event = Event::Start, instance = &*entry.settings.instance, zone = &*entry.settings.zone;
        "entry instance is starting"
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
    stop::run(&entry).await;
    ExitCode::SUCCESS
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
            state_changed: event_listener::Event::new(),
            store_restored: event_listener::Event::new(),
            leaving_servers: Mutex::default(),
            announced: event_listener::Event::new(),
            gate: Gate::default(),
            quarantine: Quarantine::default(),
            origins: Origins::default(),
            software_reads: Reads::default(),
            mesh_socket: OnceLock::new(),
            load_requested: event_listener::Event::new(),
            servers: shard::Map::default(),
            status_reports: shard::Map::default(),
            retry_budgets: shard::Map::default(),
            limiter: Mutex::default(),
            popularity: Mutex::new(Popularity::new(POPULARITY_HALF_LIFE)),
            peers: Mutex::new(Peers::new(seeds)),
            readers: Mutex::new(reader::Zone::new(reader::rank(
                mesh::rank(settings.mesh),
                settings.capacity,
            ))),
            is_fetching_copy: AtomicBool::new(false),
            collected_news: Mutex::default(),
            mirror: RwLock::default(),
            roster: RwLock::default(),
            store_health: Mutex::default(),
            outages: Mutex::default(),
            store_returned_at: Mutex::default(),
            tunable: RwLock::new(settings.tunable.clone()),
            stop: Stop::default(),
            return_position: rand::random(),
            start: kernel.clock.now(),
            settings,
        }
    }

    /// Returns the monotonic time since the process started.
    pub fn now(&self) -> Moment {
        self.moment(self.kernel.clock.now())
    }

    /// Returns a time of the clock as the monotonic time since the process started.
    pub fn moment(&self, instant: Instant) -> Moment {
        instant.saturating_duration_since(self.start)
    }

    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.mirror.read().manifest.clone()
    }

    pub fn roster(&self) -> Arc<Roster> {
        Arc::clone(&self.roster.read())
    }

    /// Returns the settings that can change while the process runs.
    pub fn tunable(&self) -> Tunable {
        self.tunable.read().clone()
    }

    pub fn set_tunable(&self, tunable: Tunable) {
        *self.tunable.write() = tunable;
    }

    /// Returns whether the load balancer should send new connections to this instance.
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.is_synced()
    }

    /// Waits until the instance has its configuration and the servers, and knows which requests are
    /// in quarantine, at most until `deadline`.
    pub async fn wait_until_synced(&self, deadline: Moment) {
        loop {
            let changed = self.state_changed.listen();
            let mut remaining = self.stop.limit(deadline).saturating_sub(self.now());
            if remaining.is_zero() || self.is_synced() && self.is_informed() {
                return;
            }
            if !self.is_informed() {
                remaining = remaining.min(quarantine::SETTLING_PERIOD.saturating_sub(self.now()));
            }
            let _changed_or_timed_out = self.timeout(remaining, changed).await;
        }
    }

    /// Returns whether the instance has its configuration and any servers.
    fn is_synced(&self) -> bool {
        let mirror = self.mirror.read();
        mirror.manifest.is_some() && !mirror.directory.is_empty()
    }

    /// Runs `read` with the mirror of the store.
    pub fn with_mirror<T>(&self, read: impl FnOnce(&Mirror) -> T) -> T {
        read(&self.mirror.read())
    }

    /// Runs `update` with the mirror of the store. Replaces the roster and wakes waiting requests,
    /// unless only the log positions changed.
    pub fn update_mirror<T>(&self, update: impl FnOnce(Moment, &mut Mirror) -> T) -> T {
        let now = self.now();
        let mut mirror = self.mirror.write();
        let generation = mirror.generation();
        let revision = mirror.manifest.as_ref().map(|manifest| manifest.revision);
        let was_synced = mirror.manifest.is_some() && !mirror.directory.is_empty();
        let result = update(now, &mut mirror);
        if mirror.generation() == generation {
            return result;
        }
        // A warm-up that a new configuration adds is no start of a server.
        let is_configured = mirror.manifest.as_ref().map(|it| it.revision) == revision;
        self.review_warmups(&mirror, was_synced && is_configured);
        let roster = Roster::new(&mirror.directory, &mirror.evacuation);
        let roster = Arc::new(roster.with_side_hosts(&mirror, self.settings.mesh.port()));
        // Only this function replaces the roster, and the mirror is locked.
        let replaced = self.roster();
        // Before the servers can be chosen.
        for listing in mirror.directory.iter().filter(|it| roster.takes_back(&replaced, &it.zone)) {
            self.presume_warmup(listing);
        }
        *self.roster.write() = Arc::clone(&roster);
        // The lock is kept until here, so that neither the roster nor the count of emptied zones goes
        // back to an earlier one.
        evacuation::log_changes(&replaced, &roster, mirror.positions.operator);
        let manifest = mirror.manifest.clone();
        drop(mirror);
        if let Some(manifest) = manifest.filter(|it| Some(it.revision) != revision) {
            evacuation::log_unknown_homes(&manifest, &self.tunable().regions);
        }
        self.state_changed.notify(usize::MAX);
        result
    }

    /// Records a usable response of the store.
    pub fn record_store_response(&self, topic: Topic) {
        let now = self.now();
        let mut store_health = self.store_health.lock();
        store_health.last_response = now;
        if topic == Topic::Servers {
            store_health.last_servers_response = Some(now);
        }
        if !std::mem::take(&mut store_health.is_failing) {
            return;
        }
        drop(store_health);
        log::info!(
            event = Event::DependencyRegained, dependency = "store", topic:? = topic;
            "the store is reachable again"
        );
    }

    /// Records an answer of the store about servers that arrived at `at`, at this instance or at the
    /// one that it follows.
    pub fn record_servers_answer(&self, at: Moment) {
        let finding = self.outages.lock().record_answer(at);
        self.apply_finding(finding);
    }

    /// Records the store's answers that a peer tells of.
    pub fn record_peer_answers(&self, report: outage::Report) {
        let finding = self.outages.lock().record_report(self.now(), report);
        self.apply_finding(finding);
    }

    /// Returns whether the store was certainly there lately.
    pub fn is_store_steady(&self) -> bool {
        self.outages.lock().is_steady(self.now())
    }

    /// Keeps servers whose listings are removed for a while after an outage of the store, but not if
    /// only this instance could not reach it.
    fn apply_finding(&self, finding: Option<Finding>) {
        let removed = match finding {
            None => return,
            Some(Finding::Returned(away)) => {
                log::info!(
                    event = Event::StoreReturned, away_ms = away.as_millis() as u64;
                    "the store may have been away; servers may register again"
                );
                metrics::counter!("chivelatch_store_outages_total").increment(1);
                *self.store_returned_at.lock() = self.update_mirror(|now, mirror| {
                    mirror.directory.record_store_recovery(now);
                    now
                });
                return;
            }
            Some(Finding::NeverAway) => {
                let at = *self.store_returned_at.lock();
                self.update_mirror(|_, mirror| mirror.directory.forget_store_recovery(at))
            }
        };
        log::info!(
            event = Event::StoreReturned, removed = removed.len();
            "a peer shows that the store was never away; removals take effect"
        );
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&self, topic: Topic, error: &services::http::Error) {
        let mut store_health = self.store_health.lock();
        if std::mem::replace(&mut store_health.is_failing, true) {
            return;
        }
        drop(store_health);
        metrics::counter!("chivelatch_store_losses_total").increment(1);
        log::warn!(
            event = Event::DependencyLost, dependency = "store", topic:? = topic;
            "cannot read the store; keeping the mirrored state and retrying: {error}"
        );
    }

    /// Returns the time since the last usable response of the store, to this instance or to the one
    /// that it follows.
    pub fn store_silence(&self) -> Duration {
        let now = self.now();
        let followed = self.readers.lock().followed_silence(now);
        followed.unwrap_or_else(|| now.saturating_sub(self.store_health.lock().last_response))
    }

    /// Returns whether another instance reads the store for this one.
    pub fn follows_reader(&self) -> bool {
        self.readers.lock().followed_silence(self.now()).is_some()
    }

    /// Returns what this instance tells its zone about its reads of the store.
    pub fn reader_report(&self, generation: u64) -> reader::Report {
        let now = self.now();
        let responded_at = self.store_health.lock().last_servers_response;
        let responded_at = responded_at.filter(|_| !self.follows_reader());
        let silence = responded_at.map(|at| now.saturating_sub(at));
        let answers = self.outages.lock().report(now);
        reader::Report { incarnation: self.incarnation, generation, silence, answers }
    }

    /// Returns the oldest version of a model's adapter that may run, or 0 for a base model.
    pub fn min_version(&self, model: &Model) -> u64 {
        let Some(adapter) = model.adapter() else { return 0 };
        self.mirror.read().min_version(adapter)
    }

    /// Runs `update` with the state of a server.
    pub fn with_server<T>(&self, id: &Name, update: impl FnOnce(&mut Server) -> T) -> T {
        self.servers.with(id, |servers| update(servers.entry(id.clone()).or_default()))
    }

    /// Records a failure of a server, so that it is avoided for a while.
    pub fn record_failure(&self, id: &Name) {
        let now = self.now();
        self.with_server(id, |server| {
            server.backlog.record_outcome(now, true);
            let suspect_time =
                MIN_SUSPECT_TIME * 2u32.saturating_pow(server.consecutive_failures.min(8));
            server.consecutive_failures += 1;
            server.suspect_until = now + suspect_time.min(MAX_SUSPECT_TIME);
        });
    }

    /// Returns the metadata of the response to a request with the id `request_id`, sent at `sent_at`,
    /// and records what the server says about itself there.
    pub fn read_head(
        &self,
        server: &Listing,
        request_id: &Name,
        sent_at: Moment,
        head: &response::Parts,
    ) -> ResponseMeta {
        let meta = (self.dialect.parse_response)(head);
        // A response may come from another server that was started at the address.
        let is_other = meta.server.as_ref().is_some_and(|id| *id != server.id);
        if let Some(asked) = meta.pause {
            self.record_pause(server, asked);
        }
        // An extra or corrupt response does not tell that the limit has ended.
        let is_certain = meta.is_signed && meta.request_id.as_ref() == Some(request_id);
        if !is_other && (is_certain || meta.limit != Statement::Absent) {
            self.record_limit(server, sent_at, meta.limit);
        }
        if let Some(left) = meta.warmup_left.filter(|_| !is_other) {
            self.record_time_left(server, left);
        }
        if meta.is_leaving && !is_other && self.record_leaving(&server.id, server.born_ms) {
            let leaving = LeavingServer { server: server.id.clone(), born_ms: server.born_ms };
            self.leaving_servers.lock().push((self.now(), leaving));
            self.announced.notify(usize::MAX);
        }
        meta
    }

    /// Records that a process of a server announced that it leaves. Waiting requests move on.
    /// Returns whether this is new.
    pub fn record_leaving(&self, id: &Name, born_ms: u64) -> bool {
        let is_new = self.update_mirror(|_, mirror| mirror.directory.announce_leaving(id, born_ms));
        if is_new {
            metrics::counter!("chivelatch_leaving_servers_total").increment(1);
            log::info!(event = Event::Leaving, server = &**id, born_ms; "the server leaves");
        }
        is_new
    }

    fn record_pause(&self, server: &Listing, asked: Duration) {
        let now = self.now();
        let is_longer = self
            .with_server(&server.id, |state| state.pause.record(now, asked, self.return_position));
        if is_longer {
            metrics::counter!("chivelatch_pauses_total").increment(1);
            log::info!(
                event = Event::Pause, server = &*server.id, asked_ms = asked.as_millis() as u64;
                "the server wants no requests for a while"
            );
        }
    }

    /// Records a whole response of a server, which is then no longer avoided. An error response
    /// still counts towards the failure rate.
    pub fn record_response(&self, id: &Name, is_failure: bool) {
        let now = self.now();
        self.gate.limits.lock().record_response(now, id);
        self.with_server(id, |server| {
            server.backlog.record_outcome(now, is_failure);
            server.consecutive_failures = 0;
            server.suspect_until = Moment::ZERO;
        });
    }

    /// Returns the servers listed on a host. Some may have stopped and not been removed yet.
    pub fn servers_on(&self, host: IpAddr) -> Vec<Listing> {
        let mirror = self.mirror.read();
        let servers = mirror.directory.iter();
        servers.filter(|listing| listing.address.ip() == host).cloned().collect()
    }

    /// Forgets servers and hosts that are gone.
    pub fn forget_gone(&self) {
        self.readers.lock().forget_silent(self.now());
        let (now, mirror) = (self.now(), self.mirror.read());
        roster::forget_unlisted(&self.servers, |id| mirror.directory.get(id).is_some());
        let hosts: HashSet<IpAddr> =
            mirror.directory.iter().map(|listing| listing.address.ip()).collect();
        self.status_reports.for_each_shard(|reports| {
            reports.retain(|host, report| {
                hosts.contains(host) || now < report.received_at + REPORT_MEMORY
            });
        });
    }

    /// Returns the latest status report about a server.
    pub fn status_report(&self, listing: &Listing) -> Option<StatusReport> {
        let host = listing.address.ip();
        let report = self.status_reports.with(&host, |reports| reports.get(&host).cloned());
        report.filter(|report| report.is_about(listing))
    }

    /// Returns whether a server's process is the listed one, as far as its side process tells: a
    /// server may have started again under its name, and its new listing come late.
    pub fn is_listed_process(&self, listing: &Listing) -> bool {
        let report = self.status_report(listing);
        report.is_none_or(|report| report.status.born_ms == listing.born_ms)
    }

    /// Returns the address of a server's side process.
    pub fn side_address(&self, listing: &Listing) -> SocketAddr {
        SocketAddr::new(listing.address.ip(), self.settings.mesh.port())
    }
}
