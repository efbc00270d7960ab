//! Runs the checker on journals with planted violations.

use std::time::Instant;

use serde_json::{Value, json};

use scenario::{
    calls::{Answer, Call, Delivery, Record},
    checker::{Journals, violations},
};

const DIGEST_OF_HELLO: &str = "digest=913943507625143f";

fn chat(model: &str, text: &str) -> Record {
    let answer = Answer {
        status: 200,
        outcome: "completed".to_owned(),
        request: "r-1".to_owned(),
        is_complete: true,
        text: text.to_owned(),
        ..Answer::default()
    };
    let call = Call::Chat {
        model: model.to_owned(),
        prompt: "hello".to_owned(),
        max_tokens: 4,
        delivery: Delivery::Buffered,
    };
    record(call, answer)
}

fn order(status: u16, outcome: &str) -> Record {
    let call = Call::Order {
        route: "orders".to_owned(),
        idempotency_key: "k".to_owned(),
        body: "roll 7".to_owned(),
    };
    let (outcome, request) = (outcome.to_owned(), "r-2".to_owned());
    record(call, Answer { status, outcome, request, ..Answer::default() })
}

fn record(call: Call, answer: Answer) -> Record {
    let now = Instant::now();
    Record { call, sent: now, ended: now, answer }
}

fn expected_text() -> String {
    format!("adapter=council-001 version=2 {DIGEST_OF_HELLO} w3")
}

fn services(effects: Value) -> Journals {
    Journals { engines: Vec::new(), services: vec![effects] }
}

fn engines(journal: Value) -> Journals {
    Journals { engines: vec![journal], services: Vec::new() }
}

#[test]
fn accepts_correct_journals() {
    let journals = services(json!([{ "request": "r-2.0", "body": "roll 7", "leaked": [] }]));
    let records = [chat("council-001@2", &expected_text()), order(201, "completed")];

    assert_eq!(violations(&records, &journals), Vec::<String>::new());
}

#[test]
fn detects_wrong_answers() {
    let records = [
        chat("council-001@1", &expected_text()),
        chat("council-002@2", &expected_text()),
        chat("council-001@2", "adapter=council-001 version=2 digest=0000000000000000 w3"),
        chat("council-001@2", &format!("adapter=council-001 version=2 {DIGEST_OF_HELLO}")),
    ];

    for record in records {
        let found = violations(std::slice::from_ref(&record), &Journals::default());
        assert_eq!(found.len(), 1, "{record:?}");
    }
}

#[test]
fn detects_stream_cut_without_error_event() {
    let mut cut = chat("council-001@2", &expected_text());
    cut.answer.is_complete = false;

    let silent = violations(std::slice::from_ref(&cut), &Journals::default());
    cut.answer.body = "event: error\ndata: {}\n\n".to_owned();
    let explained = violations(&[cut], &Journals::default());

    assert_eq!(silent.len(), 1);
    assert!(explained.is_empty());
}

#[test]
fn detects_false_not_run() {
    let executed = services(json!([{ "request": "r-2.1", "body": "roll 7", "leaked": [] }]));

    assert_eq!(violations(&[order(503, "not-run")], &executed).len(), 1);
}

#[test]
fn detects_duplicated_and_lost_orders() {
    let effect = json!({ "request": "r-2.0", "body": "roll 7", "leaked": [] });
    let duplicated = services(json!([effect, effect]));

    assert_eq!(violations(&[order(201, "completed")], &duplicated).len(), 1);
    assert_eq!(violations(&[order(201, "completed")], &services(json!([]))).len(), 1);
}

#[test]
fn detects_leaked_keys_and_evictions_in_use() {
    let run = json!({ "request": "r-3.0", "leaked": ["authorization"] });
    let leaked = engines(json!({ "runs": [run], "evicted_in_use": 0 }));
    let evicted = engines(json!({ "runs": [], "evicted_in_use": 1 }));

    assert_eq!(violations(&[], &leaked).len(), 1);
    assert_eq!(violations(&[], &evicted).len(), 1);
}
