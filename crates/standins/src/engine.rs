//! Stand-in for a model engine that batches continuously and serves LoRA
//! adapters over the OpenAI-compatible dialect.
//!
//! Its answers name what ran (adapter, version and a digest of the prompt), so
//! that a wrong adapter and a crossed or cut answer are visible to any client.

mod batch;
mod completion;
mod orders;

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

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Adapters that fit at once.
    pub slots: usize,
    /// Requests that are decoded together.
    pub batch: usize,
    /// Time of one decoding step.
    pub step: Duration,
    /// Time that the engine is away after a crash.
    pub restart: Duration,
    /// The weight store.
    pub store: SocketAddr,
    pub fencing: Fencing,
}

/// Whether the engine checks fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    Refuse,
    Ignore,
}

/// Scripted faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crashes now.
    pub crash: bool,
    /// Crashes when it starts a prompt that contains this text.
    pub crash_on: Option<String>,
    /// The next so many loads fail.
    pub fail_loads: u64,
    /// The next so many answers stop short.
    pub truncate: u64,
    /// The next so many answers name another adapter.
    pub cross: u64,
    /// Crashes silently lose adapters: a cold restart under the same address.
    pub cold: bool,
}

/// One run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub request: String,
    pub model: String,
    /// Digest of the prompt.
    pub digest: String,
    /// Names of headers that carried a caller's key; has to stay empty.
    pub leaked: Vec<String>,
}

/// What the engine did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Journal {
    pub runs: Vec<Run>,
    pub crashes: u64,
    pub loads: u64,
    pub unloads: u64,
    /// Orders refused for an old fencing number.
    pub fenced_off: u64,
    /// Adapters dropped while a request ran on them.
    pub evicted_in_use: u64,
    /// Tokens generated and steps taken, for batch efficiency.
    pub tokens: u64,
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
    highest_fence: u64,
    /// Counts crashes; a run started under another generation is lost.
    generation: u64,
    away_until: Instant,
}

/// Serves the engine until `drain` stops.
pub async fn serve(kernel: Kernel, listener: TcpListener, drain: Drain, settings: Settings) {
    let state = State {
        adapters: BTreeSet::new(),
        highest_fence: 0,
        generation: 0,
        away_until: kernel.clock.now(),
    };
    let engine = Arc::new(Engine {
        kernel: kernel.clone(),
        faults: Mutex::default(),
        journal: Mutex::default(),
        state: Mutex::new(state),
        batch: Batch::default(),
        settings,
    });
    kernel.spawn_detached(batch::step_forever(Arc::clone(&engine)));
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
    if engine.is_away() {
        return orders::cut();
    }
    match path.as_str() {
        "/health" => http::plain(StatusCode::OK, "ok"),
        "/v1/models" => orders::models(&engine),
        "/v1/load_lora_adapter" => orders::load(&engine, request).await,
        "/v1/unload_lora_adapter" => orders::unload(&engine, request).await,
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
        state.away_until = self.kernel.clock.now() + self.settings.restart;
        drop(state);
        self.journal.lock().crashes += 1;
        self.batch.clear();
    }

    fn is_away(&self) -> bool {
        self.kernel.clock.now() < self.state.lock().away_until
    }

    fn generation(&self) -> u64 {
        self.state.lock().generation
    }

    fn take(&self, count: impl FnOnce(&mut Faults) -> &mut u64) -> bool {
        let mut faults = self.faults.lock();
        let count = count(&mut faults);
        let is_set = 0 < *count;
        *count = count.saturating_sub(1);
        is_set
    }
}
