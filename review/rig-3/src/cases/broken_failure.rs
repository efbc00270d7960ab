//! A replica in trouble fails part of the requests of a resumable stream's route, and breaks a few of its answers
//! off in their bodies. The client must not take what it gets for a complete answer.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

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
/// Replicas, one of which is in trouble: a share of 0.333, where the site file has 0.426 (garble) and 1.0 (srv_grey).
const REPLICAS: usize = 3;
/// Requests that it fails, of each twenty: `x` of srv_grey is 0.45.
const FAILED_OF_20: usize = 9;
/// It breaks off one answer of this many, the last one of each forty: `x` of garble is 0.025.
const ANSWERS_TO_A_BREAK: usize = 40;
/// Length of the trouble: the site file has 4.0 s for this `x` and share of srv_grey.
const TROUBLE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 12;

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
    let answers = Arc::new(AtomicUsize::new(0));
    for number in 1..=REPLICAS {
        let (ip, id, answers) = (system.ip(), format!("i-{number}"), Arc::clone(&answers));
        let replica =
            Replica::start(ip, &id, "aide", "a", record, move |replica, request, stream| {
                let name = request.head.id();
                if replica.id == "i-1" {
                    let number = 1 + answers.fetch_add(1, Ordering::Relaxed);
                    if number * FAILED_OF_20 % 20 < FAILED_OF_20 {
                        let breaks = has_trouble && number.is_multiple_of(ANSWERS_TO_A_BREAK);
                        return fail(replica, request, stream, breaks);
                    }
                }
                replica.note(&format!("runs {name}"));
                let head = replica.head(request, "200 OK");
                let framing =
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                write(stream, &format!("{head}{framing}"))?;
                for number in 1..=EVENTS {
                    write_chunk(stream, &event(&replica.id, number))?;
                    thread::sleep(Duration::from_millis(10));
                }
                write(stream, "0\r\n\r\n")?;
                Ok(true)
            })?;
        system.store.put("keyed.servers", &id, &replica.entry("ready"));
    }
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, front) = (record.clone(), entry.front);
            thread::spawn(move || {
                let mut breaches = Vec::new();
                for number in 0.. {
                    if TROUBLE < started.elapsed() {
                        break;
                    }
                    let id = format!("question-{client}-{number}");
                    let model = "X-Chivelatch-Model: base\r\n";
                    let text = request("POST", "/answer/x", KEY, &id, model, "question");
                    let answer = http::call(front, text.as_bytes(), Duration::from_secs(25));
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let is_sound = !answer.is_complete || is_of_one_replica(&answer, &body, &id);
                    let signature = answer.head.get("x-chivelatch-signature").unwrap_or("none");
                    record.add(&format!(
                        "client gets {} for {id}, signature {signature}, {} bytes ({}), sound: {is_sound}",
                        answer.status,
                        body.len(),
                        answer.end,
                    ));
                    if !is_sound {
                        record.add(&format!("the body of {id}: {body:?}"));
                        breaches.push(id);
                    }
                }
                breaches
            })
        })
        .collect();
    let breaches: Vec<String> =
        clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
    record.add(&format!("the replica in trouble gave {} answers", answers.load(Ordering::Relaxed)));
    if breaches.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "MIXED: {} answers that ended early look complete: {}",
        breaches.len(),
        breaches.join(", ")
    )))
}

/// Fails a request; the answer may break off in its body.
fn fail(
    replica: &Replica,
    request: &http::Request,
    stream: &std::net::TcpStream,
    breaks: bool,
) -> io::Result<bool> {
    let name = request.head.id();
    replica.note(&format!("runs {name}, fails it with 500"));
    let head = replica.head(request, "500 Internal Server Error");
    let framing = "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
    write(stream, &format!("{head}{framing}"))?;
    let (start, rest) = REASON.split_at(30);
    write_chunk(stream, start)?;
    thread::sleep(Duration::from_millis(20));
    if breaks {
        replica.note(&format!("breaks the answer to {name} off in its body"));
        return Ok(false);
    }
    write_chunk(stream, rest)?;
    write(stream, "0\r\n\r\n")?;
    Ok(true)
}

/// Returns whether an answer is the whole one of the replica whose signature it bears.
fn is_of_one_replica(answer: &Answer, body: &str, id: &str) -> bool {
    let signature = answer.head.get("x-chivelatch-signature").unwrap_or("");
    let replica = signature.strip_suffix(id).and_then(|it| it.strip_suffix('.')).unwrap_or("");
    let events: String = (1..=EVENTS).map(|number| event(replica, number)).collect();
    match answer.status {
        200 => body == events,
        500 => body == REASON,
        _ => signature.is_empty(),
    }
}

fn event(replica: &str, number: usize) -> String {
    format!("id: {number}\ndata: {replica} {number}\n\n")
}
