//! When a request is refused before it is sent, and when its caller should come
//! back.
//!
//! A refusal is right only if waiting cannot end in time: less urgent requests
//! give way earlier, so that a burst costs the urgent ones least.

use std::time::Duration;

use crate::{Moment, manifest::Route};

/// Shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time that callers wait for an event.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Share of a caller's patience that may be used up by an expectation.
const PATIENCE_SHARE: f64 = 0.75;

/// Time after its start in which an instance expects to hear its configuration and the servers.
const START_SPAN: Duration = Duration::from_secs(3);
/// Share of a caller's patience that a starting instance may use up before it can decide.
const START_SHARE: f64 = 0.25;

/// Time for which a request waits at an instance of this age that cannot serve yet: most
/// callers come back once only, so a refusal during the start is often their last.
pub fn start_wait(age: Moment, patience: Duration) -> Duration {
    START_SPAN.saturating_sub(age).min(patience.mul_f64(START_SHARE))
}

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
