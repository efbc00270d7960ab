//! The checker against journals with planted violations.

use std::time::Instant;

use serde_json::{Value, json};

use scenario::{
    calls::{Answer, Ask, Delivery, Record},
    checker::{Journals, violations},
};

const DIGEST_OF_HELLO: &str = "digest=913943507625143f";

fn chat(model: &str, text: &str) -> Record {
    let answer = Answer {
        status: 200,
        outcome: "completed".to_owned(),
        request: "r-1".to_owned(),
        is_whole: true,
        text: text.to_owned(),
        ..Answer::default()
    };
    let ask = Ask::Chat {
        model: model.to_owned(),
        prompt: "hello".to_owned(),
        max_tokens: 4,
        delivery: Delivery::Whole,
    };
    record(ask, answer)
}

fn order(status: u16, outcome: &str) -> Record {
    let ask = Ask::Order {
        route: "orders".to_owned(),
        idempotency_key: "k".to_owned(),
        body: "roll 7".to_owned(),
    };
    let (outcome, request) = (outcome.to_owned(), "r-2".to_owned());
    record(ask, Answer { status, outcome, request, ..Answer::default() })
}

fn record(ask: Ask, answer: Answer) -> Record {
    let now = Instant::now();
    Record { ask, sent: now, ended: now, answer }
}

fn good_text() -> String {
    format!("adapter=council-001 version=2 {DIGEST_OF_HELLO} w3")
}

fn services(effects: Value) -> Journals {
    Journals { engines: Vec::new(), services: vec![effects] }
}

fn engines(journal: Value) -> Journals {
    Journals { engines: vec![journal], services: Vec::new() }
}

#[test]
fn kept_promises_are_no_violations() {
    let journals = services(json!([{ "request": "r-2.0", "body": "roll 7", "leaked": [] }]));
    let records = [chat("council-001@2", &good_text()), order(201, "completed")];

    assert_eq!(violations(&records, &journals), Vec::<String>::new());
}

#[test]
fn wrong_answers_are_found() {
    let records = [
        chat("council-001@1", &good_text()),
        chat("council-002@2", &good_text()),
        chat("council-001@2", "adapter=council-001 version=2 digest=0000000000000000 w3"),
        chat("council-001@2", &format!("adapter=council-001 version=2 {DIGEST_OF_HELLO}")),
    ];

    for record in records {
        let found = violations(std::slice::from_ref(&record), &Journals::default());
        assert_eq!(found.len(), 1, "{record:?}");
    }
}

#[test]
fn a_stream_cut_without_a_word_is_found() {
    let mut cut = chat("council-001@2", &good_text());
    cut.answer.is_whole = false;

    let silent = violations(std::slice::from_ref(&cut), &Journals::default());
    cut.answer.body = "event: error\ndata: {}\n\n".to_owned();
    let explained = violations(&[cut], &Journals::default());

    assert_eq!(silent.len(), 1);
    assert!(explained.is_empty());
}

#[test]
fn a_false_not_run_is_found() {
    let ran = services(json!([{ "request": "r-2.1", "body": "roll 7", "leaked": [] }]));

    assert_eq!(violations(&[order(503, "not-run")], &ran).len(), 1);
}

#[test]
fn doubled_and_lost_orders_are_found() {
    let effect = json!({ "request": "r-2.0", "body": "roll 7", "leaked": [] });
    let doubled = services(json!([effect, effect]));

    assert_eq!(violations(&[order(201, "completed")], &doubled).len(), 1);
    assert_eq!(violations(&[order(201, "completed")], &services(json!([]))).len(), 1);
}

#[test]
fn leaked_keys_and_evictions_in_use_are_found() {
    let run = json!({ "request": "r-3.0", "leaked": ["authorization"] });
    let leaked = engines(json!({ "runs": [run], "evicted_in_use": 0 }));
    let evicted = engines(json!({ "runs": [], "evicted_in_use": 1 }));

    assert_eq!(violations(&[], &leaked).len(), 1);
    assert_eq!(violations(&[], &evicted).len(), 1);
}
