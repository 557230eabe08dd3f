//! Which control VMs vote: all of them, and those that are gone for good no more.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_control::VoterId;
use ragwort_types::VmName;
use std::collections::BTreeSet;

/// The most voters of the agreed log. Each more makes every change wait for one more disk, and nine
/// survive no loss that seven don't survive in practice.
const MOST_VOTERS: usize = 7;

impl ControlTask {
    /// As leader: lets control VMs that are no voters join, and removes a lost one that was replaced.
    pub(super) fn care_for_voters(&mut self, live: &BTreeSet<VmName>) {
        if let Some(vm) = self.find_joiner(live) {
            let admitted = self.node.admit_vm(vm.clone()).is_ok();
            log_event!(Level::Info, "voter_expected", vm = vm, proposed = admitted);
        } else if let Some(vm) = self.find_lost_voter(live) {
            let removed = self.node.remove_vm(&vm).is_ok();
            log_event!(Level::Warn, "voter_removed", vm = vm, proposed = removed);
        }
    }

    fn find_joiner(&self, live: &BTreeSet<VmName>) -> Option<VmName> {
        let count = self.node.voters().len() + self.node.learners().len();
        if count >= MOST_VOTERS {
            return None;
        }
        let mut members = self
            .catalog
            .members()
            .filter(|member| member.traits.control);
        let joiner = members.find(|member| {
            let vm = &member.id.vm;
            live.contains(vm) && !self.node.is_member(vm) && !member.draining
        });
        joiner.map(|member| member.id.vm.clone())
    }

    /// Finds a voter whose VM has left the catalog, where its removal costs nothing.
    ///
    /// A set of even size survives no more losses than one that is smaller by one, so a lost voter
    /// that was replaced only makes the majority larger. In a set of odd size it may as well come
    /// back.
    fn find_lost_voter(&self, live: &BTreeSet<VmName>) -> Option<VmName> {
        let voters = self.node.voters();
        let even = voters.len().is_multiple_of(2);
        if !even || voters.len() <= self.settings.least_voters() || !self.node.learners().is_empty()
        {
            return None;
        }
        let lost = |voter: &&VoterId| {
            !live.contains(&voter.vm) && self.catalog.member(&voter.vm).is_none()
        };
        voters.iter().find(lost).map(|voter| voter.vm.clone())
    }
}
