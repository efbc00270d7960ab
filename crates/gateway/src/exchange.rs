//! One request to one backend server, up to the head of its answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, body::Incoming, http::response};
use snafu::Snafu;

use kernel::Kernel;
use services::pool::{Connection, Pool, SendError};
use serving::directory::Listing;

use crate::ports::{Dialect, Marks};

/// Time that a backend server may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections idle for longer are not used for requests that must not be lost.
const FRESH_IDLE: Duration = Duration::from_millis(2000);

/// The head of an answer, with what is still to come.
#[derive(Debug)]
pub struct Reply {
    pub head: response::Parts,
    pub marks: Marks,
    pub body: Incoming,
    pub connection: Connection,
}

/// Why there is no usable answer.
#[derive(Clone, Debug, Snafu)]
pub enum Failure {
    /// The request was not sent, so it did not run.
    #[snafu(display("the server could not be reached: {reason}"))]
    Unreachable { reason: String },
    /// The server states that it did not run the request.
    #[snafu(display("the server did not take the request: status {status}"))]
    NotRun { status: u16, reason: Refusal },
    /// The request may have run.
    #[snafu(display("the exchange broke off: {reason}"))]
    Broken { reason: String },
    /// The time is over; the request may have run.
    #[snafu(display("no answer in time"))]
    Late,
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has no room, or is leaving.
    Full,
    /// It does not hold the adapter.
    AdapterMissing,
    /// It is not the server that was meant.
    OtherServer,
}

impl Failure {
    /// Whether the request certainly did not run.
    pub fn is_without_effect(&self) -> bool {
        matches!(self, Failure::Unreachable { .. } | Failure::NotRun { .. })
    }
}

/// Sends a request and waits for the head of its answer, at most for `limit`.
///
/// # Errors
///
/// [`Failure`] tells whether the request can have run.
pub async fn send(
    kernel: &Kernel,
    pool: &Pool,
    dialect: &Dialect,
    server: &Listing,
    request_id: &str,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Reply, Failure> {
    let mut sent = false;
    let exchange = begin(pool, server, request, limit, &mut sent);
    let outcome = kernel.clock.timeout(limit, exchange).await;
    let (response, connection) = match outcome {
        Ok(outcome) => outcome?,
        Err(_) if sent => return Err(Failure::Late),
        Err(_) => return Err(Failure::Unreachable { reason: "no connection in time".to_owned() }),
    };
    let (head, body) = response.into_parts();
    let marks = (dialect.marks)(&head);
    if marks.request_id.as_deref() != Some(request_id) {
        return Err(misplaced(server, &marks, head.status));
    }
    if marks.is_not_run {
        let failure = not_run(server, &marks, head.status);
        recycle(kernel, pool, Reply { head, marks, body, connection });
        return Err(failure);
    }
    Ok(Reply { head, marks, body, connection })
}

/// An answer that names another request, or none.
fn misplaced(server: &Listing, marks: &Marks, status: StatusCode) -> Failure {
    if marks.request_id.is_none() && marks.is_not_run {
        return not_run(server, marks, status);
    }
    Failure::Broken { reason: "the answer belongs to another request".to_owned() }
}

fn not_run(server: &Listing, marks: &Marks, status: StatusCode) -> Failure {
    let is_meant = marks.server.as_ref().is_none_or(|id| *id == server.id);
    let reason = match status {
        StatusCode::MISDIRECTED_REQUEST if is_meant => Refusal::AdapterMissing,
        StatusCode::MISDIRECTED_REQUEST => Refusal::OtherServer,
        _ => Refusal::Full,
    };
    Failure::NotRun { status: status.as_u16(), reason }
}

async fn begin(
    pool: &Pool,
    server: &Listing,
    request: Request<Full<Bytes>>,
    limit: Duration,
    sent: &mut bool,
) -> Result<(hyper::Response<Incoming>, Connection), Failure> {
    let address = server.address;
    let mut request = request;
    loop {
        let mut connection = match pool.take(address, FRESH_IDLE) {
            Some(kept) => kept,
            None => connect(pool, address, limit).await?,
        };
        *sent = true;
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(SendError::Broken(error)) => {
                return Err(Failure::Broken { reason: error.to_string() });
            }
            Err(SendError::NotSent(_)) if !connection.is_reused => {
                return Err(Failure::Unreachable {
                    reason: "the connection closed at once".to_owned(),
                });
            }
            Err(SendError::NotSent(unsent)) => {
                *sent = false;
                request = *unsent;
            }
        }
    }
}

async fn connect(pool: &Pool, address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let connected = pool.connect(address, limit.min(CONNECT_TIMEOUT)).await;
    connected.map_err(|error| Failure::Unreachable { reason: error.to_string() })
}

/// Reads a refusal's body to its end, so that the connection can be kept.
fn recycle(kernel: &Kernel, pool: &Pool, reply: Reply) {
    let (clock, pool) = (kernel.clock.clone(), pool.clone());
    kernel.spawn_detached(async move {
        const LIMIT: Duration = Duration::from_millis(500);
        let Reply { marks, body, connection, .. } = reply;
        let rest = http_body_util::BodyExt::collect(body);
        if let Ok(Ok(_)) = clock.timeout(LIMIT, rest).await
            && !marks.closes
        {
            pool.release(connection, marks.keep_alive);
        }
    });
}
