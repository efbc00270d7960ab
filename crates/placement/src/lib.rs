//! Placement of adapters on backend servers: the ranking of servers for an
//! adapter, its number of replicas, the server for each request, and the adapter
//! to evict from a full server.
//!
//! Architecture Invariant: no clock and no socket; time comes in as an argument.

pub mod choice;
pub mod policy;
pub mod popularity;
pub mod rendezvous;
pub mod slots;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();
