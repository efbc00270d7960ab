//! Rules for rejecting a request before it is sent, and for the time after which
//! the caller should retry.
//!
//! A request is rejected only if it is not expected to get its first event in
//! time. Less urgent requests are rejected earlier, so that a burst affects the
//! urgent ones least.

use std::time::Duration;

use crate::{Moment, manifest::Route};

/// Shortest time after which a rejected caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time that callers are assumed to wait for the first event.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_secs(2);
/// Share of a caller's time budget that the expected time to the first event may use.
const TIME_BUDGET_SHARE: f64 = 0.75;

/// Time after its start in which an instance expects to receive its configuration and the
/// backend servers.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Share of a caller's time budget for which a request may wait at a starting instance.
const STARTUP_BUDGET_SHARE: f64 = 0.25;

/// Returns how long a request waits at an instance of this age that cannot serve yet. Most
/// callers retry only once, so a rejection during the startup would often be final.
pub fn startup_wait(age: Moment, time_budget: Duration) -> Duration {
    STARTUP_PERIOD.saturating_sub(age).min(time_budget.mul_f64(STARTUP_BUDGET_SHARE))
}

/// Returns the longest expected time to the first event with which a request of this urgency is
/// accepted.
pub fn first_event_limit(route: &Route, urgency: u8, remaining: Duration) -> Duration {
    let objective = route.objective;
    let time_budget = first_event_budget(route, remaining);
    match urgency {
        0 => time_budget,
        1 => time_budget.min(objective * 2),
        _ => time_budget.min(objective.mul_f64(1.3)),
    }
}

/// Returns the time for which callers of a route wait for the first event, less a margin.
pub fn first_event_budget(route: &Route, remaining: Duration) -> Duration {
    let pause = route.pause.unwrap_or_default();
    MIN_FIRST_EVENT_WAIT
        .max(route.objective * 4)
        .max(pause * 8)
        .min(remaining)
        .mul_f64(TIME_BUDGET_SHARE)
}

/// Returns the time after which a request should be retried that was rejected because its expected
/// time to the first event, `expected`, is above `limit`. By then, the expected time should have
/// fallen to half of the limit.
pub fn retry_after(expected: Duration, limit: Duration) -> Duration {
    expected.saturating_sub(limit.mul_f64(0.5)).max(MIN_RETRY_AFTER)
}
