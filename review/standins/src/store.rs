//! The platform's store, as far as the project's processes call it: three keyed topics of one
//! partition each, with appends, reads that wait, and the newest record of each key.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Log of one topic: key and value of each record; an empty value drops its key.
type Log = Vec<(String, Vec<u8>)>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Log>>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("a free port for the store");
        let store = Store { address, topics: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record as the operator or a replica does.
    pub fn append(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.into()));
        self.topics.1.notify_all();
    }

    /// Returns the keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.topics.0.lock().unwrap();
        newest(topics.get(topic).unwrap_or(&Vec::new())).into_keys().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _best_effort = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Store-Era", "1"), ("Content-Type", "application/json")];
            if http::respond(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let Some(topic) = request.query("topic") else { return ("400 Bad Request", Vec::new()) };
        match request.path() {
            "/chivelatch/log-newest" => ("200 OK", self.newest(topic)),
            "/chivelatch/log-read" => self.read(topic, request),
            "/chivelatch/log-append" => self.append_records(topic, &request.body),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let empty = Vec::new();
        let log = topics.get(topic).unwrap_or(&empty);
        let items: Vec<String> = newest(log)
            .into_iter()
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(&value))
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, request: &Request) -> (&'static str, Vec<u8>) {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (from, wait) = (number("from") as usize, Duration::from_millis(number("wait_ms")));
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end < from {
                return ("410 Gone", br#"{"first":0}"#.to_vec());
            }
            if from < end || left.is_zero() {
                let mut body = [(end as u64).to_be_bytes(), 0u64.to_be_bytes()].concat();
                for (key, value) in topics.get(topic).into_iter().flatten().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return ("200 OK", body);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append_records(&self, topic: &str, mut body: &[u8]) -> (&'static str, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return ("403 Forbidden", Vec::new());
        }
        let mut topics = self.topics.0.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            log.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        let end = log.len();
        self.topics.1.notify_all();
        ("200 OK", format!(r#"{{"offset":{offset},"end_offset":{end}}}"#).into_bytes())
    }
}

/// Returns offset and value of the newest record of each key that has a value.
fn newest(log: &Log) -> BTreeMap<String, (usize, Vec<u8>)> {
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in log.iter().enumerate() {
        newest.insert(key.clone(), (offset, value.clone()));
    }
    newest.retain(|_, (_, value)| !value.is_empty());
    newest
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
