//! The project's own processes, started with the commands of the deploy file, and a small deployment for
//! them: loopback addresses, the store, settings.

use std::{
    env,
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, replica::LORA_SLOTS, store::Store};

/// A process of the system, which is killed when this is dropped.
pub struct Process {
    pub child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Ids of the processes that were started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started; for a case that takes too long.
pub fn end_processes() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _best_effort = Command::new("kill").args(["-s", "KILL", &id.to_string()]).status();
    }
}

/// A small deployment.
pub struct System {
    pub store: Store,
    /// Address at which processes reach the store, if it is another one.
    pub store_path: Option<SocketAddr>,
    folder: PathBuf,
    pub mesh_port: u16,
    next: u8,
    /// Memory above which the platform kills an entry process, in MB.
    pub ram_mb: u64,
    pub config_ms: u64,
}

impl System {
    pub fn new() -> io::Result<System> {
        let folder = env::temp_dir().join(format!("chivelatch-rig-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut system = System {
            store: Store::start(address(1))?,
            store_path: None,
            folder,
            mesh_port: 0,
            next: 2,
            ram_mb: 260,
            config_ms: 2000,
        };
        let ip = system.ip();
        system.mesh_port = free_port(ip)?;
        Ok(system)
    }

    /// Returns a loopback address that nothing else of this run has.
    pub fn ip(&mut self) -> Ipv4Addr {
        self.next += 1;
        address(self.next - 1)
    }

    /// Starts an entry process on a machine of its own and waits until it is ready.
    pub fn start_entry(&mut self) -> io::Result<Process> {
        let ip = self.ip();
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let listen = format!("{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\"}}");
        let process = self.start("entry", ip, &listen, "", (front, ready))?;
        process.wait_until_ready()?;
        Ok(process)
    }

    /// Starts the side process of a replica on the machine `ip`.
    pub fn start_side(&self, ip: Ipv4Addr, replica: SocketAddr) -> io::Result<Process> {
        let more = format!(",\"app\":\"{replica}\"");
        self.start("side", ip, "{}", &more, (0, 0))
    }

    fn start(
        &self,
        role: &str,
        ip: Ipv4Addr,
        listen: &str,
        more: &str,
        (front, ready): (u16, u16),
    ) -> io::Result<Process> {
        let (class, ram_mb) = if role == "entry" { ("edge", self.ram_mb) } else { ("side", 192) };
        let store = self.store_path.unwrap_or(self.store.address);
        let (mesh, last) = (self.mesh_port, self.mesh_port.saturating_add(15));
        let text = format!(
            "{{\"node_name\":\"{class}-a-{ip}\",\"role\":\"{role}\",\"node_class\":\"{class}\",\
             \"serves\":[\"{class}\"],\"ip\":\"{ip}\",\"zone\":\"a\",\"region\":\"north\",\
             \"zones\":{{\"a\":\"north\"}},\"listen\":{listen},\"port_range\":[{mesh},{last}],\
             \"seeds\":[],\"bootstrap\":true,\"limits\":{{\"cpu_quota\":0.19,\"cpus\":1,\
             \"ram_mb\":{ram_mb},\"max_fds\":4100}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"entry\":\"vip\",\"heartbeat_ms\":1200,\"bounds\":{{\"contact_ms\":3000,\
             \"drain_ms\":2000,\"grace_s\":8,\"config_ms\":{},\"retry_ratio\":0.2,\
             \"retry_window_s\":10,\"retry_slack\":56}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"log\"}}{more}}}",
            self.config_ms, store
        );
        let settings = self.folder.join(format!("{role}-{ip}.json"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{role}-{ip}.log"));
        let metrics = free_port(ip)?;
        let child = Command::new("target/release/chivelatch-platform")
            .args([role, "--metrics", &metrics.to_string()])
            .env("CHIVELATCH_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        if let Some(path) = env::var_os("RIG_PROCESSES") {
            // For whoever ends this program before its end.
            writeln!(OpenOptions::new().append(true).open(path)?, "{}", child.id())?;
        }
        let (front, ready) = ((ip, front).into(), (ip, ready).into());
        Ok(Process { child, front, ready })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _best_effort = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Process {
    pub fn is_ready(&self) -> bool {
        let request =
            b"GET /chivelatch/readyz HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
        http::call(self.ready, request, Duration::from_secs(1)).status == 200
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the entry process is not ready"))
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
        PROCESSES.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

fn address(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, number)
}

/// Returns a port that is free for channels and datagrams.
fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    for _ in 0..50 {
        let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

/// A route of a manifest.
pub struct Route<'a> {
    pub name: &'a str,
    /// `idempotent`, `non_idempotent` or `stream`.
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
    pub is_resumable: bool,
}

/// A manifest.
pub struct Manifest<'a> {
    pub version: u32,
    pub routes: Vec<Route<'a>>,
    /// Routes that nobody uses.
    pub idle_routes: usize,
    /// Services, and whether their replicas are model replicas.
    pub services: Vec<(&'a str, bool)>,
    /// Base models of the model replicas, each with the same names of adapters: a1, a2, and so on.
    pub models: Vec<&'a str>,
    pub keys: Vec<&'a str>,
}

impl Manifest<'_> {
    pub fn text(&self) -> String {
        let route = |name: &str, it: &Route| {
            format!(
                "{{\"name\":\"{name}\",\"hostname\":\"portal.example\",\"path_prefix\":\"/{name}/\",\
                 \"type\":\"{}\",\"timeout_ms\":20000,\"slo_ms\":1000,\"prio\":1,\"svc\":\"{}\",\
                 \"attempts\":{},\"public\":false,\"sticky\":false,\"resumable\":{},\
                 \"gap_target_ms\":400}}",
                it.kind, it.service, it.attempts, it.is_resumable
            )
        };
        let mut routes: Vec<String> = self.routes.iter().map(|it| route(it.name, it)).collect();
        for number in 0..self.idle_routes {
            routes.push(route(&format!("idle-{number}"), &self.routes[0]));
        }
        let models = self.models.iter().map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"size_mb\":16100,\"load_s\":0.72,\"loras\":3000,\"lora_mb\":12}}"
            )
        });
        let models = models.collect::<Vec<String>>().join(",");
        let services = self.services.iter().map(|(name, is_engine)| {
            let engine = if *is_engine {
                format!(
                    ",\"engine\":{{\"models\":[{models}],\"size_mb\":66000,\"lora_slots\":{LORA_SLOTS}}}"
                )
            } else {
                String::new()
            };
            let health = "\"health_path\":\"/healthz\",\"max_conns\":360";
            format!("{{\"name\":\"{name}\",{health}{engine}}}")
        });
        let services: Vec<String> = services.collect();
        let keys: Vec<String> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            "{{\"cfg_ver\":{},\"routes\":[{}],\"svcs\":[{}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"council\",\"api_keys\":[{}],\"prio\":0,\
             \"unit\":\"generate\",\"raw_tokens\":200,\"rate_per_s\":10000000,\
             \"burst\":10000000}}]}}",
            self.version,
            routes.join(","),
            services.join(","),
            keys.join(",")
        )
    }
}

/// Returns a request; `more` holds whole header lines.
pub fn request(method: &str, path: &str, key: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: portal.example\r\nX-Chivelatch-Request-Id: {id}\r\n\
         X-Chivelatch-Deadline-Ms: 20000\r\nAuthorization: Token {key}\r\n\
         {more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
