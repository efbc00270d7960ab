//! The ports of an entry instance: callers, readiness, metrics, and copies of
//! what it knows for peers that cannot read the store.

use std::{net::SocketAddr, sync::Arc};

use front::{
    body::{self, Body},
    server::{self, HalfClose, Limits, ListenError},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use kernel::{Kernel, drain::Drain};
use serving::mirror::Mirror;

use crate::{entry::Entry, serve};

/// Smallest buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Path at which a peer reads what this instance knows.
pub const COPY_PATH: &str = "/copy";

/// Opens the ports and serves them until the instance stops.
///
/// # Errors
///
/// [`ListenError`] when a port is taken.
pub async fn start(entry: &Arc<Entry>) -> Result<(), ListenError> {
    let kernel = &entry.kernel;
    if let Some(address) = entry.settings.callers {
        let listener = server::listen(address).await?;
        let (entry, kernel) = (Arc::clone(entry), kernel.clone());
        let task = kernel.clone();
        task.spawn_detached(async move {
            let limits = || limits(&entry);
            let handle = {
                let entry = Arc::clone(&entry);
                move |request| serve::serve(Arc::clone(&entry), request)
            };
            server::serve_with_limits(&kernel, listener, &entry.drain, limits, handle).await;
        });
    }
    if let Some(address) = entry.settings.readiness {
        let entry = Arc::clone(entry);
        serve_small(kernel, address, move |_| readiness(&entry)).await?;
    }
    let copies = Arc::clone(entry);
    serve_small(kernel, entry.settings.mesh, move |path| copy(&copies, path)).await?;
    serve_metrics(kernel, entry.settings.metrics).await
}

/// Serves the metrics page.
///
/// # Errors
///
/// [`ListenError`] when the port is taken.
pub async fn serve_metrics(kernel: &Kernel, address: SocketAddr) -> Result<(), ListenError> {
    let page = |_: &str| body::full(StatusCode::OK, "text/plain", kernel::metrics::render());
    serve_small(kernel, address, page).await
}

/// Serves answers that are made at once, until the process ends.
async fn serve_small(
    kernel: &Kernel,
    address: SocketAddr,
    answer: impl Fn(&str) -> Response<Body> + Clone + Send + Sync + 'static,
) -> Result<(), ListenError> {
    let listener = server::listen(address).await?;
    let task = kernel.clone();
    let kernel = kernel.clone();
    task.spawn_detached(async move {
        let handle = move |request: Request<Incoming>| {
            let response = answer(request.uri().path());
            async move { response }
        };
        server::serve(&kernel, listener, &Drain::default(), handle).await;
    });
    Ok(())
}

fn readiness(entry: &Entry) -> Response<Body> {
    let (status, text) = if entry.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    body::full(status, "text/plain", text)
}

fn copy(entry: &Entry, path: &str) -> Response<Body> {
    if path != COPY_PATH {
        return body::full(StatusCode::NOT_FOUND, "text/plain", "no such page");
    }
    let copy = entry.with_knowledge(Mirror::to_peer_copy);
    let bytes = postcard::to_stdvec(&copy).expect("a copy holds only names, numbers and lists");
    body::full(StatusCode::OK, "application/octet-stream", bytes)
}

fn limits(entry: &Entry) -> Limits {
    let manifest = entry.manifest();
    let of_callers = manifest.map(|manifest| manifest.limits.clone()).unwrap_or_default();
    Limits {
        head_timeout: of_callers.head_timeout.max(of_callers.idle_timeout),
        head_bytes: of_callers.head_bytes.max(MIN_BUFFER_BYTES),
        half_close: HalfClose::Disconnect,
    }
}
