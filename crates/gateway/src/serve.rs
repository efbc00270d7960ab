//! Handling of one caller's request: authorization, body, rate limit and response.

use std::{sync::Arc, time::Duration};

use front::body::{self, Body, BodyError};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    http::request,
};

use kernel::event::Event;
use serving::{
    manifest::{Denial, Grant, Manifest},
    rejection,
};

use crate::{
    answer::{self, Rejection, end_to_end},
    entry::Entry,
    job::{Job, opened::Opened},
    ports::RequestMeta,
    relay::Relay,
    stop,
};

/// Retry time of a rejection for which no better estimate is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Assumed time that a caller waits if the request does not state it.
const DEFAULT_TIME_BUDGET: Duration = Duration::from_secs(30);
/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request.
pub async fn serve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let response = match accept(&entry, parts, body).await {
        Ok(job) => run(&entry, job).await,
        Err(response) => response,
    };
    with_connection_header(&entry, response)
}

/// Authorizes a request and reads its body.
///
/// # Errors
///
/// Returns the response of a rejected request.
async fn accept(
    entry: &Arc<Entry>,
    parts: request::Parts,
    body: Incoming,
) -> Result<Job, Response<Body>> {
    let arrived = entry.now();
    let meta = (entry.dialect.parse_request)(&parts).map_err(|error| {
        log::info!(event = Event::Refused, status = 400; "{error}");
        answer::rejection_response(
            entry,
            None,
            &Rejection::plain(StatusCode::BAD_REQUEST, error.reason),
        )
    })?;
    let reject = |rejection: Rejection| {
        answer::log_rejection(&meta, &rejection, entry.now().saturating_sub(arrived));
        answer::rejection_response(entry, Some(&meta.id), &rejection)
    };
    entry.wait_until_synced(arrived + rejection::startup_wait(arrived, time_budget(&meta))).await;
    let Some(manifest) = entry.manifest() else {
        return Err(reject(Rejection::later("no configuration yet", DEFAULT_RETRY_AFTER)));
    };
    let grant = authorize(&manifest, &meta, &parts).map_err(reject)?;
    let body = body::read(&entry.kernel, body, manifest.limits.body_bytes, BODY_TIMEOUT);
    let Ok(body) = entry.timeout(BODY_TIMEOUT, body).await else {
        return Err(reject(stop::rejection()));
    };
    let body = body.map_err(|error| {
        let status = match error {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => {
                let reason = "no memory for the body";
                return reject(Rejection::later(reason, DEFAULT_RETRY_AFTER));
            }
        };
        reject(Rejection::plain(status, "the body was not taken"))
    })?;
    let time_budget = time_budget(&meta);
    Ok(Job::new(entry, meta, parts, body, grant, arrived, time_budget))
}

/// Returns the time that the caller waits for the response.
fn time_budget(meta: &RequestMeta) -> Duration {
    meta.timeout.unwrap_or(DEFAULT_TIME_BUDGET)
}

/// Returns the route and client account of a request.
///
/// # Errors
///
/// Returns the rejection of an unknown route or key.
pub fn authorize(
    manifest: &Manifest,
    meta: &RequestMeta,
    parts: &request::Parts,
) -> Result<Grant, Rejection> {
    let grant = manifest.authorize(&meta.host, parts.uri.path(), meta.key.as_deref());
    grant.map_err(|denial| match denial {
        Denial::UnknownRoute => Rejection::plain(StatusCode::NOT_FOUND, "no such route"),
        Denial::UnknownKey => Rejection::plain(StatusCode::UNAUTHORIZED, "unknown key"),
    })
}

/// Runs an authorized request up to its whole response, or to the first chunk of its stream.
async fn run(entry: &Arc<Entry>, mut job: Job) -> Response<Body> {
    let budget = job.caller_deadline.saturating_sub(job.arrived);
    let wait_until = job.arrived + rejection::startup_wait(job.arrived, budget);
    if let Err(rejection) = job.charge(entry, wait_until).await {
        return job.reject(entry, &rejection);
    }
    let remaining = job.remaining(entry);
    let resolved = entry.timeout(remaining, job.resolve_take_up(entry)).await;
    if let Err(rejection) = resolved.unwrap_or_else(|_| Err(stop::rejection())) {
        return job.reject(entry, &rejection);
    }
    if job.grant.route.retry_policy.is_stream() {
        return match job.open_stream(entry).await {
            Ok(opened) => stream_response(entry, job, opened),
            Err(rejection) => job.reject(entry, &rejection),
        };
    }
    match job.fetch(entry).await {
        Ok(response) => response,
        Err(rejection) => job.reject(entry, &rejection),
    }
}

/// Returns the response that relays the answer to a stream's request.
fn stream_response(entry: &Arc<Entry>, job: Job, opened: Opened) -> Response<Body> {
    let mut response = Response::new(Body::default());
    let head = &opened.upstream().head;
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    *response.body_mut() = Relay::new(entry, job, opened).into_body();
    response
}

/// Asks the caller to close the connection if the instance is stopping.
fn with_connection_header(entry: &Entry, mut response: Response<Body>) -> Response<Body> {
    if entry.stop.has_begun() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
