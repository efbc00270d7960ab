//! Choosing the backend server for a try.

mod table;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::{Mutex, RwLock};
use smallvec::SmallVec;

use fleet::{
    Name,
    lease::Moment,
    member::{Member, Role},
};
use kernel::shard;
use placement::{
    choice::{Candidate, Costs},
    policy::Context,
    popularity::Popularity,
    rendezvous::{self, Server},
};
use wire::{
    frame::{Call, Load, Reply, Target},
    identity::Role as IdentityRole,
};

use crate::{Entry, job::Job, routing::table::Table};

/// Half-life of an adapter's request count.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(30);
/// Age at which a report of a server's load is asked for again.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Time that a probe may take; an unanswered one counts as an idle server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a server that failed is avoided.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Servers probed at once.
const MAX_PROBES: usize = 3;
/// Reports that the average wait for a load covers.
const AVERAGED_REPORTS: u32 = 10;
/// Residency reports kept in one shard before they are dropped.
const KEPT_RESIDENCIES: usize = 8192;

/// What this instance knows of the servers.
pub(crate) struct Routing {
    table: RwLock<Arc<Table>>,
    loads: shard::Map<Name, ServerLoad>,
    residencies: shard::Map<Residency, Reported>,
    popularity: Mutex<Popularity<Name>>,
    turn: AtomicUsize,
    /// Average of what loads take, as the side processes report it.
    load_wait: Mutex<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerLoad {
    load: Load,
    reported: Option<Moment>,
    /// Tokens sent there since the report.
    sent: u64,
    failed: Option<Moment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Residency {
    server: Name,
    target: Target,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    is_resident: bool,
    at: Moment,
}

/// The server for a try.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: Name,
    pub(crate) member: Member,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing {
            table: RwLock::default(),
            loads: shard::Map::default(),
            residencies: shard::Map::default(),
            popularity: Mutex::new(Popularity::new(POPULARITY_HALF_LIFE)),
            turn: AtomicUsize::new(0),
            load_wait: Mutex::new(Costs::default().load),
        }
    }
}

/// Counts a request for an adapter.
pub(crate) fn note_request(entry: &Entry, target: &Target) {
    if let Target::Adapter { adapter, .. } = target {
        let now = entry.node.now();
        entry.routing.popularity.lock().record(now, Arc::clone(adapter));
    }
}

/// Chooses a server that was not tried yet.
pub(crate) async fn choose(entry: &Arc<Entry>, job: &Job, tried: &[Name]) -> Option<Choice> {
    let table = table::current(entry);
    let servers = match &job.target {
        Target::Adapter { .. } => &table.engines,
        Target::Route { route } => table.services.get(route)?,
    };
    let considered = consider(entry, job, servers, tried);
    let candidates = candidates(entry, job, &table, servers, &considered).await;
    let costs = Costs { load: *entry.routing.load_wait.lock(), ..entry.settings.costs };
    let chosen = (entry.settings.policy.choose)(&costs, &candidates)?;
    let server = Arc::clone(&servers[considered[chosen]].name);
    let member = table::member(entry, &table, &server)?;
    note_sent(entry, &server, job.cost);
    let candidate = candidates[chosen];
    entry.node.note(&job.request, format!("chose {server} of {}: {candidate:?}", candidates.len()));
    Some(Choice { server, member })
}

/// Takes in a load report.
pub(crate) fn note_load(entry: &Entry, server: &Name, target: &Target, load: Load) {
    let now = entry.node.now();
    entry.routing.loads.with(server, |loads| {
        let known = loads.entry(Arc::clone(server)).or_default();
        *known = ServerLoad { load, reported: Some(now), sent: 0, failed: known.failed };
    });
    {
        let mut load_wait = entry.routing.load_wait.lock();
        *load_wait = (*load_wait * (AVERAGED_REPORTS - 1) + load.load_wait) / AVERAGED_REPORTS;
    }
    let key = Residency { server: Arc::clone(server), target: target.clone() };
    entry.routing.residencies.with(&key, |residencies| {
        if KEPT_RESIDENCIES <= residencies.len() {
            residencies.clear();
        }
        residencies.insert(key.clone(), Reported { is_resident: load.is_resident, at: now });
    });
}

/// A try failed at a server.
pub(crate) fn note_failure(entry: &Entry, server: &Name) {
    let now = entry.node.now();
    entry.routing.loads.with(server, |loads| {
        loads.entry(Arc::clone(server)).or_default().failed = Some(now);
    });
}

fn note_sent(entry: &Entry, server: &Name, cost: u64) {
    entry.routing.loads.with(server, |loads| {
        loads.entry(Arc::clone(server)).or_default().sent += cost;
    });
}

/// Positions of the servers worth comparing, without those tried.
fn consider(
    entry: &Entry,
    job: &Job,
    servers: &[Server],
    tried: &[Name],
) -> SmallVec<[usize; rendezvous::INLINE_REPLICAS]> {
    let is_new = |index: &usize| !tried.contains(&servers[*index].name);
    let (seed, rate) = match &job.target {
        Target::Adapter { adapter, .. } => (rendezvous::hash(adapter), fleet_rate(entry, adapter)),
        Target::Route { route } => (rendezvous::hash(route), f64::INFINITY),
    };
    let question = Context {
        target_hash: seed,
        rate,
        servers,
        sequence: entry.routing.turn.fetch_add(1, Ordering::Relaxed),
        rate_per_server: entry.settings.per_server,
    };
    let considered: SmallVec<_> =
        (entry.settings.policy.consider)(&question).into_iter().filter(is_new).collect();
    if considered.iter().any(|index| !has_failed(entry, &servers[*index])) {
        return considered;
    }
    // The next ones in the adapter's order, those that have not just failed first.
    let order = rendezvous::preferred(seed, servers, servers.len());
    let next = |index: &usize| is_new(index) && !has_failed(entry, &servers[*index]);
    let mut more = order.iter().copied().filter(next);
    let more = more.next().or_else(|| order.iter().copied().find(is_new));
    more.into_iter().collect()
}

fn has_failed(entry: &Entry, server: &Server) -> bool {
    let now = entry.node.now();
    let failed = entry
        .routing
        .loads
        .with(&server.name, |loads| loads.get(&server.name).and_then(|known| known.failed));
    failed.is_some_and(|at| now.saturating_sub(at) < FAILURE_MEMORY)
}

/// Requests a second for an adapter over the fleet; the balancer spreads them evenly.
fn fleet_rate(entry: &Entry, adapter: &Name) -> f64 {
    let now = entry.node.now();
    let entries = entry.node.listing().live(Role::Entry).count().max(1);
    entry.routing.popularity.lock().rate(now, adapter) * entries as f64
}

async fn candidates(
    entry: &Arc<Entry>,
    job: &Job,
    table: &Table,
    servers: &[Server],
    considered: &[usize],
) -> Vec<Candidate> {
    if 1 < considered.len() {
        probe(entry, job, table, servers, considered).await;
    }
    let considered = considered.iter();
    considered.map(|index| candidate(entry, job, &servers[*index])).collect()
}

/// Asks those servers for their load whose last report is old.
async fn probe(
    entry: &Arc<Entry>,
    job: &Job,
    table: &Table,
    servers: &[Server],
    considered: &[usize],
) {
    let stale = considered.iter().filter(|index| is_stale(entry, job, &servers[**index]));
    let probes: Vec<_> = stale
        .take(MAX_PROBES)
        .filter_map(|index| {
            let server = Arc::clone(&servers[*index].name);
            let address = table::member(entry, table, &server)?.address;
            let (entry, target) = (Arc::clone(entry), job.target.clone());
            let kernel = entry.node.kernel.clone();
            Some(kernel.spawn(async move {
                let call = Call::Probe(target.clone());
                let link = &entry.node.link;
                let reply = link.ask(address, IdentityRole::Side, &call, PROBE_TIMEOUT).await;
                if let Ok(Reply::Load(load)) = reply {
                    note_load(&entry, &server, &target, load);
                }
            }))
        })
        .collect();
    for probe in probes {
        probe.await;
    }
}

fn is_stale(entry: &Entry, job: &Job, server: &Server) -> bool {
    let now = entry.node.now();
    let key = Residency { server: Arc::clone(&server.name), target: job.target.clone() };
    let at = entry.routing.residencies.with(&key, |known| known.get(&key).map(|known| known.at));
    at.is_none_or(|at| REPORT_LIFETIME <= now.saturating_sub(at))
}

fn candidate(entry: &Entry, job: &Job, server: &Server) -> Candidate {
    let key = Residency { server: Arc::clone(&server.name), target: job.target.clone() };
    let residency = entry.routing.residencies.with(&key, |known| known.get(&key).copied());
    let known = entry.routing.loads.with(&server.name, |loads| loads.get(&server.name).copied());
    let known = known.unwrap_or_default();
    Candidate {
        queued_tokens: known.load.queued_tokens + known.sent,
        is_resident: residency.is_some_and(|residency| residency.is_resident),
        has_free_slot: known.reported.is_none() || known.load.has_free_slot,
        is_remote: server.zone != entry.node.settings.zone,
        is_suspect: has_failed(entry, server),
    }
}
