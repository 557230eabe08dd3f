//! A child process has stopped completely when `ChildProcess::freeze` returns.

use ragwort_lab::process::ChildProcess;
use ragwort_lab::process::pick_address;
use std::fs;
use std::hint;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// The number of times that the child is frozen and thawed.
const FREEZES: usize = 100;

/// Returns the states of a process's threads as in `/proc`, one letter each; `T` is stopped.
fn read_states(id: u32) -> String {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).unwrap();
    let states = tasks.map(|task| {
        let text = fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
        let (_, rest) = text.rsplit_once(") ").unwrap();
        rest.chars().next().unwrap()
    });
    states.collect()
}

/// Guards against a frozen endpoint that still answers. SIGSTOP only requests the stop: each thread
/// keeps running until it is next scheduled, which took up to 27 ms on a busy machine, and one of
/// them answered a write in that time. Tests that rely on a frozen process then report a fault that
/// isn't there, or miss one. Seen as `STATES RSSSSS stopped after 26.943333ms`.
#[test]
fn all_threads_have_stopped_when_freeze_returns() {
    let folder = std::env::temp_dir().join(format!("lab-still-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (data, agent) = (pick_address(), pick_address());
    let text = format!(
        "endpoint --group cases --instance a --domain d --data {data} --agent {agent} \
         --announce 127.0.0.1:1 --connect-ms 0 --service-ms 1 --primary",
    );
    let arguments: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_ragwort-lab"));
    let mut child = ChildProcess::spawn("endpoint", program, &arguments, &folder).unwrap();
    let stop = AtomicBool::new(false);
    let mut moving = Vec::new();
    thread::scope(|scope| {
        // Keeps all processors busy, so that threads of the child wait to be scheduled.
        for _ in 0..thread::available_parallelism().unwrap().get() {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    hint::spin_loop();
                }
            });
        }
        for _ in 0..FREEZES {
            child.freeze().unwrap();
            let states = read_states(child.id());
            child.thaw().unwrap();
            moving.extend((states.chars().any(|state| state != 'T')).then_some(states));
        }
        stop.store(true, Ordering::Relaxed);
    });
    drop(child);
    fs::remove_dir_all(&folder).unwrap();
    assert!(
        moving.is_empty(),
        "{} of {FREEZES}: {moving:?}",
        moving.len()
    );
}
