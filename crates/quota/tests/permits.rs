//! Load permits: limits on rate, burst and loads in flight, and the division among accounts.

use std::{sync::Arc, time::Duration};

use fleet::Name;
use quota::permit::{Budget, Decision, Limiter};

const BUDGET: Budget =
    Budget { rate: 3, burst: 4, in_flight: 8, permit_lifetime: Duration::from_secs(10) };

fn limiter() -> Limiter {
    Limiter::new(Duration::ZERO, BUDGET, BUDGET.burst, 1)
}

fn account(name: &str) -> Name {
    Arc::from(name)
}

/// Returns the permits granted to two accounts that both request one every 20 ms for a minute.
fn grants(rates: [u64; 2]) -> [u32; 2] {
    let mut limiter = limiter();
    let mut granted = [0; 2];
    for tick in 0..3000 {
        let now = Duration::from_millis(tick * 20);
        for (index, rate) in rates.into_iter().enumerate() {
            let name = account(["first", "second"][index]);
            if let Decision::Granted(permit) = limiter.acquire(now, &name, rate) {
                granted[index] += 1;
                limiter.release(permit);
            }
        }
    }
    granted
}

#[test]
fn keeps_rate_and_burst() {
    let [first, second] = grants([100, 100]);

    assert!(first + second <= 4 + 3 * 60);
    assert!(3 * 60 - 3 <= first + second, "the whole rate is used");
}

#[test]
fn divides_permits_by_account_rate() {
    let [first, second] = grants([300, 100]);

    assert!(first.abs_diff(second * 3) <= 4, "{first} and {second}");
}

#[test]
fn idle_account_does_not_delay_others() {
    let mut limiter = limiter();
    limiter.acquire(Duration::ZERO, &account("first"), 1);
    let decisions = (0..3).map(|_| limiter.acquire(Duration::ZERO, &account("second"), 1));

    assert!(decisions.into_iter().all(|decision| matches!(decision, Decision::Granted(_))));
}

// Guards against accounts that ask again without a pause, just before a permit expires.
#[test]
fn retry_delay_has_a_lower_bound_while_all_permits_are_in_flight() {
    let budget = Budget { in_flight: 1, ..BUDGET };
    let mut limiter = Limiter::new(Duration::ZERO, budget, budget.burst, 1);
    limiter.acquire(Duration::ZERO, &account("first"), 1);
    let almost_expired = BUDGET.permit_lifetime - Duration::from_millis(1);

    let decision = limiter.acquire(almost_expired, &account("second"), 1);

    let Decision::RetryAfter(delay) = decision else { panic!("granted beyond the budget") };
    assert!(Duration::from_millis(20) <= delay, "{delay:?}");
}

#[test]
fn limits_loads_in_flight_and_expires_lost_permits() {
    let budget = Budget { rate: 1000, burst: 1000, ..BUDGET };
    let mut limiter = Limiter::new(Duration::ZERO, budget, budget.burst, 1);
    let mut acquire = |at: Duration| limiter.acquire(at, &account("first"), 1);

    let first: Vec<_> = (0..9).map(|_| acquire(Duration::ZERO)).collect();
    let after_expiry = acquire(BUDGET.permit_lifetime);

    assert!(first[..8].iter().all(|decision| matches!(decision, Decision::Granted(_))));
    assert!(matches!(first[8], Decision::RetryAfter(_)));
    assert!(matches!(after_expiry, Decision::Granted(_)));
}

// Guards against more loads in flight than allowed: the late release of a permit of the last holder
// ends a permit of the present one.
#[test]
fn late_release_of_an_earlier_lease_ends_no_permit() {
    let budget = Budget { in_flight: 1, ..BUDGET };
    let now = Duration::ZERO;
    let mut earlier = Limiter::new(now, budget, budget.burst, 7);
    let mut present = Limiter::new(now, budget, budget.burst, 8);
    let Decision::Granted(late) = earlier.acquire(now, &account("first"), 1) else {
        panic!("a permit is free");
    };
    let granted = present.acquire(now, &account("first"), 1);

    present.release(late);
    let second = present.acquire(now, &account("second"), 1);

    assert!(matches!(granted, Decision::Granted(_)));
    assert!(matches!(second, Decision::RetryAfter(_)), "{second:?}");
}
