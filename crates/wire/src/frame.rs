//! Frames of the calls between processes and of their replies.
//!
//! Frames are encoded with postcard, which writes fields and variants by position: their order,
//! types and number are part of the protocol. Names are not, apart from the attributes that keep
//! the former serialized names.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use fleet::{
    Name,
    change::{Repeat, Urgency},
    digest::Digest,
    lease::{Lease, Table},
    replica::Update,
    suspect::Record,
};
use quota::pool::Part;

/// First frame of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Runs an attempt. The reply is [`Reply::Head`], [`Reply::Chunk`]s and [`Reply::End`], or
    /// [`Reply::NotBegun`] or [`Reply::Broken`]; [`Reply::Waiting`] may come in between.
    Attempt(Box<Attempt>),
    /// Requests the load of a backend server from its side process.
    Probe(Target),
    /// Requests tokens from the holder of a quota shard.
    Draw(Draw),
    /// Refunds unused tokens or reports tokens used beyond a reservation.
    Settle(Settlement),
    /// Requests a permit to load an adapter from the weight store on behalf of an account.
    AskPermit { account: Name },
    /// Returns the permit with this id, because its load has ended.
    ReturnPermit(u64),
    /// Requests the configuration records from offset `next` on.
    Sync { next: u64 },
    /// Requests the lease table.
    Leases,
    /// Report of earlier builds on requests that were running when an engine crashed, by
    /// fingerprint and crash; ignored.
    EarlierSuspects(Vec<(Digest, u64)>),
    /// Requests the status of the process.
    Status,
    /// Requests the recorded decisions about a request.
    Explain { request: Name },
    /// Record of earlier builds; ignored.
    EarlierSuspectRecords,
    /// Tells what is known of requests that were running when an engine crashed, and of their
    /// attributes.
    Suspects(Vec<Record>),
}

/// Frames of the reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Start of the response to an attempt.
    Head(Head),
    /// Next chunk of the response; `index` counts from 0.
    Chunk {
        id: AttemptId,
        index: u32,
        bytes: Vec<u8>,
    },
    /// End of a complete response. `tokens` is the usage that the engine reported.
    End {
        id: AttemptId,
        chunks: u32,
        tokens: Option<u64>,
        load: Load,
    },
    /// Keepalive of an attempt that is queued or running.
    Waiting {
        id: AttemptId,
    },
    /// The attempt did not start; another server may run it.
    NotBegun {
        id: AttemptId,
        reason: NotBegun,
        load: Load,
    },
    /// The attempt started and failed before its end.
    Broken {
        id: AttemptId,
        reason: Broken,
    },
    Load(Load),
    Grant(Grant),
    Permit(Permit),
    Update(Update),
    Leases(Table),
    Status(Box<Status>),
    Explanation(Vec<Step>),
    /// The call was carried out and has no result.
    Done,
    /// The role of the calling process does not permit this call.
    Forbidden,
}

/// Identifies an attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Id of the request.
    pub request: Name,
    /// Number of the attempt within the request.
    pub attempt: u32,
}

/// The adapter version or plain service that handles a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    Adapter { adapter: Name, version: u32 },
    Route { route: Name },
}

/// One send of a request to a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    pub id: AttemptId,
    pub account: Name,
    pub target: Target,
    pub method: Name,
    pub path: Name,
    pub content_type: Name,
    pub body: Vec<u8>,
    /// Reserved tokens.
    pub cost: u64,
    /// Remaining time for the attempt to start.
    #[serde(rename = "patience")]
    pub time_budget: Duration,
    pub repeat: Repeat,
    pub urgency: Urgency,
    #[serde(rename = "exposure")]
    pub isolation: Isolation,
    pub fingerprint: Digest,
}

/// Whether an attempt may run at the same time as others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Isolation {
    Shared,
    /// The request is suspected of crashing engines and runs alone.
    Alone,
}

/// Start of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub id: AttemptId,
    pub status: u16,
    pub content_type: Name,
}

/// Reason for which an attempt did not start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotBegun {
    /// The side process is stopping or its backend server is drained.
    Leaving,
    /// The side process does not hold its backend server's lease.
    NotHolder,
    QueueFull,
    /// The time budget ran out before the attempt could start.
    TooLate,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The engine is unreachable.
    EngineDown,
    /// This backend server does not serve the target.
    WrongTarget,
}

/// Reason for which a started attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Broken {
    /// The engine crashed while it ran this attempt and possibly others. `crash` identifies the
    /// crash.
    EngineCrashed { crash: u64 },
    /// The engine's response was malformed or incomplete.
    BadAnswer,
}

/// Load of a backend server, reported by its side process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tokens of the queued attempts, and of the running ones while the batch is full.
    pub queued_tokens: u64,
    /// Whether the target's adapter is resident or being loaded.
    pub is_resident: bool,
    /// Whether an adapter slot is free or can be freed by an eviction.
    pub has_free_slot: bool,
    /// Recent duration of adapter loads, including the wait for a load permit.
    pub load_wait: Duration,
}

/// Request for tokens of one quota shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    pub account: Name,
    pub shard: u64,
    /// Requested tokens.
    pub want: u64,
}

/// Reply to a [`Draw`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    Tokens {
        part: Part,
        /// Time until the shard's bucket holds the tokens that were requested but not granted.
        refill: Duration,
    },
    /// This instance does not hold the shard, or no longer.
    NotHolder {
        /// Remaining wait until it does, if it has claimed the shard.
        starts_in: Option<Duration>,
    },
}

/// Correction of a reservation once the actual usage is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    pub account: Name,
    /// Tokens to refund.
    pub unused: Vec<Part>,
    /// Tokens used beyond the reservation.
    pub excess: u64,
}

/// Reply to a request for a load permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// Id of the granted permit.
    Granted(u64),
    /// Time after which to request again.
    Later(Duration),
    /// This instance does not hold the lease on the load budget.
    NotHolder,
}

/// Status of a process, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub instance: Name,
    pub zone: Name,
    pub role: Name,
    /// Revision of the configuration.
    pub revision: u64,
    /// Offset of the next configuration record to read.
    pub next: u64,
    /// Whether the configuration is recent, as [`fleet::freshness`] decides. Requests that need a
    /// key also require a configuration without a gap.
    pub is_fresh: bool,
    pub is_stopping: bool,
    pub in_flight: u64,
    pub queued: u64,
    pub queued_tokens: u64,
    /// Backend server next to a side process.
    pub server: Option<Name>,
    pub slots: Vec<SlotStatus>,
    /// Leases of all processes, as this process knows them.
    #[serde(rename = "holds")]
    pub leases: Vec<LeaseStatus>,
}

/// Status of an adapter slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotStatus {
    pub adapter: Name,
    pub version: u32,
    /// Number of attempts that pin the adapter.
    pub pins: u32,
}

/// A lease, as the reporting process knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    pub resource: Name,
    pub lease: Lease,
}

/// A recorded decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub instance: Name,
    /// Description of the decision.
    pub what: Arc<str>,
}

impl Attempt {
    /// Returns the name of the target in responses and logs: `adapter@version` or the route.
    pub fn target_name(&self) -> Name {
        match &self.target {
            Target::Adapter { adapter, version } => Arc::from(format!("{adapter}@{version}")),
            Target::Route { route } => Arc::clone(route),
        }
    }
}
