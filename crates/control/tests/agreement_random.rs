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
use ragwort_control::agreement::GuardSet;

macro_rules! random_runs {
    ($($name:ident: $vms:expr, $steps:expr, $limit:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                let run = RandomRun {
                    vms: $vms,
                    steps: $steps,
                    seed,
                    limit: $limit,
                    guards: GuardSet::all(),
                };
                run.execute();
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
