//! Stand-in of the platform's store: keyed topics of one partition, as PROTOCOL describes them.

use std::{
    collections::HashMap,
    io::Write as _,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>>, Condvar)>);

impl Store {
    /// Starts a store that serves until the process ends.
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let store = Store::default();
        let served = store.clone();
        http::serve(TcpListener::bind(address)?, move |request, stream| {
            served.handle(&request, stream).map(|()| true)
        });
        Ok(store)
    }

    /// Appends a record, as the operator and the replicas do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, vec![(key.as_bytes().to_vec(), value.as_bytes().to_vec())]);
    }

    fn append(&self, topic: &str, records: Vec<(Vec<u8>, Vec<u8>)>) -> (usize, usize) {
        let (topics, changed) = &*self.0;
        let mut topics = topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        changed.notify_all();
        (offset, end)
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let path = request.path().split('?').next().unwrap_or("");
        let topic = request.query("topic").unwrap_or("").to_owned();
        match (request.method(), path) {
            ("GET", "/chivelatch/log-newest") => {
                let body = self.newest(&topic);
                http::respond(
                    stream,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            ("GET", "/chivelatch/log-read") => {
                let from = request.query("from").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = request.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let body = self.read(&topic, from, Duration::from_millis(wait));
                http::respond(stream, "200 OK", "Content-Type: application/octet-stream\r\n", &body)
            }
            ("POST", "/chivelatch/log-append") => {
                let (offset, end) = self.append(&topic, decode(&request.body));
                let body = format!(r#"{{"offset":{offset},"end_offset":{end}}}"#);
                http::respond(
                    stream,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            _ => http::respond(stream, "404 Not Found", "", b""),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.0.0.lock().unwrap();
        let log = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: std::collections::BTreeMap<&[u8], (usize, &[u8])> = Default::default();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let end = log.len();
        format!(r#"{{"items":[{}],"has_more":false,"end_offset":{end}}}"#, items.join(","))
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.0;
        let deadline = Instant::now() + wait;
        let mut guard = topics.lock().unwrap();
        loop {
            let end = guard.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            guard = changed.wait_timeout(guard, left).unwrap().0;
        }
        let log = guard.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut bytes = (log.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in log.iter().skip(from) {
            let length = (1 + key.len() + value.len()) as u32;
            let _infallible = bytes.write_all(&length.to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key);
            bytes.extend_from_slice(value);
        }
        bytes
    }
}

/// Decodes the records of an append.
fn decode(mut body: &[u8]) -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        if rest.len() < length || length == 0 {
            break;
        }
        let (record, rest) = rest.split_at(length);
        let key_length = usize::from(record[0]);
        if record.len() < 1 + key_length {
            break;
        }
        records.push((record[1..=key_length].to_vec(), record[1 + key_length..].to_vec()));
        body = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
