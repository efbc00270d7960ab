//! Stand-in for a replica: answers as its case says, and as a sound one does where the case says nothing.

use std::{
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
    channels: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
}

/// The running process of a replica.
#[derive(Clone)]
pub struct Process {
    pub born_ms: u64,
    /// Version of its software.
    pub version: String,
    /// Time from which it holds the base model; `None` before the order to load it.
    loaded_at: Option<Instant>,
    /// Orders that it has accepted.
    orders: u64,
}

/// Time in which the base model is loaded from the replica's own disk.
const LOAD_TIME: Duration = Duration::from_millis(720);

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
                loaded_at: Some(Instant::now()),
                orders: 0,
            })),
            channels: Arc::default(),
            is_down: Arc::default(),
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
                let status = self.take_order(&request);
                write(stream, &format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}"))?;
                continue;
            }
            let expected = request.head.get("x-chivelatch-expect-replica");
            let lacks_model = request.head.get("x-chivelatch-model").is_some() && !self.has_model();
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
            loaded_at: None,
            orders: 0,
        };
        drop(process);
        self.is_down.store(false, Ordering::Relaxed);
        self.note(&format!("starts again under its name, with software {version}"));
    }

    fn has_model(&self) -> bool {
        self.process().loaded_at.is_some_and(|at| at <= Instant::now())
    }

    /// Takes an order to load the base model. Returns the status of the answer.
    fn take_order(&self, request: &Request) -> &'static str {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut process = self.process.lock().unwrap();
        let is_expected = body.contains(&format!("\"expect\":{},", process.orders));
        if !is_expected || !body.contains("\"load\"") || process.loaded_at.is_some() {
            return "409 Conflict";
        }
        process.loaded_at = Some(Instant::now() + LOAD_TIME);
        process.orders += 1;
        drop(process);
        self.note(&format!("takes the order {body}"));
        "202 Accepted"
    }

    fn report(&self) -> String {
        let Process { born_ms, loaded_at, orders, .. } = self.process();
        let (has_model, is_busy) = (self.has_model(), loaded_at.is_some() && !self.has_model());
        let models = if has_model { "{\"name\":\"base\",\"cfg_ver\":1,\"loras\":[]}" } else { "" };
        let body = format!(
            "{{\"stage\":\"mixed\",\"born\":{born_ms},\"models\":[{models}],\"busy\":{is_busy},\
             \"seq\":{orders},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\
             \"handles\":0,\"available\":{{\"resident\":[],\"on_disk\":[\"base\"]}}}}"
        );
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n\
             {body}"
        )
    }

    /// Returns the entry that the replica writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let Process { born_ms, version, .. } = self.process();
        let models =
            if self.has_model() { "{\"name\":\"base\",\"cfg_ver\":1,\"loras\":[]}" } else { "" };
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
