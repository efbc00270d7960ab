//! Limit of the bytes that a connection may deliver in place of a response's head.
//!
//! The HTTP library skips interim responses for as long as they come, without a pause in which
//! other tasks run, so a server that sends them without end would stop the whole process.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// Most bytes that may arrive before the head of a response is complete.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Connection that fails once too many bytes have arrived without a head.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    budget: Budget,
}

/// Bytes that may still arrive before the head; cheap to clone.
#[derive(Clone, Debug)]
pub struct Budget(Arc<AtomicUsize>);

impl Stream {
    pub fn new(stream: TcpStream, budget: Budget) -> Stream {
        Stream { stream, budget }
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }
}

impl Budget {
    /// Limits the bytes from now on, since a request is sent.
    pub fn start(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, since the head has arrived.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if these are too many.
    fn spend(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let reason = "too many bytes without the head of a response; check the server";
        let left = left.checked_sub(bytes).ok_or_else(|| io::Error::other(reason))?;
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.budget.spend(read).map(|()| read))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
