//! Kept connections to services, and one request at a time on each.
//!
//! A connection goes back to the pool only after its answer was read to the end.
//! One that is dropped before is closed, which also ends the work at the service.

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
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use parking_lot::Mutex;
use smol_hyper::rt::FuturesIo;
use snafu::ResultExt as _;
use socket2::{SockRef, TcpKeepalive};

use kernel::Kernel;

use crate::http::{self, ConnectSnafu, Error, ExchangeSnafu, LateSnafu};

/// Time without an acknowledgement after which a connection is given up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Silence after which the peer is probed, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again unless the peer promised more.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Kept before the end of the peer's own limit, so that its close does not cross a request.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Idle connections kept to one address.
const MAX_IDLE: usize = 48;

/// Kept connections by address; cheap to clone.
#[derive(Clone, Debug)]
pub struct Pool {
    kernel: Kernel,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// One connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    pub address: SocketAddr,
    /// Whether it carried a request before.
    pub is_reused: bool,
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
}

/// Why a request got no answer on a connection.
#[derive(Debug)]
pub enum SendError {
    /// The connection had ended before anything was written.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have had its effect.
    Broken(hyper::Error),
}

impl Pool {
    pub fn new(kernel: &Kernel) -> Pool {
        Pool { kernel: kernel.clone(), idle: Arc::default() }
    }

    /// A kept connection, if one is open and was idle for at most `max_idle`.
    pub fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let now = self.kernel.clock.now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(candidate) = kept.pop() {
            let is_recent = now + DEFAULT_IDLE.saturating_sub(max_idle) < candidate.until;
            if now < candidate.until && is_recent && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Late`]; nothing was sent.
    pub async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Connection, Error> {
        let stream = self.kernel.clock.timeout(limit, TcpStream::connect(address)).await;
        let stream = stream.context(LateSnafu)?.context(ConnectSnafu { address })?;
        prepare(&stream).context(ConnectSnafu { address })?;
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.context(ExchangeSnafu)?;
        let driver = self.kernel.spawn(async move {
            let _seen_by_the_caller = connection.await;
        });
        metrics::counter!("chivelatch_connections_opened_total").increment(1);
        Ok(Connection { address, is_reused: false, sender, _driver: driver })
    }

    /// Keeps a connection whose answer was read to the end.
    pub fn give_back(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let limit = keep_alive.map_or(DEFAULT_IDLE, |limit| limit.min(DEFAULT_IDLE * 4));
        let until = self.kernel.clock.now() + limit.saturating_sub(IDLE_MARGIN);
        connection.is_reused = true;
        let mut idle = self.idle.lock();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    /// Sends a request over a kept or new connection and returns its whole answer.
    ///
    /// # Errors
    ///
    /// Like those of [`http::fetch`], but an answer of any status is returned.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        http::set_host(&mut request, address);
        let exchange = async {
            let mut connection = match self.take(address, DEFAULT_IDLE) {
                Some(connection) => connection,
                None => self.connect(address, limit).await?,
            };
            let response = match connection.send(request).await {
                Ok(response) => response,
                Err(SendError::Broken(source)) => return Err(Error::Exchange { source }),
                Err(SendError::NotSent(request)) => {
                    connection = self.connect(address, limit).await?;
                    connection.send(*request).await.map_err(SendError::into_error)?
                }
            };
            let response = http::whole(response).await?;
            self.give_back(connection, None);
            Ok(response)
        };
        let outcome = self.kernel.clock.timeout(limit, exchange).await.context(LateSnafu).flatten();
        if outcome.is_err() {
            // The other connections to this address may be as dead as the one that was tried.
            self.forget(address);
        }
        outcome
    }
}

impl Connection {
    /// Sends a request; the answer's head is there when this returns.
    ///
    /// # Errors
    ///
    /// [`SendError`] tells whether anything was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Broken(error.into_error()),
        })
    }
}

impl SendError {
    fn into_error(self) -> Error {
        match self {
            SendError::NotSent(_) => Error::Unreadable {
                reason: "the connection ended before the request was written".to_owned(),
            },
            SendError::Broken(source) => Error::Exchange { source },
        }
    }
}

/// Lets a silent peer be noticed and small writes leave at once.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    // A connection that is given up is reset: a request that still waits behind a broken link
    // must not be delivered after its caller has left.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
