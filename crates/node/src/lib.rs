//! The part that entry instances and side processes share: following the configuration, the
//! leases and the instance list, exchanging state with peers, and the orderly stop.
//!
//! Architecture Invariant: decisions are made by crates without I/O (`fleet`, `placement`). This
//! crate passes them what it reads and carries out their results.

pub mod exchange;
pub mod follow;
pub mod leases;
pub mod program;
pub mod settings;
pub mod snapshot;
pub mod trace;

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use event_listener::{Event, EventListener};
use parking_lot::{Mutex, RwLock};

use fleet::{
    Name,
    freshness::Freshness,
    lease::{Holder, Moment, Participant},
    member::{Listing, Member, Phase, Role},
    replica::Replica,
    state::State,
    suspect,
};
use kernel::{Kernel, drain::Drain};
use services::{list::List, log::Log};
use wire::{
    frame::{Call, LeaseStatus, Reply, Status},
    identity,
    link::Link,
};

use crate::{settings::Settings, trace::Trace};

/// Time limit of a short call between processes.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// State of one process of the fleet, shared by all its tasks.
pub struct Node {
    pub kernel: Kernel,
    pub settings: Settings,
    pub log: Log,
    pub list: List,
    pub link: Link,
    pub drain: Drain,
    pub trace: Trace,
    started_at: Instant,
    profile: Profile,
    replica: RwLock<Replica>,
    listing: RwLock<Arc<Listing>>,
    participant: Mutex<Participant>,
    freshness: Mutex<Freshness>,
    suspects: Mutex<suspect::List>,
    configuration_changed: Event,
}

/// Properties of a process that the shared [`Settings`] do not contain.
#[derive(Clone, Debug)]
pub struct Profile {
    pub role: Role,
    /// Backend server next to a side process; `None` for an entry instance.
    pub server: Option<Name>,
    /// Relative capacity of that backend server.
    pub weight: u32,
    /// Routes of a plain service; empty for a model engine.
    pub routes: Vec<Name>,
}

impl Node {
    /// Creates a node with a random incarnation; its tasks are not started.
    pub fn new(kernel: &Kernel, settings: Settings, profile: Profile, link: Link) -> Arc<Node> {
        let limit = settings.platform_timeout;
        let me = Holder { instance: Arc::clone(&settings.instance), incarnation: rand::random() };
        Arc::new(Node {
            kernel: kernel.clone(),
            log: Log::over_http(kernel, settings.log, limit),
            list: List::over_http(kernel, settings.list, limit),
            link,
            drain: Drain::default(),
            trace: Trace::default(),
            started_at: kernel.clock.now(),
            profile,
            replica: RwLock::default(),
            listing: RwLock::default(),
            participant: Mutex::new(Participant::new(me, settings.lease_rules())),
            freshness: Mutex::default(),
            suspects: Mutex::new(suspect::List::new(settings.suspect_memory)),
            configuration_changed: Event::new(),
            settings,
        })
    }

    /// Returns the monotonic time since the node was created.
    pub fn now(&self) -> Moment {
        self.kernel.clock.now().saturating_duration_since(self.started_at)
    }

    /// Returns the entry of this process in the instance list.
    pub fn member(&self) -> Member {
        let phase = if self.drain.is_stopping() { Phase::Leaving } else { Phase::Live };
        Member {
            instance: Arc::clone(&self.settings.instance),
            incarnation: self.participant.lock().me().incarnation,
            role: self.profile.role,
            zone: Arc::clone(&self.settings.zone),
            address: self.settings.fleet_address,
            phase,
            server: self.profile.server.clone(),
            weight: self.profile.weight,
            routes: self.profile.routes.clone(),
        }
    }

    /// Returns the configuration, once known.
    pub fn state(&self) -> Option<Arc<State>> {
        self.replica.read().state().cloned()
    }

    /// Returns a listener for the next change of the configuration.
    pub fn configuration_change(&self) -> EventListener {
        self.configuration_changed.listen()
    }

    /// Returns the instance list as of the latest read.
    pub fn listing(&self) -> Arc<Listing> {
        Arc::clone(&self.listing.read())
    }

    /// Returns the other live processes of a role.
    pub fn peers(&self, role: Role) -> Vec<Member> {
        let listing = self.listing();
        let others = listing.live(role).filter(|member| member.instance != self.settings.instance);
        others.cloned().collect()
    }

    /// Returns whether the configuration can be assumed to include every withdrawal of a key older
    /// than the staleness limit.
    pub fn is_fresh(&self) -> bool {
        let is_complete = !self.replica.read().has_gap();
        is_complete && self.freshness.lock().is_fresh(self.now(), self.settings.staleness_limit)
    }

    /// Runs `use_participant` with the lease state, under its lock.
    pub fn with_participant<T>(&self, use_participant: impl FnOnce(&mut Participant) -> T) -> T {
        use_participant(&mut self.participant.lock())
    }

    /// Runs `use_suspects` with the list of suspected poison requests, under its lock.
    pub fn with_suspects<T>(&self, use_suspects: impl FnOnce(&mut suspect::List) -> T) -> T {
        use_suspects(&mut self.suspects.lock())
    }

    /// Returns the address of the holder of a resource; `None` if the resource has no lease, was
    /// released, or its holder is not listed.
    pub fn holder_address(&self, resource: &str) -> Option<SocketAddr> {
        let holder = {
            let participant = self.participant.lock();
            let lease = participant.table().lease(resource)?;
            if lease.released.is_some() {
                return None;
            }
            lease.holder.clone()
        };
        let listing = self.listing();
        let mut members = listing.members.iter();
        let is_holder = |member: &&Member| {
            member.instance == holder.instance && member.incarnation == holder.incarnation
        };
        members.find(is_holder).map(|member| member.address)
    }

    /// Makes a call with a single reply to a peer, limited to [`CALL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// The errors of [`Link::unary_call`].
    pub async fn call(&self, peer: &Member, call: &Call) -> Result<Reply, wire::link::Error> {
        self.link.unary_call(peer.address, identity_role(peer.role), call, CALL_TIMEOUT).await
    }

    /// Records a decision about a request, for `explain`.
    pub fn note(&self, request: &Name, what: impl Into<Arc<str>>) {
        let at_ms = self.kernel.clock.unix_ms();
        self.trace.note(request, at_ms, &self.settings.instance, what.into());
    }

    /// Returns the status fields that all processes have; the others have their defaults.
    pub fn status(&self) -> Status {
        let replica = self.replica.read();
        let participant = self.participant.lock();
        let leases = participant.table().leases().map(|(resource, lease)| LeaseStatus {
            resource: Arc::clone(resource),
            lease: lease.clone(),
        });
        Status {
            instance: Arc::clone(&self.settings.instance),
            zone: Arc::clone(&self.settings.zone),
            role: Arc::from(identity_role(self.profile.role).file_stem()),
            revision: replica.state().map_or(0, |state| state.revision),
            next: replica.next(),
            is_fresh: self.freshness.lock().is_fresh(self.now(), self.settings.staleness_limit),
            is_stopping: self.drain.is_stopping(),
            server: self.profile.server.clone(),
            leases: leases.collect(),
            ..Status::default()
        }
    }

    /// Returns the reply to a call that all processes handle; `None` for any other call.
    pub fn answer(&self, call: &Call) -> Option<Reply> {
        match call {
            Call::Sync { next } => Some(Reply::Update(self.replica.read().update_since(*next))),
            Call::Leases => Some(Reply::Leases(
                self.with_participant(|participant| participant.table().clone()),
            )),
            Call::Suspects(records) => {
                let now = self.now();
                self.with_suspects(|list| {
                    for record in records {
                        list.merge(now, record);
                    }
                });
                Some(Reply::Done)
            }
            // Not enough to tell which requests may have caused the crash.
            Call::EarlierSuspects(_) | Call::EarlierSuspectRecords => Some(Reply::Done),
            Call::Explain { request } => Some(Reply::Explanation(self.trace.steps(request))),
            _ => None,
        }
    }
}

/// Returns the certificate role of a role in the instance list.
pub fn identity_role(role: Role) -> identity::Role {
    match role {
        Role::Entry => identity::Role::Entry,
        Role::Side => identity::Role::Side,
    }
}
