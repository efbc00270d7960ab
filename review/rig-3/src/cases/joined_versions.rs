//! One entry machine is cut off from the store and from the other machines of the system, and goes on with
//! what it knows. Meanwhile a model replica starts again under its name with newer software, is loaded by its
//! side process and serves. Streams that it begins, and breaks off, must not go on at a replica of the older
//! software.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    link::{self, Cut},
    record::Record,
    replica::{Replica, write, write_chunk},
    system::{Manifest, Route, System, request},
};

const KEY: &str = "key-of-the-council";
/// Model replicas, one of which crashes: a share of 0.167, where the site file has 0.17.
const REPLICAS: usize = 6;
const STREAMS: usize = 48;
const EVENTS: usize = 8;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5500);
/// Time from the beginning of the cut until streams are asked for.
const STREAMS_AFTER: Duration = Duration::from_millis(2500);

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
    let cut = Cut::default();
    let (mut replicas, mut sides) = (Vec::new(), Vec::new());
    for id in (1..=REPLICAS).map(|number| format!("i-{number}")) {
        let id = id.as_str();
        let (ip, side_ip) = (system.ip(), system.ip());
        let replica =
            Replica::start(ip, id, "aide", "a", record, move |replica, request, stream| {
                let version = replica.process().version;
                let name = request.head.id();
                let after =
                    request.head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
                replica.note(&format!("runs {name} at {version} after event {after}"));
                let head = replica.head(request, "200 OK");
                let head = format!(
                    "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                write(stream, &head)?;
                for number in after + 1..=EVENTS {
                    write_chunk(stream, &format!("id: {number}\ndata: {version}\n\n"))?;
                    thread::sleep(Duration::from_millis(100));
                }
                write(stream, "0\r\n\r\n")?;
                Ok(true)
            })?;
        system.store.put("keyed.servers", id, &replica.entry("ready"));
        sides.push(system.start_side(side_ip, replica.address)?);
        link::start_datagrams(
            (ip, system.mesh_port).into(),
            (side_ip, system.mesh_port).into(),
            &cut,
        )?;
        replicas.push(replica);
    }
    let path_ip = system.ip();
    system.store_path = Some(link::start_channels(path_ip, system.store.address, &cut)?);
    let entry = system.start_entry()?;
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.add("the entry machine is cut off from the store and the side machines");
    }
    cut.set(has_trouble);
    let started = Instant::now();
    replicas[0].crash();
    thread::sleep(Duration::from_secs(1));
    replicas[0].restart("v2");
    system.store.put("keyed.servers", "i-1", &replicas[0].entry("ready"));
    thread::sleep(STREAMS_AFTER.saturating_sub(started.elapsed()));
    system.store.put("keyed.servers", "i-1", &replicas[0].entry("ready"));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, front) = (record.clone(), entry.front);
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let text = request(
                    "POST",
                    "/answer/x",
                    KEY,
                    &id,
                    "X-Chivelatch-Model: base\r\n",
                    "question",
                );
                let answer = http::call(front, text.as_bytes(), Duration::from_secs(8));
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let versions: Vec<&str> =
                    body.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
                let text = versions.join(" ");
                record.add(&format!(
                    "client gets {} for {id} ({}): {text}",
                    answer.status, answer.end
                ));
                (versions.contains(&"v1") && versions.contains(&"v2")).then_some(id)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(350));
    replicas[0].crash();
    let joined: Vec<String> = clients.into_iter().filter_map(|it| it.join().ok()?).collect();
    thread::sleep(CUT.saturating_sub(started.elapsed()));
    cut.set(false);
    drop((entry, sides));
    if joined.len() <= 2 {
        return Ok(None);
    }
    Ok(Some(format!(
        "ORDER: {} streams hold events from replicas of two software versions: {}",
        joined.len(),
        joined.join(", ")
    )))
}
