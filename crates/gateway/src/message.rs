//! Datagrams between the system's processes, encoded with postcard.
//!
//! Each datagram carries the full state of its kind, so that a lost one is made
//! up for by the next. A field that was added later stands at the end of a datagram
//! and is read as its default from earlier builds ([`or_default`]).

mod adapters;

use std::{net::SocketAddr, time::Duration};

use fleet::suspect::{Record, trial::Spans};
use serde::{Deserialize, Deserializer, Serialize};
use smallvec::SmallVec;

use serving::{
    Name,
    adapter::{self, Adapter},
    limit,
    mirror::Positions,
    origin,
    rate_limit::UsageReport,
    reader,
    residency::{MAX_RECENT_ADAPTERS, SlotUsage},
};

/// Maximum size of a datagram, in bytes.
pub const MAX_BYTES: usize = 8 * 1024;

/// One datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// From an entry instance to the side process of a model engine.
    #[serde(rename = "Guide")]
    Demand(Demand),
    /// From a side process to the entry instances that send demand reports to it.
    Status(Status),
    /// From a side process, too: the part of its status that changes most often.
    Work {
        born_ms: u64,
        #[serde(rename = "places")]
        slot_usage: SlotUsage,
        work: Work,
    },
    /// Messages of earlier builds; ignored.
    EarlierGossip,
    EarlierLeaving,
    EarlierUsage,
    EarlierLimits,
    /// From an entry instance to the one that issues a server's permits.
    PermitRequest(PermitRequest),
    /// The response to it.
    PermitReply(PermitReply),
    /// Message of earlier builds; ignored.
    EarlierSuspects,
    /// Messages of earlier builds; ignored.
    EarlierTrialRequest,
    EarlierTrialReply,
    /// From the instance that requested a trial: the trial is over.
    TrialEnd {
        id: u64,
    },
    /// To an entry instance, and limits also to the side process of the server.
    News(News),
    /// To an entry instance of another availability zone, which passes it on in its zone.
    ForZone(News),
    /// What other zones told an entry instance, by sender, to the others of its zone.
    Relayed(Vec<(SocketAddr, News)>),
    /// From an entry instance to the one that grants a service's trials of suspects.
    TrialRequest(TrialRequest),
    /// The response to it.
    TrialReply(TrialReply),
    /// From an entry instance to the holders of its streams' origins.
    OriginNotice(OriginNotice),
    /// Confirms a notice, or that the store has the origins of an archive request.
    OriginReceipt {
        id: u64,
    },
    /// From an entry instance that gets a take-up to those who may hold the stream's origin.
    OriginRequest {
        id: u64,
        key: origin::Key,
    },
    /// The response to it.
    OriginReply(OriginReply),
    /// From a side process, too: the part of its status that changes with each load.
    Residents(Residents),
    /// From an entry instance to the one that reads the store for it: origins of streams to be kept there.
    ArchiveRequest(OriginNotice),
}

/// What processes tell the entry instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum News {
    /// Message of earlier builds; ignored.
    EarlierGossip,
    /// From any process: servers that announced in a response that they leave.
    Leaving(Vec<LeavingServer>),
    /// Limits that servers have named.
    Limits(Vec<limit::Report>),
    /// Message of earlier builds; ignored.
    EarlierSuspects,
    /// Requests that are suspected of crashing servers, and their attributes.
    Suspects(Vec<Record>),
    /// From each entry instance, at intervals.
    Gossip(Box<Gossip>),
    /// To an instance that has just started: addresses of the others.
    Peers(Vec<SocketAddr>),
    /// Processor share of the sender, in thousandths of a core.
    Capacity(u16),
}

macro_rules! kinds {
    ($($kind:ident = $name:literal,)*) => {
        /// Kind of a message, for counts.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($kind,)*
        }

        impl Kind {
            pub const ALL: &[Kind] = &[$(Kind::$kind),*];

            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)*
                }
            }
        }
    };
}

kinds! {
    Demand = "demand",
    Status = "status",
    Work = "work",
    Residents = "residents",
    Gossip = "gossip",
    Leaving = "leaving",
    Limits = "limits",
    Suspects = "suspects",
    Peers = "peers",
    Capacity = "capacity",
    Relayed = "relayed",
    Permit = "permit",
    Trial = "trial",
    Origin = "origin",
    Earlier = "earlier",
}

impl Message {
    pub fn kind(&self) -> Kind {
        match self {
            Message::Demand(_) => Kind::Demand,
            Message::Status(_) => Kind::Status,
            Message::Work { .. } => Kind::Work,
            Message::Residents(_) => Kind::Residents,
            Message::News(news) | Message::ForZone(news) => news.kind(),
            Message::Relayed(_) => Kind::Relayed,
            Message::PermitRequest(_) | Message::PermitReply(_) => Kind::Permit,
            Message::TrialRequest(_) | Message::TrialReply(_) | Message::TrialEnd { .. } => {
                Kind::Trial
            }
            Message::OriginNotice(_)
            | Message::OriginReceipt { .. }
            | Message::OriginRequest { .. }
            | Message::OriginReply(_)
            | Message::ArchiveRequest(_) => Kind::Origin,
            Message::EarlierGossip
            | Message::EarlierLeaving
            | Message::EarlierUsage
            | Message::EarlierLimits
            | Message::EarlierSuspects
            | Message::EarlierTrialRequest
            | Message::EarlierTrialReply => Kind::Earlier,
        }
    }
}

impl News {
    fn kind(&self) -> Kind {
        match self {
            News::Gossip(_) => Kind::Gossip,
            News::Leaving(_) => Kind::Leaving,
            News::Limits(_) => Kind::Limits,
            News::Suspects(_) => Kind::Suspects,
            News::Peers(_) => Kind::Peers,
            News::Capacity(_) => Kind::Capacity,
            News::EarlierSuspects | News::EarlierGossip => Kind::Earlier,
        }
    }
}

/// Request for a trial of suspects on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Id of the trial.
    pub id: u64,
    /// Client account of the request that is to run.
    pub account: Name,
    /// The suspects: the request, or attributes of it.
    pub spans: Spans,
    /// What the sender knows of the first few of them.
    pub evidence: SmallVec<[Record; 1]>,
    pub server: Name,
    /// Whether no other trial may run on the server.
    pub is_exclusive: bool,
}

/// Response to a request for a trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// Id of the trial.
    pub id: u64,
    pub is_granted: bool,
    /// What the sender knows of the first few of the suspects.
    pub evidence: SmallVec<[Record; 1]>,
}

/// Origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// Number that the receipt names.
    pub id: u64,
    pub records: Vec<origin::Record>,
}

/// Response to the question for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Id of the question.
    pub id: u64,
    pub answer: origin::Answer,
}

/// Request for a permit to send one request to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    pub id: u64,
    /// What the sender knows of the server's limit.
    pub limit: limit::Report,
    /// Longest time until the start of the permit.
    pub max_wait: Duration,
}

/// Response to a request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Id of the request for the permit.
    pub id: u64,
    /// Time until the permit starts, or if none was granted, until the next one is free.
    pub outcome: Result<Duration, Duration>,
}

/// The process of a server that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    pub server: Name,
    /// Start of the server's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Prompt tokens outstanding and requests in flight at an engine, by entry instance.
pub type Work = Vec<(SocketAddr, u64, u32)>;

/// Demand of an entry instance for a model engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "adapters::WireDemand", into = "adapters::WireDemand")]
pub struct Demand {
    pub server: Name,
    /// Start of the server's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Whether the entry instance is in the availability zone of the engine.
    pub is_near: bool,
    /// Whether the entry instance has no status report of the engine.
    pub needs_status: bool,
    /// Base model that the engine should load.
    pub model: Option<Name>,
    /// Adapter slots of the engine.
    pub adapter_slots: usize,
    /// Prompt tokens of requests that wait for their first event.
    pub tokens: u64,
    /// Requests in flight.
    pub requests: u32,
    /// Requests in flight by adapter.
    pub in_flight: Vec<(Adapter, u32)>,
    /// Adapters used since the previous demand report, once for each use.
    pub used: Vec<Adapter>,
    /// Adapters that requests wait for, in the oldest version that may run.
    pub load_requests: Vec<adapter::Version>,
    /// Whether the entry instance understands [`Residents`].
    pub takes_residents: bool,
}

/// Resident adapters of a model engine, and the work of entry instances in flight there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "adapters::WireStatus", into = "adapters::WireStatus")]
pub struct Status {
    /// Name of the engine, if it is known.
    pub server: Option<Name>,
    /// Start of the engine's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Loaded base models.
    pub models: Vec<Name>,
    pub slot_usage: SlotUsage,
    /// Time for which a base model has been loading, in milliseconds.
    pub loading_ms: Option<u64>,
    /// Resident adapters.
    pub adapters: Vec<adapter::Version>,
    /// Adapters that are being loaded.
    pub pending: Vec<adapter::Version>,
    /// Adapters that were resident recently and load quickly.
    pub recent: Vec<adapter::Version>,
    pub work: Work,
    /// Number of changes of the engine's name, process and base models.
    pub revision: u64,
}

/// Part of a status: the adapters and the work in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "adapters::WireResidents", into = "adapters::WireResidents")]
pub struct Residents {
    pub born_ms: u64,
    /// Revision of the status that this is a part of.
    pub revision: u64,
    pub slot_usage: SlotUsage,
    pub adapters: Vec<adapter::Version>,
    pub pending: Vec<adapter::Version>,
    pub work: Work,
}

impl Status {
    /// Replaces the part that changes with each load, if this is the same revision. Returns whether
    /// it is. Adapters that are gone were evicted, so they load quickly.
    pub fn update(&mut self, residents: &Residents) -> bool {
        if (self.born_ms, self.revision) != (residents.born_ms, residents.revision) {
            return false;
        }
        let is_listed = |adapter: &adapter::Version| residents.adapters.contains(adapter);
        self.recent.retain(|adapter| !is_listed(adapter));
        self.recent.extend(self.adapters.drain(..).filter(|adapter| !is_listed(adapter)));
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_ADAPTERS);
        self.recent.drain(..surplus);
        self.adapters.clone_from(&residents.adapters);
        self.pending.clone_from(&residents.pending);
        self.work.clone_from(&residents.work);
        self.slot_usage = residents.slot_usage;
        true
    }
}

/// Report of an entry instance to its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// Availability zone.
    pub zone: Name,
    /// Positions up to which it has read the store.
    pub positions: Positions,
    /// Its reads of the store, for its zone.
    pub reader: reader::Report,
    pub usage: UsageReport,
}

/// Reads the last field of a datagram, which earlier builds do not send.
fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
