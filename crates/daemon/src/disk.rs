//! The file that holds a control VM's part of the replicated log.
//!
//! Bytes are durable only once they are synced. A rewrite of the log goes to a new file that replaces
//! the old one by a rename, so that a crash leaves either the old log or the new one. While a
//! [`LogRewrite`] is written, records are still appended to the old log; those are copied behind it
//! before the rename.
//!
//! [`LogWriter`] runs the thread that owns the file while the daemon runs.

use crate::log_event;
use log::Level;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;

/// The pause before a failed write is tried again. A full disk is emptied within seconds at best,
/// so a tenth of a second adds little.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Failed writes for each line in the daemon's log: one line every five seconds.
const FAILURES_PER_LINE: u64 = 50;

/// File mode of the log: only its owner may read and write it, because it holds the operators'
/// documents as they wrote them, including their callers' keys.
const LOG_FILE_MODE: u32 = 0o600;

const LOG_NAME: &str = "agreement.log";
const REWRITE_NAME: &str = "agreement.log.new";

/// The append-only log file under the data folder.
pub struct LogFile {
    folder: PathBuf,
    file: File,
    length: u64,
    /// Whether the file may hold part of a record beyond `length`.
    torn: bool,
}

impl LogFile {
    /// Opens the log under `folder`, creating both if missing, and returns its contents.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the folder or file can't be created or read.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<u8>)> {
        std::fs::create_dir_all(folder)?;
        let mut file = open_for_append(&folder.join(LOG_NAME))?;
        sync_folder(folder)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        // A record that was written but not yet synced when the process ended is read back in full.
        // If the VM then failed, the record would be lost after this node had relied on it.
        file.sync_all()?;
        let log = Self {
            folder: folder.to_path_buf(),
            file,
            length: bytes.len() as u64,
            torn: false,
        };
        Ok((log, bytes))
    }

    /// Truncates the file to `length` bytes, dropping a record that a crash left half written.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)?;
        self.length = length;
        self.file.sync_data()
    }

    /// Waits until all appended bytes are on the disk.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after which nothing unsynced may be relied on.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    /// Appends bytes, which are durable only after the next [`LogFile::sync`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. What was written of the record is cut off before the
    /// next, since a later record behind it would make the file unreadable.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.torn {
            self.file.set_len(self.length)?;
        }
        self.torn = true;
        self.file.write_all(bytes)?;
        self.torn = false;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Appends bytes and waits until they are on the disk.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. What was written of the record is cut off before the
    /// next, since a later record behind it would make the file unreadable.
    pub fn append_synced(&mut self, bytes: &[u8]) -> io::Result<()> {
        let before = self.length;
        let result = self.append(bytes).and_then(|()| self.sync());
        if result.is_err() {
            self.length = before;
            self.torn = true;
        }
        result
    }

    /// Replaces the log by a rewrite of its first `covered` bytes, followed by what was appended
    /// after them, and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the call may be repeated then. Until one succeeds, a
    /// crash leaves either the old log or the new one, which hold the same records.
    pub fn replace(&mut self, rewrite: &mut LogRewrite, covered: u64) -> io::Result<()> {
        let mut tail = vec![0; (self.length - covered) as usize];
        self.file.read_exact_at(&mut tail, covered)?;
        rewrite.file.set_len(rewrite.length)?;
        rewrite.file.write_all_at(&tail, rewrite.length)?;
        rewrite.file.sync_all()?;
        if !rewrite.renamed {
            std::fs::rename(&rewrite.path, self.folder.join(LOG_NAME))?;
            rewrite.renamed = true;
        }
        sync_folder(&self.folder)?;
        self.file = open_for_append(&self.folder.join(LOG_NAME))?;
        self.length = rewrite.length + tail.len() as u64;
        self.torn = false;
        Ok(())
    }

    /// Returns the file's length, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }
}

/// A new file that is to replace the log. It is removed when dropped, unless it has replaced the log.
pub struct LogRewrite {
    path: PathBuf,
    file: File,
    length: u64,
    renamed: bool,
}

impl LogRewrite {
    /// Creates the new file beside the log under `folder`, in place of one that a crash left.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let path = folder.join(REWRITE_NAME);
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .mode(LOG_FILE_MODE)
            .open(&path)?;
        Ok(Self {
            path,
            file,
            length: 0,
            renamed: false,
        })
    }

    /// Appends bytes to the new file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after which the new file must not be used.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Waits until all appended bytes are on the disk.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after which the new file must not be used.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}

impl Drop for LogRewrite {
    fn drop(&mut self) {
        if !self.renamed
            && let Err(error) = std::fs::remove_file(&self.path)
        {
            log_event!(Level::Warn, "log_rewrite_left", error = error);
        }
    }
}

fn open_for_append(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .read(true)
        .append(true)
        .mode(LOG_FILE_MODE)
        .open(path)
}

/// Syncs the folder itself; otherwise a crash may undo the creation or the rename of the file.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// A write for the writer's thread.
enum WriteOrder {
    Append(Vec<u8>),
    Replace { rewrite: LogRewrite, covered: u64 },
}

/// A queued write, and the channel that receives the file's length after it.
struct PendingWrite {
    order: WriteOrder,
    done: oneshot::Sender<u64>,
}

/// Runs a thread that owns the log file.
///
/// A disk may hang for seconds, or be full. On a thread of its own this blocks only what waits for
/// the disk: heartbeats of other roles, callers and logs go on. A failed write is undone and tried
/// again until it succeeds, since a control VM that gave up would take down the groups that it
/// leads as well.
pub struct LogWriter {
    orders: Option<mpsc::Sender<PendingWrite>>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn start(file: LogFile) -> io::Result<Self> {
        let (orders, queue) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("agreed-log".to_owned())
            .spawn(move || serve_writes(file, &queue))?;
        Ok(Self {
            orders: Some(orders),
            thread: Some(thread),
        })
    }

    /// Appends bytes and syncs them; returns the file's length once they are durable.
    ///
    /// `None` means that the thread has ended; the bytes may not be durable.
    pub async fn append(&self, bytes: Vec<u8>) -> Option<u64> {
        self.order(WriteOrder::Append(bytes)).await
    }

    /// Replaces the log as [`LogFile::replace`] does; returns its length.
    ///
    /// `None` means that the thread has ended; the log is then the old or the new one.
    pub async fn replace(&self, rewrite: LogRewrite, covered: u64) -> Option<u64> {
        self.order(WriteOrder::Replace { rewrite, covered }).await
    }

    async fn order(&self, order: WriteOrder) -> Option<u64> {
        let (done, written) = oneshot::channel();
        let orders = self.orders.as_ref()?;
        orders.send(PendingWrite { order, done }).ok()?;
        written.await.ok()
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log_event!(Level::Error, "log_writer_failed");
        }
    }
}

fn serve_writes(mut file: LogFile, queue: &mpsc::Receiver<PendingWrite>) {
    while let Ok(mut write) = queue.recv() {
        let mut failures = 0;
        while let Err(error) = perform_write(&mut file, &mut write.order) {
            // Nobody waits for the write any more: the daemon is ending.
            if write.done.is_closed() {
                return;
            }
            if failures % FAILURES_PER_LINE == 0 {
                log_event!(
                    Level::Error,
                    "log_write_failed",
                    error = error,
                    failures = failures
                );
            }
            failures += 1;
            thread::sleep(RETRY_PAUSE);
        }
        if failures > 0 {
            log_event!(Level::Info, "log_write_recovered", failures = failures);
        }
        // The receiver may have been dropped in the meantime.
        let _ = write.done.send(file.length());
    }
}

fn perform_write(file: &mut LogFile, order: &mut WriteOrder) -> io::Result<()> {
    match order {
        WriteOrder::Append(bytes) => file.append_synced(bytes),
        WriteOrder::Replace { rewrite, covered } => file.replace(rewrite, *covered),
    }
}
