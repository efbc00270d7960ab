//! Load generation and experiments. Simulations run the crates that make the decisions (routing,
//! eviction, queueing and rate limiting) and their baselines on virtual time under the same seeded
//! workloads; a load generator measures a running fleet.

pub mod combination;
pub mod fleet_model;
pub mod hot_path;
pub mod live;
pub mod measure;
pub mod rate_model;
pub mod server_model;
pub mod workload;
