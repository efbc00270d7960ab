//! Starts the project's programs with the commands of the deploy file, and ends them.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

/// One machine: its address and the ports that the settings name.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    /// Where the process's log goes.
    pub log: PathBuf,
    settings: PathBuf,
    role: &'static str,
    child: Option<Child>,
}

/// Port of a role's metrics, in the deploy file.
const METRICS_PORT: u16 = 9464;

/// What differs between the deployments of the scripts.
pub struct Terms {
    pub ram_mb: u64,
    pub grace_s: u64,
}

/// Returns a free port of an address.
pub fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Machine {
    /// Writes the settings of a machine. `app` is the address of its replica, for the role `side`.
    pub fn new(
        folder: &Path,
        role: &'static str,
        (name, ip): (&str, Ipv4Addr),
        mesh_port: u16,
        (store, seeds): (SocketAddr, &[Ipv4Addr]),
        app: Option<(SocketAddr, &str)>,
        terms: &Terms,
    ) -> io::Result<Machine> {
        let (front, ready, ctl) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let listen = if role == "entry" {
            format!(r#"{{"front":"{ip}:{front}","ready":"{ip}:{ready}","ctl":"{ip}:{ctl}"}}"#)
        } else {
            "{}".to_owned()
        };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!(r#""{seed}:{ctl}""#)).collect();
        let app = app.map(|(app, service)| format!(r#""app":"{app}","svc":"{service}","#));
        let text = format!(
            r#"{{"node_name":"{name}","role":"{role}","node_class":"{class}","serves":["{class}"],
"ip":"{ip}","zone":"z1","region":"r1","zones":{{"z1":"r1"}},"listen":{listen},
"port_range":[{mesh_port},{last_port}],"seeds":[{seeds}],"bootstrap":true,"counts_as_loss":false,
"limits":{{"cpu_quota":0.19,"cpus":1,"ram_mb":{ram_mb},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"fault_tolerance":{{"nodes":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":2000,
"grace_s":{grace_s},"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,
"revoke_strict":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":54,
"quota_window_s":8,"quota_excess":0.1,"quota_slack":17000,"recovery_s":12,"pass_ms":120}},
{app}"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,
"append_ms":2.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,
"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#,
            class = if role == "entry" { "edge" } else { "side" },
            last_port = mesh_port.saturating_add(15),
            seeds = seeds.join(","),
            ram_mb = terms.ram_mb,
            grace_s = terms.grace_s,
            app = app.unwrap_or_default(),
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        Ok(Machine {
            name: name.to_owned(),
            ip,
            front: (ip, front).into(),
            ready: (ip, ready).into(),
            metrics: (ip, METRICS_PORT).into(),
            log: settings.with_extension("log"),
            settings,
            role,
            child: None,
        })
    }

    /// Starts the process with the command of its role in the deploy file. Its log goes to a file beside
    /// the settings.
    pub fn start(&mut self, root: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(root.join("target/release/chivelatch-platform"))
            .args([self.role, "--metrics", &METRICS_PORT.to_string()])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CHIVELATCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the machine says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let request = b"GET /chivelatch/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < deadline {
            let response = http::exchange(self.ready, request, Duration::from_millis(500));
            if response.is_ok_and(|response| response.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the memory that the process occupies, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _status =
            Command::new("kill").args([format!("-{name}"), self.pid().to_string()]).status();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
