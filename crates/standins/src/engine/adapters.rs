//! Orders to load and drop adapters.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use front::body::{self, Body, Cut};
use services::{engine::FENCING_TOKEN_HEADER, http as client};

use crate::{
    engine::{Engine, Fencing},
    http,
};

/// Time that the weight store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct Order {
    lora_name: String,
    lora_path: String,
}

/// The adapters that are loaded.
pub fn models(engine: &Engine) -> Response<Body> {
    let adapters = engine.state.lock().adapters.clone();
    let data: Vec<_> = adapters.iter().map(|id| json!({ "id": id, "object": "model" })).collect();
    http::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

/// Loads an adapter through the weight store.
pub async fn load(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let order = match take_order(engine, request).await {
        Ok(order) => order,
        Err(response) => return *response,
    };
    if engine.settings.slots <= engine.state.lock().adapters.len() {
        return http::plain(StatusCode::BAD_REQUEST, "all adapter slots are taken");
    }
    if engine.take(|faults| &mut faults.fail_loads) {
        return http::plain(StatusCode::INTERNAL_SERVER_ERROR, "the load failed");
    }
    let generation = engine.generation();
    let weights = client::get(&format!("/weights/{}", order.lora_path));
    let fetched =
        client::fetch(&engine.kernel, engine.settings.store, weights, STORE_TIMEOUT).await;
    if let Err(error) = fetched {
        return http::plain(StatusCode::BAD_GATEWAY, &error.to_string());
    }
    if generation != engine.generation() {
        return cut();
    }
    engine.state.lock().adapters.insert(order.lora_name);
    engine.journal.lock().loads += 1;
    http::plain(StatusCode::OK, "loaded")
}

/// Drops an adapter.
pub async fn unload(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let order = match take_order(engine, request).await {
        Ok(order) => order,
        Err(response) => return *response,
    };
    if !engine.state.lock().adapters.remove(&order.lora_name) {
        return http::plain(StatusCode::NOT_FOUND, "no such adapter");
    }
    let is_used = engine.batch.uses(&order.lora_name);
    let mut journal = engine.journal.lock();
    journal.unloads += 1;
    journal.evicted_in_use += u64::from(is_used);
    http::plain(StatusCode::OK, "unloaded")
}

/// An answer that breaks off before its head, as from a process that died.
pub fn cut() -> Response<Body> {
    let (sender, response) = body::streamed(StatusCode::BAD_GATEWAY, "text/plain");
    let _closed = sender.try_send(Ok(Bytes::new()));
    let _closed = sender.try_send(Err(Cut));
    response
}

async fn take_order(
    engine: &Engine,
    request: Request<Incoming>,
) -> Result<Order, Box<Response<Body>>> {
    let fence = request.headers().get(FENCING_TOKEN_HEADER).and_then(|fence| fence.to_str().ok());
    let fence = fence.and_then(|fence| fence.parse::<u64>().ok()).unwrap_or(0);
    let body = http::read(&engine.kernel.clock, request).await;
    if engine.settings.fencing == Fencing::Refuse {
        let mut state = engine.state.lock();
        if fence < state.highest_fence {
            engine.journal.lock().fenced_off += 1;
            let response = http::plain(StatusCode::CONFLICT, "old fencing number");
            return Err(Box::new(response));
        }
        state.highest_fence = fence;
    }
    serde_json::from_slice(&body)
        .map_err(|error| Box::new(http::plain(StatusCode::BAD_REQUEST, &error.to_string())))
}
