//! Builds the processes of a fleet: settings files, ports and relays.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{
    fleet::{Fleet, Member, Shape},
    relay::Relay,
    settings_yaml::{self, Instance, Platform},
};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Routes that every plain service serves.
const ROUTES: [&str; 2] = ["orders", "stock"];
/// Start of the port range, below the ephemeral ports of outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;

impl Fleet {
    pub(super) fn add_platform(&self, shape: &Shape) {
        for (name, program, settings) in [
            ("log", "standin-log", "retention_s: 600\n"),
            ("list", "standin-list", "expiry_ms: 700\nlag_ms: 50\n"),
            ("store", "standin-store", shape.store.as_str()),
        ] {
            self.add_standin(name, program, settings);
        }
        let platform = Platform { log: self.address("log"), list: self.address("list") };
        let settings = settings_yaml::operator(platform, &self.certificates());
        fs::write(self.folder.join("operator.yaml"), settings).expect("the folder can be written");
    }

    pub(super) fn add_engine(&self, index: usize, shape: &Shape) {
        let name = format!("engine-{index}");
        let store = self.address("store");
        let settings = format!("store: {store}\nslots: 4\nbatch: 8\n{}", shape.engine_extra);
        self.add_standin(&name, "standin-engine", &settings);
        self.add_side(index, &name, &[], shape);
    }

    pub(super) fn add_service(&self, index: usize, shape: &Shape) {
        let name = format!("service-{index}");
        self.add_standin(&name, "standin-service", "");
        self.add_side(100 + index, &name, &ROUTES, shape);
    }

    fn add_standin(&self, name: &str, program: &'static str, settings: &str) {
        let address = free_tcp();
        let settings = format!("listen: {address}\n{settings}");
        self.add(name, program, &settings, Some(address), None);
    }

    pub(super) fn add_side(&self, index: usize, server: &str, routes: &[&str], shape: &Shape) {
        let name = format!("side-{index}");
        let (log, list) = self.relays();
        let certificates = self.certificates();
        let instance = Instance {
            name: &name,
            zone: ZONES[index % ZONES.len()],
            fleet: free_udp(),
            certificates: &certificates,
            role: "side",
            timing: &shape.timing,
        };
        let platform = Platform { log: log.address, list: list.address };
        let settings =
            settings_yaml::side(&instance, platform, server, self.address(server), routes);
        self.add(&name, "chivelatch-side", &settings, None, Some((log, list)));
    }

    pub(super) fn add_entry(&self, index: usize, shape: &Shape) {
        let name = format!("entry-{index}");
        let (log, list) = self.relays();
        let listen = free_tcp();
        let certificates = self.certificates();
        let instance = Instance {
            name: &name,
            zone: ZONES[index % ZONES.len()],
            fleet: free_udp(),
            certificates: &certificates,
            role: "entry",
            timing: &shape.timing,
        };
        let platform = Platform { log: log.address, list: list.address };
        let settings = settings_yaml::entry(&instance, platform, listen, &shape.entry_extra);
        self.add(&name, "chivelatch-entry", &settings, Some(listen), Some((log, list)));
    }

    fn add(
        &self,
        name: &str,
        program: &'static str,
        settings: &str,
        address: Option<SocketAddr>,
        relays: Option<(Relay, Relay)>,
    ) {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the folder can be written");
        let (log, list) = relays.unzip();
        let member = Member { program, settings: path, process: None, address, log, list };
        self.members.lock().insert(name.to_owned(), member);
    }

    fn relays(&self) -> (Relay, Relay) {
        let open = |name| Relay::open(self.address(name)).expect("a port is free");
        (open("log"), open("list"))
    }
}

fn free_tcp() -> SocketAddr {
    free_port(|address| TcpListener::bind(address).is_ok())
}

fn free_udp() -> SocketAddr {
    free_port(|address| UdpSocket::bind(address).is_ok())
}

/// Returns a free port that no fleet of this test process has used before.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Concurrent test processes have neighbouring ids; the factor keeps their ports apart.
    let start = std::process::id() * 997;
    loop {
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(index < PORT_COUNT, "no port is free");
        let port = FIRST_PORT + (start + index) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if is_free(address) {
            return address;
        }
    }
}
