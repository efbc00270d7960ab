//! Load and experiments: the decision crates under seeded workloads on virtual
//! time, beside baselines, and an open-loop load on a running fleet.

pub mod combination;
pub mod fleet_model;
pub mod hot_path;
pub mod live;
pub mod measure;
pub mod rate_model;
pub mod server_model;
pub mod workload;
