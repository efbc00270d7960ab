//! Fixtures shared by several tests.

use std::sync::Arc;

use serving::directory::{Listing, Phase};

/// Returns the listing of a server of the service `models`.
pub fn listing(id: &str, born_ms: u64, phase: Phase) -> Listing {
    Listing {
        id: Arc::from(id),
        service: Arc::from("models"),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: Arc::from("a"),
        version: Arc::from("v1"),
        slots: 4,
        phase,
        born_ms,
        models: Vec::new(),
        warmup_left: None,
    }
}
