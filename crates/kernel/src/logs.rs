//! Logs as JSON lines on standard output.
//!
//! Lines wait in a bounded queue for a thread that writes them, so that a reader
//! who stalls never holds up the process. What does not fit is counted, and the
//! count is logged once there is room again.

use std::{
    io::{self, Write as _},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::Duration,
};

use logforth::{
    Diagnostic, Error,
    append::Append,
    layout::{JsonLayout, Layout as _},
    record::{LevelFilter, Record},
};

use crate::event::Event;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4096;
/// Bytes written at once.
const BATCH_BYTES: usize = 32 * 1024;
/// Longest wait for the queue to empty at the end of a process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Installs the logger of a server process; later calls are ignored.
pub fn install(level: LevelFilter) {
    install_to(io::stdout(), level);
}

/// Installs the logger of a program whose standard output is for something else.
pub fn install_to(output: impl io::Write + Send + 'static, level: LevelFilter) {
    let append = Queue::start(output);
    let builder = logforth::starter_log::builder();
    let _already = builder.dispatch(|dispatch| dispatch.filter(level).append(append)).try_apply();
}

/// Appends to a bounded queue.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    layout: JsonLayout,
}

enum Line {
    Text(Vec<u8>),
    /// Answered once all lines before are written.
    Flush(SyncSender<()>),
}

impl Queue {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl io::Write + Send + 'static) -> Queue {
        let (lines, waiting) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write(&waiting, &counter, output))
            .expect("the system refused a thread; raise the limit of threads");
        Queue { lines, dropped, layout: JsonLayout::default() }
    }

    /// Lines that did not fit since the last report.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Appends a line, or counts it when there is no room.
    pub fn push(&self, text: Vec<u8>) {
        if self.lines.try_send(Line::Text(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut text = self.layout.format(record, diags)?;
        text.push(b'\n');
        self.push(text);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (written, done) = mpsc::sync_channel(1);
        if self.lines.try_send(Line::Flush(written)).is_ok() {
            let _gives_up_on_a_stalled_reader = done.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

fn write(waiting: &Receiver<Line>, dropped: &AtomicU64, mut output: impl io::Write) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(line) = waiting.recv() {
        let mut next = Some(line);
        let mut flushed = None;
        while let Some(line) = next {
            match line {
                Line::Text(text) => batch.extend_from_slice(&text),
                Line::Flush(written) => flushed = Some(written),
            }
            next = if batch.len() < BATCH_BYTES { waiting.try_recv().ok() } else { None };
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if 0 < lost {
            let _in_memory = writeln!(
                batch,
                r#"{{"level":"WARN","message":"log lines were dropped; the reader is too slow","kvs":{{"event":"{}","lines":{lost}}}}}"#,
                Event::LogDropped
            );
        }
        let _nobody_reads = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        if let Some(written) = flushed {
            let _nobody_waits = written.try_send(());
        }
    }
}
