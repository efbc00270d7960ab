//! Small stand-ins for the platform's services and the backend servers, for
//! tests and the quick start. Each takes scripted faults over `PUT /faults`.
//!
//! Architecture Invariant: nothing of the product depends on this crate, except
//! the quick start and the load tool.

pub mod engine;
pub mod http;
pub mod list;
pub mod log;
pub mod program;
pub mod service;
pub mod store;
