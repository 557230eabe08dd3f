//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_micros() as f64 / 1e6;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.4} {text}");
    }

    /// Notes a line, and prints it as well.
    pub fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.note(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
