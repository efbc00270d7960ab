//! The vocabulary of the logs: each line's `event` is one of these, so that a
//! line can be found, counted and explained by its name.
//!
//! Fields mean the same in all events: `request` is the caller's id, `server` a
//! backend server, `held_ms` and `took_ms` the time since the request came, and
//! `position` or `revision` how new an input was.

use std::fmt;

use log::kv::{ToValue, Value};

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $name:literal,)*) => {
        /// What a line of the logs is about.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events, in the order in which they are stated.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// The name as it stands in the logs.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Event::$event => $name,)*
                }
            }
        }
    };
}

events! {
    /// The process starts, or cannot.
    Start = "start",
    /// It was told to stop, or has stopped.
    Stop = "stop",
    /// The settings were read again, or stay as they were.
    Reload = "reload",
    /// A dependency does not answer.
    DependencyLost = "dependency_lost",
    /// It answers again.
    DependencyRegained = "dependency_regained",
    /// A revision of the configuration was heard.
    Configuration = "configuration",
    /// A new version of an adapter was heard.
    Version = "version",
    /// The list of backend servers changed.
    Server = "server",
    /// A server did not come back after the store's outage.
    ServerGone = "server_gone",
    /// A record of the store names nothing usable.
    RecordSkipped = "record_skipped",
    /// The store's records up to here were deleted.
    LogExpired = "log_expired",
    /// The store answered with an older state.
    StoreStale = "store_stale",
    /// A peer was asked for what it knows.
    PeerCopy = "peer_copy",
    /// The instance could not make itself known.
    Announce = "announce",
    /// A request waits for an adapter.
    Want = "want",
    /// No engine is expected to answer a request in time.
    Busy = "busy",
    /// A request was sent to a server.
    Sent = "sent",
    /// The server did not run it.
    NotRun = "not_run",
    /// The server gave no usable answer; it may have run.
    Broken = "broken",
    /// The server failed it, and another one is tried.
    ServerError = "server_error",
    /// A stream goes on at another server.
    Resume = "resume",
    /// A request was answered by a server.
    Ended = "ended",
    /// The caller left before its answer was whole.
    CallerLeft = "caller_left",
    /// A request was refused.
    Refused = "refused",
    /// A client account's rate is used up.
    OverRate = "over_rate",
    /// An engine was given an order.
    Order = "order",
    /// The engine is a new process.
    EngineStart = "engine_start",
    /// A datagram is too large to be sent.
    Mesh = "mesh",
    /// Lines did not fit the queue of the logs.
    LogDropped = "log_dropped",
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
