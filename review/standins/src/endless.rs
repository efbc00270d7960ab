//! A model engine in trouble answers the question for its state with a body without end, while
//! clients of a killed entry instance take their streams up at the other one.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Stage, Verdict,
    client::{self, Ending, Events, MODEL_HEADERS},
    fleet::{APP_PORT, Process, RAM_MB, Site},
    manifest,
    replica::{Log, Replica, Spec},
};

const MODEL: &str = "base";
const ENGINES: u8 = 8;
const COUNTERS: u8 = 2;
const STREAMS: usize = 96;
const STREAM_DEADLINE: Duration = Duration::from_secs(20);
/// Clients that send orders on kept channels to the instance that nothing happens to.
const CLIENTS: usize = 8;
const ORDER_DEADLINE: Duration = Duration::from_millis(3000);
/// Time for which streams and orders run before the disruption.
const BEFORE: Duration = Duration::from_secs(4);
/// Time for which the engine is in trouble.
const TROUBLE_TIME: Duration = Duration::from_millis(6500);
/// Time for which they run after it.
const AFTER: Duration = Duration::from_secs(8);
/// Bytes that the engine in trouble writes in one chunk.
const CHUNK: usize = 16 * 1024;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Requests that the rule allows to lose.
const ALLOWED: usize = 3;

/// What a client got for an order.
struct Order {
    id: String,
    was_kept: bool,
    status: Option<u16>,
}

pub fn play(stage: &Stage) -> Verdict {
    let log = Log::new(&stage.record);
    stage.store.append("keyed.op", "config", &manifest(Some(MODEL)));
    let start = |number: u8, is_engine: bool| {
        let (name, service) = if is_engine { ("engine", "desk") } else { ("counter", "counter") };
        let machine = if is_engine { 20 + number } else { 40 + number };
        let spec = Spec {
            id: format!("{name}-{number}"),
            service: service.into(),
            address: stage.network.address(machine, APP_PORT),
            zone: if number % 2 == 0 { "a" } else { "b" }.into(),
            slots: if is_engine { 64 } else { 6 },
            model: is_engine.then(|| MODEL.into()),
            events: 60,
            event_pause: Duration::from_millis(200),
            work: Duration::from_millis(200),
        };
        Replica::start(spec, "v1", &stage.store, &log)
    };
    let engines: Vec<Replica> = (0..ENGINES).map(|number| start(number, true)).collect();
    let _counters: Vec<Replica> = (0..COUNTERS).map(|number| start(number, false)).collect();
    let ips = [stage.network.machine(10), stage.network.machine(11)];
    let site = Site {
        folder: &stage.folder,
        store: stage.store.address,
        seeds: &ips,
        record: &stage.record,
    };
    let mut first = Process::entry(&site, "edge-a-1", ips[0], "a");
    let mut second = Process::entry(&site, "edge-b-1", ips[1], "b");
    let _sides: Vec<Process> = engines
        .iter()
        .map(|engine| {
            let name = format!("side-{}", engine.spec.id);
            Process::side(&site, &name, engine.spec.address, &engine.spec.zone, "desk")
        })
        .collect();
    if !first.wait_until_ready() || !second.wait_until_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(3500));
    let (front_a, front_b) = (first.front(), second.front());
    let began = Instant::now();
    let until = began + STREAM_DEADLINE;
    let orders = thread::spawn({
        let record = stage.record.clone();
        move || client::each(CLIENTS, move |number| send_orders(number, front_b, &record, began))
    });
    let record = stage.record.clone();
    let streams = thread::spawn(move || {
        client::each(STREAMS, move |number| {
            let id = format!("stream-{number}");
            let mut events = Events::new();
            let request = client::request("POST", "/answer/1", &id, STREAM_DEADLINE, MODEL_HEADERS);
            client::attempt(&record, front_a, &request, &id, &mut events, until);
            if events.last == 0 {
                return None;
            }
            let id = format!("{id}-again");
            let more = format!(
                "Last-Event-Id: {}\r\nResumes: stream-{number}\r\n{MODEL_HEADERS}",
                events.last
            );
            let left = until.saturating_duration_since(Instant::now());
            let request = client::request("POST", "/answer/1", &id, left, &more);
            Some(client::attempt(&record, front_b, &request, &id, &mut events, until))
        })
    });
    // The platform kills a process that exceeds its memory, and starts it again.
    let is_done = Arc::new(AtomicBool::new(false));
    let kills: Arc<Mutex<Vec<u64>>> = Arc::default();
    let guard = thread::spawn({
        let (is_done, kills, record) =
            (Arc::clone(&is_done), Arc::clone(&kills), stage.record.clone());
        move || {
            let mut peak = 0;
            while !is_done.load(Ordering::Relaxed) {
                let resident = second.resident_kib();
                peak = peak.max(resident);
                if RAM_MB * 1024 < resident {
                    record.result(format!(
                        "edge-b-1 has {resident} KiB, over its limit of {RAM_MB} MB: the platform kills it"
                    ));
                    kills.lock().unwrap().push(resident);
                    second.kill();
                    thread::sleep(RESTART_DELAY);
                    second.start();
                }
                thread::sleep(Duration::from_millis(10));
            }
            peak
        }
    });
    thread::sleep(BEFORE);
    if stage.has_trouble {
        stage.record.line(format!("{} is in trouble", engines[0].spec.id));
        engines[0].endless_chunk.store(CHUNK, Ordering::Relaxed);
        thread::sleep(RESTART_DELAY);
        first.kill();
        thread::sleep(RESTART_DELAY);
        first.start();
        thread::sleep(TROUBLE_TIME - RESTART_DELAY * 2);
        engines[0].endless_chunk.store(0, Ordering::Relaxed);
    }
    let orders: Vec<Order> =
        orders.join().expect("the clients' threads").into_iter().flatten().collect();
    let streams = streams.join().expect("the clients' threads");
    is_done.store(true, Ordering::Relaxed);
    let peak = guard.join().expect("the guard's thread");
    let runs = log.runs.lock().unwrap();
    let has_run =
        |id: &str| runs.iter().any(|run| run.id == id && run.replica.starts_with("counter"));
    let lost = orders
        .iter()
        .filter(|order| order.was_kept && order.status.is_none() && has_run(&order.id))
        .count();
    let served = orders.iter().filter(|order| order.status == Some(200)).count();
    let cut = streams.iter().flatten().filter(|ending| **ending == Ending::Broken).count();
    stage.record.result(format!(
        "edge-b-1: peak {peak} KiB, killed {} times; {} orders, {served} answered 200, passed on from a kept \
         channel to a sound replica and closed without an answer: {lost}, allowed: {ALLOWED} (LOST); \
         {cut} streams cut that were taken up there; the engine in trouble wrote {} MB",
        kills.lock().unwrap().len(),
        orders.len(),
        engines[0].endless_bytes.load(Ordering::Relaxed) / 1_000_000,
    ));
    if served * 2 < orders.len() {
        return Verdict::NotRun;
    }
    if lost <= ALLOWED { Verdict::Held } else { Verdict::Broken }
}

/// Sends orders one after the other on a kept channel.
fn send_orders(
    number: usize,
    front: std::net::SocketAddr,
    record: &crate::record::Record,
    began: Instant,
) -> Vec<Order> {
    // Clients do not send in step.
    thread::sleep(Duration::from_millis(26 * number as u64));
    let mut kept = None;
    let mut orders = Vec::new();
    while began.elapsed() < BEFORE + AFTER {
        let id = format!("order-{number}-{}", orders.len());
        let request = client::request("POST", "/order/1", &id, ORDER_DEADLINE, "");
        let was_kept = kept.is_some();
        let status = client::call(&mut kept, front, &request, ORDER_DEADLINE);
        record
            .line(format!("client {number} sent {id} (kept channel: {was_kept}), got {status:?}"));
        orders.push(Order { id, was_kept, status });
        thread::sleep(Duration::from_millis(if status.is_some() { 10 } else { 100 }));
    }
    orders
}
