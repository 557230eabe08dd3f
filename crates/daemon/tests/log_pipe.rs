//! The log pipe in front of a standard output that nobody reads.

use ragwortgated::logs::LogPipe;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

/// The time limit of the wait for the lines that must arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An output whose writes block until the test opens it, and which records them.
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

/// The reader of the daemon's output stops reading while the daemon goes on logging. Writes must
/// not block, or callers would see requests hang. When the reader is back, a line reports how many
/// lines were dropped.
#[test]
fn unread_output_does_not_block_the_daemon() {
    let output = GatedOutput::default();
    let mut pipe = LogPipe::start(output.clone());
    // Many times the pipe's capacity; a pipe that blocks would hang here.
    for number in 0..200_000 {
        writeln!(pipe, "line={number}").unwrap();
    }
    let (state, changed) = &*output.0;
    state.lock().unwrap().open = true;
    changed.notify_all();
    let not_reported = |state: &mut GateState| {
        !String::from_utf8_lossy(&state.text).contains("event=log_lines_dropped count=")
    };
    let guard = state.lock().unwrap();
    let (guard, waited) = changed
        .wait_timeout_while(guard, WAIT_TIMEOUT, not_reported)
        .unwrap();
    assert!(!waited.timed_out());
    assert!(guard.text.starts_with(b"line=0\n"));
}
