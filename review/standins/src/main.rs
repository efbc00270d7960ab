//! Driver of the review's scripts: starts the project's processes and the stand-ins, plays a case and
//! judges it by what clients and replicas saw.
//!
//! `review-standins CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` plays it without the disruption.

mod client;
mod fleet;
mod http;
mod link;
mod record;
mod replica;
mod store;

mod endless;
mod forgotten;
mod refusal;
mod revived;
mod upgrade;

use std::{env, fs, path::PathBuf, process::exit, sync::mpsc, thread, time::Duration};

use fleet::Network;
use record::Record;
use store::Store;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What all cases need.
pub struct Stage {
    pub network: Network,
    pub folder: PathBuf,
    pub store: Store,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _best_effort = fs::remove_dir_all(&self.folder);
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        exit(2);
    };
    let play: fn(&Stage) -> Verdict = match case.as_str() {
        "refusal" => refusal::play,
        "revived" => revived::play,
        "upgrade" => upgrade::play,
        "forgotten" => forgotten::play,
        "endless" => endless::play,
        _ => {
            eprintln!("unknown case {case}");
            exit(2);
        }
    };
    let folder = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let network = Network::choose();
    let store = Store::start(network.address(1, fleet::STORE_PORT));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record);
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let stage = Stage { network, folder, store, record, has_trouble };
    let (done, verdict) = mpsc::channel();
    thread::spawn(move || {
        let verdict = play(&stage);
        drop(stage);
        let _received = done.send(verdict);
    });
    exit(match verdict.recv_timeout(TIME_LIMIT) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun) | Err(_) => 2,
    });
}

/// Returns a configuration with an order route to plain replicas and a route of resumable streams, to
/// model engines if `engine` names their model.
pub fn manifest(engine: Option<&str>) -> String {
    let engine = engine.map_or(String::new(), |model| {
        format!(
            r#","engine":{{"slots":64,"kv_capacity":127623,"kv_bytes":163840,"models":[{{"name":"{model}","size_mb":72700.0,"load_s":5.7,"loras":10,"lora_mb":66.0,"warm_s":1.3,"disk_s":2.3}}],"size_mb":74600.0,"lora_slots":6,"loads_per_s":2.8}}"#
        )
    });
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 attempts: u32,
                 resumable: bool| {
        format!(
            r#"{{"name":"{name}","hostname":"{}","path_prefix":"{prefix}","type":"{kind}","timeout_ms":20000,"slo_ms":1000,"prio":1,"svc":"{service}","attempts":{attempts},"public":false,"sticky":false,"resumable":{resumable},"gap_target_ms":400}}"#,
            client::HOST
        )
    };
    let routes = [
        route("orders", "/order/", "non_idempotent", "counter", 1, false),
        route("answers", replica::STREAM_PREFIX, "stream", "desk", 2, true),
    ];
    format!(
        r#"{{"cfg_ver":3,"routes":[{}],"svcs":[{{"name":"desk","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false{engine}}},{{"name":"counter","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"council","api_keys":["{}"],"prio":1,"unit":"generate","raw_tokens":200,"rate_per_s":61991,"burst":61991}}]}}"#,
        routes.join(","),
        client::KEY
    )
}
