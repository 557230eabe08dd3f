//! A VM that runs out of file descriptors. The test lowers the limit of its whole process, and so
//! is the only one in its test binary.

#[macro_use]
#[path = "../native/cases.rs"]
mod cases;
#[expect(dead_code, reason = "few of its helpers are used here")]
#[path = "../native/bench.rs"]
mod bench;
#[path = "../native/catalog.rs"]
mod catalog;
#[path = "../native/codec.rs"]
mod codec;
#[expect(dead_code, reason = "no endpoint dies here")]
#[path = "../native/endpoint.rs"]
mod endpoint;

use bench::NativeBench;
use bench::TestStatement;
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

/// The duration of the descriptor shortage: several times the silence after which a primary is
/// suspected.
const SHORTAGE: Duration = Duration::from_secs(1);

failure_cases! {
    /// Connection attempts that fail for want of descriptors are no sign of a dead primary. When
    /// they were counted as one, a live primary was replaced.
    vm_without_descriptors_replaces_no_primary => shortage_case();
}

/// Lowers the process's descriptor limit so that no further one can be opened; returns the former
/// limit.
fn exhaust_descriptors() -> Rlimit {
    let before = getrlimit(Resource::Nofile);
    // Descriptors take the lowest free number, and numbers from the limit upwards are refused.
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
    // Each transaction occupies a connection, so that new ones have to be opened.
    let begin = |_| {
        let step = TransactionStep::Begin(TransactionId::fresh());
        TestStatement::new(WRITE, "write record").step(step)
    };
    for ask in (0..8).map(begin) {
        drop(bench.send(ask).await);
    }
    sleep(SHORTAGE).await;
    setrlimit(Resource::Nofile, before).unwrap();
    assert!(count_shortages() > 0, "no shortage was counted");
    assert!(bench.promotions.orders.lock().unwrap().is_empty());
    let after = bench.ask(TestStatement::new(WRITE, "write after")).await;
    assert!(is_served(&after), "{after:?}");
}
