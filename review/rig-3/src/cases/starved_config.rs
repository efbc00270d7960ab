//! Replicas leave part of their requests hanging while they say that they are well. Meanwhile a new manifest
//! moves a route and takes a key away. The bodies that the entry process keeps for those requests must not
//! keep it from reading the manifest.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reader},
    record::Record,
    replica::{Replica, write},
    system::{Manifest, Route, System, request},
};

const KEY: &str = "key-of-the-council";
const WITHDRAWN_KEY: &str = "key-of-the-old-council";
/// Bodies that are sent one after the other, by number and size in bytes; each is within `max_body_bytes`.
const FILES: [(usize, usize); 2] = [(60, 1_000_000), (70, 60_000)];
/// Time between two of them.
const FILE_INTERVAL: Duration = Duration::from_millis(25);
/// `config_ms` of the installation.
const CONFIG_MS: u64 = 2000;
/// Requests that hang, of each twenty: `x` of the disruption is 0.45.
const HANGING_OF_20: usize = 9;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Option<String>> {
    let mut system = System::new()?;
    (system.ram_mb, system.config_ms) = (260, CONFIG_MS);
    system.store.put("keyed.op", "config", &manifest(3, "desk-old", &[KEY, WITHDRAWN_KEY]));
    let file_count = Arc::new(AtomicUsize::new(0));
    for (id, service) in
        [("i-1", "desk-old"), ("i-2", "desk-new"), ("i-3", "files"), ("i-4", "files")]
    {
        let (ip, file_count) = (system.ip(), Arc::clone(&file_count));
        let replica =
            Replica::start(ip, id, service, "a", record, move |replica, request, stream| {
                let name = request.head.id();
                let number = match &*replica.service {
                    "files" => file_count.fetch_add(1, Ordering::Relaxed),
                    _ => 0,
                };
                replica.note(&format!("runs {name}"));
                if has_trouble
                    && replica.service == "files"
                    && number * HANGING_OF_20 % 20 < HANGING_OF_20
                {
                    replica.note(&format!("leaves {name} hanging"));
                    Reader::new(stream)?.wait_for_close();
                    return Ok(false);
                }
                let (head, body) = (replica.head(request, "200 OK"), &replica.service);
                write(stream, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()))?;
                Ok(true)
            })?;
        system.store.put("keyed.servers", id, &replica.entry("ready"));
    }
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_millis(500));
    let first = ask(record, entry.front, "before", KEY);
    if first.1 != "desk-old" {
        return Err(io::Error::other("the first manifest is not in force"));
    }
    let sizes = FILES.map(|(count, size)| vec![size; count]).concat();
    record.add(&format!(
        "{} files are sent; replicas leave some hanging: {has_trouble}",
        sizes.len()
    ));
    let uploads: Vec<_> = sizes
        .into_iter()
        .enumerate()
        .map(|(number, size)| {
            let (record, front) = (record.clone(), entry.front);
            thread::sleep(FILE_INTERVAL);
            thread::spawn(move || {
                let body = "x".repeat(size);
                let text = request("POST", "/file/x", KEY, &format!("file-{number}"), "", &body);
                let answer = http::call(front, text.as_bytes(), Duration::from_secs(25));
                let (status, end) = (answer.status, answer.end);
                record.add(&format!(
                    "client gets {status} for file-{number} of {size} bytes ({end})"
                ));
            })
        })
        .collect();
    system.store.put("keyed.op", "config", &manifest(4, "desk-new", &[KEY]));
    let acknowledged = Instant::now();
    record.add(
        "the store acknowledges manifest 4: route `page` goes to desk-new, a key is withdrawn",
    );
    let mut breaches = Vec::new();
    for number in 0..12 {
        let at = Duration::from_millis(500 * (number + 1));
        thread::sleep(at.saturating_sub(acknowledged.elapsed()));
        let is_late = Duration::from_millis(CONFIG_MS) < acknowledged.elapsed();
        for (name, key) in [("page", KEY), ("withdrawn", WITHDRAWN_KEY)] {
            let (status, body) = ask(record, entry.front, &format!("{name}-{number}"), key);
            if is_late && status == 200 && (name == "withdrawn" || body == "desk-old") {
                breaches.push(format!("{name}-{number}"));
            }
        }
    }
    drop(entry);
    for upload in uploads {
        let _ended = upload.join();
    }
    if breaches.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "CONFIG: sent later than config_ms after the acknowledgement of manifest 4, and handled as only \
         manifest 3 allows: {}",
        breaches.join(", ")
    )))
}

/// Returns a manifest of the size that it has after it has grown by many routes.
fn manifest(version: u32, service: &str, keys: &[&str]) -> String {
    let route =
        |name, kind, service| Route { name, kind, service, attempts: 1, is_resumable: false };
    let manifest = Manifest {
        version,
        routes: vec![
            route("page", "idempotent", service),
            route("file", "non_idempotent", "files"),
        ],
        idle_routes: 350,
        services: vec![("desk-old", false), ("desk-new", false), ("files", false)],
        models: vec!["base"],
        keys: keys.to_vec(),
    };
    manifest.text()
}

fn ask(record: &Record, front: SocketAddr, id: &str, key: &str) -> (u16, String) {
    let text = request("GET", "/page/x", key, id, "", "");
    let answer = http::call(front, text.as_bytes(), Duration::from_secs(5));
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.add(&format!("client gets {} {body:?} for {id}", answer.status));
    (answer.status, body)
}
