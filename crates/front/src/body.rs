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

/// Pieces of a streamed answer that wait for a slow caller.
const STREAM_DEPTH: usize = 16;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// The answer ends here without being whole; the connection is closed so that
/// the caller sees it.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer was cut; its caller sees a broken connection"))]
pub struct Truncated;

/// Why a caller's body was not taken.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body is above {limit} bytes; send less"))]
    TooLarge { limit: usize },
    #[snafu(display("the body did not arrive within {limit:?}; send it faster"))]
    TooSlow { limit: Duration },
    #[snafu(display("the body broke off; send it whole"))]
    Incomplete,
}

/// Reads a whole body within limits.
///
/// # Errors
///
/// [`BodyError`]; nothing of the body is kept.
pub async fn read(
    clock: &Clock,
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let whole = clock.timeout(limit, Limited::new(body, max_bytes).collect()).await;
    let whole = whole.map_err(|_| BodyError::TooSlow { limit })?;
    let whole = whole.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            BodyError::TooLarge { limit: max_bytes }
        } else {
            BodyError::Incomplete
        }
    })?;
    Ok(whole.to_bytes())
}

/// An answer that is there as a whole.
pub fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    response(status, content_type, body)
}

/// An answer that is sent piece by piece. It is whole when the sender is dropped
/// without having sent [`Truncated`].
pub fn streamed(
    status: StatusCode,
    content_type: &str,
) -> (Sender<Result<Bytes, Truncated>>, Response<Body>) {
    let (sender, receiver) = async_channel::bounded(STREAM_DEPTH);
    (sender, response(status, content_type, from_receiver(receiver)))
}

/// Pieces of a streamed answer. Before a cut it lets the server send what it has:
/// a server that sees an error closes the connection and drops its buffer, and
/// with it the event that tells the caller why.
struct Pieces {
    receiver: Pin<Box<Receiver<Result<Bytes, Truncated>>>>,
    is_cut: bool,
}

impl Stream for Pieces {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_cut {
            return Poll::Ready(Some(Err(Truncated)));
        }
        match self.receiver.as_mut().poll_next(context) {
            Poll::Ready(Some(Err(Truncated))) => {
                self.is_cut = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    }
}

fn from_receiver(receiver: Receiver<Result<Bytes, Truncated>>) -> Body {
    let pieces = Pieces { receiver: Box::pin(receiver), is_cut: false };
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

fn response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
