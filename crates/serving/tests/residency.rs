//! Orders to a model engine.
//!
//! Guards against evicting adapters in use when many rarely used adapters are
//! requested at once, against exceeding the adapter slots when the engine does not
//! respond to orders, and against an engine that stays empty after a power failure
//! during an outage of the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt as _;

use serving::{
    adapter::{self, Adapter},
    limit::Rate,
    residency::{EngineState, Order, Planner, Report},
};

const ADAPTER_SLOTS: usize = 6;

/// Returns an adapter of the model `base`, unless its model stands before it: `MODEL/NAME`.
fn adapter(name: &str) -> Adapter {
    let (model, name) = name.split_once('/').unwrap_or(("base", name));
    Adapter::new(model, name)
}

fn adapter_version(name: &str, number: u64) -> adapter::Version {
    adapter::Version { adapter: adapter(name), number }
}

fn engine_with(adapters: &[&str]) -> EngineState {
    EngineState {
        models: vec![Arc::from("base")],
        adapters: adapters.iter().map(|adapter| adapter_version(adapter, 1)).collect(),
        ..EngineState::default()
    }
}

fn report(requested: &[&str], in_flight: &[&str]) -> Report {
    Report {
        model: Some(Arc::from("base")),
        adapter_slots: ADAPTER_SLOTS,
        in_flight: in_flight.iter().map(|name| (adapter(name), 1)).collect(),
        used: Vec::new(),
        load_requests: requested.iter().map(|adapter| adapter_version(adapter, 1)).collect(),
    }
}

fn entry(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7600))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(adapter: &str) -> Option<Order> {
    Some(Order::Load(self::adapter(adapter)))
}

#[test]
fn loads_the_base_model_first() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a1"], &[]));

    let order = planner.next_order(millis(1), &EngineState::default());

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn loads_the_only_local_model_before_any_report() {
    let mut planner = Planner::default();
    let engine = EngineState { local_models: vec![Arc::from("base")], ..EngineState::default() };

    let order = planner.next_order(millis(1), &engine);

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn loads_no_model_if_several_are_local_and_none_is_reported() {
    let mut planner = Planner::default();
    let engine = EngineState {
        local_models: vec![Arc::from("base"), Arc::from("other")],
        ..EngineState::default()
    };

    assert_eq!(planner.next_order(millis(1), &engine), None);
}

#[test]
fn prefers_the_reported_model_over_a_local_one() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&[], &[]));
    let engine = EngineState { local_models: vec![Arc::from("other")], ..EngineState::default() };

    let order = planner.next_order(millis(1), &engine);

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn loads_a_requested_adapter_into_a_free_slot() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    let order = planner.next_order(millis(1), &engine_with(&["a1", "a2"]));

    assert_eq!(order, load("a7"));
}

#[test]
fn does_not_evict_an_adapter_in_use_at_any_entry() {
    let mut planner = Planner::default();
    let resident = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&["a7"], &["a1", "a2", "a3"]));
    planner.record_report(millis(0), entry(2), report(&[], &["a4", "a6"]));

    let order = planner.next_order(millis(500), &engine_with(&resident));

    assert_eq!(order, Some(Order::Unload(adapter("a5"))));
}

#[test]
fn evicts_nothing_while_all_adapters_are_in_use() {
    let mut planner = Planner::default();
    let resident = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&["a7"], &resident));

    assert_eq!(planner.next_order(millis(500), &engine_with(&resident)), None);
}

#[test]
fn counts_slots_of_unused_adapters_as_free() {
    let mut planner = Planner::default();
    let resident = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&[], &["a1", "a2", "a3", "a4"]));
    let later = millis(500);

    assert_eq!(planner.slot_usage(later, &engine_with(&resident)).free, 2);
    assert_eq!(planner.slot_usage(later, &engine_with(&resident[..5])).free, 2);
    planner.record_report(later, entry(2), report(&[], &["a5", "a6"]));
    assert_eq!(planner.slot_usage(later, &engine_with(&resident)).free, 0);
}

#[test]
fn counts_requested_adapters_that_are_neither_resident_nor_pending_as_waiting() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a1", "a2", "a3", "a4"], &["a5"]));
    let engine =
        EngineState { pending: vec![adapter_version("a2", 1)], ..engine_with(&["a1", "a5"]) };

    let slots = planner.slot_usage(millis(10), &engine);

    assert_eq!(slots.waiting, 2, "a3 and a4");
    assert_eq!((slots.free, slots.queue_depth(), slots.remaining_queue_depth()), (3, 0, 0));
}

#[test]
fn loads_a_newer_version_into_the_slot_of_the_older_one() {
    let mut planner = Planner::default();
    let resident = ["a1", "a2", "a3", "a4", "a5", "a6"];
    let mut newer = report(&[], &resident);
    newer.load_requests = vec![adapter_version("a3", 2)];
    planner.record_report(millis(0), entry(1), newer);

    assert_eq!(planner.next_order(millis(1), &engine_with(&resident)), load("a3"));
}

#[test]
fn delays_the_next_order_after_an_unanswered_one() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    planner.record_unanswered_order(millis(0));

    assert_eq!(planner.next_order(millis(100), &engine_with(&[])), None);
    assert_eq!(planner.next_order(millis(400), &engine_with(&[])), load("a7"));
}

#[test]
fn drops_a_load_request_that_is_not_renewed() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    assert_eq!(planner.next_order(millis(2000), &engine_with(&[])), None);
}

#[test]
fn never_exceeds_the_slots_or_evicts_an_adapter_in_use() {
    seeds::run(200, |random| {
        let mut planner = Planner::default();
        let models = vec![Arc::from("base"), Arc::from("second")];
        let mut engine = EngineState { models, ..EngineState::default() };
        for step in 0..400 {
            let now = millis(step * 20);
            let name =
                |number: usize| format!("{}/a{}", ["base", "second"][number % 2], number / 2);
            let names: Vec<String> = (0..20).map(name).collect();
            let draw = |random: &mut seeds::Random| &*names[random.random_range(0..20)];
            let requested = [draw(random), draw(random)];
            let used = engine.adapters.first().map(|resident| resident.adapter.to_string());
            let used: Vec<&str> = used.iter().map(String::as_str).collect();
            planner.record_report(now, entry(random.random_range(1..4)), report(&requested, &used));
            planner.record_engine_state(&engine);

            match planner.next_order(now, &engine) {
                Some(Order::Load(adapter)) => {
                    engine.pending.push(adapter::Version { adapter, number: 1 });
                }
                Some(Order::Unload(adapter)) => {
                    assert!(
                        !used.contains(&&*adapter.to_string()),
                        "an adapter in use was evicted"
                    );
                    engine.adapters.retain(|resident| resident.adapter != adapter);
                }
                Some(Order::LoadModel { .. }) | None => {}
            }
            if random.random_bool(0.5) {
                engine.adapters.append(&mut engine.pending);
            }
            assert!(engine.adapters.len() + engine.pending.len() <= ADAPTER_SLOTS);
        }
    });
}

#[test]
fn clears_recent_adapters_when_the_engine_restarts() {
    let mut planner = Planner::default();
    planner.record_engine_state(&engine_with(&["a1", "a2"]));
    planner.record_engine_state(&engine_with(&["a3"]));
    let before = planner.recent_adapters().len();

    planner.record_engine_state(&EngineState { born_ms: 7, ..engine_with(&["a4"]) });

    assert_eq!((before, planner.recent_adapters()), (3, &[adapter_version("a4", 1)][..]));
}

// Guards against orders that go around the limit that an engine names for all requests.
#[test]
fn sends_few_orders_to_an_engine_that_names_a_limit() {
    let named = EngineState { limit: Rate::new(1.0), ..engine_with(&[]) };
    for (engine, reported) in [(named, None), (engine_with(&[]), Rate::new(1.0))] {
        let mut planner = Planner::default();
        let mut orders = 0;
        for step in 0..1000 {
            let now = millis(step * 10);
            planner.record_report(now, entry(1), report(&["a1"], &[]));
            if let Some(rate) = reported {
                planner.record_limit(now, rate);
            }
            orders += usize::from(planner.next_order(now, &engine).is_some());
        }

        // A burst of two, and 0.1 a second for 10 s.
        assert!((2..=3).contains(&orders), "{orders}");
    }
}

// Guards against adapters that are loaded on an engine that gets no more requests for them.
#[test]
fn sends_no_order_to_an_engine_that_leaves() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a1"], &[]));
    let staying = engine_with(&[]);
    let leaving = EngineState { is_leaving: true, ..engine_with(&[]) };

    assert_eq!(planner.next_order(millis(1), &leaving), None);
    assert!(planner.next_order(millis(1), &staying).is_some());
}

/// Guards against queues of loads that nobody waits for any more: right after a start of all instances,
/// each request moves on from engine to engine while the queues of all of them grow.
#[test]
fn counts_no_withdrawn_load_requests_of_a_herd() {
    let mut planner = Planner::default();
    let engine = engine_with(&["r1", "r2", "r3", "r4", "r5", "r6"]);
    let names: Vec<String> = (0..32).map(|number| format!("a{number}")).collect();
    for (index, name) in (0..).zip(&names) {
        planner.record_report(millis(0), entry(index), report(&[name], &[]));
    }

    // All but one instance have moved on.
    for index in 1..32 {
        planner.record_report(millis(20), entry(index), report(&[], &[]));
    }

    assert_eq!(planner.slot_usage(millis(21), &engine).waiting, 1);
}

#[test]
fn keeps_a_load_request_that_another_instance_repeats() {
    let mut planner = Planner::default();
    let engine = engine_with(&[]);
    planner.record_report(millis(0), entry(1), report(&["a1"], &[]));
    planner.record_report(millis(0), entry(2), report(&["a1"], &[]));

    planner.record_report(millis(20), entry(1), report(&[], &[]));

    assert_eq!(planner.next_order(millis(21), &engine), load("a1"));
}
