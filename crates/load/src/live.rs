//! Open-loop load on a running fleet: calls are sent at their times whether or
//! not earlier ones have been answered.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::BodyExt as _;
use serde::Serialize;
use serde_json::json;

use kernel::Kernel;
use services::http;

use crate::measure::{histogram, record};

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    pub target: SocketAddr,
    pub key: Arc<str>,
    /// Calls a second.
    pub rate: f64,
    pub length: Duration,
    pub adapters: u64,
    pub max_tokens: u64,
}

/// What came back.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    pub sent: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
}

/// Sends the calls and waits for their answers.
pub async fn run(kernel: &Kernel, plan: &Plan) -> Summary {
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let count = (plan.length.as_secs_f64() * plan.rate) as u64;
    let mut calls = Vec::new();
    for turn in 0..count {
        let (kernel_of_call, plan) = (kernel.clone(), plan.clone());
        calls.push(kernel.spawn(async move { call(&kernel_of_call, &plan, turn).await }));
        kernel.clock.sleep(interval).await;
    }
    let mut times = histogram();
    let mut summary = Summary { sent: count, ..Summary::default() };
    for call in calls {
        let (outcome, time) = call.await;
        match outcome {
            Outcome::Answered => {
                summary.answered += 1;
                record(&mut times, time);
            }
            Outcome::Refused => summary.refused += 1,
            Outcome::Failed => summary.failed += 1,
        }
    }
    summary.p50_ms = times.value_at_quantile(0.50);
    summary.p95_ms = times.value_at_quantile(0.95);
    summary.p99_ms = times.value_at_quantile(0.99);
    summary
}

async fn call(kernel: &Kernel, plan: &Plan, turn: u64) -> (Outcome, Duration) {
    let began = kernel.clock.now();
    let adapter = turn * 7 % plan.adapters + 1;
    let body = json!({
        "model": format!("council-{adapter:03}"),
        "max_tokens": plan.max_tokens,
        "messages": [{ "role": "user", "content": format!("question {turn}") }],
    });
    let mut request = http::post("/v1/chat/completions", "application/json", body.to_string());
    if let Ok(value) = format!("Bearer {}", plan.key).parse() {
        request.headers_mut().insert("authorization", value);
    }
    let outcome = match http::send(kernel, plan.target, request).await {
        Ok(response) if response.status().is_success() => {
            let body = response.into_body().collect().await;
            if body.is_ok() { Outcome::Answered } else { Outcome::Failed }
        }
        Ok(_) => Outcome::Refused,
        Err(_) => Outcome::Failed,
    };
    (outcome, kernel.clock.now() - began)
}
