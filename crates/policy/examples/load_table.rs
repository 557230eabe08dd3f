//! Prints the outcomes for callers under each load pattern.
//!
//! Usage: `load_table [SEED [PATTERN]]`; the default seed is that of the published table, and
//! without a part of a pattern's name all patterns are run. The pattern `modules` prints the table
//! of modules, and the pattern `uneven` that of endpoints that reject or fail a part of their
//! statements or go down and up.

#[path = "../tests/support/mod.rs"]
mod support;

use ragwort_policy::ModuleSwitches;
use std::env;
use std::time::Duration;
use support::FaultReports;
use support::LoadOutcome;
use support::PatternName;
use support::PolicyChoice;
use support::SourceName;
use support::SourceOutcome;
use support::UserSize;
use support::run_pattern;

const PAGE_SEED: u64 = 20_261_202;

const PATTERNS: [PatternName; 30] = [
    PatternName::Mix(50),
    PatternName::Mix(100),
    PatternName::Mix(200),
    PatternName::Mix(400),
    PatternName::Burst,
    PatternName::HotCaller,
    PatternName::HotKey,
    PatternName::SlowReplica(10),
    PatternName::SlowReplica(60),
    PatternName::SlowPrimary,
    PatternName::AllSlow,
    PatternName::LongJobs,
    PatternName::Mislabelled,
    PatternName::Abuse,
    PatternName::UrgentFlood,
    PatternName::Transactions,
    PatternName::ReplicasBehind,
    PatternName::Everything,
    PatternName::Levels(80),
    PatternName::Unlevelled(80),
    PatternName::Levels(90),
    PatternName::Unlevelled(90),
    PatternName::Levels(120),
    PatternName::Unlevelled(120),
    PatternName::Levels(200),
    PatternName::Unlevelled(200),
    PatternName::Levels(400),
    PatternName::Unlevelled(400),
    PatternName::PrimaryAlone,
    PatternName::SeparateRoutes,
];

fn main() {
    let argument = env::args().nth(1);
    let seed = argument.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(PAGE_SEED);
    let chosen = env::args().nth(2).unwrap_or_default();
    println!("seed {seed}");
    if chosen == "uneven" {
        print_uneven(seed);
        return;
    }
    if chosen == "modules" {
        print_modules(seed);
        return;
    }
    for user in [UserSize::Omuti, UserSize::Sabarmati] {
        for name in PATTERNS {
            let pattern = name.create(user);
            if !format!("{user:?} {name:?}").contains(&chosen) {
                continue;
            }
            println!("\n{user:?} {name:?}");
            if name == PatternName::ReplicasBehind {
                print_targets(user, seed);
            }
            let scheduler = PolicyChoice::Scheduler(ModuleSwitches::default());
            print_outcome("plain", &run_pattern(&pattern, PolicyChoice::Plain, seed));
            print_outcome("scheduler", &run_pattern(&pattern, scheduler, seed));
            print_outcome("ahead", &run_pattern(&pattern, PolicyChoice::Ahead, seed));
        }
    }
}

/// Prints the outcomes with an uneven endpoint, without and with learning from what it rejects,
/// fails and loses.
fn print_uneven(seed: u64) {
    let mut names = Vec::new();
    for load in [20, 50, 100] {
        for percent in [33, 45] {
            names.push(PatternName::Rejecting(1, percent, load));
            names.push(PatternName::Rejecting(0, percent, load));
        }
        names.push(PatternName::Failing(30, load));
        names.push(PatternName::Flapping(load));
    }
    for user in [UserSize::Omuti, UserSize::Sabarmati] {
        for name in &names {
            for reports in [FaultReports::Merged, FaultReports::Told] {
                let mut pattern = name.create(user);
                pattern.reports = reports;
                let policy = PolicyChoice::Scheduler(ModuleSwitches::default());
                let outcome = run_pattern(&pattern, policy, seed);
                println!("\n{user:?} {name:?} {reports:?}");
                print_outcome("scheduler", &outcome);
                println!(
                    "  rejected {}, failed {}, lost {} (at once {}), sent {:?}",
                    outcome.rejected, outcome.failed, outcome.lost, outcome.most_lost, outcome.sent,
                );
            }
        }
    }
}

/// Prints the fraction of reads that are answered within their target, without the module and with
/// it.
fn print_targets(user: UserSize, seed: u64) {
    let pattern = PatternName::ReplicasBehind.create(user);
    for targets in [false, true] {
        let modules = ModuleSwitches {
            targets,
            ..ModuleSwitches::default()
        };
        let outcome = run_pattern(&pattern, PolicyChoice::Scheduler(modules), seed);
        let reads = outcome.sum(|name| name.kind == "status");
        let share = reads.share_within(Duration::from_millis(200)) * 100.0;
        println!("targets {targets}: {share:.1} % of the reads within 200 ms");
    }
}

/// The number of consecutive seeds of the table of modules, from the given one on.
const SEEDS: u64 = 3;

/// A module, a load pattern that needs it, and the callers whose answers show its effect.
struct ModuleRow {
    module: &'static str,
    pattern: PatternName,
    callers: &'static str,
    disable: fn(&mut ModuleSwitches),
    includes: fn(&SourceName) -> bool,
}

const MODULE_ROWS: [ModuleRow; 12] = [
    ModuleRow {
        module: "early refusal",
        pattern: PatternName::Mix(200),
        callers: "all",
        disable: |modules| modules.early_refusal = false,
        includes: |_| true,
    },
    ModuleRow {
        module: "queue order",
        pattern: PatternName::Mix(200),
        callers: "urgent",
        disable: |modules| modules.order = false,
        includes: |name| name.kind == "urgent",
    },
    ModuleRow {
        module: "shares",
        pattern: PatternName::Abuse,
        callers: "other customers",
        disable: |modules| modules.shares = false,
        includes: |name| name.customer != "abuser",
    },
    ModuleRow {
        module: "hot callers",
        pattern: PatternName::HotCaller,
        callers: "same customer's others",
        disable: |modules| modules.caller_pacing = false,
        includes: |name| name.customer == "intake" && name.kind != "loop",
    },
    ModuleRow {
        module: "hot keys",
        pattern: PatternName::HotKey,
        callers: "writes to other keys",
        disable: |modules| modules.caller_pacing = false,
        includes: |name| matches!(name.kind, "update" | "urgent" | "balance"),
    },
    ModuleRow {
        module: "long jobs",
        pattern: PatternName::LongJobs,
        callers: "short requests",
        disable: |modules| modules.long_jobs = false,
        includes: |name| name.kind != "report",
    },
    ModuleRow {
        module: "health",
        pattern: PatternName::SlowReplica(60),
        callers: "all",
        disable: |modules| modules.health = false,
        includes: |_| true,
    },
    ModuleRow {
        module: "health",
        pattern: PatternName::SlowReplica(10),
        callers: "all",
        disable: |modules| modules.health = false,
        includes: |_| true,
    },
    ModuleRow {
        module: "health",
        pattern: PatternName::Everything,
        callers: "reads",
        disable: |modules| modules.health = false,
        includes: |name| name.kind == "status",
    },
    ModuleRow {
        module: "routing",
        pattern: PatternName::Mix(50),
        callers: "needing the primary",
        disable: |modules| modules.routing = false,
        includes: |name| name.kind != "status",
    },
    ModuleRow {
        module: "routing",
        pattern: PatternName::Mix(100),
        callers: "needing the primary",
        disable: |modules| modules.routing = false,
        includes: |name| name.kind != "status",
    },
    ModuleRow {
        module: "connections ahead",
        pattern: PatternName::Burst,
        callers: "other customers",
        disable: |modules| modules.connections_ahead = false,
        includes: |name| name.customer != "clinics",
    },
];

/// Prints the outcomes for the callers of each module's pattern with the baseline policy, without
/// the module and with it, over three seeds.
fn print_modules(seed: u64) {
    for row in MODULE_ROWS {
        for user in [UserSize::Omuti, UserSize::Sabarmati] {
            let mut modules = ModuleSwitches::default();
            (row.disable)(&mut modules);
            let choices = [
                PolicyChoice::Plain,
                PolicyChoice::Scheduler(modules),
                PolicyChoice::Scheduler(ModuleSwitches::default()),
            ];
            print!(
                "| {}, {:?}, {user:?} | {} ",
                row.module, row.pattern, row.callers
            );
            for choice in choices {
                print_cell(&row, user, choice, seed);
            }
            println!("|");
        }
    }
}

fn print_cell(row: &ModuleRow, user: UserSize, choice: PolicyChoice, seed: u64) {
    let mut part = SourceOutcome::default();
    let (mut replica, mut permitted, mut connections) = (0, 0, 0);
    for seed in seed..seed + SEEDS {
        let outcome = run_pattern(&row.pattern.create(user), choice, seed);
        part.add(&outcome.sum(row.includes));
        replica += outcome.replica_reads;
        permitted += outcome.permitted_reads;
        connections = connections.max(outcome.max_connections);
    }
    print!(
        "| {:.1} / {:.2} / {:.0} ",
        part.in_time_share() * 100.0,
        part.late_share() * 100.0,
        wait_millis(&part, 0.99),
    );
    match row.module {
        "routing" => print!(
            "/ replicas {:.1} ",
            replica as f64 * 100.0 / permitted as f64
        ),
        "connections ahead" => print!("/ {connections} open "),
        _ => {}
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
        outcome.all_slots_long,
    );
}

fn print_line(label: &str, source: &str, part: &SourceOutcome) {
    let refused = part.offered - part.in_time - part.late;
    println!(
        "  {label:9} {source:22} {:6} in time {:5.1} % late {:5.1} % refused {:5.1} % \
         with {:5.0} ms left (short {:4}) p50 {:6.1} p99 {:6.1} lost operations {:5.1} % \
         slot time in time {:5.1} %",
        part.offered,
        part.in_time_share() * 100.0,
        part.late_share() * 100.0,
        refused as f64 * 100.0 / part.offered.max(1) as f64,
        part.time_left.as_secs_f64() * 1e3 / part.refused.max(1) as f64,
        part.late_refusals,
        wait_millis(part, 0.5),
        wait_millis(part, 0.99),
        part.lost_share() * 100.0,
        part.useful_slot_share() * 100.0,
    );
}

/// Returns the wait that this share of the answers did not exceed, in milliseconds.
fn wait_millis(part: &SourceOutcome, share: f64) -> f64 {
    let mut waits = part.waits.clone();
    waits.sort_unstable();
    let Some(last) = waits.len().checked_sub(1) else {
        return 0.0;
    };
    let index = (last as f64 * share).round() as usize;
    waits[index].as_secs_f64() * 1e3
}
