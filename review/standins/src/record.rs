//! `record.txt`: what was sent, answered and run, with the time since the start in seconds.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl Display) {
        let elapsed = self.start.elapsed().as_secs_f64();
        let _best_effort = writeln!(self.file.lock().unwrap(), "{elapsed:8.3} {text}");
    }

    /// Writes a line that is also shown on standard output.
    pub fn result(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}
