//! Stand-in for a plain service with stock lookups (idempotent) and orders, which must not
//! be executed twice.

use std::{sync::Arc, time::Duration};

use async_net::TcpListener;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use front::{body::Body, server};
use kernel::{Kernel, drain::Drain};
use services::engine::REQUEST_ID_HEADER;

use crate::http;

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay between the effect of an order and its answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming orders that take effect but are not answered.
    pub lose_acks: u64,
    /// Number of upcoming orders that fail with 500 without an effect.
    pub fail: u64,
}

/// The effect of an order, as recorded in the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Effect {
    pub request: String,
    pub body: String,
    /// Names of headers with a caller's key; must be empty.
    pub leaked: Vec<String>,
}

#[derive(Debug)]
struct Service {
    kernel: Kernel,
    faults: Mutex<Faults>,
    journal: Mutex<Vec<Effect>>,
}

/// Serves the service until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain) {
    let service = Arc::new(Service {
        kernel: kernel.clone(),
        faults: Mutex::default(),
        journal: Mutex::default(),
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
        "/journal" => http::json(StatusCode::OK, &*service.journal.lock()),
        _ if request.method() == Method::GET => {
            let item = request.uri().path().to_owned();
            http::json(StatusCode::OK, &json!({ "item": item, "in_stock": 12 }))
        }
        _ => order(&service, request).await,
    }
}

async fn order(service: &Service, request: Request<Incoming>) -> Response<Body> {
    let faults = service.take_faults();
    if 0 < faults.fail {
        return http::plain(StatusCode::INTERNAL_SERVER_ERROR, "the order failed");
    }
    let id = request.headers().get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let leaked = leaked_keys(&request);
    let body = match http::read(&service.kernel, request).await {
        Ok(body) => body,
        Err(rejection) => return *rejection,
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let number = {
        let mut journal = service.journal.lock();
        journal.push(Effect { request: id, body, leaked });
        journal.len()
    };
    service.kernel.clock.sleep(Duration::from_millis(faults.delay_ms)).await;
    if 0 < faults.lose_acks {
        return http::hang(&service.kernel).await;
    }
    http::json(StatusCode::CREATED, &json!({ "order": number }))
}

/// Returns the names of headers that contain a caller's key: `authorization`, and any header with
/// `cl_`, the prefix of generated keys.
pub fn leaked_keys(request: &Request<Incoming>) -> Vec<String> {
    let headers = request.headers().iter();
    let is_leak = |name: &str, value: &[u8]| {
        name == "authorization" || value.windows(3).any(|part| part == b"cl_")
    };
    headers
        .filter(|(name, value)| is_leak(name.as_str(), value.as_bytes()))
        .map(|(name, _)| name.to_string())
        .collect()
}

impl Service {
    fn take_faults(&self) -> Faults {
        let mut faults = self.faults.lock();
        let taken = faults.clone();
        faults.lose_acks = faults.lose_acks.saturating_sub(1);
        faults.fail = faults.fail.saturating_sub(1);
        taken
    }
}
