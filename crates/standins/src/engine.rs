//! Stand-in for a model engine with continuous batching, which serves LoRA adapters over an
//! OpenAI-compatible API.
//!
//! Its answers state the adapter, the version and a digest of the prompt, so that any client
//! can detect a wrong adapter and a mixed-up or truncated answer.

mod adapters;
mod batch;
mod completion;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_net::TcpListener;
use hyper::{Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use front::{body::Body, server};
use kernel::{Kernel, drain::Drain};

use crate::{engine::batch::Batch, http};

/// Settings of the engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests decoded in one step.
    pub batch: usize,
    /// Duration of one decoding step.
    pub step: Duration,
    /// Downtime after a crash.
    pub restart: Duration,
    /// Address of the weight store.
    pub store: SocketAddr,
    pub fencing: Fencing,
}

/// Whether the engine enforces fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    Enforce,
    Ignore,
}

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crashes the engine when the faults are set.
    pub crash: bool,
    /// Crashes the engine when it receives a prompt that contains this text.
    pub crash_on: Option<String>,
    /// Number of upcoming loads that fail.
    pub fail_loads: u64,
    /// Number of upcoming answers that are truncated.
    pub truncate: u64,
    /// Number of upcoming answers that name another adapter.
    pub cross: u64,
    /// Drops all adapters without a crash when the faults are set, like an unnoticed restart
    /// under the same address.
    pub cold: bool,
}

/// A completion request that the engine started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub request: String,
    pub model: String,
    /// Digest of the prompt.
    pub digest: String,
    /// Names of headers with a caller's key; must be empty.
    pub leaked: Vec<String>,
}

/// Record of what the engine did, for the checks of tests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Journal {
    pub runs: Vec<Run>,
    pub crashes: u64,
    pub loads: u64,
    pub unloads: u64,
    /// Commands rejected for a stale fencing token.
    pub fenced_off: u64,
    /// Adapters evicted while a request was running on them.
    pub evicted_in_use: u64,
    /// Generated tokens; per step they give the batch efficiency.
    pub tokens: u64,
    /// Decoding steps that generated a token.
    pub steps: u64,
}

#[derive(Debug)]
struct Engine {
    kernel: Kernel,
    settings: Settings,
    faults: Mutex<Faults>,
    journal: Mutex<Journal>,
    state: Mutex<State>,
    batch: Batch,
}

#[derive(Debug)]
struct State {
    adapters: BTreeSet<String>,
    highest_fencing_token: u64,
    /// Number of crashes; requests of an earlier generation are lost.
    generation: u64,
    down_until: Instant,
}

/// Runs the engine until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, settings: Settings) {
    let state = State {
        adapters: BTreeSet::new(),
        highest_fencing_token: 0,
        generation: 0,
        down_until: kernel.clock.now(),
    };
    let engine = Arc::new(Engine {
        kernel: kernel.clone(),
        faults: Mutex::default(),
        journal: Mutex::default(),
        state: Mutex::new(state),
        batch: Batch::default(),
        settings,
    });
    kernel.spawn_detached(batch::run_steps(Arc::clone(&engine)));
    let handle = move |request| answer(Arc::clone(&engine), request);
    server::serve(&kernel, listener, &drain, handle).await;
}

async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/faults" => {
            let kernel = engine.kernel.clone();
            return http::set_faults(&kernel, request, |faults| engine.set_faults(faults)).await;
        }
        "/journal" => return http::json(StatusCode::OK, &*engine.journal.lock()),
        _ => {}
    }
    if engine.is_down() {
        return adapters::aborted_response();
    }
    match path.as_str() {
        "/health" => http::plain(StatusCode::OK, "ok"),
        "/v1/models" => adapters::models(&engine),
        "/v1/load_lora_adapter" => adapters::load(&engine, request).await,
        "/v1/unload_lora_adapter" => adapters::unload(&engine, request).await,
        "/v1/completions" | "/v1/chat/completions" => completion::run(engine, request).await,
        _ => http::plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

impl Engine {
    fn set_faults(&self, faults: Faults) {
        let crashes_now = faults.crash;
        let is_cold = faults.cold;
        *self.faults.lock() = faults;
        if is_cold {
            self.state.lock().adapters.clear();
        }
        if crashes_now {
            self.crash();
        }
    }

    fn crash(&self) {
        let mut state = self.state.lock();
        state.generation += 1;
        state.adapters.clear();
        state.down_until = self.kernel.clock.now() + self.settings.restart;
        drop(state);
        self.journal.lock().crashes += 1;
        self.batch.clear();
    }

    fn is_down(&self) -> bool {
        self.kernel.clock.now() < self.state.lock().down_until
    }

    fn generation(&self) -> u64 {
        self.state.lock().generation
    }

    /// Consumes one of the counted faults; returns whether one was left.
    fn take_fault(&self, count: impl FnOnce(&mut Faults) -> &mut u64) -> bool {
        let mut faults = self.faults.lock();
        let count = count(&mut faults);
        let is_set = 0 < *count;
        *count = count.saturating_sub(1);
        is_set
    }
}
