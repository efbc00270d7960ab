//! One request of a caller from its head to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
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
    job::{Job, Sent},
    ports::Ask,
    relay::Relay,
};

/// Time for which a caller is asked to wait where nothing better is known.
pub const START_PAUSE: Duration = Duration::from_millis(500);
/// Time that callers wait where they do not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Time that a caller's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request.
pub async fn serve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let answer = match accept(&entry, parts, body).await {
        Ok(job) => run(&entry, job).await,
        Err(response) => response,
    };
    with_connection_header(&entry, answer)
}

/// Reads and checks a request.
async fn accept(
    entry: &Arc<Entry>,
    parts: request::Parts,
    body: Incoming,
) -> Result<Job, Response<Body>> {
    let arrived = entry.now();
    let ask = (entry.dialect.ask)(&parts).map_err(|error| {
        log::info!(event = Event::Refused, status = 400; "{error}");
        answer::respond(entry, None, &Rejection::plain(StatusCode::BAD_REQUEST, error.reason))
    })?;
    let refuse = |rejection: Rejection| {
        answer::log_refusal(&ask, &rejection, entry.now().saturating_sub(arrived));
        answer::respond(entry, Some(&ask.id), &rejection)
    };
    entry.wait_until_informed(arrived + rejection::startup_wait(arrived, patience(&ask))).await;
    let Some(manifest) = entry.manifest() else {
        return Err(refuse(Rejection::later("no configuration yet", START_PAUSE)));
    };
    let grant = authorize(&manifest, &ask, &parts).map_err(refuse)?;
    let limits = &manifest.limits;
    let body = body::read(&entry.kernel.clock, body, limits.body_bytes, BODY_TIMEOUT).await;
    let body = body.map_err(|error| {
        let status = match error {
            BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            BodyError::Incomplete => StatusCode::BAD_REQUEST,
        };
        refuse(Rejection::plain(status, "the body was not taken"))
    })?;
    let patience = patience(&ask);
    let limit = grant.route.timeout.map_or(patience, |timeout| timeout.min(patience));
    Ok(Job::new(ask, parts, body, grant, arrived, arrived + limit))
}

/// How long the caller waits.
fn patience(ask: &Ask) -> Duration {
    ask.patience.unwrap_or(DEFAULT_PATIENCE)
}

/// The route and client account of a request, by the configuration given.
pub fn authorize(
    manifest: &Manifest,
    ask: &Ask,
    parts: &request::Parts,
) -> Result<Grant, Rejection> {
    let grant = manifest.authorize(&ask.host, parts.uri.path(), ask.key.as_deref());
    grant.map_err(|denial| match denial {
        Denial::UnknownRoute => Rejection::plain(StatusCode::NOT_FOUND, "no such route"),
        Denial::UnknownKey => Rejection::plain(StatusCode::UNAUTHORIZED, "unknown key"),
    })
}

/// Runs an accepted request to its answer, or to the head of its stream.
async fn run(entry: &Arc<Entry>, mut job: Job) -> Response<Body> {
    if let Err(rejection) = job.charge(entry) {
        return job.refuse(entry, &rejection);
    }
    if job.grant.route.retry_policy.is_stream() {
        return match job.open(entry).await {
            Ok((sent, first)) => stream_answer(entry, job, sent, first).await,
            Err(rejection) => job.refuse(entry, &rejection),
        };
    }
    match job.fetch(entry).await {
        Ok(response) => response,
        Err(rejection) => job.refuse(entry, &rejection),
    }
}

async fn stream_answer(entry: &Arc<Entry>, job: Job, sent: Sent, first: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = sent.head.status;
    *response.headers_mut() = end_to_end(&sent.head.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    *response.body_mut() = Relay::new(entry, job, sent, first).into_body();
    response
}

fn with_connection_header(entry: &Entry, mut response: Response<Body>) -> Response<Body> {
    if entry.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
