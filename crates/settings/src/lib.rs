//! Settings files and command lines of every program.
//!
//! A file is checked in full before a program starts: every problem is reported
//! in one go, each with its path in the file, the value found, what is allowed
//! and the remedy. An unknown key is a problem too.

pub mod arguments;
pub mod document;
pub mod problem;
