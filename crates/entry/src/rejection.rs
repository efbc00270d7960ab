//! Rejections of callers' requests: the cause and its remedy, the HTTP status, and
//! whether the request ran. Kinds, outcomes and headers are the callers' interface.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use serde_json::json;

use front::body::{self, Body};

/// Header with the [`Outcome`] of the request.
pub const OUTCOME_HEADER: &str = "chivelatch-outcome";
/// Header with the id of the request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No backend server began to run it.
    NotRun,
    Completed,
    /// It may have run.
    Unknown,
}

/// Kind of a rejection. Its name is part of the callers' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    BadRequest,
    Unauthorized,
    NotFound,
    TooLarge,
    TooSlow,
    WrongContentType,
    RateLimited,
    BeyondBurst,
    Overloaded,
    NotReady,
    KeyReused,
    InProgress,
    OutcomeUnknown,
    LedgerUnavailable,
    Quarantined,
    BackendFailed,
}

/// Error answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub kind: Kind,
    pub outcome: Outcome,
    /// Cause and remedy.
    pub message: String,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Outcome {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Completed => "completed",
            Outcome::Unknown => "unknown",
        }
    }
}

impl Kind {
    /// Returns the value of `error.type`.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad_request",
            Kind::Unauthorized => "unauthorized",
            Kind::NotFound => "not_found",
            Kind::TooLarge => "too_large",
            Kind::TooSlow => "too_slow",
            Kind::WrongContentType => "wrong_content_type",
            Kind::RateLimited => "rate_limited",
            Kind::BeyondBurst => "beyond_burst",
            Kind::Overloaded => "overloaded",
            Kind::NotReady => "not_ready",
            Kind::KeyReused => "idempotency_key_reused",
            Kind::InProgress => "in_progress",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::LedgerUnavailable => "ledger_unavailable",
            Kind::Quarantined => "quarantined",
            Kind::BackendFailed => "backend_failed",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Kind::BadRequest => StatusCode::BAD_REQUEST,
            Kind::Unauthorized => StatusCode::UNAUTHORIZED,
            Kind::NotFound => StatusCode::NOT_FOUND,
            Kind::TooLarge | Kind::BeyondBurst => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Kind::WrongContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Kind::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Kind::Overloaded | Kind::NotReady | Kind::LedgerUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Kind::KeyReused | Kind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::InProgress => StatusCode::CONFLICT,
            Kind::OutcomeUnknown | Kind::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

impl Rejection {
    /// Creates a rejection of a request that did not run. Unless a
    /// [retry-after time](Rejection::retry_after) is set, a retry of the same request is
    /// rejected again.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Rejection {
        Rejection { kind, outcome: Outcome::NotRun, message: message.into(), retry_after: None }
    }

    /// Creates a rejection of a request that may have run.
    pub fn unknown(kind: Kind, message: impl Into<String>) -> Rejection {
        Rejection { kind, outcome: Outcome::Unknown, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, wait: Duration) -> Rejection {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the JSON body of the answer to the request with id `request`.
    pub fn body(&self, request: &str) -> String {
        json!({ "error": {
            "type": self.kind.name(),
            "message": self.message,
            "request_id": request,
            "outcome": self.outcome.name(),
        }})
        .to_string()
    }

    /// Returns the answer to the request with id `request`. The `Retry-After` header is in
    /// whole seconds, rounded up, and at least 1.
    pub fn response(&self, request: &str) -> Response<Body> {
        let mut response = body::full(self.kind.status(), "application/json", self.body(request));
        if let Some(wait) = self.retry_after {
            let seconds = (wait.as_millis().div_ceil(1000) as u64).max(1);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        add_standard_headers(&mut response, request, self.outcome);
        response
    }
}

/// Adds the headers that every answer has: the outcome and the id of the request.
pub fn add_standard_headers(response: &mut Response<Body>, request: &str, outcome: Outcome) {
    let headers = response.headers_mut();
    headers
        .insert(HeaderName::from_static(OUTCOME_HEADER), HeaderValue::from_static(outcome.name()));
    if let Ok(request) = HeaderValue::from_str(request) {
        headers.insert(HeaderName::from_static(REQUEST_HEADER), request);
    }
}
