//! A model replica holds two base models, whose adapters have the same names, as PROTOCOL names them. Its
//! places for adapters are in use. Demand moves from adapters of one base model to those of the other. The
//! side process must unload an adapter before it orders another one.

use std::{io, thread, time::Duration};

use crate::{
    http,
    record::Record,
    replica::{LORA_SLOTS, Replica, write, write_chunk},
    system::{Manifest, Route, System, request},
};

const KEY: &str = "key-of-the-council";
/// Rounds of requests, before and after the move of the demand.
const ROUNDS: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Option<String>> {
    let mut system = System::new()?;
    let manifest = Manifest {
        version: 3,
        routes: vec![Route {
            name: "summary",
            kind: "stream",
            service: "aide",
            attempts: 1,
            is_resumable: false,
        }],
        idle_routes: 0,
        services: vec![("aide", true)],
        models: vec!["base", "second"],
        keys: vec![KEY],
    };
    system.store.put("keyed.op", "config", &manifest.text());
    let ip = system.ip();
    let replica = Replica::start(ip, "i-1", "aide", "a", record, |replica, request, stream| {
        let (name, model) = (request.head.id(), request.head.get("x-chivelatch-model"));
        replica.note(&format!("runs {name} with {model:?}"));
        let head = replica.head(request, "200 OK");
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        write(stream, &format!("{head}{framing}"))?;
        for number in 1..=5 {
            write_chunk(stream, &format!("id: {number}\ndata: {number}\n\n"))?;
            thread::sleep(Duration::from_millis(20));
        }
        write(stream, "0\r\n\r\n")?;
        Ok(true)
    })?;
    replica.add_model("second");
    system.store.put("keyed.servers", "i-1", &replica.entry("ready"));
    let side = system.start_side(ip, replica.address)?;
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_millis(1500));
    let first: Vec<String> = (1..=LORA_SLOTS).map(|number| format!("base/a{number}")).collect();
    // Without the move, other adapters of the same base model are asked for.
    let next: Vec<String> = match has_trouble {
        true => (1..=3).map(|number| format!("second/a{number}")).collect(),
        false => (7..=9).map(|number| format!("base/a{number}")).collect(),
    };
    for (phase, models) in [first, next].into_iter().enumerate() {
        record.add(&format!("demand is for {}", models.join(" ")));
        for (round, model) in (0..ROUNDS).flat_map(|round| models.iter().map(move |it| (round, it)))
        {
            let id = format!("{phase}-{round}-{}", model.replace('/', "."));
            let header =
                format!("X-Chivelatch-Model: {model}\r\nX-Chivelatch-Token-Count: 100,10\r\n");
            let text = request("POST", "/summary/x", KEY, &id, &header, "question");
            let answer = http::call(entry.front, text.as_bytes(), Duration::from_secs(4));
            record.add(&format!("client gets {} for {id} ({})", answer.status, answer.end));
            if replica.has_overflowed() {
                drop((entry, side));
                return Ok(Some(format!(
                    "LIMIT: the replica was ordered to load more adapters than its {LORA_SLOTS} places \
                     hold, and crashed"
                )));
            }
        }
    }
    drop((entry, side));
    Ok(None)
}
