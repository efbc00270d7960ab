//! Stand-in for the weight store, with a rate limit on loads and slower loads under
//! concurrency.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::TcpListener;
use hyper::{Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use front::{body::Body, server};
use kernel::{Kernel, drain::Drain};

use crate::http;

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Loads per second.
    pub rate: u64,
    /// Capacity of the token bucket, in loads.
    pub burst: u64,
    /// Duration of one load while at most `in_flight` are running.
    pub load: Duration,
    /// Number of concurrent loads above which each load slows down in proportion.
    pub in_flight: u64,
}

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every load with 503.
    pub down: bool,
    /// Factor for the duration of loads; 0 means 1.
    pub slowdown: u32,
    /// Number of upcoming loads that fail.
    pub fail: u64,
}

/// Counters of loads.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    pub loads: u64,
    /// Loads rejected by the rate limit.
    pub refused: u64,
    pub in_flight: u64,
    /// Highest number of concurrent loads so far.
    pub most_in_flight: u64,
}

#[derive(Debug)]
struct Service {
    kernel: Kernel,
    settings: Settings,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    bucket: Mutex<Bucket>,
}

/// Token bucket of the rate limit.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
}

/// Serves the store until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, settings: Settings) {
    let bucket = Bucket { tokens: settings.burst as f64, updated: kernel.clock.now() };
    let service = Arc::new(Service {
        kernel: kernel.clone(),
        settings,
        faults: Mutex::default(),
        counts: Mutex::default(),
        bucket: Mutex::new(bucket),
    });
    let handle = move |request| answer(Arc::clone(&service), request);
    server::serve(&kernel, listener, &drain, handle).await;
}

async fn answer(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    let kernel = service.kernel.clone();
    match request.uri().path() {
        "/faults" => {
            http::set_faults(&kernel, request, |faults| *service.faults.lock() = faults).await
        }
        "/counts" => http::json(StatusCode::OK, &*service.counts.lock()),
        _ => load(&service).await,
    }
}

async fn load(service: &Service) -> Response<Body> {
    if service.faults.lock().down {
        return http::plain(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
    }
    if !service.take_token() {
        service.counts.lock().refused += 1;
        return http::plain(StatusCode::TOO_MANY_REQUESTS, "too many loads a second");
    }
    let in_flight = service.start_load();
    let factor = f64::max(1.0, in_flight as f64 / service.settings.in_flight.max(1) as f64);
    let slowdown = service.faults.lock().slowdown.max(1);
    service.kernel.clock.sleep((service.settings.load * slowdown).mul_f64(factor)).await;
    service.counts.lock().in_flight -= 1;
    if service.take_failure() {
        return http::plain(StatusCode::INTERNAL_SERVER_ERROR, "the load failed");
    }
    http::plain(StatusCode::OK, "weights")
}

impl Service {
    fn take_token(&self) -> bool {
        let now = self.kernel.clock.now();
        let mut bucket = self.bucket.lock();
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        let refilled = bucket.tokens + elapsed * self.settings.rate as f64;
        bucket.tokens = refilled.min(self.settings.burst as f64);
        bucket.updated = now;
        let is_taken = 1.0 <= bucket.tokens;
        if is_taken {
            bucket.tokens -= 1.0;
        }
        is_taken
    }

    fn start_load(&self) -> u64 {
        let mut counts = self.counts.lock();
        counts.loads += 1;
        counts.in_flight += 1;
        counts.most_in_flight = counts.most_in_flight.max(counts.in_flight);
        counts.in_flight
    }

    fn take_failure(&self) -> bool {
        let mut faults = self.faults.lock();
        let fails = 0 < faults.fail;
        faults.fail = faults.fail.saturating_sub(1);
        fails
    }
}
