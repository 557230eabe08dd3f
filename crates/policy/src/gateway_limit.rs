//! Limits at a gateway on the requests that it has handed to leaseholders.
//!
//! # The load it answers
//!
//! One group's leaseholder is slow or gone, and its callers keep sending.
//!
//! # Without it
//!
//! The requests for that group pile up in the gateway's memory until it can't serve the others: one
//! leaseholder's trouble becomes every customer's.
//!
//! # Grounds for its figures
//!
//! A group of three endpoints with two slots each answers about 750 short statements a second.
//! 2,048 in flight are more than two seconds of that: beyond it, no usual deadline can be met.
//! A customer may have in flight what its contract lets it have waiting in a group, plus the slots
//! and connections that it could use at the same time. A refusal here comes from this process
//! alone, so it tells the caller to come back after a fixed time with a spread.

use crate::CustomerTerms;
use crate::admission::urgent_room;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;
use std::collections::BTreeMap;

/// The most requests in flight from one gateway to one group.
pub const GROUP_FLIGHT_LIMIT: u32 = 2_048;

/// The part of [`GROUP_FLIGHT_LIMIT`] that only urgent requests may use.
const URGENT_RESERVE: u32 = 256;

/// Slots that a customer may hold besides its queue, in a group of three endpoints with two each.
const SLOT_ALLOWANCE: u32 = 6;

/// The time after which a refused caller may come back, in milliseconds.
const RETURN_MILLIS: u64 = 100;

/// The spread of that time, in milliseconds.
const RETURN_SPREAD_MILLIS: u64 = 200;

/// The requests in flight from one gateway.
///
/// # Examples
///
/// ```
/// use ragwort_policy::CustomerTerms;
/// use ragwort_policy::FlightLimiter;
/// use ragwort_types::CustomerName;
/// use ragwort_types::GroupName;
/// use ragwort_types::UrgencyClass;
///
/// let terms = CustomerTerms {
///     customer: CustomerName::from("directorate"),
///     slot_share: 1,
///     queue_limit: 1,
///     connection_limit: 1,
/// };
/// let group = GroupName::from("cases");
/// let mut limiter = FlightLimiter::default();
/// assert!(limiter.admit(&group, &terms, UrgencyClass::Ordinary).is_ok());
/// assert_eq!(limiter.in_flight(&group), 1);
/// limiter.release(&group, &terms.customer);
/// assert_eq!(limiter.in_flight(&group), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FlightLimiter {
    groups: BTreeMap<GroupName, GroupFlight>,
    refused: u64,
}

/// The requests in flight to one group.
#[derive(Clone, Debug, Default)]
struct GroupFlight {
    total: u32,
    customers: BTreeMap<CustomerName, u32>,
}

impl FlightLimiter {
    /// Takes a request in, which [`release`](Self::release) must follow once it is answered.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`RefusalCause::Limit`] if the group or the customer has as many
    /// requests in flight as it may.
    pub fn admit(
        &mut self,
        group: &GroupName,
        terms: &CustomerTerms,
        urgency: UrgencyClass,
    ) -> Result<(), Refusal> {
        let urgent = urgency == UrgencyClass::Urgent;
        let group_limit = if urgent {
            GROUP_FLIGHT_LIMIT
        } else {
            GROUP_FLIGHT_LIMIT - URGENT_RESERVE
        };
        let flight = self.groups.entry(group.clone()).or_default();
        let present = flight.customers.get(&terms.customer).copied().unwrap_or(0);
        if flight.total >= group_limit || present >= flight_limit(terms, urgent) {
            self.refused += 1;
            return Err(Refusal {
                cause: RefusalCause::Limit,
                come_back_after_ms: RETURN_MILLIS + spread_millis(self.refused),
            });
        }
        flight.total += 1;
        *flight.customers.entry(terms.customer.clone()).or_default() += 1;
        Ok(())
    }

    /// Lets a request go that was taken in.
    pub fn release(&mut self, group: &GroupName, customer: &CustomerName) {
        let Some(flight) = self.groups.get_mut(group) else {
            return;
        };
        let Some(present) = flight.customers.get_mut(customer) else {
            return;
        };
        *present -= 1;
        flight.total -= 1;
        if *present == 0 {
            flight.customers.remove(customer);
        }
        if flight.total == 0 {
            self.groups.remove(group);
        }
    }

    /// Returns how many requests are in flight to a group.
    pub fn in_flight(&self, group: &GroupName) -> u32 {
        self.groups.get(group).map_or(0, |flight| flight.total)
    }
}

/// Returns how many requests a customer may have in flight to one group.
fn flight_limit(terms: &CustomerTerms, urgent: bool) -> u32 {
    let ordinary = terms
        .queue_limit
        .saturating_add(terms.connection_limit)
        .saturating_add(SLOT_ALLOWANCE);
    if urgent {
        return ordinary.saturating_add(urgent_room(terms.queue_limit));
    }
    ordinary
}

/// Returns a different part of the spread for each of a run of refusals.
fn spread_millis(count: u64) -> u64 {
    // The step and the spread have no common divisor, so that the whole spread is used.
    count * 83 % RETURN_SPREAD_MILLIS
}
