//! The project's own processes, started with the commands of the deploy file.

use std::{
    env,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

pub const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const CONTROL_PORT: u16 = 8229;
const METRICS_PORT: u16 = 9464;
const MESH_PORTS: (u16, u16) = (7600, 7615);
/// Memory of an entry instance, as in the users' sheets.
pub const RAM_MB: u64 = 260;
pub const APP_PORT: u16 = 8228;
pub const STORE_PORT: u16 = 8225;

/// Loopback addresses of one run, one for each machine.
pub struct Network {
    prefix: [u8; 2],
}

impl Network {
    /// Chooses a range of loopback addresses on which the ports are free.
    pub fn choose() -> Network {
        let seed = std::process::id();
        for attempt in 0..200 {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 7919);
            let prefix = [64 + (number % 120) as u8, (number / 120 % 250) as u8];
            let network = Network { prefix };
            let ports = [FRONT_PORT, READY_PORT, METRICS_PORT, MESH_PORTS.0, APP_PORT, STORE_PORT];
            let is_free = |port| TcpListener::bind((network.machine(1), port)).is_ok();
            if ports.into_iter().all(is_free) {
                return network;
            }
        }
        panic!("no free loopback addresses");
    }

    pub fn machine(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], number)
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        (self.machine(number), port).into()
    }
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes the ids of the processes that run to the file that `REVIEW_PIDS` names, so that the script can
/// end them if this process is ended.
fn write_ids(ids: &[u32]) {
    if let Ok(path) = env::var("REVIEW_PIDS") {
        let lines: Vec<String> = ids.iter().map(u32::to_string).collect();
        let _best_effort = fs::write(path, lines.join("\n"));
    }
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// Settings that processes of one run share.
pub struct Site<'a> {
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub seeds: &'a [Ipv4Addr],
    pub record: &'a Record,
}

impl Process {
    /// Starts an entry instance.
    pub fn entry(site: &Site, name: &str, ip: Ipv4Addr, zone: &str) -> Process {
        let listen = format!(
            r#"{{"front":"{ip}:{FRONT_PORT}","ready":"{ip}:{READY_PORT}","ctl":"{ip}:{CONTROL_PORT}"}}"#
        );
        Process::new(site, name, ip, zone, "entry", &listen, "")
    }

    /// Starts the side process of a replica.
    pub fn side(
        site: &Site,
        name: &str,
        replica: SocketAddr,
        zone: &str,
        service: &str,
    ) -> Process {
        let SocketAddr::V4(replica) = replica else { panic!("loopback addresses are IPv4") };
        let ip = *replica.ip();
        let app = format!(r#""app":"{replica}","svc":"{service}","#);
        Process::new(site, name, ip, zone, "side", "{}", &app)
    }

    fn new(
        site: &Site,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        role: &'static str,
        listen: &str,
        app: &str,
    ) -> Process {
        let seeds: Vec<String> =
            site.seeds.iter().map(|ip| format!(r#""{ip}:{CONTROL_PORT}""#)).collect();
        let (seeds, store, (first, last)) = (seeds.join(","), site.store, MESH_PORTS);
        let (class, serves, ram) = match role {
            "entry" => ("edge", r#""edge","ctl""#, RAM_MB),
            _ => ("side", r#""side""#, 192),
        };
        let settings = format!(
            r#"{{"node_name":"{name}","role":"{role}","node_class":"{class}","serves":[{serves}],
"ip":"{ip}","zone":"{zone}","region":"r","zones":{{"a":"r","b":"r"}},"listen":{listen},
"port_range":[{first},{last}],"seeds":[{seeds}],"bootstrap":true,"counts_as_loss":false,
"limits":{{"cpu_quota":0.19,"cpus":1,"ram_mb":{ram},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"],
"fault_tolerance":{{"nodes":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,"revoke_strict":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":54,"quota_window_s":8,"quota_excess":0.1,"quota_slack":17000,"recovery_s":12,"pass_ms":120,"retry_after_s":0,"fencing":false,"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,"ceiling_excess":1.1,"version_ms":5000}},
{app}"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}
"#
        );
        let folder = site.folder.to_owned();
        fs::write(folder.join(format!("{name}.json")), settings).expect("a settings file");
        let record = site.record.clone();
        let mut process = Process { name: name.to_owned(), ip, role, folder, child: None, record };
        process.start();
        process
    }

    /// Starts the process with the command of its role in `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("a log file");
        let child = Command::new("target/release/chivelatch-platform")
            .args([self.role, "--metrics", "9464"])
            .env("CHIVELATCH_SETTINGS", self.folder.join(format!("{}.json", self.name)))
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        let Ok(child) = child else {
            println!("cannot start target/release/chivelatch-platform; build it first");
            std::process::exit(2);
        };
        self.record.line(format!("start {} (process {})", self.name, child.id()));
        let mut running = RUNNING.lock().unwrap();
        running.push(child.id());
        write_ids(&running);
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        self.record.line(format!("SIGKILL {}", self.name));
        let _ended = child.kill();
        let _status = child.wait();
        let mut running = RUNNING.lock().unwrap();
        running.retain(|id| *id != child.id());
        write_ids(&running);
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Returns the resident memory.
    pub fn resident_kib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Waits until the readiness check succeeds. Returns whether it did.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open((self.ip, READY_PORT).into()) else {
            return false;
        };
        let _timeout = connection.set_timeout(Duration::from_secs(1));
        let request = "GET /chivelatch/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n";
        connection.send(request).is_ok()
            && connection.read_head().is_ok_and(|head| head.status == 200)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
