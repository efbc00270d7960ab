//! The queue of one backend server: fair between client accounts by tokens,
//! grouped by adapter within an account's share, with deadlines.
//!
//! Architecture Invariant: no clock and no socket; time comes in as an argument.

pub mod discipline;
pub mod queue;
pub mod retry;
