//! Records of the ledger streams.

use serde::{Deserialize, Serialize};

use fleet::{Name, digest::Digest, lease::Holder};

/// One record of a ledger stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Record {
    Begin {
        /// Names this attempt; unique.
        id: Name,
        /// Digest of the account and the idempotency key.
        key: Digest,
        /// Digest of the request itself.
        request: Digest,
        author: Holder,
    },
    /// The request ran; its answer is given to every later resend.
    Done { id: Name, answer: Answer },
    /// The request may have run, and its answer is lost.
    Lost { id: Name },
    /// The attempt never reached a backend server; the key is free again.
    Abandon { id: Name },
}

/// The whole answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub content_type: Name,
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
}

/// Stream that holds the records of `key`, of `partitions` in all.
pub fn stream_name(key: &Digest, partitions: u64) -> String {
    format!("ledger-{}", key.prefix() % partitions.max(1))
}

/// Digest of an account's idempotency key.
pub fn key(account: &str, idempotency_key: &str) -> Digest {
    Digest::of_parts([account.as_bytes(), idempotency_key.as_bytes()])
}
