//! Whether an entry instance keeps to its memory when many users come at once and keep their channels.

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

/// Threads, each of which plays many users.
const THREADS: usize = 52;
/// Machines. The users of each are kept apart by the platform's hash of the client.
const MACHINES: usize = 2;
/// Users of each thread, each with a kept channel: all the time, and while many come at once.
const USERS: [usize; 2] = [40, 60];
/// Time between two requests of a user: four fifths of the idle limit.
const USER_INTERVAL: Duration = Duration::from_secs(12);
const REPLICAS: u8 = 4;
const PLAY: Duration = Duration::from_secs(90);
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// Ends on each of two machines from which the rule is broken.
const ENDS: u32 = 3;
/// Time at which many users come, and within which.
const BURST: [Duration; 2] = [Duration::from_secs(14), Duration::from_secs(4)];

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
    let seen: Arc<Vec<AtomicU64>> =
        Arc::new((0..THREADS * (USERS[0] + USERS[1])).map(|_| AtomicU64::new(0)).collect());
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
            thread::sleep(Duration::from_millis(15));
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
    let mut machines = Vec::new();
    for index in 0..MACHINES {
        let ip = address(10 + index as u8);
        let name = format!("edge-{}", index + 1);
        let seeds = [address(10), address(11)];
        let mut machine = Machine::new(
            &temporary,
            "entry",
            (&name, ip),
            mesh_port,
            (store_address, &seeds),
            None,
            &terms,
        )?;
        machine.start(&root)?;
        if !machine.await_ready(Duration::from_secs(10)) {
            log.line("an entry instance was not ready");
            return Ok(ExitCode::from(2));
        }
        machines.push(machine);
    }
    let sent = Arc::new(AtomicU64::new(0));
    let whole = Arc::new(AtomicU64::new(0));
    // Channels that ended, and those of them whose request a replica had got.
    let failed = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let begin = Instant::now();
    for thread_index in 0..THREADS {
        for (group, users) in USERS.into_iter().enumerate() {
            if group == 1 && !has_trouble() {
                continue;
            }
            let (sent, whole, failed, lost, is_over, seen) = (
                sent.clone(),
                whole.clone(),
                failed.clone(),
                lost.clone(),
                is_over.clone(),
                seen.clone(),
            );
            let front = fronts[thread_index % MACHINES];
            thread::spawn(move || {
                let (opening, spread) =
                    if group == 0 { (Duration::ZERO, USER_INTERVAL) } else { (BURST[0], BURST[1]) };
                let first =
                    thread_index * (USERS[0] + USERS[1]) + if group == 0 { 0 } else { USERS[0] };
                let mut channels: Vec<Option<Channel>> = (0..users).map(|_| None).collect();
                for number in 1.. {
                    for user in 0..users {
                        let share =
                            (user as f64 + thread_index as f64 / THREADS as f64) / users as f64;
                        let at =
                            begin + opening + spread.mul_f64(share) + USER_INTERVAL * (number - 1);
                        thread::sleep(at.saturating_duration_since(Instant::now()));
                        if is_over.load(Ordering::Relaxed) {
                            return;
                        }
                        let (client, number) = (first + user, u64::from(number));
                        sent.fetch_add(1, Ordering::Relaxed);
                        match call(front, client, number, &mut channels[user]) {
                            Ok(()) => _ = whole.fetch_add(1, Ordering::Relaxed),
                            Err(_) => {
                                channels[user] = None;
                                failed.fetch_add(1, Ordering::Relaxed);
                                if number <= seen[client].load(Ordering::Relaxed) {
                                    lost.fetch_add(1, Ordering::Relaxed);
                                }
                            }
                        }
                    }
                }
            });
        }
    }
    let start = Instant::now();
    let mut next_line = start;
    let mut ends = [0; MACHINES];
    let mut restart_at = [None; MACHINES];
    let totals = || {
        format!(
            "{} requests sent, {} answered whole, {} failed, {} of them cut at a replica",
            sent.load(Ordering::Relaxed),
            whole.load(Ordering::Relaxed),
            failed.load(Ordering::Relaxed),
            lost.load(Ordering::Relaxed)
        )
    };
    while start.elapsed() < PLAY && ends.iter().any(|count| *count < ENDS) {
        thread::sleep(Duration::from_millis(50));
        for (index, machine) in machines.iter_mut().enumerate() {
            if restart_at[index].is_some_and(|at| at <= Instant::now()) {
                restart_at[index] = None;
                machine.start(&root)?;
            }
            let memory = machine.memory().unwrap_or(0);
            if ram_mb * 1_000_000 < memory {
                ends[index] += 1;
                restart_at[index] = Some(Instant::now() + RESTART);
                machine.kill();
                log.line(&format!(
                    "{} exceeds its memory ({:.1} MB); the platform kills it, {} times by now",
                    machine.name,
                    memory as f64 / 1e6,
                    ends[index]
                ));
            }
        }
        if next_line <= Instant::now() {
            next_line += Duration::from_secs(5);
            let memory = machines.iter().map(|it| it.memory().unwrap_or(0) as f64 / 1e6);
            let memory: Vec<String> = memory.map(|it| format!("{it:.1}")).collect();
            log.line(&format!(
                "entry instances: {} MB of {ram_mb} MB; {}",
                memory.join(" and "),
                totals()
            ));
        }
    }
    thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::Relaxed);
    machines.clear();
    log.line(&format!("ends of processes by machine: {ends:?}; {}", totals()));
    let _best_effort = std::fs::remove_dir_all(&temporary);
    Ok(ExitCode::from(u8::from(ends.iter().all(|count| ENDS <= *count))))
}

/// Kept channel of a user.
struct Channel {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

/// Sends a request on a user's channel, which is opened if there is none.
fn call(
    front: SocketAddr,
    client: usize,
    number: u64,
    channel: &mut Option<Channel>,
) -> std::io::Result<()> {
    if channel.is_none() {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let reader = BufReader::with_capacity(1024, stream.try_clone()?);
        *channel = Some(Channel { reader, stream });
    }
    let Some(Channel { reader, stream }) = channel else { return Ok(()) };
    let request = format!(
        "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Chivelatch-Request-Id: {client:04x}{number:012x}\r\nX-Chivelatch-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let response = http::read_head(reader)?;
    let mut response = response.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(reader, &mut response, false)
}
