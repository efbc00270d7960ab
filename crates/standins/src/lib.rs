//! Stand-ins for the platform's services and the backend servers, for tests and the quick
//! start. Faults are injected with `PUT /faults`.
//!
//! Architecture Invariant: no product crate depends on this crate except the quick start.

pub mod engine;
pub mod http;
pub mod list;
pub mod log;
pub mod program;
pub mod service;
pub mod store;
