//! A replica that starts again under its id and address with another software version, and crashes
//! once more.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    client::{self, Ending, Events},
    fleet::{APP_PORT, Process, Site},
    manifest,
    replica::{Log, Replica, Spec},
};

const REPLICAS: u8 = 6;
const STREAMS: usize = 36;
const DEADLINE: Duration = Duration::from_secs(20);
/// Time until the restarted replica accepts requests.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time from then until the store has its new entry; a replica writes each 1.2 s.
const FIRST_BEAT: Duration = Duration::from_millis(500);
/// Time from the restart to the second crash.
const UP_TIME: Duration = Duration::from_secs(4);
/// Time until it is back after that.
const SECOND_DOWN_TIME: Duration = Duration::from_secs(3);
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(stage: &Stage) -> Verdict {
    let log = Log::new(&stage.record);
    stage.store.append("keyed.op", "config", &manifest(None));
    let replicas: Vec<Replica> = (0..REPLICAS)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number}"),
                service: "desk".into(),
                address: stage.network.address(20 + number, APP_PORT),
                zone: if number % 2 == 0 { "a" } else { "b" }.into(),
                slots: 8,
                model: None,
                events: 40,
                event_pause: Duration::from_millis(200),
                work: Duration::from_millis(30),
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
    // Machines are in touch from now on.
    thread::sleep(Duration::from_millis(3500));
    if stage.has_trouble {
        replicas[0].crash();
        thread::sleep(DOWN_TIME);
        replicas[0].start_process("v2", FIRST_BEAT);
        thread::sleep(Duration::from_millis(50));
        let replica = replicas[0].clone();
        thread::spawn(move || {
            thread::sleep(UP_TIME);
            replica.crash();
            thread::sleep(SECOND_DOWN_TIME);
            replica.start_process("v2", Duration::ZERO);
        });
    }
    let fronts = [entries[0].front(), entries[1].front()];
    let record = stage.record.clone();
    let until = Instant::now() + DEADLINE;
    let streams: Vec<(Ending, Events)> = client::each(STREAMS, move |number| {
        thread::sleep(Duration::from_millis(5 * number as u64));
        let id = format!("stream-{number}");
        let mut events = Events::new();
        let request = client::request("POST", "/answer/1", &id, DEADLINE, "");
        let ending =
            client::attempt(&record, fronts[number % 2], &request, &id, &mut events, until);
        (ending, events)
    });
    let complete = streams.iter().filter(|(ending, _)| *ending == Ending::Complete).count();
    let joined = streams.iter().filter(|(_, events)| 1 < events.versions.len()).count();
    stage.record.result(format!(
        "{STREAMS} streams, {complete} complete; with events of two software versions: {joined}, allowed: {ALLOWED} (ORDER)"
    ));
    if complete * 2 < STREAMS {
        return Verdict::NotRun;
    }
    if joined <= ALLOWED { Verdict::Held } else { Verdict::Broken }
}
