//! Logs as JSON lines, on standard output by default.
//!
//! A thread writes the lines from a bounded queue, so that a stalled reader of the
//! output never blocks the process. Lines that do not fit the queue are dropped
//! and counted; the writer logs the count with its next batch.

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
use smallvec::SmallVec;

use crate::event::Event;

/// Capacity of the queue.
const MAX_QUEUED_LINES: usize = 4096;
/// Size at which a batch of lines is written even if more lines are queued.
const BATCH_BYTES: usize = 32 * 1024;
/// Time limit of a flush: a stalled reader must not keep the process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Installs a logger that writes to standard output; later calls have no effect.
pub fn install(level: LevelFilter) {
    install_to(io::stdout(), level);
}

/// Installs a logger that writes to `output`, for programs whose standard output has another use.
pub fn install_to(output: impl io::Write + Send + 'static, level: LevelFilter) {
    let append = Queue::start(output);
    let builder = logforth::starter_log::builder();
    let _already_installed =
        builder.dispatch(|dispatch| dispatch.filter(level).append(append)).try_apply();
}

/// Bounded queue of log lines and the thread that writes them.
#[derive(Debug)]
pub struct Queue {
    commands: SyncSender<Command>,
    /// Lines dropped since the writer last logged the count.
    dropped: Arc<AtomicU64>,
    layout: JsonLayout,
}

/// Message to the writer thread.
enum Command {
    Write(Vec<u8>),
    /// Acknowledged once all earlier lines are written.
    Flush(SyncSender<()>),
}

impl Queue {
    /// Starts a thread that writes the queued lines to `output`.
    pub fn start(output: impl io::Write + Send + 'static) -> Queue {
        let (commands, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write(&receiver, &counter, output))
            .expect("cannot start the thread that writes logs; raise the limit of threads");
        Queue { commands, dropped, layout: JsonLayout::default() }
    }

    /// Returns the number of lines dropped since the writer last logged it.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Appends a line that ends in a line feed; drops and counts it if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.commands.try_send(Command::Write(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, acknowledged) = mpsc::sync_channel(1);
        if self.commands.try_send(Command::Flush(done)).is_ok() {
            let _times_out_if_the_reader_stalls = acknowledged.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines in batches until the queue is dropped.
fn write(receiver: &Receiver<Command>, dropped: &AtomicU64, mut output: impl io::Write) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(command) = receiver.recv() {
        let mut next = Some(command);
        let mut flushes: SmallVec<[SyncSender<()>; 2]> = SmallVec::new();
        while let Some(command) = next {
            match command {
                Command::Write(line) => batch.extend_from_slice(&line),
                Command::Flush(done) => flushes.push(done),
            }
            next = if batch.len() < BATCH_BYTES { receiver.try_recv().ok() } else { None };
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if 0 < count {
            let _never_fails = writeln!(
                batch,
                r#"{{"level":"WARN","message":"log lines were dropped; the reader is too slow","kvs":{{"event":"{}","lines":{count}}}}}"#,
                Event::LogDropped
            );
        }
        let _output_closed = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        for done in flushes {
            let _timed_out = done.try_send(());
        }
    }
}
