//! Clients: plain requests on kept connections, and streams that they take up again.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

pub const HOST: &str = "portal.example";
pub const KEY: &str = "key-of-the-council";
/// Headers of a request to a model.
pub const MODEL_HEADERS: &str = "X-Chivelatch-Model: base\r\nX-Chivelatch-Token-Count: 400,100\r\n";

/// Events that a client has of one stream, over all its attempts.
#[derive(Clone, Debug, Default)]
pub struct Events {
    pub last: u64,
    /// Ids in the order of arrival are 1, 2, 3 and so on.
    pub in_order: bool,
    /// Software versions that wrote them.
    pub versions: BTreeSet<String>,
}

/// How one attempt of a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Complete,
    /// The connection ended before the stream did.
    Broken,
    Refused {
        status: u16,
        retry_after: Option<Duration>,
    },
    /// The client left.
    Left,
}

pub fn request(method: &str, path: &str, id: &str, deadline: Duration, extra: &str) -> String {
    let deadline = deadline.as_millis();
    let length = if method == "GET" { "" } else { "Content-Length: 1\r\n" };
    let body = if method == "GET" { "" } else { "x" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chivelatch-Request-Id: {id}\r\n\
         X-Chivelatch-Deadline-Ms: {deadline}\r\nAuthorization: Token {KEY}\r\n{extra}{length}\r\n{body}"
    )
}

/// Sends a plain request on a kept connection, which is opened if there is none. Returns its status,
/// or `None` for a connection that ended without an answer.
pub fn call(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    request: &str,
    deadline: Duration,
) -> Option<u16> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(address).ok()?,
    };
    let exchange = |connection: &mut Connection| -> io::Result<(u16, bool)> {
        connection.set_timeout(deadline + Duration::from_millis(500))?;
        connection.send(request)?;
        let head = connection.read_head()?;
        connection.read_body(&head)?;
        let closes = head.headers.get("connection").is_some_and(|it| it == "close");
        Ok((head.status, closes))
    };
    let (status, closes) = exchange(&mut connection).ok()?;
    if !closes {
        *kept = Some(connection);
    }
    Some(status)
}

/// Sends one attempt of a stream and reads what comes, until the stream ends or `until`.
pub fn attempt(
    record: &Record,
    address: SocketAddr,
    request: &str,
    name: &str,
    events: &mut Events,
    until: Instant,
) -> Ending {
    let ending = match read_stream(address, request, events, until) {
        Ok(ending) => ending,
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            Ending::Left
        }
        Err(_) => Ending::Broken,
    };
    record.line(format!(
        "client {name}: {ending:?}, has events 1 to {} of {:?}",
        events.last, events.versions
    ));
    ending
}

fn read_stream(
    address: SocketAddr,
    request: &str,
    events: &mut Events,
    until: Instant,
) -> io::Result<Ending> {
    let mut connection = Connection::open(address)?;
    let left = || until.saturating_duration_since(Instant::now());
    connection.set_timeout(left())?;
    connection.send(request)?;
    let head = connection.read_head()?;
    if head.status != 200 {
        let retry_after = head.headers.get("retry-after").and_then(|it| it.parse().ok());
        let retry_after = retry_after.map(Duration::from_secs_f64);
        return Ok(Ending::Refused { status: head.status, retry_after });
    }
    let mut text = Vec::new();
    loop {
        connection.set_timeout(left())?;
        let Some(chunk) = connection.read_chunk()? else { return Ok(Ending::Complete) };
        text.extend(chunk);
        while let Some(end) = text.windows(2).position(|it| it == b"\n\n") {
            let event = String::from_utf8_lossy(&text[..end]).into_owned();
            text.drain(..end + 2);
            events.add(&event);
        }
        if left().is_zero() {
            return Ok(Ending::Left);
        }
    }
}

impl Events {
    pub fn new() -> Events {
        Events { last: 0, in_order: true, versions: BTreeSet::new() }
    }

    fn add(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ").and_then(|it| it.parse::<u64>().ok()) {
                self.in_order &= id == self.last + 1;
                self.last = id;
            }
            if let Some(version) = line.strip_prefix("data: ") {
                self.versions.insert(version.to_owned());
            }
        }
    }
}

/// Runs a function on a thread for each of these numbers and returns the results in order.
pub fn each<T: Send + 'static>(
    count: usize,
    run: impl Fn(usize) -> T + Clone + Send + 'static,
) -> Vec<T> {
    let threads: Vec<_> = (0..count)
        .map(|number| {
            let run = run.clone();
            thread::spawn(move || run(number))
        })
        .collect();
    threads.into_iter().map(|it| it.join().expect("a client's thread")).collect()
}
