//! What was sent, answered and run, with the time since the start in milliseconds.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.start.elapsed().as_millis());
        let _best_effort = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}
