//! Deciding from the journals of callers and backend servers whether every
//! promise was kept.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::calls::{Answer, Ask, Record, expected_marks};

/// Journals of the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    pub engines: Vec<Value>,
    pub services: Vec<Value>,
}

/// Every violation found, in words.
pub fn violations(records: &[Record], journals: &Journals) -> Vec<String> {
    let mut found = Vec::new();
    let ran = requests_run(journals);
    for record in records {
        found.extend(wrong_answer(record));
        found.extend(false_not_run(&record.answer, &ran));
    }
    found.extend(doubled_orders(records, journals));
    found.extend(leaked_keys(journals));
    found.extend(evictions_in_use(journals));
    found
}

/// A completed answer ran on what was asked for, belongs to its own prompt and is whole.
fn wrong_answer(record: &Record) -> Option<String> {
    let Answer { status, outcome, is_whole, text, request, .. } = &record.answer;
    if *status != 200 || outcome != "completed" {
        return None;
    }
    let Ask::Chat { max_tokens, .. } = &record.ask else { return None };
    let (model, digest) = expected_marks(&record.ask)?;
    // A stream that breaks off says so by an error event and a broken connection.
    if !is_whole {
        let is_explained = record.answer.body.contains("event: error");
        return (!is_explained).then(|| format!("{request}: cut without a word: {text}"));
    }
    if text.split(' ').count() as u64 != *max_tokens {
        return Some(format!("{request}: not whole: {text}"));
    }
    // A short answer ends within its marks.
    let words: Vec<&str> = text.split(' ').collect();
    let is_mark = |index: usize, mark: &str| words.get(index).is_none_or(|word| *word == mark);
    let (adapter, version) = model.rsplit_once('@').unwrap_or((&model, ""));
    let names_version = version.is_empty() || is_mark(1, &format!("version={version}"));
    if !is_mark(0, &format!("adapter={adapter}")) || !names_version {
        return Some(format!("{request}: asked for {model}, answered by {text}"));
    }
    (!is_mark(2, &digest)).then(|| format!("{request}: another caller's answer: {text}"))
}

/// A request said not to have run is in no journal.
fn false_not_run(answer: &Answer, ran: &BTreeSet<String>) -> Option<String> {
    let is_false = answer.outcome == "not-run" && ran.contains(&answer.request);
    is_false.then(|| format!("{}: said to be not-run, and ran", answer.request))
}

/// Every order took effect at most once, and each that was confirmed did.
fn doubled_orders(records: &[Record], journals: &Journals) -> Vec<String> {
    let mut effects: BTreeMap<String, u64> = BTreeMap::new();
    for effect in entries(&journals.services) {
        *effects.entry(text_of(effect, "body")).or_default() += 1;
    }
    let mut found: Vec<String> = effects
        .iter()
        .filter(|(_, count)| 1 < **count)
        .map(|(body, count)| format!("order {body} took effect {count} times"))
        .collect();
    for record in records {
        let Ask::Order { body, .. } = &record.ask else { continue };
        let is_confirmed = record.answer.status == 201;
        if is_confirmed && !effects.contains_key(body) {
            found.push(format!("order {body} was confirmed and lost"));
        }
    }
    found
}

fn leaked_keys(journals: &Journals) -> Vec<String> {
    let runs = journals.engines.iter().flat_map(runs_of);
    let all = runs.chain(entries(&journals.services));
    let leaked = all.filter(|run| run["leaked"].as_array().is_some_and(|names| !names.is_empty()));
    leaked.map(|run| format!("a backend server saw a key: {run}")).collect()
}

fn evictions_in_use(journals: &Journals) -> Vec<String> {
    let counts = journals.engines.iter().map(|journal| &journal["evicted_in_use"]);
    let evicted = counts.filter(|count| count.as_u64().is_some_and(|count| 0 < count));
    evicted.map(|count| format!("{count} adapters were evicted in use")).collect()
}

/// Ids of the requests that any backend server saw, without the number of the try.
fn requests_run(journals: &Journals) -> BTreeSet<String> {
    let runs = journals.engines.iter().flat_map(runs_of);
    let all = runs.chain(entries(&journals.services));
    let id = |run: &Value| {
        let id = text_of(run, "request");
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

fn text_of(value: &Value, key: &str) -> String {
    value[key].as_str().unwrap_or_default().to_owned()
}
