//! Measures processor time, memory and network traffic of idle fleets of several sizes, for
//! the capacity page of the documentation.

use std::{fs, thread, time::Duration};

use scenario::fleet::{Fleet, Shape};

/// Numbers of entries and engines of each fleet; each engine has one side process.
const SIZES: [(usize, usize); 3] = [(4, 4), (12, 12), (36, 36)];
const SETTLE_TIME: Duration = Duration::from_secs(15);
const MEASURING_WINDOW: Duration = Duration::from_secs(20);
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// Processor time and resident memory of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_seconds: f64,
    resident_bytes: u64,
}

fn main() {
    println!(
        "entries sides  entry: cpu %  MB  fleet B/s  platform B/s   side: cpu %  MB   \
         log: reads/s appends/s"
    );
    for (entries, engines) in SIZES {
        measure(entries, engines);
    }
}

fn measure(entries: usize, engines: usize) {
    // The programs' default timings, not the shorter ones of the scenarios.
    let timing = String::new();
    let shape = Shape { entries, engines, services: 0, timing, ..Shape::default() };
    let fleet = Fleet::start(&shape);
    fleet
        .operate(&["create account council rate 1000 burst 20000"], &[])
        .expect("the statement is accepted");
    thread::sleep(SETTLE_TIME);
    let before = sample(&fleet);
    thread::sleep(MEASURING_WINDOW);
    let after = sample(&fleet);
    let seconds = MEASURING_WINDOW.as_secs_f64();
    let per_second = |a: u64, b: u64| (b - a) as f64 / seconds;
    println!(
        "{entries:>7} {engines:>5} {:>13.2} {:>4} {:>10.0} {:>13.0} {:>13.2} {:>4} \
         {:>12.1} {:>8.2}",
        (after.entry.cpu_seconds - before.entry.cpu_seconds) / seconds * 100.0,
        after.entry.resident_bytes / 1_000_000,
        per_second(before.fleet_bytes, after.fleet_bytes),
        per_second(before.platform_bytes, after.platform_bytes),
        (after.side.cpu_seconds - before.side.cpu_seconds) / seconds * 100.0,
        after.side.resident_bytes / 1_000_000,
        per_second(before.log_reads, after.log_reads),
        per_second(before.log_appends, after.log_appends),
    );
}

/// Usage and traffic counters of a fleet at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    entry: Usage,
    side: Usage,
    fleet_bytes: u64,
    platform_bytes: u64,
    log_reads: u64,
    log_appends: u64,
}

fn sample(fleet: &Fleet) -> Sample {
    let counts = fleet.page("log", "/counts");
    let metrics = fleet.text("entry-1", "/metrics");
    Sample {
        entry: usage(fleet.process_id("entry-1")),
        side: usage(fleet.process_id("side-1")),
        fleet_bytes: metric(&metrics, "chivelatch_fleet_sent_bytes_total")
            + metric(&metrics, "chivelatch_fleet_received_bytes_total"),
        platform_bytes: metric(&metrics, "chivelatch_platform_received_bytes_total"),
        log_reads: counts["reads"].as_u64().unwrap_or(0),
        log_appends: counts["appends"].as_u64().unwrap_or(0),
    }
}

fn usage(process: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The fields after the program name, which may contain spaces: user and system time
    // (11 and 12), resident pages (21).
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let ticks = field(11).unwrap_or(0) + field(12).unwrap_or(0);
    Usage {
        cpu_seconds: ticks as f64 / TICKS_PER_SECOND,
        resident_bytes: field(21).unwrap_or(0) * PAGE_BYTES,
    }
}

fn metric(page: &str, name: &str) -> u64 {
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
