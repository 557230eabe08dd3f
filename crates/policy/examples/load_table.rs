//! Prints what callers receive under each load pattern, for the load page.
//!
//! Usage: `load_table [SEED [PATTERN]]`; without a seed that of the page is used, and without a
//! part of a pattern's name all patterns are run.

#[expect(dead_code, unused_imports, reason = "the tests use all of it")]
#[path = "../tests/support/mod.rs"]
mod support;

use ragwort_policy::ModuleSwitches;
use std::env;
use support::PatternName;
use support::PolicyChoice;
use support::SourceOutcome;
use support::UserSize;
use support::run_pattern;

const PAGE_SEED: u64 = 20_261_202;

const PATTERNS: [PatternName; 16] = [
    PatternName::Mix(50),
    PatternName::Mix(100),
    PatternName::Mix(200),
    PatternName::Mix(400),
    PatternName::Burst,
    PatternName::HotCaller,
    PatternName::HotKey,
    PatternName::SlowReplica,
    PatternName::SlowPrimary,
    PatternName::AllSlow,
    PatternName::LongJobs,
    PatternName::Mislabelled,
    PatternName::Abuse,
    PatternName::UrgentFlood,
    PatternName::Transactions,
    PatternName::Everything,
];

fn main() {
    let argument = env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(PAGE_SEED);
    let chosen = env::args().nth(2).unwrap_or_default();
    println!("seed {seed}");
    for user in [UserSize::Omuti, UserSize::Sabarmati] {
        for name in PATTERNS {
            let pattern = name.create(user);
            if !format!("{user:?} {name:?}").contains(&chosen) {
                continue;
            }
            println!("\n{user:?} {name:?}");
            let scheduler = PolicyChoice::Scheduler(ModuleSwitches::default());
            for policy in [PolicyChoice::Plain, scheduler] {
                let started = std::time::Instant::now();
                let outcome = run_pattern(&pattern, policy, seed);
                let label = match policy {
                    PolicyChoice::Plain => "plain",
                    PolicyChoice::Scheduler(_) => "scheduler",
                };
                print_line(label, "all", &outcome.all());
                for (source, part) in &outcome.sources {
                    let text = format!("{}/{}", source.customer, source.kind);
                    print_line("", &text, part);
                }
                println!(
                    "  replica share {:.3}, late from slow {}, slow dispatches {:?}, all long {}, most slots {}, {} ms",
                    outcome.replica_share(),
                    outcome.late_from_slow,
                    outcome.slow_dispatches.iter().take(12).collect::<Vec<_>>(),
                    outcome.all_long,
                    outcome.most_slots,
                    started.elapsed().as_millis(),
                );
            }
        }
    }
}

fn print_line(label: &str, source: &str, part: &SourceOutcome) {
    println!(
        "  {label:9} {source:24} {:6} in time {:5.1} % late {:5.1} % refused {:5.1} % warning {:6.1} ms (short {:4}) p50 {:6.1} p99 {:6.1}",
        part.offered,
        part.in_time_share() * 100.0,
        part.late_share() * 100.0,
        part.refused_share() * 100.0,
        part.mean_warning().as_secs_f64() * 1e3,
        part.short_warnings,
        part.wait_quantile(0.5).as_secs_f64() * 1e3,
        part.wait_quantile(0.99).as_secs_f64() * 1e3,
    );
}
