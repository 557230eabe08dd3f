//! The customers of a group: contract terms, transactions, pacing and learned wait factors.

use crate::ClockTime;
use crate::CustomerTerms;
use crate::RequestProfile;
use crate::admission::WaitFactor;
use crate::caller_pacing::PacingTable;
use crate::queue::LANE_SHAPES;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use ragwort_types::CustomerName;
use ragwort_types::LengthClass;
use ragwort_types::ShareGroupName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of one customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    /// The contract's terms; the last ones if the contract was removed.
    pub(crate) terms: CustomerTerms,
    /// Whether the contract is in force.
    pub(crate) active: bool,
    /// The number of transactions that hold a connection or wait to be opened.
    pub(crate) pins: u32,
    /// The slot time used since the start, in microseconds.
    pub(crate) slot_micros: u64,
    /// The index of the sharer whose slot time its requests use.
    pub(crate) sharer: usize,
    /// The index of the sharer that it is without a share group, once it has been one.
    own_sharer: Option<usize>,
    sessions: PacingTable,
    keys: PacingTable,
    wait_factors: [WaitFactor; LANE_SHAPES * 2],
}

impl CustomerRecord {
    /// Records a request of the customer and returns by how much caller pacing delays it.
    pub(crate) fn note_request(
        &mut self,
        now: ClockTime,
        profile: &RequestProfile,
        cost: Duration,
        slots: u32,
    ) -> Duration {
        // A session's long jobs are paced separately: one report costs as much as fifty lookups,
        // and the lookups that follow it would be treated as a flood.
        let session = match profile.length {
            LengthClass::Short => profile.session,
            LengthClass::Long => !profile.session,
        };
        let session = self.sessions.note(now, session, cost, slots);
        let Some(key) = profile.key else {
            return session;
        };
        session.max(self.keys.note(now, key, cost, slots))
    }

    /// Returns the wait factor for requests like this one.
    pub(crate) fn wait_factor(&self, request: &WaitingRequest) -> &WaitFactor {
        &self.wait_factors[wait_factor_index(request)]
    }

    /// Returns the wait factor for requests like this one, mutably.
    pub(crate) fn wait_factor_mut(&mut self, request: &WaitingRequest) -> &mut WaitFactor {
        &mut self.wait_factors[wait_factor_index(request)]
    }
}

/// Returns the index of a request's class: its lane, and whether pacing delayed it.
fn wait_factor_index(request: &WaitingRequest) -> usize {
    let delayed = if request.delay.is_zero() {
        0
    } else {
        LANE_SHAPES
    };
    request.lane.shape() + delayed
}

/// All customers that a group has seen. An index never changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerTable {
    by_name: BTreeMap<CustomerName, usize>,
    records: Vec<CustomerRecord>,
    /// The index of each share group among the sharers.
    groups: BTreeMap<ShareGroupName, usize>,
    sharer_count: usize,
}

impl CustomerTable {
    /// Replaces the terms of all customers; those that are missing become inactive.
    pub(crate) fn set_terms(&mut self, terms: &[CustomerTerms]) {
        for record in &mut self.records {
            record.active = false;
        }
        for entry in terms {
            self.set_entry(entry);
        }
    }

    /// Returns the number of customers, which is also the upper bound of all indices.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of sharers: customers without a share group, and share groups.
    pub(crate) fn sharer_count(&self) -> usize {
        self.sharer_count
    }

    /// Returns the index of a customer whose contract is in force.
    pub(crate) fn index_of(&self, customer: &CustomerName) -> Option<usize> {
        let index = *self.by_name.get(customer)?;
        self.records[index].active.then_some(index)
    }

    /// Returns a customer.
    pub(crate) fn get(&self, index: usize) -> &CustomerRecord {
        &self.records[index]
    }

    /// Returns a customer, mutably.
    pub(crate) fn get_mut(&mut self, index: usize) -> &mut CustomerRecord {
        &mut self.records[index]
    }

    /// Returns all customers, by index.
    pub(crate) fn records(&self) -> &[CustomerRecord] {
        &self.records
    }

    /// Counts one more transaction of a customer; returns false if it has as many as its contract
    /// allows.
    pub(crate) fn reserve_pin(&mut self, index: usize) -> bool {
        let record = &mut self.records[index];
        if record.pins >= record.terms.connection_limit {
            return false;
        }
        record.pins += 1;
        true
    }

    /// Counts one transaction of a customer less.
    pub(crate) fn release_pin(&mut self, index: usize) {
        let record = &mut self.records[index];
        record.pins = record.pins.saturating_sub(1);
    }

    fn set_entry(&mut self, terms: &CustomerTerms) {
        let known = self.by_name.get(&terms.customer).copied();
        let own = known.and_then(|index| self.records[index].own_sharer);
        let sharer = match &terms.share_group {
            Some(group) => self.index_of_group(group),
            None => own.unwrap_or_else(|| self.add_sharer()),
        };
        let own_sharer = own.or(terms.share_group.is_none().then_some(sharer));
        if let Some(index) = known {
            let record = &mut self.records[index];
            record.terms = terms.clone();
            record.active = true;
            record.sharer = sharer;
            record.own_sharer = own_sharer;
            return;
        }
        self.by_name
            .insert(terms.customer.clone(), self.records.len());
        self.records.push(CustomerRecord {
            terms: terms.clone(),
            active: true,
            pins: 0,
            slot_micros: 0,
            sharer,
            own_sharer,
            sessions: PacingTable::default(),
            keys: PacingTable::default(),
            wait_factors: std::array::from_fn(|index| {
                WaitFactor::new(LaneKind::from_shape(index % LANE_SHAPES))
            }),
        });
    }

    fn index_of_group(&mut self, group: &ShareGroupName) -> usize {
        if let Some(index) = self.groups.get(group) {
            return *index;
        }
        let index = self.add_sharer();
        self.groups.insert(group.clone(), index);
        index
    }

    fn add_sharer(&mut self) -> usize {
        self.sharer_count += 1;
        self.sharer_count - 1
    }
}
