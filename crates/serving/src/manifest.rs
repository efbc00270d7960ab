//! The operators' configuration in force: routes, services, limits and client
//! accounts, by revision. A process never goes back to an older revision.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Name;

/// One revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    pub revision: u64,
    pub routes: Vec<Arc<Route>>,
    pub services: HashMap<Name, Arc<Service>>,
    pub limits: Limits,
    pub accounts: Vec<Arc<Account>>,
    /// Position in `accounts` by key.
    pub keys: HashMap<Name, usize>,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    pub repetition: Repetition,
    /// Longest time that a request is kept waiting.
    pub timeout: Option<Duration>,
    /// Time to the answer, or to the first event of a stream, that callers expect.
    pub objective: Duration,
    /// Longest pause between events of a stream that callers expect.
    pub pause: Option<Duration>,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Services with their weights.
    pub targets: SmallVec<[(Name, u32); 2]>,
    /// Backend servers that may run one request.
    pub attempts: u32,
    /// Open to callers without a key.
    pub is_public: bool,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    Idempotent,
    /// Runs at most once for each request.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that another backend server can go on with.
    ResumableStream,
}

/// A group of backend servers that do the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Places for adapters on one engine.
    pub adapter_places: usize,
    pub models: Vec<Name>,
    /// Time to load a base model again that the machine held before.
    pub reload: Duration,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    pub name: Name,
    /// Units a second over all instances; 0 is unlimited.
    pub rate: u64,
    pub burst: u64,
    /// Units that a request without a token count is charged.
    pub units_per_plain_request: u64,
    /// Goes before the urgency of routes.
    pub urgency: Option<u8>,
    /// Whether token counts are charged, or one unit a request.
    pub counts_tokens: bool,
}

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Grant {
    pub route: Arc<Route>,
    pub account: Option<Arc<Account>>,
}

/// Why the configuration does not allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    UnknownRoute,
    UnknownKey,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl Repetition {
    pub fn is_stream(self) -> bool {
        matches!(self, Repetition::Stream | Repetition::ResumableStream)
    }

    /// Whether a request may run again after it may have run.
    pub fn may_rerun(self) -> bool {
        matches!(self, Repetition::Idempotent | Repetition::ResumableStream)
    }
}

impl Manifest {
    /// The route and client account of a request.
    ///
    /// # Errors
    ///
    /// [`Denial`] when no route matches, or the route wants a key that no client
    /// account has.
    pub fn grant(&self, host: &str, path: &str, key: Option<&str>) -> Result<Grant, Denial> {
        let route = self.route(host, path).ok_or(Denial::UnknownRoute)?;
        let account = key.and_then(|key| self.keys.get(key)).map(|index| &self.accounts[*index]);
        if account.is_none() && !route.is_public && !self.accounts.is_empty() {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant { route: Arc::clone(route), account: account.cloned() })
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        of_host
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Whether requests of `route` may still go to `service`.
    pub fn allows(&self, route: &Route, service: &str) -> bool {
        route.targets.iter().any(|(target, weight)| &**target == service && 0 < *weight)
    }
}

impl Route {
    /// The service for a request, spread by weight over `draw`.
    pub fn target(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = draw.checked_rem(total)?;
        for (name, weight) in &self.targets {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(name);
            }
            point -= weight;
        }
        None
    }
}

impl Account {
    /// Units that a request is charged.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        if !self.counts_tokens {
            return 1;
        }
        tokens.unwrap_or(self.units_per_plain_request)
    }
}
