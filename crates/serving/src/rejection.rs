//! When a request is refused before it is sent, and when its caller should come
//! back.
//!
//! A refusal is right only if waiting cannot end in time: less urgent requests
//! give way earlier, so that a burst costs the urgent ones least.

use std::time::Duration;

use crate::manifest::Route;

/// Shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time that callers wait for an event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Share of a caller's patience that may be used up by an expectation.
const PATIENCE_SHARE: f64 = 0.75;

/// Longest time to the first event that is worth waiting for.
pub fn limit(route: &Route, urgency: u8, left: Duration) -> Duration {
    let objective = route.objective;
    let patience = patience(route, left);
    match urgency {
        0 => patience,
        1 => patience.min(objective * 2),
        _ => patience.min(objective.mul_f64(1.3)),
    }
}

/// Longest time for which a caller waits for a first event, with a margin.
pub fn patience(route: &Route, left: Duration) -> Duration {
    let pause = route.pause.unwrap_or_default();
    MIN_PATIENCE.max(route.objective * 4).max(pause * 8).min(left).mul_f64(PATIENCE_SHARE)
}

/// When a caller should come back whose request would take `expected`.
pub fn retry_after(expected: Duration, limit: Duration) -> Duration {
    expected.saturating_sub(limit.mul_f64(0.5)).max(MIN_RETRY_AFTER)
}
