//! Stand-in for the platform's metadata store: the calls that the system makes, as PROTOCOL tells them.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Reader, Request};

/// Keys and values of each topic, oldest first. An empty value drops its key.
type Topics = HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { address: listener.local_addr()?, state: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ended = store.serve(&stream);
                });
            }
        });
        Ok(store)
    }

    /// Appends a record; the platform's acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream)?;
        loop {
            let request = reader.request()?;
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            (&mut &*stream).write_all(&[head.as_bytes(), &body].concat())?;
        }
    }

    fn respond(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let (_, target) = request.head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| value(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let topic = value("topic").unwrap_or_default();
        match path {
            "/chivelatch/log-append" => {
                let mut topics = self.state.0.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = &request.body[..];
                while 5 <= rest.len() {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let (record, after) = rest[4..].split_at(length);
                    let (key, value) = record[1..].split_at(record[0] as usize);
                    records.push((key.to_vec(), value.to_vec()));
                    rest = after;
                }
                let end = records.len();
                self.state.1.notify_all();
                ("200 OK", format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
            }
            "/chivelatch/log-newest" => {
                let topics = self.state.0.lock().unwrap();
                let none = Vec::new();
                let records = topics.get(&topic).unwrap_or(&none);
                let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        let (key, value) = (String::from_utf8_lossy(key), base64(value));
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                let body =
                    format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
                ("200 OK", body.into_bytes())
            }
            "/chivelatch/log-read" => {
                let from = number("from") as usize;
                let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
                let mut topics = self.state.0.lock().unwrap();
                loop {
                    let end = topics.get(&topic).map_or(0, Vec::len);
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if end < from {
                        return ("410 Gone", b"{\"first\":0}".to_vec());
                    }
                    if from < end || remaining.is_zero() {
                        break;
                    }
                    topics = self.state.1.wait_timeout(topics, remaining).unwrap().0;
                }
                let none = Vec::new();
                let records = topics.get(&topic).unwrap_or(&none);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                ("200 OK", body)
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for position in 0..4 {
            if group.len() < position {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * position) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
