//! HTTP/1.1 server for callers: accept loop, limits on request size and time,
//! streamed responses, TLS and graceful shutdown.

pub mod body;
pub mod server;
pub mod tls;
