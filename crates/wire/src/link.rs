//! Calls between processes over pooled QUIC connections.
//!
//! A [`Link`] keeps one connection per peer address. It connects on the first call and again after
//! the connection has failed; calls are not retried.
//!
//! A process that stops closes its link: it reads no further call, waits until the replies to the
//! calls that it has read are delivered, and closes its connections with [`ALL_ANSWERED`]. So a call
//! without a reply on such a connection has not begun, and may be sent to another process.

use std::{
    collections::HashMap, future::Future, io, net::SocketAddr, net::UdpSocket, sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use quinn::{
    ClientConfig, Connection, ConnectionError, Endpoint, Incoming, RecvStream, SendStream, VarInt,
};
use rustls::pki_types::CertificateDer;
use snafu::{ResultExt as _, Snafu};

use kernel::{
    Kernel,
    drain::{Drain, Guard},
};

use crate::{
    codec,
    frame::{Call, Reply},
    identity::{self, Files, Identity, Role},
};

/// Time limit for establishing a connection, and for closing all of them.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of a process that stops until its last replies are delivered.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Code of a connection that is closed at once, whatever is under way.
const ABANDONED: VarInt = VarInt::from_u32(0);
/// Code of a connection whose peer has a certificate that names no role.
const NO_ROLE: VarInt = VarInt::from_u32(1);
/// Code of a connection that is closed by a process that stops: the replies to all calls that it
/// has read were delivered.
const ALL_ANSWERED: VarInt = VarInt::from_u32(2);
/// Interval at which the certificate files are read again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Error of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "cannot connect to {address}: {reason}; check that it runs and has the same authority"
    ))]
    Connect { address: SocketAddr, reason: String },
    /// The process has not read the call.
    #[snafu(display("the process at {address} has stopped; call another one"))]
    Stopped { address: SocketAddr },
    #[snafu(display("{source}"))]
    Frame { source: codec::Error },
    #[snafu(display("{source}"))]
    Timeout { source: kernel::clock::Timeout },
}

/// Error of [`Link::open`].
#[derive(Debug, Snafu)]
pub enum OpenError {
    #[snafu(display("{source}"))]
    Identity { source: identity::Error },
    #[snafu(display("cannot listen on {address}: {source}; free the port or set another one"))]
    Bind { address: SocketAddr, source: io::Error },
}

/// QUIC endpoint of a process and its open connections; cheap to clone.
#[derive(Clone, Debug)]
pub struct Link {
    kernel: Kernel,
    endpoint: Endpoint,
    /// Configuration of new outgoing connections, replaced when the certificates are renewed.
    client: Arc<Mutex<ClientConfig>>,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    /// Calls of other processes that were read, until their replies are delivered.
    calls: Drain,
}

/// Both directions of the stream of a call in progress.
#[derive(Debug)]
pub struct Exchange {
    pub send: SendStream,
    pub receive: RecvStream,
    connection: Connection,
}

impl Exchange {
    /// Returns whether the peer has stopped and did not read the call, provided that no reply was
    /// received.
    pub fn is_unread(&self) -> bool {
        has_stopped(&self.connection)
    }
}

impl Link {
    /// Opens an endpoint at `address` for calls from and to other processes. Certificates that are
    /// renewed in `files` are used for new connections.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the address or the certificates cannot be used.
    pub fn open(kernel: &Kernel, address: SocketAddr, files: Files) -> Result<Link, OpenError> {
        let identity = Identity::load(&files).context(IdentitySnafu)?;
        let server = identity.server_config().context(IdentitySnafu)?;
        let client = identity.client_config().context(IdentitySnafu)?;
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let runtime = Arc::new(kernel.clone());
        let endpoint = Endpoint::new(identity.endpoint_config(), Some(server), socket, runtime)
            .context(BindSnafu { address })?;
        let client = Arc::new(Mutex::new(client));
        let link = Link {
            kernel: kernel.clone(),
            endpoint,
            client,
            connections: Arc::default(),
            calls: Drain::default(),
        };
        kernel.spawn_detached(renew(link.clone(), files));
        Ok(link)
    }

    /// Returns the address to which the endpoint is bound.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Accepts calls and passes them to `handle`, until the endpoint is closed.
    pub async fn serve<F: Future<Output = ()> + Send + 'static>(
        &self,
        handle: impl Fn(Role, Call, Exchange) -> F + Clone + Send + Sync + 'static,
    ) {
        while let Some(incoming) = self.endpoint.accept().await {
            let kernel = self.kernel.clone();
            let (calls, handle) = (self.calls.clone(), handle.clone());
            self.kernel.spawn_detached(serve_connection(kernel, incoming, calls, handle));
        }
    }

    /// Sends a call to a peer and returns the stream for the replies. A new connection requires
    /// that the peer's certificate names `role`.
    ///
    /// # Errors
    ///
    /// [`Error`] if no connection can be established or the call cannot be sent.
    pub async fn call(&self, peer: SocketAddr, role: Role, call: &Call) -> Result<Exchange, Error> {
        let connection = self.connection(peer, role).await?;
        let stopped = || Error::Stopped { address: peer };
        let (mut send, receive) = match connection.open_bi().await {
            Ok(streams) => streams,
            Err(_) if has_stopped(&connection) => return Err(stopped()),
            Err(error) => {
                self.remove(peer, &connection);
                return Err(Error::Connect { address: peer, reason: error.to_string() });
            }
        };
        match codec::send(&mut send, call).await {
            Ok(()) => Ok(Exchange { send, receive, connection }),
            Err(_) if has_stopped(&connection) => Err(stopped()),
            Err(source) => Err(Error::Frame { source }),
        }
    }

    /// Sends a call to a peer and returns its single reply. A new connection requires that the
    /// peer's certificate names `role`.
    ///
    /// # Errors
    ///
    /// [`Error`]; in particular [`Error::Timeout`] if the reply takes longer than `limit`.
    pub async fn unary_call(
        &self,
        peer: SocketAddr,
        role: Role,
        call: &Call,
        limit: Duration,
    ) -> Result<Reply, Error> {
        let exchange = async {
            let mut exchange = self.call(peer, role, call).await?;
            match codec::receive(&mut exchange.receive).await {
                Err(_) if exchange.is_unread() => Err(Error::Stopped { address: peer }),
                reply => reply.context(FrameSnafu),
            }
        };
        self.kernel.clock.timeout(limit, exchange).await.context(TimeoutSnafu)?
    }

    /// Closes the connection to a process that has exited, so that calls to it fail at once.
    pub fn disconnect(&self, peer: SocketAddr) {
        if let Some(connection) = self.connections.lock().remove(&peer) {
            connection.close(ABANDONED, b"the process is gone");
        }
    }

    /// Connects again for the next call to an address, since another process may use it now. Calls
    /// in progress go on.
    pub fn forget(&self, peer: SocketAddr) {
        self.connections.lock().remove(&peer);
    }

    /// Reads no further calls, waits until the replies to those in progress are delivered, and
    /// closes all connections.
    pub async fn close(&self) {
        let is_answered = self.calls.finish(&self.kernel.clock, DELIVERY_TIMEOUT).await;
        let code = if is_answered { ALL_ANSWERED } else { ABANDONED };
        self.endpoint.close(code, b"stopped");
        let _timeout = self.kernel.clock.timeout(CONNECT_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Returns the open connection to a peer, or establishes one.
    async fn connection(&self, peer: SocketAddr, role: Role) -> Result<Connection, Error> {
        let known = self.connections.lock().get(&peer).cloned();
        match known {
            Some(connection) if connection.close_reason().is_none() => return Ok(connection),
            Some(connection) if has_stopped(&connection) => {
                return Err(Error::Stopped { address: peer });
            }
            _ => {}
        }
        let connect_error = |reason: String| Error::Connect { address: peer, reason };
        let client = self.client.lock().clone();
        let connecting = self
            .endpoint
            .connect_with(client, peer, role.server_name())
            .map_err(|error| connect_error(error.to_string()))?;
        let connected = self.kernel.clock.timeout(CONNECT_TIMEOUT, connecting).await;
        let connection =
            connected.context(TimeoutSnafu)?.map_err(|error| connect_error(error.to_string()))?;
        self.connections.lock().insert(peer, connection.clone());
        Ok(connection)
    }

    /// Removes a failed connection, unless another one has replaced it.
    fn remove(&self, peer: SocketAddr, failed: &Connection) {
        let mut connections = self.connections.lock();
        if connections.get(&peer).is_some_and(|known| known.stable_id() == failed.stable_id()) {
            connections.remove(&peer);
        }
    }
}

async fn serve_connection<F: Future<Output = ()> + Send + 'static>(
    kernel: Kernel,
    incoming: Incoming,
    calls: Drain,
    handle: impl Fn(Role, Call, Exchange) -> F + Clone + Send + Sync + 'static,
) {
    let Ok(connection) = incoming.await else {
        log::warn!("rejected a connection: the peer has no valid certificate of this fleet");
        return;
    };
    let Some(role) = peer_role(&connection) else {
        connection.close(NO_ROLE, b"the certificate names no role");
        return;
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        let exchange = Exchange { send, receive, connection: connection.clone() };
        let Some(guard) = calls.try_guard() else {
            // This process has stopped. The stream stays open until the connection is closed, which
            // tells the peer that the call was not read.
            let _reason = connection.closed().await;
            drop(exchange);
            return;
        };
        kernel.spawn_detached(serve_stream(role, exchange, guard, handle.clone()));
    }
}

/// Handles one call. `_guard` is held until the replies are delivered.
async fn serve_stream<F: Future<Output = ()>>(
    role: Role,
    mut exchange: Exchange,
    _guard: Guard,
    handle: impl Fn(Role, Call, Exchange) -> F,
) {
    let delivery = exchange.send.stopped();
    match codec::receive(&mut exchange.receive).await {
        Ok(call) => handle(role, call, exchange).await,
        Err(error) => {
            log::warn!("dropped a call that could not be received: {error}");
            drop(exchange);
        }
    }
    let _delivered_or_lost = delivery.await;
}

/// Returns whether the peer has stopped after it answered all calls that it read.
fn has_stopped(connection: &Connection) -> bool {
    let reason = connection.close_reason();
    matches!(reason, Some(ConnectionError::ApplicationClosed(close)) if close.error_code == ALL_ANSWERED)
}

fn peer_role(connection: &Connection) -> Option<Role> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    Role::from_certificate(chain.first()?)
}

/// Reads the certificate files periodically. New connections use renewed certificates; open ones
/// keep theirs.
async fn renew(link: Link, files: Files) {
    loop {
        link.kernel.clock.sleep(RENEWAL_INTERVAL).await;
        let renewed = Identity::load(&files)
            .and_then(|identity| Ok((identity.server_config()?, identity.client_config()?)));
        match renewed {
            Ok((server, client)) => {
                link.endpoint.set_server_config(Some(server));
                *link.client.lock() = client;
            }
            Err(error) => log::warn!("keeping the old certificates; cannot reload: {error}"),
        }
    }
}
