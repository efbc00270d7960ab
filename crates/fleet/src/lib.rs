//! What the whole fleet agrees on: configuration as a deterministic fold of
//! the platform's log, leases under two witnesses, the freshness rule and the
//! list of suspected poison requests.
//!
//! Architecture Invariant: nothing here reads a clock, opens a socket or draws
//! a random number. Time and messages come in as arguments.

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

/// Shared immutable name of an account, adapter, server or route.
pub type Name = Arc<str>;
