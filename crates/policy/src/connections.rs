//! Connections opened ahead, under a budget.
//!
//! # The load it answers
//!
//! A burst arrives at a group whose connections are closed, or many transactions open at once.
//!
//! # Without it
//!
//! Each request of the burst opens a connection of its own: 12 ms each, more of them than there are
//! slots, until the endpoint's 16 are used up and none is left for a successor.
//!
//! # Grounds for its figures
//!
//! An endpoint runs two statements at once, so statements outside of transactions never need more
//! connections than slots, or twice as many where statements are sent ahead: these are kept open
//! always. Each open transaction holds one more. One is
//! kept open beyond that, and one for each transaction that waits to be opened. Three connections
//! stay unused for a successor: two slots' worth and one for its probe. At most two are opened at a
//! time for one endpoint, which at 12 ms gives 160 in a second.

use crate::ClockTime;
use crate::endpoints::EndpointRecord;
use std::time::Duration;

/// Connections of each endpoint that are left to the next leaseholder.
pub(crate) const SUCCESSOR_RESERVE: u32 = 3;

/// Connections that are opened at the same time to one endpoint.
const OPENING_LIMIT: u32 = 2;

/// Connections kept open beyond those in use.
const SPARE_CONNECTIONS: u32 = 1;

/// No connection is opened for this long after one failed to open.
pub(crate) const FAILED_OPEN_PAUSE: Duration = Duration::from_millis(100);

/// What an endpoint's connections are needed for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionNeed {
    /// The statements that may be sent to it at once.
    pub(crate) sent: u32,
    /// The waiting requests that may need a connection there.
    pub(crate) waiting: u32,
    /// Those of them that will open a transaction.
    pub(crate) openers: u32,
}

/// Returns the most connections that one leaseholder opens to an endpoint.
pub(crate) fn connection_budget(connections: u32) -> u32 {
    let reserve = SUCCESSOR_RESERVE.min(connections.saturating_sub(1));
    connections - reserve
}

/// Returns the most connections that transactions may hold on an endpoint.
///
/// Statements outside of transactions keep as many as there are slots.
pub(crate) fn pin_limit(connections: u32, slots: u32) -> u32 {
    connection_budget(connections).saturating_sub(slots).max(1)
}

/// Returns how many connections to open to an endpoint now.
///
/// `ahead` says whether connections are opened ahead.
pub(crate) fn connections_to_open(
    record: &EndpointRecord,
    now: ClockTime,
    need: ConnectionNeed,
    ahead: bool,
) -> u32 {
    if !record.takes_fresh_work() || now < record.connect_after {
        return 0;
    }
    let pinned = u32::try_from(record.pins.len()).unwrap_or(u32::MAX);
    let budget = connection_budget(record.state.connections);
    let held = record.open + record.opening;
    if !ahead {
        let wanted = need
            .waiting
            .saturating_sub(record.idle_connections() + record.opening);
        return wanted.min(budget.saturating_sub(held));
    }
    // Connections in doubt are replaced ahead, but count towards the budget until they are closed.
    let wanted = pinned + need.sent + SPARE_CONNECTIONS + need.openers + record.doubted;
    let missing = wanted.min(budget).saturating_sub(held);
    missing.min(OPENING_LIMIT.saturating_sub(record.opening))
}
