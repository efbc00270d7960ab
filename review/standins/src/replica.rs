//! Replicas of a service: plain ones and model engines.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Silence after which the store removes a replica's entry.
const LAPSE: Duration = Duration::from_millis(3600);
/// Speed of a machine's link: 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;
/// Bytes that are written at once to a link.
const LINK_STEP: usize = 128 * 1024;
/// Path prefix of streams; all other paths of clients are plain requests.
pub const STREAM_PREFIX: &str = "/answer/";

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub at: Instant,
}

/// What a replica is, and how it behaves.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Loaded base model of a model engine.
    pub model: Option<String>,
    pub events: u64,
    pub event_pause: Duration,
    pub work: Duration,
}

/// Runs and extra answers of all replicas.
#[derive(Clone)]
pub struct Log {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub extras: Arc<AtomicUsize>,
    pub record: Record,
}

#[derive(Clone)]
pub struct Replica {
    pub spec: Spec,
    store: Store,
    log: Log,
    state: Arc<Mutex<State>>,
    /// Number of the process; requests of an earlier one end.
    process: Arc<AtomicU64>,
    answers: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    /// Every how many answers an extra refusal follows; 0 for a sound replica.
    pub extra_refusal_each: Arc<AtomicUsize>,
    /// Size of the chunks of an endless body, in place of part of the answers about the engine's state; 0
    /// for a sound engine.
    pub endless_chunk: Arc<AtomicUsize>,
    pub endless_bytes: Arc<AtomicU64>,
    reports: Arc<AtomicUsize>,
    link_free_at: Arc<Mutex<Option<Instant>>>,
}

struct State {
    version: String,
    born: u64,
    beats: u64,
    connections: Vec<TcpStream>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl Log {
    pub fn new(record: &Record) -> Log {
        Log { runs: Arc::default(), extras: Arc::default(), record: record.clone() }
    }
}

impl Replica {
    /// Starts a replica, whose first entry in the store is written at once.
    pub fn start(spec: Spec, version: &str, store: &Store, log: &Log) -> Replica {
        let state = State { version: version.into(), born: 0, beats: 0, connections: Vec::new() };
        let replica = Replica {
            spec,
            store: store.clone(),
            log: log.clone(),
            state: Arc::new(Mutex::new(state)),
            process: Arc::default(),
            answers: Arc::default(),
            is_leaving: Arc::default(),
            extra_refusal_each: Arc::default(),
            endless_chunk: Arc::default(),
            endless_bytes: Arc::default(),
            reports: Arc::default(),
            link_free_at: Arc::default(),
        };
        replica.start_process(version, Duration::ZERO);
        replica
    }

    /// Starts the replica's process, under the same id and address. Its first entry is written after
    /// `first_beat`.
    pub fn start_process(&self, version: &str, first_beat: Duration) {
        let listener = loop {
            match TcpListener::bind(self.spec.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        let process = self.process.fetch_add(1, Ordering::SeqCst) + 1;
        {
            let mut state = self.state.lock().unwrap();
            state.version = version.to_owned();
            state.born = unix_ms();
        }
        self.log.record.line(format!("replica {} starts, software {version}", self.spec.id));
        let replica = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !replica.is_running(process) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(copy) = stream.try_clone() else { continue };
                replica.state.lock().unwrap().connections.push(copy);
                let replica = replica.clone();
                thread::spawn(move || {
                    let _ended = replica.serve(stream, process);
                });
            }
        });
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(first_beat);
            while replica.is_running(process) && !replica.is_leaving.load(Ordering::SeqCst) {
                replica.beat();
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the replica's process; its entry lapses unless it starts again in time.
    pub fn crash(&self) {
        let process = self.process.fetch_add(1, Ordering::SeqCst) + 1;
        self.log.record.line(format!("replica {} crashes", self.spec.id));
        // Unblocks the listener, which then closes.
        let _unblocked = TcpStream::connect_timeout(&self.spec.address, Duration::from_millis(50));
        for connection in self.state.lock().unwrap().connections.drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE);
            if replica.is_running(process) {
                replica.store.append("keyed.servers", &replica.spec.id, "");
            }
        });
    }

    /// Removes the replica's entry; it goes on serving until it exits.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        // No heartbeat is under way any more.
        let _beats = self.state.lock().unwrap();
        self.store.append("keyed.servers", &self.spec.id, "");
        self.log.record.line(format!("the store removes the entry of {}", self.spec.id));
    }

    fn is_running(&self, process: u64) -> bool {
        self.process.load(Ordering::SeqCst) == process
    }

    fn version(&self) -> String {
        self.state.lock().unwrap().version.clone()
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if self.is_leaving.load(Ordering::SeqCst) {
            return;
        }
        state.beats += 1;
        let Spec { id, service, address, zone, slots, model, .. } = &self.spec;
        let models = self.models(model);
        let (version, born, beats) = (&state.version, state.born, state.beats);
        let entry = format!(
            r#"{{"svc":"{service}","address":"{address}","zone":"{zone}","cfg_ver":"{version}","slots":{slots},"state":"ready","cold_left_ms":0,"stage":"mixed","models":{models},"seq":{beats},"born":{born}}}"#
        );
        self.store.append("keyed.servers", id, &entry);
    }

    fn models(&self, model: &Option<String>) -> String {
        let models = model.iter().map(|it| format!(r#"{{"name":"{it}","cfg_ver":1,"loras":[]}}"#));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn serve(&self, stream: TcpStream, process: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut owes_extra = false;
        while let Some(request) = http::read_request(&mut reader)? {
            if !self.is_running(process) {
                return Ok(());
            }
            match request.path() {
                "/chivelatch/report" => self.report(&mut writer)?,
                "/chivelatch/order" => {
                    self.log.record.line(format!(
                        "replica {} gets order {}",
                        self.spec.id,
                        String::from_utf8_lossy(&request.body)
                    ));
                    http::respond(&mut writer, "200 OK", &[], b"{}")?;
                }
                "/healthz" => {
                    let id = [("X-Chivelatch-Replica-Id", &*self.spec.id)];
                    http::respond(&mut writer, "200 OK", &id, b"")?;
                }
                _ => {
                    if std::mem::take(&mut owes_extra) {
                        self.write_extra_refusal(&request, &mut writer)?;
                    }
                    owes_extra = self.run(&request, &mut writer, process)?;
                }
            }
        }
        Ok(())
    }

    fn report(&self, writer: &mut TcpStream) -> io::Result<()> {
        let chunk = self.endless_chunk.load(Ordering::Relaxed);
        let number = self.reports.fetch_add(1, Ordering::Relaxed);
        if 0 < chunk && matches!(number % 9, 0 | 2 | 4 | 6) {
            return self.write_without_end(writer, chunk);
        }
        let born = self.state.lock().unwrap().born;
        let body = format!(
            r#"{{"stage":"mixed","models":{},"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":90000,"handles":0,"born":{born}}}"#,
            self.models(&self.spec.model)
        );
        http::respond(writer, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    /// Writes a body in chunks until the caller closes.
    fn write_without_end(&self, writer: &mut TcpStream, chunk: usize) -> io::Result<()> {
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let data = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
        let data = data.repeat(LINK_STEP / data.len() + 1);
        while 0 < self.endless_chunk.load(Ordering::Relaxed) {
            // All connections share the link.
            let step = Duration::from_secs_f64(data.len() as f64 / LINK_BYTES_PER_S);
            let turn = {
                let mut next = self.link_free_at.lock().unwrap();
                let turn = next.map_or_else(Instant::now, |next| next.max(Instant::now()));
                *next = Some(turn + step);
                turn
            };
            thread::sleep(turn.saturating_duration_since(Instant::now()));
            writer.write_all(data.as_bytes())?;
            self.endless_bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Writes a refusal that belongs to no request, after a complete answer on this connection.
    fn write_extra_refusal(&self, next: &Request, writer: &mut TcpStream) -> io::Result<()> {
        self.log.extras.fetch_add(1, Ordering::Relaxed);
        let next = next.header("x-chivelatch-request-id").unwrap_or("");
        self.log.record.line(format!(
            "replica {} writes an extra 503 after an earlier answer, where that of {next} is due",
            self.spec.id
        ));
        http::respond(writer, "503 Service Unavailable", &[("X-Chivelatch-Not-Executed", "1")], b"")
    }

    /// Runs a client's request. Returns whether an extra refusal follows its answer.
    fn run(&self, request: &Request, writer: &mut TcpStream, process: u64) -> io::Result<bool> {
        let Some(id) = request.header("x-chivelatch-request-id") else {
            let refusal = [("X-Chivelatch-Not-Executed", "1")];
            http::respond(writer, "400 Bad Request", &refusal, b"")?;
            return Ok(false);
        };
        if request.header("x-chivelatch-expect-replica").is_some_and(|it| it != self.spec.id) {
            let own = [("X-Chivelatch-Replica-Id", &*self.spec.id)];
            http::respond(writer, "421 Misdirected Request", &own, b"")?;
            return Ok(false);
        }
        let run = Run { id: id.to_owned(), replica: self.spec.id.clone(), at: Instant::now() };
        self.log.runs.lock().unwrap().push(run);
        let version = self.version();
        let last = request.header("last-event-id").and_then(|it| it.parse::<u64>().ok());
        self.log.record.line(format!(
            "replica {} ({version}) runs {id}{}",
            self.spec.id,
            last.map_or(String::new(), |last| format!(", goes on after event {last}"))
        ));
        if request.path().starts_with(STREAM_PREFIX) {
            self.stream(id, &version, last.unwrap_or(0), writer, process)?;
            return Ok(false);
        }
        thread::sleep(self.spec.work);
        let headers = [("X-Chivelatch-Request-Id", id), ("X-Chivelatch-Signature", id)];
        http::respond(writer, "200 OK", &headers, format!("answer to {id}\n").as_bytes())?;
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let each = self.extra_refusal_each.load(Ordering::Relaxed);
        Ok(0 < each && count.is_multiple_of(each))
    }

    fn stream(
        &self,
        id: &str,
        version: &str,
        last: u64,
        writer: &mut TcpStream,
        process: u64,
    ) -> io::Result<()> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Chivelatch-Request-Id: {id}\r\n\
             X-Chivelatch-Signature: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in last + 1..=self.spec.events {
            if !self.is_running(process) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: {version}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(self.spec.event_pause);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
