//! Frames between processes.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use fleet::{
    Name,
    change::{Repeat, Urgency},
    digest::Digest,
    lease::{Lease, Table},
    replica::Update,
    suspect::Report,
};
use quota::pool::Part;

/// First frame of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Runs one request; answered by [`Reply::Head`], chunks and an end, or by a refusal.
    Attempt(Box<Attempt>),
    /// Asks a side process for its load.
    Probe(Target),
    /// Asks the holder of a quota shard for tokens.
    Draw(Draw),
    /// Gives back unused tokens, or reports tokens used beyond a reservation.
    Settle(Settlement),
    /// Asks for a permit to load an adapter from the weight store for an account.
    AskPermit { account: Name },
    /// The load under a permit has ended.
    ReturnPermit(u64),
    /// Asks for newer configuration.
    Sync { next: u64 },
    /// Asks for the leases.
    Leases,
    /// Tells of requests that crashed an engine.
    Suspects(Vec<Report>),
    /// Asks what the process does and knows.
    Status,
    /// Asks what was decided about a request.
    Explain { request: Name },
}

/// Frames in answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt's answer begins.
    Head(Head),
    /// The next piece of the answer; pieces are counted from 0.
    Chunk {
        id: AttemptId,
        index: u32,
        bytes: Vec<u8>,
    },
    /// The answer is whole. `tokens` is what the engine says it used.
    End {
        id: AttemptId,
        chunks: u32,
        tokens: Option<u64>,
        load: Load,
    },
    /// The attempt still waits or runs.
    Waiting {
        id: AttemptId,
    },
    /// The attempt never began; another server may run it.
    NotBegun {
        id: AttemptId,
        reason: NotBegun,
        load: Load,
    },
    /// The attempt began and did not end.
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
    Done,
    /// The caller's role may not make this call.
    Forbidden,
}

/// Names one try of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    pub request: Name,
    pub attempt: u32,
}

/// What a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    Adapter { adapter: Name, version: u32 },
    Route { route: Name },
}

/// One try of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    pub id: AttemptId,
    pub account: Name,
    pub target: Target,
    pub method: Name,
    pub path: Name,
    pub content_type: Name,
    pub body: Vec<u8>,
    /// Tokens reserved.
    pub cost: u64,
    /// Time left to begin.
    #[serde(rename = "patience")]
    pub time_budget: Duration,
    pub repeat: Repeat,
    pub urgency: Urgency,
    #[serde(rename = "exposure")]
    pub isolation: Isolation,
    pub fingerprint: Digest,
}

/// Whether others may run beside an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Isolation {
    Shared,
    /// It is suspected of crashing engines.
    Alone,
}

/// Begin of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub id: AttemptId,
    pub status: u16,
    pub content_type: Name,
}

/// Why an attempt did not begin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotBegun {
    /// The backend server takes no new work.
    Leaving,
    /// The side process does not hold its backend server's lease.
    NotHolder,
    QueueFull,
    /// It could not begin in time.
    TooLate,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The engine cannot be reached.
    EngineDown,
    /// This backend server does not serve the target.
    WrongTarget,
}

/// Why an answer broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Broken {
    /// The engine crashed while it ran this attempt and perhaps others.
    EngineCrashed { crash: u64 },
    /// The engine's answer was not what was asked for or not whole.
    BadAnswer,
}

/// Load of a backend server as its side process sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tokens waiting or running.
    pub queued_tokens: u64,
    /// Whether the target's adapter is loaded or being loaded.
    pub is_resident: bool,
    pub has_free_slot: bool,
    /// What loads have taken lately, with the wait for the store's budget.
    pub load_wait: Duration,
}

/// Asks for tokens of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    pub account: Name,
    pub shard: u64,
    pub want: u64,
}

/// Answer to a draw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    Tokens {
        part: Part,
        /// Time until as many tokens again as were wanted are there.
        refill: Duration,
    },
    /// This instance does not hold the shard yet, or not any more.
    NotHolder {
        /// When it will, if it is about to.
        starts_in: Option<Duration>,
    },
}

/// Corrects a reservation after the fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    pub account: Name,
    pub unused: Vec<Part>,
    /// Tokens used beyond the reservation.
    pub excess: u64,
}

/// Answer to a request for a load permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    Granted(u64),
    Later(Duration),
    NotHolder,
}

/// What a process does and knows, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub instance: Name,
    pub zone: Name,
    pub role: Name,
    pub revision: u64,
    /// Offset of the next configuration record to read.
    pub next: u64,
    pub is_fresh: bool,
    pub is_stopping: bool,
    pub in_flight: u64,
    pub queued: u64,
    pub queued_tokens: u64,
    pub server: Option<Name>,
    pub slots: Vec<SlotStatus>,
    #[serde(rename = "holds")]
    pub leases: Vec<LeaseStatus>,
}

/// One adapter slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotStatus {
    pub adapter: Name,
    pub version: u32,
    pub pins: u32,
}

/// One lease as this process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    pub resource: Name,
    pub lease: Lease,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub instance: Name,
    pub what: Arc<str>,
}

impl Attempt {
    /// What the attempt runs on, as it is called in answers and logs.
    pub fn target_name(&self) -> Name {
        match &self.target {
            Target::Adapter { adapter, version } => Arc::from(format!("{adapter}@{version}")),
            Target::Route { route } => Arc::clone(route),
        }
    }
}
