//! What the kernel says of a process: processor time and resident memory.

use std::fs;
use std::io;
use std::time::Duration;

/// The kernel's unit of processor time in `/proc`; it is the same on all machines that we run on.
const TICKS_PER_SECOND: u64 = 100;

/// Where the user time stands in `/proc/PID/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;

/// A process's use of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time since the start, of all threads, in user and kernel mode.
    pub processor: Duration,
    /// Resident memory in bytes, the program's own pages included.
    pub resident_bytes: u64,
}

impl ProcessUse {
    /// Reads the present values of a process.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of `/proc`, also if the process has ended.
    pub fn read(process_id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let unreadable = || io::Error::other(format!("/proc/{process_id} is unreadable"));
        Ok(Self {
            processor: parse_processor_time(&stat).ok_or_else(unreadable)?,
            resident_bytes: parse_resident_bytes(&status).ok_or_else(unreadable)?,
        })
    }
}

/// Returns user and kernel time from the text of `/proc/PID/stat`.
pub fn parse_processor_time(stat: &str) -> Option<Duration> {
    // The program's name stands in brackets and may itself hold spaces and brackets.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + kernel) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// Returns the resident memory from the text of `/proc/PID/status`.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}
