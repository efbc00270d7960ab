//! Request queue of one backend server and the budget for retries.
//!
//! The queue is fair between client accounts by tokens. Within an account it prefers requests
//! of resident adapters, up to a limit. Requests carry deadlines, at which the owner removes them.
//!
//! Architecture Invariant: no clock and no socket; time is passed in as an argument.

pub mod discipline;
pub mod queue;
pub mod retry;
