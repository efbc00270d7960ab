//! Stand-in for the rate-limited weight store.

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

/// What the store allows.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Loads a second.
    pub rate: u64,
    /// Loads that may start at once.
    pub burst: u64,
    /// Time of one load while no more than `in_flight` run.
    pub load: Duration,
    pub in_flight: u64,
}

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    pub down: bool,
    /// Factor on the time of a load; 0 stands for 1.
    pub slowdown: u32,
    /// The next so many loads fail.
    pub fail: u64,
}

/// Loads counted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    pub loads: u64,
    /// Refused because the rate was exceeded.
    pub refused: u64,
    pub in_flight: u64,
    pub most_in_flight: u64,
}

#[derive(Debug)]
struct Service {
    kernel: Kernel,
    settings: Settings,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    level: Mutex<Level>,
}

#[derive(Debug)]
struct Level {
    tokens: f64,
    updated: Instant,
}

/// Serves the store until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, settings: Settings) {
    let level = Level { tokens: settings.burst as f64, updated: kernel.clock.now() };
    let service = Arc::new(Service {
        kernel: kernel.clone(),
        settings,
        faults: Mutex::default(),
        counts: Mutex::default(),
        level: Mutex::new(level),
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
    let in_flight = service.enter();
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
        let mut level = self.level.lock();
        let elapsed = now.saturating_duration_since(level.updated).as_secs_f64();
        let refilled = level.tokens + elapsed * self.settings.rate as f64;
        level.tokens = refilled.min(self.settings.burst as f64);
        level.updated = now;
        let is_taken = 1.0 <= level.tokens;
        if is_taken {
            level.tokens -= 1.0;
        }
        is_taken
    }

    fn enter(&self) -> u64 {
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
