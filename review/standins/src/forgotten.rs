//! All processes are killed while two software versions serve; clients take their streams up again.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    client::{self, Ending, Events, MODEL_HEADERS},
    fleet::{APP_PORT, Process, Site},
    manifest,
    replica::{Log, Replica, Spec},
};

const MODEL: &str = "base";
const STREAMS: usize = 24;
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which the streams run before the kill.
const BEFORE: Duration = Duration::from_secs(3);
/// Time until killed processes start again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `contact_ms` and a margin: machines are in touch again after this.
const OUT_OF_TOUCH: Duration = Duration::from_millis(3500);
/// Attempts of a client to take its stream up.
const TAKE_UPS: usize = 3;

pub fn play(stage: &Stage) -> Verdict {
    let log = Log::new(&stage.record);
    stage.store.append("keyed.op", "config", &manifest(Some(MODEL)));
    let replicas: Vec<Replica> = (0..4u8)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number}"),
                service: "desk".into(),
                address: stage.network.address(20 + number, APP_PORT),
                zone: if number % 2 == 0 { "a" } else { "b" }.into(),
                slots: 64,
                model: Some(MODEL.into()),
                events: 60,
                event_pause: Duration::from_millis(200),
                work: Duration::from_millis(30),
            };
            let version = if number < 2 { "v1" } else { "v2" };
            Replica::start(spec, version, &stage.store, &log)
        })
        .collect();
    let ips = [stage.network.machine(10), stage.network.machine(11)];
    let site = Site {
        folder: &stage.folder,
        store: stage.store.address,
        seeds: &ips,
        record: &stage.record,
    };
    let mut processes = vec![
        Process::entry(&site, "edge-a-1", ips[0], "a"),
        Process::entry(&site, "edge-b-1", ips[1], "b"),
    ];
    for replica in &replicas {
        let name = format!("side-{}", replica.spec.id);
        let side = Process::side(&site, &name, replica.spec.address, &replica.spec.zone, "desk");
        processes.push(side);
    }
    if !processes[..2].iter().all(Process::wait_until_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(3500));
    let fronts = [processes[0].front(), processes[1].front()];
    let began = Instant::now();
    let record = stage.record.clone();
    let has_trouble = stage.has_trouble;
    let clients = thread::spawn(move || {
        client::each(STREAMS, move |number| {
            let id = format!("stream-{number}");
            let mut events = Events::new();
            let request = client::request("POST", "/answer/1", &id, DEADLINE, MODEL_HEADERS);
            // Without the disruption, the client itself closes its channel.
            let until = began + if has_trouble { DEADLINE } else { BEFORE };
            let ending =
                client::attempt(&record, fronts[number % 2], &request, &id, &mut events, until);
            (ending, events)
        })
    });
    thread::sleep(BEFORE);
    if stage.has_trouble {
        processes.iter_mut().for_each(Process::kill);
    }
    thread::sleep(RESTART_DELAY);
    if stage.has_trouble {
        processes.iter_mut().for_each(Process::start);
        if !processes[..2].iter().all(Process::wait_until_ready) {
            return Verdict::NotRun;
        }
    }
    let begun = clients.join().expect("the clients' threads");
    let begun: Vec<(usize, Events)> = begun
        .into_iter()
        .enumerate()
        .filter(|(_, (ending, events))| *ending != Ending::Complete && 0 < events.last)
        .map(|(number, (_, events))| (number, events))
        .collect();
    if begun.len() < 12 {
        stage.record.result(format!("only {} streams began", begun.len()));
        return Verdict::NotRun;
    }
    thread::sleep(OUT_OF_TOUCH);
    let record = stage.record.clone();
    let new = thread::spawn(move || {
        client::each(STREAMS, move |number| {
            let id = format!("new-{number}");
            let mut events = Events::new();
            let request = client::request("POST", "/answer/1", &id, DEADLINE, MODEL_HEADERS);
            let until = Instant::now() + Duration::from_secs(4);
            client::attempt(&record, fronts[number % 2], &request, &id, &mut events, until);
            0 < events.last
        })
    });
    let (record, count) = (stage.record.clone(), begun.len());
    let begun_before = begun.clone();
    let taken_up = client::each(count, move |index| {
        let (number, mut events) = begun_before[index].clone();
        let before = events.last;
        for attempt in 1..=TAKE_UPS {
            let id = format!("stream-{number}-again-{attempt}");
            let deadline = (began + DEADLINE).saturating_duration_since(Instant::now());
            let more =
                format!("Last-Event-Id: {before}\r\nResumes: stream-{number}\r\n{MODEL_HEADERS}");
            let request = client::request("POST", "/answer/1", &id, deadline, &more);
            let front = fronts[(number + attempt) % 2];
            let until = began + DEADLINE;
            match client::attempt(&record, front, &request, &id, &mut events, until) {
                Ending::Refused { retry_after: Some(delay), .. } => {
                    thread::sleep(delay.min(deadline / 3));
                }
                _ => break,
            }
        }
        (before < events.last, events.versions.len())
    });
    let new = new.join().expect("the clients' threads");
    let begin = new.iter().filter(|has_begun| **has_begun).count();
    let go_on = taken_up.iter().filter(|(goes_on, _)| *goes_on).count();
    let joined = taken_up.iter().filter(|(_, versions)| 1 < *versions).count();
    let share = go_on as f64 / count as f64;
    let new_share = begin as f64 / STREAMS as f64;
    stage.record.result(format!(
        "{count} streams taken up, {go_on} go on ({share:.2}); {begin} of {STREAMS} new ones begin ({new_share:.2}); \
         joined of two versions: {joined}; the rule is broken below half of the new ones' share (LOST)"
    ));
    if begin * 2 < STREAMS {
        return Verdict::NotRun;
    }
    if new_share / 2.0 <= share { Verdict::Held } else { Verdict::Broken }
}
