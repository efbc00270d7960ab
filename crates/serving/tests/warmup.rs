//! Warm-up of servers, by itself and over a simulated fleet of entry instances.
//!
//! Guards against more requests than a server that is warming up takes in a second, counted at the
//! server: while every instance has requests for it, listings come late, datagrams are lost, and
//! instances are cut off, killed and started.

mod support;

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};

use seeds::Random;
use serving::{
    Moment, Name,
    directory::{Directory, Effect, Listing, Phase},
    limit::{self, Limits, Rate},
    manifest::Warmup,
    rate_limit::{Limiter, UsageReport},
    warmup::State,
};

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
const ISSUER_MIN_AGE: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_secs(3);
/// Time between two starts of the server, or times at which it has to warm up again.
const START_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time until an instance has read a listing.
const MAX_LISTING_DELAY: f64 = 1.2;
/// Requests per second for the warm server, from all instances.
const WARM_DEMAND: f64 = 8.0;
const LOSS: f64 = 0.1;
const RATE: f64 = 8.2;
/// Most requests that the server bears in a second.
const BOUND: usize = (RATE * 1.5 + 5.0) as usize;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn terms() -> Option<Warmup> {
    Some(Warmup { period: PERIOD, rate: Rate::new(RATE).unwrap() })
}

fn listing(born_ms: u64, left: Option<f64>) -> Listing {
    Listing { warmup_left: left.map(seconds), ..support::listing("i-1", born_ms, Phase::Ready) }
}

fn server() -> Name {
    listing(1, None).id
}

// Guards against a server that stays limited for good because of what a listing says.
#[test]
fn bounds_a_warm_up_by_the_period_of_the_service() {
    let mut state = State::default();

    state.record_statement(seconds(1.0), seconds(1e6), PERIOD);
    let later = [3.9, 4.8].map(|at| state.is_active(seconds(at)));
    state.record_statement(seconds(5.0), seconds(0.0), PERIOD);
    state.record_statement(seconds(6.0), seconds(2.0), PERIOD);
    let again = [7.9, 8.1].map(|at| state.is_active(seconds(at)));

    assert_eq!((later, again), ([true, false], [true, false]));
}

// Guards against an older listing that ends the warm-up of a process that could not be reached.
#[test]
fn warms_up_from_the_first_response_after_a_process_could_not_be_reached() {
    let mut state = State::default();

    state.record_unreachable(seconds(1.0));
    let meanwhile = state.is_active(seconds(60.0));
    state.record_response(seconds(60.0), PERIOD);
    let after = [62.9, 63.1].map(|at| state.is_active(seconds(at)));

    assert!(meanwhile);
    assert_eq!(after, [true, false]);
}

// Guards against a new process whose listing states nothing, and against a fleet that takes all
// servers for new ones when it starts itself.
#[test]
fn presumes_a_warm_up_of_new_processes_only() {
    let mut limits = Limits::default();
    let is_limited = |limits: &Limits| limits.binding_rate(seconds(10.0), &server()).is_some();

    limits.record_listing(seconds(9.0), &listing(1, None), terms(), false);
    let first = is_limited(&limits);
    limits.record_listing(seconds(9.0), &listing(2, None), terms(), true);

    assert_eq!((first, is_limited(&limits)), (false, true));
    assert_eq!(limits.rate(&server()), None, "it has named no limit");
}

// Guards against a new roster for each heartbeat of a server that is warming up.
// Guards against warm-ups that end late: all listings are recorded again at each change of the
// directory, and the process may have stated less time since.
#[test]
fn lengthens_no_warm_up_by_an_older_listing() {
    let mut limits = Limits::default();
    let listing = listing(1, Some(2.4));
    limits.record_listing(seconds(0.0), &listing, terms(), true);
    limits.record_time_left(seconds(1.0), (&server(), 1), seconds(1.0));

    limits.record_listing(seconds(1.2), &listing, terms(), true);

    assert!(!limits.is_warming_up(seconds(2.5), &server()));
}

// Guards against a new process that gets a warm server's requests since it was heard of before its
// listing was read.
#[test]
fn presumes_a_warm_up_of_a_new_process_that_was_heard_of_before_its_listing() {
    let mut limits = Limits::default();
    limits.record_listing(seconds(0.0), &listing(1, None), terms(), false);
    limits.record_unreachable(seconds(1.0), (&server(), 2));

    limits.record_listing(seconds(1.5), &listing(2, None), terms(), true);

    assert!(limits.is_warming_up(seconds(2.0), &server()));
}

#[test]
fn counts_only_the_begin_and_the_end_as_changes_of_the_directory() {
    let mut directory = Directory::default();

    let effects =
        [3.0, 1.8, 0.6, 0.0, 0.0, 2.9].map(|left| directory.upsert(listing(1, Some(left))));

    let (added, same, changed) = (Effect::Added, Effect::Same, Effect::Changed);
    assert_eq!(effects, [added, same, same, changed, same, changed]);
}

/// How instances share the rate.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Permits,
    /// Each instance sends its equal share on its own.
    EqualShares,
}

struct Instance {
    limits: Limits,
    limiter: Limiter,
    incarnation: u64,
    started: Moment,
    /// Whether it is cut off from the instances for which this differs.
    is_cut: bool,
    /// Listings that it will read, with the time.
    unread: VecDeque<(Moment, Listing)>,
    /// Start of the process in the listing that it has read.
    knows: Option<u64>,
    /// Time of its next request under [`Way::EqualShares`].
    next_at: Moment,
}

/// Entry instances with more requests than the server takes, and the server's own count.
struct Fleet {
    way: Way,
    instances: Vec<Instance>,
    now: Moment,
    listing: Listing,
    warms_up_since: Moment,
    /// Arrivals while the server was warming up.
    arrived: Vec<Moment>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7600))
}

impl Instance {
    fn new(now: Moment, incarnation: u64) -> Instance {
        Instance {
            limits: Limits::new(Random::seed_from_u64(incarnation).random()),
            limiter: Limiter::default(),
            incarnation,
            started: now,
            is_cut: false,
            unread: VecDeque::new(),
            knows: None,
            next_at: Moment::ZERO,
        }
    }

    fn clock(&self, now: Moment) -> Moment {
        now - self.started
    }
}

impl Fleet {
    fn new(way: Way, count: usize) -> Fleet {
        let instances = (0..count).map(|index| Instance::new(Duration::ZERO, index as u64));
        let mut fleet = Fleet {
            way,
            instances: instances.collect(),
            now: Duration::ZERO,
            listing: listing(1, Some(0.0)),
            warms_up_since: Duration::ZERO,
            arrived: Vec::new(),
        };
        let first = (Duration::ZERO, fleet.listing.clone());
        fleet.instances.iter_mut().for_each(|it| it.unread.push_back(first.clone()));
        fleet
    }

    fn is_warming_up(&self) -> bool {
        !self.warms_up_since.is_zero() && self.now < self.warms_up_since + PERIOD
    }

    /// The server starts again or, as the same process, has to warm up again.
    fn start_server(&mut self, random: &mut Random) {
        let is_new = random.random_bool(0.5);
        self.listing =
            listing(self.listing.born_ms + u64::from(is_new), Some(PERIOD.as_secs_f64()));
        self.warms_up_since = self.now;
        for index in 0..self.instances.len() {
            self.list(random, index);
        }
    }

    /// Lets an instance read the listing, and later its end.
    fn list(&mut self, random: &mut Random, index: usize) {
        let read_at = self.now + seconds(random.random_range(0.0..MAX_LISTING_DELAY));
        let end = Listing { warmup_left: Some(Duration::ZERO), ..self.listing.clone() };
        let unread = &mut self.instances[index].unread;
        unread.push_back((read_at, self.listing.clone()));
        unread.push_back((self.warms_up_since + PERIOD + seconds(MAX_LISTING_DELAY), end));
    }

    fn read_listings(&mut self) {
        for instance in &mut self.instances {
            let now = instance.clock(self.now);
            while let Some((_, listing)) = instance.unread.pop_front_if(|(at, _)| *at <= self.now) {
                instance.limits.record_listing(now, &listing, terms(), true);
                instance.knows = Some(listing.born_ms);
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.instances[from].is_cut != self.instances[to].is_cut
    }

    fn gossip(&mut self, random: &mut Random) {
        for index in 0..self.instances.len() {
            let is_issuer = self.issuer(index) == Some(index);
            let now = self.instances[index].clock(self.now);
            self.instances[index].limits.record_issuer(now, &server(), is_issuer);
        }
        for from in 0..self.instances.len() {
            let (incarnation, age) =
                (self.instances[from].incarnation, self.instances[from].clock(self.now));
            let usage = UsageReport { incarnation, age, ..UsageReport::default() };
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                if self.is_cut(from, to) || random.random_bool(LOSS) {
                    continue;
                }
                let now = self.instances[to].clock(self.now);
                self.instances[to].limiter.record_report(now, address(from), &usage);
            }
        }
    }

    fn issuer(&self, index: usize) -> Option<usize> {
        let now = self.instances[index].clock(self.now);
        let heard = self.instances[index].limiter.members(now).heard;
        let candidates = heard.into_iter().chain([(address(index), now)]);
        let candidates = candidates.filter(|(_, age)| ISSUER_MIN_AGE <= *age);
        let number = |address: SocketAddr| match address {
            SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
            SocketAddr::V6(_) => unreachable!(),
        };
        let hash = |index: usize| (index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        limit::issuer(candidates.map(|(address, _)| number(address)), hash)
    }

    /// Returns whether an instance gets a permit that starts now.
    fn obtain(&mut self, random: &mut Random, index: usize) -> bool {
        let Some(issuer) = self.issuer(index) else { return false };
        let mut is_lost = || random.random_bool(LOSS);
        if issuer != index && (self.is_cut(index, issuer) || is_lost()) {
            return false;
        }
        if self.issuer(issuer) != Some(issuer) {
            return false;
        }
        let instance = &mut self.instances[issuer];
        let now = instance.clock(self.now);
        let members = instance.limiter.members(now);
        let share = (1 + members.heard.len()) as f64 / members.known.max(1) as f64;
        instance.limits.issue(now, &server(), share.min(1.0), Duration::ZERO).is_ok()
    }

    /// Returns whether an instance sends a request in this step.
    fn sends(&mut self, random: &mut Random, index: usize) -> bool {
        let count = self.instances.len() as f64;
        let instance = &mut self.instances[index];
        if instance.knows != Some(self.listing.born_ms) {
            return false;
        }
        if !instance.limits.is_warming_up(instance.clock(self.now), &server()) {
            return random.random_bool(WARM_DEMAND / count * STEP.as_secs_f64());
        }
        match self.way {
            Way::Permits => self.obtain(random, index),
            Way::EqualShares if instance.next_at <= self.now => {
                instance.next_at = self.now + seconds(count / RATE);
                true
            }
            Way::EqualShares => false,
        }
    }

    fn run_until(&mut self, random: &mut Random, end: Moment) {
        while self.now < end {
            self.now += STEP;
            self.read_listings();
            if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                self.gossip(random);
            }
            if self.now.as_millis().is_multiple_of(START_INTERVAL.as_millis()) {
                self.start_server(random);
            }
            let mut order: Vec<usize> = (0..self.instances.len()).collect();
            order.shuffle(random);
            for index in order {
                if self.sends(random, index) && self.is_warming_up() {
                    // A permit may be used late.
                    let late = if random.random_bool(0.2) { 0.4 } else { 0.02 };
                    self.arrived.push(self.now + seconds(random.random_range(0.0..late)));
                }
            }
        }
    }

    /// Kills an instance, cuts some off, or heals the network.
    fn disturb(&mut self, random: &mut Random) {
        match random.random_range(0..4) {
            0 => {
                let index = random.random_range(0..self.instances.len());
                let incarnation = self.instances[index].incarnation + 1000;
                self.instances[index] = Instance::new(self.now, incarnation);
                self.list(random, index);
            }
            1 => {
                let share = random.random_range(0.1..0.5);
                self.instances.iter_mut().for_each(|it| it.is_cut = random.random_bool(share));
            }
            _ => self.instances.iter_mut().for_each(|it| it.is_cut = false),
        }
    }

    /// Returns the most requests in a second.
    fn worst_second(&mut self) -> usize {
        self.arrived.sort_unstable();
        let counts = self.arrived.iter().enumerate().map(|(index, start)| {
            let rest = self.arrived[index..].iter();
            rest.take_while(|at| **at < *start + Duration::from_secs(1)).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Runs a fleet for 30 s, with kills and partitions if it is `disturbed`.
fn run_fleet(random: &mut Random, way: Way, count: usize, disturbed: bool) -> Fleet {
    let mut fleet = Fleet::new(way, count);
    while fleet.now < Duration::from_secs(30) {
        let end = fleet.now + seconds(random.random_range(0.3..2.0));
        let end = end.min(Duration::from_secs(30));
        fleet.run_until(random, end);
        if disturbed {
            fleet.disturb(random);
        }
    }
    fleet
}

#[test]
fn keeps_the_rate_over_late_listings_kills_and_partitions() {
    for (count, trials) in [(4, 60), (28, 25), (78, 6)] {
        let worst = std::cell::Cell::new(0);
        seeds::run(trials, |random| {
            let second = run_fleet(random, Way::Permits, count, true).worst_second();
            worst.set(worst.get().max(second));
            assert!(second <= BOUND, "{count} instances: {second} requests in a second");
        });
        println!("{count} instances, worst second: {} of {BOUND}", worst.get());
    }
}

// Shows that the bound tells the ways apart.
#[test]
fn equal_shares_exceed_the_rate() {
    for count in [28, 78] {
        seeds::run(3, |random| {
            let second = run_fleet(random, Way::EqualShares, count, false).worst_second();
            assert!(BOUND < second, "{count} instances: {second} requests in a second");
        });
    }
}

// Guards against a server that is left idle although requests wait for it.
#[test]
fn uses_most_of_the_rate_under_demand() {
    for count in [4, 28, 78] {
        seeds::run(5, |random| {
            let fleet = run_fleet(random, Way::Permits, count, false);
            let used = fleet.arrived.len() as f64 / (5.0 * PERIOD.as_secs_f64() * RATE);
            println!("{count} instances: {used:.2} of the rate");
            assert!(0.7 <= used, "{count} instances: {used:.2}");
        });
    }
}
