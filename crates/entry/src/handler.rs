//! HTTP requests of callers, dispatched by method and path.
//!
//! Every request, except those for health and metrics, gets an id and counts as in
//! flight until its answer has started.

use std::{sync::Arc, sync::atomic::Ordering};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use fleet::Name;
use front::body::{self, Body};

use crate::{
    Entry, caller, completion,
    rejection::{Kind, Outcome, Rejection, add_standard_headers},
    service,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETION_PATH: &str = "/v1/completions";
const SERVICE_PREFIX: &str = "/svc/";

/// Answers one HTTP request. A rejection is counted, logged and turned into its JSON answer.
pub(crate) async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/health/live" => return body::full(StatusCode::OK, "text/plain", "live\n"),
        "/health/ready" => return readiness(&entry),
        "/metrics" => return body::full(StatusCode::OK, "text/plain", kernel::metrics::render()),
        _ => {}
    }
    let id: Name = Arc::from(format!("r-{:016x}", rand::random::<u64>()));
    entry.in_flight.fetch_add(1, Ordering::Relaxed);
    let answered = answer(&entry, &id, &path, request).await;
    entry.in_flight.fetch_sub(1, Ordering::Relaxed);
    answered.unwrap_or_else(|rejection| reject(&entry, &id, &rejection))
}

async fn answer(
    entry: &Arc<Entry>,
    id: &Name,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    match (request.method(), path) {
        (&Method::POST, CHAT_PATH | COMPLETION_PATH) => completion::run(entry, id, request).await,
        (&Method::GET, "/v1/models") => list_models(entry, id, &request),
        (_, CHAT_PATH | COMPLETION_PATH | "/v1/models") => {
            let message =
                "the path does not take this method; use POST for completions and GET for models";
            Err(Rejection::not_run(Kind::BadRequest, message))
        }
        _ if path.starts_with(SERVICE_PREFIX) => service::run(entry, id, request).await,
        _ => {
            let message = "no such path; use /v1/chat/completions, /v1/completions, \
                           /v1/models or /svc/ROUTE/";
            Err(Rejection::not_run(Kind::NotFound, message))
        }
    }
}

/// Reports readiness: the configuration is known and the instance is not stopping.
fn readiness(entry: &Entry) -> Response<Body> {
    let is_ready = entry.node.state().is_some() && !entry.node.drain.is_stopping();
    let (status, text) = if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    body::full(status, "text/plain", text)
}

fn list_models(
    entry: &Entry,
    id: &Name,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let state = require_state(entry)?;
    caller::authenticate(&state, request.headers())?;
    let data = state.adapters.iter().flat_map(|(name, adapter)| {
        adapter.versions.iter().map(move |(version, model)| {
            json!({ "id": format!("{name}@{version}"), "object": "model", "parent": model })
        })
    });
    let list = json!({ "object": "list", "data": data.collect::<Vec<_>>() });
    let mut response = body::full(StatusCode::OK, "application/json", list.to_string());
    add_standard_headers(&mut response, id, Outcome::Completed);
    Ok(response)
}

/// Returns the configuration.
///
/// # Errors
///
/// [`Kind::NotReady`] with a retry-after time while the configuration is not known yet.
pub(crate) fn require_state(entry: &Entry) -> Result<Arc<fleet::state::State>, Rejection> {
    const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
    let message = "this instance does not know the configuration yet; send the request again";
    let rejection =
        || Rejection::not_run(Kind::NotReady, message).retry_after(NOT_READY_RETRY_AFTER);
    entry.node.state().ok_or_else(rejection)
}

fn reject(entry: &Entry, id: &Name, rejection: &Rejection) -> Response<Body> {
    let (kind, outcome) = (rejection.kind.name(), rejection.outcome.name());
    metrics::counter!("chivelatch_refusals_total", "type" => kind, "outcome" => outcome)
        .increment(1);
    entry.node.note(id, format!("refused: {kind}, {outcome}: {}", rejection.message));
    log::info!(request = &**id, kind = kind, outcome = outcome; "refused");
    rejection.response(id)
}
