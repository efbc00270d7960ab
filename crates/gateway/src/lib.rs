//! The serving path over a platform: entry instances that take callers' requests
//! straight to backend servers, and side processes that keep the right adapters
//! on the model engines.
//!
//! How the platform names things is not known here; an adapter provides it as
//! the closures and functions of [`ports`].
//!
//! Architecture Invariant: what decides is in `serving`; this crate feeds it
//! with what it hears and carries out what it says.

pub mod answer;
pub mod choose;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod in_flight;
pub mod job;
pub mod listen;
pub mod mesh;
pub mod message;
pub mod ports;
pub mod relay;
pub mod reload;
pub mod roster;
pub mod serve;
pub mod side;
