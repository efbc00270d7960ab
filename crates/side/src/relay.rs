//! Running an attempt at the backend server and passing its answer on, checked.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};

use services::{engine::REQUEST_ID_HEADER, http};
use wire::frame::{Attempt, AttemptId, Broken, Head, NotBegun, Reply, Target};

use crate::{
    Side, adapter_key,
    attempt::{Disconnected, End, Responder},
    dispatch::Ticket,
    engine_watch,
    events::{self, Checker, Fault},
    load,
};

/// Largest answer that is not streamed, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a whole answer in one frame.
const CHUNK_BYTES: usize = 256 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// Runs an attempt that holds a ticket.
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

/// The request as the backend server gets it; nothing of the caller's headers
/// but the content type goes along.
fn build_request(attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(&*attempt.method)
        .uri(&*attempt.path)
        .header(CONTENT_TYPE, &*attempt.content_type)
        .header(REQUEST_ID_HEADER, backend_request_id(&attempt.id))
        .body(Full::new(Bytes::from(attempt.body.clone())))
        .ok()
}

fn backend_request_id(id: &AttemptId) -> String {
    format!("{}.{}", id.request, id.attempt)
}

async fn relay_response(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    response: Response<Incoming>,
) -> Result<End, Disconnected> {
    if has_lost_adapter(side, attempt, &response).await {
        ticket.mark_engine_done();
        mark_adapter_lost(side, attempt);
        return Ok(End::NotBegun(NotBegun::LoadFailed));
    }
    if !has_matching_id(attempt, &response) {
        log::error!("an answer for another request arrived for {}", attempt.id.request);
        return Ok(End::Broken(Broken::BadAnswer));
    }
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("text/plain");
    let head = Head {
        id: attempt.id.clone(),
        status: response.status().as_u16(),
        content_type: Arc::from(content_type),
    };
    let is_stream = content_type.starts_with(EVENT_STREAM) && response.status().is_success();
    if is_stream && adapter_key(&attempt.target).is_some() {
        relay_events(side, attempt, ticket, responder, head, response.into_body()).await
    } else {
        relay_body(side, attempt, ticket, responder, head, response.into_body()).await
    }
}

async fn relay_events(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    head: Head,
    mut body: Incoming,
) -> Result<End, Disconnected> {
    let mut checker = Checker::new(&attempt.group());
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
        responder.chunk(&checked).await?;
    }
    match checker.finish() {
        Ok(tokens) => {
            ticket.mark_engine_done();
            Ok(End::Whole { tokens })
        }
        Err(fault) => Ok(reject_response(attempt, fault)),
    }
}

async fn relay_body(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    responder: &mut Responder,
    head: Head,
    body: Incoming,
) -> Result<End, Disconnected> {
    let collected =
        responder.wait_with_keepalive(side, Limited::new(body, MAX_BODY_BYTES).collect()).await?;
    let Ok(collected) = collected else { return Ok(diagnose_failure(side, attempt, ticket).await) };
    let body = collected.to_bytes();
    let is_completion =
        adapter_key(&attempt.target).is_some() && head.status == StatusCode::OK.as_u16();
    let tokens = match is_completion.then(|| events::check_body(&body, &attempt.group())) {
        Some(Ok(tokens)) => tokens,
        Some(Err(fault)) => return Ok(reject_response(attempt, fault)),
        None => None,
    };
    ticket.mark_engine_done();
    responder.send(&Reply::Head(head)).await?;
    for piece in body.chunks(CHUNK_BYTES) {
        responder.chunk(piece).await?;
    }
    Ok(End::Whole { tokens })
}

fn reject_response(attempt: &Attempt, fault: Fault) -> End {
    log::error!("the engine's answer to {} is not usable: {fault:?}", attempt.id.request);
    metrics::counter!("chivelatch_bad_answers_total").increment(1);
    End::Broken(Broken::BadAnswer)
}

/// The exchange broke off: either the engine crashed or only this answer did.
async fn diagnose_failure(side: &Arc<Side>, attempt: &Attempt, ticket: &Ticket) -> End {
    let Target::Adapter { .. } = attempt.target else {
        return End::Broken(Broken::BadAnswer);
    };
    let is_up = engine_watch::has_adapter(side, &attempt.group()).await;
    let has_crashed = side.core.lock().epoch != ticket.epoch;
    if is_up && !has_crashed {
        return End::Broken(Broken::BadAnswer);
    }
    ticket.mark_engine_done();
    engine_watch::record_crash(side, ticket.epoch);
    End::Broken(Broken::EngineCrashed { crash: side.crash_id(ticket.epoch) })
}

/// An engine that restarted under the same address has lost its adapters, and
/// says so before it runs anything.
async fn has_lost_adapter(side: &Side, attempt: &Attempt, response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::NOT_FOUND
        && adapter_key(&attempt.target).is_some()
        && !engine_watch::has_adapter(side, &attempt.group()).await
}

fn mark_adapter_lost(side: &Side, attempt: &Attempt) {
    let Some(key) = adapter_key(&attempt.target) else { return };
    log::warn!("the engine of {} lost {}", side.settings.server, load::model_name(&key));
    side.core.lock().slots.lose(&key);
}

/// Engines repeat the id of the request that they answer.
fn has_matching_id(attempt: &Attempt, response: &Response<Incoming>) -> bool {
    let repeated = response.headers().get(REQUEST_ID_HEADER);
    let expected = HeaderValue::from_str(&backend_request_id(&attempt.id)).ok();
    repeated.is_none() || repeated == expected.as_ref()
}
