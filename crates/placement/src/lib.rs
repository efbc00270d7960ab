//! Where an adapter runs: the order of backend servers for an adapter, how many
//! of them serve it, which of those takes a request, and which adapter leaves a
//! full server.
//!
//! Architecture Invariant: no clock and no socket; time comes in as an argument.

pub mod choice;
pub mod policy;
pub mod popularity;
pub mod rendezvous;
pub mod slots;
