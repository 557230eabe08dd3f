//! Misbehaving callers, cancel requests, connection limits, and the drain.

use crate::fake::Bench;
use crate::fake::limits;
use crate::fake::message;
use crate::fake::read_to_end;
use ragwortgated::callers::CallerLimits;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

fn quick() -> CallerLimits {
    CallerLimits {
        statement: Duration::from_millis(50),
        ..limits()
    }
}

/// A caller cancels its running statement.
#[tokio::test]
async fn cancel_reaches_the_running_statement() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let token = client.cancel_token();
    let running = tokio::spawn(async move { client.simple_query("select held").await });
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 1)
        .await;
    token.cancel_query(NoTls).await.unwrap();
    let error = running.await.unwrap().unwrap_err();
    assert_eq!(error.code().unwrap().code(), "57014");
}

/// A cancel request crosses the answer of the statement that it was meant for. If it were kept, it
/// would cancel the session's next statement.
#[tokio::test]
async fn late_cancel_does_not_hit_the_next_statement() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    client.simple_query("select 1").await.unwrap();
    client.cancel_token().cancel_query(NoTls).await.unwrap();
    // Cancel requests pass the edge in order, so the one above has been handled once this one has.
    let other = bench.connect().await;
    let token = other.cancel_token();
    let running = tokio::spawn(async move { other.simple_query("select held 1").await });
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 2)
        .await;
    token.cancel_query(NoTls).await.unwrap();
    running.await.unwrap().unwrap_err();

    let running = tokio::spawn(async move { client.simple_query("select held 2").await });
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 3)
        .await;
    bench.service.released.send_replace(true);
    running.await.unwrap().unwrap();
    assert_eq!(bench.service.seen.borrow().cancelled.len(), 1);
}

/// A cancel request has the process id of another session and a guessed secret.
#[tokio::test]
async fn cancel_with_a_wrong_key_does_nothing() {
    let bench = Bench::start(limits()).await;
    let client = bench.connect().await;
    let running = tokio::spawn(async move { client.simple_query("select held").await });
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 1)
        .await;
    let mut stream = TcpStream::connect(bench.address).await.unwrap();
    let mut request = 16_i32.to_be_bytes().to_vec();
    request.extend(80_877_102_i32.to_be_bytes());
    request.extend(1_i32.to_be_bytes());
    request.extend(0_i32.to_be_bytes());
    stream.write_all(&request).await.unwrap();
    read_to_end(&mut stream).await;
    bench.service.released.send_replace(true);
    running.await.unwrap().unwrap();
    assert!(bench.service.seen.borrow().cancelled.is_empty());
}

/// A caller disconnects while its statement waits, which cancels the statement and frees its place
/// in the queue.
#[tokio::test]
async fn caller_that_leaves_cancels_its_statement() {
    let bench = Bench::start(limits()).await;
    let mut stream = bench.connect_raw().await;
    let query = message(b'Q', b"select held\0");
    stream.write_all(&query).await.unwrap();
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 1)
        .await;
    drop(stream);
    bench.service.wait_seen(|seen| seen.closed.len() == 1).await;
    assert_eq!(bench.service.seen.borrow().cancelled.len(), 1);
}

/// Each case sends invalid bytes, and expects an error with the SQLSTATE, the end of the
/// connection, and that another caller is still served.
macro_rules! bad_bytes {
    ($($name:ident: $limits:expr, $bytes:expr => $sqlstate:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bench = Bench::start($limits).await;
            let mut stream = bench.connect_raw().await;
            let bytes: Vec<u8> = $bytes;
            stream.write_all(&bytes).await.unwrap();
            let reply = read_to_end(&mut stream).await;
            assert!(reply.contains(concat!("\0C", $sqlstate, "\0")), "{reply:?}");
            assert!(reply.contains("the request was not run"), "{reply:?}");
            assert!(bench.service.texts().is_empty());
            let client = bench.connect().await;
            client.simple_query("select 1").await.unwrap();
        }
    )*};
}

bad_bytes! {
    unknown_message: limits(), message(b'?', b"") => "08P01";
    length_below_four: limits(), vec![b'Q', 0, 0, 0, 3] => "08P01";
    oversized_message: limits(), vec![b'Q', 0, 1, 0, 1] => "54000";
    parse_that_ends_early: limits(), message(b'P', b"s\0select 1\0") => "08P01";
    parameter_beyond_its_message: limits(),
        [message(b'P', b"\0select 1\0\0\0"), message(b'B', b"\0\0\0\0\0\x01\0\0\0\x63x\0\0")].concat()
        => "08P01";
    message_with_bytes_left: limits(), message(b'Q', b"select 1\0select 2\0") => "08P01";
    text_that_is_not_utf8: limits(), message(b'Q', b"select '\xff'\0") => "22021";
    slow_sender: quick(), message(b'Q', b"select 1\0")[..6].to_vec() => "08P01";
}

/// A caller opens a connection and sends nothing, as a port scanner does.
#[tokio::test]
async fn silent_start_up_times_out() {
    let silent = CallerLimits {
        startup: Duration::from_millis(50),
        ..limits()
    };
    let bench = Bench::start(silent).await;
    let mut stream = TcpStream::connect(bench.address).await.unwrap();
    assert_eq!(read_to_end(&mut stream).await, "");
}

/// A caller doesn't read its answer. Without a time limit the answer would occupy the gateway's
/// memory for good.
#[tokio::test]
async fn slow_receiver_loses_its_connection() {
    let bench = Bench::start(quick()).await;
    let mut stream = bench.connect_raw().await;
    let large = "x".repeat(32 << 20);
    bench.service.next_verdict(crate::fake::one_row(&large));
    let query = message(b'Q', b"select large\0");
    stream.write_all(&query).await.unwrap();
    bench.service.wait_seen(|seen| seen.closed.len() == 1).await;
    let fault = r#"ragwort_caller_faults_total{fault="slow_receiver"} 1"#;
    assert!(bench.metrics.to_text().contains(fault));
}

#[tokio::test]
async fn connections_over_the_limit_get_an_error() {
    let one = CallerLimits {
        connections: 1,
        ..limits()
    };
    let bench = Bench::start(one).await;
    let client = bench.connect().await;
    let error = bench.config().connect(NoTls).await.err().unwrap();
    assert_eq!(error.code().unwrap().code(), "53300");
    client.simple_query("select 1").await.unwrap();
}

/// The gateway is shut down while one caller waits for an answer, one has an open transaction and
/// one is idle. The first receives its answer, the second can commit, and the third is
/// disconnected.
#[tokio::test]
async fn drain_cuts_nothing_in_flight() {
    let bench = Bench::start(limits()).await;
    let waiting = bench.connect().await;
    let within = bench.connect().await;
    let idle = bench.connect().await;
    within.batch_execute("begin").await.unwrap();
    let running = tokio::spawn(async move { waiting.simple_query("select held").await });
    bench
        .service
        .wait_seen(|seen| seen.requests.len() == 2)
        .await;

    bench.drain.send_replace(true);
    bench.service.wait_seen(|seen| seen.closed.len() == 1).await;
    assert!(idle.simple_query("select 1").await.is_err());
    within.batch_execute("update a set b = 1").await.unwrap();
    within.batch_execute("commit").await.unwrap();
    bench.service.wait_seen(|seen| seen.closed.len() == 2).await;
    assert!(!bench.edge.is_finished());
    bench.service.released.send_replace(true);
    running.await.unwrap().unwrap();
    bench.finish().await;
}

/// A statement sent just as the drain closes its idle session is answered. If the session were
/// closed at once, the driver would report a closed connection and the outcome would be unknown.
#[tokio::test]
async fn statement_that_crosses_the_drain_is_answered() {
    let bench = Bench::start(limits()).await;
    let clients = [bench.connect().await, bench.connect().await];
    bench.drain.send_replace(true);
    // The edge has handled the drain once this connection has been served.
    let mut stream = bench.connect_raw().await;
    stream.write_all(&message(b'X', &[])).await.unwrap();
    read_to_end(&mut stream).await;
    for client in &clients {
        client.simple_query("select 1").await.unwrap();
    }
    // Each session ends after its answer, long before the drain's time limit.
    bench.service.wait_seen(|seen| seen.closed.len() == 3).await;
    for client in &clients {
        assert!(client.simple_query("select 2").await.is_err());
    }
    bench.finish().await;
}

/// An idle caller is sent the reason before its connection is closed, so that its pool reconnects
/// to another gateway.
#[tokio::test]
async fn drained_session_is_sent_the_reason() {
    let bench = Bench::start(limits()).await;
    let mut stream = bench.connect_raw().await;
    bench.drain.send_replace(true);
    let last_message = read_to_end(&mut stream).await;
    assert!(last_message.contains("\0C57P01\0"), "{last_message:?}");
    drop(stream);
    bench.finish().await;
}

/// A caller leaves its transaction open while the gateway is shut down. At the drain's time limit
/// the transaction is rolled back, so that it can't block the shutdown for good.
#[tokio::test]
async fn open_transaction_ends_with_the_drain_limit() {
    let short = CallerLimits {
        drain: Duration::from_millis(50),
        ..limits()
    };
    let bench = Bench::start(short).await;
    let client = bench.connect().await;
    client.batch_execute("begin").await.unwrap();
    let service = bench.service.clone();
    bench.finish().await;
    assert_eq!(service.texts(), ["begin", "ROLLBACK"]);
}
