//! Names of log events. The `event` key of a log line is one of these, so that
//! operators can search, count and look up lines by event.
//!
//! A key has one meaning in all events: `request` is the request id that the
//! caller sent, `server` a backend server, `held_ms` and `took_ms` the time since
//! the request arrived, and `position` and `revision` order inputs: a larger one
//! is newer.

use std::fmt;

use log::kv::{ToValue, Value};

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $name:literal,)*) => {
        /// Value of the `event` key of a log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events, in order of declaration.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// Returns the name that log lines carry.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Event::$event => $name,)*
                }
            }
        }
    };
}

events! {
    /// The process starts or fails to start.
    Start = "start",
    /// The process begins to stop or has stopped.
    Stop = "stop",
    /// The settings were reloaded, or the reload failed and they stay unchanged.
    Reload = "reload",
    /// A dependency, such as the store or the engine, stopped responding.
    DependencyLost = "dependency_lost",
    /// A lost dependency responds again.
    DependencyRegained = "dependency_regained",
    /// A revision of the configuration was received.
    Configuration = "configuration",
    /// A new version of an adapter was received.
    Version = "version",
    /// A software version that serves was written to the store.
    Software = "software",
    /// An availability zone was emptied or taken back.
    Evacuation = "evacuation",
    /// A route or account is limited to a region in which no known zone lies.
    UnknownHome = "unknown_home",
    /// The list of backend servers changed.
    Server = "server",
    /// A server did not reappear in the list after an outage of the store.
    ServerGone = "server_gone",
    /// A record of the store is unusable and was skipped.
    RecordSkipped = "record_skipped",
    /// The next records to read were already deleted from the store.
    LogExpired = "log_expired",
    /// The store returned an older state than the known one; it is ignored.
    StoreStale = "store_stale",
    /// The store was restored from an older copy, so records that were read before may be gone.
    StoreRestored = "store_restored",
    /// The version that began a stream is no longer certain.
    OriginDoubted = "origin_doubted",
    /// The store took no heartbeats for a while and does again.
    StoreReturned = "store_returned",
    /// A peer was asked for its copy of the store's state.
    PeerCopy = "peer_copy",
    /// The instance failed to announce itself to its peers.
    Announce = "announce",
    /// A request waits until an adapter is loaded.
    Want = "want",
    /// No engine is expected to answer a request before its deadline.
    Busy = "busy",
    /// A request was sent to a server.
    Sent = "sent",
    /// A server did not run a request.
    NotRun = "not_run",
    /// A server gave no usable answer to a request, and may have run it.
    Broken = "broken",
    /// A server announced in a response that it leaves.
    Leaving = "leaving",
    /// A server asked for a pause.
    Pause = "pause",
    /// A server named a limit for the requests of all instances together, or ended it.
    Limit = "limit",
    /// A request got the permit that a server with a limit requires.
    Permit = "permit",
    /// A warm-up of a server has begun or ended.
    Warmup = "warmup",
    /// The connection of an attempt broke; its request is a suspect if the server has crashed.
    Suspect = "suspect",
    /// A server crashed while requests ran there, or turned out not to have crashed.
    Crash = "crash",
    /// A request that was running at a crash runs on trial.
    Trial = "trial",
    /// A request that was running at a crash has completed since.
    Cleared = "cleared",
    /// A request was rejected since it crashed the servers that ran it.
    Quarantine = "quarantine",
    /// A server answered a request with an error; it is retried on another server.
    ServerError = "server_error",
    /// A server is silent and another attempt is opened beside its own, or that has ended: `outcome` is the
    /// attempt that is left.
    Hedge = "hedge",
    /// A stream resumes on another server.
    Resume = "resume",
    /// A caller takes up a stream that began in an earlier attempt.
    TakeUp = "take_up",
    /// A request was answered by a server.
    Ended = "ended",
    /// The caller disconnected before its answer was complete.
    CallerLeft = "caller_left",
    /// A request was rejected.
    Refused = "refused",
    /// A client account exceeded its rate limit.
    OverRate = "over_rate",
    /// An order to load or unload was sent to an engine: the engine accepted it, it failed, or the
    /// engine has another id than the one that the order was meant for.
    Order = "order",
    /// The engine restarted as a new process.
    EngineStart = "engine_start",
    /// A datagram was too large to be sent.
    Mesh = "mesh",
    /// Datagrams that were sent and received since the previous such line.
    Traffic = "traffic",
    /// Log lines were dropped because the log queue was full.
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
