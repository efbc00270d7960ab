//! Whether an entry instance keeps its memory while nobody fetches its metrics.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
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

const CLIENTS: u64 = 24;
/// Kept channels of each client.
const CHANNELS: usize = 88;
const REPLICAS: u8 = 4;
const PLAY: Duration = Duration::from_secs(105);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(root), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let ram_mb: u64 = std::env::var("RAM_MB").ok().and_then(|it| it.parse().ok()).unwrap_or(112);
    match run(root, folder, ram_mb) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(root: PathBuf, folder: PathBuf, ram_mb: u64) -> std::io::Result<ExitCode> {
    let log = Log::start(&folder)?;
    let temporary = std::env::temp_dir().join(format!("stage-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let store_address: SocketAddr = (address(1), free_port(address(1))?).into();
    let store = Store::start(store_address)?;
    store.put(
        "keyed.op",
        "config",
        r#"{"cfg_ver":1,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/read/","type":"idempotent","timeout_ms":1500,"slo_ms":150,"prio":2,"svc":"s1","attempts":2,"public":false,"sticky":false}],"svcs":[{"name":"s1","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"prio":1,"rate_per_s":0,"burst":0}]}"#,
    );
    // Number of the last request of each client that a replica has got.
    let seen: Arc<Vec<AtomicU64>> = Arc::new((0..CLIENTS).map(|_| AtomicU64::new(0)).collect());
    for index in 0..REPLICAS {
        let ip = address(50 + index);
        let listener = TcpListener::bind((ip, 0))?;
        let entry = format!(
            r#"{{"svc":"s1","address":"{}","zone":"z1","cfg_ver":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1,"born":{}}}"#,
            listener.local_addr()?,
            unix_ms()
        );
        let seen = seen.clone();
        http::serve(listener, move |request, stream| {
            let id = request.header("x-chivelatch-request-id").unwrap_or("").to_owned();
            let client = usize::from_str_radix(id.get(..4).unwrap_or(""), 16).unwrap_or(0);
            let number = u64::from_str_radix(id.get(4..).unwrap_or(""), 16).unwrap_or(0);
            seen[client].fetch_max(number, Ordering::Relaxed);
            let headers =
                format!("X-Chivelatch-Request-Id: {id}\r\nX-Chivelatch-Signature: s.{id}\r\n");
            http::respond(stream, "200 OK", &headers, b"ok").map(|()| true)
        });
        let store = store.clone();
        thread::spawn(move || {
            loop {
                store.put("keyed.servers", &format!("i-{index}"), &entry);
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
    let mesh_port = free_port(address(10))?;
    let terms = Terms { ram_mb, grace_s: 8 };
    let mut machine = Machine::new(
        &temporary,
        "entry",
        ("edge-1", address(10)),
        mesh_port,
        (store_address, &[address(10)]),
        None,
        &terms,
    )?;
    // Its log of some gigabytes is not kept.
    machine.log = PathBuf::from("/dev/null");
    machine.start(&root)?;
    if !machine.await_ready(Duration::from_secs(10)) {
        log.line("the entry instance was not ready");
        return Ok(ExitCode::from(2));
    }
    let sent = Arc::new(AtomicU64::new(0));
    let whole = Arc::new(AtomicU64::new(0));
    // Channels that ended, and those of them whose request a replica had got.
    let failed = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let front = machine.front;
    for client in 0..CLIENTS {
        let (sent, whole, failed, lost, is_over, seen) = (
            sent.clone(),
            whole.clone(),
            failed.clone(),
            lost.clone(),
            is_over.clone(),
            seen.clone(),
        );
        thread::spawn(move || {
            let mut number = 0u64;
            while !is_over.load(Ordering::Relaxed) {
                let mut awaited = None;
                let counts = (&*sent, &*whole);
                let outcome =
                    call_repeatedly(front, client, &mut number, &mut awaited, counts, &is_over);
                if outcome.is_ok() {
                    break;
                }
                failed.fetch_add(1, Ordering::Relaxed);
                let last_seen = seen[client as usize].load(Ordering::Relaxed);
                if awaited.is_some_and(|awaited| awaited <= last_seen) {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
    let fetches = !has_trouble();
    let start = Instant::now();
    let mut next_line = start;
    let mut next_fetch = start;
    let mut is_broken = false;
    while start.elapsed() < PLAY {
        thread::sleep(Duration::from_millis(100));
        let memory = machine.memory().unwrap_or(0);
        if next_line <= Instant::now() {
            next_line += Duration::from_secs(5);
            log.line(&format!(
                "entry instance: {:.1} MB of {ram_mb} MB; {} requests sent, {} answered whole, {} channels failed",
                memory as f64 / 1e6,
                sent.load(Ordering::Relaxed),
                whole.load(Ordering::Relaxed),
                failed.load(Ordering::Relaxed)
            ));
        }
        if fetches && next_fetch <= Instant::now() {
            next_fetch += Duration::from_secs(5);
            let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let _page = http::exchange(machine.metrics, request, Duration::from_secs(2));
        }
        if ram_mb * 1_000_000 < memory {
            log.line(&format!(
                "the entry instance exceeds its memory after {} requests; the platform kills it",
                whole.load(Ordering::Relaxed)
            ));
            machine.kill();
            is_broken = true;
            break;
        }
        if machine.has_ended() {
            log.line("the entry instance has ended by itself");
            is_broken = true;
            break;
        }
    }
    thread::sleep(Duration::from_millis(200));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1000));
    machine.kill();
    let lost = lost.load(Ordering::Relaxed);
    log.line(&format!(
        "{} requests sent, {} answered whole, {} channels failed, {lost} of them with a request that a replica had got",
        sent.load(Ordering::Relaxed),
        whole.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    let _best_effort = std::fs::remove_dir_all(&temporary);
    Ok(ExitCode::from(u8::from(is_broken && 3 < lost)))
}

/// Sends requests one after the other, on one kept channel after the other. `awaited` is the number of the
/// request that has no answer yet.
fn call_repeatedly(
    front: SocketAddr,
    client: u64,
    number: &mut u64,
    awaited: &mut Option<u64>,
    (sent, whole): (&AtomicU64, &AtomicU64),
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut channels = Vec::new();
    for _ in 0..CHANNELS {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        channels.push((BufReader::with_capacity(1024, stream.try_clone()?), stream));
        thread::sleep(Duration::from_millis(20));
    }
    while !is_over.load(Ordering::Relaxed) {
        *number += 1;
        let index = *number as usize % channels.len();
        let (reader, stream) = &mut channels[index];
        let request = format!(
            "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Chivelatch-Request-Id: {client:04x}{number:012x}\r\nX-Chivelatch-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n\r\n"
        );
        sent.fetch_add(1, Ordering::Relaxed);
        *awaited = Some(*number);
        stream.write_all(request.as_bytes())?;
        let response = http::read_head(reader)?;
        let mut response = response.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        http::read_body(reader, &mut response, false)?;
        *awaited = None;
        if response.status() == 200 {
            whole.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}
