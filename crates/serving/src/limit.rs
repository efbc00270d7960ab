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
//!
//! The rate of a server that is warming up ([`warmup`](crate::warmup)) is kept by the same permits: the
//! lower of both rates binds. It is not in the reports, as all instances read the listings. An issuer
//! grants permits to whoever asks for them, also while it does not know itself that the server is
//! warming up.

mod order_pace;

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Moment, Name, directory::Listing, manifest::Warmup, warmup};

pub use order_pace::OrderPace;

/// Rate from which a limit binds nobody, in requests per second.
const UNLIMITED_RATE: f64 = 1e6;
/// Lowest rate, in requests per second. A server that takes none still gets a request now and then,
/// since only a response tells that its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Share of a limit for callers' requests.
const REQUEST_SHARE: f64 = 0.9;
/// Delay of a permit's start that the next one makes up for, as a share of the time between two.
const LATE_START_SHARE: f64 = 0.5;
/// Longest time from the grant of a permit to its start.
pub const MAX_RESERVATION: Duration = Duration::from_secs(3);
/// Longest time from the grant of a permit to its start if only the warm-up of the server binds. A new
/// issuer knows nothing of these permits, and waits for [`TAKEOVER_DELAY`] instead.
const MAX_WARMUP_RESERVATION: Duration = Duration::from_millis(300);
/// Time after an instance learned of the warm-up of a running process in which others may not know of
/// it and send without permits.
const WARMUP_NEWS_PERIOD: Duration = Duration::from_secs(1);
/// Share of the rate for permits in that time.
const WARMUP_NEWS_SHARE: f64 = 0.5;
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
    warmup: warmup::State,
    /// Warm-up of the server's service, if it has one.
    warmup_terms: Option<Warmup>,
    /// Whether a listing of the process was read.
    is_listed: bool,
    /// Time left of its warm-up by the latest listing.
    listed_left: Option<Duration>,
    /// Whether the process was running before its current warm-up.
    was_running: bool,
    /// Whether the current warm-up was reported as begun.
    is_warmup_noted: bool,
}

/// Begin or end of a server's warm-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    pub server: Name,
    pub is_begun: bool,
    pub source: warmup::Source,
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
        if rate.is_none() && !self.was_named(server) {
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
        if report.rate.is_none() && !self.was_named(&report.server) {
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
        let named = self.servers.iter().filter(|(_, limit)| {
            let has_ended = limit.was_named() && now < limit.stated_at + END_REPEAT_PERIOD;
            limit.rate.is_some() || has_ended
        });
        named.map(|(server, limit)| limit.report(now, server)).collect()
    }

    /// Returns what a request for a permit tells its issuer.
    pub fn report(&self, now: Moment, server: &Name) -> Option<Report> {
        Some(self.servers.get(server)?.report(now, server))
    }

    /// Forgets the servers for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&Name) -> bool) {
        self.servers.retain(|server, _| is_listed(server));
    }

    /// Returns the limit that a server has named, if it has one.
    pub fn rate(&self, server: &Name) -> Option<Rate> {
        self.servers.get(server)?.rate
    }

    /// Returns the rate for which requests to a server need permits: the limit that it has named, or
    /// that of its warm-up if it is lower.
    pub fn binding_rate(&self, now: Moment, server: &Name) -> Option<Rate> {
        self.servers.get(server)?.binding_rate(now)
    }

    /// Returns whether a server is warming up, as far as this instance knows.
    pub fn is_warming_up(&self, now: Moment, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|limit| limit.warmup_rate(now).is_some())
    }

    /// Records the listing of a server with the warm-up of its service, if that has one.
    /// `presumes_start` says that a server that is first listed now has just started.
    pub fn record_listing(
        &mut self,
        now: Moment,
        listing: &Listing,
        terms: Option<Warmup>,
        presumes_start: bool,
    ) {
        let Some(terms) = terms else {
            self.servers.get_mut(&listing.id).into_iter().for_each(|it| it.warmup_terms = None);
            return;
        };
        let known = self.servers.get(&listing.id).filter(|limit| limit.is_listed);
        let is_start = known.map_or(presumes_start, |known| known.born_ms < listing.born_ms);
        self.update_warmup(now, (&listing.id, listing.born_ms), |limit| {
            limit.warmup_terms = Some(terms);
            limit.is_listed = true;
            let listed_left = std::mem::replace(&mut limit.listed_left, listing.warmup_left);
            match listing.warmup_left {
                // Responses may have stated later times since the listing was first read.
                Some(left) if listed_left != Some(left) => {
                    limit.warmup.record_statement(now, left, terms.period);
                }
                None if is_start => limit.warmup.record_start(now, terms.period),
                _ => {}
            }
        });
    }

    /// Records the time left of a warm-up that a response of a server's process states.
    pub fn record_time_left(&mut self, now: Moment, process: (&Name, u64), left: Duration) {
        self.update_warmup(now, process, |limit| {
            if let Some(terms) = limit.warmup_terms {
                limit.warmup.record_statement(now, left, terms.period);
            }
        });
    }

    /// Records that a server's process could not be reached.
    pub fn record_unreachable(&mut self, now: Moment, process: (&Name, u64)) {
        self.update_warmup(now, process, |limit| {
            if limit.warmup_terms.is_some() {
                limit.warmup.record_unreachable(now);
            }
        });
    }

    /// Records a response of a server.
    pub fn record_response(&mut self, now: Moment, server: &Name) {
        let Some(limit) = self.servers.get_mut(server) else { return };
        if let Some(terms) = limit.warmup_terms {
            limit.warmup.record_response(now, terms.period);
        }
    }

    /// Returns the warm-ups that have begun or ended since the last call.
    pub fn take_warmup_changes(&mut self, now: Moment) -> Vec<WarmupChange> {
        let changed = self.servers.iter_mut().filter_map(|(server, limit)| {
            let is_begun = limit.warmup_rate(now).is_some();
            if std::mem::replace(&mut limit.is_warmup_noted, is_begun) == is_begun {
                return None;
            }
            Some(WarmupChange { server: server.clone(), is_begun, source: limit.warmup.source })
        });
        changed.collect()
    }

    /// Returns the servers that are warming up.
    pub fn warming_up(&self, now: Moment) -> Vec<Name> {
        let servers = self.servers.iter().filter(|(_, limit)| limit.warmup_rate(now).is_some());
        servers.map(|(server, _)| server.clone()).collect()
    }

    /// Returns the longest time until the start of a permit for which it is worth to ask.
    pub fn max_reservation(&self, server: &Name) -> Duration {
        self.servers.get(server).map_or(MAX_RESERVATION, Limit::max_reservation)
    }

    /// Returns the time after which the server is expected to take one more request.
    pub fn wait(&self, now: Moment, server: &Name) -> Duration {
        let limit = self.servers.get(server).filter(|limit| limit.binding_rate(now).is_some());
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
        let Some(rate) = limit.issuing_rate(now) else { return Err(Duration::ZERO) };
        let taken_over_at = limit.issuer_since.unwrap_or(now) + TAKEOVER_DELAY;
        if now < taken_over_at {
            return Err(taken_over_at - now);
        }
        let share = REQUEST_SHARE * limit.news_share(now);
        let mut start = limit.next_free;
        if heard_share < 1.0 {
            let interval = rate.interval(share * heard_share);
            let first = || taken_over_at.max(limit.learned_at) + interval.mul_f64(self.position);
            start = start.max(limit.last_start.map_or_else(first, |last| last + interval));
        }
        let wait = start.saturating_sub(now);
        if max_wait.min(limit.max_reservation()) < wait {
            return Err(wait);
        }
        let interval = rate.interval(share);
        let earliest = now.saturating_sub(interval.mul_f64(LATE_START_SHARE));
        limit.next_free = start.max(earliest) + interval;
        limit.last_start = Some(start.max(now));
        Ok(wait)
    }

    /// Records that a permit was granted to this instance, which starts after `wait`. If only the
    /// warm-up of the server binds, the next one is not free before the time between two has passed.
    pub fn record_grant(&mut self, now: Moment, server: &Name, wait: Duration) {
        let Some(limit) = self.servers.get_mut(server) else { return };
        if let Some(rate) = limit.warmup_rate(now).filter(|_| limit.rate.is_none()) {
            limit.delay(now, wait.min(MAX_RESERVATION) + rate.interval(REQUEST_SHARE));
        }
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
        let Some(rate) = limit.binding_rate(now) else { return Duration::ZERO };
        let at = limit.next_return.max(limit.next_free).max(now);
        limit.next_return = at + rate.interval(REQUEST_SHARE) * instances.max(1) as u32;
        at - now
    }

    /// Returns whether the server has ever named a limit, as far as is known.
    fn was_named(&self, server: &Name) -> bool {
        self.servers.get(server).is_some_and(Limit::was_named)
    }

    /// Runs `update` with a server's process, unless a later one is known. Requests may be under way
    /// to a server whose warm-up begins.
    fn update_warmup(
        &mut self,
        now: Moment,
        (server, born_ms): (&Name, u64),
        update: impl FnOnce(&mut Limit),
    ) {
        let was_running = self.servers.get(server).is_some_and(|it| it.born_ms == born_ms);
        let Some(limit) = self.limit(server, born_ms) else { return };
        let was_free = limit.binding_rate(now).is_none();
        update(limit);
        if let Some(rate) = limit.warmup_rate(now).filter(|_| was_free) {
            (limit.learned_at, limit.was_running) = (now, was_running);
            limit.delay(now, rate.interval(REQUEST_SHARE));
        }
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
    /// Returns the lower one of the named limit and the rate of the warm-up.
    fn binding_rate(&self, now: Moment) -> Option<Rate> {
        lower(self.rate, self.warmup_rate(now))
    }

    /// Returns the rate at which this instance issues permits. The server may be warming up by the
    /// word of the one that asks.
    fn issuing_rate(&self, now: Moment) -> Option<Rate> {
        let presumed = self.warmup_terms.map(|terms| terms.rate).filter(|_| self.rate.is_none());
        self.binding_rate(now).or(presumed)
    }

    /// Returns the rate of the server's warm-up while it lasts.
    fn warmup_rate(&self, now: Moment) -> Option<Rate> {
        let terms = self.warmup_terms.filter(|_| self.warmup.is_active(now))?;
        terms.rate.if_binding()
    }

    /// Returns the share of the rate that is left for permits while news of a warm-up spreads.
    fn news_share(&self, now: Moment) -> f64 {
        if self.rate.is_some() {
            return 1.0;
        }
        let is_news = self.was_running && now < self.learned_at + WARMUP_NEWS_PERIOD;
        if is_news || self.warmup_rate(now).is_none() { WARMUP_NEWS_SHARE } else { 1.0 }
    }

    fn max_reservation(&self) -> Duration {
        match self.rate {
            Some(_) => MAX_RESERVATION,
            None if self.warmup_terms.is_some() => MAX_WARMUP_RESERVATION,
            None => MAX_RESERVATION,
        }
    }

    /// Returns whether the server has ever named a limit, as far as is known.
    fn was_named(&self) -> bool {
        self.rate.is_some() || !self.stated_at.is_zero()
    }

    fn report(&self, now: Moment, server: &Name) -> Report {
        let stated = now.saturating_sub(self.stated_at);
        Report {
            server: server.clone(),
            born_ms: self.born_ms,
            rate: self.rate,
            age: if self.was_named() { stated } else { Duration::MAX },
            busy: self.next_free.saturating_sub(now),
        }
    }

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
            // Permits of a warm-up stay.
            None if previous.is_none() && self.warmup_terms.is_some() => {}
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

/// Returns the lower one of two rates, where `None` binds nobody.
fn lower(a: Option<Rate>, b: Option<Rate>) -> Option<Rate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if a < b { a } else { b }),
        (a, b) => a.or(b),
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
