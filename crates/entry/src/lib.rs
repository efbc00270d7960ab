//! The entry instance: authenticates callers, admits their requests within the
//! token rate of their client account, routes each request to the side process of
//! a backend server and streams the answer back.
//!
//! Architecture Invariant: a caller's key never leaves this crate, and is kept
//! only as a digest.

mod admission;
mod answer;
mod attempt;
mod caller;
mod completion;
mod handler;
mod idempotency;
mod issuer;
mod job;
mod quarantine;
mod rejection;
mod relay;
mod routing;
mod service;
pub mod settings;

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use async_net::TcpListener;
use futures_rustls::TlsAcceptor;
use parking_lot::Mutex;
use snafu::{ResultExt as _, Snafu};

use fleet::{Name, member};
use front::{server, tls};
use kernel::{Kernel, drain::Drain, shard};
use node::{Node, Profile, follow, leases, program, snapshot};
use quota::pool::Pool;
use schedule::retry;
use wire::{
    codec,
    frame::{Call, Reply, Status},
    identity::Role,
    link::{Exchange, Link, OpenError},
};

use crate::{idempotency::Ledger, issuer::Issuer, routing::Routing, settings::Settings};

/// State of an entry instance, shared by its tasks.
pub struct Entry {
    node: Arc<Node>,
    settings: Settings,
    /// Unspent grants of tokens by account.
    pools: shard::Map<Name, Pool>,
    issuer: Mutex<Issuer>,
    routing: Routing,
    ledger: Ledger,
    retry_budget: Mutex<retry::Budget>,
    /// Number of callers' requests in flight.
    in_flight: AtomicU64,
    /// Drain of the callers' connections. It stops later than the drain of the node, so
    /// that the platform's load balancer first sees this instance leave.
    connections: Drain,
}

/// Reason why an entry instance could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    #[snafu(display("{source}"))]
    Fleet { source: OpenError },
    #[snafu(display("{source}"))]
    Listen { source: server::ListenError },
    #[snafu(display("{source}"))]
    Tls { source: tls::Error },
}

/// Runs an entry instance until SIGTERM.
pub fn main(settings: Settings) -> ExitCode {
    let threads = settings.node.threads;
    let log_level = settings.node.log_level;
    program::run(threads, log_level, |kernel| async move {
        match open(&kernel, settings).await {
            Ok(entry) => entry.run_to_stop().await,
            Err(error) => {
                log::error!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}

/// Listens at the instance's addresses and starts its tasks.
///
/// # Errors
///
/// Fails if an address or the certificates cannot be used.
pub async fn open(kernel: &Kernel, settings: Settings) -> Result<Arc<Entry>, StartError> {
    let files = settings.node.identity.clone();
    let link = Link::open(kernel, settings.node.fleet_address, files).context(FleetSnafu)?;
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose().context(TlsSnafu)?;
    let listener = server::listen(settings.listen).await.context(ListenSnafu)?;
    let profile =
        Profile { role: member::Role::Entry, server: None, weight: 1, routes: Vec::new() };
    let node = Node::new(kernel, settings.node.clone(), profile, link);
    let entry = Arc::new(Entry {
        pools: shard::Map::default(),
        issuer: Mutex::default(),
        routing: Routing::default(),
        ledger: Ledger::new(&settings),
        retry_budget: Mutex::new(retry::Budget::new(settings.retry_percent)),
        in_flight: AtomicU64::new(0),
        connections: Drain::default(),
        node,
        settings,
    });
    entry.spawn_tasks(listener, acceptor);
    Ok(entry)
}

impl Entry {
    fn spawn_tasks(self: &Arc<Entry>, listener: TcpListener, acceptor: Option<TlsAcceptor>) {
        let kernel = &self.node.kernel;
        program::start(&self.node);
        kernel.spawn_detached(snapshot::run(Arc::clone(&self.node)));
        let entry = Arc::clone(self);
        let resources = move |node: &Node| issuer::resources_to_hold(node, &entry.settings);
        kernel.spawn_detached(leases::run(Arc::clone(&self.node), resources));
        kernel.spawn_detached(admission::return_idle_grants(Arc::clone(self)));
        let entry = Arc::clone(self);
        kernel.spawn_detached(async move {
            let link = entry.node.link.clone();
            link.serve(move |role, call, exchange| {
                handle_call(Arc::clone(&entry), role, call, exchange)
            })
            .await;
        });
        let entry = Arc::clone(self);
        kernel.spawn_detached(async move {
            let connections = entry.connections.clone();
            let kernel = entry.node.kernel.clone();
            let handle = move |request| handler::handle(Arc::clone(&entry), request);
            match acceptor {
                Some(acceptor) => {
                    server::serve_tls(&kernel, listener, acceptor, &connections, handle).await;
                }
                None => server::serve(&kernel, listener, &connections, handle).await,
            }
        });
    }

    /// Serves until SIGTERM, then shuts down gracefully. Returns a failure if requests were
    /// still running at the stop limit.
    pub async fn run_to_stop(&self) -> ExitCode {
        program::wait_for_stop(&self.node).await;
        self.stop().await
    }

    /// Shuts down gracefully: waits until the load balancer has seen this instance leave,
    /// drains the running requests, then releases the leases.
    async fn stop(&self) -> ExitCode {
        let clock = &self.node.kernel.clock;
        clock.sleep(self.node.settings.stop_notice).await;
        self.connections.stop();
        let is_drained = self.connections.finish(clock, self.node.settings.stop_limit).await;
        issuer::ensure_buckets(self);
        leases::release(&self.node, |resource| {
            self.issuer.lock().carried_level(self.node.now(), resource)
        })
        .await;
        // The other instances have to read the releases before this one stops answering them.
        clock
            .sleep(follow::throttled_interval(&self.node, self.node.settings.log_interval) * 2)
            .await;
        self.node.link.close().await;
        if is_drained { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    fn status(&self) -> Status {
        Status { in_flight: self.in_flight.load(Ordering::Relaxed), ..self.node.status() }
    }
}

/// Answers a call of another process of the fleet.
async fn handle_call(entry: Arc<Entry>, role: Role, call: Call, mut exchange: Exchange) {
    let reply = match call {
        Call::Draw(draw) if role == Role::Entry => {
            Reply::Grant(issuer::grant_tokens(&entry, &draw))
        }
        Call::Settle(settlement) if role == Role::Entry => {
            issuer::settle(&entry, &settlement);
            Reply::Done
        }
        Call::AskPermit { account } if role == Role::Side => {
            Reply::Permit(issuer::grant_permit(&entry, &account))
        }
        Call::ReturnPermit(permit) if role == Role::Side => {
            issuer::release_permit(&entry, permit);
            Reply::Done
        }
        Call::Status => Reply::Status(Box::new(entry.status())),
        call => entry.node.answer(&call).unwrap_or(Reply::Forbidden),
    };
    if let Err(error) = codec::send(&mut exchange.send, &reply).await {
        log::debug!("failed to send a reply to another process of the fleet: {error}");
    }
}
