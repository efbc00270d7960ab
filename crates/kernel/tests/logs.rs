//! Logs that nobody reads, and the page that explains them.

use std::{
    collections::HashSet,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use kernel::{event::Event, logs::Queue};
use parking_lot::{Condvar, Mutex};

/// An output whose reader has stopped, until it is let go.
#[derive(Clone, Default)]
struct Stalled {
    is_open: Arc<(Mutex<bool>, Condvar)>,
    lines: Arc<AtomicUsize>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Stalled {
    fn let_go(&self) {
        *self.is_open.0.lock() = true;
        self.is_open.1.notify_all();
    }
}

impl io::Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut is_open = self.is_open.0.lock();
        while !*is_open {
            self.is_open.1.wait(&mut is_open);
        }
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        self.lines.fetch_add(lines, Ordering::Relaxed);
        self.text.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Appends a last line, again if there is no room yet, and waits until it is written.
fn queue_last(queue: &Queue, output: &Stalled) {
    let is_written = || output.text.lock().ends_with(b"last\n");
    for _ in 0..1000 {
        std::thread::sleep(Duration::from_millis(5));
        if output.text.lock().is_empty() || queue.dropped() != 0 {
            continue;
        }
        if is_written() {
            return;
        }
        queue.push(b"last\n".to_vec());
    }
    panic!("the last line was not written within 5 s");
}

#[test]
fn a_reader_who_stalls_holds_nobody_up_and_what_is_lost_is_counted() {
    const LINES: usize = 100_000;
    let output = Stalled::default();
    let queue = Queue::start(output.clone());

    let began = Instant::now();
    (0..LINES).for_each(|_| queue.push(b"line\n".to_vec()));
    let took = began.elapsed();
    output.let_go();
    queue_last(&queue, &output);

    assert!(took < Duration::from_secs(5), "{took:?}");
    let text = String::from_utf8(output.text.lock().clone()).unwrap();
    let reported = text.lines().filter(|line| line.contains(Event::LogDropped.name()));
    let reported: usize = reported
        .filter_map(|line| {
            line.split("\"lines\":").nth(1)?.trim_end_matches('}').parse::<usize>().ok()
        })
        .sum();
    let written = text.lines().filter(|line| *line == "line").count();
    assert!(LINES / 2 < reported, "the queue is bounded");
    assert_eq!(written + reported, LINES);
}

#[test]
fn the_operators_page_lists_every_event_and_no_other() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let table = page.split("## Events").nth(1).and_then(|rest| rest.split("\n## ").next()).unwrap();
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let first_cells = rows.filter_map(|row| row.split('|').nth(1));
    let listed: HashSet<&str> =
        first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect();

    let named: HashSet<&str> = Event::ALL.iter().map(|event| event.name()).collect();

    assert_eq!(listed, named);
}
