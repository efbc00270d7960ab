//! Datagrams between the system's processes, encoded with postcard. Each says
//! the whole of what its sender has to say, so that a lost one is made good by
//! the next.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use serving::{Name, mirror::Positions, rate_limit::UsageReport, residency::SlotUsage};

/// Largest datagram that is sent, in bytes.
pub const MAX_BYTES: usize = 8 * 1024;

/// One datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// From an entry instance to the side process of a model engine.
    Guide(Guide),
    /// From a side process to the entry instances that it hears.
    Status(Status),
    /// The part of a status that changes most.
    Work { born_ms: u64, places: SlotUsage, work: Work },
    /// Between entry instances.
    Gossip(Gossip),
}

/// Prompt tokens and requests in flight at an engine, by entry instance.
pub type Work = Vec<(SocketAddr, u64, u32)>;

/// What an entry instance wants of a model engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Guide {
    pub server: Name,
    /// Start of the server that is meant.
    pub born_ms: u64,
    pub model: Option<Name>,
    pub places: usize,
    /// Prompt tokens sent and not yet answered.
    pub tokens: u64,
    /// Requests in flight.
    pub requests: u32,
    pub in_flight: Vec<(Name, u32)>,
    pub used: Vec<Name>,
    /// Base model, adapter and oldest version that requests wait for.
    pub wants: Vec<(Name, Name, u64)>,
}

/// What a model engine holds, and what entry instances have in flight there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the engine, once it is known.
    pub server: Option<Name>,
    pub born_ms: u64,
    pub models: Vec<Name>,
    pub places: SlotUsage,
    /// Time since a base model is being loaded, in milliseconds.
    pub loading_ms: Option<u64>,
    /// Adapters with their versions.
    pub adapters: Vec<(Name, u64)>,
    pub pending: Vec<(Name, u64)>,
    /// Held before, and quick to load again.
    pub recent: Vec<(Name, u64)>,
    pub work: Work,
}

/// What an entry instance tells its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Gossip {
    pub positions: Positions,
    pub statement: UsageReport,
}
