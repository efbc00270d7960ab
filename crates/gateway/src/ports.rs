//! Interface of a platform: plain structs of closures and functions that
//! translate between the platform's formats and the types of this crate.
//!
//! Architecture Invariant: an implementation only translates. Decisions are made
//! by this crate and by `serving`.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request,
    header::HeaderName,
    http::{request, response},
};
use smallvec::SmallVec;
use snafu::Snafu;

use kernel::Kernel;
use services::{BoxFuture, http::Error};
use serving::{
    Name,
    adapter::Adapter,
    cursor::Position,
    limit,
    mirror::{Change, Topic},
    residency::{EngineState, Order},
    retry,
};

/// Part of a process's memory that may hold what other processes send: one in so many bytes. A buffer
/// that grows, and what the HTTP library has read, take about as much again.
const BUFFERS_DIVISOR: usize = 8;

/// Settings of a process on a platform.
#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: Name,
    pub zone: Name,
    /// Address for callers; entry instances only.
    pub callers: Option<SocketAddr>,
    /// Address of the load balancer's health check.
    pub readiness: Option<SocketAddr>,
    /// Address for the system's other processes: UDP for datagrams, TCP for peer copies.
    pub mesh: SocketAddr,
    /// Addresses of possible peers, for use while the store is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Memory that the process may use, in bytes, if it is limited.
    pub memory_limit: Option<usize>,
    /// Share of the processor in thousandths of a core; 0 if it is not stated.
    pub capacity: u16,
    pub tunable: Tunable,
    /// Model engine of this host; side processes only.
    pub engine: Option<SocketAddr>,
}

impl Settings {
    /// Limits the memory for what other processes send to a share of what this one may use.
    pub fn limit_buffers(&self, kernel: &Kernel) {
        if let Some(limit) = self.memory_limit {
            kernel.memory.set_capacity(limit / BUFFERS_DIVISOR);
        }
    }
}

/// Settings that a running process reloads when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunable {
    /// Time from SIGTERM to the exit.
    pub stop_limit: Duration,
    pub retry_limits: retry::Limits,
    /// Region of each availability zone.
    pub regions: Arc<HashMap<Name, Name>>,
}

type Reload = dyn Fn() -> Result<Settings, String> + Send + Sync;

/// Function that reads the settings again.
#[derive(Clone)]
pub struct Reloader(pub Arc<Reload>);

/// Translation of the platform's HTTP headers.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the request's id.
    pub request_id: HeaderName,
    /// Returns the metadata of a caller's request.
    pub parse_request: fn(&request::Parts) -> Result<RequestMeta, Malformed>,
    /// Returns the headers of the request to a backend server.
    pub request_headers: fn(&request::Parts, &Attempt) -> HeaderMap,
    /// Returns the metadata of a backend server's response.
    pub parse_response: fn(&response::Parts) -> ResponseMeta,
    /// Returns the question to a model engine which process it is.
    pub process_query: fn() -> Request<Full<Bytes>>,
    /// Returns the start of the process from the answer, in milliseconds since the Unix epoch.
    pub parse_process: fn(&[u8]) -> Option<u64>,
}

/// Metadata of a caller's request, from its headers.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    pub id: Name,
    pub host: Name,
    /// API key.
    pub key: Option<Name>,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    pub model: Option<Model>,
    /// Number of prompt tokens, and the maximum number of generated ones.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt that other requests may share, in order.
    pub prompt_parts: PromptParts,
    /// Id of the last event that the caller has of a stream that it wants to go on.
    pub last_event_id: Option<Bytes>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub first_attempt: Option<Name>,
}

/// A base model or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Model {
    Base(Name),
    Adapter(Adapter),
}

impl Model {
    /// Returns the base model.
    pub fn base(&self) -> &Name {
        match self {
            Model::Base(base) => base,
            Model::Adapter(adapter) => &adapter.model,
        }
    }

    pub fn adapter(&self) -> Option<&Adapter> {
        match self {
            Model::Base(_) => None,
            Model::Adapter(adapter) => Some(adapter),
        }
    }
}

/// Parameters of one attempt, passed to the backend server in headers.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Addressed server; any other one must reject the request.
    pub server: Name,
    /// Time until the request's deadline.
    pub remaining: Duration,
    pub account: Option<Name>,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller has, if the attempt resumes a stream.
    pub last_event_id: Option<Bytes>,
}

/// Metadata of a backend server's response, from its headers.
#[derive(Clone, Debug, Default)]
pub struct ResponseMeta {
    pub request_id: Option<Name>,
    /// Whether the server that ran the request signed the response.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Server that sent the response, if stated.
    pub server: Option<Name>,
    pub closes_connection: bool,
    /// Time for which the server wants no further request, if it asks for a pause.
    pub pause: Option<Duration>,
    /// Limit that the server names for the requests of all instances together.
    pub limit: limit::Statement,
    /// Whether the server announces that it leaves.
    pub is_leaving: bool,
    /// Time left until the server has warmed up, if stated.
    pub warmup_left: Option<Duration>,
    /// Time for which the server keeps an idle connection open, if stated.
    pub keep_alive: Option<Duration>,
}

/// A request with invalid headers.
#[derive(Debug, Snafu)]
#[snafu(display("invalid headers of a request: {reason}"))]
pub struct Malformed {
    pub reason: &'static str,
}

/// One record of a log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Position in the log.
    pub offset: u64,
    pub key: Name,
    pub change: Change,
    /// Raw value; only for records of [`Topic::Instances`] and [`Topic::Streams`].
    pub value: Bytes,
}

/// Newest record of each key of a log.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub records: Vec<Record>,
    /// Position after the last record.
    pub end: Position,
}

/// Records of a log from a position on.
#[derive(Clone, Debug)]
pub enum Tail {
    Records {
        records: Vec<Record>,
        /// Position of the next read, in the era of the response.
        next: Position,
    },
    /// The log no longer has the records at this position; read a snapshot instead.
    Expired,
}

type ReadSnapshot = dyn Fn(Topic) -> BoxFuture<Result<Snapshot, Error>> + Send + Sync;
type ReadTail = dyn Fn(Topic, u64, Duration) -> BoxFuture<Result<Tail, Error>> + Send + Sync;
/// Function that writes the value of a key; an empty value drops the key.
pub type Write = dyn Fn(&str, Bytes) -> BoxFuture<Result<(), Error>> + Send + Sync;

/// The platform's log store.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest record of each key.
    pub snapshot: Arc<ReadSnapshot>,
    /// Reads the records from an offset on. Waits up to the given time for the first one.
    pub read: Arc<ReadTail>,
    /// Writes the value of a key of [`Topic::Instances`].
    pub announce: Arc<Write>,
    /// Writes the value of a key of [`Topic::Streams`].
    pub archive: Arc<Write>,
}

type ReadState = dyn Fn() -> BoxFuture<Result<EngineState, Error>> + Send + Sync;
type SendOrder =
    dyn Fn(&Order, u64, Option<&str>) -> BoxFuture<Result<OrderResponse, Error>> + Send + Sync;

/// Response of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    Accepted,
    /// The engine rejected the order since it was addressed to another one.
    OtherEngine {
        /// Name of the engine, if stated.
        actual: Option<Name>,
    },
}

/// The model engine of a side process.
#[derive(Clone)]
pub struct Engine {
    /// Reads the state of the engine.
    pub state: Arc<ReadState>,
    /// Sends an order with the number of orders accepted so far and the engine's name, if known.
    /// An engine with another number or name rejects it.
    pub order: Arc<SendOrder>,
}

/// Ids of parts of a prompt; a few are stored inline.
pub type PromptParts = SmallVec<[Name; 4]>;

/// Names of servers; a few are stored inline.
pub type ServerNames = SmallVec<[Name; 4]>;
