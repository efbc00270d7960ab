//! Runs `quinn` on this crate's executor. `quinn` reads the time from this crate's
//! clock, while its timers follow the real clock.

use std::{
    fmt,
    future::Future,
    io, net,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Instant,
};

use async_io::{Async, Timer};
use quinn::{
    AsyncTimer, AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit, UdpSocketState},
};

use crate::Kernel;

impl quinn::Runtime for Kernel {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        Box::pin(ResettableTimer(Timer::at(at)))
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.spawn_detached(future);
    }

    fn wrap_udp_socket(&self, socket: net::UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Arc::new(Socket { io: Async::new(socket)?, state }))
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }
}

/// Timer on the real clock that `quinn` can set again.
#[derive(Debug)]
struct ResettableTimer(Timer);

impl AsyncTimer for ResettableTimer {
    fn reset(mut self: Pin<&mut Self>, at: Instant) {
        self.0.set_at(at);
    }

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context).map(|_| ())
    }
}

/// UDP socket with the state that `quinn` needs for segmentation offload.
#[derive(Debug)]
struct Socket {
    io: Async<net::UdpSocket>,
    state: UdpSocketState,
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller { socket: self, writable: None })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.state.send((&self.io).into(), transmit)
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [io::IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.poll_readable(context))?;
            if let Ok(count) = self.state.recv((&self.io).into(), buffers, meta) {
                return Poll::Ready(Ok(count));
            }
        }
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        self.io.as_ref().local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.state.gro_segments()
    }

    fn may_fragment(&self) -> bool {
        self.state.may_fragment()
    }
}

type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the socket is writable. Each poller has its own waker registration,
/// so that pollers of one socket do not replace each other's waker.
struct Poller {
    socket: Arc<Socket>,
    writable: Option<Writable>,
}

impl UdpPoller for Poller {
    fn poll_writable(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let writable = self
            .writable
            .get_or_insert_with(|| Box::pin(async move { socket.io.writable().await }));
        let result = ready!(writable.as_mut().poll(context));
        self.writable = None;
        Poll::Ready(result)
    }
}

impl fmt::Debug for Poller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Poller").finish_non_exhaustive()
    }
}
