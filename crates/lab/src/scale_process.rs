//! The processor time and resident memory of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// The unit of processor time in `/proc` (`USER_HZ`), which is 100 on all supported machines.
const TICKS_PER_SECOND: u64 = 100;

/// The index of the user time in `/proc/PID/stat`, counted from the field after the program's name.
const USER_TIME_FIELD: usize = 11;

/// The resource use of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// The processor time of all threads since the start, in user and kernel mode.
    pub processor: Duration,
    /// The resident memory in bytes, including pages of the program file.
    pub resident_bytes: u64,
}

impl ProcessUse {
    /// Reads the present resource use of a process.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if `/proc` can't be read or parsed, for example because the process
    /// has ended.
    pub fn read(process_id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let unreadable =
            || io::Error::other(format!("/proc/{process_id} has an unexpected format"));
        Ok(Self {
            processor: parse_processor_time(&stat).ok_or_else(unreadable)?,
            resident_bytes: parse_resident_bytes(&status).ok_or_else(unreadable)?,
        })
    }
}

/// Returns the sum of user and kernel time from the text of `/proc/PID/stat`.
pub fn parse_processor_time(stat: &str) -> Option<Duration> {
    // The program's name is in parentheses and may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let kernel: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + kernel) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// Returns the resident memory in bytes from the text of `/proc/PID/status`.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}
