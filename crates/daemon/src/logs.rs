//! The daemon's log: one line of key=value pairs for each event, on standard output or in a file.
//!
//! Lines of libraries are left out, because they don't have this form. Writing to standard output
//! never blocks: lines wait in a bounded queue for a writer thread, and those that find it full are
//! dropped and counted.

use crate::log_event;
use crate::settings::LogSettings;
use log::Level;
use log::LevelFilter;
use log::SetLoggerError;
use simplelog::Config;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::fmt;
use std::fmt::Write;
use std::fs::OpenOptions;
use std::io;
use std::mem;
use std::panic;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Capacity of the queue, in lines. At 200 bytes a line that is under one megabyte.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// The size at which collected lines are written, in bytes. A write for each line would cost one
/// system call each.
const WRITE_SIZE_BYTES: usize = 64 * 1024;

/// The target of the daemon's own lines.
pub const LOG_TARGET: &str = "ragwortgated";

/// The reason why the log could not be set up.
#[derive(Debug)]
pub enum LogFault {
    /// The log file can't be opened for appending.
    File(io::Error),
    /// The process already has a log.
    AlreadySet(SetLoggerError),
}

impl fmt::Display for LogFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(error) => write!(formatter, "log file can't be opened: {error}"),
            Self::AlreadySet(error) => write!(formatter, "log is set up already: {error}"),
        }
    }
}

/// Sets up the log of this process, once.
///
/// # Errors
///
/// Returns [`LogFault::File`] when the file can't be opened, and [`LogFault::AlreadySet`] on a
/// second call.
pub fn set_up_log(settings: &LogSettings) -> Result<(), LogFault> {
    let config = line_config();
    let set = match &settings.file {
        None => WriteLogger::init(settings.level, config, LogPipe::start(io::stdout())),
        Some(path) => {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .map_err(LogFault::File)?;
            WriteLogger::init(settings.level, config, file)
        }
    };
    set.map_err(LogFault::AlreadySet)
}

/// Passes lines to a writer that may be slow.
///
/// The reader of the daemon's standard output may stop reading. A blocking write would then stop
/// the daemon, and callers' requests would hang.
pub struct LogPipe {
    lines: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl LogPipe {
    /// Starts the writer thread, which ends with the process.
    pub fn start(output: impl io::Write + Send + 'static) -> Self {
        let (lines, queue) = mpsc::sync_channel(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || write_lines(output, &queue, &counter));
        Self {
            lines,
            dropped,
            line: Vec::new(),
        }
    }
}

impl io::Write for LogPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") && self.lines.try_send(mem::take(&mut self.line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl io::Write, queue: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut text = Vec::new();
    while let Ok(line) = queue.recv() {
        text.extend_from_slice(&line);
        while text.len() < WRITE_SIZE_BYTES
            && let Ok(line) = queue.try_recv()
        {
            text.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = EventLine::new(Level::Warn, "log_lines_dropped").with("count", &lost);
            text.extend_from_slice(line.as_str().as_bytes());
            text.push(b'\n');
        }
        // A failure to write the log can't be reported anywhere.
        let _ = output.write_all(&text);
        let _ = output.flush();
        text.clear();
    }
}

/// Installs a panic hook that writes one line to the log in place of the default report.
///
/// A malformed message from a caller can make the codec panic. Each such panic is caught, but the
/// default report would write many lines to standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(|panic| {
        let place = panic
            .location()
            .map(|location| format!("{}:{}", location.file(), location.line()))
            .unwrap_or_default();
        let message = panic.payload_as_str().unwrap_or_default();
        log_event!(Level::Error, "panic", place = place, message = message);
    }));
}

/// Returns a logger configuration that adds nothing to a line, which carries its own time and level
/// as pairs.
fn line_config() -> Config {
    ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build()
}

/// Logs one event as a line of key=value pairs.
///
/// # Examples
///
/// ```
/// use log::Level;
/// use ragwortgated::log_event;
///
/// log_event!(Level::Info, "lease_lost", vm = "vm-1", silent_ms = 1200);
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:expr, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!(target: $crate::logs::LOG_TARGET, $level) {
            let line = $crate::logs::EventLine::new($level, $event)
                $(.with(stringify!($key), &$value))*;
            log::log!(target: $crate::logs::LOG_TARGET, $level, "{}", line.as_str());
        }
    };
}

/// One line of the log under construction; [`log_event!`](crate::log_event) uses it.
#[derive(Debug)]
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// Starts a line with the time in milliseconds since the Unix epoch, the level and the event.
    pub fn new(level: Level, event: &str) -> Self {
        let time_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let line = Self {
            text: format!("time_ms={time_ms}"),
        };
        line.with("level", &level.as_str().to_ascii_lowercase())
            .with("event", &event)
    }

    /// Adds a key and a value; a value with spaces, quotes or line breaks is quoted.
    pub fn with(mut self, key: &str, value: &dyn fmt::Display) -> Self {
        let value = value.to_string();
        // Otherwise a caller's text in a value could end the line and forge an event.
        let plain = |letter: char| letter.is_ascii_graphic() && !matches!(letter, '"' | '=');
        let written = if !value.is_empty() && value.chars().all(plain) {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string can't fail");
        self
    }

    /// Returns the line as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
