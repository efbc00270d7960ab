//! Records of the ledger streams, and the names of streams and keys.

use serde::{Deserialize, Serialize};

use fleet::{Name, digest::Digest, lease::Holder};

/// One record of a ledger stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Record {
    /// Claims an idempotency key for one execution of a request.
    Begin {
        /// Unique id of the execution.
        id: Name,
        /// Digest of the account and the idempotency key.
        key: Digest,
        /// Digest of the request, which detects a key that is reused for another one.
        request: Digest,
        /// Incarnation that appended the record, the only one that may dispatch the request.
        author: Holder,
    },
    /// The request ran; later requests with the same key receive this answer.
    Done { id: Name, answer: Answer },
    /// The request may have run, but its answer was lost.
    Lost { id: Name },
    /// The request never reached a backend server; the key is free again.
    Abandon { id: Name },
}

/// Complete answer to a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    pub content_type: Name,
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

/// Returns the name of the stream that holds the records of `key`; the keys are
/// spread over `partitions` streams.
pub fn stream_name(key: &Digest, partitions: u64) -> String {
    format!("ledger-{}", key.prefix() % partitions.max(1))
}

/// Returns the digest of an account and an idempotency key that it sent.
pub fn key(account: &str, idempotency_key: &str) -> Digest {
    Digest::of_parts([account.as_bytes(), idempotency_key.as_bytes()])
}
