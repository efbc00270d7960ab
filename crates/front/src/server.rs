//! The accept loop.

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

/// Time that a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Pause after the system refused a connection, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What callers may do on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time that a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// Largest request head, in bytes.
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

/// A port could not be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; free the port or set another one"))]
pub struct ListenError {
    pub address: SocketAddr,
    pub source: io::Error,
}

/// Opens a port.
///
/// # Errors
///
/// [`ListenError`] when the port is taken or not ours.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves requests until `drain` stops; then connections end after the request
/// they are at.
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

/// Like [`serve`], with limits that are asked for at each new connection.
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

/// Serves requests over TLS until `drain` stops.
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
                Ok(Err(error)) => log::debug!("a caller's TLS handshake failed: {error}"),
                Err(error) => log::debug!("a caller's TLS handshake: {error}"),
            }
        }
    })
    .await;
}

async fn accept<F>(
    kernel: &Kernel,
    listener: TcpListener,
    drain: &Drain,
    connect: impl Fn(TcpStream, Guard) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _only_slower = stream.set_nodelay(true);
                    kernel.spawn_detached(connect(stream, drain.guard()));
                }
                Err(error) => {
                    log::warn!("a connection was refused: {error}");
                    kernel.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    future::or(accept, drain.stopped()).await;
}

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
        let _closed_by_the_caller = connection.await;
    }
    drop(guard);
}
