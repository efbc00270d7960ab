//! A fleet of real processes on loopback.

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
    calls::{self, Ask, Load, Record},
    checker::{self, Journals},
    process::{self, Process, Signal},
    relay::Relay,
    sources,
};

const START_LIMIT: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
const HTTP_LIMIT: Duration = Duration::from_secs(2);

/// How many of each there are, and what differs from the usual settings.
#[derive(Clone, Debug)]
pub struct Shape {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// YAML added to the entries' settings.
    pub entry_extra: String,
    /// YAML added to the engines' settings.
    pub engine_extra: String,
    pub store: String,
    /// YAML of the timings of entries and side processes.
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
            timing: sources::SHORT_TIMING.to_owned(),
        }
    }
}

/// One program with its settings.
#[derive(Debug)]
struct Member {
    program: &'static str,
    settings: PathBuf,
    process: Option<Process>,
    /// Where it answers HTTP.
    address: Option<SocketAddr>,
    log: Option<Relay>,
    list: Option<Relay>,
}

/// The fleet; ends with its last handle.
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

    /// Runs a statement of the operators' language; returns what was printed.
    ///
    /// # Errors
    ///
    /// What was printed to standard error.
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

    /// Runs statements at the same time; returns how each ended.
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

    /// Starts a second side process beside an engine, as in a replacement.
    pub fn add_second_side(&self, number: usize, engine: &str) {
        self.add_side(number, engine, &[], &Shape::default());
        self.spawn(&format!("side-{number}"));
    }

    /// Sends one call and remembers it for the checker.
    pub fn call(&self, entry: &str, key: &str, ask: &Ask) -> Record {
        let address = self.address(entry);
        let record = self.block_on(calls::send(&self.kernel, address, key, ask));
        self.records.lock().push(record.clone());
        record
    }

    /// Begins to send calls in the background.
    pub fn load(
        &self,
        key: &str,
        interval: Duration,
        next: impl Fn(u64) -> Ask + Send + 'static,
    ) -> Load {
        let entries = self.entries().iter().map(|entry| self.address(entry)).collect();
        Load::start(&self.kernel, entries, key.to_owned(), interval, next)
    }

    /// Ends a load; its calls are remembered for the checker and returned.
    pub fn finish(&self, load: &Load) -> Vec<Record> {
        let records = self.block_on(load.finish());
        self.records.lock().extend(records.iter().cloned());
        records
    }

    /// Names of the entry instances.
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

    /// Stops a process in order; returns its exit code, or -1 when it did not stop in time.
    pub fn stop(&self, name: &str) -> i32 {
        self.signal(name, Signal::Terminate);
        let process = self.members.lock().get_mut(name).and_then(|member| member.process.take());
        process.and_then(|mut process| process.wait(STOP_LIMIT)).unwrap_or(-1)
    }

    /// Starts a process that was killed or stopped, under its old settings.
    pub fn restart(&self, name: &str) {
        self.spawn(name);
    }

    /// Cuts a process off from a platform service.
    pub fn cut(&self, name: &str, service: &str) {
        self.relay(name, service).cut();
    }

    /// Ends a cut.
    pub fn mend(&self, name: &str, service: &str) {
        self.relay(name, service).mend();
    }

    /// Sets a stand-in's scripted faults.
    pub fn faults(&self, name: &str, faults: &Value) {
        let mut request = http::post("/faults", "application/json", faults.to_string());
        *request.method_mut() = hyper::Method::PUT;
        let address = self.address(name);
        let set = self.block_on(http::fetch(&self.kernel, address, request, HTTP_LIMIT));
        assert!(set.is_ok(), "the faults of {name} were not set: {set:?}");
    }

    /// Reads a JSON page of a stand-in.
    pub fn page(&self, name: &str, path: &str) -> Value {
        self.try_page(self.address(name), path).unwrap_or_default()
    }

    /// Sends bytes as they are and returns what comes back, until the connection
    /// closes or nothing comes for a while.
    pub fn raw(&self, name: &str, bytes: &[u8]) -> String {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(self.address(name)) {
            let _a_refusal_may_come_first = stream.write_all(bytes);
            let _never_fails = stream.set_read_timeout(Some(HTTP_LIMIT));
            let _timeout_or_end = stream.read_to_end(&mut answer);
        }
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Reads a text page.
    pub fn text(&self, name: &str, path: &str) -> String {
        let fetched = http::fetch(&self.kernel, self.address(name), http::get(path), HTTP_LIMIT);
        let response = self.block_on(fetched);
        response.map(|found| String::from_utf8_lossy(found.body()).into_owned()).unwrap_or_default()
    }

    /// Id of a running process.
    pub fn process_id(&self, name: &str) -> u32 {
        let members = self.members.lock();
        members[name].process.as_ref().map_or(0, Process::id)
    }

    /// Status of a page.
    pub fn status(&self, name: &str, path: &str) -> u16 {
        let fetched = self.block_on(http::fetch(
            &self.kernel,
            self.address(name),
            http::get(path),
            HTTP_LIMIT,
        ));
        match fetched {
            Ok(response) => response.status().as_u16(),
            Err(http::Error::Status { status, .. }) => status,
            Err(_) => 0,
        }
    }

    /// Every promise that was broken so far.
    pub fn violations(&self) -> Vec<String> {
        let journals =
            Journals { engines: self.journals("engine-"), services: self.journals("service-") };
        checker::violations(&self.records.lock(), &journals)
    }

    /// Journals of the backend servers whose names begin like this.
    pub fn journals(&self, prefix: &str) -> Vec<Value> {
        let names: Vec<_> = self.members.lock().keys().cloned().collect();
        let named = names.iter().filter(|name| name.starts_with(prefix));
        named.map(|name| self.page(name, "/journal")).collect()
    }

    /// Whether `text` is in any process's log.
    pub fn logs_contain(&self, text: &str) -> bool {
        let files = fs::read_dir(&self.folder).expect("the folder is there").flatten();
        let logs = files
            .map(|file| file.path())
            .filter(|path| path.extension().is_some_and(|e| e == "log"));
        logs.filter_map(|path| fs::read_to_string(path).ok()).any(|log| log.contains(text))
    }

    fn block_on<T: Send + 'static>(&self, future: impl Future<Output = T>) -> T {
        futures_block_on(future)
    }

    fn start_all(&self) {
        let names: Vec<_> = self.members.lock().keys().cloned().collect();
        names.iter().for_each(|name| self.spawn(name));
        let deadline = Instant::now() + START_LIMIT;
        let entries = self.entries();
        let is_ready = |entry: &String| self.status(entry, "/health/ready") == 200;
        while !entries.iter().all(is_ready) || !self.all_listed() {
            assert!(
                Instant::now() < deadline,
                "the fleet in {} is not ready",
                self.folder.display()
            );
            thread::sleep(POLL);
        }
    }

    /// Whether the list shows every process and the leases of the servers are held.
    fn all_listed(&self) -> bool {
        let members = self.members.lock();
        let count = members.values().filter(|member| member.log.is_some()).count();
        let sides = members.keys().filter(|name| name.starts_with("side-")).count();
        drop(members);
        let listed = self.page("list", "/instances")["members"].as_array().map_or(0, Vec::len);
        let leases = self.page("log", "/streams/leases?from=0&limit=1000");
        let leases = leases["records"].as_array().map_or(0, Vec::len);
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
        let fetched = http::fetch(&self.kernel, address, http::get(path), HTTP_LIMIT);
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
    let _left_behind = fs::remove_dir_all(folder);
}

fn futures_block_on<T>(future: impl Future<Output = T>) -> T {
    kernel::run(1, |_| future)
}

/// An executor that runs in the background as long as the test does.
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
