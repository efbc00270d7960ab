//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _best_effort = writeln!(file, "{line}");
        }
    }
}
