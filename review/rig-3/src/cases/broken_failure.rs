//! A replica fails a resumable stream's request, and its answer breaks off in the body. The client must not
//! take what it gets for a complete answer.

use std::{collections::HashSet, io, sync::Mutex, thread, time::Duration};

use crate::{
    http::{self, Answer},
    record::Record,
    replica::{Replica, write, write_chunk},
    system::{Manifest, Route, System, request},
};

const KEY: &str = "key-of-the-council";
const REASON: &str =
    "the adapter's weights could not be read; ask the operator of the pool to restore them";
/// Events of a stream.
const EVENTS: usize = 5;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Option<String>> {
    let mut system = System::new()?;
    let manifest = Manifest {
        version: 3,
        routes: vec![Route {
            name: "answer",
            kind: "stream",
            service: "aide",
            attempts: 2,
            is_resumable: true,
        }],
        idle_routes: 0,
        services: vec![("aide", true)],
        models: vec!["base"],
        keys: vec![KEY],
    };
    system.store.put("keyed.op", "config", &manifest.text());
    let mut replicas = Vec::new();
    for id in ["i-1", "i-2"] {
        let ip = system.ip();
        let replica = Replica::start(
            ip,
            id,
            "aide",
            "a",
            record,
            move |replica, request, stream| {
                let name = request.head.id().to_owned();
                if is_first(&name) {
                    replica.note(&format!("runs {name}, fails it with 500"));
                    let head = replica.head(request, "500 Internal Server Error");
                    write(
                        stream,
                        &format!(
                            "{head}Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
                        ),
                    )?;
                    let (start, rest) = REASON.split_at(30);
                    write_chunk(stream, start)?;
                    thread::sleep(Duration::from_millis(50));
                    if has_trouble {
                        replica.note(&format!("breaks the answer to {name} off in its body"));
                        return Ok(false);
                    }
                    write_chunk(stream, rest)?;
                    write(stream, "0\r\n\r\n")?;
                    return Ok(true);
                }
                replica.note(&format!("runs {name}"));
                let head = replica.head(request, "200 OK");
                write(
                    stream,
                    &format!(
                        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    ),
                )?;
                for number in 1..=EVENTS {
                    write_chunk(stream, &event(&replica.id, number))?;
                    thread::sleep(Duration::from_millis(20));
                }
                write(stream, "0\r\n\r\n")?;
                Ok(true)
            },
        )?;
        system.store.put("keyed.servers", id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_millis(500));
    let mut breaches = Vec::new();
    for number in 0..5 {
        let id = format!("question-{number}");
        let text =
            request("POST", "/answer/x", KEY, &id, "X-Chivelatch-Model: base\r\n", "question");
        record.add(&format!("client sends {id}"));
        let answer = http::call(entry.front, text.as_bytes(), Duration::from_secs(25));
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.add(&format!(
            "client gets {} for {id}, signature {:?}, complete: {} ({}), body {body:?}",
            answer.status,
            answer.head.get("x-chivelatch-signature"),
            answer.is_complete,
            answer.end,
        ));
        if answer.is_complete && !is_answer_of_one_replica(&answer, &body, &id) {
            breaches.push(id);
        }
    }
    if breaches.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!("MIXED: answers that ended early look complete: {}", breaches.join(", "))))
}

/// Returns whether an answer is the whole one of the replica whose signature it bears.
fn is_answer_of_one_replica(answer: &Answer, body: &str, id: &str) -> bool {
    let signature = answer.head.get("x-chivelatch-signature").unwrap_or("");
    let replica = signature.strip_suffix(id).and_then(|it| it.strip_suffix('.')).unwrap_or("");
    let events: String = (1..=EVENTS).map(|number| event(replica, number)).collect();
    match answer.status {
        200 => body == events,
        500 => body == REASON,
        _ => signature.is_empty(),
    }
}

/// Returns whether this is the first replica that gets the request.
fn is_first(name: &str) -> bool {
    static SEEN: Mutex<Option<HashSet<String>>> = Mutex::new(None);
    SEEN.lock().unwrap().get_or_insert_default().insert(name.to_owned())
}

fn event(replica: &str, number: usize) -> String {
    format!("id: {number}\ndata: {replica} {number}\n\n")
}
