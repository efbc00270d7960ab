//! Decisions of the serving path over a platform: which route and client
//! account a request belongs to, which backend server runs it, when it is
//! refused, what a client account may still use, which adapters a backend
//! server holds.
//!
//! Architecture Invariant: nothing here reads a clock, opens a socket or draws
//! a random number; time and messages come in as arguments, so that tests drive
//! the code that the processes run.

pub mod backlog;
pub mod directory;
pub mod manifest;
pub mod mirror;
pub mod rate_limit;
pub mod rejection;
pub mod residency;
pub mod retry;
pub mod selection;

pub use fleet::{Name, lease::Moment};
