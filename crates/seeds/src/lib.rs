//! Randomized tests with reproducible seeds: a test runs a trial for many seeds, and prints the
//! seed of a trial that fails.
//!
//! `CHIVELATCH_SEEDS=100000` sets the number of seeds. `CHIVELATCH_SEED=17` runs only that seed, to
//! reproduce a failure.

use std::{
    env,
    panic::{self, AssertUnwindSafe},
};

use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Random number generator of one trial.
pub type Random = Xoshiro256PlusPlus;

/// Runs `trial` for the seeds from 0 up to, but not including, `default_count`, unless
/// `CHIVELATCH_SEEDS` or `CHIVELATCH_SEED` is set.
///
/// # Panics
///
/// Panics if a trial panics. Its seed is printed first, unless `CHIVELATCH_SEED` sets it.
pub fn run(default_count: u64, trial: impl Fn(&mut Random)) {
    if let Some(seed) = env_number("CHIVELATCH_SEED") {
        return trial(&mut Random::seed_from_u64(seed));
    }
    for seed in 0..env_number("CHIVELATCH_SEEDS").unwrap_or(default_count) {
        let trial = AssertUnwindSafe(|| trial(&mut Random::seed_from_u64(seed)));
        if let Err(panic) = panic::catch_unwind(trial) {
            eprintln!("trial failed with seed {seed}; rerun it with CHIVELATCH_SEED={seed}");
            panic::resume_unwind(panic);
        }
    }
}

/// Returns the first seed below `limit` for which `trial` returns true.
pub fn find(limit: u64, trial: impl Fn(&mut Random) -> bool) -> Option<u64> {
    (0..limit).find(|seed| trial(&mut Random::seed_from_u64(*seed)))
}

/// Returns the value of an environment variable, or `None` if it is not set or not a number.
fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
