//! Rate limits of client accounts and the load budget of the weight store, both enforced over
//! the whole fleet.
//!
//! An account's token bucket is split into shards, and each shard has one holder at a time
//! (`fleet::lease`). Entry instances draw grants of tokens from the holders and admit requests
//! against these grants. Tokens are always debited before they are credited elsewhere, so a
//! lost message can lose tokens but never create any.
//!
//! Architecture Invariant: no clock and no socket; time is passed in as an argument.

pub mod bucket;
pub mod permit;
pub mod pool;
pub mod share;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();
