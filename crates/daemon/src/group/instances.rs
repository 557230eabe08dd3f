//! The group's instance set: whom it counts towards a majority, changed by one instance at a time.

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

/// How long a new group's endpoints are gathered before the first one is chosen.
const GATHER_TIME: Duration = Duration::from_millis(300);

/// How long an instance must be silent before it is taken for lost. A restart of an endpoint takes
/// less; a longer wait would leave the group with a majority that one more loss breaks.
const LOST_INSTANCE: Duration = Duration::from_secs(5);

/// The smallest set that a lost instance is removed from: what is left must still be three.
const SMALLEST_SHRINKING_SET: usize = 4;

/// The pause before a command without a known outcome is proposed again.
const COMMAND_PAUSE: Duration = Duration::from_millis(50);

impl GroupTask {
    /// Chooses a new group's first instance: the announced primary, or the one with most data.
    pub(super) fn form_group(&mut self, now: ClockTime) {
        if !self.record.instances.is_empty() {
            self.step_promotion(PromotionInput::FormationReady);
            return;
        }
        if self.promotion.changing_set || now.since(self.promotion.born) < GATHER_TIME {
            return;
        }
        let best = self.pool.endpoints().max_by_key(|entry| {
            let status = &entry.announcement.status;
            (status.role == InstanceRole::Primary, status.position)
        });
        let Some(instance) = best.map(|entry| entry.announcement.instance.clone()) else {
            return;
        };
        self.promotion.changing_set = true;
        let change = self.describe_change(instance);
        self.propose(CatalogCommand::AddInstance(change), Duration::ZERO);
    }

    fn describe_change(&self, instance: InstanceName) -> InstanceChange {
        InstanceChange {
            group: self.group.clone(),
            epoch: self.record.placement.epoch,
            term: self.record.term,
            instance,
        }
    }

    /// Adds an instance that has caught up, or removes one that leaves; one change at a time.
    pub(super) fn change_instance_set(&mut self) {
        if self.promotion.changing_set {
            return;
        }
        if let Some(instance) = self.find_joiner() {
            self.promotion.changing_set = true;
            self.quorum.propose_add(&instance);
            let change = self.describe_change(instance);
            self.propose(CatalogCommand::AddInstance(change), Duration::ZERO);
        } else if let Some(instance) = self.find_leaver() {
            self.promotion.changing_set = true;
            self.quorum.propose_remove(&instance);
            let change = self.describe_change(instance);
            self.propose(CatalogCommand::RemoveInstance(change), Duration::ZERO);
        }
    }

    fn find_joiner(&self) -> Option<InstanceName> {
        let mut announced = self.pool.endpoints().map(|entry| &entry.announcement);
        let joiner = announced.find(|announcement| {
            !announcement.status.leaving && self.quorum.may_add(&announcement.instance)
        });
        joiner.map(|announcement| announcement.instance.clone())
    }

    /// Finds an instance that leaves, or one that is lost and has been replaced.
    ///
    /// A lost instance in a set of even size makes the majority larger than it need be: with four
    /// instances and one lost, the loss of a second would stop all writes. In a set of odd size its
    /// removal would not make the majority smaller, so it may as well come back.
    fn find_leaver(&self) -> Option<InstanceName> {
        let now = self.context.clock.now();
        let count = self.record.instances.len();
        let replaced = count >= SMALLEST_SHRINKING_SET && count.is_multiple_of(2);
        let mut members = self.record.instances.iter();
        let leaver = members.find(|instance| {
            let leaves = match self.pool.endpoint(instance) {
                Some(entry) => entry.announcement.status.leaving,
                None => replaced && self.pool.silent_for(instance, now) >= LOST_INSTANCE,
            };
            leaves && self.quorum.may_remove(instance)
        });
        leaver.cloned()
    }

    /// Promotes another instance when the primary announces that it leaves.
    pub(super) fn replace_leaving_primary(&mut self) {
        let primary = self.record.primary.as_ref();
        let entry = primary.and_then(|primary| self.pool.endpoint(primary));
        if entry.is_some_and(|entry| entry.announcement.status.leaving)
            && self.record.instances.len() > 1
        {
            self.suspect_primary(self.context.clock.now());
        }
    }

    pub(super) fn end_set_change(&mut self, command: CatalogCommand, reply: &CommandReply) {
        match reply {
            CommandReply::Committed(CatalogOutcome::Done(_)) => self.promotion.changing_set = false,
            CommandReply::Committed(_) => {
                self.promotion.changing_set = false;
                self.quorum.withdraw_proposal();
            }
            // It may yet be committed: both sets must agree until it's known, so it is asked again.
            CommandReply::NoLeader | CommandReply::Unknown => {
                self.propose(command, COMMAND_PAUSE);
            }
        }
    }
}
