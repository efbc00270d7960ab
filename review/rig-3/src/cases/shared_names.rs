//! A model replica holds two base models, whose adapters have the same names, as PROTOCOL names them. New
//! versions of two adapters with one name are announced, one after the other. Requests for each of them must
//! run on its own new version.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::Record,
    replica::{Replica, write, write_chunk},
    system::{Manifest, Route, System, request},
};

const KEY: &str = "key-of-the-council";
const ADAPTERS: [&str; 2] = ["base/a1", "second/a1"];
/// `version_ms` of the installation.
const VERSION_MS: Duration = Duration::from_millis(5000);
/// Time from one announcement to the next.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which requests go on after the last announcement.
const OBSERVED: Duration = Duration::from_secs(10);

/// A run of a request: its model, its version, and the time of its beginning.
type Run = (String, u64, Instant);

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
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let noted = Arc::clone(&runs);
    let replica =
        Replica::start(ip, "i-1", "aide", "a", record, move |replica, request, stream| {
            let model = request.head.get("x-chivelatch-model").unwrap_or("").to_owned();
            let version = replica.version_of(&model).unwrap_or(0);
            replica
                .note(&format!("begins {} with {model} at version {version}", request.head.id()));
            noted.lock().unwrap().push((model, version, Instant::now()));
            let head = replica.head(request, "200 OK");
            let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            write(stream, &format!("{head}{framing}"))?;
            for number in 1..=3 {
                write_chunk(stream, &format!("id: {number}\ndata: {number}\n\n"))?;
            }
            write(stream, "0\r\n\r\n")?;
            Ok(true)
        })?;
    replica.add_model("second");
    system.store.put("keyed.servers", "i-1", &replica.entry("ready"));
    let side = system.start_side(ip, replica.address)?;
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_millis(1500));
    let ask = |phase: &str, for_time: Duration| {
        let started = Instant::now();
        let mut number = 0;
        while number == 0 || started.elapsed() < for_time {
            for model in ADAPTERS {
                let id = format!("{phase}-{number}-{}", model.replace('/', "."));
                let header =
                    format!("X-Chivelatch-Model: {model}\r\nX-Chivelatch-Token-Count: 100,10\r\n");
                let text = request("POST", "/summary/x", KEY, &id, &header, "question");
                let answer = http::call(entry.front, text.as_bytes(), Duration::from_secs(4));
                record.add(&format!("client gets {} for {id} ({})", answer.status, answer.end));
            }
            number += 1;
            thread::sleep(Duration::from_millis(400));
        }
    };
    ask("before", ANNOUNCEMENT_INTERVAL);
    let mut announced = None;
    for (phase, model) in ["first", "second"].into_iter().zip(ADAPTERS) {
        // Without the other adapter's new version, only the second one is announced.
        if phase == "first" && !has_trouble {
            continue;
        }
        let (base, name) = model.split_once('/').unwrap_or_default();
        replica.newest.lock().unwrap().insert((base.to_owned(), name.to_owned()), 2);
        let value = format!("{{\"model\":\"{base}\",\"lora\":\"{name}\",\"cfg_ver\":2}}");
        system.store.put("keyed.op", &format!("version/{base}.{name}"), &value);
        record.add(&format!("the store acknowledges version 2 of {model}"));
        announced = Some((model, Instant::now()));
        ask(phase, if phase == "first" { ANNOUNCEMENT_INTERVAL } else { OBSERVED });
    }
    drop((entry, side));
    let Some((model, announced_at)) = announced else { return Ok(None) };
    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|(of, version, at)| of == model && *version < 2 && announced_at + VERSION_MS < *at);
    let count = late.count();
    if count == 0 {
        return Ok(None);
    }
    Ok(Some(format!(
        "VERSION: {count} requests for {model} begin on version 1 later than version_ms after version 2 was \
         acknowledged"
    )))
}
