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
    ports::{RequestMeta, ResponseMeta},
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
pub fn check(head: &response::Parts, meta: &ResponseMeta) -> Result<(), Failure> {
    if head.status.is_success() && !meta.is_signed {
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
    const HOP_BY_HOP: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<String> = listed
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str())
            || listed.iter().any(|listed| listed == name.as_str());
        if !is_hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// The caller's answer for a rejection.
pub fn rejection_response(
    entry: &Entry,
    id: Option<&Name>,
    rejection: &Rejection,
) -> Response<Body> {
    let mut response = body::whole(rejection.status, "text/plain", rejection.reason);
    let headers = response.headers_mut();
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(entry.dialect.request_id.clone(), id);
    }
    if let Some(delay) = rejection.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        headers.insert(RETRY_AFTER, seconds.parse().expect("digits are a valid header value"));
    }
    response
}

/// Logs a rejection and counts it.
pub fn log_rejection(meta: &RequestMeta, rejection: &Rejection, waited: Duration) {
    let status = rejection.status.as_u16();
    metrics::counter!("chivelatch_refusals_total", "status" => status.to_string()).increment(1);
    log::info!(
        event = Event::Refused, request = &*meta.id, status, reason = rejection.reason,
        held_ms = waited.as_millis() as u64,
        retry_after_ms = rejection.retry_after.map_or(0, |delay| delay.as_millis() as u64);
        "refused"
    );
}
