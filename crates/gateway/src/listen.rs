//! HTTP listeners of an entry instance: callers, health check, metrics, and
//! copies of its mirror for peers that cannot reach the store.

use std::{net::SocketAddr, sync::Arc};

use front::{
    body::{self, Body},
    server::{self, HalfClose, Limits, ListenError},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use kernel::{Kernel, drain::Drain};

use crate::{entry::Entry, serve};

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Path of the copy of the mirror for peers.
pub const PEER_COPY_PATH: &str = "/copy/6";

/// Opens the listeners and starts the tasks that serve them.
///
/// # Errors
///
/// Returns [`ListenError`] if a port cannot be opened.
pub async fn start(entry: &Arc<Entry>) -> Result<(), ListenError> {
    let kernel = &entry.kernel;
    if let Some(address) = entry.settings.callers {
        let listener = server::listen(address).await?;
        let (entry, kernel) = (Arc::clone(entry), kernel.clone());
        let spawner = kernel.clone();
        spawner.spawn_detached(async move {
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
        serve_pages(kernel, address, move |_| readiness(&entry)).await?;
    }
    let instance = Arc::clone(entry);
    serve_pages(kernel, entry.settings.mesh, move |path| peer_copy(&instance, path)).await?;
    serve_metrics(kernel, entry.settings.metrics).await
}

/// Starts to serve the metrics page.
///
/// # Errors
///
/// Returns [`ListenError`] if the port cannot be opened.
pub async fn serve_metrics(kernel: &Kernel, address: SocketAddr) -> Result<(), ListenError> {
    let page = |_: &str| body::full(StatusCode::OK, "text/plain", kernel::metrics::render());
    serve_pages(kernel, address, page).await
}

/// Starts to serve pages whose responses are computed at once, until the process ends.
async fn serve_pages(
    kernel: &Kernel,
    address: SocketAddr,
    respond: impl Fn(&str) -> Response<Body> + Clone + Send + Sync + 'static,
) -> Result<(), ListenError> {
    let listener = server::listen(address).await?;
    let spawner = kernel.clone();
    let kernel = kernel.clone();
    spawner.spawn_detached(async move {
        let handle = move |request: Request<Incoming>| {
            let response = respond(request.uri().path());
            async move { response }
        };
        server::serve(&kernel, listener, &Drain::default(), handle).await;
    });
    Ok(())
}

/// Returns the response to a health check.
fn readiness(entry: &Entry) -> Response<Body> {
    let (status, text) = if entry.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    body::full(status, "text/plain", text)
}

/// Returns the copy of the mirror for a peer.
fn peer_copy(entry: &Entry, path: &str) -> Response<Body> {
    if path != PEER_COPY_PATH {
        return body::full(StatusCode::NOT_FOUND, "text/plain", "no such page");
    }
    let now = entry.now();
    let copy = entry.with_mirror(|mirror| mirror.to_peer_copy(now));
    let bytes = postcard::to_stdvec(&copy).expect("a copy holds only names, numbers and lists");
    body::full(StatusCode::OK, "application/octet-stream", bytes)
}

/// Returns the limits on callers' connections.
fn limits(entry: &Entry) -> Limits {
    let manifest = entry.manifest();
    let caller_limits = manifest.map(|manifest| manifest.limits.clone()).unwrap_or_default();
    Limits {
        head_timeout: caller_limits.head_timeout.max(caller_limits.idle_timeout),
        head_bytes: caller_limits.head_bytes.max(MIN_BUFFER_BYTES),
        half_close: HalfClose::Disconnect,
    }
}
