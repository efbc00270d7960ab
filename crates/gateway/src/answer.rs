//! Answers of servers as callers get them, and the system's own refusals.

use std::time::Duration;

use front::body::{self, Body};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_ENCODING, HeaderValue, RETRY_AFTER},
    http::response,
};

use kernel::event::Event;
use serving::Name;

use crate::{
    entry::Entry,
    exchange::Failure,
    ports::{Ask, Marks},
};

/// An answer of this system in place of a server's.
pub struct Rejection {
    pub status: StatusCode,
    pub reason: &'static str,
    pub retry_after: Option<Duration>,
}

impl Rejection {
    pub fn plain(status: StatusCode, reason: &'static str) -> Rejection {
        Rejection { status, reason, retry_after: None }
    }

    pub fn later(reason: &'static str, retry_after: Duration) -> Rejection {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejection { status, reason, retry_after: Some(retry_after) }
    }
}

/// A success counts only with the server's signature and as it was made.
pub fn check(head: &response::Parts, marks: &Marks) -> Result<(), Failure> {
    if head.status.is_success() && !marks.is_signed {
        return Err(Failure::Broken { reason: "a success without a signature".to_owned() });
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Broken { reason: "an encoding that nobody asked for".to_owned() });
    }
    Ok(())
}

/// The outcome of a whole answer, for logs and metrics.
pub fn outcome(status: StatusCode) -> &'static str {
    if status.is_success() { "complete" } else { "failed_by_server" }
}

/// The headers without those of one connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const OF_CONNECTION: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = OF_CONNECTION.contains(&name.as_str())
            || named.iter().any(|named| named == name.as_str());
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// The caller's answer for a rejection.
pub fn respond(entry: &Entry, id: Option<&Name>, rejection: &Rejection) -> Response<Body> {
    let mut response = body::full(rejection.status, "text/plain", rejection.reason);
    let headers = response.headers_mut();
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(entry.dialect.request_id.clone(), id);
    }
    if let Some(wait) = rejection.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        headers.insert(RETRY_AFTER, seconds.parse().expect("digits are a valid header value"));
    }
    response
}

/// Logs a rejection and counts it.
pub fn log_refusal(ask: &Ask, rejection: &Rejection, held: Duration) {
    let status = rejection.status.as_u16();
    metrics::counter!("chivelatch_refusals_total", "status" => status.to_string()).increment(1);
    log::info!(
        event = Event::Refused, request = &*ask.id, status, reason = rejection.reason,
        held_ms = held.as_millis() as u64,
        retry_after_ms = rejection.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "refused"
    );
}
