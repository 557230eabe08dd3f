//! What an operator learns of a leaseholder whose slots are scarce.

use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::cases::wait_until;

failure_cases! {
    /// More statements arrive than may wait while the primary doesn't answer. Without a sign of it
    /// in the metrics and the dump, an operator would take the refusals for a caller's mistake.
    scarce_slots_are_reported => scarcity_case();
}

async fn scarcity_case() {
    let mut bench = NativeBench::start([5, 5, 5]).await;
    bench.settle().await;
    bench.endpoints[0].script().silent = true;
    // The contract lets 64 requests wait.
    let mut answers = Vec::new();
    for number in 0..90 {
        let statement = TestStatement::new(WRITE, &format!("write {number}"));
        answers.push(bench.send(statement).await);
    }
    bench
        .wait_for(|dump| !dump["scheduler"]["scarcity"]["lasts_micros"].is_null())
        .await;
    let scarce = "ragwort_slots_scarce{group=\"cases\"}";
    wait_until(|| {
        let text = bench.metrics.to_text();
        text.contains(&format!("{scarce} 1")) && text.contains("ragwort_scarcity_periods_total 1")
    })
    .await;
    let refusals = "ragwort_level_refusals_total{level=\"1\"}";
    assert!(bench.metrics.to_text().contains(refusals));
    drop(answers);
    // The sign of scarcity is gone a second later.
    wait_until(|| bench.metrics.to_text().contains(&format!("{scarce} 0"))).await;
    assert!(bench.dump().await["scheduler"]["scarcity"]["periods"] == 1);
}
