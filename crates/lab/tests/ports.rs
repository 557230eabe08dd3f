//! Selection of addresses for processes that are about to be started.

use ragwort_lab::process::pick_address;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// The number of addresses that are picked while other threads start child processes.
const PICKS: usize = 3_000;

/// The numbers of picked addresses that were in use.
#[derive(Debug, Default, PartialEq, Eq)]
struct PickFaults {
    /// A connection was accepted although no process had been started.
    answered: usize,
    /// The address could not be bound.
    unbindable: usize,
}

impl PickFaults {
    fn try_pick(&mut self, address: SocketAddr) {
        self.answered += usize::from(TcpStream::connect(address).is_ok());
        self.unbindable += usize::from(TcpListener::bind(address).is_err());
    }
}

/// Starts child processes one after the other until `stop` is set.
fn start_children(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        Command::new("true").status().unwrap();
    }
}

/// Guards against a port check that binds a trial listener. A child process that another thread
/// starts at that moment inherits the listener and keeps it open until its own program is loaded,
/// after it was closed here. Tests that waited for an endpoint to listen connected to that listener
/// and then failed with "connection closed" or "error communicating with the server", and relays
/// found their address in use, although the product had no fault.
#[test]
fn picked_address_is_free_while_children_start() {
    let stop = AtomicBool::new(false);
    let mut faults = PickFaults::default();
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| start_children(&stop));
        }
        for _ in 0..PICKS {
            faults.try_pick(pick_address());
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(faults, PickFaults::default());
}
