//! Randomized test of writes while the lease lapses: each takes effect as often as its caller was
//! told.

use crate::bench::NativeBench;
use crate::bench::TestStatement;
use crate::bench::WRITE;
use crate::bench::is_served;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of attempts for each seed.
const ATTEMPTS_PER_SEED: usize = 40;

/// Maximum number of times that a gateway submits a statement that no leaseholder accepts.
const MAX_SUBMISSIONS: usize = 20;

/// Pause between two submissions of a statement.
const RESUBMIT_PAUSE: Duration = Duration::from_millis(2);

/// Time limit of an attempt. One that exceeds it is in doubt, and its effects are checked too.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Environment variable with the number of seeds, for longer runs by hand.
const SEEDS_VARIABLE: &str = "RAGWORT_LAPSE_SEEDS";

failure_cases! {
    /// The lease lapsed while a write was running. The gateway submitted the write again, and it
    /// took effect twice.
    write_under_lapsing_leases_takes_effect_once => lapsing_case(8);
}

/// Outcome of an attempt, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// All statements were served.
    Served,
    /// The attempt has left no effects.
    NotRun,
    /// The attempt may have had effects.
    InDoubt,
}

async fn lapsing_case(seeds: u64) {
    let seeds = std::env::var(SEEDS_VARIABLE).map_or(seeds, |more| more.parse().unwrap());
    for seed in 0..seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bench = NativeBench::start([5, 5, 5]).await;
        bench.settle().await;
        let mut ends = HashMap::new();
        for number in 0..ATTEMPTS_PER_SEED {
            let name = format!("write {number}");
            let single = number % 4 == 0;
            let lapse = LapsePlan::draw(&mut random, if single { 1 } else { 3 });
            let end = timeout(ATTEMPT_TIMEOUT, attempt(&bench, &name, single, &lapse)).await;
            ends.insert(name, end.unwrap_or(AttemptEnd::InDoubt));
            bench.endpoints[0].script().silent = false;
            bench.renew_lease();
        }
        // Commands in transit to the endpoint may still take effect.
        sleep(Duration::from_millis(50)).await;
        check_effects(&bench, &ends, seed);
    }
}

/// Time of a lapse of the lease within an attempt.
struct LapsePlan {
    /// Index of the statement during which the lease lapses.
    step: usize,
    /// Whether the primary withholds its answers from the start of that statement.
    withholds: bool,
    /// Delay from the start of the statement to the lapse.
    until_lapse: Duration,
    /// Delay from the lapse until the primary answers again.
    until_answer: Duration,
    /// Delay from then until the VM has a lease again.
    until_lease: Duration,
}

impl LapsePlan {
    fn draw(random: &mut StdRng, steps: usize) -> Self {
        let mut pause = || Duration::from_micros(random.random_range(0..4_000));
        let (until_lapse, until_answer, until_lease) = (pause(), pause(), pause());
        Self {
            step: random.random_range(0..steps),
            withholds: random.random(),
            until_lapse,
            until_answer,
            until_lease,
        }
    }

    /// Ends the lease and renews it after the planned delays.
    async fn run(&self, bench: &NativeBench) {
        sleep(self.until_lapse).await;
        bench.end_lease();
        sleep(self.until_answer).await;
        bench.endpoints[0].script().silent = false;
        sleep(self.until_lease).await;
        bench.renew_lease();
    }
}

/// Makes a caller's attempt: a single write, or a transaction of two writes.
async fn attempt(bench: &NativeBench, name: &str, single: bool, lapse: &LapsePlan) -> AttemptEnd {
    let id = TransactionId::fresh();
    let second = format!("{name} more");
    let steps = match single {
        true => vec![TestStatement::new(WRITE, name)],
        false => vec![
            TestStatement::new(WRITE, name).step(TransactionStep::Begin(id)),
            TestStatement::new(WRITE, &second).step(TransactionStep::Within(id)),
            TestStatement::new(WRITE, "COMMIT").step(TransactionStep::Commit(id)),
        ],
    };
    for (index, step) in steps.iter().enumerate() {
        let reply = if index == lapse.step {
            bench.endpoints[0].script().silent = lapse.withholds;
            let (reply, ()) = tokio::join!(submit(bench, step), lapse.run(bench));
            reply
        } else {
            submit(bench, step).await
        };
        let end = classify(&reply);
        match end {
            AttemptEnd::Served => {}
            // Before its commit a transaction has no effects that last.
            AttemptEnd::InDoubt if index + 1 < steps.len() => return AttemptEnd::NotRun,
            end => return end,
        }
    }
    AttemptEnd::Served
}

/// Submits a statement as a gateway does: again if no leaseholder accepted it, unless its
/// transaction is open already.
async fn submit(bench: &NativeBench, statement: &TestStatement) -> StatementReply {
    let mut reply = bench.ask(statement.clone()).await;
    for _ in 1..MAX_SUBMISSIONS {
        let RequestVerdict::NotRun(refusal) = &reply.verdict else {
            break;
        };
        let misrouted = matches!(
            refusal.cause,
            RefusalCause::NoLease | RefusalCause::NoLeaseholder
        );
        if !misrouted || statement.is_within_transaction() {
            break;
        }
        sleep(RESUBMIT_PAUSE).await;
        reply = bench.ask(statement.clone()).await;
    }
    reply
}

fn classify(reply: &StatementReply) -> AttemptEnd {
    match &reply.verdict {
        _ if is_served(reply) => AttemptEnd::Served,
        RequestVerdict::NotRun(_) => AttemptEnd::NotRun,
        RequestVerdict::Ran(_) | RequestVerdict::MayHaveRun(_) => AttemptEnd::InDoubt,
    }
}

fn check_effects(bench: &NativeBench, ends: &HashMap<String, AttemptEnd>, seed: u64) {
    let effects = count_effects(bench);
    for (name, end) in ends {
        for text in [name.clone(), format!("{name} more")] {
            let count = effects.get(&text).copied().unwrap_or(0);
            assert!(
                count <= 1,
                "seed {seed}: {text:?} took effect {count} times"
            );
            if *end == AttemptEnd::NotRun {
                assert_eq!(
                    count, 0,
                    "seed {seed}: {text:?} was refused and took effect"
                );
            }
        }
        if *end == AttemptEnd::Served {
            let count = effects.get(name).copied().unwrap_or(0);
            assert_eq!(count, 1, "seed {seed}: {name:?} was acknowledged");
        }
    }
}

/// Counts how often each write took effect, by replaying the commands of each endpoint's
/// connections.
fn count_effects(bench: &NativeBench) -> HashMap<String, usize> {
    let mut effects: HashMap<String, usize> = HashMap::new();
    for endpoint in &bench.endpoints {
        let mut open: HashMap<usize, Vec<String>> = HashMap::new();
        for (connection, line) in &endpoint.script().commands {
            let write = line
                .split_once("write ")
                .map(|(_, rest)| format!("write {rest}"));
            match (line.split(' ').next(), write, open.get_mut(connection)) {
                (Some("begin"), _, _) => {
                    open.insert(*connection, Vec::new());
                }
                (Some("commit"), _, _) => {
                    for text in open.remove(connection).unwrap_or_default() {
                        *effects.entry(text).or_default() += 1;
                    }
                }
                (Some("rollback"), _, _) => {
                    open.remove(connection);
                }
                (Some("run"), Some(text), Some(pending)) => pending.push(text),
                (Some("run"), Some(text), None) => *effects.entry(text).or_default() += 1,
                _ => {}
            }
        }
    }
    effects
}
