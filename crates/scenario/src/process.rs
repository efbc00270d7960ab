//! A program of the fleet as a child process, with its log in a file.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Signals that scenarios send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Kill,
    Stop,
    Continue,
    Terminate,
}

impl Process {
    /// Starts a program of this workspace with a settings file. Its output is appended to
    /// the `.log` file next to the settings.
    ///
    /// # Errors
    ///
    /// The program is not built or cannot be started.
    pub fn start(program: &str, settings: &Path) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
        let child = Command::new(binary(program)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let sent = Command::new("kill").arg(name).arg(self.id().to_string()).status();
        assert!(sent.is_ok_and(|status| status.success()), "cannot send signal {name}");
    }

    /// Waits up to `limit` for the exit code; `None` on timeout or if a signal ended the process.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _already_exited = self.child.wait();
    }
}

/// Returns the path of a program in the target folder of the running test.
///
/// # Errors
///
/// The program has not been built.
pub fn binary(program: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folders = test.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(program)).find(|path| path.exists());
    found.ok_or_else(|| {
        let message = format!("{program} is not built; run `cargo build --workspace` first");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
