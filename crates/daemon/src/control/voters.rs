//! Maintains the voters of the replicated log: admits control VMs up to a limit, and removes voters
//! that are lost for good where that makes the majority smaller.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_control::VoterId;
use ragwort_control::is_removal_worthwhile;
use ragwort_types::VmName;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// The maximum number of voters. Each further voter makes every change wait for one more disk, and
/// in practice nine voters survive no loss that seven don't survive.
const MAX_VOTERS: usize = 7;

impl ControlTask {
    /// As leader, admits a control VM that isn't a voter, or else removes a lost voter that was
    /// replaced.
    pub(super) fn propose_voter_change(&mut self, live: &BTreeSet<VmName>) {
        if let Some(vm) = self.find_voter_to_admit(live) {
            let admitted = self.node.admit_vm(vm.clone()).is_ok();
            log_event!(Level::Info, "voter_expected", vm = vm, proposed = admitted);
        } else if let Some(vm) = self.find_voter_to_remove(live) {
            let removed = self.node.remove_vm(&vm).is_ok();
            log_event!(Level::Warn, "voter_removed", vm = vm, proposed = removed);
        }
    }

    /// Finds a live control VM outside the set, unless the set is full.
    fn find_voter_to_admit(&self, live: &BTreeSet<VmName>) -> Option<VmName> {
        let count = self.node.voters().len() + self.node.learners().len();
        if count >= MAX_VOTERS {
            return None;
        }
        let mut members = self
            .catalog
            .members()
            .filter(|member| member.traits.control);
        let admissible = members.find(|member| {
            let vm = &member.id.vm;
            live.contains(vm) && !self.node.is_member(vm) && !member.draining
        });
        admissible.map(|member| member.id.vm.clone())
    }

    /// Finds a voter whose VM has left the catalog, if its removal lets the set survive more losses.
    ///
    /// A VM that has just started isn't in the catalog either, but takes part in the log.
    fn find_voter_to_remove(&self, live: &BTreeSet<VmName>) -> Option<VmName> {
        if !self.node.learners().is_empty() {
            return None;
        }
        let voters = self.node.voters();
        let lost = |voter: &&VoterId| {
            let absent = !live.contains(&voter.vm) && self.catalog.member(&voter.vm).is_none();
            absent && self.node.is_silent(voter)
        };
        let lost: SmallVec<[&VoterId; MAX_VOTERS]> = voters.iter().filter(lost).collect();
        let surplus = voters.len().saturating_sub(self.settings.least_voters());
        let removed = lost
            .first()
            .filter(|_| is_removal_worthwhile(voters.len(), lost.len(), surplus));
        removed.map(|voter| voter.vm.clone())
    }
}
