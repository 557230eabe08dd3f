//! Outcomes for callers under each load pattern, compared with the baseline policy on the same
//! load.

mod support;
mod uneven;

use ragwort_policy::ModuleSwitches;
use ragwort_types::ShareGroupName;
use std::time::Duration;
use support::LoadOutcome;
use support::PatternName;
use support::PolicyChoice;
use support::SourceName;
use support::SourceOutcome;
use support::UserSize;
use support::run_pattern;

const SEED: u64 = 20_261_202;

/// The outcomes of both policies for one pattern.
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

/// Asserts that at most one refusal in fifty leaves the caller less than a quarter of its time.
fn assert_refused_early(outcome: &SourceOutcome) {
    assert!(
        outcome.late_refusals * 50 <= outcome.refused,
        "{} of {} refusals came late",
        outcome.late_refusals,
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
    /// A customer sends a burst of twice the capacity at a group without open connections. Callers
    /// of the other customers must not wait behind it.
    burst(PatternName::Burst) |pair: PolicyPair| {
        let others = pair.scheduler.sum(|name| name.customer != "clinics");
        assert!(others.in_time_share() > 0.99);
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.plain.all().late_share() > 0.05);
        assert!(pair.scheduler.max_connections <= 13);
        assert_refused_early(&pair.scheduler.all());
    };

    /// One session sends in a loop as much as the whole group can do. The other callers, including
    /// those of the same customer, must be served as before.
    hot_caller(PatternName::HotCaller) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.kind != "loop");
        assert!(others(&pair.scheduler).in_time_share() > 0.99);
        assert!(others(&pair.plain).in_time_share() < 0.5);
        assert!(kind(&pair.scheduler, "loop").in_time > 0);
    };

    /// Many callers write to the same record, and each such write waits for the one before it
    /// inside the endpoint. Writes to other records must not wait for slots that are held
    /// meanwhile.
    hot_key(PatternName::HotKey) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.kind != "counter");
        assert!(others(&pair.scheduler).in_time_share() > 0.99);
        assert!(others(&pair.plain).late > 10 * others(&pair.scheduler).late);
        assert!(others(&pair.plain).in_time_share() < 0.95);
        let counter = kind(&pair.scheduler, "counter");
        assert!(counter.in_time > kind(&pair.plain, "counter").in_time);
    };

    /// A replica becomes ten times slower, and reads that are sent to it are late. It must lose its
    /// work within a fraction of a second and get it back once it has recovered.
    slow_replica(PatternName::SlowReplica(10)) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.scheduler.dispatched_at_end[2] * 4 > pair.scheduler.dispatched_at_end[1] * 3);
    };

    /// A replica becomes so slow that no answer is in time. Only trials may be sent to it.
    stuck_replica(PatternName::SlowReplica(60)) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(pair.scheduler.all().late * 2 < pair.plain.all().late);
        let later: u64 = pair.scheduler.slow_dispatches.iter().skip(3).sum();
        assert!(later <= pair.scheduler.trials);
        assert!(pair.scheduler.trials <= 10);
        assert!(pair.scheduler.dispatched_at_end[2] * 4 > pair.scheduler.dispatched_at_end[1] * 3);
    };

    /// The primary becomes ten times slower. Its ordinary writes have no other instance and suffer;
    /// reads that replicas may serve, and urgent writes, must not.
    slow_primary(PatternName::SlowPrimary) |pair: PolicyPair| {
        assert!(kind(&pair.scheduler, "status").in_time_share() > 0.99);
        assert!(kind(&pair.scheduler, "urgent").in_time_share() > 0.9);
        assert!(pair.scheduler.all().late_share() < pair.plain.all().late_share() / 5.0);
    };

    /// All endpoints become five times slower at once. None may be cut off, which would make it
    /// worse.
    all_slow(PatternName::AllSlow) |pair: PolicyPair| {
        assert_eq!(pair.scheduler.trials, 0, "an endpoint was cut off");
        assert!(pair.scheduler.all().in_time_share() > 0.99);
    };

    /// Reports of half a second arrive among lookups. If they took every slot, all lookups in that
    /// time would be late.
    long_jobs(PatternName::LongJobs) |pair: PolicyPair| {
        assert_eq!(pair.scheduler.all_slots_long, 0);
        let short = pair.scheduler.sum(|name| name.kind != "report");
        assert!(short.in_time_share() > 0.995);
        assert!(kind(&pair.scheduler, "report").in_time_share() > 0.95);
        assert!(pair.plain.all().late > 0);
    };

    /// The contract declares the reports as short. The run time estimate must correct that.
    mislabelled(PatternName::Mislabelled) |pair: PolicyPair| {
        let short = pair.scheduler.sum(|name| name.kind != "report");
        assert!(short.in_time_share() > 0.995);
        assert!(kind(&pair.scheduler, "report").in_time_share() > 0.95);
    };

    /// One customer sends reads and writes of twice the group's capacity. The others stay within
    /// their shares and must not be affected.
    abuse(PatternName::Abuse) |pair: PolicyPair| {
        let others = |outcome: &LoadOutcome| outcome.sum(|name| name.customer != "abuser");
        assert!(others(&pair.scheduler).in_time_share() > 0.995);
        assert!(others(&pair.plain).in_time_share() < 0.1);
        assert_refused_early(&pair.scheduler.all());
    };

    /// More urgent writes arrive than the primary can serve. Ordinary work there must not starve.
    urgent_flood(PatternName::UrgentFlood) |pair: PolicyPair| {
        assert!(kind(&pair.scheduler, "balance").in_time_share() > 0.95);
        assert!(kind(&pair.scheduler, "update").in_time_share() > 0.4);
        assert_refused_early(&pair.scheduler.all());
    };

    /// Transactions hold connections between their statements. Other requests must still find one.
    transactions(PatternName::Transactions) |pair: PolicyPair| {
        assert!(pair.scheduler.all().in_time_share() > 0.995);
        assert!(pair.scheduler.max_connections <= 13);
    };

    /// Twice the capacity, reports, a looping caller and a slow replica at once. Answers must still
    /// be in time, and urgent requests be served.
    everything(PatternName::Everything) |pair: PolicyPair| {
        assert!(pair.scheduler.all().late_share() < 0.005);
        assert!(kind(&pair.scheduler, "urgent").in_time_share() > 0.98);
        assert!(pair.scheduler.all().in_time > pair.plain.all().in_time * 4);
        assert_refused_early(&pair.scheduler.all());
    };
}

macro_rules! overload_cases {
    ($($name:ident($user:expr);)*) => {$(
        /// More work arrives than the group can serve. If the queue grew, every answer would be
        /// late, and none would be in time at twice the capacity; the number of answers in time
        /// must stay the same.
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
        /// At half of capacity no read that a replica may serve needs the primary.
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
        /// Replicas fall behind by seconds, and two thirds more reads come to the primary than it
        /// can serve. In deadline order all would wait until shortly before their deadlines: each
        /// caller would wait for 0.7 s, though most could have had an answer in 0.1 s.
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
        /// A slot at an endpoint in another failure domain is empty from the end of one run until
        /// the next statement arrives. Where endpoints queue statements, more requests must be
        /// answered in time.
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
            assert_eq!(run_pattern(&reports, PolicyChoice::Ahead, SEED).all_slots_long, 0);
        }
    )*};
}

ahead_cases! {
    sent_ahead_omuti(UserSize::Omuti, 4);
    sent_ahead_sabarmati(UserSize::Sabarmati, 15);
}

fn run_scheduler(name: PatternName, user: UserSize) -> LoadOutcome {
    let modules = ModuleSwitches::default();
    run_pattern(&name.create(user), PolicyChoice::Scheduler(modules), SEED)
}

macro_rules! level_cases {
    ($($name:ident($percent:expr) $check:expr;)*) => {$(
        /// Callers of three levels ask for this percentage of capacity. The first level must never
        /// suffer, the second only when the first two ask for more than there is, and no slot time
        /// may go to answers that come too late.
        #[test]
        fn $name() {
            for user in [UserSize::Omuti, UserSize::Sabarmati] {
                let outcome = run_scheduler(PatternName::Levels($percent), user);
                let shares = ["checkout", "holds", "browse"]
                    .map(|name| kind(&outcome, name).in_time_share());
                assert!(shares[0] > 0.999, "{shares:?}");
                assert!(outcome.all().useful_slot_share() > 0.97);
                let check: fn([f64; 3]) = $check;
                check(shares);
            }
        }
    )*};
}

level_cases! {
    levels_at_four_fifths(80) |shares| assert!(shares[2] > 0.999);
    levels_at_nine_tenths(90) |shares| assert!(shares[2] > 0.999);
    levels_at_six_fifths(120) |shares| {
        assert!(shares[1] > 0.999, "{shares:?}");
        assert!(shares[2] > 0.5, "{shares:?}");
    };
    levels_at_three_halves(150) |shares| assert!(shares[1] > 0.95, "{shares:?}");
    levels_at_twice(200) |shares| {
        assert!(shares[1] > 0.65, "{shares:?}");
        assert!(shares[2] > 0.05, "{shares:?}");
    };
    levels_at_four_times(400) |shares| {
        assert!(shares[1] > shares[2], "{shares:?}");
        assert!(shares[2] > 0.02, "{shares:?}");
    };
}

/// A primary alone is asked for twice what it can do. In the order of slack and with equal shares
/// for two routes of the same callers, transactions of 100 ms and more are served at the expense
/// of several single requests each, and the more frequent route pays alone.
#[test]
fn primary_alone_serves_cheap_operations_first() {
    for user in [UserSize::Omuti, UserSize::Sabarmati] {
        let separate = run_scheduler(PatternName::SeparateRoutes, user).all();
        let grouped = run_scheduler(PatternName::PrimaryAlone, user);
        let all = grouped.all();
        assert!(all.lost_share() * 3.0 < separate.lost_share() * 2.0);
        assert!(all.useful_slot_share() > 0.97);
        for route in ["seller-desk", "browse"] {
            let part = kind(&grouped, route);
            assert!(part.lost_share() < 0.5, "{route}: {}", part.lost_share());
            let further = part.offered - part.operations;
            assert!(further > 30, "no transaction of {route} was served");
            // Statements of open transactions are work already begun.
            let refused_within = part.refused + part.late - part.lost_operations;
            assert!(
                refused_within * 100 <= further,
                "{refused_within} of {further}"
            );
        }
    }
}

macro_rules! unchanged_cases {
    ($($name:ident($pattern:expr, $user:ident, $digest:expr);)*) => {$(
        /// Contracts without priority levels and share groups must be decided on as by a scheduler
        /// that has neither, whose digest this is.
        #[test]
        fn $name() {
            let outcome = run_scheduler($pattern, UserSize::$user);
            assert_eq!(outcome.decisions.0, $digest);
        }
    )*};
}

unchanged_cases! {
    unchanged_at_twice_capacity(PatternName::Mix(200), Omuti, 0xed39_f3e0_7dff_14a6);
    unchanged_under_abuse(PatternName::Abuse, Sabarmati, 0x6f82_5ece_9f42_c47f);
    unchanged_with_transactions(PatternName::Transactions, Omuti, 0xe6d0_d179_0445_d5b0);
    unchanged_in_a_flood(PatternName::UrgentFlood, Sabarmati, 0x612b_fbd1_0ac4_7df4);
    unchanged_with_targets(PatternName::ReplicasBehind, Omuti, 0x4138_b0e8_6888_13ab);
    unchanged_under_everything(PatternName::Everything, Sabarmati, 0xb8a6_da7f_2045_8238);
    unchanged_without_levels(PatternName::Unlevelled(200), Omuti, 0xddfc_63d9_7d2d_cec3);
    unchanged_for_separate_routes(PatternName::SeparateRoutes, Sabarmati, 0x83f7_94d8_5056_0725);
}

/// While slots aren't scarce, a share group of one contract must change nothing: costlier
/// operations would wait for no reason.
#[test]
fn order_is_by_slack_without_scarcity() {
    for name in [PatternName::Mix(50), PatternName::Transactions] {
        let plain = name.create(UserSize::Omuti);
        let mut grouped = plain.clone();
        for terms in &mut grouped.terms {
            terms.share_group = Some(ShareGroupName::from(terms.customer.as_str()));
        }
        let policy = PolicyChoice::Scheduler(ModuleSwitches::default());
        let [plain, grouped] =
            [plain, grouped].map(|pattern| run_pattern(&pattern, policy, SEED).decisions);
        assert_eq!(plain, grouped);
    }
}
