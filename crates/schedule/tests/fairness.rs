//! The queue under an account that floods it, beside the first-come baseline.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use inventory::iter;

use fleet::{change::Urgency, lease::Moment};
use schedule::{
    discipline::Discipline,
    queue::{Fit, Item, Queue},
    retry::Budget,
};

const PATIENCE: Duration = Duration::from_secs(60);

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
        deadline: arrived + PATIENCE,
        work: (),
    }
}

/// Serves 10 requests a second. Two accounts send 2 a second each; a third one
/// sends `flood` a second. Returns each account's highest wait.
fn highest_waits(name: &str, flood: u64) -> BTreeMap<String, Duration> {
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
            && let Some(served) = queue.pop(now, |_| Fit::Ready)
        {
            let wait = waits.entry(served.account.to_string()).or_default();
            *wait = (*wait).max(now - served.arrived);
        }
    }
    waits
}

#[test]
fn a_flood_does_not_move_the_others() {
    let calm = highest_waits("fair", 4);
    let flooded = highest_waits("fair", 20);

    for account in ["a", "b"] {
        // One request that is being served, and one of each other account.
        let bound = calm[account] + Duration::from_millis(300);
        assert!(flooded[account] <= bound, "{account}: {:?}", flooded[account]);
    }
}

#[test]
fn first_come_lets_a_flood_through() {
    let flooded = highest_waits("fifo", 20);

    assert!(Duration::from_secs(5) < flooded["a"]);
}

#[test]
fn requests_of_a_loaded_adapter_overtake_a_bounded_number_of_times() {
    let fair = discipline("fair");
    let mut queue = Queue::new(fair, 100);
    queue.push(item("a", "cold", 1, Duration::ZERO)).expect("there is room");
    for _ in 0..20 {
        queue.push(item("a", "warm", 1, Duration::ZERO)).expect("there is room");
    }

    let fit = |item: &Item<()>| if &*item.group == "warm" { Fit::Ready } else { Fit::Loadable };
    let groups: Vec<_> = (0..20).filter_map(|_| queue.pop(Duration::ZERO, fit)).collect();
    let position = groups.iter().position(|item| &*item.group == "cold");

    assert_eq!(position, Some(fair.max_overtakes as usize));
}

#[test]
fn interactive_requests_go_before_batch_ones_for_a_while() {
    let mut queue = Queue::new(discipline("fair"), 100);
    let batch = Item { urgency: Urgency::Batch, ..item("a", "a", 1, Duration::ZERO) };
    queue.push(batch.clone()).expect("there is room");
    queue.push(item("b", "b", 1, Duration::ZERO)).expect("there is room");

    let first = queue.pop(Duration::ZERO, |_| Fit::Ready).expect("two wait");
    queue.push(item("b", "b", 1, Duration::ZERO)).expect("there is room");
    let after_patience = queue.pop(Duration::from_secs(10), |_| Fit::Ready).expect("two wait");

    assert_eq!(&*first.account, "b");
    assert_eq!(&*after_patience.account, "a");
}

#[test]
fn what_cannot_make_it_comes_out_at_its_deadline() {
    let mut queue = Queue::new(discipline("fair"), 100);
    queue.push(item("a", "a", 1, Duration::ZERO)).expect("there is room");

    assert!(queue.take_expired(PATIENCE - Duration::from_millis(1)).is_empty());
    assert_eq!(queue.take_expired(PATIENCE).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_full_queue_takes_no_more() {
    let mut queue = Queue::new(discipline("fair"), 1);
    queue.push(item("a", "a", 1, Duration::ZERO)).expect("there is room");

    assert!(queue.push(item("a", "a", 1, Duration::ZERO)).is_err());
    assert_eq!(queue.len(), 1);
}

#[test]
fn retries_stay_under_a_fifth_of_the_requests() {
    let mut budget = Budget::new(10);
    let requests = 1000;
    let mut tries = 0;
    for _ in 0..requests {
        budget.record_first_attempt();
        tries += 1;
        // Every server fails, and every request would be tried four times.
        tries += (0..3).take_while(|_| budget.try_spend()).count();
    }

    assert!(tries * 10 <= requests * 12, "{tries} tries");
}
