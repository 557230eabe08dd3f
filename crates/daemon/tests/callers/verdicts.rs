//! The error that a caller receives for each verdict and each refused session.

use crate::fake::Bench;
use crate::fake::limits;
use ragwort_types::DoubtCause;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwortgated::callers::SessionRefusal;
use tokio_postgres::NoTls;

/// Each case is a refusal and its SQLSTATE; the hint must name the time to wait, if there is one.
macro_rules! refusal {
    ($($name:ident: $cause:ident => $sqlstate:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bench = Bench::start(limits()).await;
            let client = bench.connect().await;
            bench.service.next_verdict(RequestVerdict::refused(RefusalCause::$cause, 40));
            bench.service.next_verdict(RequestVerdict::refused(RefusalCause::$cause, 0));
            for hint in [Some("come back after 40 ms"), None] {
                let error = client.simple_query("select 1").await.unwrap_err();
                let error = error.as_db_error().unwrap();
                assert_eq!(error.code().code(), $sqlstate);
                assert_eq!(error.detail(), Some("the request was not run"));
                assert_eq!(error.hint(), hint);
            }
            client.simple_query("select 2").await.unwrap();
        }
    )*};
}

refusal! {
    overload: Overload => "53300";
    limit: Limit => "53400";
    deadline_out_of_reach: DeadlineOutOfReach => "57014";
    deadline_passed: DeadlinePassed => "57014";
    no_primary: NoPrimary => "57P03";
    replicas_behind: ReplicasBehind => "57P03";
    no_leaseholder: NoLeaseholder => "57P03";
    no_lease: NoLease => "57P03";
    endpoint_refused: EndpointRefused => "57P03";
    draining: Draining => "57P01";
    contract: Contract => "42501";
    request_key: RequestKey => "22023";
    cancelled: Cancelled => "57014";
    transaction_lost: TransactionLost => "40000";
}

/// The endpoint is lost after a write was sent to it. A caller that took this for a refusal would
/// send the write again, and it could be applied twice.
#[tokio::test]
async fn unknown_outcome_is_reported_as_such() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::EndpointLost);
    bench.service.next_verdict(doubt);
    let error = client
        .simple_query("insert into g values (1)")
        .await
        .unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "08007");
    assert_eq!(error.detail(), Some("the request may have run"));
    assert_eq!(error.hint(), None);
}

/// The leaseholder is lost during a commit. The driver sends no rollback after a failed commit, so
/// the session must accept further statements at once.
#[tokio::test]
async fn commit_in_doubt_ends_the_transaction() {
    let bench = Bench::start(limits()).await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    let doubt = RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost);
    bench.service.next_verdict(doubt);
    let error = transaction.commit().await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "08007");
    client.simple_query("select 1").await.unwrap();
}

/// The service returns the answer of another statement, as after a mix-up on a connection. The
/// caller must never receive another caller's rows.
#[tokio::test]
async fn answer_of_another_statement_is_not_passed_on() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    *bench.service.wrong_id.lock().unwrap() = true;
    let error = client.simple_query("select 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "08007");
    let failures = r#"ragwort_invariant_failures_total{point="own_answer_only"} 1"#;
    assert!(bench.metrics.to_text().contains(failures));
}

#[tokio::test]
async fn malformed_marks_are_reported_and_nothing_runs() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let error = client
        .simple_query("/*kind=grant*/ select 1")
        .await
        .unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "22023");
    assert_eq!(error.detail(), Some("the request was not run"));
    assert!(bench.service.texts().is_empty());
}

/// Each case is a reason to refuse a session and its SQLSTATE.
macro_rules! refused_session {
    ($($name:ident: $refusal:expr => $sqlstate:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bench = Bench::start(limits()).await;
            *bench.service.refusal.lock().unwrap() = Some($refusal);
            let error = bench.config().connect(NoTls).await.err().unwrap();
            assert_eq!(error.code().unwrap().code(), $sqlstate);
            bench.finish().await;
        }
    )*};
}

refused_session! {
    customer_without_contract: SessionRefusal::NoContract => "28000";
    group_outside_contract: SessionRefusal::UnknownGroup => "3D000";
    too_many_sessions: SessionRefusal::TooManySessions { come_back_after_ms: 5 } => "53300";
    session_while_draining: SessionRefusal::Draining => "57P01";
    session_at_a_start: SessionRefusal::Starting { come_back_after_ms: 5 } => "57P03";
    session_without_lease: SessionRefusal::NotReady { come_back_after_ms: 5 } => "57P03";
}

#[tokio::test]
async fn unknown_option_is_refused() {
    let bench = Bench::start(limits()).await;
    let mut config = bench.config();
    config.options("-c search_path=other");
    let error = config.connect(NoTls).await.err().unwrap();
    assert_eq!(error.code().unwrap().code(), "22023");
}
