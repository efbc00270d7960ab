//! A client account over all entry instances together, below the network.
//!
//! Answers the patterns "one account sends many times its rate", "all instances
//! are killed at once" and "an instance is cut off from its peers".

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt as _;

use seeds::Random;
use serving::{
    Moment,
    manifest::Account,
    rate_limit::{Limiter, UsageReport},
};

/// Time between statements of an instance.
const GOSSIP: Duration = Duration::from_millis(150);
const STEP: Duration = Duration::from_millis(10);
/// The users' window, excess and slack for a rate counted in tokens.
const WINDOW: Duration = Duration::from_secs(8);
const EXCESS: f64 = 1.1;
const SLACK: f64 = 17_000.0;

struct Instance {
    limiter: Limiter,
    incarnation: u64,
    started: Moment,
    is_cut: bool,
    /// Until then nobody hears it and it hears nobody.
    deaf_until: Moment,
}

struct Fleet {
    instances: Vec<Instance>,
    account: Arc<Account>,
    now: Moment,
    /// Statements on their way: arrival, sender, statement.
    wire: VecDeque<(Moment, usize, UsageReport)>,
    admitted: Vec<(Moment, u64)>,
    refused: u64,
    /// Tokens that are asked for and not yet in a request.
    asked: f64,
}

fn account(rate: u64) -> Arc<Account> {
    Arc::new(Account {
        name: Arc::from("council"),
        rate,
        burst: rate,
        counts_tokens: true,
        ..Account::default()
    })
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7600))
}

impl Instance {
    fn hears(&self, now: Moment) -> bool {
        !self.is_cut && self.deaf_until <= now
    }
}

impl Fleet {
    fn new(instances: usize, rate: u64) -> Fleet {
        let instance = |incarnation| Instance {
            limiter: Limiter::default(),
            incarnation,
            started: Moment::ZERO,
            is_cut: false,
            deaf_until: Moment::ZERO,
        };
        Fleet {
            instances: (1..=instances as u64).map(instance).collect(),
            account: account(rate),
            now: Moment::ZERO,
            wire: VecDeque::new(),
            admitted: Vec::new(),
            refused: 0,
            asked: 0.0,
        }
    }

    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.limiter = Limiter::default();
        instance.incarnation += 1000;
        instance.started = self.now;
    }

    /// One step, with requests at random instances at `tokens_per_s` in all.
    fn step(&mut self, random: &mut Random, tokens_per_s: f64) {
        self.now += STEP;
        self.exchange();
        self.asked += tokens_per_s * STEP.as_secs_f64() * random.random_range(0.0..2.0);
        while 0.0 < self.asked {
            let units = random.random_range(200..7000);
            self.asked -= units as f64;
            let index = random.random_range(0..self.instances.len());
            self.request(index, units);
        }
    }

    fn request(&mut self, index: usize, units: u64) {
        let instance = &mut self.instances[index];
        let age = self.now - instance.started;
        match instance.limiter.acquire(age, &self.account, units) {
            Ok(()) => self.admitted.push((self.now, units)),
            Err(_) => self.refused += 1,
        }
    }

    fn exchange(&mut self) {
        let count = self.instances.len();
        let is_due = self.now.as_millis().is_multiple_of(GOSSIP.as_millis());
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let age = self.now - instance.started;
            for peer in (0..count).filter(|peer| *peer != index) {
                instance.limiter.add_peer(address(peer));
            }
            instance.limiter.create_buckets(age, [&self.account]);
            if is_due && instance.hears(self.now) {
                let statement = instance.limiter.usage_report(age, instance.incarnation);
                self.wire.push_back((self.now + Duration::from_millis(3), index, statement));
            }
        }
        while self.wire.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, statement)) = self.wire.pop_front() else { break };
            for (index, instance) in self.instances.iter_mut().enumerate() {
                if index != from && instance.hears(self.now) {
                    let age = self.now - instance.started;
                    instance.limiter.record_report(age, address(from), &statement);
                }
            }
        }
    }

    /// The most that any window admitted, as a multiple of what the users allow.
    fn worst_window(&self) -> f64 {
        let rate = self.account.rate as f64;
        let allowed = (rate * WINDOW.as_secs_f64() + self.account.burst as f64) * EXCESS + SLACK;
        let mut worst: f64 = 0.0;
        for (index, (from, _)) in self.admitted.iter().enumerate() {
            let within = self.admitted[index..].iter().take_while(|(at, _)| *at < *from + WINDOW);
            let used: u64 = within.map(|(_, units)| units).sum();
            worst = worst.max(used as f64 / allowed);
        }
        worst
    }
}

#[test]
fn no_window_holds_more_than_the_rate_allows_while_an_account_floods() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for _ in 0..2500 {
            fleet.step(random, 200_000.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_when_all_instances_are_killed() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 43_516);

        for step in 0..2500 {
            // The burst is spent just before, and would be spent again just after.
            if step == 1000 {
                (0..4).for_each(|index| fleet.restart(index));
            }
            fleet.step(random, if step < 800 { 0.0 } else { 300_000.0 });
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_when_all_restart_in_the_middle_of_a_flood() {
    seeds::run(40, |random| {
        let mut fleet = Fleet::new(5, 32_631);

        for step in 0..2500 {
            // All are killed within 0.3 s and hear of each other only 1.5 s later.
            for index in 0..5 {
                if step == 1000 + 6 * index {
                    fleet.restart(index);
                    fleet.instances[index].deaf_until = fleet.now + Duration::from_millis(1500);
                }
            }
            fleet.step(random, if step < 600 { 10_000.0 } else { 250_000.0 });
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_when_instances_are_killed_in_turn() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for step in 0..3000 {
            if 800 < step && step % 300 == 0 {
                fleet.restart(step / 300 % 4);
            }
            fleet.step(random, 120_000.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_while_an_instance_is_cut_off() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for step in 0..3000 {
            fleet.instances[1].is_cut = (1000..1550).contains(&step);
            fleet.step(random, 120_000.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_while_each_instance_hears_nobody() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 60_000);

        for step in 0..3000 {
            let is_cut = (1000..2200).contains(&step);
            fleet.instances.iter_mut().for_each(|instance| instance.is_cut = is_cut);
            fleet.step(random, 240_000.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn nobody_within_its_rate_is_refused() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new(4, 60_000);
        // The buckets fill before traffic starts.
        for _ in 0..1000 {
            fleet.now += STEP;
            fleet.exchange();
        }

        for _ in 0..2500 {
            fleet.step(random, 30_000.0);
        }

        assert_eq!(fleet.refused, 0);
    });
}

#[test]
fn a_flooding_account_still_gets_its_rate() {
    seeds::run(5, |random| {
        let mut fleet = Fleet::new(4, 30_000);

        for _ in 0..2500 {
            fleet.step(random, 200_000.0);
        }

        let used: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
        let due = 30_000.0 * 25.0;
        assert!(0.9 * due <= used as f64, "{used} of {due}");
    });
}

#[test]
fn refused_requests_are_told_to_come_back_one_after_the_other() {
    let account = account(1000);
    let mut limiter = Limiter::default();
    let now = Duration::from_secs(10);
    limiter.create_buckets(now, [&account]);
    limiter.acquire(now, &account, 1000).unwrap();

    let waits: Vec<Duration> =
        (0..3).map(|_| limiter.acquire(now, &account, 1000).unwrap_err()).collect();

    assert!(waits.is_sorted());
    assert!(waits[0] + Duration::from_millis(900) <= waits[2]);
}
