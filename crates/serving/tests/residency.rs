//! What a model engine is ordered to hold.
//!
//! Answers the patterns "rare adapters are asked for at once", "the engine leaves
//! orders unanswered" and "everything loses power while the store is away".

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::RngExt as _;

use serving::{
    Name,
    residency::{AdapterVersion, EngineState, Order, Planner, Report},
};

const ADAPTER_SLOTS: usize = 6;

fn resident(adapter: &str, version: u64) -> AdapterVersion {
    AdapterVersion { model: Arc::from("base"), adapter: Arc::from(adapter), version }
}

fn holding(adapters: &[&str]) -> EngineState {
    EngineState {
        models: vec![Arc::from("base")],
        adapters: adapters.iter().map(|adapter| resident(adapter, 1)).collect(),
        ..EngineState::default()
    }
}

fn report(wants: &[&str], in_flight: &[&str]) -> Report {
    Report {
        model: Some(Arc::from("base")),
        adapter_slots: ADAPTER_SLOTS,
        in_flight: in_flight.iter().map(|adapter| (Name::from(*adapter), 1)).collect(),
        used: Vec::new(),
        load_requests: wants.iter().map(|adapter| resident(adapter, 1)).collect(),
    }
}

fn entry(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7600))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(adapter: &str) -> Option<Order> {
    Some(Order::Load { model: Arc::from("base"), adapter: Arc::from(adapter) })
}

#[test]
fn an_engine_without_its_model_loads_it_first() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a1"], &[]));

    let order = planner.next_order(millis(1), &EngineState::default());

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn an_empty_engine_loads_the_only_model_that_it_kept_before_anybody_asks() {
    let mut planner = Planner::default();
    let kept = EngineState { local_models: vec![Arc::from("base")], ..EngineState::default() };

    let order = planner.next_order(millis(1), &kept);

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn of_several_kept_models_none_is_guessed() {
    let mut planner = Planner::default();
    let kept = EngineState {
        local_models: vec![Arc::from("base"), Arc::from("other")],
        ..EngineState::default()
    };

    assert_eq!(planner.next_order(millis(1), &kept), None);
}

#[test]
fn what_entry_instances_ask_for_goes_before_what_was_kept() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&[], &[]));
    let kept = EngineState { local_models: vec![Arc::from("other")], ..EngineState::default() };

    let order = planner.next_order(millis(1), &kept);

    assert_eq!(order, Some(Order::LoadModel { model: Arc::from("base") }));
}

#[test]
fn a_wanted_adapter_is_loaded_into_a_free_place() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    let order = planner.next_order(millis(1), &holding(&["a1", "a2"]));

    assert_eq!(order, load("a7"));
}

#[test]
fn an_adapter_in_use_at_any_entry_is_not_dropped() {
    let mut planner = Planner::default();
    let held = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&["a7"], &["a1", "a2", "a3"]));
    planner.record_report(millis(0), entry(2), report(&[], &["a4", "a6"]));

    let order = planner.next_order(millis(500), &holding(&held));

    let model = Arc::from("base");
    assert_eq!(order, Some(Order::Unload { model, adapter: Arc::from("a5") }));
}

#[test]
fn nothing_is_dropped_while_all_are_in_use() {
    let mut planner = Planner::default();
    let held = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&["a7"], &held));

    assert_eq!(planner.next_order(millis(500), &holding(&held)), None);
}

#[test]
fn there_is_room_where_nobody_uses_what_is_held() {
    let mut planner = Planner::default();
    let held = ["a1", "a2", "a3", "a4", "a5", "a6"];
    planner.record_report(millis(0), entry(1), report(&[], &["a1", "a2", "a3", "a4"]));
    let later = millis(500);

    assert_eq!(planner.slot_usage(later, &holding(&held)).free, 2);
    assert_eq!(planner.slot_usage(later, &holding(&held[..5])).free, 2);
    planner.record_report(later, entry(2), report(&[], &["a5", "a6"]));
    assert_eq!(planner.slot_usage(later, &holding(&held)).free, 0);
}

#[test]
fn wants_that_are_neither_met_nor_on_their_way_wait_for_places() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a1", "a2", "a3", "a4"], &["a5"]));
    let held = EngineState { pending: vec![resident("a2", 1)], ..holding(&["a1", "a5"]) };

    let places = planner.slot_usage(millis(10), &held);

    assert_eq!(places.waiting, 2, "a3 and a4");
    assert_eq!((places.free, places.queue_depth(), places.remaining_queue_depth()), (3, 0, 0));
}

#[test]
fn a_newer_version_replaces_the_adapter_in_its_place() {
    let mut planner = Planner::default();
    let held = ["a1", "a2", "a3", "a4", "a5", "a6"];
    let mut newer = report(&[], &held);
    newer.load_requests = vec![resident("a3", 2)];
    planner.record_report(millis(0), entry(1), newer);

    assert_eq!(planner.next_order(millis(1), &holding(&held)), load("a3"));
}

#[test]
fn after_an_order_without_an_answer_the_next_one_waits() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    planner.record_unanswered_order(millis(0));

    assert_eq!(planner.next_order(millis(100), &holding(&[])), None);
    assert_eq!(planner.next_order(millis(400), &holding(&[])), load("a7"));
}

#[test]
fn a_want_that_nobody_renews_is_forgotten() {
    let mut planner = Planner::default();
    planner.record_report(millis(0), entry(1), report(&["a7"], &[]));

    assert_eq!(planner.next_order(millis(2000), &holding(&[])), None);
}

#[test]
fn the_places_are_never_exceeded_and_uses_never_lost() {
    seeds::run(200, |random| {
        let mut planner = Planner::default();
        let mut held = EngineState { models: vec![Arc::from("base")], ..EngineState::default() };
        for step in 0..400 {
            let now = millis(step * 20);
            let names: Vec<String> = (0..20).map(|number| format!("a{number}")).collect();
            let draw = |random: &mut seeds::Random| &*names[random.random_range(0..20)];
            let wanted = [draw(random), draw(random)];
            let used = held.adapters.first().map(|resident| resident.adapter.clone());
            let used: Vec<&str> = used.iter().map(|adapter| &**adapter).collect();
            planner.record_report(now, entry(random.random_range(1..4)), report(&wanted, &used));
            planner.record_engine_state(&held);

            match planner.next_order(now, &held) {
                Some(Order::Load { adapter, .. }) => {
                    held.pending.push(resident(&adapter, 1));
                }
                Some(Order::Unload { adapter, .. }) => {
                    assert!(!used.contains(&&*adapter), "an adapter in use is dropped");
                    held.adapters.retain(|resident| resident.adapter != adapter);
                }
                Some(Order::LoadModel { .. }) | None => {}
            }
            if random.random_bool(0.5) {
                held.adapters.append(&mut held.pending);
            }
            assert!(held.adapters.len() + held.pending.len() <= ADAPTER_SLOTS);
        }
    });
}

#[test]
fn what_an_engine_held_lately_is_forgotten_with_its_process() {
    let mut planner = Planner::default();
    planner.record_engine_state(&holding(&["a1", "a2"]));
    planner.record_engine_state(&holding(&["a3"]));
    let before = planner.recent_adapters().len();

    planner.record_engine_state(&EngineState { born_ms: 7, ..holding(&["a4"]) });

    assert_eq!((before, planner.recent_adapters()), (3, &[resident("a4", 1)][..]));
}
