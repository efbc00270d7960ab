//! One HTTP request to one service.

use std::{net::SocketAddr, time::Duration};

use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, Response, body::Incoming, client::conn::http1, header::HOST};
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt as _, Snafu};

use kernel::{Kernel, clock::Timeout};

/// Largest answer read as a whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a service gave no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Nothing reached the service.
    #[snafu(display("no connection to {address}: {source}; check that the service runs"))]
    Connect { address: SocketAddr, source: std::io::Error },
    /// The request may have had its effect.
    #[snafu(display("the exchange broke off: {source}; the request may have taken effect"))]
    Exchange { source: hyper::Error },
    /// The request may have had its effect.
    #[snafu(display("{source}; the request may have taken effect"))]
    Late { source: Timeout },
    /// The service answered that it would not do it.
    #[snafu(display("the service answered {status}: {reason}"))]
    Status { status: u16, reason: String },
    /// The service answered something that cannot be understood.
    #[snafu(display("the answer cannot be understood: {reason}; check the service's version"))]
    Unreadable { reason: String },
}

impl Error {
    /// A whole answer that says that the service would not do it.
    pub fn refused(response: &Response<Bytes>) -> Error {
        let reason = String::from_utf8_lossy(response.body()).into_owned();
        Error::Status { status: response.status().as_u16(), reason }
    }

    /// Whether the request certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Error::Connect { .. } => true,
            Error::Status { status, .. } => (400..500).contains(status) || *status == 503,
            Error::Exchange { .. } | Error::Late { .. } | Error::Unreadable { .. } => false,
        }
    }
}

/// Sends a request and returns the answer once its head is there.
///
/// # Errors
///
/// [`Error::Connect`] before anything was sent, [`Error::Exchange`] after.
pub async fn send(
    kernel: &Kernel,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Error> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let _only_slower = stream.set_nodelay(true);
    let (mut sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.context(ExchangeSnafu)?;
    kernel.spawn_detached(async move {
        let _seen_by_the_caller = connection.await;
    });
    set_host(&mut request, address);
    sender.send_request(request).await.context(ExchangeSnafu)
}

/// Sends a request and returns its whole answer, within `limit`.
///
/// # Errors
///
/// [`Error::Status`] when the service answers other than 2xx or 304.
pub async fn fetch(
    kernel: &Kernel,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, Error> {
    let exchange = async { whole(send(kernel, address, request).await?).await };
    let response = kernel.clock.timeout(limit, exchange).await.context(LateSnafu)??;
    metrics::counter!("chivelatch_platform_received_bytes_total")
        .increment(response.body().len() as u64);
    let status = response.status();
    if status.is_success() || status == hyper::StatusCode::NOT_MODIFIED {
        return Ok(response);
    }
    Err(Error::refused(&response))
}

/// Names the service that a request is for.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, address: SocketAddr) {
    let host = address.to_string().parse().expect("a socket address is a valid header value");
    request.headers_mut().insert(HOST, host);
}

/// Reads an answer to its end.
///
/// # Errors
///
/// [`Error::Unreadable`] when it breaks off or is larger than [`MAX_ANSWER_BYTES`].
pub(crate) async fn whole(response: Response<Incoming>) -> Result<Response<Bytes>, Error> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| Error::Unreadable { reason: error.to_string() })?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// A request without a body.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).expect("the path is built from checked parts")
}

/// A request with a body.
pub fn post(path: &str, content_type: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("content-type", content_type)
        .body(Full::new(body.into()))
        .expect("the path is built from checked parts")
}
