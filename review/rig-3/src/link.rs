//! Links that can be cut: what is sent over them is then neither delivered nor answered.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Switch of all links of a partition.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::Relaxed);
    }

    fn wait_until_healed(&self) {
        while self.0.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Starts a path of channels to an address. Returns its own address.
pub fn start_channels(ip: Ipv4Addr, to: SocketAddr, cut: &Cut) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let cut = cut.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || -> io::Result<()> {
                cut.wait_until_healed();
                let far = TcpStream::connect(to)?;
                let (near_end, far_end) = (near.try_clone()?, far.try_clone()?);
                let other = cut.clone();
                thread::spawn(move || forward(&near_end, &far_end, &other));
                forward(&far, &near, &cut);
                Ok(())
            });
        }
    });
    Ok(address)
}

fn forward(mut from: &TcpStream, mut to: &TcpStream, cut: &Cut) {
    let mut bytes = [0; 65536];
    while let Ok(count) = from.read(&mut bytes) {
        cut.wait_until_healed();
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _closed = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// Starts a path of datagrams between the process at `side` and whoever sends to `at`.
pub fn start_datagrams(at: SocketAddr, side: SocketAddr, cut: &Cut) -> io::Result<()> {
    let socket = UdpSocket::bind(at)?;
    let (cut, other) = (cut.clone(), Arc::new(Mutex::new(None::<SocketAddr>)));
    thread::spawn(move || {
        let mut bytes = [0; 65536];
        while let Ok((count, from)) = socket.recv_from(&mut bytes) {
            if cut.0.load(Ordering::Relaxed) {
                continue;
            }
            let mut other = other.lock().unwrap();
            let to = if from == side { *other } else { Some(side) };
            if from != side {
                *other = Some(from);
            }
            if let Some(to) = to {
                let _best_effort = socket.send_to(&bytes[..count], to);
            }
        }
    });
    Ok(())
}
