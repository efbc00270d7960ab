//! HTTP clients of the fleet: single calls, and background load spread over the ready
//! entries. Every call is recorded with its answer for the checker.

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

/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two rounds of the balancer's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of the prompt digest in an engine's answer.
const DIGEST_HEX_DIGITS: usize = 16;

/// A request to an entry instance.
#[derive(Clone, Debug)]
pub enum Call {
    Chat { model: String, prompt: String, max_tokens: u64, delivery: Delivery },
    Order { route: String, idempotency_key: String, body: String },
    Lookup { route: String, item: String },
}

/// Delivery of a completion: as one body or as a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Buffered,
    Streamed,
}

/// The answer to a call, as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    pub outcome: String,
    pub request: String,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    pub body: String,
    /// Whether the body arrived in full, including `[DONE]` if it was streamed.
    pub is_complete: bool,
    pub is_replayed: bool,
    /// Generated text of a completion.
    pub text: String,
    /// Total tokens that the answer reports as used.
    pub tokens: u64,
}

/// A call and its answer.
#[derive(Clone, Debug)]
pub struct Record {
    pub call: Call,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Answer,
}

/// Sends one call and returns its record; a timeout or a failed connection is recorded as
/// status 0.
pub async fn send(kernel: &Kernel, entry: SocketAddr, key: &str, call: &Call) -> Record {
    let sent = Instant::now();
    let result = kernel.clock.timeout(CALL_TIMEOUT, exchange(kernel, entry, key, call)).await;
    let answer = result.ok().flatten().unwrap_or_default();
    Record { call: call.clone(), sent, ended: Instant::now(), answer }
}

/// Calls sent in the background at a fixed interval.
#[derive(Clone, Debug)]
pub struct Load {
    stop: async_channel::Sender<()>,
    done: async_channel::Receiver<()>,
    records: Arc<Mutex<Vec<Record>>>,
}

/// Load balancer in front of the entries, which picks among those that passed the last
/// health check.
#[derive(Clone, Debug, Default)]
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn pick(&self, index: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock();
        ready.get(index as usize % ready.len().max(1)).copied()
    }

    async fn check_health(&self, kernel: &Kernel, entries: &[SocketAddr]) {
        let mut ready = Vec::new();
        for entry in entries {
            let check =
                http::fetch(kernel, *entry, http::get("/health/ready"), HEALTH_CHECK_TIMEOUT);
            if check.await.is_ok() {
                ready.push(*entry);
            }
        }
        *self.ready.lock() = ready;
    }
}

impl Load {
    /// Sends calls from `make_call` every `interval`, round-robin over the ready entries,
    /// until stopped.
    pub fn start(
        kernel: &Kernel,
        entries: Vec<SocketAddr>,
        key: String,
        interval: Duration,
        make_call: impl Fn(u64) -> Call + Send + 'static,
    ) -> Load {
        let (stop, stopped) = async_channel::bounded(1);
        let (finished, done) = async_channel::bounded(1);
        let records = Arc::default();
        let load = Load { stop, done, records: Arc::clone(&records) };
        let spawner = kernel.clone();
        let balancer = Balancer::default();
        kernel.spawn_detached(run_health_checks(
            kernel.clone(),
            balancer.clone(),
            entries,
            stopped.clone(),
        ));
        kernel.spawn_detached(async move {
            let mut running = VecDeque::new();
            let mut index = 0;
            while !stopped.is_closed() {
                let Some(entry) = balancer.pick(index) else {
                    spawner.clock.sleep(HEALTH_CHECK_INTERVAL / 10).await;
                    continue;
                };
                let key = key.clone();
                let (call, kernel) = (make_call(index), spawner.clone());
                let records = Arc::clone(&records);
                running.push_back(spawner.spawn(async move {
                    let record = send(&kernel, entry, &key, &call).await;
                    records.lock().push(record);
                }));
                index += 1;
                let stop = async {
                    let _closed = stopped.recv().await;
                };
                future::or(spawner.clock.sleep(interval), stop).await;
            }
            for task in running {
                task.await;
            }
            drop(finished);
        });
        load
    }

    /// Stops sending, waits for the calls in flight and returns the records of all calls.
    pub async fn finish(&self) -> Vec<Record> {
        self.stop.close();
        let _closed = self.done.recv().await;
        self.records.lock().clone()
    }
}

async fn run_health_checks(
    kernel: Kernel,
    balancer: Balancer,
    entries: Vec<SocketAddr>,
    stopped: async_channel::Receiver<()>,
) {
    while !stopped.is_closed() {
        balancer.check_health(&kernel, &entries).await;
        kernel.clock.sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Returns the model and the digest marker that the engine's answer to a call must contain.
pub fn expected_markers(call: &Call) -> Option<(String, String)> {
    let Call::Chat { model, prompt, .. } = call else { return None };
    let digest = Digest::of(messages(prompt).to_string()).to_string();
    let digest = format!("digest={}", &digest[..DIGEST_HEX_DIGITS]);
    Some((model.clone(), digest))
}

fn messages(prompt: &str) -> Value {
    json!([{ "role": "user", "content": prompt }])
}

async fn exchange(kernel: &Kernel, entry: SocketAddr, key: &str, call: &Call) -> Option<Answer> {
    let mut request = match call {
        Call::Chat { model, prompt, max_tokens, delivery } => {
            let body = json!({
                "model": model,
                "messages": messages(prompt),
                "max_tokens": max_tokens,
                "stream": *delivery == Delivery::Streamed,
            });
            http::post("/v1/chat/completions", "application/json", body.to_string())
        }
        Call::Order { route, body, .. } => {
            http::post(&format!("/svc/{route}/orders"), "application/json", body.clone())
        }
        Call::Lookup { route, item } => http::get(&format!("/svc/{route}/items/{item}")),
    };
    let headers = request.headers_mut();
    if !key.is_empty() {
        headers.insert("authorization", format!("Bearer {key}").parse().ok()?);
    }
    if let Call::Order { idempotency_key, .. } = call {
        headers.insert("idempotency-key", idempotency_key.parse().ok()?);
    }
    let (head, mut body) = http::send(kernel, entry, request).await.ok()?.into_parts();
    let mut bytes = Vec::new();
    // An entry instance states the end of each answer.
    let mut is_complete = body.framing().is_explicit();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let header = |name: &str| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let body = String::from_utf8_lossy(&bytes).into_owned();
    let is_stream = header("content-type").starts_with("text/event-stream");
    let (text, tokens) = if is_stream { read_events(&body) } else { read_completion(&body) };
    Some(Answer {
        status: head.status.as_u16(),
        outcome: header("chivelatch-outcome"),
        request: header("x-request-id"),
        retry_after: header("retry-after").parse().ok(),
        is_complete: is_complete && (!is_stream || body.ends_with("data: [DONE]\n\n")),
        is_replayed: header("idempotent-replayed") == "true",
        text,
        tokens,
        body,
    })
}

fn read_completion(body: &str) -> (String, u64) {
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
