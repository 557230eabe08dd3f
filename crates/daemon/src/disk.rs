//! The file that holds a control VM's agreed log.
//!
//! Bytes count as kept only after [`LogFile::sync`]. A whole rewrite goes to a new file that takes
//! the old one's place by rename, so that a crash leaves either the old log or the new one.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

const LOG_NAME: &str = "agreement.log";
const FRESH_NAME: &str = "agreement.log.new";

/// An append-only file under the data folder.
pub struct LogFile {
    folder: PathBuf,
    file: File,
    length: u64,
}

impl LogFile {
    /// Opens the log under `folder`, creating both if missing, and returns its present bytes.
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
        // A record that was written but not yet synced when the process ended reads back whole. If
        // the VM failed next, it would be gone again after this node had counted on it.
        file.sync_all()?;
        let log = Self {
            folder: folder.to_path_buf(),
            file,
            length: bytes.len() as u64,
        };
        Ok((log, bytes))
    }

    /// Cuts the file to `length` bytes, dropping a record that a crash left half written.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)?;
        self.length = length;
        self.file.sync_data()
    }

    /// Appends bytes, which are kept only after the next [`LogFile::sync`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error. The file must not be used after one, because it's
    /// unknown how much of the record was written.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Waits until all appended bytes are on the disk.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, after which nothing unsynced may be counted on.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    /// Replaces the whole log by `bytes`, synced.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the old log is still in place then.
    pub fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()> {
        let fresh_path = self.folder.join(FRESH_NAME);
        let mut fresh = File::create(&fresh_path)?;
        fresh.write_all(bytes)?;
        fresh.sync_all()?;
        std::fs::rename(&fresh_path, self.folder.join(LOG_NAME))?;
        sync_folder(&self.folder)?;
        self.file = open_for_append(&self.folder.join(LOG_NAME))?;
        self.length = bytes.len() as u64;
        Ok(())
    }

    /// Returns the file's length, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }
}

fn open_for_append(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .read(true)
        .append(true)
        .open(path)
}

/// Syncs the folder itself: without this a crash can forget that the file was created or renamed.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
