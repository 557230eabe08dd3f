//! Prints what callers receive under each load pattern, for the load page.
//!
//! Usage: `load_table [SEED [PATTERN]]`; without a seed that of the page is used, and without a
//! part of a pattern's name all patterns are run.

#[path = "../tests/support/mod.rs"]
mod support;

use ragwort_policy::ModuleSwitches;
use std::env;
use support::LoadOutcome;
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
            print_outcome("plain", &run_pattern(&pattern, PolicyChoice::Plain, seed));
            print_outcome("scheduler", &run_pattern(&pattern, scheduler, seed));
        }
    }
}

fn print_outcome(label: &str, outcome: &LoadOutcome) {
    print_line(label, "all", &outcome.all());
    for (source, part) in &outcome.sources {
        let text = format!("{}/{}", source.customer, source.kind);
        print_line("", &text, part);
    }
    println!(
        "  replica share {:.3}, late from slow {}, to slow by 100 ms {:?}, trials {}, all long {}",
        outcome.replica_share(),
        outcome.late_from_slow,
        outcome.slow_dispatches.iter().take(8).collect::<Vec<_>>(),
        outcome.trials,
        outcome.all_long,
    );
}

fn print_line(label: &str, source: &str, part: &SourceOutcome) {
    let refused = part.offered - part.in_time - part.late;
    println!(
        "  {label:9} {source:22} {:6} in time {:5.1} % late {:5.1} % refused {:5.1} % \
         with {:5.0} ms left (short {:4}) p50 {:6.1} p99 {:6.1}",
        part.offered,
        part.in_time_share() * 100.0,
        part.late_share() * 100.0,
        refused as f64 * 100.0 / part.offered.max(1) as f64,
        part.warning.as_secs_f64() * 1e3 / part.refused.max(1) as f64,
        part.short_warnings,
        wait_millis(part, 0.5),
        wait_millis(part, 0.99),
    );
}

/// Returns the wait that this share of the answers did not exceed.
fn wait_millis(part: &SourceOutcome, share: f64) -> f64 {
    let mut waits = part.waits.clone();
    waits.sort_unstable();
    let Some(last) = waits.len().checked_sub(1) else {
        return 0.0;
    };
    let index = (last as f64 * share).round() as usize;
    waits[index].as_secs_f64() * 1e3
}
