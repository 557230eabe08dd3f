//! The customers of a group: their terms, and what they hold.

use crate::ClockTime;
use crate::CustomerTerms;
use crate::RequestProfile;
use crate::admission::WaitStretch;
use crate::hot::HotMarks;
use crate::queue::LANES;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use ragwort_types::CustomerName;
use ragwort_types::LengthClass;
use std::collections::BTreeMap;
use std::time::Duration;

/// One customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    /// The contract's terms, the last ones if the contract is gone.
    pub(crate) terms: CustomerTerms,
    /// Whether the contract is in force.
    pub(crate) active: bool,
    /// Transactions that hold a connection or wait to be opened.
    pub(crate) pins: u32,
    /// The slot time used since the start, in microseconds.
    pub(crate) slot_micros: u64,
    sessions: HotMarks,
    keys: HotMarks,
    stretches: [WaitStretch; LANES * 2],
}

impl CustomerRecord {
    /// Notes a request of the customer and returns by how much it is to be delayed.
    pub(crate) fn note_request(
        &mut self,
        now: ClockTime,
        profile: &RequestProfile,
        cost: Duration,
        slots: u32,
    ) -> Duration {
        // A session's long jobs have a mark of their own: one report costs as much as fifty lookups,
        // and the lookups that follow it would be taken for a flood.
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

    /// Returns how far the waits of requests like this one are stretched.
    pub(crate) fn stretch(&self, request: &WaitingRequest) -> &WaitStretch {
        &self.stretches[stretch_index(request)]
    }

    /// Returns how far the waits of requests like this one are stretched, for learning.
    pub(crate) fn stretch_mut(&mut self, request: &WaitingRequest) -> &mut WaitStretch {
        &mut self.stretches[stretch_index(request)]
    }
}

/// Returns the index of a request's sort: its lane, and whether it was delayed.
fn stretch_index(request: &WaitingRequest) -> usize {
    let delayed = if request.delay.is_zero() { 0 } else { LANES };
    request.lane.index() + delayed
}

/// All customers that a group has seen; an index stays the same for good.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerTable {
    by_name: BTreeMap<CustomerName, usize>,
    records: Vec<CustomerRecord>,
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

    /// Returns how many indices there are.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
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

    /// Returns a customer for changing.
    pub(crate) fn get_mut(&mut self, index: usize) -> &mut CustomerRecord {
        &mut self.records[index]
    }

    /// Returns all customers by index.
    pub(crate) fn records(&self) -> &[CustomerRecord] {
        &self.records
    }

    /// Counts one more transaction of a customer, unless it has as many as it may.
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
        if let Some(index) = self.by_name.get(&terms.customer) {
            let record = &mut self.records[*index];
            record.terms = terms.clone();
            record.active = true;
            return;
        }
        self.by_name
            .insert(terms.customer.clone(), self.records.len());
        self.records.push(CustomerRecord {
            terms: terms.clone(),
            active: true,
            pins: 0,
            slot_micros: 0,
            sessions: HotMarks::default(),
            keys: HotMarks::default(),
            stretches: std::array::from_fn(|index| {
                WaitStretch::new(LaneKind::from_index(index % LANES))
            }),
        });
    }
}
