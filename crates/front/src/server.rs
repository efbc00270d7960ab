//! Accept loop and HTTP/1.1 connections.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, pin::pin, time::Duration};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite, future};
use futures_rustls::TlsAcceptor;
use hyper::{Request, Response, Version, body::Incoming, server::conn::http1, service::service_fn};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;

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
        let socket = Some(stream.clone());
        serve_connection(stream, socket, limits(), drain.clone(), guard, handle.clone())
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
                    let limits = Limits::default();
                    serve_connection(stream, None, limits, drain, guard, handle).await;
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
///
/// A caller that speaks HTTP/1.0 takes the end of its connection for the end of the response. Its
/// connection is thus reset, unless the response is complete. `socket` is the socket of `stream`;
/// with TLS it is not needed, as an incomplete response then ends without `close_notify`.
async fn serve_connection<F>(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    socket: Option<TcpStream>,
    limits: Limits,
    drain: Drain,
    guard: Guard,
    handle: impl Fn(Request<Incoming>) -> F + Send + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let own_socket = socket.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        if request.version() == Version::HTTP_10 {
            reset_on_drop(own_socket.as_ref(), true);
        }
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
    let mut ended = future::or(async { Some(connection.as_mut().await) }, stopped).await;
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        ended = Some(connection.await);
    }
    if let Some(Ok(())) = ended {
        reset_on_drop(socket.as_ref(), false);
    }
    drop(guard);
}

/// Sets whether the connection is reset, in place of an orderly end, when its socket is dropped or
/// the process is killed.
fn reset_on_drop(socket: Option<&TcpStream>, is_reset: bool) {
    let Some(socket) = socket else { return };
    let set = SockRef::from(socket).set_linger(is_reset.then_some(Duration::ZERO));
    if let Err(error) = set {
        log::debug!("cannot set how a caller's connection ends: {error}");
    }
}
