//! Request and response bodies.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::{Stream, StreamExt as _};
use http_body_util::{BodyExt as _, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
};
use snafu::Snafu;

use kernel::clock::Clock;

/// Maximum number of chunks of a streamed response that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// Error that ends a response body before it is complete. The server then closes the
/// connection, so that the caller notices.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the response is incomplete; the connection is closed to tell the caller"))]
pub struct Truncated;

/// Error of [`read`]; the texts are sent to callers.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body is above {limit} bytes; send less"))]
    TooLarge { limit: usize },
    #[snafu(display("the body did not arrive within {limit:?}; send it faster"))]
    TooSlow { limit: Duration },
    #[snafu(display("the body broke off; send it whole"))]
    Incomplete,
}

/// Reads a complete request body of at most `max_bytes` within the time `limit`.
///
/// # Errors
///
/// [`BodyError`] if the body exceeds a limit or is incomplete.
pub async fn read(
    clock: &Clock,
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let body = clock.timeout(limit, Limited::new(body, max_bytes).collect()).await;
    let body = body.map_err(|_| BodyError::TooSlow { limit })?;
    let body = body.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            BodyError::TooLarge { limit: max_bytes }
        } else {
            BodyError::Incomplete
        }
    })?;
    Ok(body.to_bytes())
}

/// Returns a response with a complete body.
pub fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    response(status, content_type, body)
}

/// Returns a response whose body is sent in chunks, and their sender. The body is
/// complete when the sender is dropped without having sent [`Truncated`].
pub fn streamed(
    status: StatusCode,
    content_type: &str,
) -> (Sender<Result<Bytes, Truncated>>, Response<Body>) {
    let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    (sender, response(status, content_type, from_receiver(receiver)))
}

/// Chunks of a streamed response. Defers [`Truncated`] by one poll, so that the server
/// first sends its buffer: on an error it closes the connection and drops the buffer,
/// and with it the event that gives the caller the reason.
struct Chunks {
    receiver: Pin<Box<Receiver<Result<Bytes, Truncated>>>>,
    is_truncated: bool,
}

impl Stream for Chunks {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_truncated {
            return Poll::Ready(Some(Err(Truncated)));
        }
        match self.receiver.as_mut().poll_next(context) {
            Poll::Ready(Some(Err(Truncated))) => {
                self.is_truncated = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

fn from_receiver(receiver: Receiver<Result<Bytes, Truncated>>) -> Body {
    let chunks = Chunks { receiver: Box::pin(receiver), is_truncated: false };
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

fn response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
