//! Replaces the log by a snapshot of the catalog and the entries after it.
//!
//! A snapshot of some megabytes takes longer to write than peers and members wait for an answer. A
//! thread writes it to a new file from a copy of the catalog, while the control task continues and
//! appends to the old file. Once the new file is synced, the log's writer copies what was appended
//! in the meantime and renames the file.

use super::ControlTask;
use super::writer_ended;
use crate::control::ControlFault;
use crate::disk::LogRewrite;
use crate::log_event;
use log::Level;
use ragwort_control::CatalogState;
use ragwort_control::agreement::CompactionPlan;
use ragwort_control::agreement::SnapshotData;
use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;

/// The number of bytes that are serialized or written between two pauses: less than a millisecond
/// of work.
const SLICE_BYTES: usize = 64 * 1024;

/// The pause after each slice. The daemon has less than a core, and a snapshot that took all of it
/// would keep the control task from its heartbeats even from a thread of its own.
const SLICE_PAUSE: Duration = Duration::from_millis(2);

/// The number of ticks after a failed compaction in which none is begun. A full disk is not
/// emptied sooner, and each attempt fills it again.
const RETRY_TICKS: u64 = 200;

/// A log file that was written and synced, but has not replaced the log yet.
pub(super) struct PreparedLog {
    rewrite: LogRewrite,
    snapshot: SnapshotData,
}

/// A compaction whose new file is being written.
pub(super) struct RunningCompaction {
    /// The length of the log that the new file replaces, in bytes.
    covered: u64,
    /// Receives the new file; dropping it ends the thread.
    prepared: Option<oneshot::Receiver<io::Result<PreparedLog>>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningCompaction {
    /// Starts a thread that writes the new file.
    fn start(
        folder: PathBuf,
        plan: CompactionPlan,
        catalog: CatalogState,
        covered: u64,
    ) -> io::Result<Self> {
        let (done, prepared) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("compaction".to_owned())
            .spawn(move || {
                let result = prepare_log(folder, plan, catalog, &done);
                // The control task may have ended in the meantime.
                let _ = done.send(result);
            })?;
        Ok(Self {
            covered,
            prepared: Some(prepared),
            thread: Some(thread),
        })
    }

    /// Waits until the new file is written; cancel safe.
    pub(super) async fn wait(compaction: &mut Option<Self>) -> io::Result<PreparedLog> {
        let running = compaction.as_mut();
        let Some(prepared) = running.and_then(|running| running.prepared.as_mut()) else {
            return std::future::pending().await;
        };
        let ended = |_| Err(io::Error::other("the compaction's thread has ended"));
        prepared.await.unwrap_or_else(ended)
    }
}

impl Drop for RunningCompaction {
    fn drop(&mut self) {
        self.prepared = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log_event!(Level::Error, "compaction_thread_failed");
        }
    }
}

impl ControlTask {
    /// Begins a compaction if one is due.
    ///
    /// All output has been carried out: the file holds all that the node holds, and the catalog is
    /// the state at the commit index.
    pub(super) fn begin_compaction(&mut self) {
        if self.compaction.is_some()
            || self.ticks < self.next_compaction_tick
            || !self.node.compaction_due(self.log_bytes)
        {
            return;
        }
        let plan = match self.node.plan_compaction(self.node.commit_index()) {
            Ok(plan) => plan,
            Err(error) => {
                log_event!(Level::Error, "compaction_refused", error = error);
                self.next_compaction_tick = self.ticks + RETRY_TICKS;
                return;
            }
        };
        let folder = self.folder.clone();
        let started = RunningCompaction::start(folder, plan, self.catalog.clone(), self.log_bytes);
        match started {
            Ok(compaction) => self.compaction = Some(compaction),
            Err(error) => self.note_failed_compaction(&error),
        }
    }

    /// Replaces the log by the new file, unless a snapshot of the leader was installed meanwhile.
    ///
    /// # Errors
    ///
    /// Returns a fault if the log's writer has ended.
    pub(super) async fn finish_compaction(
        &mut self,
        prepared: io::Result<PreparedLog>,
    ) -> Result<(), ControlFault> {
        let Some(compaction) = self.compaction.take() else {
            return Ok(());
        };
        let PreparedLog { rewrite, snapshot } = match prepared {
            Ok(prepared) => prepared,
            Err(error) => {
                self.note_failed_compaction(&error);
                return Ok(());
            }
        };
        let index = snapshot.mark.index.0;
        if index <= self.compacted_index {
            return Ok(());
        }
        let length = self.writer.replace(rewrite, compaction.covered).await;
        self.log_bytes = length.ok_or_else(writer_ended)?;
        match self.node.finish_compaction(snapshot) {
            Ok(()) => self.compacted_index = index,
            Err(error) => log_event!(Level::Error, "compaction_refused", error = error),
        }
        log_event!(
            Level::Info,
            "log_compacted",
            index = index,
            bytes = self.log_bytes
        );
        Ok(())
    }

    /// The log continues to grow until a later attempt succeeds.
    fn note_failed_compaction(&mut self, error: &io::Error) {
        log_event!(Level::Warn, "compaction_failed", error = error);
        self.next_compaction_tick = self.ticks + RETRY_TICKS;
    }
}

/// Writes and syncs the new log file.
fn prepare_log(
    folder: PathBuf,
    plan: CompactionPlan,
    catalog: CatalogState,
    done: &oneshot::Sender<io::Result<PreparedLog>>,
) -> io::Result<PreparedLog> {
    let mut text = PacedText {
        bytes: Vec::new(),
        next_pause: SLICE_BYTES,
        done,
    };
    catalog.write_snapshot(&mut text)?;
    let text = String::from_utf8(text.bytes).map_err(io::Error::other)?;
    drop(catalog);
    let (record, snapshot) = plan.into_record(text);
    let mut rewrite = LogRewrite::create(&folder)?;
    for slice in record.chunks(SLICE_BYTES) {
        rewrite.append(slice)?;
        pause(done)?;
    }
    rewrite.sync()?;
    Ok(PreparedLog { rewrite, snapshot })
}

/// Gathers a text, with a pause after each slice.
struct PacedText<'a> {
    bytes: Vec<u8>,
    /// The length at which the next pause is due.
    next_pause: usize,
    done: &'a oneshot::Sender<io::Result<PreparedLog>>,
}

impl Write for PacedText<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() >= self.next_pause {
            self.next_pause = self.bytes.len() + SLICE_BYTES;
            pause(self.done)?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Pauses the thread.
///
/// # Errors
///
/// Returns an error if nobody waits for the result any more.
fn pause(done: &oneshot::Sender<io::Result<PreparedLog>>) -> io::Result<()> {
    if done.is_closed() {
        return Err(io::Error::other("the daemon is ending"));
    }
    thread::sleep(SLICE_PAUSE);
    Ok(())
}
