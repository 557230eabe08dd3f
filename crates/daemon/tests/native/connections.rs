//! Choice of a statement's connection, and the session state that is restored on it.

use crate::bench::AGED;
use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use crate::cases::wait_until;
use crate::catalog::KNOWN_ACCOUNT;
use crate::catalog::KNOWN_KEY;
use ragwort_types::EndpointFaultKind;
use ragwort_types::KeyDigest;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use std::time::Duration;
use tokio::time::sleep;

failure_cases! {
    /// Statements of other sessions run between the two of a transaction. On another connection the
    /// second one wouldn't see the first, and the commit would cover only a part.
    transaction_stays_on_its_connection => transaction_case();
    /// A session has set its language. Its statements need the value on whichever connection they
    /// run, and statements of other sessions must not run with it.
    values_of_a_session_reach_its_statements_and_no_others => values_case();
    /// An endpoint rejected the first statement of a transaction, which failed with it. The reset of
    /// its idle connection was rejected too and counted as done, and a statement of another session
    /// ran with the values that were still there.
    connection_left_in_a_failed_transaction_keeps_no_values => failed_transaction_case();
    /// As above, with an endpoint that has no capacity for the reset. The connection stays in use, and
    /// its values must not count as cleared.
    rejected_reset_clears_no_values => rejected_reset_case();
    /// The promoted instance had left connections in failed transactions. On these, the requests for
    /// its report were malformed, and the group had no primary until they were closed.
    report_on_a_connection_in_a_failed_transaction_is_answered => failed_report_case();
    /// Callers of two accounts take turns. Each connection is opened for an account, whose rights
    /// the endpoint applies to all statements on it. A statement on another account's connection
    /// would run with that account's rights.
    statements_run_on_connections_of_their_account => account_case();
    /// Ten accounts call, and the endpoint accepts only three connections, as it still counts those
    /// of a lost leaseholder. Each statement gets a connection in place of an idle one. Without the
    /// replacement, most accounts would be refused until the endpoint drops the lost connections.
    full_endpoint_serves_more_accounts_than_connections => full_case();
    /// Accounts call for the first time, then more of them than the endpoint takes connections.
    /// Operators must see from the metrics how many statements had to open a connection.
    connections_opened_for_statements_are_counted => count_case();
    /// A burst of transactions opened more connections than the process has descriptors for. None
    /// were left for the replicated log and the connections to other VMs.
    burst_of_transactions_stays_within_the_descriptors => descriptors_case();
    /// A contract admits only callers with a key. A caller without an account is refused. So is one
    /// whose gateway had no lease and passed on a key that its account no longer has.
    caller_without_a_key_in_force_is_refused => key_case();
    /// An address belongs to another instance by now. Statements for the former instance must not
    /// run on the new one.
    address_of_another_instance_gets_no_statements => wrong_instance_case();
}

/// The number of times that a statement is rejected: more than it is sent again.
const REJECTIONS: usize = 1_000;

/// Lets all endpoints take a single connection, on which all statements run then.
fn limit_to_one_connection(bench: &NativeBench) {
    for endpoint in &bench.endpoints {
        endpoint.script().connection_limit = 1;
    }
}

/// Lets an endpoint reject a statement each time.
fn reject(bench: &NativeBench, index: usize, text: &str) {
    let mut script = bench.endpoints[index].script();
    script.fails_transactions = true;
    script.faults = vec![(text.to_owned(), EndpointFaultKind::Busy); REJECTIONS];
}

/// Starts a group whose idle connections are validated often. The primary rejects each first
/// statement of a transaction, whose session has set a value.
async fn leave_failed_transaction() -> NativeBench {
    let timing = "announce_lost_ms: 60000, idle_ping_ms: 200";
    let mut bench = NativeBench::start_with_timing([5, 5, 5], timing).await;
    limit_to_one_connection(&bench);
    bench.settle().await;
    reject(&bench, 0, "write one");
    let open = TransactionStep::Begin(TransactionId::fresh());
    let begin = TestStatement::new(WRITE, "write one")
        .value("lang", "gu")
        .step(open);
    assert!(!is_served(&bench.ask(begin).await));
    bench
}

/// Counts the resets that the primary has answered.
fn count_resets(bench: &NativeBench) -> usize {
    let script = bench.endpoints[0].script();
    let resets = script.commands.iter().filter(|(_, line)| line == "reset");
    resets.count()
}

/// Runs statements of a session without values, and checks that none of them had any.
async fn expect_no_values(bench: &NativeBench) {
    for round in 0..20 {
        let text = format!("write plain {round}");
        let reply = bench.ask(TestStatement::new(WRITE, &text)).await;
        assert!(is_served(&reply), "{reply:?}");
    }
    let script = bench.endpoints[0].script();
    let plain = script
        .ran
        .iter()
        .filter(|ran| ran.text.starts_with("write plain"));
    let foreign: Vec<_> = plain.filter(|ran| !ran.values.is_empty()).collect();
    assert!(foreign.is_empty(), "{foreign:?}");
}

async fn failed_transaction_case() {
    let bench = leave_failed_transaction().await;
    let before = count_resets(&bench);
    wait_until(|| count_resets(&bench) >= before + 4).await;
    expect_no_values(&bench).await;
}

async fn rejected_reset_case() {
    let bench = leave_failed_transaction().await;
    let resets = ("reset".to_owned(), EndpointFaultKind::Busy);
    bench.endpoints[0].script().faults = vec![resets; REJECTIONS];
    let before = count_resets(&bench);
    wait_until(|| count_resets(&bench) >= before + 4).await;
    bench.endpoints[0].script().faults.clear();
    expect_no_values(&bench).await;
}

async fn failed_report_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    limit_to_one_connection(&bench);
    bench.settle().await;
    for index in 0..3 {
        reject(&bench, index, "read one");
    }
    let open = TransactionStep::Begin(TransactionId::fresh());
    let begin = TestStatement::new(AGED, "read one").step(open).read_only();
    assert!(!is_served(&bench.ask(begin).await));
    bench.endpoints[0].kill().await;
    let index = bench.wait_for_order().await;
    bench.lead(index);
    let reply = bench.ask(TestStatement::new(WRITE, "write after")).await;
    assert!(is_served(&reply), "{reply:?}");
}

async fn transaction_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let id = TransactionId::fresh();
    let first = TestStatement::new(WRITE, "write first").step(TransactionStep::Begin(id));
    let reply = bench.ask(first).await;
    assert!(is_served(&reply), "{reply:?}");
    let other = bench.ask(TestStatement::new(WRITE, "write other")).await;
    assert!(is_served(&other), "{other:?}");
    let second = TestStatement::new(WRITE, "write second").step(TransactionStep::Within(id));
    assert!(is_served(&bench.ask(second).await));
    let commit = TestStatement::new(WRITE, "commit").step(TransactionStep::Commit(id));
    assert!(is_served(&bench.ask(commit).await));
    let ran = bench.endpoints[0].script().ran.clone();
    let connection_of = |text: &str| {
        let found = ran.iter().find(|ran| ran.text == text);
        found.map(|ran| ran.connection)
    };
    let first = connection_of("write first").unwrap();
    assert_eq!(connection_of("write second"), Some(first));
    assert_eq!(connection_of("commit"), Some(first));
    assert_ne!(connection_of("write other"), Some(first));
}

async fn values_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for round in 0..4 {
        let text = format!("write set {round}");
        let reply = bench
            .ask(TestStatement::new(WRITE, &text).value("lang", "gu"))
            .await;
        assert!(is_served(&reply), "{reply:?}");
        let text = format!("write unset {round}");
        assert!(is_served(
            &bench.ask(TestStatement::new(WRITE, &text)).await
        ));
    }
    let commands = bench.endpoints[0].script().commands.clone();
    for (place, (connection, line)) in commands.iter().enumerate() {
        let Some((_, text)) = line.split_once("write ") else {
            continue;
        };
        let before = commands[..place].iter().rev();
        let mut before = before.filter(|(other, _)| other == connection);
        let shaping = before.find(|(_, line)| line.starts_with("set") || line == "reset");
        let set = shaping.is_some_and(|(_, line)| line == "set lang gu");
        assert_eq!(set, text.starts_with("set "), "{line} on {connection}");
    }
}

async fn account_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for round in 0..6 {
        for account in ["one", "two"] {
            let text = format!("write {account} {round}");
            let reply = bench
                .ask(TestStatement::new(WRITE, &text).account(account))
                .await;
            assert!(is_served(&reply), "{reply:?}");
        }
    }
    let script = bench.endpoints[0].script();
    for ran in script.ran.iter().filter(|ran| ran.text != "write settled") {
        let account = ran.text.split(' ').nth(1).unwrap();
        let opening = (ran.connection, format!("open cases-1 for {account}"));
        assert!(script.commands.contains(&opening), "{ran:?}");
    }
    let opened = script.commands.iter();
    let opened = opened.filter(|(_, line)| line == "open cases-1 for one");
    assert!(
        opened.count() <= 3,
        "connections of an account aren't reused"
    );
}

async fn full_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.endpoints[0].script().connection_limit = 3;
    // More connections than that may be open already; they are replaced one by one.
    for round in 0..4 {
        for account in 0..10 {
            let text = format!("write {account} {round}");
            let statement = TestStatement::new(WRITE, &text).account(&format!("account-{account}"));
            let reply = bench.ask(statement).await;
            assert!(
                is_served(&reply),
                "round {round}, account {account}: {reply:?}"
            );
        }
    }
}

async fn count_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    for account in 0..20 {
        let text = format!("write {account}");
        let statement = TestStatement::new(WRITE, &text).account(&format!("account-{account}"));
        let reply = bench.ask(statement).await;
        assert!(is_served(&reply), "{reply:?}");
    }
    let text = bench.metrics.to_text();
    for action in ["opened", "replaced"] {
        let name = format!("ragwort_statement_connections_total{{action=\"{action}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&name));
        let count: u64 = line.expect(action).parse().unwrap();
        assert!((1..=20).contains(&count), "{action}: {count}");
    }
}

async fn descriptors_case() {
    const ENDPOINT_CONNECTIONS: u32 = 10;
    let mut bench = NativeBench::start_with_descriptors([5, 5, 5], ENDPOINT_CONNECTIONS * 2).await;
    bench.settle().await;
    for _ in 0..20 {
        let begin = TransactionStep::Begin(TransactionId::fresh());
        let statement = TestStatement::new(WRITE, "write record").step(begin);
        drop(bench.send(statement).await);
    }
    for _ in 0..100 {
        let held = bench.count_connections();
        assert!(held <= ENDPOINT_CONNECTIONS, "{held}");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn key_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.require_keys();
    let cause = |reply: StatementReply| match reply.verdict {
        RequestVerdict::NotRun(refusal) => Some(refusal.cause),
        _ => None,
    };
    let unknown = Some(RefusalCause::UnknownKey);
    let nobody = bench.ask(TestStatement::new(WRITE, "write nobody")).await;
    assert_eq!(cause(nobody), unknown);
    let stale = TestStatement::new(WRITE, "write stale").account(KNOWN_ACCOUNT);
    assert_eq!(
        cause(bench.ask(stale.proof(KeyDigest([8; 16]))).await),
        unknown
    );
    let moved = TestStatement::new(WRITE, "write moved").account("clerks");
    assert_eq!(cause(bench.ask(moved.proof(KNOWN_KEY)).await), unknown);
    let known = TestStatement::new(WRITE, "write known").account(KNOWN_ACCOUNT);
    assert!(is_served(&bench.ask(known.clone().proof(KNOWN_KEY)).await));
    assert!(is_served(&bench.ask(known).await));
    for text in ["write nobody", "write stale", "write moved"] {
        assert_eq!(bench.count_runs(text), 0, "{text}");
    }
}

async fn wrong_instance_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    let elsewhere = bench.endpoints[1].address;
    bench.announce_at(0, false, elsewhere).await;
    bench.wait_for_command(1, "open cases-1").await;
    bench.settle().await;
    let reply = bench.ask(TestStatement::new(AGED, "read shelf")).await;
    assert!(is_served(&reply), "{reply:?}");
    let ran = bench.endpoints[1].script().ran.clone();
    assert!(ran.iter().all(|ran| !ran.text.starts_with("write")));
}
