//! What a script sent, got and ran, in `record.txt` of its folder.

use std::{fs::File, io::Write as _, path::Path, sync::Mutex, time::Instant};

pub struct Log {
    file: Mutex<File>,
    start: Instant,
}

impl Log {
    /// Starts the record in a case's folder.
    pub fn start(folder: &Path) -> std::io::Result<Log> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Log { file: Mutex::new(file), start: Instant::now() })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let _best_effort = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
