//! Outcomes for callers when one endpoint of three rejects or fails a part of its statements or goes
//! down and up, compared with a scheduler that isn't told of rejections as such.

mod support;

use ragwort_policy::ModuleSwitches;
use std::time::Duration;
use support::FaultReports;
use support::LoadOutcome;
use support::PatternName;
use support::PolicyChoice;
use support::SourceName;
use support::UserSize;
use support::run_pattern;

const SEED: u64 = 20_261_203;

fn run(name: PatternName, user: UserSize, reports: FaultReports) -> LoadOutcome {
    let mut pattern = name.create(user);
    pattern.reports = reports;
    let policy = PolicyChoice::Scheduler(ModuleSwitches::default());
    run_pattern(&pattern, policy, SEED)
}

fn print_row(name: PatternName, user: UserSize, reports: FaultReports) {
    let outcome = run(name, user, reports);
    let all = outcome.all();
    let primary = outcome.sum(|name: &SourceName| name.kind != "status");
    let mut waits = all.waits.clone();
    waits.sort();
    let at = |part: usize| waits[waits.len() * part / 1_000].as_secs_f64() * 1e3;
    println!(
        "{user:?} {name:?} {reports:?}: in time {:.2} % (primary {:.2}), late {}, refused {}, p50 {:.1} p99 {:.1} ms, rejected {}, failed {}, lost {} (most {}), sent {:?}, trials {}",
        all.in_time_share() * 100.0,
        primary.in_time_share() * 100.0,
        all.late,
        all.refused,
        at(500),
        at(990),
        outcome.rejected,
        outcome.failed,
        outcome.lost,
        outcome.most_lost,
        outcome.sent,
        outcome.trials,
    );
    let _ = Duration::ZERO;
}

#[test]
fn table() {
    let mut names = Vec::new();
    for load in [20, 50, 100] {
        for percent in [33, 45] {
            names.push(PatternName::Rejecting(0, percent, load));
            names.push(PatternName::Rejecting(1, percent, load));
        }
        names.push(PatternName::Failing(30, load));
    }
    for user in [UserSize::Omuti, UserSize::Sabarmati] {
        for name in &names {
            for reports in [FaultReports::Merged, FaultReports::Told] {
                print_row(*name, user, reports);
            }
        }
    }
}
