//! YAML settings of the quick start's instances, in the format of an operator's files.

use std::{
    net::{SocketAddr, UdpSocket},
    path::PathBuf,
};

/// Settings shared by all instances.
pub(crate) struct Common {
    /// Address of the platform's log.
    pub(crate) log: SocketAddr,
    /// Address of the instance list.
    pub(crate) list: SocketAddr,
    /// Folder of the certificates.
    pub(crate) folder: PathBuf,
    /// File stem of the certificate.
    pub(crate) role: &'static str,
}

/// A backend server and the instance name of its side process.
pub(crate) struct Backend {
    instance: String,
    settings: String,
}

/// Returns the backend section for a model engine.
pub(crate) fn engine(index: usize, address: SocketAddr) -> Backend {
    Backend {
        instance: format!("side-{index}"),
        settings: format!(
            "  name: engine-{index}\n  address: {address}\n  slots: 8\n  batch: 32\n"
        ),
    }
}

/// Returns the backend section for the plain service.
pub(crate) fn service(address: SocketAddr) -> Backend {
    Backend {
        instance: "side-101".to_owned(),
        settings: format!(
            "  name: service-1\n  address: {address}\n  routes:\n    - name: orders\n    \
             - name: stock\n"
        ),
    }
}

/// Returns the settings of a side process.
pub(crate) fn side(common: &Common, backend: &Backend) -> String {
    let Backend { instance, settings } = backend;
    format!("instance: {instance}\nzone: a\n{}backend:\n{settings}", common.yaml())
}

/// Returns the settings of the entry instance.
pub(crate) fn entry(common: &Common, listen: SocketAddr) -> String {
    format!("instance: entry-1\nzone: a\nlisten: {listen}\n{}", common.yaml())
}

/// Returns the settings of the operators' command line.
pub(crate) fn operator(common: &Common) -> String {
    format!("author: demo\n{}", common.yaml_without_timing())
}

impl Common {
    fn yaml(&self) -> String {
        let timing =
            "timing:\n  log_interval_ms: 100\n  list_interval_ms: 100\n  stop_notice_ms: 200\n";
        format!("{}{timing}", self.yaml_without_timing())
    }

    fn yaml_without_timing(&self) -> String {
        let Common { log, list, folder, role } = self;
        let folder = folder.display();
        let address = free_udp_address();
        format!(
            "fleet:\n  address: {address}\n  authority: {folder}/authority.pem\n  \
             certificate: {folder}/{role}.pem\n  key: {folder}/{role}.key.pem\n\
             platform:\n  log: {log}\n  list: {list}\n"
        )
    }
}

/// Returns a loopback address with a free UDP port; another program may take the port first.
fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    socket.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}
