//! HTTP/1.1 server for callers: accept loop, limits on request size and time,
//! streamed responses, TLS and graceful shutdown.

pub mod body;
pub mod server;
pub mod tls;

/// Digest of the sources that this crate was compiled from.
pub const SOURCES: u64 = sources_macro::digest!();
