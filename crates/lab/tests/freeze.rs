//! What it means that a child process is frozen.

use ragwort_lab::process::ChildProcess;
use ragwort_lab::process::pick_address;
use std::fs;
use std::hint;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Freezes that are tried.
const FREEZES: usize = 100;

/// Returns the state of each of a process's threads, as the system names them: `T` is stopped.
fn read_states(id: u32) -> String {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).unwrap();
    let states = tasks.map(|task| {
        let text = fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
        let (_, rest) = text.rsplit_once(") ").unwrap();
        rest.chars().next().unwrap()
    });
    states.collect()
}

/// A test freezes an endpoint and sends it a write, which must stay unanswered. The signal only asks for
/// the stop: each thread goes on until it runs the next time, on a busy machine for up to 27 ms, and one
/// of them answered the write. A test that relies on a frozen process then tells of a fault that isn't
/// there, or misses one. `STATES RSSSSS stopped after 26.943333ms` showed it.
#[test]
fn frozen_child_stands_still_when_freeze_returns() {
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
        // The machine is busy: a thread that is told to stop has to wait for its turn.
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
