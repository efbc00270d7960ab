//! How the system's own processes talk to each other: typed frames over QUIC
//! with mutual TLS.
//!
//! Architecture Invariant: one QUIC stream a call. Frames of an attempt carry
//! its ids, and an answer without its end mark is never taken for a whole one.

pub mod codec;
pub mod frame;
pub mod identity;
pub mod link;
