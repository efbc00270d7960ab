//! Client of the platform's instance list.
//!
//! `GET /instances` returns the list with an `ETag`. `PUT /instances/{name}`
//! registers a process; the platform removes an entry that is not renewed, and
//! never lists an incarnation again that it has removed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header::{ETAG, IF_NONE_MATCH},
};

use fleet::member::{Listing, Member};
use kernel::Kernel;

use crate::{BoxFuture, http};

/// `ETag` of a listing, for conditional reads.
pub type Etag = Option<Arc<str>>;

/// Result of a conditional read of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refresh {
    Unchanged,
    Changed { listing: Listing, etag: Etag },
}

type Read = dyn Fn(Etag) -> BoxFuture<Result<Refresh, http::Error>> + Send + Sync;
type Announce = dyn Fn(&Member) -> BoxFuture<Result<(), http::Error>> + Send + Sync;

/// Client of the instance list; cheap to clone.
///
/// `read` takes the `ETag` of the listing that the caller already has. `announce` registers a
/// process or renews its entry.
#[derive(Clone)]
pub struct List {
    pub read: Arc<Read>,
    pub announce: Arc<Announce>,
}

impl List {
    /// Returns a client of the list service at `address`; each call is limited to `timeout`.
    pub fn over_http(kernel: &Kernel, address: SocketAddr, timeout: Duration) -> List {
        let reader = kernel.clone();
        let announcer = kernel.clone();
        List {
            read: Arc::new(move |etag| {
                let kernel = reader.clone();
                Box::pin(async move { read(&kernel, address, etag, timeout).await })
            }),
            announce: Arc::new(move |member| {
                let kernel = announcer.clone();
                let request = announcement(member);
                Box::pin(async move {
                    http::fetch(&kernel, address, request, timeout).await?;
                    Ok(())
                })
            }),
        }
    }
}

async fn read(
    kernel: &Kernel,
    address: SocketAddr,
    etag: Etag,
    timeout: Duration,
) -> Result<Refresh, http::Error> {
    let mut request = http::get("/instances");
    if let Some(etag) = etag.as_deref().and_then(|etag| etag.parse().ok()) {
        request.headers_mut().insert(IF_NONE_MATCH, etag);
    }
    let response = http::fetch(kernel, address, request, timeout).await?;
    if response.status() == hyper::StatusCode::NOT_MODIFIED {
        return Ok(Refresh::Unchanged);
    }
    let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok()).map(Arc::from);
    let listing = serde_json::from_slice(response.body())
        .map_err(|error| http::Error::Unreadable { reason: error.to_string() })?;
    Ok(Refresh::Changed { listing, etag })
}

fn announcement(member: &Member) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(member).expect("members hold only names and numbers");
    Request::put(format!("/instances/{}", member.instance))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .expect("names are checked by the settings")
}
