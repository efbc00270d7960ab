//! A stream that its replica preempts during a planned stop of the entry instance.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, client,
    engine::{Engine, SITE_SIZES},
    fleet::{self, Net, Process},
    record::Record,
    store::Store,
};

const SLOTS: usize = 4;
const QUEUE: usize = 4;
const GRACE: Duration = Duration::from_secs(8);
/// Memory of the replica in tokens, if it runs out while both streams run, and if it does not.
const SCARCE_MEMORY: u64 = 3700;
const AMPLE_MEMORY: u64 = 9000;

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    // The other way: the servers are not full, but a release has begun, and the new ones are of another version.
    let is_release = std::env::var("WAY").is_ok_and(|it| it == "release");
    let queue = if is_release { 192 } else { QUEUE };
    let net = Net::new()?;
    let store = Store::start(net.address(1, 0))?;
    let memory = if has_trouble { SCARCE_MEMORY } else { AMPLE_MEMORY };
    store.put("keyed.op", "config", client::manifest(SITE_SIZES, SLOTS, memory));
    let engine = Engine::start(
        ("i-7f3a91c2", "v1"),
        net.app(21),
        (SLOTS, queue, memory),
        SITE_SIZES,
        &store,
        record,
    )?;
    let _side = Process::start(root, &net, store.address, "side", 21, "a")?;
    let mut stopping = Process::start(root, &net, store.address, "entry", 11, "a")?;
    let _staying = Process::start(root, &net, store.address, "entry", 12, "a")?;
    for machine in [11, 12] {
        fleet::wait_until_ready(net.ready(machine), Duration::from_secs(15))?;
    }
    // The rule asks for `contact_ms` without disturbance before the requests.
    thread::sleep(Duration::from_millis(4000));
    record.line("all machines have been ready for contact_ms and more");
    let send = |machine: u8, name: &'static str, tokens: (u64, u64)| {
        let (record, address) = (record.clone(), net.front(machine));
        thread::spawn(move || {
            client::stream(&record, address, "m0", name, tokens, Duration::from_secs(20))
        })
    };
    // An older request that grows until it is complete, after 4 s.
    let older = send(12, "older", (1800, 800));
    thread::sleep(Duration::from_millis(200));
    let stream = send(11, "stream", (1460, 500));
    let mut next = None;
    if is_release {
        let release = ("i-02d9e6b4", "v2");
        next = Some(Engine::start(
            release,
            net.app(22),
            (SLOTS, queue, memory),
            SITE_SIZES,
            &store,
            record,
        )?);
        record.line("operator: a release begins; replica i-02d9e6b4 of v2 starts");
        thread::sleep(Duration::from_millis(200));
        engine.drain(&store);
    }
    thread::sleep(Duration::from_millis(500));
    let stopped_at = record.now();
    record.line(format!("operator: SIGTERM to {}", stopping.name));
    stopping.signal("TERM")?;
    thread::sleep(Duration::from_millis(700));
    // Three more requests wait behind the preempted one.
    let waiting: &[&str] = if is_release { &[] } else { &["waiting-1", "waiting-2", "waiting-3"] };
    let waiting: Vec<_> = waiting.iter().map(|name| send(12, name, (500, 100))).collect();
    let seen = stream.join().map_err(|_| io::Error::other("a client has failed"))?;
    for other in [older].into_iter().chain(waiting) {
        let _seen = other.join();
    }
    let end = Instant::now() + GRACE;
    while stopping.ended().is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    let ended = stopping.ended();
    record.line(format!("{} has ended: {ended:?}", stopping.name));
    thread::sleep(Duration::from_millis(100));
    let own = ["\"request\":\"stream\""];
    net.log_lines(&stopping.name, &own)
        .iter()
        .for_each(|line| record.line(format!("log of {}: {line}", stopping.name)));
    drop(next);
    let runs: Vec<_> = engine.done().into_iter().filter(|it| it.request == "stream").collect();
    if seen.status != 200 || seen.events.is_empty() || runs.is_empty() {
        return Err(io::Error::other("the stream did not begin"));
    }
    if has_trouble && !runs[0].was_preempted {
        return Err(io::Error::other("the replica did not preempt the stream"));
    }
    if seen.gave_up {
        return Err(io::Error::other("the client gave up itself"));
    }
    record.line(format!(
        "judged: the stream's channel ended {:.2} s after the SIGTERM (grace_s is 8), {:.2} s after the request was sent (its deadline and its route's timeout are 20 s)",
        (seen.ended_at - stopped_at).as_secs_f64(),
        (seen.ended_at - seen.sent_at).as_secs_f64()
    ));
    let was_in_order = seen.events.iter().copied().eq(1..=seen.events.len() as u64);
    // The replica did not break the stream off: its run had neither ended nor reached its deadline.
    let is_lost = !seen.is_complete
        && runs[0].was_left
        && seen.ended_at < stopped_at + GRACE + Duration::from_secs(1);
    let is_late_work = stopped_at + GRACE.mul_f64(5.0 / 6.0) < seen.ended_at;
    if !seen.is_complete && (!is_lost || is_late_work) {
        return Err(io::Error::other("the stream ended early for a reason that the rule excuses"));
    }
    Ok(if is_lost || !was_in_order { Verdict::Broken } else { Verdict::Held })
}
