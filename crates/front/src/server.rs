//! Accept loop and HTTP/1.1 connections.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, pin::pin, time::Duration};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite, future};
use futures_rustls::TlsAcceptor;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use snafu::{ResultExt as _, Snafu};

use kernel::{
    Kernel,
    drain::{Drain, Guard},
};

use crate::body::Body;

/// Default time limit for a request head, and the time limit for a TLS handshake.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Default size limit of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Pause after a failed `accept`, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for a request head.
    pub head_timeout: Duration,
    /// Size limit of a request head, in bytes.
    pub head_bytes: usize,
    pub half_close: HalfClose,
}

/// Treatment of a caller that closes its sending side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HalfClose {
    /// The caller still reads the response.
    Allowed,
    /// The caller is assumed to have disconnected, and its request is cancelled.
    Disconnect,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_timeout: HEAD_TIMEOUT,
            head_bytes: MAX_HEAD_BYTES,
            half_close: HalfClose::Allowed,
        }
    }
}

/// Error of [`listen`].
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; free the port or set another one"))]
pub struct ListenError {
    pub address: SocketAddr,
    pub source: io::Error,
}

/// Opens a TCP port.
///
/// # Errors
///
/// [`ListenError`] if the port is in use or the process may not open it.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves requests with the default limits until `drain` stops. Connections then end after
/// their current request.
pub async fn serve<F>(
    kernel: &Kernel,
    listener: TcpListener,
    drain: &Drain,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with_limits(kernel, listener, drain, Limits::default, handle).await;
}

/// Like [`serve`], with `limits` called for each new connection.
pub async fn serve_with_limits<F>(
    kernel: &Kernel,
    listener: TcpListener,
    drain: &Drain,
    limits: impl Fn() -> Limits,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept(kernel, listener, drain, |stream, guard| {
        serve_connection(stream, limits(), drain.clone(), guard, handle.clone())
    })
    .await;
}

/// Like [`serve`], over TLS.
pub async fn serve_tls<F>(
    kernel: &Kernel,
    listener: TcpListener,
    acceptor: TlsAcceptor,
    drain: &Drain,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept(kernel, listener, drain, |stream, guard| {
        let (acceptor, clock) = (acceptor.clone(), kernel.clock.clone());
        let (drain, handle) = (drain.clone(), handle.clone());
        async move {
            match clock.timeout(HEAD_TIMEOUT, acceptor.accept(stream)).await {
                Ok(Ok(stream)) => {
                    serve_connection(stream, Limits::default(), drain, guard, handle).await;
                }
                Ok(Err(error)) => log::debug!("TLS handshake with a caller failed: {error}"),
                Err(error) => log::debug!("TLS handshake with a caller did not complete: {error}"),
            }
        }
    })
    .await;
}

/// Accepts connections until `drain` stops and spawns a task for each. The guard passed to
/// `serve_stream` marks the connection as in flight.
async fn accept<F>(
    kernel: &Kernel,
    listener: TcpListener,
    drain: &Drain,
    serve_stream: impl Fn(TcpStream, Guard) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Without `TCP_NODELAY`, responses are only slower.
                    let _best_effort = stream.set_nodelay(true);
                    kernel.spawn_detached(serve_stream(stream, drain.guard()));
                }
                Err(error) => {
                    log::warn!("cannot accept a connection, retrying: {error}");
                    kernel.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    future::or(accept, drain.stopped()).await;
}

/// Serves the requests of one connection. Once `drain` stops, ends the connection after its
/// current request.
async fn serve_connection<F>(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    limits: Limits,
    drain: Drain,
    guard: Guard,
    handle: impl Fn(Request<Incoming>) -> F + Send + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .half_close(limits.half_close == HalfClose::Allowed)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        drain.stopped().await;
        None
    };
    let ended = future::or(async { Some(connection.as_mut().await) }, stopped).await;
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _closed_by_caller = connection.await;
    }
    drop(guard);
}
