//! Exponential decay by half-life.

use std::time::Duration;

use crate::lease::Moment;

/// Returns the fraction of a count from `since` that remains at `now`; 1 if `since` is in the
/// future.
pub fn remaining(since: Moment, now: Moment, half_life: Duration) -> f64 {
    let age = now.saturating_sub(since);
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
