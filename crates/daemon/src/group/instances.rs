//! Maintains the group's instance set, of which a majority must hold each write.
//!
//! Instances are added and removed one at a time, so that any majority of the old set shares an
//! instance with any majority of the new one.

use super::GroupTask;
use ragwort_control::ClockTime;
use ragwort_control::PromotionInput;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::InstanceChange;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use std::time::Duration;

/// How long a new group collects announcements before its first instance is chosen.
const FORMATION_WAIT: Duration = Duration::from_millis(300);

/// How long an instance must be silent before it counts as lost. The restart of an endpoint takes
/// less time; with a longer wait, one more loss could leave the group without a majority.
const LOST_INSTANCE_SILENCE: Duration = Duration::from_secs(5);

/// The smallest set from which a lost instance is removed, so that at least three remain.
const MIN_SET_TO_SHRINK: usize = 4;

/// The pause before a command with an unknown outcome is proposed again.
const COMMAND_RETRY_PAUSE: Duration = Duration::from_millis(50);

impl GroupTask {
    /// Adds the first instance of a new group: the announced primary, or else the instance with the
    /// highest position.
    pub(super) fn form_group(&mut self, now: ClockTime) {
        if !self.record.instances.is_empty() {
            self.step_promotion(PromotionInput::FormationReady);
            return;
        }
        if self.promotion.set_change_pending
            || now.since(self.promotion.resumed_at) < FORMATION_WAIT
        {
            return;
        }
        let best = self.pool.endpoints().max_by_key(|entry| {
            let status = &entry.announcement.status;
            (status.role == InstanceRole::Primary, status.position)
        });
        let Some(instance) = best.map(|entry| entry.announcement.instance.clone()) else {
            return;
        };
        self.promotion.set_change_pending = true;
        let change = self.instance_change(instance);
        self.propose(CatalogCommand::AddInstance(change), Duration::ZERO);
    }

    fn instance_change(&self, instance: InstanceName) -> InstanceChange {
        InstanceChange {
            group: self.group.clone(),
            epoch: self.record.placement.epoch,
            term: self.record.term,
            instance,
        }
    }

    /// Adds an instance that has caught up, or removes one that leaves or is lost, unless another
    /// change is pending.
    pub(super) fn change_instance_set(&mut self) {
        if self.promotion.set_change_pending {
            return;
        }
        if let Some(instance) = self.find_addable_instance() {
            self.promotion.set_change_pending = true;
            self.quorum.propose_add(&instance);
            let change = self.instance_change(instance);
            self.propose(CatalogCommand::AddInstance(change), Duration::ZERO);
        } else if let Some(instance) = self.find_removable_instance() {
            self.promotion.set_change_pending = true;
            self.quorum.propose_remove(&instance);
            let change = self.instance_change(instance);
            self.propose(CatalogCommand::RemoveInstance(change), Duration::ZERO);
        }
    }

    fn find_addable_instance(&self) -> Option<InstanceName> {
        let mut announced = self.pool.endpoints().map(|entry| &entry.announcement);
        let addable = announced.find(|announcement| {
            !announcement.status.leaving && self.quorum.may_add(&announcement.instance)
        });
        addable.map(|announcement| announcement.instance.clone())
    }

    /// Finds an instance that leaves, or one that is lost and may be removed.
    ///
    /// A lost instance in a set of even size makes the majority larger than needed: with four
    /// instances and one lost, the loss of a second would stop all writes. In a set of odd size its
    /// removal would not make the majority smaller, so it stays and may return.
    fn find_removable_instance(&self) -> Option<InstanceName> {
        let now = self.context.clock.now();
        let count = self.record.instances.len();
        let replaced = count >= MIN_SET_TO_SHRINK && count.is_multiple_of(2);
        let mut members = self.record.instances.iter();
        let removable = members.find(|instance| {
            let leaves = match self.pool.endpoint(instance) {
                Some(entry) => entry.announcement.status.leaving,
                None => replaced && self.pool.silent_for(instance, now) >= LOST_INSTANCE_SILENCE,
            };
            leaves && self.quorum.may_remove(instance)
        });
        removable.cloned()
    }

    /// Starts the promotion of another instance when the primary announces that it leaves.
    pub(super) fn replace_leaving_primary(&mut self) {
        let primary = self.record.primary.as_ref();
        let entry = primary.and_then(|primary| self.pool.endpoint(primary));
        if entry.is_some_and(|entry| entry.announcement.status.leaving)
            && self.record.instances.len() > 1
        {
            self.suspect_primary(self.context.clock.now());
        }
    }

    /// Handles the outcome of a proposed change of the instance set.
    pub(super) fn finish_set_change(&mut self, command: CatalogCommand, reply: &CommandReply) {
        match reply {
            CommandReply::Committed(CatalogOutcome::Done(_)) => {
                self.promotion.set_change_pending = false
            }
            CommandReply::Committed(_) => {
                self.promotion.set_change_pending = false;
                self.quorum.withdraw_proposal();
            }
            // The change may still be committed. Until the outcome is known, majorities of both
            // sets are required, so the command is proposed again.
            CommandReply::NoLeader | CommandReply::Unknown => {
                self.propose(command, COMMAND_RETRY_PAUSE);
            }
        }
    }
}
