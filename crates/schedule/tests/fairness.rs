//! Checks the fair queue under a flood of one account, compared with first-come order, and its
//! limits and deadlines. Checks the retry budget.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use inventory::iter;

use fleet::{change::Urgency, lease::Moment};
use schedule::{
    discipline::Discipline,
    queue::{Item, Queue, Readiness},
    retry::Budget,
};

const TIMEOUT: Duration = Duration::from_secs(60);

fn discipline(name: &str) -> &'static Discipline {
    let mut known = iter::<Discipline>.into_iter();
    known.find(|discipline| discipline.name == name).expect("the discipline is linked in")
}

fn item(account: &str, group: &str, cost: u64, arrived: Moment) -> Item<()> {
    Item {
        account: Arc::from(account),
        group: Arc::from(group),
        cost,
        urgency: Urgency::Interactive,
        arrived,
        deadline: arrived + TIMEOUT,
        work: (),
    }
}

/// Simulates a server that runs 10 requests per second. Two accounts send 2 requests per second
/// each, a third one sends `flood`. Returns the longest wait of each account.
fn longest_waits(name: &str, flood: u64) -> BTreeMap<String, Duration> {
    let mut queue = Queue::new(discipline(name), 100_000);
    let mut waits: BTreeMap<String, Duration> = BTreeMap::new();
    for tick in 0..3000u64 {
        let now = Duration::from_millis(tick * 10);
        for (account, rate) in [("a", 2), ("b", 2), ("flood", flood)] {
            if (tick * rate) % 100 < rate {
                queue.push(item(account, account, 100, now)).expect("the limit is high");
            }
        }
        if tick % 10 == 0
            && let Some(served) = queue.pop(now, |_| Readiness::Ready)
        {
            let wait = waits.entry(served.account.to_string()).or_default();
            *wait = (*wait).max(now - served.arrived);
        }
    }
    waits
}

#[test]
fn flood_does_not_delay_other_accounts() {
    let baseline = longest_waits("fair", 4);
    let flooded = longest_waits("fair", 20);

    for account in ["a", "b"] {
        // Three service times of 100 ms: one request in progress and one of each other account.
        let bound = baseline[account] + Duration::from_millis(300);
        assert!(flooded[account] <= bound, "{account}: {:?}", flooded[account]);
    }
}

#[test]
fn fifo_lets_flood_delay_other_accounts() {
    let flooded = longest_waits("fifo", 20);

    assert!(Duration::from_secs(5) < flooded["a"]);
}

#[test]
fn limits_overtaking_by_requests_of_resident_adapter() {
    let fair = discipline("fair");
    let mut queue = Queue::new(fair, 100);
    queue.push(item("a", "cold", 1, Duration::ZERO)).expect("there is room");
    for _ in 0..20 {
        queue.push(item("a", "warm", 1, Duration::ZERO)).expect("there is room");
    }

    let readiness = |item: &Item<()>| {
        if &*item.group == "warm" { Readiness::Ready } else { Readiness::Loadable }
    };
    let served: Vec<_> = (0..20).filter_map(|_| queue.pop(Duration::ZERO, readiness)).collect();
    let position = served.iter().position(|item| &*item.group == "cold");

    assert_eq!(position, Some(fair.max_overtakes as usize));
}

#[test]
fn serves_interactive_before_batch_until_batch_is_promoted() {
    let mut queue = Queue::new(discipline("fair"), 100);
    let batch = Item { urgency: Urgency::Batch, ..item("a", "a", 1, Duration::ZERO) };
    queue.push(batch.clone()).expect("there is room");
    queue.push(item("b", "b", 1, Duration::ZERO)).expect("there is room");

    let first = queue.pop(Duration::ZERO, |_| Readiness::Ready).expect("two requests are queued");
    queue.push(item("b", "b", 1, Duration::ZERO)).expect("there is room");
    let after_promotion =
        queue.pop(Duration::from_secs(10), |_| Readiness::Ready).expect("two requests are queued");

    assert_eq!(&*first.account, "b");
    assert_eq!(&*after_promotion.account, "a");
}

#[test]
fn returns_expired_requests_at_deadline() {
    let mut queue = Queue::new(discipline("fair"), 100);
    queue.push(item("a", "a", 1, Duration::ZERO)).expect("there is room");

    assert!(queue.take_expired(TIMEOUT - Duration::from_millis(1)).is_empty());
    assert_eq!(queue.take_expired(TIMEOUT).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn rejects_request_when_full() {
    let mut queue = Queue::new(discipline("fair"), 1);
    queue.push(item("a", "a", 1, Duration::ZERO)).expect("there is room");

    assert!(queue.push(item("a", "a", 1, Duration::ZERO)).is_err());
    assert_eq!(queue.len(), 1);
}

#[test]
fn limits_retries_to_a_fifth_of_requests() {
    let mut budget = Budget::new(10);
    let requests = 1000;
    let mut attempts = 0;
    for _ in 0..requests {
        budget.record_first_attempt();
        attempts += 1;
        // Every attempt fails, and each request is attempted up to four times.
        attempts += (0..3).take_while(|_| budget.try_spend()).count();
    }

    assert!(attempts * 10 <= requests * 12, "{attempts} attempts");
}
