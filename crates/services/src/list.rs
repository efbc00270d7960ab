//! The platform's instance list.
//!
//! `GET /instances` answers the list with an `ETag`; `PUT /instances/{name}`
//! announces a process, which the platform drops when it is not repeated. The
//! list never takes back an incarnation that it has dropped.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header::{ETAG, IF_NONE_MATCH},
};

use fleet::member::{Listing, Member};
use kernel::Kernel;

use crate::{Answer, http};

/// Version of a listing; the list is not sent again while it stays the same.
pub type Tag = Option<Arc<str>>;

/// A listing, or word that it has not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    Unchanged,
    Changed { listing: Listing, tag: Tag },
}

type Read = dyn Fn(Tag) -> Answer<Result<News, http::Error>> + Send + Sync;
type Announce = dyn Fn(&Member) -> Answer<Result<(), http::Error>> + Send + Sync;

/// The list; cheap to clone.
#[derive(Clone)]
pub struct List {
    pub read: Arc<Read>,
    pub announce: Arc<Announce>,
}

impl List {
    /// Reaches the list service at `address`, each call within `limit`.
    pub fn over_http(kernel: &Kernel, address: SocketAddr, limit: Duration) -> List {
        let reader = kernel.clone();
        let announcer = kernel.clone();
        List {
            read: Arc::new(move |tag| {
                let kernel = reader.clone();
                Box::pin(async move { read(&kernel, address, tag, limit).await })
            }),
            announce: Arc::new(move |member| {
                let kernel = announcer.clone();
                let request = announcement(member);
                Box::pin(async move {
                    http::fetch(&kernel, address, request, limit).await?;
                    Ok(())
                })
            }),
        }
    }
}

async fn read(
    kernel: &Kernel,
    address: SocketAddr,
    tag: Tag,
    limit: Duration,
) -> Result<News, http::Error> {
    let mut request = http::get("/instances");
    if let Some(tag) = tag.as_deref().and_then(|tag| tag.parse().ok()) {
        request.headers_mut().insert(IF_NONE_MATCH, tag);
    }
    let response = http::fetch(kernel, address, request, limit).await?;
    if response.status() == hyper::StatusCode::NOT_MODIFIED {
        return Ok(News::Unchanged);
    }
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok()).map(Arc::from);
    let listing = serde_json::from_slice(response.body())
        .map_err(|error| http::Error::Unreadable { reason: error.to_string() })?;
    Ok(News::Changed { listing, tag })
}

fn announcement(member: &Member) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(member).expect("members hold only names and numbers");
    Request::put(format!("/instances/{}", member.instance))
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .expect("names are checked by the settings")
}
