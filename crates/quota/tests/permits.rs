//! The weight store's budget over the fleet, shared by account.

use std::{sync::Arc, time::Duration};

use fleet::Name;
use quota::permit::{Budget, Decision, Limiter};

const BUDGET: Budget =
    Budget { rate: 3, burst: 4, in_flight: 8, permit_lifetime: Duration::from_secs(10) };

fn office() -> Limiter {
    Limiter::new(Duration::ZERO, BUDGET, BUDGET.burst)
}

fn account(name: &str) -> Name {
    Arc::from(name)
}

/// Permits of two accounts that both ask every 20 ms for a minute.
fn grants(rates: [u64; 2]) -> [u32; 2] {
    let mut office = office();
    let mut granted = [0; 2];
    for tick in 0..3000 {
        let now = Duration::from_millis(tick * 20);
        for (index, rate) in rates.into_iter().enumerate() {
            let name = account(["first", "second"][index]);
            if let Decision::Granted(permit) = office.acquire(now, &name, rate) {
                granted[index] += 1;
                office.release(permit);
            }
        }
    }
    granted
}

#[test]
fn the_rate_and_the_burst_are_kept() {
    let [first, second] = grants([100, 100]);

    assert!(first + second <= 4 + 3 * 60);
    assert!(3 * 60 - 3 <= first + second, "nothing is left unused");
}

#[test]
fn permits_are_shared_by_the_accounts_rates() {
    let [first, second] = grants([300, 100]);

    assert!(first.abs_diff(second * 3) <= 4, "{first} and {second}");
}

#[test]
fn an_account_that_does_not_ask_keeps_nobody_waiting() {
    let mut office = office();
    office.acquire(Duration::ZERO, &account("first"), 1);
    let asks = (0..3).map(|_| office.acquire(Duration::ZERO, &account("second"), 1));

    assert!(asks.into_iter().all(|answer| matches!(answer, Decision::Granted(_))));
}

#[test]
fn loads_in_flight_are_bounded_and_lost_permits_expire() {
    let budget = Budget { rate: 1000, burst: 1000, ..BUDGET };
    let mut office = Limiter::new(Duration::ZERO, budget, budget.burst);
    let mut ask = |at: Duration| office.acquire(at, &account("first"), 1);

    let first: Vec<_> = (0..9).map(|_| ask(Duration::ZERO)).collect();
    let after = ask(BUDGET.permit_lifetime);

    assert!(first[..8].iter().all(|answer| matches!(answer, Decision::Granted(_))));
    assert!(matches!(first[8], Decision::RetryAfter(_)));
    assert!(matches!(after, Decision::Granted(_)));
}
