//! Open-loop load generator for a running fleet: requests are sent at a fixed rate, whether or not
//! earlier ones have been answered.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::BodyExt as _;
use serde::Serialize;
use serde_json::json;

use kernel::Kernel;
use services::http;

use crate::measure::{histogram, record};

/// Requests to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Address of an entry instance.
    pub target: SocketAddr,
    /// API key of the client account.
    pub key: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    pub duration: Duration,
    /// Number of adapters, which are requested in turn.
    pub adapters: u64,
    pub max_tokens: u64,
}

/// Counts of the requests by outcome, and percentiles of the response time of the answered ones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    pub sent: u64,
    /// Complete responses with a success status.
    pub answered: u64,
    /// Responses with any other status.
    pub refused: u64,
    /// Requests without a complete response.
    pub failed: u64,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
}

/// Outcome of a request, counted in the field of [`Summary`] with its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
}

/// Sends the requests and waits for their responses.
pub async fn run(kernel: &Kernel, plan: &Plan) -> Summary {
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let count = (plan.duration.as_secs_f64() * plan.rate) as u64;
    let mut tasks = Vec::new();
    for sequence in 0..count {
        let (task_kernel, plan) = (kernel.clone(), plan.clone());
        tasks.push(kernel.spawn(async move { send(&task_kernel, &plan, sequence).await }));
        kernel.clock.sleep(interval).await;
    }
    let mut response_times = histogram();
    let mut summary = Summary { sent: count, ..Summary::default() };
    for task in tasks {
        let (outcome, response_time) = task.await;
        match outcome {
            Outcome::Answered => {
                summary.answered += 1;
                record(&mut response_times, response_time);
            }
            Outcome::Refused => summary.refused += 1,
            Outcome::Failed => summary.failed += 1,
        }
    }
    summary.p50_ms = response_times.value_at_quantile(0.50);
    summary.p95_ms = response_times.value_at_quantile(0.95);
    summary.p99_ms = response_times.value_at_quantile(0.99);
    summary
}

async fn send(kernel: &Kernel, plan: &Plan, sequence: u64) -> (Outcome, Duration) {
    let started_at = kernel.clock.now();
    let adapter = sequence * 7 % plan.adapters + 1;
    let body = json!({
        "model": format!("council-{adapter:03}"),
        "max_tokens": plan.max_tokens,
        "messages": [{ "role": "user", "content": format!("question {sequence}") }],
    });
    let mut request = http::post("/v1/chat/completions", "application/json", body.to_string());
    if let Ok(value) = format!("Bearer {}", plan.key).parse() {
        request.headers_mut().insert("authorization", value);
    }
    let outcome = match http::send(kernel, plan.target, request).await {
        Ok(response) if response.status().is_success() => {
            let body = response.into_body();
            // An entry instance states the end of each answer.
            let is_framed = body.framing().is_explicit();
            let is_whole = is_framed && body.collect().await.is_ok();
            if is_whole { Outcome::Answered } else { Outcome::Failed }
        }
        Ok(_) => Outcome::Refused,
        Err(_) => Outcome::Failed,
    };
    (outcome, kernel.clock.now() - started_at)
}
