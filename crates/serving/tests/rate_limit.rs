//! Rate limit of one client account over a simulated fleet of entry instances.
//!
//! Guards against admitting more than the rate allows, summed over all instances:
//! while an account sends many times its rate, when instances lose their buckets
//! in a crash, and while instances cannot reach each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt as _;

use seeds::Random;
use serving::{
    Moment,
    manifest::Account,
    rate_limit::{self, Admission, Limiter, Usage, UsageReport},
    rejection,
};

const STEP: Duration = Duration::from_millis(10);
/// Length of the windows in which the users check the rate.
const WINDOW: Duration = Duration::from_secs(8);
/// Factor by which a window may exceed the rate and burst.
const EXCESS: f64 = 1.1;
/// Tokens that a window may hold beyond that.
const SLACK: f64 = 17_000.0;

struct Instance {
    limiter: Limiter,
    incarnation: u64,
    started: Moment,
    /// Whether the instance is partitioned from its peers.
    is_partitioned: bool,
    /// End of a limited partition.
    partitioned_until: Moment,
}

/// A usage report in transit.
struct Delivery {
    at: Moment,
    from: usize,
    report: UsageReport,
    /// Whether it goes to the instances of the other zones, or to those of the sender's own.
    is_relayed: bool,
}

/// A request that waits at an instance.
struct Waiting {
    /// Time of the next try.
    at: Moment,
    index: usize,
    units: u64,
    until: Moment,
}

struct Fleet {
    instances: Vec<Instance>,
    account: Arc<Account>,
    now: Moment,
    /// Number of zones, whose instances hear those of the others through two instances that pass
    /// reports on; with one zone, all hear each other directly.
    zones: usize,
    in_transit: Vec<Delivery>,
    waiting: Vec<Waiting>,
    admitted: Vec<(Moment, u64)>,
    rejected: u64,
    /// Tokens to be sent that are not in a request yet.
    unsent: f64,
}

fn account(rate: u64) -> Arc<Account> {
    account_named("council", rate)
}

fn account_named(name: &str, rate: u64) -> Arc<Account> {
    Arc::new(Account {
        name: Arc::from(name),
        rate,
        burst: rate,
        counts_tokens: true,
        ..Account::default()
    })
}

fn retry_after(admission: Admission) -> Duration {
    match admission {
        Admission::Rejected(retry_after) => retry_after,
        other => panic!("not rejected: {other:?}"),
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7600))
}

impl Instance {
    fn is_connected(&self, now: Moment) -> bool {
        !self.is_partitioned && self.partitioned_until <= now
    }
}

impl Fleet {
    fn new(instances: usize, rate: u64) -> Fleet {
        let instance = |incarnation| Instance {
            limiter: Limiter::default(),
            incarnation,
            started: Moment::ZERO,
            is_partitioned: false,
            partitioned_until: Moment::ZERO,
        };
        Fleet {
            instances: (1..=instances as u64).map(instance).collect(),
            account: account(rate),
            now: Moment::ZERO,
            zones: 1,
            in_transit: Vec::new(),
            waiting: Vec::new(),
            admitted: Vec::new(),
            rejected: 0,
            unsent: 0.0,
        }
    }

    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.limiter = Limiter::default();
        instance.incarnation += 1000;
        instance.started = self.now;
    }

    /// Advances by one step, with requests to random instances at `tokens_per_s` in total.
    fn step(&mut self, random: &mut Random, tokens_per_s: f64) {
        self.now += STEP;
        self.exchange(random);
        self.unsent += tokens_per_s * STEP.as_secs_f64() * random.random_range(0.0..2.0);
        while 0.0 < self.unsent {
            let units = random.random_range(200..7000);
            self.unsent -= units as f64;
            let index = random.random_range(0..self.instances.len());
            self.request(index, units);
        }
    }

    fn request(&mut self, index: usize, units: u64) {
        let instance = &mut self.instances[index];
        let age = self.now - instance.started;
        match instance.limiter.admit(age, &self.account, units, Moment::ZERO) {
            Admission::Granted => self.admitted.push((self.now, units)),
            Admission::Wait(_) | Admission::Rejected(_) => self.rejected += 1,
        }
    }

    /// Tries the requests again that wait at their instances.
    fn retry_waiting(&mut self) {
        let now = self.now;
        for due in self.waiting.extract_if(.., |waiting| waiting.at <= now).collect::<Vec<_>>() {
            self.request_that_may_wait(due.index, due.units, due.until);
        }
    }

    /// Sends a request to an instance, which may let it wait until a time after the start of the fleet.
    fn request_that_may_wait(&mut self, index: usize, units: u64, until: Moment) {
        let instance = &mut self.instances[index];
        let age = self.now - instance.started;
        let wait_until = until.saturating_sub(instance.started);
        match instance.limiter.admit(age, &self.account, units, wait_until) {
            Admission::Granted => self.admitted.push((self.now, units)),
            Admission::Wait(pause) => {
                self.waiting.push(Waiting { at: self.now + pause, index, units, until });
            }
            Admission::Rejected(_) => self.rejected += 1,
        }
    }

    fn exchange(&mut self, random: &mut Random) {
        let count = self.instances.len();
        let interval = rate_limit::report_interval(count).as_millis() / 10 * 10;
        let is_due = self.now.as_millis().is_multiple_of(interval);
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let age = self.now - instance.started;
            for peer in (0..count).filter(|peer| *peer != index) {
                instance.limiter.add_peer(address(peer));
            }
            instance.limiter.set_accounts(age, std::slice::from_ref(&self.account));
            if is_due && instance.is_connected(self.now) {
                let report = instance.limiter.usage_report(age, instance.incarnation);
                let deliver = |delay_ms, is_relayed| Delivery {
                    at: self.now + Duration::from_millis(delay_ms),
                    from: index,
                    report: report.clone(),
                    is_relayed,
                };
                self.in_transit.push(deliver(3, false));
                for _ in 0..if self.zones == 1 { 0 } else { 2 } {
                    self.in_transit.push(deliver(random.random_range(3..200), true));
                }
            }
        }
        let (now, zones) = (self.now, self.zones);
        for delivery in self.in_transit.extract_if(.., |delivery| delivery.at <= now) {
            let from = delivery.from;
            for (index, instance) in self.instances.iter_mut().enumerate() {
                let is_other_zone = index % zones != from % zones;
                if index != from
                    && is_other_zone == delivery.is_relayed
                    && instance.is_connected(now)
                {
                    let age = now - instance.started;
                    instance.limiter.record_report(age, address(from), &delivery.report);
                }
            }
        }
    }

    /// Returns the largest usage in any window as a multiple of the allowed usage.
    fn peak_usage(&self) -> f64 {
        let rate = self.account.rate as f64;
        let allowed = (rate * WINDOW.as_secs_f64() + self.account.burst as f64) * EXCESS + SLACK;
        let mut peak: f64 = 0.0;
        for (index, (from, _)) in self.admitted.iter().enumerate() {
            let within = self.admitted[index..].iter().take_while(|(at, _)| *at < *from + WINDOW);
            let used: u64 = within.map(|(_, units)| units).sum();
            peak = peak.max(used as f64 / allowed);
        }
        peak
    }
}

#[test]
fn admits_no_more_than_the_rate_under_overload() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for _ in 0..2500 {
            fleet.step(random, 200_000.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_over_many_instances_that_hear_each_other_through_others() {
    for instances in [68, 200] {
        assert_rate_is_kept_through_others(instances);
    }
}

fn assert_rate_is_kept_through_others(instances: usize) {
    seeds::run(2, |random| {
        let mut fleet = Fleet { zones: 6, ..Fleet::new(instances, 30_000) };

        for step in 0..2500 {
            // An instance is replaced now and then, and its earlier reports arrive afterwards.
            if step % 200 == 150 {
                fleet.restart(step / 200);
            }
            fleet.step(random, 200_000.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_when_all_instances_are_killed_at_once() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 43_516);

        for step in 0..2500 {
            // The burst is used up just before the restart and must not be admitted again after it.
            if step == 1000 {
                (0..4).for_each(|index| fleet.restart(index));
            }
            fleet.step(random, if step < 800 { 0.0 } else { 300_000.0 });
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_when_all_instances_restart_under_overload() {
    seeds::run(40, |random| {
        let mut fleet = Fleet::new(5, 32_631);

        for step in 0..2500 {
            // All instances restart within 0.3 s, and each one cannot reach its peers for 1.5 s.
            for index in 0..5 {
                if step == 1000 + 6 * index {
                    fleet.restart(index);
                    fleet.instances[index].partitioned_until =
                        fleet.now + Duration::from_millis(1500);
                }
            }
            fleet.step(random, if step < 600 { 10_000.0 } else { 250_000.0 });
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_when_instances_are_killed_in_turn() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for step in 0..3000 {
            if 800 < step && step % 300 == 0 {
                fleet.restart(step / 300 % 4);
            }
            fleet.step(random, 120_000.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_while_one_instance_is_partitioned() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for step in 0..3000 {
            fleet.instances[1].is_partitioned = (1000..1550).contains(&step);
            fleet.step(random, 120_000.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn admits_no_more_than_the_rate_while_all_instances_are_partitioned() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 60_000);

        for step in 0..3000 {
            let is_partitioned = (1000..2200).contains(&step);
            fleet
                .instances
                .iter_mut()
                .for_each(|instance| instance.is_partitioned = is_partitioned);
            fleet.step(random, 240_000.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn rejects_no_request_of_an_account_within_its_rate() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 60_000);
        // Fill the buckets before the first request.
        for _ in 0..1000 {
            fleet.now += STEP;
            fleet.exchange(random);
        }

        for _ in 0..2500 {
            fleet.step(random, 30_000.0);
        }

        assert_eq!(fleet.rejected, 0);
    });
}

/// Guards against rejecting requests of accounts that are far within their rates in the second after
/// all instances have started again, while these have not heard each other yet.
#[test]
fn rejects_no_request_within_the_rate_after_all_instances_restart() {
    for instances in [4, 32, 68] {
        seeds::run(3, |random| assert_waiting_requests_are_admitted(instances, random));
    }
}

fn assert_waiting_requests_are_admitted(instances: usize, random: &mut Random) {
    const TIME_BUDGET: Duration = Duration::from_secs(5);
    const MEAN_UNITS: u64 = 3600;
    let mut fleet = Fleet { zones: 4, ..Fleet::new(instances, 120_000) };
    for _ in 0..1000 {
        fleet.now += STEP;
        fleet.exchange(random);
    }
    let restarted_at = fleet.now;
    let starts: Vec<u64> = (0..instances).map(|_| random.random_range(0..60)).collect();

    for step in 0..400 {
        fleet.now += STEP;
        (0..instances)
            .filter(|index| starts[*index] == step)
            .for_each(|index| fleet.restart(index));
        fleet.exchange(random);
        fleet.retry_waiting();
        let index = random.random_range(0..instances);
        let is_started = starts[index] <= step;
        // Half of the rate.
        if is_started && random.random_bool(60_000.0 / MEAN_UNITS as f64 * STEP.as_secs_f64()) {
            let age = fleet.now - fleet.instances[index].started;
            let until = fleet.now + rejection::startup_wait(age, TIME_BUDGET);
            fleet.request_that_may_wait(index, random.random_range(200..7000), until);
        }
    }

    assert_eq!(fleet.rejected, 0, "{instances} instances");
    assert!(restarted_at < fleet.now && 30 < fleet.admitted.len(), "{}", fleet.admitted.len());
    assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
}

#[test]
fn admits_at_least_90_percent_of_the_rate_under_overload() {
    seeds::run(5, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for _ in 0..2500 {
            fleet.step(random, 200_000.0);
        }

        let used: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
        let allowed = 30_000.0 * 25.0;
        assert!(0.9 * allowed <= used as f64, "{used} of {allowed}");
    });
}

#[test]
fn spreads_the_retries_of_rejected_requests() {
    let account = account(1000);
    let mut limiter = Limiter::default();
    let now = Duration::from_secs(10);
    limiter.set_accounts(now, std::slice::from_ref(&account));
    assert_eq!(limiter.admit(now, &account, 1000, Moment::ZERO), Admission::Granted);

    let waits: Vec<Duration> =
        (0..3).map(|_| retry_after(limiter.admit(now, &account, 1000, Moment::ZERO))).collect();

    assert!(waits.is_sorted());
    assert!(waits[0] + Duration::from_millis(900) <= waits[2]);
}

// Guards against reports that grow with each account that was ever configured, until they fit into
// no datagram.
#[test]
fn forgets_accounts_that_are_not_configured_any_more() {
    let mut limiter = Limiter::default();
    for number in 0..100 {
        let account =
            Account { name: format!("a{number}").into(), ..Account::clone(&account(100)) };
        limiter.set_accounts(Duration::from_secs(number), &[Arc::new(account)]);
    }

    let report = limiter.usage_report(Duration::from_secs(100), 1);

    assert_eq!(report.usage.len(), 1);
}

// Guards against usage that is not charged because an account's total starts from 0 again.
#[test]
fn charges_usage_of_an_account_that_is_configured_again() {
    let (mut limiter, account) = (Limiter::default(), account(1000));
    let now = Duration::from_secs(10);
    limiter.set_accounts(now, &[Arc::clone(&account)]);
    let usage = |admitted| Usage { account: account.name.clone(), admitted, level: 100 };
    let report = |usage| UsageReport {
        incarnation: 7,
        age: Duration::from_secs(5),
        usage,
        ..UsageReport::default()
    };
    limiter.record_report(now, address(2), &report(vec![usage(50)]));
    limiter.record_report(now, address(2), &report(Vec::new()));
    let before = limiter.usage_report(now, 1).usage[0].level;

    limiter.record_report(now, address(2), &report(vec![usage(30)]));

    assert_eq!(before - limiter.usage_report(now, 1).usage[0].level, 30);
}

// Guards against a datagram that stops the process: a peer that claims to have run for ever.
#[test]
fn survives_a_peer_of_endless_age() {
    let mut limiter = Limiter::default();
    let peer = SocketAddr::from(([10, 0, 0, 9], 7600));
    let report = UsageReport { incarnation: 1, age: Duration::MAX, ..UsageReport::default() };

    limiter.record_report(Duration::from_secs(1), peer, &report);
    let members = limiter.members(Duration::from_millis(1200));

    assert_eq!(members.heard, [(peer, Duration::MAX)]);
}

#[test]
fn ignores_reports_that_were_overtaken() {
    let seconds = Duration::from_secs;
    let account = account(30_000);
    let mut limiter = Limiter::default();
    limiter.set_accounts(Moment::ZERO, std::slice::from_ref(&account));
    let report = |incarnation, age, admitted| UsageReport {
        incarnation,
        age,
        usage: vec![Usage { account: account.name.clone(), admitted, level: 30_000 }],
        ..UsageReport::default()
    };

    let used = [
        limiter.record_report(seconds(10), address(1), &report(1, seconds(20), 5000)),
        limiter.record_report(seconds(10), address(1), &report(1, seconds(19), 4000)),
        limiter.record_report(seconds(11), address(1), &report(2, seconds(1), 0)),
        limiter.record_report(seconds(11), address(1), &report(1, seconds(20), 5000)),
        limiter.record_report(seconds(12), address(1), &report(2, seconds(2), 100)),
    ];

    assert_eq!(used, [true, false, true, false, true]);
}

// Guards against the usage of accounts before this instance's start that is charged to it, or usage after
// it that is not, since the report came in parts.
#[test]
fn charges_reports_in_parts_as_whole_ones() {
    let seconds = Duration::from_secs;
    let (first, second) = (account(30_000), account_named("second", 30_000));
    let accounts = [first.clone(), second.clone()];
    let mut limiter = Limiter::default();
    limiter.set_accounts(Moment::ZERO, &accounts);
    let parts = |age, admitted| {
        let usage = |account: &Account| {
            vec![Usage { account: account.name.clone(), admitted, level: 30_000 }]
        };
        let report = UsageReport { incarnation: 1, age, ..UsageReport::default() };
        report.split([usage(&first), usage(&second)])
    };

    for (now, age, admitted) in [(5, 60, 1_000_000), (6, 61, 1_002_000)] {
        for part in parts(seconds(age), admitted) {
            limiter.record_report(seconds(now), address(1), &part);
        }
    }

    let report = limiter.usage_report(seconds(6), 2);
    let levels: Vec<u64> = report.usage.iter().map(|usage| usage.level).collect();
    assert_eq!(levels, [28_000, 28_000]);
}

// Guards against callers that are rejected because all instances have just started: most of them retry
// once at most. The rate is there as soon as the instances hear each other, so a request that tries
// again gets it, and its attempts delay nobody's retry.
#[test]
fn admits_a_request_that_waits_until_the_instances_hear_each_other() {
    let account = account(240_000);
    let mut limiter = Limiter::default();
    for peer in 0..31 {
        limiter.add_peer(address(peer));
    }
    let at = |ms| Duration::from_millis(ms);
    let mut attempts = Vec::new();

    for ms in (20..1000).step_by(30) {
        if ms == 200 {
            for peer in 0..31 {
                let report = UsageReport {
                    incarnation: 1,
                    age: at(150),
                    parts: 1,
                    ..UsageReport::default()
                };
                limiter.record_report(at(ms), address(peer), &report);
            }
        }
        // Others have used up what a starting instance may give.
        let units = if ms == 20 { 9_000 } else { 2_500 };
        attempts.push(limiter.admit(at(ms), &account, units, at(1250)) == Admission::Granted);
    }

    assert!(attempts[0]);
    let admitted_at = attempts.iter().skip(1).position(|is_admitted| *is_admitted).unwrap();
    assert!(admitted_at * 30 < 250, "{admitted_at}");
    assert_eq!(limiter.admit(at(1000), &account, 2_500, Moment::ZERO), Admission::Granted);
}
