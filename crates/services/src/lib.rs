//! The platform's services as this system uses them: log, instance list and
//! model engines. Each is a plain struct of closures, so that a test puts a
//! small fake in its place.
//!
//! Architecture Invariant: only this crate and the stand-ins know how the
//! platform's services are reached.

pub mod engine;
pub mod http;
pub mod list;
pub mod log;
pub mod pool;

use std::{future::Future, pin::Pin};

/// A boxed future, as the closures return it.
pub type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;
