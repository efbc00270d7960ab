//! Whether a planned stop answers all requests that the entry instance has read.

use std::{
    collections::HashMap,
    io::{BufReader, ErrorKind, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::ExitCode,
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

const GRACE_S: u64 = 8;
const ENTRIES: u8 = 3;
const REPLICAS: u8 = 4;
/// Requests a second from all clients, at first.
const FIRST_RATE: f64 = 600.0;
/// Lowest and highest rate to which it is changed, so that the allowance is used up on machines of any speed.
const RATES: [f64; 2] = [60.0, 2500.0];
/// Share of the tenths of a second in which the allowance is to be used up.
const BUSY_SHARES: [f64; 2] = [0.8, 0.97];
/// Threads that send them.
const SENDERS: usize = 150;
/// Time that a client waits.
const DEADLINE_MS: u64 = 600;
/// Size of a request's body, in bytes.
const BODY_BYTES: usize = 4700;

/// What the platform's load balancer knows of a machine.
#[derive(Clone, Default)]
struct Node {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    misses: u32,
    in_rotation: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(root), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    match run(root, folder) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(root: PathBuf, folder: PathBuf) -> std::io::Result<ExitCode> {
    let play: u64 = std::env::var("PLAY").ok().and_then(|x| x.parse().ok()).unwrap_or(80);
    let quota: u64 = std::env::var("QUOTA").ok().and_then(|x| x.parse().ok()).unwrap_or(63);
    let log = Arc::new(Log::start(&folder)?);
    let temporary = std::env::temp_dir().join(format!("stage-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let store_address: SocketAddr = (address(1), free_port(address(1))?).into();
    let store = Store::start(store_address)?;
    store.put(
        "keyed.op",
        "config",
        r#"{"cfg_ver":1,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/publish/","type":"non_idempotent","timeout_ms":600,"slo_ms":100,"prio":2,"svc":"s1","attempts":1,"public":false,"sticky":false}],"svcs":[{"name":"s1","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"prio":1,"rate_per_s":0,"burst":0}]}"#,
    );
    // Requests that a replica has run, with the work's end.
    let runs: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let start = Instant::now();
    for index in 0..REPLICAS {
        let listener = TcpListener::bind((address(50 + index), 0))?;
        let entry = format!(
            r#"{{"svc":"s1","address":"{}","zone":"z1","cfg_ver":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1,"born":{}}}"#,
            listener.local_addr()?,
            unix_ms()
        );
        let runs = runs.clone();
        http::serve(listener, move |request, stream| {
            let id = request.header("x-chivelatch-request-id").unwrap_or("").to_owned();
            runs.lock().unwrap().insert(id.clone(), start.elapsed().as_secs_f64());
            // 15 ms, and now and then five times as much.
            let draw = u64::from_str_radix(&id[id.len() - 4..], 16).unwrap_or(0);
            let work = 8 + draw % 15 + if draw % 100 == 0 { 60 } else { 0 };
            thread::sleep(Duration::from_millis(work));
            let headers =
                format!("X-Chivelatch-Request-Id: {id}\r\nX-Chivelatch-Signature: s.{id}\r\n");
            http::respond(stream, "200 OK", &headers, b"published").map(|()| true)
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
    let terms = Terms { ram_mb: 112, grace_s: GRACE_S };
    let seeds: Vec<_> = (0..ENTRIES).map(|index| address(10 + index)).collect();
    let mut machines = Vec::new();
    let nodes: Arc<Mutex<Vec<Node>>> = Arc::default();
    let pids: Arc<Vec<AtomicU64>> = Arc::new((0..ENTRIES).map(|_| AtomicU64::new(0)).collect());
    for index in 0..ENTRIES {
        let name = format!("edge-{}", index + 1);
        let mut machine = Machine::new(
            &temporary,
            "entry",
            (&name, address(10 + index)),
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
        pids[index as usize].store(machine.pid().into(), Ordering::Relaxed);
        nodes.lock().unwrap().push(Node {
            front: Some(machine.front),
            ready: Some(machine.ready),
            misses: 0,
            in_rotation: true,
        });
        machines.push(machine);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    // The platform's health checks.
    for index in 0..usize::from(ENTRIES) {
        let (nodes, is_over) = (nodes.clone(), is_over.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(330 * index as u64));
            let mut next = Instant::now();
            while !is_over.load(Ordering::Relaxed) {
                let ready = nodes.lock().unwrap()[index].ready.unwrap();
                let request =
                    b"GET /chivelatch/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                let response = http::exchange(ready, request, Duration::from_millis(900));
                let is_ready = response.is_ok_and(|response| response.status() == 200);
                {
                    let node = &mut nodes.lock().unwrap()[index];
                    node.misses = if is_ready { 0 } else { node.misses + 1 };
                    node.in_rotation = is_ready || node.in_rotation && node.misses < 2;
                }
                next += Duration::from_secs(1);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }
    // The processor's allowance: full speed until it is used up, then nothing for the rest of that tenth
    // of a second.
    let throttled = Arc::new(AtomicU64::new(0));
    for index in 0..usize::from(ENTRIES) {
        let (pids, is_over, throttled) = (pids.clone(), is_over.clone(), throttled.clone());
        let allowance = Duration::from_micros(100 * quota);
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let window_end = Instant::now() + Duration::from_millis(100);
                let pid = pids[index].load(Ordering::Relaxed) as i32;
                let used_before = processor_time(pid);
                while Instant::now() < window_end {
                    if allowance <= processor_time(pid).saturating_sub(used_before) {
                        throttled.fetch_add(1, Ordering::Relaxed);
                        send_signal(pid, SIGSTOP);
                        thread::sleep(window_end.saturating_duration_since(Instant::now()));
                        send_signal(pid, SIGCONT);
                        break;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            }
        });
    }
    let rate = Arc::new(Mutex::new(FIRST_RATE));
    {
        let (rate, throttled, is_over, log) =
            (rate.clone(), throttled.clone(), is_over.clone(), log.clone());
        thread::spawn(move || {
            let mut before = 0;
            for second in 1u64.. {
                thread::sleep(Duration::from_secs(1));
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let now = throttled.load(Ordering::Relaxed);
                let share = (now - before) as f64 / (10 * u64::from(ENTRIES)) as f64;
                before = now;
                let mut rate = rate.lock().unwrap();
                if share < BUSY_SHARES[0] {
                    *rate = (*rate * 1.05).min(RATES[1]);
                } else if BUSY_SHARES[1] < share {
                    *rate = (*rate * 0.97).max(RATES[0]);
                }
                if second % 10 == 0 {
                    log.line(&format!("{:.0} requests a second; the allowance was used up in {share:.2} of the last one", *rate));
                }
            }
        });
    }
    // Clients, each request on a new channel.
    let counts: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let stops: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    {
        let (nodes, is_over, counts, lost, log, runs, stops) = (
            nodes.clone(),
            is_over.clone(),
            counts.clone(),
            lost.clone(),
            log.clone(),
            runs.clone(),
            stops.clone(),
        );
        let number = Arc::new(AtomicU64::new(0));
        let next = Arc::new(Mutex::new(Instant::now()));
        for _ in 0..SENDERS {
            let (nodes, is_over, counts, lost, log, runs, stops, number) = (
                nodes.clone(),
                is_over.clone(),
                counts.clone(),
                lost.clone(),
                log.clone(),
                runs.clone(),
                stops.clone(),
                number.clone(),
            );
            let (next, rate) = (next.clone(), rate.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let at = {
                        let mut next = next.lock().unwrap();
                        let at = (*next).max(Instant::now() - Duration::from_millis(50));
                        *next = at + Duration::from_secs_f64(1.0 / *rate.lock().unwrap());
                        at
                    };
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let draw = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
                    let (index, front) = choose(&nodes.lock().unwrap(), draw >> 33);
                    let id = format!("{:012x}{:04x}", number, draw >> 48);
                    let sent_at = Instant::now();
                    let (is_sent, outcome) = call(front, &id);
                    let took = sent_at.elapsed();
                    let outcome_name = match &outcome {
                        Ok(status) => status.to_string(),
                        Err(error) => format!(
                            "{:?}, {}",
                            error.kind(),
                            if is_sent { "sent" } else { "not sent" }
                        ),
                    };
                    *counts.lock().unwrap().entry(outcome_name.clone()).or_default() += 1;
                    let is_cut = outcome.as_ref().is_err_and(|error| {
                        !matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
                    });
                    if !is_sent || !is_cut {
                        continue;
                    }
                    thread::sleep(Duration::from_millis(300));
                    let has_run = runs.lock().unwrap().contains_key(&id);
                    let stop = stops
                        .lock()
                        .unwrap()
                        .iter()
                        .rev()
                        .find(|(at, _)| *at == index)
                        .map(|(_, at)| *at);
                    let after = stop.map(|at| sent_at.saturating_duration_since(at).as_secs_f64());
                    log.line(&format!(
                        "{id} at edge-{}: {outcome_name} after {:.3} s, run by a replica: {has_run}, sent {after:?} s after the latest SIGTERM there",
                        index + 1, took.as_secs_f64()
                    ));
                    // The bound of the rule: 1 s after `grace_s`.
                    if has_run && after.is_some_and(|after| after < GRACE_S as f64 + 1.0) {
                        lost.lock().unwrap().push(id);
                    }
                }
            });
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut stop_count = 0;
    let mut round = 0;
    while start.elapsed() < Duration::from_secs(play - 10) {
        if !has_trouble() {
            thread::sleep(Duration::from_secs(1));
            continue;
        }
        // Two of the three machines of the zone in turn, each of which starts again once it has ended.
        let pair = [round % usize::from(ENTRIES), (round + 1) % usize::from(ENTRIES)];
        let mut restarted = [false; 2];
        for step in 0..400 {
            if step % 50 == 0 && step < 100 {
                let index = pair[step / 50];
                machines[index].signal("TERM");
                stops.lock().unwrap().push((index, Instant::now()));
                log.line(&format!("SIGTERM to edge-{}", index + 1));
                stop_count += 1;
            }
            for (position, index) in pair.into_iter().enumerate() {
                let is_stopping = step > 50 * position;
                if is_stopping && !restarted[position] && machines[index].has_ended() {
                    pids[index].store(0, Ordering::Relaxed);
                    machines[index].kill();
                    machines[index].start(&root)?;
                    pids[index].store(machines[index].pid().into(), Ordering::Relaxed);
                    restarted[position] = true;
                }
            }
            if restarted == [true; 2] {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(1500));
        round += 2;
    }
    log.line(&format!(
        "{stop_count} planned stops; the allowance was used up in {} tenths of a second",
        throttled.load(Ordering::Relaxed)
    ));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    machines.clear();
    let mut counts: Vec<_> = counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    log.line(&format!("answers: {counts:?}; runs: {}", runs.lock().unwrap().len()));
    let lost = lost.lock().unwrap();
    log.line(&format!(
        "{} requests were read and run, and their channels ended without an answer",
        lost.len()
    ));
    let _best_effort = std::fs::remove_dir_all(&temporary);
    Ok(ExitCode::from(u8::from(!lost.is_empty())))
}

/// Chooses a machine as the platform does: those in rotation, or all if fewer than half are.
fn choose(nodes: &[Node], draw: u64) -> (usize, SocketAddr) {
    let in_rotation: Vec<usize> = (0..nodes.len()).filter(|at| nodes[*at].in_rotation).collect();
    let usable =
        if in_rotation.len() * 2 < nodes.len() { (0..nodes.len()).collect() } else { in_rotation };
    let index = usable[draw as usize % usable.len()];
    (index, nodes[index].front.unwrap())
}

/// Sends a request on a channel of its own. Returns whether it was sent, and the status.
fn call(front: SocketAddr, id: &str) -> (bool, std::io::Result<u16>) {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
    let mut stream = match stream {
        Ok(stream) => stream,
        Err(error) => return (false, Err(error)),
    };
    let request = format!(
        "POST /publish/x HTTP/1.1\r\nHost: a.example\r\nX-Chivelatch-Request-Id: {id}\r\nX-Chivelatch-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token k1\r\nContent-Length: {BODY_BYTES}\r\n\r\n{}",
        "x".repeat(BODY_BYTES)
    );
    let _nodelay = stream.set_nodelay(true);
    let _limit = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return (false, Err(error));
    }
    let mut reader = BufReader::new(stream);
    let response = http::read_head(&mut reader).and_then(|head| {
        let mut head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        http::read_body(&mut reader, &mut head, false)?;
        Ok(head.status())
    });
    (true, response)
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Returns the processor time of all threads of a process.
fn processor_time(pid: i32) -> Duration {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return Duration::ZERO };
    let used = threads.flatten().filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(used.sum())
}

fn send_signal(pid: i32, signal: i32) {
    if 0 < pid {
        unsafe { kill(pid, signal) };
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
