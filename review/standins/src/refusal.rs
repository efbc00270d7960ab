//! Extra bytes of a replica after a complete answer, where the answer to the next request is due.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict, client,
    fleet::{APP_PORT, Process, Site},
    manifest,
    replica::{Log, Replica, Spec},
};

const CLIENTS: usize = 8;
const PLAY_TIME: Duration = Duration::from_secs(12);
/// Replicas are faulty for this long, from this time on.
const FAULTY_FROM: Duration = Duration::from_secs(3);
const FAULTY_TIME: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_millis(3000);
/// Faulty replicas spoil one answer in this many: 3 in 100 at most.
const EXTRA_EACH: usize = 34;

pub fn play(stage: &Stage) -> Verdict {
    let log = Log::new(&stage.record);
    stage.store.append("keyed.op", "config", &manifest(None));
    let replicas: Vec<Replica> = (0..4u8)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number}"),
                service: "counter".into(),
                address: stage.network.address(20 + number, APP_PORT),
                zone: if number % 2 == 0 { "a" } else { "b" }.into(),
                slots: 6,
                model: None,
                events: 0,
                event_pause: Duration::ZERO,
                work: Duration::from_millis(60),
            };
            Replica::start(spec, "v1", &stage.store, &log)
        })
        .collect();
    let ips = [stage.network.machine(10), stage.network.machine(11)];
    let site = Site {
        folder: &stage.folder,
        store: stage.store.address,
        seeds: &ips,
        record: &stage.record,
    };
    let entries = [
        Process::entry(&site, "edge-a-1", ips[0], "a"),
        Process::entry(&site, "edge-b-1", ips[1], "b"),
    ];
    if !entries.iter().all(Process::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let fronts = [entries[0].front(), entries[1].front()];
    let record = stage.record.clone();
    let until = Instant::now() + PLAY_TIME;
    let faulty: Vec<Replica> = replicas[..2].to_vec();
    let has_trouble = stage.has_trouble;
    thread::spawn(move || {
        let set = |each| {
            for replica in &faulty {
                replica.extra_refusal_each.store(each, Ordering::Relaxed);
            }
        };
        thread::sleep(FAULTY_FROM);
        set(if has_trouble { EXTRA_EACH } else { 0 });
        thread::sleep(FAULTY_TIME);
        set(0);
    });
    let answers = client::each(CLIENTS, move |number| {
        let mut kept = None;
        let mut answers: Vec<(String, Option<u16>)> = Vec::new();
        while Instant::now() < until {
            let id = format!("order-{number}-{}", answers.len());
            let request = client::request("POST", "/order/1", &id, DEADLINE, "");
            let status = client::call(&mut kept, fronts[number % 2], &request, DEADLINE);
            record.line(format!("client {number} sent {id}, got {status:?}"));
            answers.push((id, status));
            thread::sleep(Duration::from_millis(40));
        }
        answers
    });
    let answers: BTreeMap<String, Option<u16>> = answers.into_iter().flatten().collect();
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in log.runs.lock().unwrap().iter() {
        runs.entry(run.id.clone()).or_default().push(run.replica.clone());
    }
    let twice: Vec<_> = runs.iter().filter(|(_, replicas)| 1 < replicas.len()).collect();
    for (id, replicas) in &twice {
        stage.record.result(format!(
            "{id} ran at {replicas:?}, its client got {:?}",
            answers.get(*id).copied().flatten()
        ));
    }
    let ran: BTreeSet<&String> = runs.keys().collect();
    let promised = |status: Option<u16>| matches!(status, Some(408 | 421 | 429 | 503));
    let refused = answers.iter().filter(|(id, status)| promised(**status) && ran.contains(id));
    let refused = refused.count();
    let served = answers.values().filter(|status| **status == Some(200)).count();
    stage.record.result(format!(
        "{} orders, {served} answered 200, {} extra refusals; ran twice: {} (TWICE), refused though run: {refused} (REFUSED)",
        answers.len(),
        log.extras.load(Ordering::Relaxed),
        twice.len(),
    ));
    if served * 2 < answers.len() {
        return Verdict::NotRun;
    }
    if twice.is_empty() && refused == 0 { Verdict::Held } else { Verdict::Broken }
}
