//! Checks the recorded calls against the journals of the backend servers for violations of
//! the guarantees: answers from the right adapter, correct `not-run` outcomes, orders
//! executed at most once, no leaked keys and no eviction of an adapter in use.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::calls::{Answer, Call, Record, expected_markers};

/// Journals of the backend servers, by kind.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    pub engines: Vec<Value>,
    pub services: Vec<Value>,
}

/// Returns a description of each violation found.
pub fn violations(records: &[Record], journals: &Journals) -> Vec<String> {
    let mut found = Vec::new();
    let executed = executed_requests(journals);
    for record in records {
        found.extend(wrong_answer(record));
        found.extend(false_not_run(&record.answer, &executed));
    }
    found.extend(order_violations(records, journals));
    found.extend(leaked_keys(journals));
    found.extend(evictions_in_use(journals));
    found
}

/// Returns a violation if a completed answer is from another model or prompt, or incomplete.
fn wrong_answer(record: &Record) -> Option<String> {
    let Answer { status, outcome, is_complete, text, request, .. } = &record.answer;
    if *status != 200 || outcome != "completed" {
        return None;
    }
    let Call::Chat { max_tokens, .. } = &record.call else { return None };
    let (model, digest) = expected_markers(&record.call)?;
    // A stream may end early if it reports that with an error event.
    if !is_complete {
        let has_error_event = record.answer.body.contains("event: error");
        return (!has_error_event)
            .then(|| format!("{request}: stream ended early without an error event: {text}"));
    }
    if text.split(' ').count() as u64 != *max_tokens {
        return Some(format!("{request}: incomplete answer: {text}"));
    }
    // An answer shorter than the markers contains only the first of them.
    let words: Vec<&str> = text.split(' ').collect();
    let is_marker =
        |index: usize, marker: &str| words.get(index).is_none_or(|word| *word == marker);
    let (adapter, version) = model.rsplit_once('@').unwrap_or((&model, ""));
    let names_version = version.is_empty() || is_marker(1, &format!("version={version}"));
    if !is_marker(0, &format!("adapter={adapter}")) || !names_version {
        return Some(format!("{request}: requested {model}, got the answer of another: {text}"));
    }
    (!is_marker(2, &digest)).then(|| format!("{request}: got the answer to another prompt: {text}"))
}

/// Returns a violation if a request with the outcome `not-run` is in a server's journal.
fn false_not_run(answer: &Answer, executed: &BTreeSet<String>) -> Option<String> {
    let is_false = answer.outcome == "not-run" && executed.contains(&answer.request);
    is_false.then(|| format!("{}: reported as not-run, but a server executed it", answer.request))
}

/// Returns a violation for each order executed more than once, or confirmed but not executed.
fn order_violations(records: &[Record], journals: &Journals) -> Vec<String> {
    let mut effects: BTreeMap<String, u64> = BTreeMap::new();
    for effect in entries(&journals.services) {
        *effects.entry(text_field(effect, "body")).or_default() += 1;
    }
    let mut found: Vec<String> = effects
        .iter()
        .filter(|(_, count)| 1 < **count)
        .map(|(body, count)| format!("order {body} was executed {count} times"))
        .collect();
    for record in records {
        let Call::Order { body, .. } = &record.call else { continue };
        let is_confirmed = record.answer.status == 201;
        if is_confirmed && !effects.contains_key(body) {
            found.push(format!("order {body} was confirmed but not executed"));
        }
    }
    found
}

fn leaked_keys(journals: &Journals) -> Vec<String> {
    let runs = journals.engines.iter().flat_map(runs_of);
    let all = runs.chain(entries(&journals.services));
    let leaked = all.filter(|run| run["leaked"].as_array().is_some_and(|names| !names.is_empty()));
    leaked.map(|run| format!("a backend server received a caller's key: {run}")).collect()
}

fn evictions_in_use(journals: &Journals) -> Vec<String> {
    let counts = journals.engines.iter().map(|journal| &journal["evicted_in_use"]);
    let evicted = counts.filter(|count| count.as_u64().is_some_and(|count| 0 < count));
    evicted.map(|count| format!("{count} adapters were evicted while in use")).collect()
}

/// Returns the ids of the requests that backend servers received, without the attempt number.
fn executed_requests(journals: &Journals) -> BTreeSet<String> {
    let runs = journals.engines.iter().flat_map(runs_of);
    let all = runs.chain(entries(&journals.services));
    let id = |run: &Value| {
        let id = text_field(run, "request");
        id.rsplit_once('.').map_or(id.clone(), |(request, _)| request.to_owned())
    };
    all.map(id).collect()
}

fn runs_of(journal: &Value) -> impl Iterator<Item = &Value> {
    journal["runs"].as_array().into_iter().flatten()
}

fn entries(journals: &[Value]) -> impl Iterator<Item = &Value> {
    journals.iter().flat_map(|journal| journal.as_array().into_iter().flatten())
}

fn text_field(value: &Value, key: &str) -> String {
    value[key].as_str().unwrap_or_default().to_owned()
}
