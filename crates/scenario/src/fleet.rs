//! A fleet of real processes on loopback: platform stand-ins, backend servers with side
//! processes, and entries. Each instance reaches the platform through relays that can be cut.

mod build;

use std::{
    collections::BTreeMap,
    fs,
    future::Future,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::Command,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::Value;

use kernel::Kernel;
use services::http;

use crate::{
    calls::{self, Call, Load, Record},
    checker::{self, Journals},
    process::{self, Process, Signal},
    relay::Relay,
    settings_yaml,
};

const START_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of processes of each kind, and settings that differ from the defaults.
#[derive(Clone, Debug)]
pub struct Shape {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// YAML added to the entries' settings.
    pub entry_extra: String,
    /// YAML added to the engines' settings.
    pub engine_extra: String,
    /// YAML settings of the weight store.
    pub store: String,
    /// YAML of the `timing` section of entries and side processes.
    pub timing: String,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            entries: 2,
            engines: 3,
            services: 1,
            entry_extra: "weight_store:\n  loads_per_second: 20\n  burst: 8\n".to_owned(),
            engine_extra: "step_ms: 5\n".to_owned(),
            store: "rate: 20\nburst: 10\nload_ms: 50\n".to_owned(),
            timing: settings_yaml::SHORT_TIMING.to_owned(),
        }
    }
}

/// A program with its settings file, and its process while it runs.
#[derive(Debug)]
struct Member {
    program: &'static str,
    settings: PathBuf,
    process: Option<Process>,
    /// HTTP address, if it has one.
    address: Option<SocketAddr>,
    /// Relay to the platform's log, for entries and side processes.
    log: Option<Relay>,
    /// Relay to the instance list, for entries and side processes.
    list: Option<Relay>,
}

/// A running fleet; its processes are killed when the last handle is dropped.
#[derive(Debug)]
pub struct Fleet {
    kernel: Kernel,
    folder: PathBuf,
    members: Mutex<BTreeMap<String, Member>>,
    records: Mutex<Vec<Record>>,
}

impl Fleet {
    /// Starts a fleet and waits until it is ready.
    pub fn start(shape: &Shape) -> Arc<Fleet> {
        let folder =
            std::env::temp_dir().join(format!("chivelatch-{:016x}", rand::random::<u64>()));
        let certificates = folder.join("certificates");
        wire::identity::generate(&certificates).expect("certificates can be made in a new folder");
        let fleet = Arc::new(Fleet {
            kernel: background_kernel(),
            folder,
            members: Mutex::default(),
            records: Mutex::default(),
        });
        fleet.add_platform(shape);
        for index in 1..=shape.engines {
            fleet.add_engine(index, shape);
        }
        for index in 1..=shape.services {
            fleet.add_service(index, shape);
        }
        for index in 1..=shape.entries {
            fleet.add_entry(index, shape);
        }
        fleet.start_all();
        fleet
    }

    /// Runs statements with the operators' command line and returns its output.
    ///
    /// # Errors
    ///
    /// The standard error output of a failed command.
    pub fn operate(&self, statements: &[&str], options: &[&str]) -> Result<String, String> {
        let program = process::binary("chivelatch").map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(self.folder.join("operator.yaml")).args(options);
        for statement in statements {
            command.arg("-c").arg(statement);
        }
        let output = command.output().map_err(|error| error.to_string())?;
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        let failed = String::from_utf8_lossy(&output.stderr).into_owned();
        if output.status.success() { Ok(printed) } else { Err(failed) }
    }

    /// Runs statements concurrently, one operator each, and returns their results.
    pub fn race(&self, statements: &[&str]) -> Vec<Result<String, String>> {
        thread::scope(|scope| {
            let operators: Vec<_> = statements
                .iter()
                .map(|statement| scope.spawn(|| self.operate(&[*statement], &[])))
                .collect();
            let ended = operators.into_iter().map(thread::ScopedJoinHandle::join);
            ended.map(|ended| ended.expect("an operator does not panic")).collect()
        })
    }

    /// Starts a second side process for an engine, as during a replacement.
    pub fn add_second_side(&self, number: usize, engine: &str) {
        self.add_side(number, engine, &[], &Shape::default());
        self.spawn(&format!("side-{number}"));
    }

    /// Sends one call and records it for the checker.
    pub fn call(&self, entry: &str, key: &str, call: &Call) -> Record {
        let address = self.address(entry);
        let record = self.block_on(calls::send(&self.kernel, address, key, call));
        self.records.lock().push(record.clone());
        record
    }

    /// Starts sending calls in the background.
    pub fn load(
        &self,
        key: &str,
        interval: Duration,
        make_call: impl Fn(u64) -> Call + Send + 'static,
    ) -> Load {
        let entries = self.entries().iter().map(|entry| self.address(entry)).collect();
        Load::start(&self.kernel, entries, key.to_owned(), interval, make_call)
    }

    /// Ends a background load; records its calls for the checker and returns them.
    pub fn finish(&self, load: &Load) -> Vec<Record> {
        let records = self.block_on(load.finish());
        self.records.lock().extend(records.iter().cloned());
        records
    }

    /// Returns the names of the entry instances.
    pub fn entries(&self) -> Vec<String> {
        let members = self.members.lock();
        members.keys().filter(|name| name.starts_with("entry-")).cloned().collect()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) {
        let members = self.members.lock();
        let process = members[name].process.as_ref();
        process.expect("the scenario names a running process").signal(signal);
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) {
        self.signal(name, Signal::Kill);
        let process = self.members.lock().get_mut(name).and_then(|member| member.process.take());
        drop(process);
    }

    /// Stops a process gracefully; returns its exit code, or -1 on timeout.
    pub fn stop(&self, name: &str) -> i32 {
        self.signal(name, Signal::Terminate);
        let process = self.members.lock().get_mut(name).and_then(|member| member.process.take());
        process.and_then(|mut process| process.wait(STOP_TIMEOUT)).unwrap_or(-1)
    }

    /// Starts a killed or stopped process again with the same settings.
    pub fn restart(&self, name: &str) {
        self.spawn(name);
    }

    /// Cuts the connection between a process and a platform service (`log` or `list`).
    pub fn cut(&self, name: &str, service: &str) {
        self.relay(name, service).cut();
    }

    /// Restores the connection between a process and a platform service.
    pub fn mend(&self, name: &str, service: &str) {
        self.relay(name, service).mend();
    }

    /// Replaces the scripted faults of a stand-in.
    pub fn faults(&self, name: &str, faults: &Value) {
        let mut request = http::post("/faults", "application/json", faults.to_string());
        *request.method_mut() = hyper::Method::PUT;
        let address = self.address(name);
        let set = self.block_on(http::fetch(&self.kernel, address, request, HTTP_TIMEOUT));
        assert!(set.is_ok(), "cannot set the faults of {name}: {set:?}");
    }

    /// Reads a JSON page of a stand-in; null if it cannot be read.
    pub fn page(&self, name: &str, path: &str) -> Value {
        self.try_page(self.address(name), path).unwrap_or_default()
    }

    /// Sends raw bytes and returns the answer, read until the connection closes or no data
    /// arrives for `HTTP_TIMEOUT`.
    pub fn raw(&self, name: &str, bytes: &[u8]) -> String {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(self.address(name)) {
            let _may_be_rejected_early = stream.write_all(bytes);
            let _never_fails = stream.set_read_timeout(Some(HTTP_TIMEOUT));
            let _timeout_or_end = stream.read_to_end(&mut answer);
        }
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Reads a text page; empty if it cannot be read.
    pub fn text(&self, name: &str, path: &str) -> String {
        let fetched = http::fetch(&self.kernel, self.address(name), http::get(path), HTTP_TIMEOUT);
        let response = self.block_on(fetched);
        response.map(|found| String::from_utf8_lossy(found.body()).into_owned()).unwrap_or_default()
    }

    /// Returns the id of a running process, or 0 if it does not run.
    pub fn process_id(&self, name: &str) -> u32 {
        let members = self.members.lock();
        members[name].process.as_ref().map_or(0, Process::id)
    }

    /// Returns the HTTP status of a page, or 0 without an answer.
    pub fn status(&self, name: &str, path: &str) -> u16 {
        let fetched = self.block_on(http::fetch(
            &self.kernel,
            self.address(name),
            http::get(path),
            HTTP_TIMEOUT,
        ));
        match fetched {
            Ok(response) => response.status().as_u16(),
            Err(http::Error::Status { status, .. }) => status,
            Err(_) => 0,
        }
    }

    /// Returns the violations that the checker finds in the calls recorded so far.
    pub fn violations(&self) -> Vec<String> {
        let journals =
            Journals { engines: self.journals("engine-"), services: self.journals("service-") };
        checker::violations(&self.records.lock(), &journals)
    }

    /// Returns the journals of the backend servers whose names start with `prefix`.
    pub fn journals(&self, prefix: &str) -> Vec<Value> {
        let names: Vec<_> = self.members.lock().keys().cloned().collect();
        let named = names.iter().filter(|name| name.starts_with(prefix));
        named.map(|name| self.page(name, "/journal")).collect()
    }

    /// Returns whether any process's log contains `text`.
    pub fn logs_contain(&self, text: &str) -> bool {
        let files = fs::read_dir(&self.folder).expect("the fleet folder exists").flatten();
        let logs = files
            .map(|file| file.path())
            .filter(|path| path.extension().is_some_and(|e| e == "log"));
        logs.filter_map(|path| fs::read_to_string(path).ok()).any(|log| log.contains(text))
    }

    fn block_on<T: Send + 'static>(&self, future: impl Future<Output = T>) -> T {
        block_on(future)
    }

    fn start_all(&self) {
        let names: Vec<_> = self.members.lock().keys().cloned().collect();
        names.iter().for_each(|name| self.spawn(name));
        let deadline = Instant::now() + START_TIMEOUT;
        let entries = self.entries();
        let is_ready = |entry: &String| self.status(entry, "/health/ready") == 200;
        while !entries.iter().all(is_ready) || !self.is_registered() {
            assert!(
                Instant::now() < deadline,
                "the fleet in {} is not ready in time",
                self.folder.display()
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether every instance is listed and the leases of the servers are granted.
    fn is_registered(&self) -> bool {
        let members = self.members.lock();
        let count = members.values().filter(|member| member.log.is_some()).count();
        let sides = members.keys().filter(|name| name.starts_with("side-")).count();
        drop(members);
        let listed = self.page("list", "/instances")["members"].as_array().map_or(0, Vec::len);
        let leases = self.page("log", "/streams/leases?from=0&limit=1000");
        let leases = leases["records"].as_array().map_or(0, Vec::len);
        // Each side process claims the lease of its server, and entry instances claim others.
        listed == count && sides < leases
    }

    fn spawn(&self, name: &str) {
        let mut members = self.members.lock();
        let member = members.get_mut(name).expect("the scenario names a process");
        let process = Process::start(member.program, &member.settings);
        member.process = Some(process.expect("the program starts"));
    }

    fn relay(&self, name: &str, service: &str) -> Relay {
        let members = self.members.lock();
        let relay = match service {
            "log" => &members[name].log,
            _ => &members[name].list,
        };
        relay.clone().expect("the process uses the platform")
    }

    fn address(&self, name: &str) -> SocketAddr {
        self.members.lock()[name].address.expect("the process answers HTTP")
    }

    fn certificates(&self) -> String {
        self.folder.join("certificates").display().to_string()
    }

    fn try_page(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let fetched = http::fetch(&self.kernel, address, http::get(path), HTTP_TIMEOUT);
        let response = self.block_on(fetched).ok()?;
        serde_json::from_slice(response.body()).ok()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.lock().clear();
        if std::env::var_os("CHIVELATCH_KEEP").is_none() {
            remove(&self.folder);
        }
    }
}

fn remove(folder: &Path) {
    let _may_remain = fs::remove_dir_all(folder);
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    kernel::run(1, |_| future)
}

/// Starts an executor on a background thread, which runs until the test process ends.
fn background_kernel() -> Kernel {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        kernel::run(2, |kernel| {
            let _received = sender.send(kernel);
            std::future::pending::<()>()
        });
    });
    receiver.recv().expect("the executor starts")
}
