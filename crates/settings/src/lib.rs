//! Settings files and command lines, shared by all programs.
//!
//! A file is checked in full before a program starts. All problems are reported at
//! once, each with its path in the file, the value found, the allowed values and
//! the remedy. An unknown key is a problem too.

pub mod arguments;
pub mod document;
pub mod problem;
