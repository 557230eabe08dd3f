//! Sessions, queries, prepared statements and transactions through the driver.

use crate::fake::Bench;
use crate::fake::done;
use crate::fake::failed;
use crate::fake::limits;
use crate::fake::one_row;
use ragwort_types::KindName;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::TransactionStep;
use ragwortgated::callers::StatementShape;
use tokio::sync::mpsc;
use tokio_postgres::AsyncMessage;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::Type;

#[tokio::test]
async fn simple_query_gets_its_rows() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let messages = client.simple_query("select 'x'").await.unwrap();
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    assert_eq!(row.unwrap().get("text"), Some("select 'x'"));
    let seen = bench.service.seen.borrow().requests[0].clone();
    assert_eq!(seen.parameters, None);
    assert_eq!(seen.step, TransactionStep::Single);
    drop(client);
    bench.finish().await;
}

#[tokio::test]
async fn text_is_forwarded_unchanged() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let text = " /* note */ select\t'é; $1 /*'  -- end\n ;";
    client.simple_query(text).await.unwrap();
    assert_eq!(bench.service.texts(), [text]);
}

#[tokio::test]
async fn marks_reach_the_service() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client
        .simple_query("/*kind='grant',deadline_ms='500'*/ insert into g values (1)")
        .await
        .unwrap();
    let marks = bench.service.seen.borrow().requests[0].marks.clone();
    assert_eq!(marks.kind, Some(KindName::from("grant")));
    assert_eq!(marks.deadline_ms, Some(500));
}

#[tokio::test]
async fn typed_query_sends_parameters_as_text() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let rows = client
        .query_typed(
            "select $1, $2, $3, $4, $5",
            &[
                (&"Nangula", Type::TEXT),
                (&-7_i64, Type::INT8),
                (&true, Type::BOOL),
                (&None::<&str>, Type::TEXT),
                (&[1_u8, 255].as_slice(), Type::BYTEA),
            ],
        )
        .await
        .unwrap();
    assert_eq!(rows[0].get::<_, &str>("text"), "select $1, $2, $3, $4, $5");
    let parameters = bench.service.seen.borrow().requests[0].parameters.clone();
    let text = |value: &str| Some(value.to_owned());
    let expected = vec![
        text("Nangula"),
        text("-7"),
        text("true"),
        None,
        text("\\x01ff"),
    ];
    assert_eq!(parameters, Some(expected));
    // The answer supplied its description, so the service was not asked for one.
    assert!(bench.service.seen.borrow().described.is_empty());
}

#[tokio::test]
async fn prepared_statement_is_described_once_and_runs_often() {
    let bench = Bench::start(limits()).await;
    *bench.service.shape.lock().unwrap() = Some(StatementShape {
        parameters: 1,
        columns: vec!["text".to_owned()],
    });
    let client = bench.connect().await;
    let statement = client.prepare("select $1").await.unwrap();
    for name in ["a", "b"] {
        let rows = client.query(&statement, &[&name]).await.unwrap();
        assert_eq!(rows[0].get::<_, &str>(0), "select $1");
    }
    assert_eq!(bench.service.seen.borrow().described.len(), 1);
    assert_eq!(bench.service.seen.borrow().requests.len(), 2);
}

#[tokio::test]
async fn statement_that_cannot_be_described_is_not_run() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let error = client.prepare("select 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "0A000");
    assert!(bench.service.texts().is_empty());
    // The session continues.
    client.simple_query("select 2").await.unwrap();
}

/// The columns of a prepared statement changed after it was described, for example because a table
/// was altered. Passed on, the answer's values would be read under the wrong names.
#[tokio::test]
async fn answer_with_other_columns_is_not_passed_on() {
    let bench = Bench::start(limits()).await;
    *bench.service.shape.lock().unwrap() = Some(StatementShape {
        parameters: 0,
        columns: vec!["amount".to_owned()],
    });
    let client = bench.connect().await;
    let statement = client.prepare("select amount from g").await.unwrap();
    let error = client.query(&statement, &[]).await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "XX000");
    assert_eq!(error.detail(), Some("the request has run"));
}

#[tokio::test]
async fn session_name_comes_from_the_options() {
    let bench = Bench::start(limits()).await;
    let mut config = bench.config();
    config.options("-c ragwort.session=desk\\ 4");
    let (_client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    let identity = bench.service.seen.borrow().opened[0].clone();
    assert_eq!(identity.session.as_str(), "desk 4");
    assert_eq!(identity.customer.as_str(), "omuti");
    assert_eq!(identity.group.as_str(), "cases");
}

#[tokio::test]
async fn notice_names_the_serving_instance_on_request() {
    let bench = Bench::start(limits()).await;
    let mut config = bench.config();
    config.options("-c ragwort.notice=on");
    let (client, mut connection) = config.connect(NoTls).await.unwrap();
    let (notices, mut received) = mpsc::unbounded_channel();
    tokio::spawn(std::future::poll_fn(move |context| {
        loop {
            match std::task::ready!(connection.poll_message(context)) {
                Some(Ok(AsyncMessage::Notice(notice))) => {
                    notices.send(notice.message().to_owned()).unwrap();
                }
                Some(Ok(_)) => {}
                _ => return std::task::Poll::Ready(()),
            }
        }
    }));
    client.simple_query("select 1").await.unwrap();
    let notice = received.recv().await.unwrap();
    assert_eq!(notice, "served by cases-2 replica=true position=3/41");
}

fn steps_of(bench: &Bench) -> Vec<&'static str> {
    let seen = bench.service.seen.borrow();
    seen.requests
        .iter()
        .map(|request| match request.step {
            TransactionStep::Single => "single",
            TransactionStep::Begin(_) => "begin",
            TransactionStep::Within(_) => "within",
            TransactionStep::Commit(_) => "commit",
            TransactionStep::Rollback(_) => "rollback",
        })
        .collect()
}

#[tokio::test]
async fn transaction_keeps_one_id_from_begin_to_commit() {
    let bench = Bench::start(limits()).await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .batch_execute("update a set b = 1")
        .await
        .unwrap();
    transaction
        .batch_execute("rollback to savepoint s")
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    client.batch_execute("select 1").await.unwrap();
    assert_eq!(
        steps_of(&bench),
        ["begin", "within", "within", "commit", "single"]
    );
    let seen = bench.service.seen.borrow();
    let first = seen.requests[0].step.transaction();
    assert!(
        seen.requests[..4]
            .iter()
            .all(|r| r.step.transaction() == first)
    );
}

#[tokio::test]
async fn failed_transaction_accepts_only_its_end() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.batch_execute("begin").await.unwrap();
    bench.service.next_verdict(failed("23505"));
    let error = client
        .batch_execute("insert into g values (1)")
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "23505");
    let error = client.batch_execute("select 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    // As in PostgreSQL, the commit of a failed transaction is a rollback.
    client.batch_execute("commit").await.unwrap();
    client.batch_execute("select 2").await.unwrap();
    assert_eq!(steps_of(&bench), ["begin", "within", "rollback", "single"]);
}

/// The leaseholder is lost in the middle of a transaction, and its successor doesn't have the
/// transaction. If the session continued, the rest would commit without the first half.
#[tokio::test]
async fn lost_transaction_is_over_for_the_session() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.batch_execute("begin").await.unwrap();
    let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
    bench.service.next_verdict(lost);
    let error = client
        .batch_execute("update a set b = 1")
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "40000");
    let error = client
        .batch_execute("update a set b = 2")
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.batch_execute("rollback").await.unwrap();
    client.batch_execute("select 1").await.unwrap();
    assert_eq!(steps_of(&bench), ["begin", "within", "single"]);
}

#[tokio::test]
async fn end_without_transaction_runs_nothing() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.batch_execute("commit").await.unwrap();
    client.batch_execute("  -- nothing\n ;").await.unwrap();
    assert!(bench.service.texts().is_empty());
}

/// A caller disconnects in the middle of a transaction. Without a rollback the transaction would
/// pin one of the endpoint's few connections until its deadline.
#[tokio::test]
async fn caller_that_leaves_has_its_transaction_rolled_back() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.batch_execute("begin").await.unwrap();
    drop(client);
    bench.service.wait_seen(|seen| seen.closed.len() == 1).await;
    assert_eq!(steps_of(&bench), ["begin", "rollback"]);
}

/// Each case is a statement that changes the state of a shared connection, which the next customer
/// on it would see. It must be refused.
macro_rules! unsupported {
    ($($name:ident: $text:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bench = Bench::start(limits()).await;
            let client = bench.connect().await;
            let error = client.batch_execute($text).await.unwrap_err();
            let error = error.as_db_error().unwrap();
            assert_eq!(error.code().code(), "0A000");
            assert_eq!(error.detail(), Some("the request was not run"));
            assert!(bench.service.texts().is_empty());
        }
    )*};
}

unsupported! {
    setting_is_refused: "SET search_path TO other";
    second_statement_is_refused: "select 1; begin";
    prepared_transaction_is_refused: "prepare transaction 'x'";
    role_is_refused: "set role x";
    temporary_table_is_refused: "create temp table t (a int)";
    subscription_is_refused: "listen grants";
    copy_is_refused: "copy g from stdin";
}

#[tokio::test]
async fn chained_transaction_is_refused() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.batch_execute("begin").await.unwrap();
    let error = client.batch_execute("commit and chain").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "0A000");
    client.batch_execute("rollback").await.unwrap();
    assert_eq!(steps_of(&bench), ["begin", "rollback"]);
}

#[tokio::test]
async fn affected_rows_are_counted() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    bench.service.next_verdict(done(3));
    let count = client
        .execute_typed("update a set b = 1", &[])
        .await
        .unwrap();
    assert_eq!(count, 3);
    bench.service.next_verdict(one_row("9"));
    let rows = client
        .query_typed("insert into g values (1) returning id", &[])
        .await
        .unwrap();
    assert_eq!(rows[0].get::<_, &str>(0), "9");
}
