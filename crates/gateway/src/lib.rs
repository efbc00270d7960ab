//! Serving path on a platform: entry instances that send callers' requests
//! directly to backend servers, and side processes that load adapters into the
//! model engines.
//!
//! The crate does not know the platform's names and formats. An implementation
//! of the closures and functions in [`ports`] translates them.
//!
//! Architecture Invariant: decisions are made in `serving`. This crate passes
//! received data to it and carries out the decisions.

pub mod answer;
pub mod choose;
pub mod end;
pub mod entry;
pub mod evacuation;
pub mod exchange;
pub mod follow;
pub mod gate;
pub mod hedge;
pub mod in_flight;
pub mod job;
pub mod listen;
pub mod mesh;
pub mod message;
pub mod origin;
pub mod ports;
pub mod quarantine;
pub mod relay;
pub mod reload;
pub mod replies;
pub mod roster;
pub mod serve;
pub mod shared_read;
pub mod side;
pub mod software;
pub mod stop;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();
