//! What an adapter to a platform provides: plain structs of closures and
//! functions that translate and decide nothing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    header::HeaderName,
    http::{request, response},
};
use smallvec::SmallVec;
use snafu::Snafu;

use services::{BoxFuture, http::Error};
use serving::{
    Name,
    mirror::{Change, Topic},
    residency::{EngineState, Order},
    retry,
};

/// Settings of a process on a platform.
#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: Name,
    pub zone: Name,
    /// Where callers connect; entry instances only.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks for readiness.
    pub readiness: Option<SocketAddr>,
    /// Where other processes of the system reach this one.
    pub mesh: SocketAddr,
    /// Addresses at which peers may be found without the store.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    pub tunable: Tunable,
    /// The model engine beside this process; side processes only.
    pub engine: Option<SocketAddr>,
}

/// Settings that a running process takes over when they change.
#[derive(Clone, Debug, PartialEq)]
pub struct Tunable {
    /// Time between SIGTERM and the end.
    pub stop_limit: Duration,
    pub repeats: retry::Limits,
}

type Reload = dyn Fn() -> Result<Settings, String> + Send + Sync;

/// Reads the settings again.
#[derive(Clone)]
pub struct Reloader(pub Arc<Reload>);

/// How requests and answers look on the platform's connections.
#[derive(Clone, Debug)]
pub struct Dialect {
    pub request_id: HeaderName,
    pub ask: fn(&request::Parts) -> Result<Ask, Malformed>,
    /// Headers of the request that a backend server gets.
    pub onward: fn(&request::Parts, &Onward) -> HeaderMap,
    pub marks: fn(&response::Parts) -> Marks,
}

/// A caller's request as the system understands it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: Name,
    pub host: Name,
    pub key: Option<Name>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    pub model: Option<Model>,
    /// Tokens of the prompt and the most that are generated.
    pub tokens: Option<(u64, u64)>,
}

/// A base model, or an adapter of one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Model {
    pub base: Name,
    pub adapter: Option<Name>,
}

/// What the system adds to a request for a backend server.
#[derive(Clone, Debug)]
pub struct Onward {
    /// The server that is meant; another one must not run it.
    pub server: Name,
    pub left: Duration,
    pub account: Option<Name>,
    pub urgency: Option<u8>,
    /// Where a stream goes on, if it was begun elsewhere.
    pub last_event: Option<Bytes>,
}

/// What an answer of a backend server says about itself.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    pub request_id: Option<Name>,
    /// Signed by the server that ran the request.
    pub is_signed: bool,
    /// The server states that it did not run the request.
    pub is_not_run: bool,
    /// The server that answered, where it says so.
    pub server: Option<Name>,
    pub closes: bool,
    pub keep_alive: Option<Duration>,
}

/// A request that cannot be understood.
#[derive(Debug, Snafu)]
#[snafu(display("the request cannot be understood: {reason}"))]
pub struct Malformed {
    pub reason: &'static str,
}

/// One record of a log.
#[derive(Clone, Debug)]
pub struct Record {
    pub key: Name,
    pub change: Change,
    /// Value of a record of [`Topic::Instances`].
    pub value: Bytes,
}

/// Newest record of each key.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub records: Vec<Record>,
    /// Position after the last record.
    pub end: u64,
}

/// What a log holds from a position on.
#[derive(Clone, Debug)]
pub enum Tail {
    Records {
        records: Vec<Record>,
        /// Position to go on from.
        next: u64,
    },
    /// The records were deleted; read the newest ones.
    Expired,
}

type Newest = dyn Fn(Topic) -> BoxFuture<Result<Snapshot, Error>> + Send + Sync;
type Read = dyn Fn(Topic, u64, Duration) -> BoxFuture<Result<Tail, Error>> + Send + Sync;
type Announce = dyn Fn(&str, Bytes) -> BoxFuture<Result<(), Error>> + Send + Sync;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub newest: Arc<Newest>,
    /// Waits up to a time for the first record.
    pub read: Arc<Read>,
    /// Writes the newest value of a key of [`Topic::Instances`].
    pub announce: Arc<Announce>,
}

type Look = dyn Fn() -> BoxFuture<Result<EngineState, Error>> + Send + Sync;
type Give = dyn Fn(&Order, u64, Option<&str>) -> BoxFuture<Result<Given, Error>> + Send + Sync;

/// What an engine said to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given {
    Accepted,
    /// The order was for another engine than the one that is there.
    OtherEngine {
        actual: Option<Name>,
    },
}

/// The model engine beside a side process.
#[derive(Clone)]
pub struct Engine {
    pub look: Arc<Look>,
    /// Gives an order that holds only for the engine of this name, if known, and after this
    /// many accepted orders.
    pub give: Arc<Give>,
}

/// Names of servers on the stack.
pub type Tried = SmallVec<[Name; 4]>;
