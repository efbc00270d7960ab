//! Execution of an attempt at the backend server: sends the request, checks the
//! response and relays it to the calling instance.
//!
//! A response of an engine is checked against the request before it is relayed,
//! and a failed exchange is classified as an engine crash or a bad response.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};

use services::{
    body::{self, Body},
    engine::REQUEST_ID_HEADER,
    http,
};
use wire::frame::{Attempt, AttemptId, Broken, Head, NotBegun, Reply, Target};

use crate::{
    Side,
    attempt::{Disconnected, End, Responder},
    dispatch::Ticket,
    engine_watch,
    events::{self, Checker, Fault},
    key_of, load,
};

/// Largest response body that is buffered instead of streamed.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Size of the chunks in which a buffered body is relayed.
const CHUNK_BYTES: usize = 256 * 1024;

/// Runs an admitted attempt.
pub(crate) async fn run(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: Ticket,
    responder: &mut Responder,
) -> Result<End, Disconnected> {
    if side.held_lease().is_none() {
        return Ok(End::NotBegun(NotBegun::NotHolder));
    }
    let Some(request) = build_request(attempt) else {
        return Ok(End::NotBegun(NotBegun::WrongTarget));
    };
    responder.mark_begun();
    let response = responder.wait_with_keepalive(side, side.engine.send(request)).await?;
    match response {
        Ok(response) => relay_response(side, attempt, &ticket, responder, response).await,
        Err(http::Error::Connect { .. }) => {
            ticket.mark_engine_done();
            engine_watch::record_crash(side, ticket.epoch);
            Ok(End::NotBegun(NotBegun::EngineDown))
        }
        Err(_) => Ok(diagnose_failure(side, attempt, &ticket).await),
    }
}

/// Builds the request to the backend server. Of the caller's headers only the content type is
/// passed on. Returns `None` when the method, path or content type is invalid.
fn build_request(attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(&*attempt.method)
        .uri(&*attempt.path)
        .header(CONTENT_TYPE, &*attempt.content_type)
        .header(REQUEST_ID_HEADER, backend_request_id(&attempt.id))
        .body(Full::new(Bytes::from(attempt.body.clone())))
        .ok()
}

/// Returns the request id that the backend server sees, unique to one attempt.
fn backend_request_id(id: &AttemptId) -> String {
    format!("{}.{}", id.request, id.attempt)
}

/// Checks the head of a response, then relays it event by event or as a buffered body.
async fn relay_response(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    response: Response<Body>,
) -> Result<End, Disconnected> {
    if has_lost_adapter(side, attempt, &response).await {
        ticket.mark_engine_done();
        mark_adapter_lost(side, attempt);
        return Ok(End::NotBegun(NotBegun::LoadFailed));
    }
    if !has_matching_id(attempt, &response) {
        log::error!(
            "rejected the response to {}: it carries the id of another request",
            attempt.id.request
        );
        return Ok(End::Broken(Broken::BadAnswer));
    }
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("text/plain");
    let head = Head {
        id: attempt.id.clone(),
        status: response.status().as_u16(),
        content_type: Arc::from(content_type),
    };
    let is_stream = body::is_event_stream(response.headers()) && response.status().is_success();
    if is_stream && key_of(&attempt.target).is_some() {
        relay_events(side, attempt, ticket, responder, head, response.into_body()).await
    } else {
        relay_body(side, attempt, ticket, responder, head, response.into_body()).await
    }
}

/// Relays an event stream; only complete, checked events are passed on.
async fn relay_events(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    head: Head,
    mut body: Body,
) -> Result<End, Disconnected> {
    let mut checker = Checker::new(&attempt.target_name());
    let mut head = Some(head);
    while let Some(frame) = responder.wait_with_keepalive(side, body.frame()).await? {
        let Ok(frame) = frame else { return Ok(diagnose_failure(side, attempt, ticket).await) };
        let Ok(bytes) = frame.into_data() else { continue };
        let checked = match checker.feed(&bytes) {
            Ok(checked) => checked,
            Err(fault) => return Ok(reject_response(attempt, fault)),
        };
        if checked.is_empty() {
            continue;
        }
        if let Some(head) = head.take() {
            responder.send(&Reply::Head(head)).await?;
        }
        responder.send_chunk(&checked).await?;
    }
    match checker.finish() {
        Ok(tokens) => {
            ticket.mark_engine_done();
            Ok(End::Whole { tokens })
        }
        Err(fault) => Ok(reject_response(attempt, fault)),
    }
}

/// Buffers a response body, checks it if it is a completion, and relays it in chunks.
async fn relay_body(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    head: Head,
    body: Body,
) -> Result<End, Disconnected> {
    let collected =
        responder.wait_with_keepalive(side, Limited::new(body, MAX_BODY_BYTES).collect()).await?;
    let Ok(collected) = collected else { return Ok(diagnose_failure(side, attempt, ticket).await) };
    let body = collected.to_bytes();
    let is_completion = key_of(&attempt.target).is_some() && head.status == StatusCode::OK.as_u16();
    let tokens = match is_completion.then(|| events::check_body(&body, &attempt.target_name())) {
        Some(Ok(tokens)) => tokens,
        Some(Err(fault)) => return Ok(reject_response(attempt, fault)),
        None => None,
    };
    ticket.mark_engine_done();
    responder.send(&Reply::Head(head)).await?;
    for piece in body.chunks(CHUNK_BYTES) {
        responder.send_chunk(piece).await?;
    }
    Ok(End::Whole { tokens })
}

/// Logs and counts a response that failed its check.
fn reject_response(attempt: &Attempt, fault: Fault) -> End {
    log::error!("rejected the engine's response to {}: {fault:?}", attempt.id.request);
    metrics::counter!("chivelatch_bad_answers_total").increment(1);
    End::Broken(Broken::BadAnswer)
}

/// Determines whether a failed exchange was due to a crash of the engine.
async fn diagnose_failure(side: &Arc<Side>, attempt: &Attempt, ticket: &Ticket) -> End {
    let Target::Adapter { .. } = attempt.target else {
        return End::Broken(Broken::BadAnswer);
    };
    let is_up = engine_watch::has_adapter(side, &attempt.target_name()).await;
    let has_crashed = side.core.lock().epoch != ticket.epoch;
    if is_up && !has_crashed {
        return End::Broken(Broken::BadAnswer);
    }
    ticket.mark_engine_done();
    engine_watch::record_crash(side, ticket.epoch);
    End::Broken(Broken::EngineCrashed { crash: side.crash_id(ticket.epoch) })
}

/// Returns whether the engine lost the adapter. An engine that restarted at the same address has
/// no adapters loaded and responds with 404 before it runs anything.
async fn has_lost_adapter(side: &Side, attempt: &Attempt, response: &Response<Body>) -> bool {
    response.status() == StatusCode::NOT_FOUND
        && key_of(&attempt.target).is_some()
        && !engine_watch::has_adapter(side, &attempt.target_name()).await
}

/// Frees the slot of the adapter as soon as it is unpinned, so that a later request loads it again.
fn mark_adapter_lost(side: &Side, attempt: &Attempt) {
    let Some(key) = key_of(&attempt.target) else { return };
    log::warn!(
        "the engine of {} lost {}; the next request loads it again",
        side.settings.server,
        load::model_name(&key)
    );
    side.core.lock().slots.mark_lost(&key);
}

/// Returns whether the response belongs to the attempt. Engines return the id of the request;
/// a response without an id is accepted.
fn has_matching_id(attempt: &Attempt, response: &Response<Body>) -> bool {
    let returned = response.headers().get(REQUEST_ID_HEADER);
    let expected = HeaderValue::from_str(&backend_request_id(&attempt.id)).ok();
    returned.is_none() || returned == expected.as_ref()
}
