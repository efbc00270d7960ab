//! Stand-in for the platform's append-only log, with records in memory.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc, time::Duration};

use async_net::TcpListener;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use front::{body::Body, server};
use kernel::{Kernel, drain::Drain};
use services::log::{Appended, Batch, Record};

use crate::http;

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call with 503.
    pub down: bool,
    /// Lets every call hang.
    pub frozen: bool,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming appends that take effect but are not acknowledged.
    pub lose_acks: u64,
    /// Expires all but this number of the newest records of each stream, once.
    pub expire_to: Option<usize>,
}

/// Counters of calls, for capacity measurements.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    pub appends: u64,
    pub reads: u64,
    pub bytes_read: u64,
}

#[derive(Debug)]
struct Service {
    kernel: Kernel,
    retention: Duration,
    streams: Mutex<BTreeMap<String, Stream>>,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest record that has not expired.
    first: u64,
    records: VecDeque<Record>,
}

/// Serves the log until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, retention: Duration) {
    let service = Arc::new(Service {
        kernel: kernel.clone(),
        retention,
        streams: Mutex::default(),
        faults: Mutex::default(),
        counts: Mutex::default(),
    });
    let handle = move |request| answer(Arc::clone(&service), request);
    server::serve(&kernel, listener, &drain, handle).await;
}

async fn answer(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path == "/faults" {
        let kernel = service.kernel.clone();
        return http::set_faults(&kernel, request, |faults| service.set_faults(faults)).await;
    }
    if path == "/counts" {
        return http::json(StatusCode::OK, &*service.counts.lock());
    }
    let faults = service.faults.lock().clone();
    if faults.frozen {
        return http::hang(&service.kernel).await;
    }
    service.kernel.clock.sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return http::plain(StatusCode::SERVICE_UNAVAILABLE, "the log is down");
    }
    let Some(stream) = path.strip_prefix("/streams/").map(str::to_owned) else {
        return http::plain(StatusCode::NOT_FOUND, "no such page");
    };
    match *request.method() {
        Method::POST => append(&service, &stream, request).await,
        _ => read(&service, &stream, &request),
    }
}

async fn append(service: &Service, stream: &str, request: Request<Incoming>) -> Response<Body> {
    let body = match http::read(&service.kernel, request).await {
        Ok(body) => body,
        Err(rejection) => return *rejection,
    };
    let body = String::from_utf8_lossy(&body);
    let offset = service.append(stream, &body);
    if service.take_lost_ack() {
        return http::hang(&service.kernel).await;
    }
    http::json(StatusCode::OK, &Appended { offset })
}

fn read(service: &Service, stream: &str, request: &Request<Incoming>) -> Response<Body> {
    let from = http::query_number(request.uri(), "from").unwrap_or(0);
    let limit = http::query_number(request.uri(), "limit").unwrap_or(100);
    http::json(StatusCode::OK, &service.read(stream, from, limit as usize))
}

impl Service {
    fn set_faults(&self, faults: Faults) {
        if let Some(keep) = faults.expire_to {
            self.streams.lock().values_mut().for_each(|stream| stream.keep_newest(keep));
        }
        *self.faults.lock() = faults;
    }

    fn take_lost_ack(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = 0 < faults.lose_acks;
        faults.lose_acks = faults.lose_acks.saturating_sub(1);
        is_lost
    }

    fn append(&self, stream: &str, body: &str) -> u64 {
        self.counts.lock().appends += 1;
        let at_ms = self.kernel.clock.unix_ms();
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.expire(at_ms.saturating_sub(self.retention.as_millis() as u64));
        let offset = stream.end();
        stream.records.push_back(Record { offset, at_ms, body: Arc::from(body) });
        offset
    }

    fn read(&self, stream: &str, from: u64, limit: usize) -> Batch {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let now = self.kernel.clock.unix_ms();
        stream.expire(now.saturating_sub(self.retention.as_millis() as u64));
        let skipped = from.saturating_sub(stream.first) as usize;
        let records: Vec<_> = stream.records.iter().skip(skipped).take(limit).cloned().collect();
        let mut counts = self.counts.lock();
        counts.reads += 1;
        counts.bytes_read += records.iter().map(|record| record.body.len() as u64).sum::<u64>();
        Batch { first: stream.first, end: stream.end(), records }
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, before_ms: u64) {
        while self.records.front().is_some_and(|record| record.at_ms < before_ms) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn keep_newest(&mut self, keep: usize) {
        while keep < self.records.len() {
            self.records.pop_front();
            self.first += 1;
        }
    }
}
