//! The operators' query and command language.
//!
//! Architecture Invariant: parsing and evaluation perform no I/O; the `operator`
//! crate fills the tables and publishes the changes of commands.

pub mod parse;
pub mod statement;
pub mod table;
pub mod verb;
