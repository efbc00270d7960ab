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
    Side,
    attempt::{End, Gone, Outlet},
    dispatch::Ticket,
    engine_watch,
    events::{self, Checker, Fault},
    key_of, load,
};

/// Largest answer that is not streamed, in bytes.
const MAX_WHOLE_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a whole answer in one frame.
const CHUNK_BYTES: usize = 256 * 1024;
const EVENT_STREAM: &str = "text/event-stream";

/// Runs an attempt that holds a ticket.
pub(crate) async fn run(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: Ticket,
    outlet: &mut Outlet,
) -> Result<End, Gone> {
    if side.held().is_none() {
        return Ok(End::NotBegun(NotBegun::NotHolder));
    }
    let Some(request) = build(attempt) else {
        return Ok(End::NotBegun(NotBegun::WrongTarget));
    };
    outlet.begin();
    let response = outlet.patiently(side, side.engine.send(request)).await?;
    match response {
        Ok(response) => relay(side, attempt, &ticket, outlet, response).await,
        Err(http::Error::Connect { .. }) => {
            ticket.set_over();
            engine_watch::note_crash(side, ticket.epoch);
            Ok(End::NotBegun(NotBegun::EngineDown))
        }
        Err(_) => Ok(broken(side, attempt, &ticket).await),
    }
}

/// The request as the backend server gets it; nothing of the caller's headers
/// but the content type goes along.
fn build(attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(&*attempt.method)
        .uri(&*attempt.path)
        .header(CONTENT_TYPE, &*attempt.content_type)
        .header(REQUEST_ID_HEADER, backend_id(&attempt.id))
        .body(Full::new(Bytes::from(attempt.body.clone())))
        .ok()
}

fn backend_id(id: &AttemptId) -> String {
    format!("{}.{}", id.request, id.attempt)
}

async fn relay(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    outlet: &mut Outlet,
    response: Response<Incoming>,
) -> Result<End, Gone> {
    if is_lost_adapter(side, attempt, &response).await {
        ticket.set_over();
        forget_adapter(side, attempt);
        return Ok(End::NotBegun(NotBegun::LoadFailed));
    }
    if !is_own_answer(attempt, &response) {
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
    if is_stream && key_of(&attempt.target).is_some() {
        relay_events(side, attempt, ticket, outlet, head, response.into_body()).await
    } else {
        relay_whole(side, attempt, ticket, outlet, head, response.into_body()).await
    }
}

async fn relay_events(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    outlet: &mut Outlet,
    head: Head,
    mut body: Incoming,
) -> Result<End, Gone> {
    let mut checker = Checker::new(&attempt.group());
    let mut head = Some(head);
    while let Some(frame) = outlet.patiently(side, body.frame()).await? {
        let Ok(frame) = frame else { return Ok(broken(side, attempt, ticket).await) };
        let Ok(bytes) = frame.into_data() else { continue };
        let checked = match checker.feed(&bytes) {
            Ok(checked) => checked,
            Err(fault) => return Ok(bad(attempt, fault)),
        };
        if checked.is_empty() {
            continue;
        }
        if let Some(head) = head.take() {
            outlet.send(&Reply::Head(head)).await?;
        }
        outlet.chunk(&checked).await?;
    }
    match checker.finish() {
        Ok(tokens) => {
            ticket.set_over();
            Ok(End::Whole { tokens })
        }
        Err(fault) => Ok(bad(attempt, fault)),
    }
}

async fn relay_whole(
    side: &Arc<Side>,
    attempt: &Attempt,
    ticket: &Ticket,
    outlet: &mut Outlet,
    head: Head,
    body: Incoming,
) -> Result<End, Gone> {
    let collected = outlet.patiently(side, Limited::new(body, MAX_WHOLE_BYTES).collect()).await?;
    let Ok(collected) = collected else { return Ok(broken(side, attempt, ticket).await) };
    let body = collected.to_bytes();
    let is_completion = key_of(&attempt.target).is_some() && head.status == StatusCode::OK.as_u16();
    let tokens = match is_completion.then(|| events::check_whole(&body, &attempt.group())) {
        Some(Ok(tokens)) => tokens,
        Some(Err(fault)) => return Ok(bad(attempt, fault)),
        None => None,
    };
    ticket.set_over();
    outlet.send(&Reply::Head(head)).await?;
    for piece in body.chunks(CHUNK_BYTES) {
        outlet.chunk(piece).await?;
    }
    Ok(End::Whole { tokens })
}

fn bad(attempt: &Attempt, fault: Fault) -> End {
    log::error!("the engine's answer to {} is not usable: {fault:?}", attempt.id.request);
    metrics::counter!("chivelatch_bad_answers_total").increment(1);
    End::Broken(Broken::BadAnswer)
}

/// The exchange broke off: either the engine crashed or only this answer did.
async fn broken(side: &Arc<Side>, attempt: &Attempt, ticket: &Ticket) -> End {
    let Target::Adapter { .. } = attempt.target else {
        return End::Broken(Broken::BadAnswer);
    };
    let is_up = engine_watch::has(side, &attempt.group()).await;
    let has_crashed = side.core.lock().epoch != ticket.epoch;
    if is_up && !has_crashed {
        return End::Broken(Broken::BadAnswer);
    }
    ticket.set_over();
    engine_watch::note_crash(side, ticket.epoch);
    End::Broken(Broken::EngineCrashed { crash: side.crash_id(ticket.epoch) })
}

/// An engine that restarted under the same address has lost its adapters, and
/// says so before it runs anything.
async fn is_lost_adapter(side: &Side, attempt: &Attempt, response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::NOT_FOUND
        && key_of(&attempt.target).is_some()
        && !engine_watch::has(side, &attempt.group()).await
}

fn forget_adapter(side: &Side, attempt: &Attempt) {
    let Some(key) = key_of(&attempt.target) else { return };
    log::warn!("the engine of {} lost {}", side.settings.server, load::model(&key));
    side.core.lock().slots.lose(&key);
}

/// Engines repeat the id of the request that they answer.
fn is_own_answer(attempt: &Attempt, response: &Response<Incoming>) -> bool {
    let repeated = response.headers().get(REQUEST_ID_HEADER);
    let expected = HeaderValue::from_str(&backend_id(&attempt.id)).ok();
    repeated.is_none() || repeated == expected.as_ref()
}
