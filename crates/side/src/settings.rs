//! Settings of a side process.

use std::{net::SocketAddr, time::Duration};

use ::settings::document::Section;
use fleet::Name;
use kernel::plugin::inventory;
use placement::slots::Eviction;
use schedule::discipline::Discipline;

/// Limit of both `slots` and `batch`.
const MAX_SLOTS: u64 = 1024;
const MAX_QUEUE_LIMIT: u64 = 100_000;
const MAX_LOAD_TIMEOUT_MS: u64 = 600_000;
const MAX_WEIGHT: u64 = 1000;

/// Settings of one side process.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node: node::settings::Settings,
    /// Address of the metrics page, if it is served.
    pub metrics: Option<SocketAddr>,
    /// Name of the backend server.
    pub server: Name,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Routes of a plain service; empty for a model engine.
    pub routes: Vec<Name>,
    /// Capacity of the backend server relative to others.
    pub weight: u32,
    /// Number of adapter slots of the engine.
    pub slots: usize,
    /// Requests that the engine decodes in one batch.
    pub batch: u64,
    /// Maximum number of queued attempts.
    pub queue_limit: usize,
    /// Queueing discipline.
    pub discipline: &'static Discipline,
    /// Eviction policy.
    pub eviction: &'static Eviction,
    /// Timeout of one attempt to load an adapter.
    pub load_timeout: Duration,
    /// Attempts to load an adapter before the requests that wait for it are rejected.
    pub load_attempts: u64,
}

impl Settings {
    /// Reads the settings from `section`, which records invalid values.
    pub fn read(section: &Section<'_>) -> Settings {
        let backend = section.section("backend");
        let routes = backend.sections("routes");
        let routes: Vec<Name> = routes.iter().map(|route| route.text("name")).collect();
        let disciplines: Vec<&'static str> =
            inventory::iter::<Discipline>.into_iter().map(|plugin| plugin.name).collect();
        let evictions: Vec<&'static str> =
            inventory::iter::<Eviction>.into_iter().map(|plugin| plugin.name).collect();
        let discipline = backend.choice("discipline", &disciplines, "fair");
        let eviction = backend.choice("victim", &evictions, "frequency");
        Settings {
            node: node::settings::Settings::read(section),
            metrics: section.optional_address("metrics"),
            server: backend.text("name"),
            backend: backend.address("address"),
            routes,
            weight: backend.number("weight", 1..=MAX_WEIGHT, 1) as u32,
            slots: backend.number("slots", 1..=MAX_SLOTS, 8) as usize,
            batch: backend.number("batch", 1..=MAX_SLOTS, 32),
            queue_limit: backend.number("queue_limit", 1..=MAX_QUEUE_LIMIT, 512) as usize,
            discipline: find_discipline(discipline),
            eviction: find_eviction(eviction),
            load_timeout: backend.milliseconds("load_timeout_ms", 1..=MAX_LOAD_TIMEOUT_MS, 10_000),
            load_attempts: backend.number("load_tries", 1..=10, 3),
        }
    }
}

fn find_discipline(name: &str) -> &'static Discipline {
    let mut known = inventory::iter::<Discipline>.into_iter();
    known.find(|plugin| plugin.name == name).expect("the name was checked against the plug-ins")
}

fn find_eviction(name: &str) -> &'static Eviction {
    let mut known = inventory::iter::<Eviction>.into_iter();
    known.find(|plugin| plugin.name == name).expect("the name was checked against the plug-ins")
}
