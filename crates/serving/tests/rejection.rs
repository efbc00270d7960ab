//! Wait of requests at a starting instance.
//!
//! Guards against rejecting requests right after a power failure: all callers
//! retry at once, while the instances have not received their configuration yet.

use std::time::Duration;

use serving::rejection;

const TIME_BUDGET: Duration = Duration::from_secs(4);

#[test]
fn lets_requests_wait_while_the_instance_starts() {
    let wait = rejection::startup_wait(Duration::from_millis(100), TIME_BUDGET);

    assert_eq!(wait, Duration::from_secs(1));
}

#[test]
fn uses_only_part_of_a_short_time_budget() {
    let wait = rejection::startup_wait(Duration::ZERO, Duration::from_millis(400));

    assert_eq!(wait, Duration::from_millis(100));
}

#[test]
fn rejects_at_once_after_the_startup_period() {
    let wait = rejection::startup_wait(Duration::from_secs(60), TIME_BUDGET);

    assert_eq!(wait, Duration::ZERO);
}
