//! The operators' query and command language.
//!
//! Architecture Invariant: parsing and evaluating touch nothing outside; the
//! `operator` crate reads the tables and issues the commands.

pub mod parse;
pub mod statement;
pub mod table;
pub mod verb;
