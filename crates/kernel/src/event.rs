//! The vocabulary of the logs: each line's `event` is one of these, so that a
//! line can be found, counted and explained by its name.
//!
//! Fields mean the same in all events: `request` is the caller's id, `server` a
//! backend server, `held_ms` and `took_ms` the time since the request came, and
//! `position` or `revision` how new an input was.

use std::fmt;

use log::kv::{ToValue, Value};

/// What a line of the logs is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process starts, or cannot.
    Start,
    /// It was told to stop, or has stopped.
    Stop,
    /// The settings were read again, or stay as they were.
    Reload,
    /// A dependency does not answer.
    DependencyLost,
    /// It answers again.
    DependencyRegained,
    /// A revision of the configuration was heard.
    Configuration,
    /// A new version of an adapter was heard.
    Version,
    /// The list of backend servers changed.
    Server,
    /// A server did not come back after the store's outage.
    ServerGone,
    /// A record of the store names nothing usable.
    RecordSkipped,
    /// The store's records up to here were deleted.
    LogExpired,
    /// The store answered with an older state.
    StoreStale,
    /// A peer was asked for what it knows.
    PeerCopy,
    /// The instance could not make itself known.
    Announce,
    /// A request waits for an adapter.
    Want,
    /// No engine is expected to answer a request in time.
    Busy,
    /// A request was sent to a server.
    Sent,
    /// The server did not run it.
    NotRun,
    /// The server gave no usable answer; it may have run.
    Broken,
    /// The server failed it, and another one is tried.
    ServerError,
    /// A stream goes on at another server.
    Resume,
    /// A request was answered by a server.
    Ended,
    /// The caller left before its answer was whole.
    CallerLeft,
    /// A request was refused.
    Refused,
    /// A client account's rate is used up.
    OverRate,
    /// An engine was given an order.
    Order,
    /// The engine is a new process.
    EngineStart,
    /// A datagram is too large to be sent.
    Mesh,
    /// Lines did not fit the queue of the logs.
    LogDropped,
}

impl Event {
    /// All events, in the order of the operators' page.
    pub const ALL: [Event; 29] = [
        Event::Start,
        Event::Stop,
        Event::Reload,
        Event::DependencyLost,
        Event::DependencyRegained,
        Event::Configuration,
        Event::Version,
        Event::Server,
        Event::ServerGone,
        Event::RecordSkipped,
        Event::LogExpired,
        Event::StoreStale,
        Event::PeerCopy,
        Event::Announce,
        Event::Want,
        Event::Busy,
        Event::Sent,
        Event::NotRun,
        Event::Broken,
        Event::ServerError,
        Event::Resume,
        Event::Ended,
        Event::CallerLeft,
        Event::Refused,
        Event::OverRate,
        Event::Order,
        Event::EngineStart,
        Event::Mesh,
        Event::LogDropped,
    ];

    /// The name as it stands in the logs.
    pub const fn name(self) -> &'static str {
        match self {
            Event::Start => "start",
            Event::Stop => "stop",
            Event::Reload => "reload",
            Event::DependencyLost => "dependency_lost",
            Event::DependencyRegained => "dependency_regained",
            Event::Configuration => "configuration",
            Event::Version => "version",
            Event::Server => "server",
            Event::ServerGone => "server_gone",
            Event::RecordSkipped => "record_skipped",
            Event::LogExpired => "log_expired",
            Event::StoreStale => "store_stale",
            Event::PeerCopy => "peer_copy",
            Event::Announce => "announce",
            Event::Want => "want",
            Event::Busy => "busy",
            Event::Sent => "sent",
            Event::NotRun => "not_run",
            Event::Broken => "broken",
            Event::ServerError => "server_error",
            Event::Resume => "resume",
            Event::Ended => "ended",
            Event::CallerLeft => "caller_left",
            Event::Refused => "refused",
            Event::OverRate => "over_rate",
            Event::Order => "order",
            Event::EngineStart => "engine_start",
            Event::Mesh => "mesh",
            Event::LogDropped => "log_dropped",
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl ToValue for Event {
    fn to_value(&self) -> Value<'_> {
        Value::from(self.name())
    }
}
