//! Choice of the backend server for an attempt.
//!
//! The routing policy names the servers to compare and chooses one of them. It compares
//! the latest reports of their side processes, which cover the outstanding tokens, the
//! adapter slots and the target's adapter, and adds the tokens that this instance has
//! sent to a server since its report.

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

/// Half-life of the exponentially decaying request count of an adapter.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(30);
/// Age of a report from which the server is probed for a new one.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Timeout of a probe. Without an answer, the last report counts; a server without any
/// report counts as idle.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a server is avoided after a failed attempt.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);
/// Limit of the servers probed for one attempt.
const MAX_PROBES: usize = 3;
/// Number of reports over which the moving average of adapter load times extends.
const LOAD_TIME_AVERAGE_REPORTS: u32 = 10;
/// Limit of the residency reports in one shard of the map, which is then emptied.
const MAX_RESIDENCIES_PER_SHARD: usize = 8192;

/// Input of routing decisions, as far as this instance knows it.
pub(crate) struct Routing {
    table: RwLock<Arc<Table>>,
    servers: shard::Map<Name, ServerState>,
    residencies: shard::Map<ResidencyKey, Residency>,
    popularity: Mutex<Popularity<Name>>,
    /// Number of decisions, for round-robin policies.
    sequence: AtomicUsize,
    /// Moving average of the time that adapter loads take, as reported by side processes.
    average_load_time: Mutex<Duration>,
}

/// State of a server as far as this instance knows it.
#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    /// Latest report of the server's side process.
    report: Load,
    reported_at: Option<Moment>,
    /// Cost of the attempts sent to the server since the report.
    sent_tokens: u64,
    failed_at: Option<Moment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ResidencyKey {
    server: Name,
    target: Target,
}

/// Latest report on whether a target's adapter is resident at a server.
#[derive(Clone, Copy, Debug)]
struct Residency {
    is_resident: bool,
    reported_at: Moment,
}

/// Server for an attempt, and its side process.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: Name,
    pub(crate) member: Member,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing {
            table: RwLock::default(),
            servers: shard::Map::default(),
            residencies: shard::Map::default(),
            popularity: Mutex::new(Popularity::new(POPULARITY_HALF_LIFE)),
            sequence: AtomicUsize::new(0),
            average_load_time: Mutex::new(Costs::default().load),
        }
    }
}

/// Counts a request towards the popularity of its adapter.
pub(crate) fn record_request(entry: &Entry, target: &Target) {
    if let Target::Adapter { adapter, .. } = target {
        let now = entry.node.now();
        entry.routing.popularity.lock().record(now, Arc::clone(adapter));
    }
}

/// Chooses a server for the next attempt, other than those in `attempted`.
pub(crate) async fn choose(entry: &Arc<Entry>, job: &Job, attempted: &[Name]) -> Option<Choice> {
    let table = table::current(entry);
    let servers = match &job.target {
        Target::Adapter { .. } => &table.engines,
        Target::Route { route } => table.services.get(route)?,
    };
    let compared = servers_to_compare(entry, job, servers, attempted);
    let candidates = candidates(entry, job, &table, servers, &compared).await;
    let costs = Costs { load: *entry.routing.average_load_time.lock(), ..entry.settings.costs };
    let chosen = (entry.settings.policy.choose)(&costs, &candidates)?;
    let server = Arc::clone(&servers[compared[chosen]].name);
    let member = table::member(entry, &table, &server)?;
    record_sent(entry, &server, job.cost);
    let candidate = candidates[chosen];
    entry
        .node
        .note(&job.request_id, format!("chose {server} of {}: {candidate:?}", candidates.len()));
    Some(Choice { server, member })
}

/// Records a report of a server's side process, made for a request or probe for `target`.
pub(crate) fn record_report(entry: &Entry, server: &Name, target: &Target, report: Load) {
    let now = entry.node.now();
    entry.routing.servers.with(server, |servers| {
        let known = servers.entry(Arc::clone(server)).or_default();
        *known = ServerState {
            report,
            reported_at: Some(now),
            sent_tokens: 0,
            failed_at: known.failed_at,
        };
    });
    {
        let mut average = entry.routing.average_load_time.lock();
        *average = (*average * (LOAD_TIME_AVERAGE_REPORTS - 1) + report.load_wait)
            / LOAD_TIME_AVERAGE_REPORTS;
    }
    let key = ResidencyKey { server: Arc::clone(server), target: target.clone() };
    entry.routing.residencies.with(&key, |residencies| {
        if MAX_RESIDENCIES_PER_SHARD <= residencies.len() {
            residencies.clear();
        }
        residencies
            .insert(key.clone(), Residency { is_resident: report.is_resident, reported_at: now });
    });
}

/// Records a failed attempt at a server.
pub(crate) fn record_failure(entry: &Entry, server: &Name) {
    let now = entry.node.now();
    entry.routing.servers.with(server, |servers| {
        servers.entry(Arc::clone(server)).or_default().failed_at = Some(now);
    });
}

fn record_sent(entry: &Entry, server: &Name, cost: u64) {
    entry.routing.servers.with(server, |servers| {
        servers.entry(Arc::clone(server)).or_default().sent_tokens += cost;
    });
}

/// Returns the indices of the servers that the policy compares, without those in
/// `attempted`. If all of these have failed recently, returns a single server instead.
fn servers_to_compare(
    entry: &Entry,
    job: &Job,
    servers: &[Server],
    attempted: &[Name],
) -> SmallVec<[usize; rendezvous::INLINE_SERVERS]> {
    let is_unattempted = |index: &usize| !attempted.contains(&servers[*index].name);
    let (target_hash, rate) = match &job.target {
        Target::Adapter { adapter, .. } => (rendezvous::hash(adapter), fleet_rate(entry, adapter)),
        Target::Route { route } => (rendezvous::hash(route), f64::INFINITY),
    };
    let context = Context {
        target_hash,
        rate,
        servers,
        sequence: entry.routing.sequence.fetch_add(1, Ordering::Relaxed),
        rate_per_server: entry.settings.rate_per_server,
    };
    let compared: SmallVec<_> =
        (entry.settings.policy.consider)(&context).into_iter().filter(is_unattempted).collect();
    if compared.iter().any(|index| !has_failed_recently(entry, &servers[*index])) {
        return compared;
    }
    // The best server in the target's ranking that has not failed recently, or else the best.
    let ranking = rendezvous::preferred(target_hash, servers, servers.len());
    let is_healthy =
        |index: &usize| is_unattempted(index) && !has_failed_recently(entry, &servers[*index]);
    let mut fallback = ranking.iter().copied().filter(is_healthy);
    let fallback = fallback.next().or_else(|| ranking.iter().copied().find(is_unattempted));
    fallback.into_iter().collect()
}

fn has_failed_recently(entry: &Entry, server: &Server) -> bool {
    let now = entry.node.now();
    let failed_at = entry
        .routing
        .servers
        .with(&server.name, |servers| servers.get(&server.name).and_then(|known| known.failed_at));
    failed_at.is_some_and(|at| now.saturating_sub(at) < FAILURE_COOLDOWN)
}

/// Estimates the requests per second for an adapter over the whole fleet, on the assumption
/// that the load balancer spreads them evenly over the entry instances.
fn fleet_rate(entry: &Entry, adapter: &Name) -> f64 {
    let now = entry.node.now();
    let entries = entry.node.listing().live(Role::Entry).count().max(1);
    entry.routing.popularity.lock().rate(now, adapter) * entries as f64
}

/// Returns the candidates at the given indices, after probes of those with stale reports. A
/// single candidate is not probed.
async fn candidates(
    entry: &Arc<Entry>,
    job: &Job,
    table: &Table,
    servers: &[Server],
    compared: &[usize],
) -> Vec<Candidate> {
    if 1 < compared.len() {
        probe(entry, job, table, servers, compared).await;
    }
    let compared = compared.iter();
    compared.map(|index| candidate(entry, job, &servers[*index])).collect()
}

/// Probes the servers whose latest report is stale.
async fn probe(
    entry: &Arc<Entry>,
    job: &Job,
    table: &Table,
    servers: &[Server],
    compared: &[usize],
) {
    let stale = compared.iter().filter(|index| is_report_stale(entry, job, &servers[**index]));
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
                let reply =
                    link.unary_call(address, IdentityRole::Side, &call, PROBE_TIMEOUT).await;
                if let Ok(Reply::Load(load)) = reply {
                    record_report(&entry, &server, &target, load);
                }
            }))
        })
        .collect();
    for probe in probes {
        probe.await;
    }
}

fn is_report_stale(entry: &Entry, job: &Job, server: &Server) -> bool {
    let now = entry.node.now();
    let key = ResidencyKey { server: Arc::clone(&server.name), target: job.target.clone() };
    let at = entry
        .routing
        .residencies
        .with(&key, |known| known.get(&key).map(|known| known.reported_at));
    at.is_none_or(|at| MAX_REPORT_AGE <= now.saturating_sub(at))
}

fn candidate(entry: &Entry, job: &Job, server: &Server) -> Candidate {
    let key = ResidencyKey { server: Arc::clone(&server.name), target: job.target.clone() };
    let residency = entry.routing.residencies.with(&key, |known| known.get(&key).copied());
    let known =
        entry.routing.servers.with(&server.name, |servers| servers.get(&server.name).copied());
    let known = known.unwrap_or_default();
    Candidate {
        queued_tokens: known.report.queued_tokens + known.sent_tokens,
        is_resident: residency.is_some_and(|residency| residency.is_resident),
        has_free_slot: known.reported_at.is_none() || known.report.has_free_slot,
        is_remote: server.zone != entry.node.settings.zone,
        is_suspect: has_failed_recently(entry, server),
    }
}
