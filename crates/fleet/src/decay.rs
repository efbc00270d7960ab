//! Exponential forgetting, by half-life.

use std::time::Duration;

use crate::lease::Moment;

/// Part of what was counted at `since` that still counts at `now`; all of it if that lies ahead.
pub fn remaining(since: Moment, now: Moment, half_life: Duration) -> f64 {
    let age = now.saturating_sub(since);
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
