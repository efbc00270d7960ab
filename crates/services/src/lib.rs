//! Clients of the services that the system depends on: the platform's log, its
//! instance list, and model engines. The log and the list are plain structs of
//! closures, so that tests can replace them by small fakes.
//!
//! Architecture Invariant: only this crate and the stand-ins know the protocols
//! of these services.

pub mod body;
pub mod engine;
pub mod event_stream;
pub mod framing;
mod head_limit;
pub mod http;
pub mod list;
pub mod log;
pub mod pool;

use std::{future::Future, pin::Pin};

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();

/// Boxed future that a client's closures return.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
