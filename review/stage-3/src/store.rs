//! Stand-in for the platform's store: keyed topics with one partition each, which are read as a log or
//! by the newest record of each key. It answers at once and loses nothing.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::wire::Connection;

type Log = Vec<(String, Vec<u8>)>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Log>>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store { address, topics: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: impl AsRef<[u8]>) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.as_ref().to_vec()));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> Option<()> {
        loop {
            let head = connection.read_head().ok()?;
            let body = connection.read_body(&head).ok()?;
            let topic = head.query("topic").unwrap_or("").to_owned();
            let (kind, answer) = match head.path().split('?').next()? {
                "/chivelatch/log-newest" => ("application/json", self.newest(&topic).into_bytes()),
                "/chivelatch/log-read" => {
                    let from = head.query("from").and_then(|it| it.parse().ok()).unwrap_or(0);
                    let wait = head.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                    (
                        "application/octet-stream",
                        self.read(&topic, from, Duration::from_millis(wait)),
                    )
                }
                "/chivelatch/log-append" => {
                    ("application/json", self.append(&topic, &body)?.into_bytes())
                }
                _ => ("text/plain", Vec::new()),
            };
            let length = answer.len();
            connection
                .write(&format!(
                    "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\r\n"
                ))
                .ok()?;
            connection.write_bytes(&answer).ok()?;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let log = topics.get(topic).cloned().unwrap_or_default();
        drop(topics);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        format!(r#"{{"items":[{}],"has_more":false,"end_offset":{}}}"#, items.join(","), log.len())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let deadline = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = deadline.saturating_duration_since(Instant::now());
            if from < log.len() || left.is_zero() {
                let mut answer = (log.len() as u64).to_be_bytes().to_vec();
                answer.extend(0u64.to_be_bytes());
                for (key, value) in log.iter().skip(from) {
                    answer.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    answer.push(key.len() as u8);
                    answer.extend(key.as_bytes());
                    answer.extend(value);
                }
                return answer;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Option<String> {
        let mut count = 0;
        while !body.is_empty() {
            let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
            let content = body.get(4..4 + length)?;
            let key_length = usize::from(*content.first()?);
            let key = String::from_utf8_lossy(content.get(1..1 + key_length)?).into_owned();
            self.put(topic, &key, content.get(1 + key_length..)?);
            body = &body[4 + length..];
            count += 1;
        }
        let end = self.topics.0.lock().unwrap().get(topic).map_or(0, Vec::len);
        Some(format!(r#"{{"offset":{},"end_offset":{end}}}"#, end - count))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
