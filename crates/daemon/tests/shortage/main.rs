//! A VM that has no descriptor left. In a process of its own, whose limit the test lowers.

#[macro_use]
#[path = "../native/cases.rs"]
mod cases;
#[expect(dead_code, reason = "few of its helpers are used here")]
#[path = "../native/bench.rs"]
mod bench;
#[path = "../native/codec.rs"]
mod codec;
#[expect(dead_code, reason = "no endpoint dies here")]
#[path = "../native/endpoint.rs"]
mod endpoint;

use bench::Ask;
use bench::NativeBench;
use bench::WRITE;
use bench::is_served;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use ragwortgated::shortage::count_shortages;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::time::sleep;

/// How long the VM lacks descriptors: several times as long as a silent primary is taken for alive.
const SHORTAGE: Duration = Duration::from_secs(1);

failure_cases! {
    /// Failed connections for want of descriptors counted against the primary, which was replaced alive.
    vm_without_descriptors_replaces_no_primary => shortage_case();
}

/// Lets the process open no further descriptor; returns the limit that was in force.
fn exhaust_descriptors() -> Rlimit {
    let before = getrlimit(Resource::Nofile);
    // The lowest free number is the first that is refused.
    let lowest = File::open("/dev/null").unwrap().as_raw_fd();
    let limit = Rlimit {
        current: Some(u64::try_from(lowest).unwrap()),
        maximum: before.maximum,
    };
    setrlimit(Resource::Nofile, limit).unwrap();
    before
}

async fn shortage_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let before = exhaust_descriptors();
    // Each holds a connection, so that others have to be opened.
    let begin = |_| {
        let step = TransactionStep::Begin(TransactionId::fresh());
        Ask::new(WRITE, "write record").step(step)
    };
    for ask in (0..8).map(begin) {
        drop(bench.send(ask).await);
    }
    sleep(SHORTAGE).await;
    setrlimit(Resource::Nofile, before).unwrap();
    assert!(count_shortages() > 0, "nothing was short");
    assert!(bench.promotions.orders.lock().unwrap().is_empty());
    let after = bench.ask(Ask::new(WRITE, "write after")).await;
    assert!(is_served(&after), "{after:?}");
}
