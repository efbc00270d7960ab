//! When requests are refused, and for how long they wait before.
//!
//! Answers the pattern "everything loses power, and callers come back at once".

use std::time::Duration;

use serving::rejection;

const TIME_BUDGET: Duration = Duration::from_secs(4);

#[test]
fn a_request_waits_for_an_instance_that_just_started() {
    let wait = rejection::startup_wait(Duration::from_millis(100), TIME_BUDGET);

    assert_eq!(wait, Duration::from_secs(1));
}

#[test]
fn an_impatient_caller_is_not_kept_waiting() {
    let wait = rejection::startup_wait(Duration::ZERO, Duration::from_millis(400));

    assert_eq!(wait, Duration::from_millis(100));
}

#[test]
fn an_instance_that_cannot_serve_long_after_its_start_refuses_at_once() {
    let wait = rejection::startup_wait(Duration::from_secs(60), TIME_BUDGET);

    assert_eq!(wait, Duration::ZERO);
}
