//! Whether a caller gets a part of an answer as a whole one when its replica is killed.

use std::{
    collections::HashMap,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stage::{
    address, has_trouble, http,
    machine::{Machine, Terms, free_port},
    record::Log,
    store::Store,
    unix_ms,
};

const REPLICAS: usize = 4;
const CLIENTS: u64 = 24;
const PLAY: Duration = Duration::from_secs(45);
/// Time for which a killed replica is down.
const DOWN: Duration = Duration::from_secs(2);

/// Parts of a body, as they are written: half of an answer, or an event.
fn parts(id: &str) -> Vec<String> {
    if id.starts_with("plain") {
        let (first, second) = ("a".repeat(400), "b".repeat(400));
        return vec![format!("{id} {first}"), format!("{second} end")];
    }
    (1..=11).map(|number| format!("id: {number}\ndata: {id} word\n\n")).collect()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let outcome = match arguments.first().map(String::as_str) {
        Some("replica") => replica(&arguments[1]).map(|()| ExitCode::SUCCESS),
        _ if arguments.len() == 2 => run(arguments[0].clone().into(), arguments[1].clone().into()),
        _ => return ExitCode::from(2),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(2)
    })
}

/// A replica in a process of its own. It answers without a length and ends the answer with its channel.
fn replica(address: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    http::serve(listener, |request, stream| {
        let id = request.header("x-chivelatch-request-id").unwrap_or("").to_owned();
        thread::sleep(Duration::from_millis(15));
        let kind = if id.starts_with("plain") { "text/plain" } else { "text/event-stream" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Chivelatch-Request-Id: {id}\r\nX-Chivelatch-Signature: s.{id}\r\nContent-Type: {kind}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for part in parts(&id) {
            stream.write_all(part.as_bytes())?;
            thread::sleep(Duration::from_millis(15));
        }
        Ok(false)
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// Process of a replica, which ends with this.
struct Replica(Child);

impl Replica {
    /// Ends the process with SIGKILL.
    fn kill(&mut self) {
        let _ended = self.0.kill();
        let _reaped = self.0.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_replica(address: SocketAddr) -> std::io::Result<Replica> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    let child = command.args(["replica", &address.to_string()]).stdin(Stdio::null()).spawn()?;
    Ok(Replica(child))
}

fn run(root: PathBuf, folder: PathBuf) -> std::io::Result<ExitCode> {
    let log = Arc::new(Log::start(&folder)?);
    let temporary = std::env::temp_dir().join(format!("stage-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let store_address: SocketAddr = (address(1), free_port(address(1))?).into();
    let store = Store::start(store_address)?;
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"/{prefix}/","type":"{kind}","timeout_ms":1500,"slo_ms":150,"prio":2,"svc":"s1","attempts":2,"public":false,"sticky":false,"resumable":false,"gap_target_ms":400}}"#
        )
    };
    let (plain, stream) = (route("r1", "plain", "idempotent"), route("r2", "stream", "stream"));
    store.put(
        "keyed.op",
        "config",
        &format!(
            r#"{{"cfg_ver":1,"routes":[{plain},{stream}],"svcs":[{{"name":"s1","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["k1"],"prio":1,"rate_per_s":0,"burst":0}}]}}"#
        ),
    );
    // Address and start of each replica that runs.
    let listed: Arc<Mutex<Vec<Option<(SocketAddr, u64)>>>> =
        Arc::new(Mutex::new(vec![None; REPLICAS]));
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let ip = address(50 + index as u8);
        let at: SocketAddr = (ip, free_port(ip)?).into();
        replicas.push(start_replica(at)?);
        listed.lock().unwrap()[index] = Some((at, unix_ms()));
        let (listed, store) = (listed.clone(), store.clone());
        thread::spawn(move || {
            let mut silent_since = None;
            loop {
                let entry = listed.lock().unwrap()[index];
                match entry {
                    Some((at, born)) => {
                        silent_since = None;
                        store.put("keyed.servers", &format!("i-{index}"), &format!(
                            r#"{{"svc":"s1","address":"{at}","zone":"z1","cfg_ver":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1,"born":{born}}}"#
                        ));
                    }
                    None => {
                        // The store removes the entry after three heartbeats of silence.
                        let since = *silent_since.get_or_insert_with(Instant::now);
                        if Duration::from_millis(3600) <= since.elapsed() {
                            store.put("keyed.servers", &format!("i-{index}"), "");
                        }
                    }
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
    let mesh_port = free_port(address(10))?;
    let terms = Terms { ram_mb: 260, grace_s: 8 };
    let mut machine = Machine::new(
        &temporary,
        "entry",
        ("edge-1", address(10)),
        mesh_port,
        (store_address, &[address(10)]),
        None,
        &terms,
    )?;
    machine.start(&root)?;
    if !machine.await_ready(Duration::from_secs(10)) {
        log.line("the entry instance was not ready");
        return Ok(ExitCode::from(2));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let wrong = Arc::new(AtomicU64::new(0));
    let front = machine.front;
    for client in 0..CLIENTS {
        let (is_over, counts, wrong, log) =
            (is_over.clone(), counts.clone(), wrong.clone(), log.clone());
        thread::spawn(move || {
            let kind = if client % 2 == 0 { "plain" } else { "stream" };
            let mut number = 0u64;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{kind}-{client:02}-{number:06}");
                let outcome = match call(front, kind, &id) {
                    Ok((status, body)) if status == 200 && body != parts(&id).concat() => {
                        wrong.fetch_add(1, Ordering::Relaxed);
                        log.line(&format!(
                            "{id}: 200 with a signature and a complete body of {} bytes; the replica's has {}",
                            body.len(),
                            parts(&id).concat().len()
                        ));
                        "200, a part as the whole".to_owned()
                    }
                    Ok((status, _)) => format!("{status}, whole"),
                    Err(error) => format!("not whole: {:?}", error.kind()),
                };
                *counts.lock().unwrap().entry(format!("{kind}: {outcome}")).or_default() += 1;
            }
        });
    }
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < PLAY {
        thread::sleep(Duration::from_secs(3));
        let index = round % REPLICAS;
        round += 1;
        if has_trouble() {
            log.line(&format!("replica i-{index} is killed"));
            replicas[index].kill();
            listed.lock().unwrap()[index] = None;
        }
        thread::sleep(DOWN);
        if has_trouble() {
            let ip = address(50 + index as u8);
            let at: SocketAddr = (ip, free_port(ip)?).into();
            replicas[index] = start_replica(at)?;
            listed.lock().unwrap()[index] = Some((at, unix_ms()));
            log.line(&format!("replica i-{index} has started again"));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    machine.kill();
    replicas.clear();
    let mut counts: Vec<_> = counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    log.line(&format!("answers: {counts:?}"));
    let wrong = wrong.load(Ordering::Relaxed);
    log.line(&format!("{wrong} callers got a part of an answer as the whole one"));
    let _best_effort = std::fs::remove_dir_all(&temporary);
    Ok(ExitCode::from(u8::from(0 < wrong)))
}

/// Sends a request on a channel of its own. Returns the status and the whole body.
fn call(front: SocketAddr, kind: &str, id: &str) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let request = format!(
        "GET /{kind}/x HTTP/1.1\r\nHost: a.example\r\nX-Chivelatch-Request-Id: {id}\r\nX-Chivelatch-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let mut head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut reader, &mut head, false)?;
    Ok((head.status(), String::from_utf8_lossy(&head.body).into_owned()))
}
