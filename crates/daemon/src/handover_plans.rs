//! Plans the handovers that are due at a revision of the catalog, once for all groups of a VM.
//!
//! A VM leads dozens of groups among hundreds, and as VMs come and go the catalog changes many
//! times a second. A plan looks at every group and VM: if each group's task made its own, the cost
//! would grow with the square of the number of groups.

use ragwort_control::CatalogCopy;
use ragwort_control::plan_handovers;
use ragwort_control::plan_moves_to_endpoints;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::VmName;
use std::sync::Arc;
use std::sync::Mutex;

/// The handovers planned for the groups of one VM at one revision.
#[derive(Debug, Default)]
pub struct HandoverPlans {
    due: Vec<GroupPlacement>,
    closer: Vec<GroupPlacement>,
    closer_while_unused: Vec<GroupPlacement>,
}

impl HandoverPlans {
    fn plan(copy: &CatalogCopy, vm: &VmName) -> Self {
        Self {
            due: plan_handovers(copy, vm),
            closer: plan_moves_to_endpoints(copy, vm, false),
            closer_while_unused: plan_moves_to_endpoints(copy, vm, true),
        }
    }

    /// Returns the placement that a group should get because its VM drains or leads more than its
    /// share.
    pub fn due(&self, group: &GroupName) -> Option<&GroupPlacement> {
        find_plan(&self.due, group)
    }

    /// Returns the placement that a group should get because its endpoints are far from its VM;
    /// `unused` says that it has served nothing yet.
    pub fn closer_placement(&self, group: &GroupName, unused: bool) -> Option<&GroupPlacement> {
        let plans = match unused {
            true => &self.closer_while_unused,
            false => &self.closer,
        };
        find_plan(plans, group)
    }
}

fn find_plan<'a>(plans: &'a [GroupPlacement], group: &GroupName) -> Option<&'a GroupPlacement> {
    plans.iter().find(|plan| plan.group == *group)
}

/// Keeps the latest plans of this VM; clones share them.
#[derive(Clone, Debug, Default)]
pub struct HandoverPlanner(Arc<Mutex<Option<PlannedRevision>>>);

#[derive(Debug)]
struct PlannedRevision {
    revision: CatalogRevision,
    plans: Arc<HandoverPlans>,
}

impl HandoverPlanner {
    /// Returns the plans at a copy's revision, making them if the revision is new.
    ///
    /// # Panics
    ///
    /// Panics if an earlier call has panicked.
    pub fn plan(&self, copy: &CatalogCopy, vm: &VmName) -> Arc<HandoverPlans> {
        let mut last = self.0.lock().expect("no planning panics");
        let revision = copy.revision();
        if let Some(planned) = last.as_ref()
            && planned.revision == revision
        {
            return Arc::clone(&planned.plans);
        }
        let plans = Arc::new(HandoverPlans::plan(copy, vm));
        *last = Some(PlannedRevision {
            revision,
            plans: Arc::clone(&plans),
        });
        plans
    }
}
