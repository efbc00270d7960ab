//! Retry budget over a simulated fleet of entry instances.
//!
//! Guards against more retries than the limits allow, summed over all instances:
//! while a server fails all requests, and when instances lose their budgets in a
//! crash at the same time.

use std::time::Duration;

use rand::RngExt as _;

use seeds::Random;
use serving::{
    Moment,
    retry::{Budget, Limits},
};

const INSTANCES: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const LIMITS: Limits = Limits { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };

struct Fleet {
    budgets: Vec<Budget>,
    /// Start of each instance.
    started: Vec<Moment>,
    now: Moment,
    requests: Vec<Moment>,
    retries: Vec<Moment>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            budgets: vec![Budget::default(); INSTANCES],
            started: vec![Moment::ZERO; INSTANCES],
            now: Moment::ZERO,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn restart(&mut self, instance: usize) {
        self.budgets[instance] = Budget::default();
        self.started[instance] = self.now;
    }

    /// Advances by one step, in which every attempt of a request fails.
    fn step(&mut self, random: &mut Random, requests_per_s: f64) {
        self.now += STEP;
        let probability = requests_per_s * STEP.as_secs_f64();
        if random.random_range(0.0..1.0) < probability {
            let instance = random.random_range(0..INSTANCES);
            let age = self.now - self.started[instance];
            let budget = &mut self.budgets[instance];
            budget.record_first_attempt(age, &LIMITS);
            self.requests.push(self.now);
            while budget.try_spend(age, &LIMITS, INSTANCES) {
                self.retries.push(self.now);
            }
        }
    }

    /// Returns the largest number of retries in any window as a multiple of the allowed number.
    fn peak_usage(&self) -> f64 {
        let within = |times: &[Moment], from: Moment| {
            times.iter().filter(|time| (from..from + LIMITS.window).contains(*time)).count() as f64
        };
        let ratios = self.retries.iter().map(|from| {
            let allowed = within(&self.requests, *from) * LIMITS.ratio + LIMITS.slack;
            within(&self.retries, *from) / allowed
        });
        ratios.fold(0.0, f64::max)
    }
}

#[test]
fn stays_within_the_limits_while_all_requests_fail() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for _ in 0..4000 {
            fleet.step(random, 80.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn stays_within_the_limits_when_all_instances_are_killed_at_once() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for step in 0..4000 {
            if step == 1500 {
                (0..INSTANCES).for_each(|instance| fleet.restart(instance));
            }
            fleet.step(random, 80.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn stays_within_the_limits_when_instances_are_killed_in_turn() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for step in 0..4000 {
            if step % 250 == 0 {
                fleet.restart(step / 250 % INSTANCES);
            }
            fleet.step(random, 80.0);
        }

        assert!(fleet.peak_usage() <= 1.0, "{}", fleet.peak_usage());
    });
}

#[test]
fn allows_a_few_retries_for_a_service_with_few_requests() {
    let mut budget = Budget::default();
    budget.record_first_attempt(Duration::ZERO, &LIMITS);

    let retries =
        (0..).take_while(|_| budget.try_spend(Duration::ZERO, &LIMITS, INSTANCES)).count();

    assert!(4 <= retries, "{retries}");
}
