//! Limits that backend servers name for the requests of all instances together.
//!
//! Each instance learns a server's limit from responses and from the reports of its peers. One of
//! them issues the server's permits, one for each request, no faster than a share of the limit; the
//! others ask it for each request that they would send. The issuer is chosen by rendezvous hashing
//! among the instances that are heard, see [`issuer`]. While a peer is silent, its part of the
//! limit is withheld, as it may be issuing behind a network partition. All instances know when the
//! next permit is free, so that a new issuer continues where the last one stopped.
//!
//! A response that names no limit ends it only if its request was sent after the limit was last
//! named; any other one may have been under way before.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Moment, Name};

/// Rate from which a limit binds nobody, in requests per second.
const UNLIMITED_RATE: f64 = 1e6;
/// Lowest rate, in requests per second. A server that takes none still gets a request now and then,
/// since only a response tells that its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Share of a limit for callers' requests.
const REQUEST_SHARE: f64 = 0.9;
/// Share of a limit for orders of the server's side process.
const ORDER_SHARE: f64 = 0.1;
/// Delay of a permit's start that the next one makes up for, as a share of the time between two.
const LATE_START_SHARE: f64 = 0.5;
/// Orders that may follow each other at once: an eviction and the load that needs it.
const ORDER_BURST: f64 = 2.0;
/// Longest time from the grant of a permit to its start.
pub const MAX_RESERVATION: Duration = Duration::from_secs(3);
/// Longest time until the next permit: that of an issuer that hears few of many instances.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Time after its start in which a permit may be used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// Time from which an instance is the issuer until it grants the first permit. Meanwhile it hears
/// what others have granted, and they hear of it.
const TAKEOVER_DELAY: Duration = Duration::from_millis(350);
/// Time for which peers are told that a limit has ended.
const END_REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Requests per second that a server takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f64);

/// What a response says about its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// The response names no limit.
    #[default]
    Absent,
    /// The response names a limit that is no number, or a negative one.
    Unusable,
    Named(Rate),
}

/// Right to send one request to a server that named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    pub starts_at: Moment,
    pub ends_at: Moment,
}

/// What one instance tells its peers about the limit of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub server: Name,
    /// Start of the server's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The limit, or `None` if it has ended.
    pub rate: Option<Rate>,
    /// Time since the server stated this.
    pub age: Duration,
    /// Time until the next permit is free.
    pub busy: Duration,
}

/// Limits of all servers, as one instance knows them.
#[derive(Debug, Default)]
pub struct Limits {
    /// Position among the instances that start to issue permits at the same time, from 0 to 1.
    position: f64,
    servers: HashMap<Name, Limit>,
}

#[derive(Debug, Default)]
struct Limit {
    born_ms: u64,
    /// The limit, or `None` if it has ended.
    rate: Option<Rate>,
    /// Time at which the server last stated this.
    stated_at: Moment,
    /// Time from which the next permit is free.
    next_free: Moment,
    /// Time at which the next rejected caller should return.
    next_return: Moment,
    /// Time since which this instance issues the permits, if it does.
    issuer_since: Option<Moment>,
    /// Time at which the limit was learned.
    learned_at: Moment,
    /// Start of the last permit that this instance has issued.
    last_start: Option<Moment>,
    /// Granted permits that no request holds.
    unused: SmallVec<[Permit; 2]>,
}

/// Pace of a side process's orders to an engine that named a limit.
#[derive(Clone, Debug, Default)]
pub struct OrderPace {
    rate: Option<Rate>,
    /// Orders that may be sent now, as of `counted_at`.
    available: f64,
    counted_at: Moment,
}

impl Rate {
    /// Returns the rate, or `None` for one that is negative or no number.
    pub fn new(per_second: f64) -> Option<Rate> {
        (0.0..=f64::INFINITY).contains(&per_second).then(|| Rate(per_second.min(UNLIMITED_RATE)))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the rate, or `None` for one that binds nobody.
    fn if_binding(self) -> Option<Rate> {
        Some(self).filter(|rate| rate.0 < UNLIMITED_RATE)
    }

    /// Returns the time between two requests at a share of this rate.
    fn interval(self, share: f64) -> Duration {
        Duration::from_secs_f64(1.0 / (self.0.max(MIN_RATE) * share.max(1e-3)))
    }
}

impl Permit {
    /// Returns a permit that was requested at `asked_at` and granted with a wait of `wait`.
    pub fn new(asked_at: Moment, now: Moment, wait: Duration) -> Permit {
        let wait = wait.min(MAX_RESERVATION);
        Permit { starts_at: now + wait, ends_at: asked_at + wait + PERMIT_LIFETIME }
    }

    /// Returns whether a request may be sent under this permit now.
    pub fn is_valid(&self, now: Moment) -> bool {
        (self.starts_at..self.ends_at).contains(&now)
    }
}

impl Limits {
    /// Creates an empty list of an instance with this position among the others, from 0 to 1.
    pub fn new(position: f64) -> Limits {
        Limits { position, servers: HashMap::new() }
    }

    /// Records what a response of a server's process says, whose request was sent at `sent_at`.
    /// Returns whether the limit is another one now.
    pub fn record_statement(
        &mut self,
        now: Moment,
        sent_at: Moment,
        (server, born_ms): (&Name, u64),
        statement: Statement,
    ) -> bool {
        let rate = match statement {
            Statement::Unusable => return false,
            Statement::Absent => None,
            Statement::Named(rate) => rate.if_binding(),
        };
        if rate.is_none() && !self.servers.contains_key(server) {
            return false;
        }
        let Some(limit) = self.limit(server, born_ms) else { return false };
        let is_stricter = rate.is_some() && (limit.rate.is_none() || rate < limit.rate);
        if sent_at <= limit.stated_at && !is_stricter {
            return false;
        }
        limit.set(now, now, rate)
    }

    /// Records the report of a peer. Returns whether the limit is another one now.
    pub fn record_report(&mut self, now: Moment, report: &Report) -> bool {
        if report.rate.is_none() && !self.servers.contains_key(&report.server) {
            return false;
        }
        let rate = report.rate.and_then(|rate| Rate::new(rate.0)?.if_binding());
        let stated_at = now.saturating_sub(report.age);
        let Some(limit) = self.limit(&report.server, report.born_ms) else { return false };
        let is_changed = limit.stated_at <= stated_at && limit.set(now, stated_at, rate);
        if let Some(rate) = limit.rate {
            limit.delay(now, report.busy.min(MAX_RESERVATION + rate.interval(REQUEST_SHARE)));
        }
        is_changed
    }

    /// Returns the reports to peers: limits, and for a while those that have ended.
    pub fn reports(&self, now: Moment) -> Vec<Report> {
        let servers = self
            .servers
            .iter()
            .filter(|(_, limit)| limit.rate.is_some() || now < limit.stated_at + END_REPEAT_PERIOD);
        let reports = servers.map(|(server, limit)| Report {
            server: server.clone(),
            born_ms: limit.born_ms,
            rate: limit.rate,
            age: now.saturating_sub(limit.stated_at),
            busy: limit.next_free.saturating_sub(now),
        });
        reports.collect()
    }

    /// Forgets the servers for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&Name) -> bool) {
        self.servers.retain(|server, _| is_listed(server));
    }

    /// Returns the limit of a server, if it has one.
    pub fn rate(&self, server: &Name) -> Option<Rate> {
        self.servers.get(server)?.rate
    }

    /// Returns the time after which the server is expected to take one more request.
    pub fn wait(&self, now: Moment, server: &Name) -> Duration {
        let limit = self.servers.get(server).filter(|limit| limit.rate.is_some());
        let Some(limit) = limit else { return Duration::ZERO };
        let unused = limit.unused.iter().filter(|permit| now < permit.ends_at);
        let starts = unused.map(|permit| permit.starts_at);
        starts.min().unwrap_or(limit.next_free).min(limit.next_free).saturating_sub(now)
    }

    /// Records whether this instance issues the permits of a server now.
    pub fn record_issuer(&mut self, now: Moment, server: &Name, is_issuer: bool) {
        if let Some(limit) = self.servers.get_mut(server) {
            limit.issuer_since = is_issuer.then(|| limit.issuer_since.unwrap_or(now));
        }
    }

    /// Issues a permit that starts within `max_wait`, where `heard_share` is the share of the known
    /// instances that are heard. Returns the time until its start.
    ///
    /// Instances that do not hear each other have an issuer each, and these may start at the same
    /// time. So the first permit of an issuer that does not hear all comes within the time between
    /// two, at the position of its instance.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit is free.
    pub fn issue(
        &mut self,
        now: Moment,
        server: &Name,
        heard_share: f64,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        let Some(limit) = self.servers.get_mut(server) else { return Err(Duration::ZERO) };
        let Some(rate) = limit.rate else { return Err(Duration::ZERO) };
        let taken_over_at = limit.issuer_since.unwrap_or(now) + TAKEOVER_DELAY;
        if now < taken_over_at {
            return Err(taken_over_at - now);
        }
        let mut start = limit.next_free;
        if heard_share < 1.0 {
            let interval = rate.interval(REQUEST_SHARE * heard_share);
            let first = || taken_over_at.max(limit.learned_at) + interval.mul_f64(self.position);
            start = start.max(limit.last_start.map_or_else(first, |last| last + interval));
        }
        let wait = start.saturating_sub(now);
        if max_wait.min(MAX_RESERVATION) < wait {
            return Err(wait);
        }
        let interval = rate.interval(REQUEST_SHARE);
        let earliest = now.saturating_sub(interval.mul_f64(LATE_START_SHARE));
        limit.next_free = start.max(earliest) + interval;
        limit.last_start = Some(start.max(now));
        Ok(wait)
    }

    /// Records that no permit is free before `wait` has passed.
    pub fn record_wait(&mut self, now: Moment, server: &Name, wait: Duration) {
        if let Some(limit) = self.servers.get_mut(server) {
            limit.delay(now, wait.min(MAX_WAIT));
        }
    }

    /// Takes an unused permit that starts within `max_wait`.
    pub fn take_unused(
        &mut self,
        now: Moment,
        server: &Name,
        max_wait: Duration,
    ) -> Option<Permit> {
        let limit = self.servers.get_mut(server)?;
        limit.unused.retain(|permit| now < permit.ends_at);
        let index = limit.unused.iter().position(|permit| permit.starts_at <= now + max_wait)?;
        Some(limit.unused.remove(index))
    }

    /// Returns a permit that its request does not need any more.
    pub fn release(&mut self, now: Moment, server: &Name, permit: Permit) {
        if let Some(limit) = self.servers.get_mut(server).filter(|_| now < permit.ends_at) {
            limit.unused.push(permit);
        }
    }

    /// Returns the time after which one more rejected caller should return. The callers of
    /// `instances` return one after the other.
    pub fn return_after(&mut self, now: Moment, server: &Name, instances: usize) -> Duration {
        let Some(limit) = self.servers.get_mut(server) else { return Duration::ZERO };
        let Some(rate) = limit.rate else { return Duration::ZERO };
        let at = limit.next_return.max(limit.next_free).max(now);
        limit.next_return = at + rate.interval(REQUEST_SHARE) * instances.max(1) as u32;
        at - now
    }

    /// Returns the limit of a server's process, or `None` if a later one is known.
    fn limit(&mut self, server: &Name, born_ms: u64) -> Option<&mut Limit> {
        let limit = self.servers.entry(server.clone()).or_default();
        if limit.born_ms < born_ms {
            *limit = Limit { born_ms, ..Limit::default() };
        }
        (limit.born_ms == born_ms).then_some(limit)
    }
}

impl Limit {
    /// Sets the limit that the server stated at `stated_at`. Returns whether it is another one.
    fn set(&mut self, now: Moment, stated_at: Moment, rate: Option<Rate>) -> bool {
        self.stated_at = stated_at;
        let previous = std::mem::replace(&mut self.rate, rate);
        match rate {
            // Requests may be under way to the server.
            Some(rate) if previous.is_none() => {
                self.learned_at = now;
                self.delay(now, rate.interval(REQUEST_SHARE));
            }
            Some(_) => {}
            None => {
                self.unused.clear();
                (self.next_free, self.next_return) = (Moment::ZERO, Moment::ZERO);
                self.last_start = None;
            }
        }
        previous != rate
    }

    fn delay(&mut self, now: Moment, wait: Duration) {
        self.next_free = self.next_free.max(now + wait);
    }
}

impl OrderPace {
    /// Sets the engine's limit, or that it has none.
    pub fn set(&mut self, now: Moment, rate: Option<Rate>) {
        self.count(now);
        if self.rate.is_none() {
            self.available = ORDER_BURST;
        }
        self.rate = rate;
    }

    /// Returns whether an order may be sent now, and counts it if so.
    pub fn admit(&mut self, now: Moment) -> bool {
        self.count(now);
        if self.rate.is_none() {
            return true;
        }
        let may_send = 1.0 <= self.available;
        self.available -= if may_send { 1.0 } else { 0.0 };
        may_send
    }

    fn count(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.counted_at = now;
        if let Some(rate) = self.rate {
            let added = elapsed * rate.0.max(MIN_RATE) * ORDER_SHARE;
            self.available = (self.available + added).min(ORDER_BURST);
        }
    }
}

/// Returns the instance that issues a server's permits: the one with the highest hash, given
/// `hash(server, instance)`.
pub fn issuer<T: Copy>(
    instances: impl IntoIterator<Item = T>,
    hash: impl Fn(T) -> u64,
) -> Option<T> {
    instances.into_iter().max_by_key(|instance| hash(*instance))
}
