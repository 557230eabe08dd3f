//! Child processes, which can be frozen, thawed, terminated and killed.
//!
//! A [`ChildProcess`] owns its process: dropping it kills the process, frozen or not, and reaps it,
//! so that a failed test leaves no processes behind. Signals go to the process id of the child
//! only. Only this crate starts processes; the daemon must not.

pub use crate::ports::pick_address;
use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The interval at which a child that is to end is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which a child that is to stop is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The maximum number of polls until a child has stopped. This is a timeout of ten seconds; the
/// longest stop seen took 27 ms.
const MAX_STOP_POLLS: usize = 10_000;

/// The state of a stopped thread in `/proc/PID/task/TID/stat`.
const STOPPED_STATE: &str = "T";

/// A child process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log_file: PathBuf,
}

impl ChildProcess {
    /// Starts a program and appends its output to the file `NAME.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the log file can't be opened or the program can't be started.
    pub fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        folder: &Path,
    ) -> io::Result<Self> {
        let log_file = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log_file)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_file,
        })
    }

    /// Returns the child's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the child's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the file that the child's output is written to.
    pub fn log_file(&self) -> &Path {
        &self.log_file
    }

    /// Returns the child's output so far.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the log file can't be read.
    pub fn read_log(&self) -> io::Result<String> {
        let bytes = fs::read(&self.log_file)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Stops the child (SIGSTOP) and waits until all its threads have stopped.
    ///
    /// Sending the signal only begins the stop. On a busy machine, threads of the child ran for up
    /// to 27 ms after it was sent and answered requests that a frozen process must not answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the child has already ended or doesn't stop within ten seconds.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.send_signal("STOP")?;
        for _ in 0..MAX_STOP_POLLS {
            if is_stopped(self.child.id())? {
                return Ok(());
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let message = format!("{} did not stop after SIGSTOP", self.name);
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Resumes a frozen child (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already.
    pub fn thaw(&mut self) -> io::Result<()> {
        self.send_signal("CONT")
    }

    /// Requests a graceful shutdown of the child (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.send_signal("TERM")
    }

    /// Kills the child (SIGKILL) and reaps it.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the child can't be killed or reaped.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Returns whether the child hasn't ended yet; a frozen child counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the child has ended and returns its exit status, or `None` if it is still
    /// running after `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the child's state can't be read.
    pub async fn wait_for_end(&mut self, max_wait: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + max_wait;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= end {
                return Ok(status);
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Sends a signal to the child. The system may reuse a process id once the child has been
    /// reaped, so a signal is sent only while `try_wait` shows that it hasn't, and can't reach
    /// another process.
    fn send_signal(&mut self, signal: &str) -> io::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            let message = format!("{} has ended: {status}", self.name);
            return Err(io::Error::other(message));
        }
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("kill -s {signal}: {status}"))),
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing fails if the child has already ended; it must be reaped nevertheless.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads of a process have stopped.
fn is_stopped(id: u32) -> io::Result<bool> {
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(task?.path().join("stat"))?;
        // The thread's name precedes the state in parentheses and may contain any character.
        let state = text.rsplit_once(") ").map(|(_, rest)| rest);
        if !state.is_some_and(|state| state.starts_with(STOPPED_STATE)) {
            return Ok(false);
        }
    }
    Ok(true)
}
