//! Stand-in for a replica: answers as its case says, and as a sound one does where the case says nothing.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reader, Request},
    record::Record,
};

/// How a case's replica answers a request. Returns whether the channel goes on.
pub type Handler = dyn Fn(&Replica, &Request, &TcpStream) -> io::Result<bool> + Send + Sync;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub record: Record,
    process: Arc<Mutex<Process>>,
    /// Versions that the weight store has.
    pub newest: Versions,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
    has_overflowed: Arc<AtomicBool>,
}

/// The running process of a replica.
#[derive(Clone)]
pub struct Process {
    pub born_ms: u64,
    /// Version of its software.
    pub version: String,
    /// Base models, with the time from which it holds each.
    models: Vec<(String, Instant)>,
    /// Adapters that it holds or loads.
    adapters: Vec<Adapter>,
    /// Orders that it has accepted.
    orders: u64,
}

#[derive(Clone)]
struct Adapter {
    model: String,
    name: String,
    version: u64,
    /// Time from which it is held.
    held_at: Instant,
}

/// Newest versions of adapters, by base model and name; 1 if there is none.
pub type Versions = Arc<Mutex<HashMap<(String, String), u64>>>;

/// Time in which the base model is loaded from the replica's own disk.
const LOAD_TIME: Duration = Duration::from_millis(720);
/// Time in which an adapter is loaded.
const ADAPTER_TIME: Duration = Duration::from_millis(250);
/// Adapters that a replica holds, those on their way included; an order for more crashes it.
pub const LORA_SLOTS: usize = 6;

impl Replica {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        record: &Record,
        handler: impl Fn(&Replica, &Request, &TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) -> io::Result<Replica> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            record: record.clone(),
            process: Arc::new(Mutex::new(Process {
                born_ms: 1_780_000_000_000,
                version: "v1".to_owned(),
                models: vec![("base".to_owned(), Instant::now())],
                adapters: Vec::new(),
                orders: 0,
            })),
            newest: Versions::default(),
            channels: Arc::default(),
            is_down: Arc::default(),
            has_overflowed: Arc::default(),
        };
        let (shared, handler): (_, Arc<Handler>) = (replica.clone(), Arc::new(handler));
        thread::spawn(move || shared.accept(listener, &handler));
        Ok(replica)
    }

    fn accept(&self, listener: TcpListener, handler: &Arc<Handler>) -> io::Result<()> {
        let mut listener = Some(listener);
        loop {
            thread::sleep(Duration::from_millis(1));
            if self.is_down.load(Ordering::Relaxed) {
                // Nobody listens any more.
                listener = None;
                continue;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => TcpListener::bind(self.address)?,
            };
            open.set_nonblocking(true)?;
            while let Ok((stream, _)) = open.accept() {
                stream.set_nonblocking(false)?;
                let (replica, handler) = (self.clone(), Arc::clone(handler));
                self.channels.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || {
                    let _ended = replica.serve(&stream, &*handler);
                });
            }
            listener = Some(open);
        }
    }

    fn serve(&self, stream: &TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream)?;
        loop {
            let request = reader.request()?;
            let (_, target) = request.head.target();
            if target.starts_with("/chivelatch/report") {
                write(stream, &self.report())?;
                continue;
            }
            if target.starts_with("/chivelatch/order") {
                let Some(status) = self.take_order(&request) else { return Ok(()) };
                write(stream, &format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}"))?;
                continue;
            }
            let expected = request.head.get("x-chivelatch-expect-replica");
            let lacks_model =
                request.head.get("x-chivelatch-model").is_some_and(|model| !self.holds(model));
            if lacks_model || expected.is_some_and(|expected| expected != self.id) {
                let id = request.head.id();
                write(
                    stream,
                    &format!(
                        "HTTP/1.1 421 Misdirected Request\r\nX-Chivelatch-Request-Id: {id}\r\n\
                         X-Chivelatch-Not-Executed: 1\r\nX-Chivelatch-Replica-Id: {}\r\n\
                         Content-Length: 0\r\n\r\n",
                        self.id
                    ),
                )?;
                continue;
            }
            if !handler(self, &request, stream)? {
                let _closed = stream.shutdown(Shutdown::Both);
                return Ok(());
            }
        }
    }

    /// Returns the process that runs now.
    pub fn process(&self) -> Process {
        self.process.lock().unwrap().clone()
    }

    /// Ends the process: its channels end, and nobody listens.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
        for channel in self.channels.lock().unwrap().drain(..) {
            let _closed = channel.shutdown(Shutdown::Both);
        }
        self.note("crashes");
    }

    /// Starts another process under the same name, which holds nothing.
    pub fn restart(&self, version: &str) {
        let mut process = self.process.lock().unwrap();
        *process = Process {
            born_ms: process.born_ms + 60_000,
            version: version.to_owned(),
            models: Vec::new(),
            adapters: Vec::new(),
            orders: 0,
        };
        drop(process);
        self.is_down.store(false, Ordering::Relaxed);
        self.note(&format!("starts again under its name, with software {version}"));
    }

    /// Returns whether an order has ever named more adapters than there are places.
    pub fn has_overflowed(&self) -> bool {
        self.has_overflowed.load(Ordering::Relaxed)
    }

    /// Makes the process hold another base model from now on.
    pub fn add_model(&self, name: &str) {
        self.process.lock().unwrap().models.push((name.to_owned(), Instant::now()));
    }

    /// Returns whether it holds a base model, or an adapter that is named after its base model and a slash.
    fn holds(&self, model: &str) -> bool {
        let (process, now) = (self.process(), Instant::now());
        let (base, adapter) = model.split_once('/').unwrap_or((model, ""));
        let has_model = process.models.iter().any(|(name, at)| name == base && *at <= now);
        has_model && (adapter.is_empty() || self.version_of(model).is_some())
    }

    /// Returns the version of an adapter that it holds.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let (base, adapter) = model.split_once('/')?;
        let (process, now) = (self.process(), Instant::now());
        let held = process.adapters.iter().filter(|it| it.model == base && it.name == adapter);
        held.filter(|it| it.held_at <= now).map(|it| it.version).max()
    }

    /// Takes an order. Returns the status of the answer, or `None` if the order crashes the replica.
    fn take_order(&self, request: &Request) -> Option<&'static str> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
            Some(rest.split('"').next()?.to_owned())
        };
        let (op, model) = (field("op")?, field("model")?);
        let now = Instant::now();
        let mut process = self.process.lock().unwrap();
        let is_expected = body.contains(&format!("\"expect\":{},", process.orders));
        if !is_expected || process.models.iter().any(|(_, at)| now < *at) {
            return Some("409 Conflict");
        }
        process.orders += 1;
        self.note(&format!("accepts the order {body}"));
        match (op.as_str(), field("lora")) {
            ("load", Some(lora)) => {
                let key = (model, lora);
                let version = self.newest.lock().unwrap().get(&key).copied().unwrap_or(1);
                let (model, name) = key;
                // A new version replaces the one before, which is held until then.
                let is_other = |it: &&Adapter| (&it.model, &it.name) != (&model, &name);
                let count = 1 + process.adapters.iter().filter(is_other).count();
                process.adapters.push(Adapter {
                    model,
                    name,
                    version,
                    held_at: now + ADAPTER_TIME,
                });
                drop(process);
                if LORA_SLOTS < count {
                    self.note(&format!(
                        "has {LORA_SLOTS} places, and was ordered to hold {count} adapters"
                    ));
                    self.has_overflowed.store(true, Ordering::Relaxed);
                    self.crash();
                    return None;
                }
            }
            ("load", None) => process.models.push((model, now + LOAD_TIME)),
            (_, Some(lora)) => {
                process.adapters.retain(|it| (&it.model, &it.name) != (&model, &lora))
            }
            _ => return Some("400 Bad Request"),
        }
        Some("202 Accepted")
    }

    fn report(&self) -> String {
        let (Process { born_ms, models, adapters, orders, .. }, now) =
            (self.process(), Instant::now());
        let is_busy = models.iter().any(|(_, at)| now < *at);
        let pending = adapters.iter().filter(|it| now < it.held_at);
        let pending: Vec<String> =
            pending.map(|it| format!("\"{}/{}@{}\"", it.model, it.name, it.version)).collect();
        let body = format!(
            "{{\"stage\":\"mixed\",\"born\":{born_ms},\"models\":[{}],\"busy\":{is_busy},\
             \"pending\":[{}],\"seq\":{orders},\"queued\":0,\"active\":0,\"kv_used\":0,\
             \"kv_total\":90000,\"handles\":0,\
             \"available\":{{\"resident\":[],\"on_disk\":[\"base\"]}}}}",
            self.models(),
            pending.join(",")
        );
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n\
             {body}"
        )
    }

    /// Returns what the replica says of its models.
    fn models(&self) -> String {
        let (process, now) = (self.process(), Instant::now());
        let held = process.models.iter().filter(|(_, at)| *at <= now);
        let models = held.map(|(model, _)| {
            let adapters = process.adapters.iter();
            let mut names: Vec<&String> =
                adapters.filter(|it| it.model == *model).map(|it| &it.name).collect();
            names.sort();
            names.dedup();
            let held = names.into_iter().filter_map(|name| {
                let version = self.version_of(&format!("{model}/{name}"))?;
                Some(format!("\"{name}@{version}\""))
            });
            let adapters: Vec<String> = held.collect();
            format!("{{\"name\":\"{model}\",\"cfg_ver\":1,\"loras\":[{}]}}", adapters.join(","))
        });
        models.collect::<Vec<String>>().join(",")
    }

    /// Returns the entry that the replica writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let Process { born_ms, version, .. } = self.process();
        let models = self.models();
        format!(
            "{{\"svc\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"cfg_ver\":\"{version}\",\
             \"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born_ms},\
             \"models\":[{models}]}}",
            self.service, self.address, self.zone
        )
    }

    /// Returns the head of an answer up to its framing headers.
    pub fn head(&self, request: &Request, status: &str) -> String {
        let id = request.head.id();
        format!(
            "HTTP/1.1 {status}\r\nX-Chivelatch-Request-Id: {id}\r\n\
             X-Chivelatch-Signature: {}.{id}\r\n",
            self.id
        )
    }

    pub fn note(&self, text: &str) {
        self.record.add(&format!("replica {}: {text}", self.id));
    }
}

pub fn write(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())
}

/// Writes one chunk of a body in chunks.
pub fn write_chunk(stream: &TcpStream, text: &str) -> io::Result<()> {
    write(stream, &format!("{:x}\r\n{text}\r\n", text.len()))
}
