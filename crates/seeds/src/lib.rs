//! Seeded trials for tests: many seeds a run, a failing one printed and
//! replayable.
//!
//! `CHIVELATCH_SEEDS=100000` runs that many, `CHIVELATCH_SEED=17` runs just one.

use std::{
    env,
    panic::{self, AssertUnwindSafe},
};

use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Random numbers of one trial.
pub type Random = Xoshiro256PlusPlus;

/// Runs `trial` for seeds 0 to `usual`, or as the environment says.
///
/// # Panics
///
/// When a trial does; its seed is printed first.
pub fn run(usual: u64, trial: impl Fn(&mut Random)) {
    if let Some(seed) = number("CHIVELATCH_SEED") {
        return trial(&mut Random::seed_from_u64(seed));
    }
    for seed in 0..number("CHIVELATCH_SEEDS").unwrap_or(usual) {
        let trial = AssertUnwindSafe(|| trial(&mut Random::seed_from_u64(seed)));
        if let Err(panic) = panic::catch_unwind(trial) {
            eprintln!("failed with seed {seed}; replay with CHIVELATCH_SEED={seed}");
            panic::resume_unwind(panic);
        }
    }
}

/// First seed, below `limit`, for which `trial` returns true.
pub fn find(limit: u64, trial: impl Fn(&mut Random) -> bool) -> Option<u64> {
    (0..limit).find(|seed| trial(&mut Random::seed_from_u64(*seed)))
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
