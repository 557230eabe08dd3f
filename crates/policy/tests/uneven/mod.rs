//! Outcomes for callers when one endpoint of three rejects or fails a part of its statements,
//! compared with a scheduler that isn't told of rejections and failures as such.

use crate::support::FaultReports;
use crate::support::LoadOutcome;
use crate::support::PatternName;
use crate::support::PolicyChoice;
use crate::support::UserSize;
use crate::support::run_pattern;
use ragwort_policy::ModuleSwitches;

const SEED: u64 = 20_261_203;

/// The seed with which the digests of runs without faults were recorded.
const PATTERN_SEED: u64 = 20_261_202;

const USERS: [UserSize; 2] = [UserSize::Omuti, UserSize::Sabarmati];

/// The outcomes of one pattern with and without learning from rejections and failures.
struct LearningPair {
    told: LoadOutcome,
    merged: LoadOutcome,
}

fn run(name: PatternName, user: UserSize, reports: FaultReports) -> LoadOutcome {
    let mut pattern = name.create(user);
    pattern.reports = reports;
    let policy = PolicyChoice::Scheduler(ModuleSwitches::default());
    run_pattern(&pattern, policy, SEED)
}

fn run_both(name: PatternName, user: UserSize) -> LearningPair {
    LearningPair {
        told: run(name, user, FaultReports::Told),
        merged: run(name, user, FaultReports::Merged),
    }
}

fn assert_in_time(outcome: &LoadOutcome, least: f64) {
    let share = outcome.all().in_time_share();
    assert!(share >= least, "{share} of the requests in time");
}

/// A replica rejects a part of its statements at once. Its slots look free, it attracts more than
/// its part, and callers are refused although the other endpoints have time for them.
#[test]
fn rejecting_replica_at_half_capacity() {
    for user in USERS {
        for percent in [33, 45] {
            let pair = run_both(PatternName::Rejecting(1, percent, 50), user);
            assert_in_time(&pair.told, 0.999);
            assert!(pair.merged.all().in_time_share() < 0.95);
            assert!(pair.told.rejected * 10 < pair.merged.rejected * 7);
            assert!(pair.told.sent[1] < pair.told.sent[2], "more than its peer");
        }
    }
}

/// The same at full capacity, where nobody else has room: what the replica doesn't reject is
/// needed.
#[test]
fn rejecting_replica_at_full_capacity() {
    for user in USERS {
        for percent in [33, 45] {
            let pair = run_both(PatternName::Rejecting(1, percent, 100), user);
            assert_in_time(&pair.told, 0.94);
            assert!(pair.told.all().in_time > pair.merged.all().in_time);
            assert!(pair.told.all().late_share() < 0.005);
        }
    }
}

/// At a fifth of capacity the other replica can serve all reads, so the rejecting one must get
/// trials only.
#[test]
fn rejecting_replica_is_cut_off_where_its_peer_has_room() {
    for user in USERS {
        let pair = run_both(PatternName::Rejecting(1, 33, 20), user);
        assert_in_time(&pair.told, 0.999);
        assert!(pair.told.trials > 0);
        assert!(pair.told.sent[1] <= pair.told.trials + 20);
        assert!(pair.told.rejected * 5 < pair.merged.rejected);
    }
}

/// The primary rejects a part. What only it can serve must not lose its dispatches within a few
/// milliseconds, nor be refused because retries have used up the group's budget.
#[test]
fn rejecting_primary() {
    for user in USERS {
        for percent in [33, 45] {
            for (load, least) in [(50, 0.998), (100, 0.98)] {
                let pair = run_both(PatternName::Rejecting(0, percent, load), user);
                let primary = |outcome: &LoadOutcome| outcome.sum(|name| name.kind != "status");
                assert_in_time(&pair.told, least);
                assert!(primary(&pair.told).in_time_share() > 0.995);
                assert!(primary(&pair.merged).in_time_share() < 0.96);
                // At most three statements for each that it answers.
                let answered = pair.told.sent[0] - pair.told.rejected;
                assert!(pair.told.sent[0] <= answered * 3);
            }
        }
    }
}

/// A replica fails a part of its reads, each after a whole run. At half of capacity its peers have
/// the time for nearly all of them.
#[test]
fn failing_replica() {
    for user in USERS {
        let pair = run_both(PatternName::Failing(30, 50), user);
        assert_in_time(&pair.told, 0.999);
        assert!(pair.merged.all().in_time_share() < 0.97);
        assert!(pair.told.failed * 10 < pair.merged.failed * 7);
    }
}

/// A replica goes down each second for half a second and loses what runs on it. Callers must not
/// notice at half of capacity.
#[test]
fn flapping_replica_at_half_capacity() {
    for user in USERS {
        let pair = run_both(PatternName::Flapping(50), user);
        assert_in_time(&pair.told, 0.999);
        assert!(pair.told.lost <= pair.merged.lost);
    }
}

/// Returns a hash of what each caller received and when.
fn digest(outcome: &LoadOutcome) -> u64 {
    let mut digest = 0xcbf2_9ce4_8422_2325;
    let mut add = |number: u64| {
        for byte in number.to_le_bytes() {
            digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    };
    for part in outcome.sources.values() {
        add(part.offered);
        add(part.in_time);
        add(part.late);
        add(part.refused);
        for wait in &part.waits {
            add(wait.as_micros() as u64);
        }
    }
    add(outcome.replica_reads);
    add(outcome.trials);
    digest
}

/// Without rejections, failures and outages each caller must receive what it received before the
/// scheduler learned from them. The digests are those of a scheduler without it.
#[test]
fn without_faults_decisions_are_as_before() {
    let recorded = [
        (
            PatternName::Mix(100),
            [0x995b_a4db_fcbc_0210, 0x857f_5ab5_3679_e792],
        ),
        (
            PatternName::Mix(200),
            [0xa8bd_2760_4f6d_b1c3, 0x73e2_4fd8_5732_0d03],
        ),
        (
            PatternName::HotKey,
            [0x3fde_c387_0396_268e, 0xb857_de4f_771f_c494],
        ),
        (
            PatternName::SlowReplica(60),
            [0x1814_f2a8_3c1e_185b, 0x64d2_0016_1bb5_112c],
        ),
        (
            PatternName::LongJobs,
            [0xeebf_8d34_0856_364f, 0x73d6_fa66_ea34_887c],
        ),
        (
            PatternName::Transactions,
            [0x2990_2d4e_2bee_2ddc, 0xd67f_5b0b_2278_7820],
        ),
        (
            PatternName::ReplicasBehind,
            [0x1757_2edd_c330_85ad, 0x1757_2edd_c330_85ad],
        ),
        (
            PatternName::Everything,
            [0xdd73_3f2b_5b4b_ab49, 0x40b5_67ba_ffc5_7978],
        ),
    ];
    for (name, digests) in recorded {
        for (user, digest) in USERS.into_iter().zip(digests) {
            let policy = PolicyChoice::Scheduler(ModuleSwitches::default());
            let outcome = run_pattern(&name.create(user), policy, PATTERN_SEED);
            assert_eq!(self::digest(&outcome), digest, "{user:?} {name:?}");
        }
    }
}
