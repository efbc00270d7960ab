//! Settings of the quick start's processes, as an operator would write them.

use std::{
    net::{SocketAddr, UdpSocket},
    path::PathBuf,
};

/// What every process needs.
pub(crate) struct Common {
    pub(crate) log: SocketAddr,
    pub(crate) list: SocketAddr,
    pub(crate) folder: PathBuf,
    pub(crate) role: &'static str,
}

/// A backend server with its side process.
pub(crate) struct Backend {
    instance: String,
    settings: String,
}

/// A model engine.
pub(crate) fn engine(index: usize, address: SocketAddr) -> Backend {
    Backend {
        instance: format!("side-{index}"),
        settings: format!(
            "  name: engine-{index}\n  address: {address}\n  slots: 8\n  batch: 32\n"
        ),
    }
}

/// The plain service.
pub(crate) fn service(address: SocketAddr) -> Backend {
    Backend {
        instance: "side-101".to_owned(),
        settings: format!(
            "  name: service-1\n  address: {address}\n  routes:\n    - name: orders\n    - name: stock\n"
        ),
    }
}

pub(crate) fn side(common: &Common, backend: &Backend) -> String {
    let Backend { instance, settings } = backend;
    format!("instance: {instance}\nzone: a\n{}backend:\n{settings}", common.text())
}

pub(crate) fn entry(common: &Common, listen: SocketAddr) -> String {
    format!("instance: entry-1\nzone: a\nlisten: {listen}\n{}", common.text())
}

pub(crate) fn operator(common: &Common) -> String {
    format!("author: demo\n{}", common.text_without_timing())
}

impl Common {
    fn text(&self) -> String {
        let timing =
            "timing:\n  log_interval_ms: 100\n  list_interval_ms: 100\n  stop_notice_ms: 200\n";
        format!("{}{timing}", self.text_without_timing())
    }

    fn text_without_timing(&self) -> String {
        let Common { log, list, folder, role } = self;
        let folder = folder.display();
        let address = free_address();
        format!(
            "fleet:\n  address: {address}\n  authority: {folder}/authority.pem\n  \
             certificate: {folder}/{role}.pem\n  key: {folder}/{role}.key.pem\n\
             platform:\n  log: {log}\n  list: {list}\n"
        )
    }
}

/// A free port; another program could take it before this one does.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    socket.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}
