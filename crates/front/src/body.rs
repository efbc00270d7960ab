//! Request and response bodies.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::{Stream, StreamExt as _};
use http_body_util::{BodyExt as _, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
};
use snafu::Snafu;

use kernel::{
    Kernel,
    memory::{Buffer, Full},
};

/// Maximum number of chunks of a streamed response that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// Error that ends a response body before it is complete. The server then closes the
/// connection, so that the caller notices.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the response is incomplete; the connection is closed to tell the caller"))]
pub struct Truncated;

/// Sender of the chunks of a streamed response. The response is incomplete unless it is ended with
/// [`Sender::finish`].
#[derive(Debug)]
pub struct Sender {
    pieces: async_channel::Sender<Piece>,
}

#[derive(Debug)]
enum Piece {
    Chunk(Bytes),
    End,
}

/// The caller has disconnected and gets no more of its response.
#[derive(Clone, Copy, Debug)]
pub struct Disconnected;

/// Chunks of a [`Sender`].
struct Chunks {
    receiver: Pin<Box<Receiver<Piece>>>,
    has_ended: bool,
}

/// Chunks whose [`Truncated`] is deferred by one poll, so that the server first sends its buffer:
/// on an error it closes the connection and drops the buffer, and with it the event that gives the
/// caller the reason.
struct Deferred<S> {
    chunks: S,
    is_truncated: bool,
}

/// Error of [`read`]; the texts are sent to callers.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body is above {limit} bytes; send less"))]
    TooLarge { limit: usize },
    #[snafu(display("the body did not arrive within {limit:?}; send it faster"))]
    TooSlow { limit: Duration },
    #[snafu(display("the body broke off; send it whole"))]
    Incomplete,
    #[snafu(display("there is no memory for the body now; send it again later"))]
    NoMemory,
}

/// Reads a complete request body of at most `max_bytes` within the time `limit`.
///
/// # Errors
///
/// [`BodyError`] if the body exceeds a limit or is incomplete.
pub async fn read(
    kernel: &Kernel,
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let body = collect(body, kernel.memory.buffer(max_bytes));
    kernel.clock.timeout(limit, body).await.map_err(|_| BodyError::TooSlow { limit })?
}

async fn collect(mut body: Incoming, mut buffer: Buffer) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(chunk) = frame.into_data() else { continue };
        buffer.push(&chunk).map_err(|full| match full {
            Full::TooLarge { limit } => BodyError::TooLarge { limit },
            Full::Exhausted { .. } => BodyError::NoMemory,
        })?;
    }
    Ok(buffer.into_bytes())
}

/// Returns a response with a complete body.
pub fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let body = http_body_util::Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    response(status, content_type, body)
}

/// Returns a response whose body is sent in chunks, and their sender.
pub fn streamed(status: StatusCode, content_type: &str) -> (Sender, Response<Body>) {
    let (pieces, receiver) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    (Sender { pieces }, response(status, content_type, from_chunks(Chunks::new(receiver))))
}

/// Returns a body of chunks. It is complete where they end without [`Truncated`].
pub fn from_chunks(
    chunks: impl Stream<Item = Result<Bytes, Truncated>> + Send + Unpin + 'static,
) -> Body {
    let chunks = Deferred { chunks, is_truncated: false };
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

impl Sender {
    /// Sends a chunk; waits while too many chunks are buffered.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        self.pieces.send(Piece::Chunk(chunk)).await.map_err(|_| Disconnected)
    }

    /// Ends the response as complete.
    pub async fn finish(self) {
        let _disconnected = self.pieces.send(Piece::End).await;
    }
}

impl Chunks {
    fn new(receiver: Receiver<Piece>) -> Chunks {
        Chunks { receiver: Box::pin(receiver), has_ended: false }
    }
}

impl Stream for Chunks {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let piece = ready!(self.receiver.as_mut().poll_next(context));
        if let Some(Piece::Chunk(chunk)) = piece {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.has_ended = true;
        Poll::Ready(if piece.is_some() { None } else { Some(Err(Truncated)) })
    }
}

impl<S: Stream<Item = Result<Bytes, Truncated>> + Unpin> Stream for Deferred<S> {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_truncated {
            return Poll::Ready(Some(Err(Truncated)));
        }
        match Pin::new(&mut self.chunks).poll_next(context) {
            Poll::Ready(Some(Err(Truncated))) => {
                self.is_truncated = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

fn response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
