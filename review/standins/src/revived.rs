//! A replica leaves just after the entry instance that reads the store for its zone has been cut off from
//! the store for a while; the other instance of the zone follows that one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict, client,
    fleet::{APP_PORT, Process, STORE_PORT, Site},
    link::Link,
    manifest,
    replica::{Log, Replica, Spec},
};

const REPLICAS: u8 = 4;
const ROUNDS: u8 = 5;
const CLIENTS: usize = 8;
const DEADLINE: Duration = Duration::from_millis(3000);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2000);
const CUT_TIME: Duration = Duration::from_millis(3000);
/// Times from the end of the cut to the removal of a replica's entry: the first one, and the step from one
/// round to the next.
const FIRST_REMOVAL: Duration = Duration::from_millis(100);
const REMOVAL_STEP: Duration = Duration::from_millis(120);
/// Time from the removal to the replica's exit: `drain_ms` and a little longer.
const BEFORE_EXIT: Duration = Duration::from_millis(2400);
/// Time until the next cut.
const CALM: Duration = Duration::from_millis(1000);

type Answers = Arc<Mutex<BTreeMap<String, Option<u16>>>>;

pub fn play(stage: &Stage) -> Verdict {
    let log = Log::new(&stage.record);
    stage.store.append("keyed.op", "config", &manifest(None));
    let start = |number: u8| {
        let spec = Spec {
            id: format!("i-{number}"),
            service: "counter".into(),
            address: stage.network.address(20 + number, APP_PORT),
            zone: "a".into(),
            slots: 6,
            model: None,
            events: 0,
            event_pause: Duration::ZERO,
            work: Duration::from_millis(100),
        };
        Replica::start(spec, "v1", &stage.store, &log)
    };
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(start).collect();
    let ips = [stage.network.machine(10), stage.network.machine(11)];
    let links: Vec<Link> = (2..4)
        .map(|number| Link::start(stage.network.address(number, STORE_PORT), stage.store.address))
        .collect();
    let entries: Vec<Process> = (0..2)
        .map(|number| {
            let site = Site {
                folder: &stage.folder,
                store: links[number].address,
                seeds: &ips,
                record: &stage.record,
            };
            Process::entry(&site, &format!("edge-a-{}", number + 1), ips[number], "a")
        })
        .collect();
    if !entries.iter().all(Process::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let reader = find_reader(&links);
    let other = 1 - reader;
    stage.record.result(format!("{} reads the store for its zone", entries[reader].name));
    // Clients of the other entry instance, which nothing happens to.
    let (front, record) = (entries[other].front(), stage.record.clone());
    let answers = Answers::default();
    let before_removal = |round: u8| FIRST_REMOVAL + REMOVAL_STEP * u32::from(round);
    let rounds = (0..ROUNDS).map(|round| CUT_TIME + before_removal(round) + BEFORE_EXIT + CALM);
    let until = Instant::now() + rounds.sum::<Duration>();
    let all = Arc::clone(&answers);
    let clients = thread::spawn(move || {
        client::each(CLIENTS, move |number| {
            let mut kept = None;
            for count in 0.. {
                if until <= Instant::now() {
                    return;
                }
                let id = format!("order-{number}-{count}");
                let request = client::request("POST", "/order/1", &id, DEADLINE, "");
                let status = client::call(&mut kept, front, &request, DEADLINE);
                record.line(format!("client {number} sent {id}, got {status:?}"));
                all.lock().unwrap().insert(id, status);
                thread::sleep(Duration::from_millis(40));
            }
        })
    });
    let mut late = 0;
    let mut lost = 0;
    for number in 0..ROUNDS {
        if stage.has_trouble {
            stage.record.line(format!("{} is cut off from the store", entries[reader].name));
            links[reader].set_cut(true);
        }
        thread::sleep(CUT_TIME);
        stage.record.line("the link is whole again");
        links[reader].set_cut(false);
        thread::sleep(before_removal(number));
        let leaver = replicas.remove(0);
        replicas.push(start(REPLICAS + number));
        leaver.leave();
        let removed_at = Instant::now();
        thread::sleep(BEFORE_EXIT);
        leaver.crash();
        thread::sleep(CALM);
        let runs = log.runs.lock().unwrap();
        let answers = answers.lock().unwrap();
        let of_leaver = runs.iter().filter(|run| run.replica == leaver.spec.id);
        let too_late: Vec<_> = of_leaver.filter(|run| removed_at + DRAIN < run.at).collect();
        let last = too_late.iter().map(|run| run.at - removed_at).max();
        let failed = too_late
            .iter()
            .filter(|run| answers.get(&run.id).copied().flatten() != Some(200))
            .count();
        stage.record.result(format!(
            "{} leaves: {} requests reach it later than {DRAIN:?} after the store's answer, the last one after \
             {:.2?}; {failed} of them were lost at its exit",
            leaver.spec.id,
            too_late.len(),
            last.unwrap_or_default()
        ));
        late += too_late.len();
        lost += failed;
    }
    clients.join().expect("the clients' threads");
    let answers = answers.lock().unwrap();
    let served = answers.values().filter(|status| **status == Some(200)).count();
    stage.record.result(format!(
        "{} orders sent to {}, {served} answered 200; requests that reached a replica too late: {late} (DRAIN), \
         lost there: {lost}",
        answers.len(),
        entries[other].name,
    ));
    if served * 2 < answers.len() {
        return Verdict::NotRun;
    }
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}

/// Returns the number of the entry instance that reads the replicas' topic.
fn find_reader(links: &[Link]) -> usize {
    let counts = || -> Vec<usize> {
        links.iter().map(|link| link.replica_reads.load(Ordering::Relaxed)).collect()
    };
    let before = counts();
    thread::sleep(Duration::from_secs(2));
    let after = counts();
    usize::from(after[0] - before[0] < after[1] - before[1])
}
