//! Configuration that the operators publish: routes, services, limits and client
//! accounts. Each change has a new revision, and a process never goes back to an
//! older one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Name, limit::Rate};

/// Regions that a route or an account is limited to; a few are stored inline.
pub type Homes = SmallVec<[Name; 2]>;

/// One revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    pub revision: u64,
    pub routes: Vec<Arc<Route>>,
    pub services: HashMap<Name, Arc<Service>>,
    pub limits: Limits,
    pub accounts: Vec<Arc<Account>>,
    /// Position in `accounts` by API key.
    pub keys: HashMap<Name, usize>,
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be retried.
    #[serde(rename = "repetition")]
    pub retry_policy: RetryPolicy,
    /// Longest time that a request may wait for its response.
    pub timeout: Option<Duration>,
    /// Target for the time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Longest expected pause between events of a stream.
    pub pause: Option<Duration>,
    /// Urgency of the requests; 0 is the most urgent.
    pub urgency: u8,
    /// Services with their weights.
    pub targets: SmallVec<[(Name, u32); 2]>,
    /// Maximum number of backend servers that may run the same request.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Regions whose servers may run the requests; empty for all.
    pub homes: Homes,
}

/// Kind of the requests of a route, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    Once,
    /// A stream of events that must run at most once.
    Stream,
    /// A stream of events that another backend server can resume.
    ResumableStream,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    /// Set if the servers are model engines.
    pub engine: Option<EngineConfig>,
    /// Set if a process of a server takes few requests after its start.
    pub warmup: Option<Warmup>,
}

/// Warm-up of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time that it takes from the start of a process.
    pub period: Duration,
    /// Requests that a server takes meanwhile from all instances together.
    pub rate: Rate,
}

/// Configuration of the model engines of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Adapter slots of one engine.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: usize,
    /// Base models.
    pub models: Vec<Name>,
    /// Time to load a base model of which the machine has a copy.
    pub reload: Duration,
}

/// Limits for the requests of callers: the size of a request's head and body, and the times after
/// which a connection is closed because the head is incomplete or no request arrives.
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
    /// Units per second over all instances; 0 is unlimited.
    pub rate: u64,
    /// Units beyond the rate that may be used at once.
    pub burst: u64,
    /// Units charged for a request without a token count, if `counts_tokens` is set.
    pub units_per_plain_request: u64,
    /// Urgency of the account's requests; takes precedence over the urgency of the route.
    pub urgency: Option<u8>,
    /// Whether a request is charged one unit per token, instead of one unit in all.
    pub counts_tokens: bool,
    /// Regions whose servers may run the account's requests; empty for all.
    pub homes: Homes,
}

/// Route and client account of an authorized request.
#[derive(Clone, Debug)]
pub struct Grant {
    pub route: Arc<Route>,
    /// `None` if the request has no known key and needs none.
    pub account: Option<Arc<Account>>,
}

/// Reason why a request is not authorized.
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

impl RetryPolicy {
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Returns whether a stream may go on after its connection broke.
    pub fn is_resumable(self) -> bool {
        self == RetryPolicy::ResumableStream
    }

    /// Returns whether a request may be retried after an attempt that may have run it.
    pub fn can_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

impl Manifest {
    /// Returns the route and client account of a request. If there are no client accounts, no route
    /// needs a key.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if no route matches, or if the route needs a key and no client
    /// account has the given one.
    pub fn authorize(&self, host: &str, path: &str, key: Option<&str>) -> Result<Grant, Denial> {
        let route = self.route(host, path).ok_or(Denial::UnknownRoute)?;
        let account = key.and_then(|key| self.keys.get(key)).map(|index| &self.accounts[*index]);
        if account.is_none() && !route.is_public && !self.accounts.is_empty() {
            return Err(Denial::UnknownKey);
        }
        Ok(Grant { route: Arc::clone(route), account: account.cloned() })
    }

    /// Returns the regions that routes and accounts are limited to.
    pub fn homes(&self) -> impl Iterator<Item = &Name> {
        let routes = self.routes.iter().flat_map(|route| &route.homes);
        routes.chain(self.accounts.iter().flat_map(|account| &account.homes))
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        routes
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Grant {
    /// Returns whether a server in this region may run the request; `None` is an unknown region. Where
    /// both the route and the account have homes, both limit the request.
    pub fn allows_region(&self, region: Option<&Name>) -> bool {
        let account_homes = self.account.as_ref().map(|account| &account.homes);
        let mut limits = [Some(&self.route.homes), account_homes].into_iter().flatten();
        limits.all(|homes| homes.is_empty() || region.is_some_and(|it| homes.contains(it)))
    }
}

impl Route {
    /// Returns whether requests of this route may go to a service.
    pub fn has_target(&self, service: &str) -> bool {
        self.targets.iter().any(|(target, weight)| &**target == service && 0 < *weight)
    }

    /// Returns the service for a request. `draw` is a uniformly distributed number that selects
    /// one by weight.
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
    /// Returns the units to charge for a request with this token count.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        if !self.counts_tokens {
            return 1;
        }
        tokens.unwrap_or(self.units_per_plain_request)
    }
}
