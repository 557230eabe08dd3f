//! Random runs of the replicated log over three and five VMs, with fixed seeds.
//!
//! Each run mixes proposals and reads with lost, duplicated, delayed and reordered messages,
//! network partitions, frozen processes, crashes at syncs, lost and remounted disks, long isolation
//! and log compaction. Invariants throughout: one leader per term, equal logs, no committed entry
//! lost or changed, applied indices that never decrease, and no stale reads. At the end the faults
//! stop, and the log must recover all voters by itself, unless more disks were lost than can be
//! repaired.

mod agreement_network;

use agreement_network::scenario::LossLimit;
use agreement_network::scenario::RandomRun;
use ragwort_control::agreement::AgreementGuard;
use ragwort_control::agreement::GuardSet;
use std::panic;

macro_rules! random_runs {
    ($($name:ident: $vms:expr, $steps:expr, $limit:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                RandomRun::new($vms, $steps, seed, $limit).execute();
            }
        }
    )*};
}

random_runs! {
    three_vms_with_repairable_losses: 3, 100, LossLimit::Repairable, 0..300;
    five_vms_with_repairable_losses: 5, 100, LossLimit::Repairable, 1000..1200;
    three_vms_with_any_losses: 3, 200, LossLimit::Unlimited, 2000..2300;
    five_vms_with_any_losses: 5, 200, LossLimit::Unlimited, 3000..3200;
}

/// Runs seeds until a check fails, and expects that failure to be the given one.
macro_rules! detected_faults {
    ($($name:ident: $failure:literal, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let change: fn(&mut RandomRun) = $change;
            let failure = (0..400).find_map(|seed| {
                let mut run = RandomRun::new(3, 100, seed, LossLimit::Repairable);
                change(&mut run);
                let payload = panic::catch_unwind(|| drop(run.execute())).err()?;
                payload.downcast_ref::<String>().cloned()
            });
            let failure = failure.expect("a run detects the fault");
            println!("{failure}");
            assert!(failure.contains($failure), "unexpected failure: {failure}");
        }
    )*};
}

// Shows that the random runs contain enough faults to detect a missing guard.
detected_faults! {
    detects_missing_read_confirmation: "stale read", |run| {
        run.guards = GuardSet::without(AgreementGuard::ReadConfirmation);
    };
    detects_missing_own_entry: "stale read", |run| {
        run.guards = GuardSet::without(AgreementGuard::ReadAfterOwnEntry);
    };
    detects_missing_pre_vote: "isn't fully repaired", |run| {
        run.guards = GuardSet::without(AgreementGuard::PreVote);
    };
    detects_reused_incarnation: "another entry", |run| {
        run.guards = GuardSet::without(AgreementGuard::ConfiguredVote);
        run.reuses_incarnation = true;
        run.limit = LossLimit::Unlimited;
    };
}
