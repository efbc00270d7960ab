//! Records of the configuration stream.
//!
//! Operators append them to the platform's log; every replica accepts or rejects
//! a record in the same way.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Name, digest::Digest, state::State};

/// One configuration record as stored in the platform's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Unique id, by which an author whose append got no answer finds the record in the log.
    pub id: Name,
    /// Operator, or the instance that appended a snapshot.
    pub author: Name,
    /// Revision on which the change is based; every replica rejects the record if it is stale.
    pub expected: u64,
    pub change: Change,
}

/// The change that a record makes. It is serialized as JSON in the log and as postcard between
/// processes; postcard is not self-describing, which rules out an internally tagged enum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates an account or replaces its limits, in the units of [`crate::state::Account`].
    SetAccount {
        account: Name,
        rate: u64,
        burst: u64,
    },
    IssueKey {
        account: Name,
        key: Name,
        digest: Digest,
    },
    WithdrawKey {
        key: Name,
    },
    PublishVersion {
        adapter: Name,
        version: u32,
        model: Name,
    },
    SelectVersion {
        adapter: Name,
        version: u32,
    },
    UnpublishVersion {
        adapter: Name,
        version: u32,
    },
    DrainServer {
        server: Name,
    },
    RestoreServer {
        server: Name,
    },
    SetRoute {
        route: Name,
        access: Access,
        repeat: Repeat,
        urgency: Urgency,
    },
    RemoveRoute {
        route: Name,
    },
    /// The state after all records before offset `next`, appended before these expire.
    Snapshot {
        next: u64,
        state: Box<State>,
    },
}

/// The credentials that a call to a route requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    Open,
    Key,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Idempotent,
    NonIdempotent,
}

/// Scheduling priority: `Interactive` if a person waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    Interactive,
    Batch,
}

/// The reason for which a record is rejected; the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum Rejection {
    #[snafu(display(
        "the configuration is at revision {actual}, not {expected}: another change came first; \
         read the current state and issue the command again"
    ))]
    Stale { expected: u64, actual: u64 },
    #[snafu(display("no account is called `{account}`; create it first"))]
    NoAccount { account: Name },
    #[snafu(display("no key has the id `{key}`; list the keys to find it"))]
    NoKey { key: Name },
    #[snafu(display("a key with the id `{key}` or the same secret exists; issue a new one"))]
    KeyExists { key: Name },
    #[snafu(display("`{adapter}` has no version {version}; publish it first"))]
    NoVersion { adapter: Name, version: u32 },
    #[snafu(display(
        "`{adapter}` version {version} is published for model `{model}`; \
         publish a new version number"
    ))]
    VersionExists { adapter: Name, version: u32, model: Name },
    #[snafu(display(
        "version {version} of `{adapter}` is selected; select another one before unpublishing it"
    ))]
    VersionSelected { adapter: Name, version: u32 },
    #[snafu(display("no route is called `{route}`; list the routes to find it"))]
    NoRoute { route: Name },
    #[snafu(display("server `{server}` is not drained; check the name in the list of servers"))]
    NotDrained { server: Name },
    #[snafu(display(
        "a burst of {burst} is below one second of the rate {rate}; raise it to at least {rate}"
    ))]
    BurstTooSmall { rate: u64, burst: u64 },
}
