//! Random runs of the agreed log over three and five VMs, with fixed seeds.
//!
//! Each run mixes proposals and reads with lost, doubled, delayed and reordered messages, cuts,
//! frozen processes, crashes at every sync, lost and remounted disks, long silences and compacted
//! logs. Throughout: one leader per term, equal logs, no committed entry lost or changed, applied
//! indices that only grow, and reads that are never stale. At the end the faults cease, and the log
//! must become whole again by itself, unless more disks were lost than can be repaired.

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

/// Runs seeds until a check fails, and expects the failure to be the one meant.
macro_rules! noticed_faults {
    ($($name:ident: $harm:literal, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let change: fn(&mut RandomRun) = $change;
            let harm = (0..400).find_map(|seed| {
                let mut run = RandomRun::new(3, 100, seed, LossLimit::Repairable);
                change(&mut run);
                let payload = panic::catch_unwind(|| drop(run.execute())).err()?;
                payload.downcast_ref::<String>().cloned()
            });
            let harm = harm.expect("the runs notice the fault");
            println!("{harm}");
            assert!(harm.contains($harm), "another harm than expected: {harm}");
        }
    )*};
}

// The runs must be rough enough to notice that a rule is missing.
noticed_faults! {
    notice_missing_read_confirmation: "stale read", |run| {
        run.guards = GuardSet::without(AgreementGuard::ReadConfirmation);
    };
    notice_missing_own_entry: "stale read", |run| {
        run.guards = GuardSet::without(AgreementGuard::ReadAfterOwnEntry);
    };
    notice_missing_pre_vote: "isn't whole again", |run| {
        run.guards = GuardSet::without(AgreementGuard::PreVote);
    };
    notice_repeated_incarnation: "another entry", |run| {
        run.guards = GuardSet::without(AgreementGuard::ConfiguredVote);
        run.repeats_incarnation = true;
        run.limit = LossLimit::Unlimited;
    };
}
