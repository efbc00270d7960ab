//! Test harness: scenario scripts that start a fleet of real processes on
//! loopback, drive callers, cause failures, and check the journals afterwards.
//!
//! Architecture Invariant: nothing of the product depends on this crate.

pub mod calls;
pub mod checker;
pub mod cli;
pub mod fleet;
pub mod process;
pub mod relay;
pub mod script;
pub mod sources;
