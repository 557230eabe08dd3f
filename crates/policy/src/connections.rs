//! Pool sizing: how many connections to open ahead and which surplus to close.
//!
//! # Problem
//!
//! A burst arrives at a group without open connections, or many transactions open at once. If each
//! request of the burst opened a connection of its own, at 12 ms each, there would be more of them
//! than slots, until the endpoint's 16 are used up and none is left for the leaseholder's
//! successor.
//!
//! The opposite case is an endpoint that could run a hundred statements at once and gets few. With
//! a connection for each slot, a VM that leads some groups holds thousands that nobody uses. Each
//! takes memory and is validated again and again, until descriptors, processor or memory of the VM
//! are used up. The same happens with few connections to each of hundreds of endpoints, when VMs
//! fail and the remaining ones lead all groups.
//!
//! # Approach
//!
//! A VM may use a part of its descriptors for connections to all endpoints together
//! ([`ConnectionAllowance`]), and keeps [`MIN_OPEN_TOTAL`] of them open at any load, spread over
//! the endpoints. Statements outside of transactions never need more connections than slots, or
//! than twice the slots where statements are sent ahead. Of these, up to [`MIN_OPEN_PER_ENDPOINT`]
//! are always kept open, fewer where the VM has many endpoints; beyond that, twice the recent peak
//! of concurrent statements, so that a load that doubles finds its connections open, and one for
//! each waiting request.
//!
//! Each open transaction holds one more connection. One more is kept open beyond that, and one for
//! each transaction that waits to be opened. Three connections are left for a successor: two slots'
//! worth and one for its probe. At most two connections are opened at a time to one endpoint, or a
//! quarter of its slots if that is more, because each takes a slot while it opens.
//!
//! # Resting point
//!
//! Without load, no connection may be closed that would be opened again. Two rules ensure it:
//!
//! - An endpoint gets no more connections ahead than its even share of those that the VM may hold
//!   while they are ample, or than its load has used at its recent peak, whichever is larger. The
//!   shares together stay below the number at which connections become scarce.
//! - A VM with many endpoints opens no more connections ahead than it leaves open, whatever number
//!   of them is under validation.

use crate::ClockTime;
use crate::endpoints::EndpointRecord;
use std::time::Duration;

/// Number of an endpoint's connections that are left for the next leaseholder.
pub(crate) const SUCCESSOR_RESERVE: u32 = 3;

/// Maximum number of connections that are opened at the same time to an endpoint with few slots.
const OPENING_LIMIT: u32 = 2;

/// The same maximum for an endpoint with many slots is the number of its slots divided by this.
const OPENING_DIVISOR: u32 = 4;

/// Number of connections for statements outside of transactions that are kept open to an endpoint
/// at any load, if it has as many slots.
const MIN_OPEN_PER_ENDPOINT: u32 = 8;

/// Number of connections that a VM keeps open at any load to all of its endpoints together.
const MIN_OPEN_TOTAL: u32 = 512;

/// The fraction of a VM's connections, as numerator and denominator, at which they become scarce:
/// none is opened ahead, and unused ones are closed.
const SCARCE_FRACTION: (u32, u32) = (3, 4);

/// The fraction below which connections are no longer scarce. If it were closer to
/// [`SCARCE_FRACTION`], connections would be closed and opened again in turn.
const AMPLE_FRACTION: (u32, u32) = (1, 2);

/// The minimum time for which a load peak keeps its connections open; the maximum is twice as long.
const PEAK_WINDOW: Duration = Duration::from_secs(5);

/// Number of connections kept open beyond those in use.
const SPARE_CONNECTIONS: u32 = 1;

/// The pause in opening connections after one failed to open.
pub(crate) const FAILED_OPEN_PAUSE: Duration = Duration::from_millis(100);

/// A VM's limit on connections to the endpoints of all groups that it leads, and their present
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAllowance {
    /// The maximum number of connections.
    pub most: u32,
    /// The number of connections that are open or being opened.
    pub held: u32,
    /// The number of endpoints to which they are held.
    pub endpoints: u32,
    /// Whether connections are scarce; see [`is_scarce_after`](Self::is_scarce_after).
    pub scarce: bool,
}

impl Default for ConnectionAllowance {
    /// Returns an allowance without a limit.
    fn default() -> Self {
        Self {
            most: u32::MAX,
            held: 0,
            endpoints: 0,
            scarce: false,
        }
    }
}

impl ConnectionAllowance {
    /// Returns how many more connections may be opened for requests that wait for one.
    pub fn room(&self) -> u32 {
        self.most.saturating_sub(self.held)
    }

    /// Returns whether connections are scarce now. The threshold depends on whether they were
    /// scarce `before`.
    pub fn is_scarce_after(&self, before: bool) -> bool {
        let (part, whole) = match before {
            true => AMPLE_FRACTION,
            false => SCARCE_FRACTION,
        };
        self.held >= self.most / whole * part
    }

    /// Returns how many more connections may be opened ahead of need.
    ///
    /// They stay below the number at which connections become scarce, so that only requests make
    /// them so.
    fn room_ahead(&self) -> u32 {
        match self.scarce {
            true => 0,
            false => self.ample().saturating_sub(self.held),
        }
    }

    /// Returns the number of connections below which they are no longer scarce.
    fn ample(&self) -> u32 {
        let (part, whole) = AMPLE_FRACTION;
        self.most / whole * part
    }

    /// Returns an endpoint's even share of the connections that may be held while they are ample.
    fn share(&self) -> u32 {
        (self.ample() / self.endpoints.max(1)).max(1)
    }

    /// Returns how many connections are kept open to each endpoint at any load.
    fn min_open_per_endpoint(&self) -> u32 {
        (MIN_OPEN_TOTAL / self.endpoints.max(1)).clamp(1, MIN_OPEN_PER_ENDPOINT)
    }

    /// Returns how many connections beyond those that the load needs are left open to each
    /// endpoint.
    fn surplus_kept_per_endpoint(&self) -> u32 {
        MAX_SURPLUS_KEPT
            .min(self.min_open_per_endpoint() / 2)
            .max(1)
    }

    /// Returns how many of an endpoint's connections under validation are replaced ahead: where few
    /// are kept open, no more than would stay open after the validation.
    fn replacements_ahead(&self, validating: u32) -> u32 {
        match self.min_open_per_endpoint() == MIN_OPEN_PER_ENDPOINT {
            true => validating,
            false => validating.min(self.surplus_kept_per_endpoint()),
        }
    }
}

/// The maximum of a count over the present time window and the one before it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentPeak {
    current: u32,
    previous: u32,
    window_start: ClockTime,
}

impl RecentPeak {
    /// Records the present count.
    pub(crate) fn note(&mut self, now: ClockTime, count: u32) {
        if now.since(self.window_start) >= PEAK_WINDOW {
            self.previous = match now.since(self.window_start) >= PEAK_WINDOW * 2 {
                true => 0,
                false => self.current,
            };
            self.current = 0;
            self.window_start = now;
        }
        self.current = self.current.max(count);
    }

    /// Returns the maximum of the counts recorded in both windows.
    pub(crate) fn peak(&self) -> u32 {
        self.current.max(self.previous)
    }
}

/// Maximum number of connections that are left open beyond those that the load needs.
///
/// Connections under validation are replaced ahead, so there is a surplus as soon as they have
/// answered. If it were closed then, it would be opened again at the next validation, seconds
/// later.
const MAX_SURPLUS_KEPT: u32 = 4;

/// The load for which an endpoint needs connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionNeed {
    /// The maximum number of statements in flight outside of transactions.
    pub(crate) max_in_flight: u32,
    /// The number of waiting requests that may need a connection to it.
    pub(crate) waiting: u32,
    /// The number of those that will open a transaction.
    pub(crate) openers: u32,
}

/// Returns the maximum number of connections that one leaseholder opens to an endpoint.
pub(crate) fn connection_budget(connections: u32) -> u32 {
    let reserve = SUCCESSOR_RESERVE.min(connections.saturating_sub(1));
    connections - reserve
}

/// Returns the maximum number of an endpoint's connections that transactions may hold.
///
/// Statements outside of transactions keep as many as there are slots.
pub(crate) fn pin_limit(connections: u32, slots: u32) -> u32 {
    connection_budget(connections).saturating_sub(slots).max(1)
}

/// Returns how many connections to open to an endpoint now.
///
/// `ahead` enables opening connections before a request waits for them.
pub(crate) fn connections_to_open(
    record: &EndpointRecord,
    now: ClockTime,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
    ahead: bool,
) -> u32 {
    if !record.accepts_unpinned() || now < record.connect_after {
        return 0;
    }
    let budget = connection_budget(record.state.connections);
    let held = record.open + record.opening;
    let room = match need.waiting > 0 || record.open == 0 {
        true => allowance.room(),
        false => allowance.room_ahead(),
    };
    if !ahead {
        let wanted = need
            .waiting
            .saturating_sub(record.idle_connections() + record.opening);
        return wanted.min(budget.saturating_sub(held)).min(room);
    }
    let wanted = connections_wanted_ahead(record, need, allowance);
    let missing = wanted.min(budget).saturating_sub(held);
    let at_once = OPENING_LIMIT.max(record.state.slots / OPENING_DIVISOR);
    let at_once = at_once.saturating_sub(record.opening);
    missing.min(at_once).min(room)
}

/// Returns how many of an endpoint's connections haven't been needed by the load of the last
/// seconds.
///
/// If they stayed open, the connections of each peak would remain for good, with the memory and the
/// validation traffic that they cost.
pub(crate) fn surplus_connections(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    if allowance.scarce {
        let single_statements = connections_for_single_statements(record, need, allowance);
        let used = record.pinned() + single_statements;
        return record.open.saturating_sub(used.max(1));
    }
    let wanted = connections_left_open(record, need, allowance);
    record.open.saturating_sub(wanted)
}

/// Returns the number of connections up to which they are opened ahead of need.
fn connections_wanted_ahead(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    let single_statements = connections_for_single_statements(record, need, allowance);
    let openers = match record.has_account_connections() {
        true => 0,
        false => need.openers,
    };
    // Connections under validation are replaced ahead, but count towards the budget until they are
    // closed.
    let validating = match record.has_account_connections() {
        true => 0,
        false => allowance.replacements_ahead(record.validating),
    };
    let wanted = record.pinned() + single_statements + SPARE_CONNECTIONS + openers + validating;
    limit_connections(record, need, allowance, wanted)
}

/// Returns the number of connections beyond which they are closed as surplus.
fn connections_left_open(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    let single_statements = connections_for_single_statements(record, need, allowance);
    let wanted = record.pin_peak.peak() + single_statements + SPARE_CONNECTIONS + need.openers;
    let surplus = match record.has_account_connections() {
        true => 0,
        false => allowance.surplus_kept_per_endpoint(),
    };
    limit_connections(record, need, allowance, wanted + surplus)
}

/// Limits the `wanted` connections to the endpoint's share, or to those that are in use, waited for
/// or were in use at the recent peak, if these are more.
fn limit_connections(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
    wanted: u32,
) -> u32 {
    let used = record.pinned() + record.single_statements();
    let used_recently = record.pin_peak.peak() + record.single_peak.peak();
    // A connection under validation can't be used at once.
    let awaited = match need.waiting {
        0 => 0,
        waiting => waiting.saturating_add(record.validating),
    };
    let needed = used.saturating_add(awaited).max(used_recently);
    wanted.min(needed.max(allowance.share()))
}

fn connections_for_single_statements(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    // A connection that was opened ahead for one account is of no use to the next account that
    // calls, so each statement opens the connection that it lacks.
    if record.has_account_connections() {
        return record.single_statements();
    }
    if allowance.scarce {
        return need
            .max_in_flight
            .min(record.single_statements() + need.waiting);
    }
    let recent_peak = record.single_peak.peak();
    let sent = (recent_peak * 2).max(record.single_statements() + need.waiting);
    need.max_in_flight
        .min(sent.max(allowance.min_open_per_endpoint()))
}
