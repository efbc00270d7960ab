//! The project's own processes, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::wire::Connection;

/// Addresses and ports of a run: a machine has an address of its own in the loopback range, ports are the
/// same on all of them.
#[derive(Clone)]
pub struct Net {
    base: [u8; 2],
    pub port: u16,
    pub folder: PathBuf,
}

impl Net {
    /// Finds free ports and makes a temporary folder.
    pub fn new() -> io::Result<Net> {
        let id = std::process::id();
        let base = [20 + (id % 200) as u8, (id / 200 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("chivelatch-review-{id}"));
        fs::create_dir_all(&folder)?;
        for port in (21_000 + (id % 90) as u16 * 100..).step_by(100).take(20) {
            let net = Net { base, port, folder: folder.clone() };
            if (0..8).all(|offset| TcpListener::bind((net.ip(1), port + offset)).is_ok()) {
                return Ok(net);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base[0], self.base[1], machine)
    }

    pub fn address(&self, machine: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip(machine), self.port + offset))
    }

    /// Address of callers at an entry instance.
    pub fn front(&self, machine: u8) -> SocketAddr {
        self.address(machine, 1)
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        self.address(machine, 2)
    }

    /// Address of the replica on a machine.
    pub fn app(&self, machine: u8) -> SocketAddr {
        self.address(machine, 3)
    }
}

impl Net {
    /// Returns the lines of a process's log that contain one of these texts.
    pub fn log_lines(&self, process: &str, texts: &[&str]) -> Vec<String> {
        let log =
            fs::read_to_string(self.folder.join(format!("{process}.log"))).unwrap_or_default();
        let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        let _best_effort = fs::remove_dir_all(&self.folder);
    }
}

/// One process of the project, which is killed with this.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts a process of a role with the command of the deploy file.
    pub fn start(
        root: &Path,
        net: &Net,
        store: SocketAddr,
        role: &str,
        machine: u8,
        zone: &str,
    ) -> io::Result<Process> {
        let name = format!("{role}-{zone}-{machine}");
        let (listen, app) = match role {
            "entry" => (
                format!(r#"{{"front":"{}","ready":"{}"}}"#, net.front(machine), net.ready(machine)),
                String::new(),
            ),
            _ => ("{}".to_owned(), format!(r#""app":"{}","svc":"answers","#, net.app(machine))),
        };
        let (class, cpu, ram) =
            if role == "entry" { ("edge", 0.19, 260) } else { ("side", 0.2, 192) };
        let port = net.port + 10;
        let settings = format!(
            r#"{{"node_name":"{name}","role":"{role}","node_class":"{class}","serves":["{class}"],
"ip":"{ip}","zone":"{zone}","region":"north","zones":{{"a":"north","b":"north"}},"listen":{listen},
"port_range":[{port},{last}],"seeds":["{seed}"],"bootstrap":true,{app}
"limits":{{"cpu_quota":{cpu},"cpus":1,"ram_mb":{ram},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"bounds":{{"contact_ms":3000,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,
"retry_ratio":0.2,"retry_window_s":10,"retry_slack":54}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000}}}}"#,
            ip = net.ip(machine),
            last = port + 15,
            seed = SocketAddr::from((net.ip(11), port)),
        );
        let file = net.folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = File::create(net.folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join("target/release/chivelatch-platform"))
            .args([role, "--metrics", "9464"])
            .current_dir(root)
            .env_clear()
            .env("CHIVELATCH_SETTINGS", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Process { name, child })
    }

    /// Sends a signal by its name to this process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let sent = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_ended = self.child.kill();
        let _already_reaped = self.child.wait();
    }
}

/// Asks the health check of an entry instance; returns the status.
pub fn health(address: SocketAddr) -> io::Result<u16> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    connection.write("GET /chivelatch/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")?;
    Ok(connection.read_head()?.status())
}

/// Waits until an entry instance says that it is ready.
pub fn wait_until_ready(address: SocketAddr, limit: Duration) -> io::Result<()> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if health(address).is_ok_and(|status| status == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("an entry instance did not get ready"))
}
