//! Serving HTTP: the accept loop, limits on what a caller may send, streamed
//! answers and an orderly end.

pub mod body;
pub mod server;
pub mod tls;
