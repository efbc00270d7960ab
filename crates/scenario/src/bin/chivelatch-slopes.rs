//! Measures what a fleet of real processes costs while it is idle, at several
//! sizes, for the capacity page.

use std::{fs, thread, time::Duration};

use scenario::fleet::{Fleet, Shape};

/// Entries and engines of each fleet; a side process stands beside each engine.
const SIZES: [(usize, usize); 3] = [(4, 4), (12, 12), (36, 36)];
const SETTLE: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_secs(20);
/// Clock ticks of the processor times in `/proc`, a second.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// What one process has used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    seconds: f64,
    bytes: u64,
}

fn main() {
    println!(
        "entries sides  entry: cpu %  MB  fleet B/s  platform B/s   side: cpu %  MB   log: reads/s appends/s"
    );
    for (entries, engines) in SIZES {
        measure(entries, engines);
    }
}

fn measure(entries: usize, engines: usize) {
    // The usual timings of the programs, not those of the scenarios.
    let timing = String::new();
    let shape = Shape { entries, engines, services: 0, timing, ..Shape::default() };
    let fleet = Fleet::start(&shape);
    fleet.operate(&["create account council rate 1000 burst 20000"], &[]).expect("it is accepted");
    thread::sleep(SETTLE);
    let before = sample(&fleet);
    thread::sleep(WINDOW);
    let after = sample(&fleet);
    let seconds = WINDOW.as_secs_f64();
    let per_second = |a: u64, b: u64| (b - a) as f64 / seconds;
    println!(
        "{entries:>7} {engines:>5} {:>13.2} {:>4} {:>10.0} {:>13.0} {:>13.2} {:>4} {:>12.1} {:>8.2}",
        (after.entry.seconds - before.entry.seconds) / seconds * 100.0,
        after.entry.bytes / 1_000_000,
        per_second(before.fleet_bytes, after.fleet_bytes),
        per_second(before.platform_bytes, after.platform_bytes),
        (after.side.seconds - before.side.seconds) / seconds * 100.0,
        after.side.bytes / 1_000_000,
        per_second(before.log_reads, after.log_reads),
        per_second(before.log_appends, after.log_appends),
    );
}

/// One look at a fleet.
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
    // The fields behind the program's name, which may hold blanks.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let ticks = field(11).unwrap_or(0) + field(12).unwrap_or(0);
    Usage { seconds: ticks as f64 / TICKS_PER_SECOND, bytes: field(21).unwrap_or(0) * PAGE_BYTES }
}

fn metric(page: &str, name: &str) -> u64 {
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
