//! Protocol between the processes of the fleet: typed frames over QUIC with mutual TLS.
//!
//! Architecture Invariant: every call has its own QUIC stream. The frames of an attempt carry its
//! id, and a response counts as complete only if its [`frame::Reply::End`] was received.

pub mod codec;
pub mod frame;
pub mod identity;
pub mod link;
