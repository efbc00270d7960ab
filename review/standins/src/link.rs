//! Link between a machine and the store, which can be cut: bytes then wait until it is whole again.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// Reads of the replicas' topic that passed.
    pub replica_reads: Arc<AtomicUsize>,
}

impl Link {
    pub fn start(address: SocketAddr, store: SocketAddr) -> Link {
        let listener = TcpListener::bind(address).expect("a free port for a link");
        let link = Link { address, is_cut: Arc::default(), replica_reads: Arc::default() };
        let shared = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || link.join(near, store));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn join(&self, near: TcpStream, store: SocketAddr) {
        self.wait_while_cut();
        let Ok(far) = TcpStream::connect(store) else { return };
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let _best_effort = (near.set_nodelay(true), far.set_nodelay(true));
        let link = self.clone();
        thread::spawn(move || link.forward(far_copy, near_copy));
        self.forward(near, far);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            self.wait_while_cut();
            let bytes = &buffer[..length];
            let read = b"log-read?topic=keyed.servers";
            if bytes.windows(read.len()).any(|window| window == read) {
                self.replica_reads.fetch_add(1, Ordering::Relaxed);
            }
            if to.write_all(bytes).is_err() {
                break;
            }
        }
        let _closed = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }
}
