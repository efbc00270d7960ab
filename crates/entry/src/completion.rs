//! Completions: `/v1/chat/completions` and `/v1/completions`.

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
/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Header by which a caller says that it can wait.
const URGENCY_HEADER: &str = "chivelatch-urgency";

/// What the request asks for.
struct Params {
    body: Value,
    prompt_tokens: u64,
    max_tokens: u64,
}

/// Answers a completion request.
///
/// # Errors
///
/// Any rejection before the answer has begun.
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

/// Reads a body within the limits.
///
/// # Errors
///
/// The body is too large, too slow or broken off.
pub(crate) async fn read_body(
    entry: &Entry,
    request: Request<Incoming>,
) -> Result<bytes::Bytes, Rejection> {
    let clock = &entry.node.kernel.clock;
    let (limit, time) = (entry.settings.max_body_bytes, entry.settings.body_timeout);
    let read = body::read(clock, request.into_body(), limit, time).await;
    read.map_err(|error| {
        let kind = match error {
            BodyError::TooLarge { .. } => Kind::TooLarge,
            BodyError::TooSlow { .. } => Kind::TooSlow,
            BodyError::Broken => Kind::BadRequest,
        };
        Rejection::not_run(kind, error.to_string())
    })
}

/// Reserves the tokens of a job.
///
/// # Errors
///
/// See [`admission::reserve`].
pub(crate) async fn admit(
    entry: &Entry,
    state: &State,
    job: &Job,
) -> Result<Reservation, Rejection> {
    let limits = issuer::account_limits(state, &job.account).ok_or_else(|| {
        Rejection::not_run(Kind::Unauthorized, "the key's account is gone; ask the operators")
    })?;
    let reservation = admission::reserve(entry, &job.account, limits, job.cost).await?;
    entry.node.note(&job.request_id, format!("admitted {} tokens", reservation.amount()));
    Ok(reservation)
}

fn check_content_type(request: &Request<Incoming>) -> Result<(), Rejection> {
    let given = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    if given.is_none_or(|given| given.starts_with(JSON)) {
        return Ok(());
    }
    let message = "the body has another content type; send `Content-Type: application/json`";
    Err(Rejection::not_run(Kind::WrongContentType, message))
}

fn requested_urgency(request: &Request<Incoming>) -> Urgency {
    let given = request.headers().get(URGENCY_HEADER).map(hyper::http::HeaderValue::as_bytes);
    if given == Some(b"batch") { Urgency::Batch } else { Urgency::Interactive }
}

fn parse(entry: &Entry, body: &[u8]) -> Result<Params, Rejection> {
    let bad = |message: &str| Rejection::not_run(Kind::BadRequest, message);
    let mut value: Value = serde_json::from_slice(body)
        .map_err(|error| bad(&format!("the body is not JSON: {error}; mend it there")))?;
    let Some(object) = value.as_object_mut() else {
        return Err(bad("the body is not a JSON object; send one with `model` and `messages`"));
    };
    let prompt = object.get("messages").or(object.get("prompt"));
    let Some(prompt) = prompt.filter(|prompt| !prompt.is_null()) else {
        return Err(bad("there is neither `messages` nor `prompt`; send one of them"));
    };
    let prompt_tokens = (prompt.to_string().len() as u64).div_ceil(BYTES_PER_TOKEN);
    let given = object.get("max_tokens").or(object.get("max_completion_tokens"));
    let max_tokens = match given.filter(|given| !given.is_null()) {
        None => entry.settings.default_max_tokens,
        Some(given) => given
            .as_u64()
            .filter(|count| 0 < *count)
            .ok_or_else(|| bad("`max_tokens` is not a whole number above 0; correct it"))?,
    };
    object.insert("max_tokens".to_owned(), json!(max_tokens));
    if object.get("stream").is_some_and(|stream| stream == true) {
        object.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    }
    Ok(Params { body: value, prompt_tokens, max_tokens })
}

/// Resolves the model once, on arrival; from here on the version is fixed.
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
    let bytes = serde_json::to_vec(&body).expect("a value that was parsed can be written");
    Ok((Target::Adapter { adapter, version }, bytes))
}
