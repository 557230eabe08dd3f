//! Which connection a statement gets, and in what condition.

use crate::bench::AGED;
use crate::bench::Ask;
use crate::bench::NativeBench;
use crate::bench::WRITE;
use crate::bench::is_served;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

failure_cases! {
    /// Statements of other sessions come between the two of a transaction. On another connection
    /// the second would see nothing of the first, and the commit would keep only a part.
    transaction_stays_on_its_connection => transaction_case();
    /// A session has set its language. A statement that ran on another connection, or another
    /// session's that ran on this one, would come back in the wrong one.
    values_of_a_session_reach_its_statements_and_no_others => values_case();
    /// An address was given to another instance in the meantime. Statements for the old one must
    /// not run on the new one.
    address_of_another_instance_gets_no_statements => wrong_instance_case();
}

async fn transaction_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    let id = TransactionId::fresh();
    let first = Ask::new(WRITE, "write first").step(TransactionStep::Begin(id));
    let reply = bench.ask(first).await;
    assert!(is_served(&reply), "{reply:?}");
    let other = bench.ask(Ask::new(WRITE, "write other")).await;
    assert!(is_served(&other), "{other:?}");
    let second = Ask::new(WRITE, "write second").step(TransactionStep::Within(id));
    assert!(is_served(&bench.ask(second).await));
    let commit = Ask::new(WRITE, "commit").step(TransactionStep::Commit(id));
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
        let reply = bench.ask(Ask::new(WRITE, &text).value("lang", "gu")).await;
        assert!(is_served(&reply), "{reply:?}");
        let text = format!("write unset {round}");
        assert!(is_served(&bench.ask(Ask::new(WRITE, &text)).await));
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

async fn wrong_instance_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    let elsewhere = bench.endpoints[1].address;
    bench.announce_at(0, false, elsewhere).await;
    bench.wait_for_command(1, "open cases-1").await;
    bench.settle().await;
    let reply = bench.ask(Ask::new(AGED, "read shelf")).await;
    assert!(is_served(&reply), "{reply:?}");
    let ran = bench.endpoints[1].script().ran.clone();
    assert!(ran.iter().all(|ran| !ran.text.starts_with("write")));
}
