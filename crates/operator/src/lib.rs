//! The operators' side of the fleet: reading its state and publishing changes.

pub mod publish;
pub mod session;
pub mod settings;
pub mod story;
pub mod tables;
