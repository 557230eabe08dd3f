//! What callers receive under each load pattern, judged against the plain policy in the same run.

mod support;

use ragwort_policy::ModuleSwitches;
use std::time::Duration;
use support::LoadOutcome;
use support::PatternName;
use support::PolicyChoice;
use support::SourceName;
use support::SourceOutcome;
use support::UserSize;
use support::run_pattern;

const SEED: u64 = 20_261_202;

/// What both policies gave to the callers of one pattern.
struct PolicyPair {
    scheduler: LoadOutcome,
    plain: LoadOutcome,
}

fn run_both(name: PatternName, user: UserSize) -> PolicyPair {
    let pattern = name.create(user);
    let modules = ModuleSwitches::default();
    PolicyPair {
        scheduler: run_pattern(&pattern, PolicyChoice::Scheduler(modules), SEED),
        plain: run_pattern(&pattern, PolicyChoice::Plain, SEED),
    }
}

fn kind(outcome: &LoadOutcome, kind: &str) -> SourceOutcome {
    outcome.sum(|name: &SourceName| name.kind == kind)
}

/// Refusals come early: at most one in fifty leaves the caller less than a quarter of its time.
fn assert_refused_early(outcome: &SourceOutcome) {
    assert!(
        outcome.short_warnings * 50 <= outcome.refused,
        "{} of {} refusals came late",
        outcome.short_warnings,
        outcome.refused,
    );
}

macro_rules! load_cases {
    ($($(#[$doc:meta])* $name:ident($pattern:expr) $check:expr;)*) => {$(
        mod $name {
            use super::*;

            $(#[$doc])*
            #[test]
            fn omuti() {
                $check(run_both($pattern, UserSize::Omuti));
            }

            $(#[$doc])*
            #[test]
            fn sabarmati() {
                $check(run_both($pattern, UserSize::Sabarmati));
            }
        }
    )*};
}

load_cases! {
    /// A customer sends a burst of twice the capacity at a group without open connections. Callers of
    /// the other customers would wait behind it; they must not notice.
    burst(PatternName::Burst) |pair: PolicyPair| {
        let others = pair.scheduler.sum(|name| name.customer != "clinics");
        assert!(others.in_time_share() > 0.99);
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.plain.all().late_share() > 0.05);
        assert!(pair.scheduler.most_connections <= 13);
        assert_refused_early(&pair.scheduler.all());
    };

    /// One session sends in a loop as much as the whole group can do. The other callers, those of the
    /// same customer included, must be served as before.
    hot_caller(PatternName::HotCaller) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.kind != "loop");
        assert!(others(&pair.scheduler).in_time_share() > 0.99);
        assert!(others(&pair.plain).in_time_share() < 0.5);
        assert!(kind(&pair.scheduler, "loop").in_time > 0);
    };

    /// Everybody writes to the same record, and each such write waits for the one before it inside
    /// the endpoint. Writes to other records must not wait for a slot that is held for nothing.
    hot_key(PatternName::HotKey) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.kind != "counter");
        assert!(others(&pair.scheduler).in_time_share() > 0.99);
        assert!(others(&pair.plain).late > 10 * others(&pair.scheduler).late);
        assert!(others(&pair.plain).in_time_share() < 0.95);
        let counter = kind(&pair.scheduler, "counter");
        assert!(counter.in_time > kind(&pair.plain, "counter").in_time);
    };

    /// A replica becomes ten times slower. Reads that land on it are late; it must lose its work
    /// within a fraction of a second and get it back once it has recovered.
    slow_replica(PatternName::SlowReplica(10)) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.scheduler.dispatched_at_end[2] * 4 > pair.scheduler.dispatched_at_end[1] * 3);
    };

    /// A replica becomes so slow that nothing on it is in time. Only trials may go there.
    stuck_replica(PatternName::SlowReplica(60)) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.scheduler.all().late * 2 < pair.plain.all().late);
        let later: u64 = pair.scheduler.slow_dispatches.iter().skip(3).sum();
        assert!(later <= pair.scheduler.trials);
        assert!(pair.scheduler.trials <= 10);
        assert!(pair.scheduler.dispatched_at_end[2] * 4 > pair.scheduler.dispatched_at_end[1] * 3);
    };

    /// The primary becomes ten times slower. Its writes have nowhere else to go and suffer; reads that
    /// replicas may serve, and urgent writes, must not.
    slow_primary(PatternName::SlowPrimary) |pair: PolicyPair| {
        assert!(kind(&pair.scheduler, "status").in_time_share() > 0.99);
        assert!(kind(&pair.scheduler, "urgent").in_time_share() > 0.9);
        assert!(pair.scheduler.all().late_share() < pair.plain.all().late_share() / 5.0);
    };

    /// All endpoints become five times slower at once. Cutting any of them off would make it worse.
    all_slow(PatternName::AllSlow) |pair: PolicyPair| {
        assert_eq!(pair.scheduler.trials, 0, "an endpoint was cut off");
        assert!(pair.scheduler.all().in_time_share() > 0.99);
    };

    /// Reports of half a second arrive among lookups. If they took every slot, all lookups in that
    /// time would be late.
    long_jobs(PatternName::LongJobs) |pair: PolicyPair| {
        assert_eq!(pair.scheduler.all_long, 0);
        let short = pair.scheduler.sum(|name| name.kind != "report");
        assert!(short.in_time_share() > 0.995);
        assert!(kind(&pair.scheduler, "report").in_time_share() > 0.95);
        assert!(pair.plain.all().late > 0);
    };

    /// The contract calls the reports short. The running estimate must find out.
    mislabelled(PatternName::Mislabelled) |pair: PolicyPair| {
        let short = pair.scheduler.sum(|name| name.kind != "report");
        assert!(short.in_time_share() > 0.995);
        assert!(kind(&pair.scheduler, "report").in_time_share() > 0.95);
    };

    /// One customer sends twice what the group can do, reads and writes. The others stay within their
    /// shares and must not notice.
    abuse(PatternName::Abuse) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.customer != "abuser");
        assert!(others(&pair.scheduler).in_time_share() > 0.995);
        assert!(others(&pair.plain).in_time_share() < 0.1);
        assert_refused_early(&pair.scheduler.all());
    };

    /// More urgent writes arrive than the primary can do. Ordinary work there would never be served.
    urgent_flood(PatternName::UrgentFlood) |pair: PolicyPair| {
        assert!(kind(&pair.scheduler, "balance").in_time_share() > 0.95);
        assert!(kind(&pair.scheduler, "update").in_time_share() > 0.4);
        assert_refused_early(&pair.scheduler.all());
    };

    /// Transactions hold connections between their statements. Everybody must still find one.
    transactions(PatternName::Transactions) |pair: PolicyPair| {
        assert!(pair.scheduler.all().in_time_share() > 0.995);
        assert!(pair.scheduler.most_connections <= 13);
    };

    /// Twice the capacity, reports, a hot caller and a slow replica at once. What is answered must
    /// still be answered in time, and urgent work served.
    everything(PatternName::Everything) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(kind(&pair.scheduler, "urgent").in_time_share() > 0.98);
        assert!(pair.scheduler.all().in_time > pair.plain.all().in_time * 4);
        assert_refused_early(&pair.scheduler.all());
    };
}

macro_rules! overload_cases {
    ($($name:ident($user:expr);)*) => {$(
        /// More work arrives than the group can do. If the queue grew, every answer would be late, and
        /// none would come in time at twice the capacity; what is answered must stay the same.
        #[test]
        fn $name() {
            let full = run_both(PatternName::Mix(100), $user).scheduler.all();
            for percent in [200, 400] {
                let pair = run_both(PatternName::Mix(percent), $user);
                let all = pair.scheduler.all();
                assert!(all.in_time * 10 >= full.in_time * 9, "at {percent} percent");
                assert!(all.late_share() < 0.005);
                assert!(kind(&pair.scheduler, "urgent").in_time_share() > 0.99);
                assert!(pair.plain.all().in_time * 2 < all.in_time);
                assert_refused_early(&all);
            }
        }
    )*};
}

overload_cases! {
    overload_omuti(UserSize::Omuti);
    overload_sabarmati(UserSize::Sabarmati);
}

macro_rules! replica_cases {
    ($($name:ident($user:expr);)*) => {$(
        /// At half of capacity nothing forces a read that a replica may serve onto the primary.
        #[test]
        fn $name() {
            let pair = run_both(PatternName::Mix(50), $user);
            assert!(pair.scheduler.replica_share() > 0.99);
            assert!(pair.plain.replica_share() < 0.8);
            assert_eq!(pair.scheduler.all().in_time, pair.scheduler.all().offered);
        }
    )*};
}

replica_cases! {
    replica_share_omuti(UserSize::Omuti);
    replica_share_sabarmati(UserSize::Sabarmati);
}

macro_rules! target_cases {
    ($($name:ident($user:expr);)*) => {$(
        /// Replicas fall behind by seconds, and two thirds more reads come to the primary than it can do.
        /// In the order of their deadlines all would wait until shortly before these: a user waits for
        /// 0.7 s for each answer, though most could have had it in 0.1 s.
        #[test]
        fn $name() {
            let pattern = PatternName::ReplicasBehind.create($user);
            let by_deadline = ModuleSwitches {
                targets: false,
                ..ModuleSwitches::default()
            };
            let reads = |modules| {
                let outcome = run_pattern(&pattern, PolicyChoice::Scheduler(modules), SEED);
                outcome.sum(|name| name.kind == "status")
            };
            let without = reads(by_deadline);
            let with = reads(ModuleSwitches::default());
            let target = Duration::from_millis(200);
            assert!(without.share_within(target) < 0.2);
            assert!(with.share_within(target) > 0.45);
            assert_eq!(with.late, 0);
            assert_refused_early(&with);
        }
    )*};
}

target_cases! {
    replicas_behind_omuti(UserSize::Omuti);
    replicas_behind_sabarmati(UserSize::Sabarmati);
}

macro_rules! ahead_cases {
    ($($name:ident($user:expr, $gain_percent:expr);)*) => {$(
        /// A slot at an endpoint in another failure domain stands empty from the end of one run until
        /// the next statement arrives. Where endpoints let statements wait, more is answered in time.
        #[test]
        fn $name() {
            let pattern = PatternName::Mix(200).create($user);
            let strict = PolicyChoice::Scheduler(ModuleSwitches::default());
            let strict = run_pattern(&pattern, strict, SEED).all();
            let ahead = run_pattern(&pattern, PolicyChoice::Ahead, SEED).all();
            assert!(ahead.in_time * 100 > strict.in_time * (100 + $gain_percent));
            assert!(ahead.late_share() < 0.005);
            assert_refused_early(&ahead);
            let reports = PatternName::LongJobs.create($user);
            assert_eq!(run_pattern(&reports, PolicyChoice::Ahead, SEED).all_long, 0);
        }
    )*};
}

ahead_cases! {
    sent_ahead_omuti(UserSize::Omuti, 4);
    sent_ahead_sabarmati(UserSize::Sabarmati, 15);
}
