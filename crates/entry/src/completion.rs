//! Completion requests: `/v1/chat/completions` and `/v1/completions`.
//!
//! The cost of a request, in tokens, is an estimate of its prompt plus the maximum of its
//! answer. It is reserved before the first attempt.

use std::sync::Arc;

use hyper::{Request, Response, body::Incoming, header::CONTENT_TYPE};
use serde_json::{Value, json};

use fleet::{
    Name,
    change::{Repeat, Urgency},
    state::State,
};
use front::body::{self, Body, BodyError};
use quota::pool::Reservation;
use wire::frame::Target;

use crate::{
    Entry, admission,
    answer::{self, AdmittedJob},
    attempt, caller, handler, issuer,
    job::{self, Job},
    rejection::{Kind, Rejection},
};

const JSON: &str = "application/json";
/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Header that marks a request as `batch`; interactive requests are scheduled first.
const URGENCY_HEADER: &str = "chivelatch-urgency";

/// Parameters of a completion request.
struct Params {
    /// Body for the server, with `max_tokens` set; [`resolve_model`] has yet to replace the model.
    body: Value,
    /// Estimate from the length of the prompt.
    prompt_tokens: u64,
    max_tokens: u64,
}

/// Answers a completion request.
///
/// # Errors
///
/// Any rejection before the answer has started.
pub(crate) async fn run(
    entry: &Arc<Entry>,
    id: &Name,
    request: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let state = handler::require_state(entry)?;
    let caller = caller::authenticate(&state, request.headers())?;
    caller::recheck_key(entry, Some(&caller.key))?;
    check_content_type(&request)?;
    let path: Name = Arc::from(request.uri().path());
    let urgency = requested_urgency(&request);
    let body = read_body(entry, request).await?;
    let params = parse(entry, &body)?;
    let (target, body) = resolve_model(&state, params.body)?;
    let cost = params.prompt_tokens + params.max_tokens;
    let now = entry.node.now();
    let fingerprint = job::fingerprint(&target, "POST", &path, &body);
    let job = Job {
        request_id: Arc::clone(id),
        account: caller.account,
        key: Some(caller.key),
        target,
        method: Arc::from("POST"),
        path,
        content_type: Arc::from(JSON),
        body: Arc::from(body),
        cost,
        repeat: Repeat::Idempotent,
        urgency,
        fingerprint,
        arrived_at: now,
        deadline: now + entry.settings.start_timeout,
    };
    entry.node.note(id, format!("{} asks for {:?}, {cost} tokens", job.account, job.target));
    let reservation = admit(entry, &state, &job).await?;
    let admitted = AdmittedJob { reservation, job: job.clone() };
    match attempt::run(entry, &job).await {
        Ok(answer) => Ok(answer::respond(entry, admitted, answer).await),
        Err(rejection) => {
            answer::settle_rejected(entry, &admitted, &rejection).await;
            Err(rejection)
        }
    }
}

/// Reads a request body within the limits of size and time.
///
/// # Errors
///
/// The body is too large, arrives too slowly or is incomplete.
pub(crate) async fn read_body(
    entry: &Entry,
    request: Request<Incoming>,
) -> Result<bytes::Bytes, Rejection> {
    let (limit, time) = (entry.settings.max_body_bytes, entry.settings.body_timeout);
    let read = body::read(&entry.node.kernel, request.into_body(), limit, time).await;
    read.map_err(|error| {
        let kind = match error {
            BodyError::TooLarge { .. } => Kind::TooLarge,
            BodyError::TooSlow { .. } => Kind::TooSlow,
            BodyError::Incomplete => Kind::BadRequest,
            BodyError::NoMemory => Kind::Overloaded,
        };
        Rejection::not_run(kind, error.to_string())
    })
}

/// Reserves the tokens of a job.
///
/// # Errors
///
/// The account no longer exists, or see [`admission::reserve`].
pub(crate) async fn admit(
    entry: &Entry,
    state: &State,
    job: &Job,
) -> Result<Reservation, Rejection> {
    let limits = issuer::account_limits(state, &job.account).ok_or_else(|| {
        Rejection::not_run(Kind::Unauthorized, "the key's account is gone; ask the operators")
    })?;
    let reservation =
        admission::reserve(entry, &job.account, limits, job.cost, job.deadline).await?;
    entry.node.note(&job.request_id, format!("admitted {} tokens", reservation.amount()));
    Ok(reservation)
}

fn check_content_type(request: &Request<Incoming>) -> Result<(), Rejection> {
    let content_type = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    if content_type.is_none_or(|content_type| content_type.starts_with(JSON)) {
        return Ok(());
    }
    let message = "the body has another content type; send `Content-Type: application/json`";
    Err(Rejection::not_run(Kind::WrongContentType, message))
}

fn requested_urgency(request: &Request<Incoming>) -> Urgency {
    let urgency = request.headers().get(URGENCY_HEADER).map(hyper::http::HeaderValue::as_bytes);
    if urgency == Some(b"batch") { Urgency::Batch } else { Urgency::Interactive }
}

fn parse(entry: &Entry, body: &[u8]) -> Result<Params, Rejection> {
    let bad_request = |message: &str| Rejection::not_run(Kind::BadRequest, message);
    let mut value: Value = serde_json::from_slice(body)
        .map_err(|error| bad_request(&format!("the body is not JSON: {error}; mend it there")))?;
    let Some(object) = value.as_object_mut() else {
        return Err(bad_request(
            "the body is not a JSON object; send one with `model` and `messages`",
        ));
    };
    let prompt = object.get("messages").or(object.get("prompt"));
    let Some(prompt) = prompt.filter(|prompt| !prompt.is_null()) else {
        return Err(bad_request("there is neither `messages` nor `prompt`; send one of them"));
    };
    let prompt_tokens = (prompt.to_string().len() as u64).div_ceil(BYTES_PER_TOKEN);
    let max_tokens = object.get("max_tokens").or(object.get("max_completion_tokens"));
    let max_tokens = match max_tokens.filter(|max_tokens| !max_tokens.is_null()) {
        None => entry.settings.default_max_tokens,
        Some(max_tokens) => max_tokens
            .as_u64()
            .filter(|count| 0 < *count)
            .ok_or_else(|| bad_request("`max_tokens` is not a whole number above 0; correct it"))?,
    };
    object.insert("max_tokens".to_owned(), json!(max_tokens));
    if object.get("stream").is_some_and(|stream| stream == true) {
        // A stream reports the tokens used, which settle the reservation, only on request.
        object.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    }
    Ok(Params { body: value, prompt_tokens, max_tokens })
}

/// Resolves the requested model to an adapter version, and writes that version into the body.
/// The model is resolved once, on arrival, so that all attempts use the same version.
fn resolve_model(state: &State, mut body: Value) -> Result<(Target, Vec<u8>), Rejection> {
    let Some(model) = body.get("model").and_then(Value::as_str) else {
        let message =
            "there is no `model`; name an adapter, as in `council-001` or `council-001@2`";
        return Err(Rejection::not_run(Kind::BadRequest, message));
    };
    let Some((adapter, version)) = state.resolve(model) else {
        let message = format!("`{model}` is not published; see GET /v1/models");
        return Err(Rejection::not_run(Kind::NotFound, message));
    };
    body["model"] = json!(format!("{adapter}@{version}"));
    let bytes = serde_json::to_vec(&body).expect("a parsed JSON value can be serialized");
    Ok((Target::Adapter { adapter, version }, bytes))
}
