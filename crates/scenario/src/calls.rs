//! Callers: one call at a time, and many at once.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::future;
use http_body_util::BodyExt as _;
use parking_lot::Mutex;
use serde_json::{Value, json};

use fleet::digest::Digest;
use kernel::Kernel;
use services::http;

/// Time that any call may take before the caller counts it as unanswered.
const CALL_LIMIT: Duration = Duration::from_secs(40);
/// How often a balancer looks at the entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_LIMIT: Duration = Duration::from_millis(200);
const DIGEST_CHARACTERS: usize = 16;

/// What a caller sends.
#[derive(Clone, Debug)]
pub enum Ask {
    Chat { model: String, prompt: String, max_tokens: u64, delivery: Delivery },
    Order { route: String, idempotency_key: String, body: String },
    Lookup { route: String, item: String },
}

/// How an answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Whole,
    Streamed,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 when there was no answer at all.
    pub status: u16,
    pub outcome: String,
    pub request: String,
    pub retry_after: Option<u64>,
    pub body: String,
    /// The body arrived to its end, with the end mark if it was streamed.
    pub is_whole: bool,
    pub is_replayed: bool,
    /// Text of a completion.
    pub text: String,
    pub tokens: u64,
}

/// A call and its answer.
#[derive(Clone, Debug)]
pub struct Record {
    pub ask: Ask,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Answer,
}

/// Sends one call.
pub async fn send(kernel: &Kernel, entry: SocketAddr, key: &str, ask: &Ask) -> Record {
    let sent = Instant::now();
    let answered = kernel.clock.timeout(CALL_LIMIT, exchange(kernel, entry, key, ask)).await;
    let answer = answered.ok().flatten().unwrap_or_default();
    Record { ask: ask.clone(), sent, ended: Instant::now(), answer }
}

/// Calls that go on in the background.
#[derive(Clone, Debug)]
pub struct Load {
    stop: async_channel::Sender<()>,
    done: async_channel::Receiver<()>,
    records: Arc<Mutex<Vec<Record>>>,
}

/// The entries that are ready, as a balancer's health checks see them.
#[derive(Clone, Debug, Default)]
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn pick(&self, turn: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock();
        ready.get(turn as usize % ready.len().max(1)).copied()
    }

    async fn check(&self, kernel: &Kernel, entries: &[SocketAddr]) {
        let mut ready = Vec::new();
        for entry in entries {
            let check = http::fetch(kernel, *entry, http::get("/health/ready"), CHECK_LIMIT);
            if check.await.is_ok() {
                ready.push(*entry);
            }
        }
        *self.ready.lock() = ready;
    }
}

impl Load {
    /// Sends calls from `next` every `interval`, in turn to the ready entries, until stopped.
    pub fn start(
        kernel: &Kernel,
        entries: Vec<SocketAddr>,
        key: String,
        interval: Duration,
        next: impl Fn(u64) -> Ask + Send + 'static,
    ) -> Load {
        let (stop, stopped) = async_channel::bounded(1);
        let (finished, done) = async_channel::bounded(1);
        let records = Arc::default();
        let load = Load { stop, done, records: Arc::clone(&records) };
        let spawner = kernel.clone();
        let balancer = Balancer::default();
        kernel.spawn_detached(check_forever(
            kernel.clone(),
            balancer.clone(),
            entries,
            stopped.clone(),
        ));
        kernel.spawn_detached(async move {
            let mut running = VecDeque::new();
            let mut turn = 0;
            while !stopped.is_closed() {
                let Some(entry) = balancer.pick(turn) else {
                    spawner.clock.sleep(CHECK_INTERVAL / 10).await;
                    continue;
                };
                let key = key.clone();
                let (ask, kernel) = (next(turn), spawner.clone());
                let records = Arc::clone(&records);
                running.push_back(spawner.spawn(async move {
                    let record = send(&kernel, entry, &key, &ask).await;
                    records.lock().push(record);
                }));
                turn += 1;
                let stop = async {
                    let _closed = stopped.recv().await;
                };
                future::or(spawner.clock.sleep(interval), stop).await;
            }
            for call in running {
                call.await;
            }
            drop(finished);
        });
        load
    }

    /// Stops sending, waits for every answer and returns all calls.
    pub async fn finish(&self) -> Vec<Record> {
        self.stop.close();
        let _closed = self.done.recv().await;
        self.records.lock().clone()
    }
}

async fn check_forever(
    kernel: Kernel,
    balancer: Balancer,
    entries: Vec<SocketAddr>,
    stopped: async_channel::Receiver<()>,
) {
    while !stopped.is_closed() {
        balancer.check(&kernel, &entries).await;
        kernel.clock.sleep(CHECK_INTERVAL).await;
    }
}

/// The marks by which an engine's answer names what ran.
pub fn expected_marks(ask: &Ask) -> Option<(String, String)> {
    let Ask::Chat { model, prompt, .. } = ask else { return None };
    let digest = Digest::of(messages(prompt).to_string()).to_string();
    let digest = format!("digest={}", &digest[..DIGEST_CHARACTERS]);
    Some((model.clone(), digest))
}

fn messages(prompt: &str) -> Value {
    json!([{ "role": "user", "content": prompt }])
}

async fn exchange(kernel: &Kernel, entry: SocketAddr, key: &str, ask: &Ask) -> Option<Answer> {
    let mut request = match ask {
        Ask::Chat { model, prompt, max_tokens, delivery } => {
            let body = json!({
                "model": model,
                "messages": messages(prompt),
                "max_tokens": max_tokens,
                "stream": *delivery == Delivery::Streamed,
            });
            http::post("/v1/chat/completions", "application/json", body.to_string())
        }
        Ask::Order { route, body, .. } => {
            http::post(&format!("/svc/{route}/orders"), "application/json", body.clone())
        }
        Ask::Lookup { route, item } => http::get(&format!("/svc/{route}/items/{item}")),
    };
    let headers = request.headers_mut();
    if !key.is_empty() {
        headers.insert("authorization", format!("Bearer {key}").parse().ok()?);
    }
    if let Ask::Order { idempotency_key, .. } = ask {
        headers.insert("idempotency-key", idempotency_key.parse().ok()?);
    }
    let (head, mut body) = http::send(kernel, entry, request).await.ok()?.into_parts();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    let header = |name: &str| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let body = String::from_utf8_lossy(&bytes).into_owned();
    let is_stream = header("content-type").starts_with("text/event-stream");
    let (text, tokens) = if is_stream { read_events(&body) } else { read_whole(&body) };
    Some(Answer {
        status: head.status.as_u16(),
        outcome: header("chivelatch-outcome"),
        request: header("x-request-id"),
        retry_after: header("retry-after").parse().ok(),
        is_whole: is_whole && (!is_stream || body.ends_with("data: [DONE]\n\n")),
        is_replayed: header("idempotent-replayed") == "true",
        text,
        tokens,
        body,
    })
}

fn read_whole(body: &str) -> (String, u64) {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
    (text, value["usage"]["total_tokens"].as_u64().unwrap_or(0))
}

fn read_events(body: &str) -> (String, u64) {
    let mut text = String::new();
    let mut tokens = 0;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        tokens = value["usage"]["total_tokens"].as_u64().unwrap_or(tokens);
    }
    (text, tokens)
}
