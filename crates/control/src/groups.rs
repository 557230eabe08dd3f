//! Placement, instance sets and terms of groups in the catalog.

use crate::catalog::CatalogState;
use crate::catalog::StampedItem;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceChange;
use ragwort_types::JournalConfirmation;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::PrimaryRecord;
use ragwort_types::RecordedEndpoints;
use ragwort_types::RecordedOrder;
use ragwort_types::TermStart;
use ragwort_types::TokenRequest;
use smallvec::SmallVec;

impl CatalogState {
    pub(crate) fn place_group(
        &mut self,
        revision: CatalogRevision,
        placement: &GroupPlacement,
    ) -> CatalogOutcome {
        let former = self.groups.get(&placement.group);
        if let Some(former) = former
            && former.item.placement == *placement
        {
            return CatalogOutcome::Done(former.stamp);
        }
        let epoch = former.map_or(PlacementEpoch(0), |former| former.item.placement.epoch);
        if placement.epoch != epoch.next() || !self.can_serve(placement) {
            return CatalogOutcome::Stale;
        }
        if former.is_none() {
            self.form_group(placement);
        }
        self.change_group(revision, &placement.group, |record| {
            record.placement = placement.clone();
        });
        CatalogOutcome::Done(revision)
    }

    /// Returns whether the placement names only distinct members of the catalog.
    fn can_serve(&self, placement: &GroupPlacement) -> bool {
        let mut named = vec![&placement.leaseholder];
        named.extend(&placement.standbys);
        let present = named.iter().all(|vm| self.members.contains_key(*vm));
        let count = named.len();
        named.sort();
        named.dedup();
        present && named.len() == count
    }

    fn form_group(&mut self, placement: &GroupPlacement) {
        let record = GroupRecord {
            placement: placement.clone(),
            term: GroupTerm(0),
            term_epoch: PlacementEpoch(0),
            primary: None,
            start: LogPosition::default(),
            instances: SmallVec::new(),
            journal_epoch: PlacementEpoch(0),
            endpoints: Vec::new(),
            orders: Vec::new(),
        };
        self.groups.insert(
            placement.group.clone(),
            StampedItem {
                stamp: CatalogRevision(0),
                item: record,
            },
        );
    }

    pub(crate) fn confirm_journal(
        &mut self,
        revision: CatalogRevision,
        confirmation: &JournalConfirmation,
    ) -> CatalogOutcome {
        let Some(former) = self.groups.get(&confirmation.group) else {
            return CatalogOutcome::Stale;
        };
        let record = &former.item;
        // A former leaseholder must not dispatch: its successor has already read the journal.
        if record.placement.epoch != confirmation.epoch {
            return CatalogOutcome::Stale;
        }
        if record.journal_epoch == confirmation.epoch {
            return CatalogOutcome::Done(former.stamp);
        }
        self.change_group(revision, &confirmation.group, |record| {
            record.journal_epoch = confirmation.epoch;
        });
        CatalogOutcome::Done(revision)
    }

    /// Issues a fencing token that is higher than all earlier ones: the index of the log entry.
    ///
    /// A former leaseholder gets none. Its order to promote would otherwise count as newer than its
    /// successor's, and the group would end up with a primary that receives no writes.
    ///
    /// The order is recorded, so that a successor knows of it while it may still take effect.
    pub(crate) fn issue_token(
        &mut self,
        revision: CatalogRevision,
        request: &TokenRequest,
    ) -> CatalogOutcome {
        let record = self.group(&request.group);
        if record.is_none_or(|record| record.placement.epoch != request.epoch) {
            return CatalogOutcome::Stale;
        }
        self.change_group(revision, &request.group, |record| {
            record
                .orders
                .retain(|order| order.instance != request.instance);
            record.orders.push(RecordedOrder {
                instance: request.instance.clone(),
                token: revision.0,
            });
        });
        CatalogOutcome::Done(revision)
    }

    /// Records a leaseholder's view of its endpoints. That of a former leaseholder is refused.
    pub(crate) fn record_endpoints(
        &mut self,
        revision: CatalogRevision,
        recorded: &RecordedEndpoints,
    ) -> CatalogOutcome {
        let Some(former) = self.groups.get(&recorded.group) else {
            return CatalogOutcome::Stale;
        };
        if former.item.placement.epoch != recorded.epoch {
            return CatalogOutcome::Stale;
        }
        let same_primary =
            former.item.term == recorded.term && former.item.primary == recorded.primary;
        let mut orders = former.item.orders.iter();
        let same_orders = orders.all(|order| order.token > recorded.settled_token);
        if same_primary && same_orders && former.item.endpoints == recorded.endpoints {
            return CatalogOutcome::Done(former.stamp);
        }
        self.change_group(revision, &recorded.group, |record| {
            record.endpoints = recorded.endpoints.clone();
            record
                .orders
                .retain(|order| order.token > recorded.settled_token);
            // The recorded term never falls.
            if recorded.term >= record.term {
                record.term = recorded.term;
                record.primary = recorded.primary.clone();
            }
        });
        CatalogOutcome::Done(revision)
    }

    pub(crate) fn add_instance(
        &mut self,
        revision: CatalogRevision,
        change: &InstanceChange,
    ) -> CatalogOutcome {
        let Some(former) = self.changeable_group(change) else {
            return CatalogOutcome::Stale;
        };
        if former.item.instances.contains(&change.instance) {
            return CatalogOutcome::Done(former.stamp);
        }
        self.change_group(revision, &change.group, |record| {
            record.instances.push(change.instance.clone());
        });
        CatalogOutcome::Done(revision)
    }

    pub(crate) fn remove_instance(
        &mut self,
        revision: CatalogRevision,
        change: &InstanceChange,
    ) -> CatalogOutcome {
        let Some(former) = self.changeable_group(change) else {
            return CatalogOutcome::Stale;
        };
        if !former.item.instances.contains(&change.instance) {
            return CatalogOutcome::Done(former.stamp);
        }
        // A set without its primary or without instances could guarantee nothing.
        let is_primary = former.item.primary.as_ref() == Some(&change.instance);
        if is_primary || former.item.instances.len() == 1 {
            return CatalogOutcome::Stale;
        }
        self.change_group(revision, &change.group, |record| {
            record.instances.retain(|name| *name != change.instance);
        });
        CatalogOutcome::Done(revision)
    }

    /// Returns the group if its instance set may change under the epoch and term of the change.
    ///
    /// Between the start of a term and its primary the set is fixed, so that the majority that is
    /// fenced intersects the majority that acknowledged. A group that never had a primary has
    /// acknowledged nothing yet.
    fn changeable_group(&self, change: &InstanceChange) -> Option<&StampedItem<GroupRecord>> {
        let former = self.groups.get(&change.group)?;
        let record = &former.item;
        let current = record.placement.epoch == change.epoch && record.term == change.term;
        let settled = record.primary.is_some() || !has_had_primary(record);
        (current && settled).then_some(former)
    }

    pub(crate) fn begin_term(
        &mut self,
        revision: CatalogRevision,
        start: &TermStart,
    ) -> CatalogOutcome {
        let Some(former) = self.groups.get(&start.group) else {
            return CatalogOutcome::Stale;
        };
        let record = &former.item;
        if record.placement.epoch != start.epoch || record.instances.is_empty() {
            return CatalogOutcome::Stale;
        }
        // An epoch has only one leaseholder, so this is its own command, sent again.
        let resent = record.term == start.term && record.term_epoch == start.epoch;
        if resent && record.primary.is_none() {
            return CatalogOutcome::Done(former.stamp);
        }
        if start.term != record.term.next() {
            return CatalogOutcome::Stale;
        }
        self.change_group(revision, &start.group, |record| {
            record.term = start.term;
            record.term_epoch = start.epoch;
            record.primary = None;
        });
        CatalogOutcome::Done(revision)
    }

    pub(crate) fn record_primary(
        &mut self,
        revision: CatalogRevision,
        primary: &PrimaryRecord,
    ) -> CatalogOutcome {
        let Some(former) = self.groups.get(&primary.group) else {
            return CatalogOutcome::Stale;
        };
        let record = &former.item;
        // A leaseholder of a later epoch can't know which instance its predecessor promoted in this
        // term. If it recorded another one, the term would have two primaries, so it must begin a
        // new term.
        let own_term = record.term == primary.term
            && record.term_epoch == primary.epoch
            && record.placement.epoch == primary.epoch;
        let known = record.instances.contains(&primary.primary);
        let in_term = primary.start.term == primary.term;
        if !own_term || !known || !in_term {
            return CatalogOutcome::Stale;
        }
        if let Some(recorded) = &record.primary {
            let same = *recorded == primary.primary && record.start == primary.start;
            return match same {
                true => CatalogOutcome::Done(former.stamp),
                false => CatalogOutcome::Stale,
            };
        }
        self.change_group(revision, &primary.group, |record| {
            record.primary = Some(primary.primary.clone());
            record.start = primary.start;
        });
        CatalogOutcome::Done(revision)
    }
}

/// Returns whether a primary was ever recorded for the group.
///
/// The start of a term contains the term's number, so it is zero only before the first.
pub(crate) fn has_had_primary(record: &GroupRecord) -> bool {
    record.start.term > GroupTerm(0)
}
