//! Limits on the requests in flight from a gateway to leaseholders.
//!
//! # Problem
//!
//! One group's leaseholder is slow or gone, and its callers keep sending. Without limits, the
//! requests for that group pile up in the gateway's memory until it can't serve the others: the
//! failure of one leaseholder affects every customer.
//!
//! # Approach
//!
//! A bulkhead for each group, and within it for each customer. A group of three endpoints with two
//! slots each answers about 750 short statements a second. 2,048 in flight are more than two
//! seconds of that: beyond it, no usual deadline can be met. A customer may have in flight what its
//! contract allows to wait in a group, plus the slots and connections that it could use at the same
//! time. The gateway doesn't know the group's backlog, so it tells refused callers to retry after a
//! fixed time with a spread.

use crate::CustomerTerms;
use crate::admission::urgent_queue_limit;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;
use std::collections::BTreeMap;

/// Maximum number of requests in flight from one gateway to one group.
pub const GROUP_IN_FLIGHT_LIMIT: u32 = 2_048;

/// The part of [`GROUP_IN_FLIGHT_LIMIT`] that is reserved for urgent requests.
const URGENT_RESERVE: u32 = 256;

/// Number of slots that a customer may hold besides its queue, in a group of three endpoints with
/// two each.
const SLOT_ALLOWANCE: u32 = 6;

/// The minimum time after which a refused caller is told to retry, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 100;

/// The spread added to that time, in milliseconds.
const RETRY_AFTER_SPREAD_MILLIS: u64 = 200;

/// Counts and limits the requests in flight from one gateway.
///
/// # Examples
///
/// ```
/// use ragwort_policy::CustomerTerms;
/// use ragwort_policy::InFlightLimiter;
/// use ragwort_types::CustomerName;
/// use ragwort_types::GroupName;
/// use ragwort_types::UrgencyClass;
///
/// let terms = CustomerTerms {
///     customer: CustomerName::from("directorate"),
///     slot_share: 1,
///     queue_limit: 1,
///     connection_limit: 1,
///     share_group: None,
/// };
/// let group = GroupName::from("cases");
/// let mut limiter = InFlightLimiter::default();
/// assert!(limiter.admit(&group, &terms, UrgencyClass::Ordinary).is_ok());
/// assert_eq!(limiter.in_flight(&group), 1);
/// limiter.release(&group, &terms.customer);
/// assert_eq!(limiter.in_flight(&group), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InFlightLimiter {
    groups: BTreeMap<GroupName, GroupInFlight>,
    refused: u64,
}

/// The requests in flight to one group.
#[derive(Clone, Debug, Default)]
struct GroupInFlight {
    total: u32,
    customers: BTreeMap<CustomerName, u32>,
}

impl InFlightLimiter {
    /// Admits a request; [`release`](Self::release) must follow once it is answered.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`RefusalCause::Limit`] if the group or the customer has reached its
    /// limit.
    pub fn admit(
        &mut self,
        group: &GroupName,
        terms: &CustomerTerms,
        urgency: UrgencyClass,
    ) -> Result<(), Refusal> {
        let urgent = urgency == UrgencyClass::Urgent;
        let group_limit = if urgent {
            GROUP_IN_FLIGHT_LIMIT
        } else {
            GROUP_IN_FLIGHT_LIMIT - URGENT_RESERVE
        };
        let flight = self.groups.entry(group.clone()).or_default();
        let present = flight.customers.get(&terms.customer).copied().unwrap_or(0);
        if flight.total >= group_limit || present >= in_flight_limit(terms, urgent) {
            self.refused += 1;
            return Err(Refusal {
                cause: RefusalCause::Limit,
                come_back_after_ms: RETRY_AFTER_MILLIS + spread_millis(self.refused),
            });
        }
        flight.total += 1;
        *flight.customers.entry(terms.customer.clone()).or_default() += 1;
        Ok(())
    }

    /// Releases a request that was admitted.
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

    /// Returns the number of requests in flight to a group.
    pub fn in_flight(&self, group: &GroupName) -> u32 {
        self.groups.get(group).map_or(0, |flight| flight.total)
    }
}

/// Returns the maximum number of requests that a customer may have in flight to one group.
fn in_flight_limit(terms: &CustomerTerms, urgent: bool) -> u32 {
    let ordinary = terms
        .queue_limit
        .saturating_add(terms.connection_limit)
        .saturating_add(SLOT_ALLOWANCE);
    if urgent {
        return ordinary.saturating_add(urgent_queue_limit(terms.queue_limit));
    }
    ordinary
}

/// Returns a different offset within the spread for each of consecutive refusals.
fn spread_millis(count: u64) -> u64 {
    // The step 83 and the spread are coprime, so the offsets cover the whole spread.
    count * 83 % RETRY_AFTER_SPREAD_MILLIS
}
