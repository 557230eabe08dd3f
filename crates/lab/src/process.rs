//! Child processes of tests, demo and soak: started, frozen, ended by their own id.
//!
//! The lab may start processes; the daemon may not. Whoever starts a child owns it: dropping a
//! [`ChildProcess`] kills the child, frozen or not, and waits for its end, so that a failed test
//! leaves nothing behind.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The first port that the picker tries.
const FIRST_PORT: u16 = 10_000;

/// The number of ports that the picker tries: all lie below the range from which the system takes
/// the ports of outgoing connections, so that none of those can take a picked port first.
const PORT_COUNT: u16 = 22_000;

/// How far apart two processes of neighbouring ids begin to pick.
const PORT_STRIDE: u32 = 211;

/// The pause between two looks at a child that is to end.
const POLL_PAUSE: Duration = Duration::from_millis(10);

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
        let bytes = std::fs::read(&self.log_file)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Stops the child where it stands (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the child has ended already.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.send_signal("STOP")
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

/// Picks an address on 127.0.0.1 whose port is free at present.
///
/// # Panics
///
/// Panics if no port of the range is free.
pub fn pick_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() * PORT_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = (start + step) % u32::from(PORT_COUNT);
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port on 127.0.0.1");
}
