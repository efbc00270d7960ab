//! Calls between processes over pooled QUIC connections.
//!
//! A [`Link`] keeps one connection per peer address. It connects on the first call and again after
//! the connection has failed; calls are not retried.

use std::{
    collections::HashMap, future::Future, io, net::SocketAddr, net::UdpSocket, sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use quinn::{ClientConfig, Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use rustls::pki_types::CertificateDer;
use snafu::{ResultExt as _, Snafu};

use kernel::Kernel;

use crate::{
    codec,
    frame::{Call, Reply},
    identity::{self, Files, Identity, Role},
};

/// Time limit for establishing a connection, and for closing all of them.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the certificate files are read again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Error of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "cannot connect to {address}: {reason}; check that it runs and has the same authority"
    ))]
    Connect { address: SocketAddr, reason: String },
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
}

/// Both directions of the stream of a call in progress.
#[derive(Debug)]
pub struct Exchange {
    pub send: SendStream,
    pub receive: RecvStream,
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
        let link = Link { kernel: kernel.clone(), endpoint, client, connections: Arc::default() };
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
            let handle = handle.clone();
            self.kernel.spawn_detached(serve_connection(kernel, incoming, handle));
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
        let opened = connection.open_bi().await;
        let (mut send, receive) = opened.map_err(|error| {
            self.forget(peer, &connection);
            Error::Connect { address: peer, reason: error.to_string() }
        })?;
        codec::send(&mut send, call).await.context(FrameSnafu)?;
        Ok(Exchange { send, receive })
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
            codec::receive(&mut exchange.receive).await.context(FrameSnafu)
        };
        self.kernel.clock.timeout(limit, exchange).await.context(TimeoutSnafu)?
    }

    /// Closes the connection to a process that has exited, so that calls to it fail at once.
    pub fn disconnect(&self, peer: SocketAddr) {
        if let Some(connection) = self.connections.lock().remove(&peer) {
            connection.close(VarInt::from_u32(0), b"the process is gone");
        }
    }

    /// Closes all connections and stops accepting new ones.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        let _timeout = self.kernel.clock.timeout(CONNECT_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Returns the open connection to a peer, or establishes one.
    async fn connection(&self, peer: SocketAddr, role: Role) -> Result<Connection, Error> {
        let known = self.connections.lock().get(&peer).cloned();
        if let Some(connection) = known.filter(|known| known.close_reason().is_none()) {
            return Ok(connection);
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
    fn forget(&self, peer: SocketAddr, failed: &Connection) {
        let mut connections = self.connections.lock();
        if connections.get(&peer).is_some_and(|known| known.stable_id() == failed.stable_id()) {
            connections.remove(&peer);
        }
    }
}

async fn serve_connection<F: Future<Output = ()> + Send + 'static>(
    kernel: Kernel,
    incoming: Incoming,
    handle: impl Fn(Role, Call, Exchange) -> F + Clone + Send + Sync + 'static,
) {
    let Ok(connection) = incoming.await else {
        log::warn!("rejected a connection: the peer has no valid certificate of this fleet");
        return;
    };
    let Some(role) = peer_role(&connection) else {
        connection.close(VarInt::from_u32(1), b"the certificate names no role");
        return;
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        kernel.spawn_detached(serve_stream(role, send, receive, handle.clone()));
    }
}

async fn serve_stream<F: Future<Output = ()>>(
    role: Role,
    send: SendStream,
    mut receive: RecvStream,
    handle: impl Fn(Role, Call, Exchange) -> F,
) {
    match codec::receive(&mut receive).await {
        Ok(call) => handle(role, call, Exchange { send, receive }).await,
        Err(error) => log::warn!("dropped a call that could not be received: {error}"),
    }
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
