//! A TCP relay between one process and one platform service, which can be cut to simulate
//! a network partition.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

use parking_lot::Mutex;

/// A relay to one service.
#[derive(Clone, Debug)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_cut: bool,
    connections: Vec<TcpStream>,
}

impl Relay {
    /// Starts a relay to `target` on a free port; it runs until the test process ends.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    pub fn open(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay { address: listener.local_addr()?, state: Arc::default() };
        let state = Arc::clone(&relay.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                thread::spawn(move || forward(&stream, target, &state));
            }
        });
        Ok(relay)
    }

    /// Closes open connections and rejects new ones.
    pub fn cut(&self) {
        let mut state = self.state.lock();
        state.is_cut = true;
        for stream in state.connections.drain(..) {
            let _already_closed = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn mend(&self) {
        self.state.lock().is_cut = false;
    }
}

fn forward(caller: &TcpStream, target: SocketAddr, state: &Mutex<State>) {
    if state.lock().is_cut {
        return;
    }
    let Ok(service) = TcpStream::connect(target) else { return };
    let clones = (caller.try_clone(), service.try_clone());
    let (Ok(caller_end), Ok(service_end)) = clones else { return };
    state
        .lock()
        .connections
        .extend([caller.try_clone(), service.try_clone()].into_iter().flatten());
    let back = thread::spawn(move || copy(&service_end, &caller_end));
    copy(caller, &service);
    let _ended = back.join();
    state.lock().connections.retain(|stream| stream.peer_addr().is_ok());
}

fn copy(mut from: &TcpStream, mut to: &TcpStream) {
    let _broken = io::copy(&mut from, &mut to);
    let _already_closed = to.shutdown(Shutdown::Write);
}
