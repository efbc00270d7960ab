//! Completions, in one body or streamed.

use std::sync::Arc;

use async_channel::Receiver;
use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};

use fleet::digest::Digest;
use front::body::{self, Body, Sender};
use services::engine::REQUEST_ID_HEADER;

use crate::{
    engine::{Engine, Run, adapters},
    http, service,
};

/// Tokens generated for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Length of the digest in an answer.
const DIGEST_HEX_DIGITS: usize = 16;

#[derive(Deserialize)]
struct Params {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    messages: Option<Value>,
    prompt: Option<Value>,
}

/// An accepted request.
struct Job {
    id: String,
    model: String,
    is_chat: bool,
    prompt_tokens: u64,
    words: Vec<String>,
    generation: u64,
    tokens: Receiver<()>,
    is_truncated: bool,
}

/// Runs a completion request.
pub async fn run(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let is_chat = request.uri().path().ends_with("chat/completions");
    let id = request.headers().get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    let id = id.unwrap_or("none").to_owned();
    let leaked = service::leaked_keys(&request);
    let body = match http::read(&engine.kernel, request).await {
        Ok(body) => body,
        Err(rejection) => return *rejection,
    };
    let Ok(params) = serde_json::from_slice::<Params>(&body) else {
        return http::plain(StatusCode::BAD_REQUEST, "not a completion request");
    };
    let prompt = params.messages.or(params.prompt).unwrap_or_default().to_string();
    if !engine.state.lock().adapters.contains(&params.model) {
        return http::plain(StatusCode::NOT_FOUND, "the model does not exist");
    }
    let digest = Digest::of(&prompt).to_string()[..DIGEST_HEX_DIGITS].to_owned();
    let run =
        Run { request: id.clone(), model: params.model.clone(), digest: digest.clone(), leaked };
    engine.journal.lock().runs.push(run);
    if engine.is_crashed_by(&prompt) {
        engine.crash();
        return adapters::aborted_response();
    }
    let is_crossed = engine.take_fault(|faults| &mut faults.cross);
    let model = if is_crossed { "another@9".to_owned() } else { params.model.clone() };
    let count = params.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let job = Job {
        id,
        words: answer_words(&model, &digest, count),
        // Estimates a token as four bytes.
        prompt_tokens: (prompt.len() as u64).div_ceil(4),
        is_chat,
        generation: engine.generation(),
        tokens: engine.batch.add(&params.model, count),
        is_truncated: engine.take_fault(|faults| &mut faults.truncate),
        model,
    };
    if params.stream { respond_streaming(engine, job) } else { respond(&engine, job).await }
}

async fn respond(engine: &Engine, job: Job) -> Response<Body> {
    let mut received = 0;
    while received < job.words.len() && job.tokens.recv().await.is_ok() {
        received += 1;
    }
    if received < job.words.len() || job.generation != engine.generation() {
        return adapters::aborted_response();
    }
    let text = job.words.join(" ");
    let choice = if job.is_chat {
        json!({ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": text } })
    } else {
        json!({ "index": 0, "finish_reason": "stop", "text": text })
    };
    let answer = json!({
        "id": job.id,
        "object": if job.is_chat { "chat.completion" } else { "text_completion" },
        "model": job.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": received,
            "total_tokens": job.prompt_tokens + received as u64,
        },
    });
    let response = if job.is_truncated {
        truncated_response(&answer)
    } else {
        http::json(StatusCode::OK, &answer)
    };
    with_request_id(response, &job.id)
}

/// Returns the first half of an answer, framed as complete.
fn truncated_response(answer: &Value) -> Response<Body> {
    let text = answer.to_string();
    body::full(StatusCode::OK, "application/json", text[..text.len() / 2].to_owned())
}

fn respond_streaming(engine: Arc<Engine>, job: Job) -> Response<Body> {
    let (sender, response) = body::streamed(StatusCode::OK, "text/event-stream");
    let response = with_request_id(response, &job.id);
    let kernel = engine.kernel.clone();
    kernel.spawn_detached(async move { send_events(&engine, &job, sender).await });
    response
}

async fn send_events(engine: &Engine, job: &Job, sender: Sender) {
    let count = if job.is_truncated { job.words.len() / 2 } else { job.words.len() };
    for (index, word) in job.words.iter().take(count).enumerate() {
        if job.tokens.recv().await.is_err() || job.generation != engine.generation() {
            return;
        }
        let text = if index == 0 { word.clone() } else { format!(" {word}") };
        if sender.send(event(&chunk(job, &text))).await.is_err() {
            return;
        }
    }
    if job.is_truncated {
        return sender.finish().await;
    }
    let usage = json!({
        "id": job.id,
        "model": job.model,
        "choices": [],
        "usage": {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": job.words.len(),
            "total_tokens": job.prompt_tokens + job.words.len() as u64,
        },
    });
    let _closed = sender.send(event(&usage)).await;
    let _closed = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    sender.finish().await;
}

fn chunk(job: &Job, text: &str) -> Value {
    let choice = if job.is_chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": null })
    };
    let object = if job.is_chat { "chat.completion.chunk" } else { "text_completion" };
    json!({ "id": job.id, "object": object, "model": job.model, "choices": [choice] })
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// Returns the words of an answer: adapter, version and digest, padded or cut to `count` words.
fn answer_words(model: &str, digest: &str, count: u64) -> Vec<String> {
    let (adapter, version) = model.rsplit_once('@').unwrap_or((model, "?"));
    let markers =
        [format!("adapter={adapter}"), format!("version={version}"), format!("digest={digest}")];
    let filler = (markers.len() as u64..).map(|index| format!("w{index}"));
    markers.into_iter().chain(filler).take(count as usize).collect()
}

fn with_request_id(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    response
}

impl Engine {
    fn is_crashed_by(&self, prompt: &str) -> bool {
        let faults = self.faults.lock();
        faults.crash_on.as_ref().is_some_and(|text| prompt.contains(text))
    }
}
