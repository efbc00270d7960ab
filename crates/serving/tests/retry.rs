//! The budget of retries over all entry instances together, below the network.
//!
//! Answers the patterns "a server fails everything that it gets" and "instances
//! are killed while requests fail".

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
    /// When each instance started.
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

    fn kill(&mut self, instance: usize) {
        self.budgets[instance] = Budget::default();
        self.started[instance] = self.now;
    }

    /// One step in which every request fails as often as it is sent.
    fn step(&mut self, random: &mut Random, requests_per_s: f64) {
        self.now += STEP;
        let due = requests_per_s * STEP.as_secs_f64();
        if random.random_range(0.0..1.0) < due {
            let instance = random.random_range(0..INSTANCES);
            let age = self.now - self.started[instance];
            let budget = &mut self.budgets[instance];
            budget.record_request(age, &LIMITS);
            self.requests.push(self.now);
            while budget.try_acquire(age, &LIMITS, INSTANCES) {
                self.retries.push(self.now);
            }
        }
    }

    /// Whether some window holds more retries than its own requests allow.
    fn worst_window(&self) -> f64 {
        let within = |times: &[Moment], from: Moment| {
            times.iter().filter(|time| (from..from + LIMITS.window).contains(*time)).count() as f64
        };
        let shares = self.retries.iter().map(|from| {
            let allowed = within(&self.requests, *from) * LIMITS.ratio + LIMITS.slack;
            within(&self.retries, *from) / allowed
        });
        shares.fold(0.0, f64::max)
    }
}

#[test]
fn no_window_holds_more_repeats_while_everything_fails() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for _ in 0..4000 {
            fleet.step(random, 80.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_repeats_when_all_instances_are_killed_at_once() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for step in 0..4000 {
            if step == 1500 {
                (0..INSTANCES).for_each(|instance| fleet.kill(instance));
            }
            fleet.step(random, 80.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn no_window_holds_more_repeats_when_instances_are_killed_in_turn() {
    seeds::run(10, |random| {
        let mut fleet = Fleet::new();

        for step in 0..4000 {
            if step % 250 == 0 {
                fleet.kill(step / 250 % INSTANCES);
            }
            fleet.step(random, 80.0);
        }

        assert!(fleet.worst_window() <= 1.0, "{}", fleet.worst_window());
    });
}

#[test]
fn a_quiet_service_may_still_repeat_a_few() {
    let mut budget = Budget::default();
    budget.record_request(Duration::ZERO, &LIMITS);

    let retries =
        (0..).take_while(|_| budget.try_acquire(Duration::ZERO, &LIMITS, INSTANCES)).count();

    assert!(4 <= retries, "{retries}");
}
