//! Single HTTP/1 exchanges with a service, each on a connection of its own.
//!
//! Errors state whether the request may have taken effect, so that callers know
//! when a retry is safe.
//!
//! Invariant: a response has a final status, 200 to 599 (RFC 9110, section 15). Bytes with another
//! one are no response, and nothing that they say is read.

use std::{net::SocketAddr, ops::Range, time::Duration};

use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, client::conn::http1, header::HOST};
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt as _, Snafu};

use kernel::{Kernel, clock::Timeout, memory::Buffer};

use crate::{
    body::Body,
    head_limit::{self, Budget},
};

/// Largest response body that [`fetch`] buffers.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest buffer for bytes that a connection has received and nobody has read.
pub(crate) const MAX_READ_BUFFER: usize = 64 * 1024;

/// Status codes of final responses. The HTTP library skips interim ones, but for 101, which ends the
/// protocol; no request asks for that.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Failure of a request to a service.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection was established, so the request had no effect.
    #[snafu(display("no connection to {address}: {source}; check that the service runs"))]
    Connect { address: SocketAddr, source: std::io::Error },
    /// The connection failed during the exchange; the request may have taken effect.
    #[snafu(display(
        "the connection failed: {source}; the request may have taken effect, check before a retry"
    ))]
    Exchange { source: hyper::Error },
    /// No response arrived in time; the request may have taken effect.
    #[snafu(display("{source}; the request may have taken effect"))]
    Timeout { source: Timeout },
    /// The service responded with an error status.
    #[snafu(display(
        "the service responded with status {status}: {reason}; check the service's log"
    ))]
    Status { status: u16, reason: String },
    /// The response could not be read or parsed; the request may have taken effect.
    #[snafu(display(
        "no readable response: {reason}; check that the service runs, and its version"
    ))]
    Unreadable { reason: String },
}

impl Error {
    /// Returns the error for a response with an error status; its body is the reason.
    pub fn from_response(response: &Response<Bytes>) -> Error {
        let reason = String::from_utf8_lossy(response.body()).into_owned();
        Error::Status { status: response.status().as_u16(), reason }
    }

    /// Returns whether the request certainly had no effect. Services are expected to respond with
    /// 4xx or 503 only before they execute a request.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Error::Connect { .. } => true,
            Error::Status { status, .. } => (400..500).contains(status) || *status == 503,
            Error::Exchange { .. } | Error::Timeout { .. } | Error::Unreadable { .. } => false,
        }
    }
}

/// Sends a request and returns the response as soon as its head has arrived.
///
/// # Errors
///
/// [`Error::Connect`] before the connection is established, [`Error::Exchange`] or
/// [`Error::Unreadable`] afterwards.
pub async fn send(
    kernel: &Kernel,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Body>, Error> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    // Without TCP_NODELAY the exchange is merely slower.
    let _result = stream.set_nodelay(true);
    let head_budget = Budget::default();
    let stream = head_limit::Stream::new(stream, head_budget.clone());
    let handshake =
        http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(FuturesIo::new(stream));
    let (mut sender, connection) = handshake.await.context(ExchangeSnafu)?;
    kernel.spawn_detached(async move {
        // A connection error is also returned by `send_request`.
        let _result = connection.await;
    });
    set_host(&mut request, address);
    let response = sender.send_request(request).await.context(ExchangeSnafu)?;
    head_budget.end();
    check_status(&response)?;
    Ok(Body::of(response))
}

/// Sends a request and returns the complete response, within `timeout`.
///
/// # Errors
///
/// Those of [`send`], [`Error::Timeout`], and [`Error::Status`] for a status
/// other than 2xx or 304.
pub async fn fetch(
    kernel: &Kernel,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, Error> {
    let exchange = async {
        let response = send(kernel, address, request).await?;
        collect_body(response, kernel.memory.buffer(MAX_RESPONSE_BYTES)).await
    };
    let response = kernel.clock.timeout(timeout, exchange).await.context(TimeoutSnafu)??;
    metrics::counter!("chivelatch_platform_received_bytes_total")
        .increment(response.body().len() as u64);
    let status = response.status();
    if status.is_success() || status == hyper::StatusCode::NOT_MODIFIED {
        return Ok(response);
    }
    Err(Error::from_response(&response))
}

/// Sets the `Host` header to the address of the service.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, address: SocketAddr) {
    let host = address.to_string().parse().expect("a socket address is a valid header value");
    request.headers_mut().insert(HOST, host);
}

/// Checks that a response has a final status.
///
/// # Errors
///
/// [`Error::Unreadable`] if not.
pub(crate) fn check_status<B>(response: &Response<B>) -> Result<(), Error> {
    let status = response.status().as_u16();
    if FINAL_STATUSES.contains(&status) {
        return Ok(());
    }
    Err(Error::Unreadable { reason: format!("{status} is the status of no final response") })
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// [`Error::Unreadable`] when the body is incomplete or does not fit into the buffer.
pub(crate) async fn collect_body(
    response: Response<Body>,
    buffer: Buffer,
) -> Result<Response<Bytes>, Error> {
    let (head, body) = response.into_parts();
    let body = body.collect_into(buffer).await;
    let body = body.map_err(|error| Error::Unreadable { reason: error.to_string() })?;
    Ok(Response::from_parts(head, body))
}

/// Builds a GET request for `path`.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).expect("the path is built from checked parts")
}

/// Builds a POST request for `path`.
pub fn post(path: &str, content_type: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("content-type", content_type)
        .body(Full::new(body.into()))
        .expect("the path is built from checked parts")
}
