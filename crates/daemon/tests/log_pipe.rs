//! Standard output that nobody reads.

use ragwortgated::logs::LogPipe;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

/// How long the test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(60);

/// An output that blocks until it is opened, and keeps what it was given.
#[derive(Clone, Default)]
struct GatedOutput(Arc<(Mutex<GateState>, Condvar)>);

#[derive(Default)]
struct GateState {
    open: bool,
    text: Vec<u8>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        while !state.open {
            state = changed.wait(state).unwrap();
        }
        state.text.extend_from_slice(bytes);
        changed.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the daemon's output stops reading, and the daemon goes on under load. It must not
/// stop with it: callers would see requests hang. When the reader is back it must learn that lines
/// are missing, and how many.
#[test]
fn unread_output_stops_nobody() {
    let output = GatedOutput::default();
    let mut pipe = LogPipe::start(output.clone());
    // Many times what may wait; a pipe that blocked would never get through this.
    for number in 0..200_000 {
        writeln!(pipe, "line={number}").unwrap();
    }
    let (state, changed) = &*output.0;
    state.lock().unwrap().open = true;
    changed.notify_all();
    let told = |state: &mut GateState| {
        !String::from_utf8_lossy(&state.text).contains("event=log_lines_dropped count=")
    };
    let held = state.lock().unwrap();
    let (held, waited) = changed.wait_timeout_while(held, PATIENCE, told).unwrap();
    assert!(!waited.timed_out());
    assert!(held.text.starts_with(b"line=0\n"));
}
