//! State shared by the whole fleet: the configuration, which every process
//! replays deterministically from the platform's log, the leases on exclusive
//! resources, the freshness rule for the configuration and the list of suspected
//! poison requests.
//!
//! Architecture Invariant: this crate reads no clock, opens no socket and draws
//! no random number. Time and messages are passed as arguments.

pub mod change;
pub mod decay;
pub mod digest;
pub mod freshness;
pub mod lease;
pub mod member;
pub mod replica;
pub mod state;
pub mod suspect;

use std::sync::Arc;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();

/// Shared immutable name, for instance of an account, adapter, server or route.
pub type Name = Arc<str>;
