//! Stand-in for a replica of a model, after the users' pages: it runs `slots` requests at once, queues a few more
//! and turns others away; running requests share its memory, and when that runs out, the newest of the
//! least urgent requests is preempted, even in the middle of its stream, and is read anew later.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    record::Record,
    store::Store,
    wire::{Connection, Head},
};

/// Time between two events of a running stream.
pub const STEP: Duration = Duration::from_millis(100);
/// Tokens of an event.
pub const EVENT_TOKENS: u64 = 20;
/// Prompt tokens that are read in a millisecond.
const READ_TOKENS_PER_MS: u64 = 19;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time in which an adapter is loaded.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
pub const MODEL: &str = "m0";

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub memory: u64,
    born: u64,
    record: Record,
    runs: Arc<Mutex<Runs>>,
    sizes: Sizes,
    adapters: Arc<Mutex<Adapters>>,
    is_draining: Arc<AtomicBool>,
}

/// What a replica holds at most, and the sizes of its model and of an adapter, in MB.
#[derive(Clone, Copy)]
pub struct Sizes {
    pub size_mb: u64,
    pub model_mb: u64,
    pub lora_mb: u64,
    pub lora_slots: usize,
}

/// Sizes of the site brunnen-ch.
pub const SITE_SIZES: Sizes =
    Sizes { size_mb: 74_600, model_mb: 72_700, lora_mb: 66, lora_slots: 6 };

#[derive(Default)]
struct Adapters {
    held: Vec<String>,
    /// Adapters that are being loaded, with the end of that.
    pending: Vec<(String, Instant)>,
    orders: u64,
    /// The order that was for more than the replica holds.
    excess: Option<String>,
}

#[derive(Default)]
struct Runs {
    next: u64,
    runs: Vec<Run>,
    done: Vec<Done>,
}

struct Run {
    number: u64,
    request: String,
    urgency: u64,
    prompt: u64,
    /// Events made, and how many there will be.
    made: u64,
    total: u64,
    /// Time from which it makes events; `None` while it waits in the queue.
    ready_at: Option<Instant>,
    was_preempted: bool,
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct Done {
    pub request: String,
    pub was_preempted: bool,
    /// Whether its connection was closed by the other side while the run was not at its end.
    pub was_left: bool,
}

impl Run {
    fn tokens(&self) -> u64 {
        self.prompt + self.made * EVENT_TOKENS
    }
}

impl Engine {
    pub fn start(
        (id, version): (&str, &str),
        address: SocketAddr,
        (slots, queue, memory): (usize, usize, u64),
        sizes: Sizes,
        store: &Store,
        record: &Record,
    ) -> io::Result<Engine> {
        let listener = TcpListener::bind(address)?;
        let born =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let engine = Engine {
            id: id.to_owned(),
            address,
            version: version.to_owned(),
            zone: "a".to_owned(),
            slots,
            queue,
            memory,
            born,
            record: record.clone(),
            runs: Arc::default(),
            sizes,
            adapters: Arc::default(),
            is_draining: Arc::default(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.excess().is_some() {
                    // A replica that has crashed takes nothing.
                    return;
                }
                let engine = shared.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        let shared = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                shared.step();
            }
        });
        let (shared, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            for seq in 1.. {
                if shared.excess().is_some() {
                    return;
                }
                store.put("keyed.servers", &shared.id, shared.entry(seq));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// Reports that the replica drains; it goes on with what it has.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        store.put("keyed.servers", &self.id, self.entry(1000));
        self.log("reports that it is draining".to_owned());
    }

    fn entry(&self, seq: u64) -> String {
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            r#"{{"svc":"answers","address":"{}","zone":"{}","cfg_ver":"{}","slots":{},"state":"{}","cold_left_ms":0,"stage":"mixed","models":[{{"name":"{MODEL}","cfg_ver":1,"loras":[]}}],"seq":{seq},"born":{}}}"#,
            self.address, self.zone, self.version, self.slots, state, self.born
        )
    }

    /// Returns the runs that have ended.
    pub fn done(&self) -> Vec<Done> {
        self.runs.lock().unwrap().done.clone()
    }

    fn log(&self, text: String) {
        self.record.line(format!("replica {}: {text}", self.id));
    }

    /// Makes the next event of each running request; preempts if the memory has run out, and begins what waits.
    fn step(&self) {
        let now = Instant::now();
        let mut state = self.runs.lock().unwrap();
        for run in &mut state.runs {
            if run.made < run.total && run.ready_at.is_some_and(|at| at <= now) {
                run.made += 1;
            }
        }
        loop {
            let used: u64 =
                state.runs.iter().filter(|it| it.ready_at.is_some()).map(Run::tokens).sum();
            let running = state.runs.iter().filter(|it| it.ready_at.is_some()).count();
            if used <= self.memory || running < 2 {
                break;
            }
            let running = state.runs.iter_mut().filter(|it| it.ready_at.is_some());
            let Some(newest) = running.max_by_key(|it| (it.urgency, it.number)) else { break };
            (newest.ready_at, newest.was_preempted) = (None, true);
            let text = format!(
                "memory has run out ({used} of {} tokens); {} is preempted after event {}",
                self.memory, newest.request, newest.made
            );
            self.log(text);
        }
        self.begin_waiting(&mut state);
    }

    fn begin_waiting(&self, state: &mut Runs) {
        loop {
            let used: u64 =
                state.runs.iter().filter(|it| it.ready_at.is_some()).map(Run::tokens).sum();
            let running = state.runs.iter().filter(|it| it.ready_at.is_some()).count();
            let waiting = state.runs.iter_mut().filter(|it| it.ready_at.is_none());
            // First in, first out; a preempted one is the oldest of those that wait.
            let Some(next) = waiting.min_by_key(|it| it.number) else { return };
            if self.slots <= running || self.memory < used + next.tokens() {
                return;
            }
            let reading = Duration::from_millis(next.tokens() / READ_TOKENS_PER_MS);
            next.ready_at = Some(Instant::now() + reading);
            let text = format!(
                "{} {} at event {}",
                next.request,
                if next.was_preempted { "goes on" } else { "begins" },
                next.made
            );
            self.log(text);
        }
    }

    fn serve(&self, mut connection: Connection) -> Option<()> {
        loop {
            let head = connection.read_head().ok()?;
            let body = connection.read_body(&head).ok()?;
            if self.excess().is_some() {
                return None;
            }
            let path = head.path().split('?').next()?;
            let page = match path {
                "/chivelatch/report" => Some(self.report()),
                "/healthz" => Some("ok".to_owned()),
                "/chivelatch/order" => {
                    let status = self.order(&String::from_utf8_lossy(&body));
                    if self.excess().is_some() {
                        return None;
                    }
                    let text = format!(
                        "HTTP/1.1 {status}\r\nX-Chivelatch-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    );
                    connection.write(&text).ok()?;
                    continue;
                }
                _ => None,
            };
            if let Some(page) = page {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Chivelatch-Replica-Id: {}\r\nContent-Length: {}\r\n\r\n{page}",
                    self.id,
                    page.len()
                );
                connection.write(&text).ok()?;
                continue;
            }
            self.answer(&mut connection, &head)?;
        }
    }

    /// Returns the order that has crashed the replica, if one has.
    pub fn excess(&self) -> Option<String> {
        self.adapters.lock().unwrap().excess.clone()
    }

    /// Carries an order out, or turns it away; crashes if it is to load more than the replica holds.
    fn order(&self, body: &str) -> &'static str {
        let text = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            let value = rest.split([',', '}']).next()?;
            Some(value.trim_matches('"').to_owned())
        };
        let (Some(op), Some(lora), Some(_), Some(_)) =
            (text("op"), text("lora"), text("holder"), text("fence"))
        else {
            return "400 Bad Request";
        };
        let mut state = self.adapters.lock().unwrap();
        let is_stale = text("expect").is_some_and(|expect| expect != state.orders.to_string());
        let now = Instant::now();
        if is_stale {
            return "409 Conflict";
        }
        if op == "unload" {
            state.orders += 1;
            state.held.retain(|held| *held != lora);
            self.log(format!("is ordered to unload {lora}; holds {:?}", state.held));
            return "200 OK";
        }
        if state.held.contains(&lora) || state.pending.iter().any(|(pending, _)| *pending == lora) {
            return "200 OK";
        }
        state.orders += 1;
        state.pending.push((lora.clone(), now + ADAPTER_LOAD));
        let count = state.held.len() + state.pending.len();
        let Sizes { size_mb, model_mb, lora_mb, lora_slots } = self.sizes;
        let sum = model_mb + lora_mb * count as u64;
        self.log(format!(
            "is ordered to load {lora}: {count} adapters of {lora_slots}, {model_mb} + {count} x {lora_mb} = {sum} MB of {size_mb}"
        ));
        if size_mb < sum || lora_slots < count {
            self.log("CRASHES: it was ordered to load more than it holds".to_owned());
            state.excess = Some(body.to_owned());
        }
        "202 Accepted"
    }

    /// Returns the adapters that are held and those that are being loaded.
    fn adapters(&self) -> (Vec<String>, Vec<String>) {
        let mut state = self.adapters.lock().unwrap();
        let now = Instant::now();
        let (loaded, pending) =
            std::mem::take(&mut state.pending).into_iter().partition(|(_, end)| *end <= now);
        state.pending = pending;
        let loaded: Vec<(String, Instant)> = loaded;
        state.held.extend(loaded.into_iter().map(|(lora, _)| lora));
        (state.held.clone(), state.pending.iter().map(|(lora, _)| lora.clone()).collect())
    }

    fn report(&self) -> String {
        let (held, pending) = self.adapters();
        let held: Vec<String> = held.iter().map(|lora| format!("\"{lora}@1\"")).collect();
        let pending: Vec<String> =
            pending.iter().map(|lora| format!("\"{MODEL}/{lora}@1\"")).collect();
        let (held, pending) = (held.join(","), pending.join(","));
        let orders = self.adapters.lock().unwrap().orders;
        let state = self.runs.lock().unwrap();
        let active: Vec<&Run> = state.runs.iter().filter(|it| it.ready_at.is_some()).collect();
        let used: u64 = active.iter().map(|it| it.tokens()).sum();
        format!(
            r#"{{"stage":"mixed","models":[{{"name":"{MODEL}","cfg_ver":1,"loras":[{held}]}}],"pending":[{pending}],"busy":false,"seq":{orders},"queued":{},"active":{},"kv_used":{used},"kv_total":{},"handles":0,"born":{},"state":"ready"}}"#,
            state.runs.len() - active.len(),
            active.len(),
            self.memory,
            self.born
        )
    }

    /// Answers a request with a stream, or turns it away.
    fn answer(&self, connection: &mut Connection, head: &Head) -> Option<()> {
        let request = head.get("x-chivelatch-request-id").to_owned();
        let lora = head.get("x-chivelatch-model").split_once('/').map(|(_, lora)| lora.to_owned());
        let is_missing = lora.is_some_and(|lora| !self.adapters().0.contains(&lora));
        if is_missing || head.get("x-chivelatch-expect-replica") != self.id {
            return connection
                .write(&format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Chivelatch-Replica-Id: {}\r\nX-Chivelatch-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                ))
                .ok();
        }
        let (prompt, output) = head.get("x-chivelatch-token-count").split_once(',')?;
        let (prompt, output): (u64, u64) = (prompt.parse().ok()?, output.parse().ok()?);
        let made = head.get("last-event-id").parse().unwrap_or(0);
        let deadline = Instant::now()
            + Duration::from_millis(head.get("x-chivelatch-deadline-ms").parse().unwrap_or(30_000));
        let number = {
            let mut state = self.runs.lock().unwrap();
            let waiting = state.runs.iter().filter(|it| it.ready_at.is_none()).count();
            let running = state.runs.len() - waiting;
            if self.queue <= waiting {
                let text = format!(
                    "{request} arrives (last event {made}); {running} run and {waiting} wait: turned away as full"
                );
                drop(state);
                self.log(text);
                return connection
                    .write(&format!(
                        "HTTP/1.1 503 Service Unavailable\r\nX-Chivelatch-Not-Executed: 1\r\nX-Chivelatch-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n"
                    ))
                    .ok();
            }
            state.next += 1;
            let number = state.next;
            state.runs.push(Run {
                number,
                request: request.clone(),
                urgency: head.get("x-chivelatch-request-priority").parse().unwrap_or(5),
                prompt,
                made,
                total: output / EVENT_TOKENS,
                ready_at: None,
                was_preempted: false,
            });
            self.log(format!(
                "{request} arrives as run {number} (last event {made}, priority {})",
                head.get("x-chivelatch-request-priority")
            ));
            self.begin_waiting(&mut state);
            number
        };
        let outcome = self.stream(connection, number, &request, made, deadline);
        let mut state = self.runs.lock().unwrap();
        if let Some(index) = state.runs.iter().position(|it| it.number == number) {
            let run = state.runs.remove(index);
            let was_left = outcome.is_none();
            let how = match (was_left, run.made == run.total) {
                (true, _) => "its connection was closed by the other side",
                (false, true) => "complete",
                (false, false) if self.excess().is_some() => "the replica has crashed",
                (false, false) => "its deadline has passed",
            };
            self.log(format!(
                "run {number} of {request} ends after event {} of {}: {how}",
                run.made, run.total
            ));
            state.done.push(Done {
                request: run.request,
                was_preempted: run.was_preempted,
                was_left,
            });
        }
        self.begin_waiting(&mut state);
        outcome.filter(|is_complete| *is_complete).map(|_| ())
    }

    /// Sends the events of a run as they are made. Returns whether it is complete, or `None` if the other
    /// side closed the connection before.
    fn stream(
        &self,
        connection: &mut Connection,
        number: u64,
        request: &str,
        from: u64,
        deadline: Instant,
    ) -> Option<bool> {
        let mut sent = from;
        let mut has_begun = false;
        loop {
            let (made, total) = {
                let state = self.runs.lock().unwrap();
                let run = state.runs.iter().find(|it| it.number == number)?;
                (run.made, run.total)
            };
            if !has_begun && sent < made {
                has_begun = true;
                connection
                    .write(&format!(
                        "HTTP/1.1 200 OK\r\nX-Chivelatch-Request-Id: {request}\r\nX-Chivelatch-Replica-Id: {}\r\nX-Chivelatch-Signature: sig.{}.{request}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                        self.id, self.id
                    ))
                    .ok()?;
            }
            while sent < made {
                sent += 1;
                let event = format!("id: {sent}\ndata: {request} piece {sent}\n\n");
                connection.write(&format!("{:x}\r\n{event}\r\n", event.len())).ok()?;
            }
            if sent == total {
                return connection.write("0\r\n\r\n").ok().map(|()| true);
            }
            if connection.is_closed() {
                return None;
            }
            if self.excess().is_some() {
                return Some(false);
            }
            if deadline < Instant::now() {
                return Some(false);
            }
            thread::sleep(Duration::from_millis(4));
        }
    }
}
