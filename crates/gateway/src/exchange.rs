//! One attempt of a request at one backend server, up to the head of the response.
//!
//! Architecture Invariant: each failure states whether the request may have run. A refusal counts only
//! if it can be about no other request (`serving::refusal`), and its connection carries no further one.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, http::response};
use snafu::Snafu;

use kernel::{Kernel, memory::Buffer};
use services::{
    body::Body,
    http::Error,
    pool::{Connection, Pool, SendError},
};
use serving::{
    directory::Listing,
    refusal::{self, Past, Refusal, Subject},
};

use crate::{gate::Pass, ports::ResponseMeta, stop::Stop};

/// Time that a backend server may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that is reused; requests could be lost on an older one.
const MAX_REUSE_IDLE: Duration = Duration::from_millis(2000);

/// Largest answer of a server to the question for its state, in bytes.
pub const MAX_STATE_BYTES: usize = 64 * 1024;

/// Admitted request to one server.
pub struct Outbound<'a> {
    pub pass: Pass,
    pub check: Option<ProcessCheck>,
    pub id: &'a str,
    /// Whether the server has refused this request before.
    pub is_refused_before: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    pub request: Request<Full<Bytes>>,
    /// Longest time until the head of the response arrives.
    pub limit: Duration,
    /// Planned stop of this instance, which may end the attempt before.
    pub stop: &'a Stop,
    pub is_sent: &'a SentFlag,
}

/// Whether the request of an attempt may have reached its server. Shared with the job, which needs to know
/// if it drops the attempt.
#[derive(Clone, Debug, Default)]
pub struct SentFlag(Arc<AtomicBool>);

/// Head of a response, with the body to be read.
#[derive(Debug)]
pub struct Reply {
    pub head: response::Parts,
    pub meta: ResponseMeta,
    pub body: Body,
    pub connection: Connection,
}

/// Reason why an attempt yielded no usable response.
#[derive(Clone, Debug, Snafu)]
pub enum Failure {
    /// The request was not sent and did not run.
    #[snafu(display("the server could not be reached: {reason}"))]
    Unreachable { reason: String },
    /// Another process has the server's name and address. The request was not sent.
    #[snafu(display("another process has the server's name and address"))]
    Replaced,
    /// The server states that it did not run the request.
    #[snafu(display("the server did not run the request and responded with status {status}"))]
    NotRun { status: u16, reason: NotRunReason },
    /// The request may have run.
    #[snafu(display("no usable response, and the request may have run: {reason}"))]
    Broken { reason: String },
    /// The connection broke before the response was complete; the request may have run.
    #[snafu(display("the connection broke, and the request may have run: {reason}"))]
    Disconnected { reason: String },
    /// The timeout passed; the request may have run.
    #[snafu(display("no complete response before the timeout; the request may have run"))]
    TimedOut,
}

/// Question that is asked on a request's own connection before it is sent: whether the process at
/// the other end is the listed one. An id and an address may be those of an earlier process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessCheck {
    pub query: fn() -> Request<Full<Bytes>>,
    /// Returns the start of the process from the answer, in milliseconds since the Unix epoch.
    pub parse: fn(&[u8]) -> Option<u64>,
    /// Whether the server is known to state its start, as model engines do.
    pub is_answer_due: bool,
}

/// What the answer to a [`ProcessCheck`] on a new connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The listed process answered.
    Listed,
    /// Another process answered, or one that should have stated its start and did not.
    Other,
    /// The server does not state its start, and need not.
    NotStated,
}

/// Reason why a server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The server is overloaded or leaving.
    Unavailable,
    /// The server wants no requests for a while.
    Pausing,
    /// The adapter is not resident on the server.
    AdapterMissing,
    /// The request was addressed to another server.
    WrongServer,
}

impl SentFlag {
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_sent: bool) {
        self.0.store(is_sent, Ordering::Relaxed);
    }
}

impl Failure {
    /// Returns whether the request certainly did not run.
    pub fn has_not_run(&self) -> bool {
        matches!(self, Failure::Unreachable { .. } | Failure::Replaced | Failure::NotRun { .. })
    }
}

/// Sends an admitted request, after a check of the server's process if there is one, and waits for the
/// head of the response. `read_head` is called with each head that arrives, whether or not the response
/// can be used.
///
/// # Errors
///
/// Returns a [`Failure`] that states whether the request may have run.
pub async fn send(
    kernel: &Kernel,
    pool: &Pool,
    outbound: Outbound<'_>,
    read_head: impl FnOnce(&response::Parts) -> ResponseMeta,
) -> Result<Reply, Failure> {
    let server = &outbound.pass.server().clone();
    let (request_id, limit, stop) = (outbound.id, outbound.limit, outbound.stop);
    let (is_refused_again, is_checked) = (outbound.is_refused_before, outbound.check.is_some());
    let is_repeatable = outbound.is_repeatable;
    let is_sent = outbound.is_sent;
    let response = send_request(kernel, pool, outbound);
    let outcome = stop.timeout(&kernel.clock, limit, response).await;
    let (response, connection) = match outcome {
        Ok(outcome) => outcome?,
        Err(_) if is_sent.get() => return Err(Failure::TimedOut),
        Err(_) => {
            return Err(Failure::Unreachable {
                reason: "no connection before the timeout".to_owned(),
            });
        }
    };
    let (head, body) = response.into_parts();
    let mut meta = read_head(&head);
    meta.closes_connection |= !body.framing().is_explicit();
    let subject = subject(&meta, request_id);
    if meta.is_not_run {
        // The connection is dropped: a faulty server may write the refusal once more, before the
        // response to a later request there.
        let is_connection_used = connection.is_reused || is_checked;
        let past = Past { is_connection_used, is_refused_again };
        let reason = not_run_reason(server, &meta, head.status);
        let is_adapter_missing = reason == NotRunReason::AdapterMissing;
        let refusal = Refusal { is_adapter_missing, is_repeatable };
        let is_believed = refusal::is_believed(subject, past, refusal);
        return Err(refusal_failure(head.status, reason, is_believed));
    }
    if subject != Subject::Awaited {
        return Err(Failure::Broken {
            reason: "the response belongs to another request".to_owned(),
        });
    }
    Ok(Reply { head, meta, body, connection })
}

/// Returns which request a response is about, where the one with `request_id` is awaited.
fn subject(meta: &ResponseMeta, request_id: &str) -> Subject {
    match meta.request_id.as_deref() {
        Some(id) if id == request_id => Subject::Awaited,
        Some(_) => Subject::Other,
        None => Subject::Unnamed,
    }
}

/// Returns the failure for a response that states that a request did not run.
fn refusal_failure(status: StatusCode, reason: NotRunReason, is_believed: bool) -> Failure {
    if is_believed {
        return Failure::NotRun { status: status.as_u16(), reason };
    }
    metrics::counter!("chivelatch_doubtful_refusals_total").increment(1);
    Failure::Broken { reason: "the refusal may be about another request or attempt".to_owned() }
}

/// Returns why a server states that it did not run a request.
fn not_run_reason(server: &Listing, meta: &ResponseMeta, status: StatusCode) -> NotRunReason {
    let is_addressed_server = meta.server.as_ref().is_none_or(|id| *id == server.id);
    match status {
        // The addressed server itself responds so if it lacks the adapter.
        StatusCode::MISDIRECTED_REQUEST if is_addressed_server => NotRunReason::AdapterMissing,
        StatusCode::MISDIRECTED_REQUEST => NotRunReason::WrongServer,
        _ if meta.pause.is_some() => NotRunReason::Pausing,
        _ => NotRunReason::Unavailable,
    }
}

/// Sends a request on a pooled or new connection. A pooled connection that was closed before the
/// request was sent is replaced. The flag is set while the request may have reached the server, so
/// that the caller can tell after a timeout.
async fn send_request(
    kernel: &Kernel,
    pool: &Pool,
    outbound: Outbound<'_>,
) -> Result<(hyper::Response<Body>, Connection), Failure> {
    let Outbound { mut pass, check, mut request, limit, is_sent, .. } = outbound;
    let address = pass.server().address;
    loop {
        let mut connection = match pool.take(address, MAX_REUSE_IDLE) {
            Some(pooled) => pooled,
            None => connect(pool, address, limit).await?,
        };
        if let Some(check) = check {
            let buffer = kernel.memory.buffer(MAX_STATE_BYTES);
            match identify(&mut connection, check, pass.server(), buffer).await {
                Ok(Process::Listed) => {}
                Ok(Process::Other) => return Err(Failure::Replaced),
                Ok(Process::NotStated) if connection.is_reused => continue,
                Ok(Process::NotStated) if !check.is_answer_due => {}
                Ok(Process::NotStated) => {
                    return Err(Failure::Unreachable {
                        reason: "it is not known which process has its name and address".to_owned(),
                    });
                }
                Err(_) if connection.is_reused => continue,
                Err(error) => return Err(Failure::Unreachable { reason: error.to_string() }),
            }
        }
        is_sent.set(true);
        pass.record_use();
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(SendError::Broken(error)) => {
                return Err(Failure::Disconnected { reason: error.to_string() });
            }
            Err(SendError::NotSent(_)) if !connection.is_reused => {
                return Err(Failure::Unreachable {
                    reason: "the server closed the new connection before the request was sent"
                        .to_owned(),
                });
            }
            Err(SendError::NotSent(unsent)) => {
                is_sent.set(false);
                request = *unsent;
            }
        }
    }
}

/// Asks on a new connection whether the listed process of a server answers.
///
/// # Errors
///
/// Returns the error if there is no answer.
pub async fn ask(
    kernel: &Kernel,
    pool: &Pool,
    server: &Listing,
    check: ProcessCheck,
) -> Result<Evidence, Error> {
    let mut connection = pool.connect(server.address, CONNECT_TIMEOUT).await?;
    let buffer = kernel.memory.buffer(MAX_STATE_BYTES);
    Ok(match identify(&mut connection, check, server, buffer).await? {
        Process::Listed => Evidence::Listed,
        Process::NotStated if !check.is_answer_due => Evidence::NotStated,
        Process::Other | Process::NotStated => Evidence::Other,
    })
}

/// Process at the other end of a connection.
enum Process {
    Listed,
    Other,
    /// The answer does not state the start of the process. It may be about an earlier request.
    NotStated,
}

/// Asks which process is at the other end of a connection. The connection ends with the process, so
/// the answer holds for what is sent there later.
async fn identify(
    connection: &mut Connection,
    check: ProcessCheck,
    server: &Listing,
    buffer: Buffer,
) -> Result<Process, Error> {
    let response = connection.fetch((check.query)(), buffer).await?;
    let born_ms = (check.parse)(response.body()).filter(|_| response.status().is_success());
    Ok(match born_ms {
        Some(born_ms) if born_ms == server.born_ms => Process::Listed,
        Some(_) => Process::Other,
        None => Process::NotStated,
    })
}

async fn connect(pool: &Pool, address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let connected = pool.connect(address, limit.min(CONNECT_TIMEOUT)).await;
    connected.map_err(|error| Failure::Unreachable { reason: error.to_string() })
}
