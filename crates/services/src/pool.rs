//! Pool of idle HTTP/1 connections by address; each connection carries one
//! request at a time.
//!
//! Invariant: a connection returns to the pool only after its response was read
//! to the end. A connection dropped earlier is closed, which also cancels the
//! work at the service.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;
use snafu::ResultExt as _;
use socket2::{SockRef, TcpKeepalive};

use kernel::{Kernel, memory::Buffer};

use crate::{
    body::Body,
    head_limit::{self, Budget},
    http::{self, ConnectSnafu, Error, ExchangeSnafu, TimeoutSnafu},
};

/// Time that sent data may stay unacknowledged before the operating system closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle timeout of a connection for which the peer announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin before the idle timeout of the peer, so that its close does not race with a
/// request.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Limit of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 48;

/// Idle connections by address; cheap to clone.
#[derive(Clone, Debug)]
pub struct Pool {
    kernel: Kernel,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

/// A connection to a service; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    pub address: SocketAddr,
    /// Whether it carried a request before and was taken from the pool.
    pub is_reused: bool,
    pub opened_at: Instant,
    sender: SendRequest<Full<Bytes>>,
    /// Bytes that may arrive before the head of the next response.
    head_budget: Budget,
    _driver: Task<()>,
}

/// Failure to send a request on a connection.
#[derive(Debug)]
pub enum SendError {
    /// The connection closed before anything was written; holds the request for a retry.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection failed afterwards, or what came is no response; the request may have taken effect.
    Broken(Error),
}

impl Pool {
    pub fn new(kernel: &Kernel) -> Pool {
        Pool { kernel: kernel.clone(), idle: Arc::default() }
    }

    /// Takes an idle connection that is open and was idle for at most `max_idle`, if any.
    pub fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let now = self.kernel.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            let is_recent = now.saturating_duration_since(candidate.since) <= max_idle;
            if now < candidate.expires && is_recent && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`], [`Error::Timeout`] or [`Error::Exchange`]; no request was sent.
    pub async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let stream = self.kernel.clock.timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream.context(TimeoutSnafu)?.context(ConnectSnafu { address })?;
        configure(&stream).context(ConnectSnafu { address })?;
        let head_budget = Budget::default();
        let stream = head_limit::Stream::new(stream, head_budget.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(http::MAX_READ_BUFFER)
            .handshake(FuturesIo::new(stream));
        let (sender, connection) = handshake.await.context(ExchangeSnafu)?;
        let driver = self.kernel.spawn(async move {
            // A connection error is also returned by `Connection::send`.
            let _result = connection.await;
        });
        metrics::counter!("chivelatch_connections_opened_total").increment(1);
        let opened_at = self.kernel.clock.now();
        let is_reused = false;
        Ok(Connection { address, is_reused, opened_at, sender, head_budget, _driver: driver })
    }

    /// Returns a connection to the pool after its response was read to the end. `keep_alive` is
    /// the idle timeout that the peer announced; it is capped at four times the default.
    pub fn release(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let timeout = keep_alive
            .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.min(DEFAULT_IDLE_TIMEOUT * 4));
        let since = self.kernel.clock.now();
        let expires = since + timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        connection.is_reused = true;
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(Idle { connection, since, expires });
        }
    }

    /// Returns whether an idle connection to an address is open.
    pub fn has_open(&self, address: SocketAddr) -> bool {
        let idle = self.idle.lock();
        let mut connections = idle.get(&address).into_iter().flatten();
        connections.any(|candidate| candidate.connection.sender.is_ready())
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Sends a request over an idle or new connection and returns the complete response, whose body
    /// has at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Those of [`http::fetch`], but a response of any status is returned as such.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        http::set_host(&mut request, address);
        let exchange = async {
            let mut connection = match self.take(address, DEFAULT_IDLE_TIMEOUT) {
                Some(connection) => connection,
                None => self.connect(address, timeout).await?,
            };
            let response = match connection.send(request).await {
                Ok(response) => response,
                Err(SendError::Broken(error)) => return Err(error),
                Err(SendError::NotSent(request)) => {
                    connection = self.connect(address, timeout).await?;
                    connection.send(*request).await.map_err(SendError::into_error)?
                }
            };
            let ends_connection = !response.body().framing().is_explicit();
            let buffer = self.kernel.memory.buffer(max_bytes);
            let response = http::collect_body(response, buffer).await?;
            if !ends_connection {
                self.release(connection, None);
            }
            Ok(response)
        };
        let outcome =
            self.kernel.clock.timeout(timeout, exchange).await.context(TimeoutSnafu).flatten();
        if outcome.is_err() {
            // The other idle connections to this address may have failed as well.
            self.close_idle(address);
        }
        outcome
    }
}

impl Connection {
    /// Sends a request and returns the whole response, whose body is read into `buffer`; the
    /// connection can be used again afterwards if its framing was explicit.
    ///
    /// # Errors
    ///
    /// [`Error::Exchange`] or [`Error::Unreadable`]; the request may have taken effect.
    pub async fn fetch(
        &mut self,
        mut request: Request<Full<Bytes>>,
        buffer: Buffer,
    ) -> Result<Response<Bytes>, Error> {
        http::set_host(&mut request, self.address);
        let response = self.send(request).await.map_err(SendError::into_error)?;
        if !response.body().framing().is_explicit() {
            return Err(Error::Unreadable {
                reason: "the response ends with its connection".to_owned(),
            });
        }
        let response = http::collect_body(response, buffer).await?;
        // The connection takes the next request a moment after the end of this response.
        self.sender.ready().await.context(ExchangeSnafu)?;
        Ok(response)
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// [`SendError`] states whether anything was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, SendError> {
        self.head_budget.start();
        let sent = self.sender.try_send_request(request).await;
        self.head_budget.end();
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Broken(Error::Exchange { source: error.into_error() }),
        })?;
        http::check_status(&response).map_err(SendError::Broken)?;
        Ok(Body::of(response))
    }
}

impl SendError {
    fn into_error(self) -> Error {
        match self {
            SendError::NotSent(_) => Error::Unreadable {
                reason: "the connection closed before the request was written".to_owned(),
            },
            SendError::Broken(error) => error,
        }
    }
}

/// Sets the timeouts that detect an unreachable peer, and sends small writes without delay.
fn configure(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    // An abandoned connection is reset: a request that is still buffered behind a failed network
    // link must not be delivered after its caller has disconnected.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
