//! Child processes of tests, demo and soak: started, frozen, ended by their own id.
//!
//! The lab may start processes; the daemon may not. Whoever starts a child owns it: dropping a
//! [`ChildProcess`] kills the child, frozen or not, and waits for its end, so that a failed test
//! leaves nothing behind.

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

/// The pause between two looks at a child that is to end.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// The pause between two looks at a child that is to stop.
const STOP_PAUSE: Duration = Duration::from_millis(1);

/// How many looks a child may take to stop: ten seconds, hundreds of times what was seen.
const STOP_LOOKS: usize = 10_000;

/// The state of a stopped thread, as the system names it.
const STOPPED_STATE: &str = "T";

/// A child process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    log_file: PathBuf,
}

impl ChildProcess {
    /// Starts a program; its output goes to the file `NAME.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of the log file or the start.
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

    /// Returns where the child's output goes.
    pub fn log_file(&self) -> &Path {
        &self.log_file
    }

    /// Returns the child's output so far.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of the log file.
    pub fn read_log(&self) -> io::Result<String> {
        let bytes = fs::read(&self.log_file)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Stops the child where it stands (SIGSTOP) and waits until all its threads have stopped.
    ///
    /// The signal only asks for the stop. On a busy machine threads of the child went on for up to 27 ms
    /// after it was sent, and answered requests of callers who took the child for frozen.
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already, or hasn't stopped in a long time.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.send_signal("STOP")?;
        for _ in 0..STOP_LOOKS {
            if is_stopped(self.child.id())? {
                return Ok(());
            }
            thread::sleep(STOP_PAUSE);
        }
        let message = format!("{} hasn't stopped", self.name);
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Lets a frozen child go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already.
    pub fn thaw(&mut self) -> io::Result<()> {
        self.send_signal("CONT")
    }

    /// Asks the child to end in good order (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.send_signal("TERM")
    }

    /// Ends the child at once (SIGKILL) and waits for it.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of the kill or the wait.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Returns whether the child still runs (or is frozen).
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the child's end; `None` means that it still runs after `patience`.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of the wait.
    pub async fn wait_for_end(&mut self, patience: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + patience;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= end {
                return Ok(status);
            }
            sleep(POLL_PAUSE).await;
        }
    }

    /// A process id can be given anew once the child was waited for. Signals go out only while
    /// `try_wait` shows the child as unreaped, so they can't hit a stranger.
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
        // A child that has ended already can't be killed; it still must be reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Says whether all threads of a process have stopped.
fn is_stopped(id: u32) -> io::Result<bool> {
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(task?.path().join("stat"))?;
        // The name before the state is in brackets and may hold anything.
        let state = text.rsplit_once(") ").map(|(_, rest)| rest);
        if !state.is_some_and(|state| state.starts_with(STOPPED_STATE)) {
            return Ok(false);
        }
    }
    Ok(true)
}
