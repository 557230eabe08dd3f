//! Addresses that tests, demo and soak pick for the processes that they start.

use ragwort_lab::process::pick_address;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Picks that are tried while children are started beside them.
const PICKS: usize = 3_000;

/// What became of a picked address when it was used at once.
#[derive(Debug, Default, PartialEq, Eq)]
struct PickFaults {
    /// Somebody took a connection there, though nobody had been started.
    answered: usize,
    /// It could not be bound.
    taken: usize,
}

impl PickFaults {
    fn try_pick(&mut self, address: SocketAddr) {
        self.answered += usize::from(TcpStream::connect(address).is_ok());
        self.taken += usize::from(TcpListener::bind(address).is_err());
    }
}

/// Starts children one after the other until told to stop.
fn start_children(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        Command::new("true").status().unwrap();
    }
}

/// A test picks an address while another test of the same process starts a child. The child inherits all
/// open sockets until it has become its own program, so a listener with which the picker tried the port
/// lived on there for a moment after it was closed here. Whoever asked whether a started endpoint listens
/// was told yes by that listener, and found its connection closed a moment later ("connection closed",
/// "error communicating with the server"); a relay found its address in use. So verdicts of CI and of the
/// soak told of faults that the product doesn't have.
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
