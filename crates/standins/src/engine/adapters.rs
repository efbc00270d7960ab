//! The engine's API to list, load and evict adapters.

use std::time::Duration;

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use front::body::{self, Body};
use services::{engine::FENCING_TOKEN_HEADER, http as client};

use crate::{
    engine::{Engine, Fencing},
    http,
};

/// Timeout for fetching weights from the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct Command {
    lora_name: String,
    lora_path: String,
}

/// Lists the resident adapters.
pub fn models(engine: &Engine) -> Response<Body> {
    let adapters = engine.state.lock().adapters.clone();
    let data: Vec<_> = adapters.iter().map(|id| json!({ "id": id, "object": "model" })).collect();
    http::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

/// Loads an adapter with weights from the weight store.
pub async fn load(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let command = match read_command(engine, request).await {
        Ok(command) => command,
        Err(response) => return *response,
    };
    if engine.settings.slots <= engine.state.lock().adapters.len() {
        return http::plain(StatusCode::BAD_REQUEST, "all adapter slots are taken");
    }
    if engine.take_fault(|faults| &mut faults.fail_loads) {
        return http::plain(StatusCode::INTERNAL_SERVER_ERROR, "the load failed");
    }
    let generation = engine.generation();
    let weights = client::get(&format!("/weights/{}", command.lora_path));
    let fetched =
        client::fetch(&engine.kernel, engine.settings.store, weights, STORE_TIMEOUT).await;
    if let Err(error) = fetched {
        return http::plain(StatusCode::BAD_GATEWAY, &error.to_string());
    }
    if generation != engine.generation() {
        return aborted_response();
    }
    engine.state.lock().adapters.insert(command.lora_name);
    engine.journal.lock().loads += 1;
    http::plain(StatusCode::OK, "loaded")
}

/// Evicts an adapter.
pub async fn unload(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let command = match read_command(engine, request).await {
        Ok(command) => command,
        Err(response) => return *response,
    };
    if !engine.state.lock().adapters.remove(&command.lora_name) {
        return http::plain(StatusCode::NOT_FOUND, "no such adapter");
    }
    let is_in_use = engine.batch.has_request_for(&command.lora_name);
    let mut journal = engine.journal.lock();
    journal.unloads += 1;
    journal.evicted_in_use += u64::from(is_in_use);
    http::plain(StatusCode::OK, "unloaded")
}

/// Returns a response that aborts the connection, as when the process crashes.
pub fn aborted_response() -> Response<Body> {
    // The sender is dropped without having finished the response.
    body::streamed(StatusCode::BAD_GATEWAY, "text/plain").1
}

/// Reads a command after checking its fencing token.
async fn read_command(
    engine: &Engine,
    request: Request<Incoming>,
) -> Result<Command, Box<Response<Body>>> {
    let fencing_token =
        request.headers().get(FENCING_TOKEN_HEADER).and_then(|token| token.to_str().ok());
    let fencing_token = fencing_token.and_then(|token| token.parse::<u64>().ok()).unwrap_or(0);
    let body = http::read(&engine.kernel, request).await?;
    if engine.settings.fencing == Fencing::Enforce {
        let mut state = engine.state.lock();
        if fencing_token < state.highest_fencing_token {
            engine.journal.lock().fenced_off += 1;
            let response = http::plain(StatusCode::CONFLICT, "old fencing number");
            return Err(Box::new(response));
        }
        state.highest_fencing_token = fencing_token;
    }
    serde_json::from_slice(&body)
        .map_err(|error| Box::new(http::plain(StatusCode::BAD_REQUEST, &error.to_string())))
}
