//! Test harness for scenario scripts, which start a fleet of real processes on loopback,
//! send calls, inject faults and check the journals afterwards.
//!
//! Architecture Invariant: no product crate depends on this crate, except for tests.

pub mod calls;
pub mod checker;
pub mod cli;
pub mod fleet;
pub mod process;
pub mod relay;
pub mod script;
pub mod settings_yaml;
