//! Plans the handovers that are due with a catalog's placements, once for all groups of a VM.
//!
//! A VM leads dozens of groups among hundreds, and as VMs come and go the catalog changes many
//! times a second. A plan looks at every group and VM: if each group's task made its own, the cost
//! would grow with the square of the number of groups.

use ragwort_control::CatalogCopy;
use ragwort_control::plan_handovers;
use ragwort_control::plan_moves_to_endpoints;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

/// The handovers planned for the groups of one VM.
#[derive(Debug, Default)]
pub struct HandoverPlans {
    due: BTreeMap<GroupName, GroupPlacement>,
    closer: BTreeMap<GroupName, GroupPlacement>,
    closer_while_unused: BTreeMap<GroupName, GroupPlacement>,
}

impl HandoverPlans {
    fn plan(copy: &CatalogCopy, vm: &VmName) -> Self {
        Self {
            due: by_group(plan_handovers(copy, vm)),
            closer: by_group(plan_moves_to_endpoints(copy, vm, false)),
            closer_while_unused: by_group(plan_moves_to_endpoints(copy, vm, true)),
        }
    }

    /// Returns the placement that a group should get because its VM drains or leads more than its
    /// share.
    pub fn due(&self, group: &GroupName) -> Option<&GroupPlacement> {
        self.due.get(group)
    }

    /// Returns the placement that a group should get because its endpoints are far from its VM;
    /// `unused` says that it has served nothing yet.
    pub fn closer_placement(&self, group: &GroupName, unused: bool) -> Option<&GroupPlacement> {
        let plans = match unused {
            true => &self.closer_while_unused,
            false => &self.closer,
        };
        plans.get(group)
    }
}

fn by_group(plans: Vec<GroupPlacement>) -> BTreeMap<GroupName, GroupPlacement> {
    let named = plans.into_iter().map(|plan| (plan.group.clone(), plan));
    named.collect()
}

/// Keeps the latest plans of this VM; clones share them.
#[derive(Clone, Debug, Default)]
pub struct HandoverPlanner(Arc<Mutex<Option<PlannedCopy>>>);

#[derive(Debug)]
struct PlannedCopy {
    copy: CatalogCopy,
    plans: Arc<HandoverPlans>,
}

impl HandoverPlanner {
    /// Returns the plans for a copy, making them if its placements or members are new.
    ///
    /// # Panics
    ///
    /// Panics if an earlier call has panicked.
    pub fn plan(&self, copy: &CatalogCopy, vm: &VmName) -> Arc<HandoverPlans> {
        let mut last = self.0.lock().expect("no planning panics");
        if let Some(planned) = last.as_ref()
            && (planned.copy.revision() == copy.revision() || planned.copy.shares_groups(copy))
        {
            return Arc::clone(&planned.plans);
        }
        let plans = Arc::new(HandoverPlans::plan(copy, vm));
        *last = Some(PlannedCopy {
            copy: copy.clone(),
            plans: Arc::clone(&plans),
        });
        plans
    }
}
