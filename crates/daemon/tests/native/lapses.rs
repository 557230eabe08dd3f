//! Leases that lapse at any moment of a write's way, and how often the write takes effect.

use crate::bench::Ask;
use crate::bench::NativeBench;
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

/// Attempts of each seed.
const ATTEMPTS: usize = 40;

/// How often a gateway hands a statement over that nobody took, before it gives up.
const HANDOVERS: usize = 20;

/// The pause between two of them.
const HANDOVER_PAUSE: Duration = Duration::from_millis(2);

/// How long an attempt may take; what it has done counts then too.
const ATTEMPT_TIME: Duration = Duration::from_secs(2);

/// More seeds, for runs by hand.
const SEEDS_VARIABLE: &str = "RAGWORT_LAPSE_SEEDS";

failure_cases! {
    /// A write that a lapsed leaseholder had begun was handed over once more and took effect twice.
    write_under_lapsing_leases_takes_effect_once => lapsing_case(8);
}

/// What a caller's attempt came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// Everything was served.
    Served,
    /// The caller was told that nothing is kept.
    NotRun,
    /// Nobody told.
    InDoubt,
}

async fn lapsing_case(seeds: u64) {
    let seeds = std::env::var(SEEDS_VARIABLE).map_or(seeds, |more| more.parse().unwrap());
    for seed in 0..seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bench = NativeBench::start([5, 5, 5]).await;
        bench.settle().await;
        let mut ends = HashMap::new();
        for number in 0..ATTEMPTS {
            let name = format!("write {number}");
            let single = number % 4 == 0;
            let lapse = LapsePlan::draw(&mut random, if single { 1 } else { 3 });
            let end = timeout(ATTEMPT_TIME, attempt(&bench, &name, single, &lapse)).await;
            ends.insert(name, end.unwrap_or(AttemptEnd::InDoubt));
            bench.endpoints[0].script().silent = false;
            bench.regain();
        }
        // What is still on its way to the endpoint takes effect too.
        sleep(Duration::from_millis(50)).await;
        check_effects(&bench, &ends, seed);
    }
}

/// At which of an attempt's statements the lease lapses, and when.
struct LapsePlan {
    step: usize,
    /// Whether the primary holds back what it is sent meanwhile.
    holds: bool,
    until_lapse: Duration,
    until_answer: Duration,
    until_lease: Duration,
}

impl LapsePlan {
    fn draw(random: &mut StdRng, steps: usize) -> Self {
        let mut pause = || Duration::from_micros(random.random_range(0..4_000));
        let (until_lapse, until_answer, until_lease) = (pause(), pause(), pause());
        Self {
            step: random.random_range(0..steps),
            holds: random.random(),
            until_lapse,
            until_answer,
            until_lease,
        }
    }

    /// Lets the lease lapse and come back.
    async fn run(&self, bench: &NativeBench) {
        sleep(self.until_lapse).await;
        bench.lapse();
        sleep(self.until_answer).await;
        bench.endpoints[0].script().silent = false;
        sleep(self.until_lease).await;
        bench.regain();
    }
}

/// Makes a caller's attempt: a write by itself, or a transaction of two.
async fn attempt(bench: &NativeBench, name: &str, single: bool, lapse: &LapsePlan) -> AttemptEnd {
    let id = TransactionId::fresh();
    let second = format!("{name} more");
    let steps = match single {
        true => vec![Ask::new(WRITE, name)],
        false => vec![
            Ask::new(WRITE, name).step(TransactionStep::Begin(id)),
            Ask::new(WRITE, &second).step(TransactionStep::Within(id)),
            Ask::new(WRITE, "COMMIT").step(TransactionStep::Commit(id)),
        ],
    };
    for (index, step) in steps.iter().enumerate() {
        let reply = if index == lapse.step {
            bench.endpoints[0].script().silent = lapse.holds;
            let (reply, ()) = tokio::join!(bring(bench, step), lapse.run(bench));
            reply
        } else {
            bring(bench, step).await
        };
        let end = judge(&reply);
        match end {
            AttemptEnd::Served => {}
            // Only the commit's doubt is a doubt: nothing else of a transaction is kept.
            AttemptEnd::InDoubt if index + 1 < steps.len() => return AttemptEnd::NotRun,
            end => return end,
        }
    }
    AttemptEnd::Served
}

/// Hands a statement over as a gateway does: again where nobody took it and no transaction is lost.
async fn bring(bench: &NativeBench, ask: &Ask) -> StatementReply {
    let mut reply = bench.ask(ask.clone()).await;
    for _ in 1..HANDOVERS {
        let RequestVerdict::NotRun(refusal) = &reply.verdict else {
            break;
        };
        let untaken = matches!(
            refusal.cause,
            RefusalCause::NoLease | RefusalCause::NoLeaseholder
        );
        if !untaken || ask.is_within_transaction() {
            break;
        }
        sleep(HANDOVER_PAUSE).await;
        reply = bench.ask(ask.clone()).await;
    }
    reply
}

fn judge(reply: &StatementReply) -> AttemptEnd {
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

/// Counts how often each write took effect, by what reached the endpoints on each connection.
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
