//! The operators' view of the fleet: reads the configuration and the status of the processes,
//! publishes configuration changes and analyzes logs.

pub mod logs;
pub mod publish;
pub mod session;
pub mod settings;
pub mod tables;
