//! Decisions of the serving path: the route and client account of a request, the
//! backend server that runs it, when it is rejected or retried, the rate limits of
//! client accounts, and the adapters that a model engine keeps resident.
//!
//! Architecture Invariant: nothing here reads a clock, opens a socket or draws a
//! random number. Time and messages are arguments, so that tests run the same code
//! as the processes.

pub mod adapter;
pub mod archive;
pub mod backlog;
pub mod breakage;
pub mod cursor;
pub mod demand;
pub mod directory;
pub mod evacuation;
pub mod hedge;
pub mod limit;
pub mod manifest;
pub mod mirror;
pub mod origin;
pub mod outage;
pub mod pause;
pub mod rate_limit;
pub mod reader;
pub mod refusal;
pub mod rejection;
pub mod residency;
pub mod retry;
pub mod selection;
pub mod subscription;
pub mod warmup;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();

pub use fleet::{Name, lease::Moment};
