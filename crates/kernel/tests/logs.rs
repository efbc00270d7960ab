//! Tests of the log queue with a stalled reader, and of the event list in the docs.

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
use logforth::append::Append as _;
use parking_lot::{Condvar, Mutex};

/// Time for which a flush waits for a stalled reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Output that blocks writes until it is resumed, as a pipe does whose reader has stalled.
#[derive(Clone, Default)]
struct Stalled {
    /// Number of writes that are let through.
    permits: Arc<(Mutex<usize>, Condvar)>,
    lines: Arc<AtomicUsize>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Stalled {
    fn resume(&self) {
        *self.permits.0.lock() = usize::MAX;
        self.permits.1.notify_all();
    }

    fn resume_once(&self) {
        *self.permits.0.lock() = 1;
        self.permits.1.notify_all();
    }
}

impl io::Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut permits = self.permits.0.lock();
        while *permits == 0 {
            self.permits.1.wait(&mut permits);
        }
        *permits -= 1;
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
        self.lines.fetch_add(lines, Ordering::Relaxed);
        self.text.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Appends a last line and waits until it is written. Waits first until the writer has
/// logged the dropped lines; appends the line again as long as it is not written.
fn write_last_line(queue: &Queue, output: &Stalled) {
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
fn stalled_reader_does_not_block_and_dropped_lines_are_counted() {
    const LINES: usize = 100_000;
    let output = Stalled::default();
    let queue = Queue::start(output.clone());

    let start = Instant::now();
    (0..LINES).for_each(|_| queue.push(b"line\n".to_vec()));
    let elapsed = start.elapsed();
    output.resume();
    write_last_line(&queue, &output);

    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    let text = String::from_utf8(output.text.lock().clone()).unwrap();
    let reports = text.lines().filter(|line| line.contains(Event::LogDropped.name()));
    let dropped: usize = reports
        .filter_map(|line| {
            line.split("\"lines\":").nth(1)?.trim_end_matches('}').parse::<usize>().ok()
        })
        .sum();
    let written = text.lines().filter(|line| *line == "line").count();
    assert!(LINES / 2 < dropped, "the queue is bounded, so most lines are dropped");
    assert_eq!(written + dropped, LINES);
}

// Guards against a process that ends before its last lines are written, as another thread has
// flushed at the same time.
#[test]
fn each_flush_waits_until_its_lines_are_written() {
    let output = Stalled::default();
    let queue = Arc::new(Queue::start(output.clone()));
    queue.push(b"first\n".to_vec());
    // The writer is blocked by the first line when the others are queued.
    std::thread::sleep(Duration::from_millis(20));
    queue.push(b"last\n".to_vec());
    let flushes: Vec<_> = (0..3)
        .map(|_| {
            let (queue, output) = (Arc::clone(&queue), output.clone());
            std::thread::spawn(move || {
                let start = Instant::now();
                queue.flush().unwrap();
                (start.elapsed(), output.text.lock().ends_with(b"last\n"))
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(20));

    // One write of the first line, then the writer is blocked by the others.
    output.resume_once();
    std::thread::sleep(Duration::from_millis(50));
    output.resume();

    for flush in flushes {
        let (elapsed, is_written) = flush.join().unwrap();
        assert!(is_written || FLUSH_TIMEOUT <= elapsed, "returned after {elapsed:?}");
    }
}

#[test]
fn operations_page_lists_exactly_the_log_events() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let table = page.split("## Events").nth(1).and_then(|rest| rest.split("\n## ").next()).unwrap();
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    let first_cells = rows.filter_map(|row| row.split('|').nth(1));
    let listed: HashSet<&str> =
        first_cells.flat_map(|cell| cell.split('`').skip(1).step_by(2)).collect();

    let named: HashSet<&str> = Event::ALL.iter().map(|event| event.name()).collect();

    assert_eq!(listed, named);
}
