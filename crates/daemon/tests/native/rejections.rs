//! Statements that an endpoint rejects because it takes no more at present.

use crate::bench::AGED;
use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use ragwort_types::EndpointFaultKind;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

failure_cases! {
    /// Both replicas reject a read. It hasn't run, so it is sent to the primary and runs once.
    read_that_replicas_reject_runs_elsewhere => rejected_read_case();
    /// The primary rejects a write four times. Nobody else may run it, and with three dispatches in
    /// a row its caller was refused within a few milliseconds.
    write_that_the_primary_rejects_runs_once => rejected_write_case();
    /// The primary rejects a statement of an open transaction, which stays open. Without a further
    /// dispatch on its connection the whole transaction would be lost.
    rejected_statement_of_a_transaction_runs_on_its_connection => rejected_step_case();
    /// A replica fails a read that it ran. A read may run twice, so another endpoint answers it.
    read_that_a_replica_fails_runs_elsewhere => failed_read_case();
}

fn add_faults(
    bench: &NativeBench,
    index: usize,
    text: &str,
    sort: EndpointFaultKind,
    count: usize,
) {
    let faults = std::iter::repeat_n((text.to_owned(), sort), count);
    bench.endpoints[index].script().faults.extend(faults);
}

async fn rejected_read_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for replica in [1, 2] {
        add_faults(&bench, replica, "read shelf", EndpointFaultKind::Busy, 1);
    }
    let reply = bench.ask(TestStatement::new(AGED, "read shelf")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("read shelf"), 1);
}

async fn rejected_write_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    add_faults(&bench, 0, "write record", EndpointFaultKind::Busy, 4);
    let reply = bench.ask(TestStatement::new(WRITE, "write record")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write record"), 1);
}

async fn rejected_step_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let id = TransactionId::fresh();
    let first = TestStatement::new(WRITE, "write first").step(TransactionStep::Begin(id));
    let reply = bench.ask(first).await;
    assert!(is_served(&reply), "{reply:?}");
    add_faults(&bench, 0, "write second", EndpointFaultKind::Busy, 2);
    let second = TestStatement::new(WRITE, "write second").step(TransactionStep::Within(id));
    let reply = bench.ask(second).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(bench.count_runs("write second"), 1);
    let ran = bench.endpoints[0].script().ran.clone();
    let connection_of = |text: &str| {
        let found = ran.iter().find(|ran| ran.text == text);
        found.map(|ran| ran.connection)
    };
    assert!(connection_of("write first").is_some());
    assert_eq!(connection_of("write first"), connection_of("write second"));
}

async fn failed_read_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for replica in [1, 2] {
        add_faults(&bench, replica, "read shelf", EndpointFaultKind::Failed, 1);
    }
    let reply = bench.ask(TestStatement::new(AGED, "read shelf")).await;
    assert!(is_served(&reply), "{reply:?}");
    assert_eq!(reply.served_by.unwrap().instance.as_str(), "cases-1");
}
