//! Checks and headers of servers' responses, and the rejections that this instance sends itself.

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

/// Response of this instance in place of a server's.
pub struct Rejection {
    pub status: StatusCode,
    pub reason: &'static str,
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Returns a rejection without a retry time.
    pub fn plain(status: StatusCode, reason: &'static str) -> Rejection {
        Rejection { status, reason, retry_after: None }
    }

    /// Returns a rejection with a retry time.
    pub fn later(reason: &'static str, retry_after: Duration) -> Rejection {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejection { status, reason, retry_after: Some(retry_after) }
    }
}

/// Checks the head of a response.
///
/// # Errors
///
/// Returns [`Failure::Broken`] for a success without the server's signature, and for any content
/// encoding, since none was requested.
pub fn check_head(head: &response::Parts, meta: &ResponseMeta) -> Result<(), Failure> {
    if head.status.is_success() && !meta.is_signed {
        return Err(Failure::Broken {
            reason: "the successful response has no signature".to_owned(),
        });
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Broken {
            reason: "the response has a content encoding that was not requested".to_owned(),
        });
    }
    Ok(())
}

/// Returns the outcome of a whole response for logs and metrics.
pub fn outcome(status: StatusCode) -> &'static str {
    if status.is_success() { "complete" } else { "failed_by_server" }
}

/// Returns the headers without the hop-by-hop ones.
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

/// Returns the response to the caller for a rejection.
pub fn rejection_response(
    entry: &Entry,
    id: Option<&Name>,
    rejection: &Rejection,
) -> Response<Body> {
    let mut response = body::full(rejection.status, "text/plain", rejection.reason);
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

/// Logs and counts a rejection.
pub fn log_rejection(meta: &RequestMeta, rejection: &Rejection, waited: Duration) {
    let status = rejection.status.as_u16();
    metrics::counter!("chivelatch_refusals_total", "status" => status.to_string()).increment(1);
    log::info!(
        event = Event::Refused, request = &*meta.id, status, reason = rejection.reason,
        held_ms = waited.as_millis() as u64,
        retry_after_ms = rejection.retry_after.map_or(0, |delay| delay.as_millis() as u64);
        "request rejected"
    );
}
