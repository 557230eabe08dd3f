//! Connections opened ahead, under a budget.
//!
//! # The load it answers
//!
//! A burst arrives at a group whose connections are closed, or many transactions open at once. Beside
//! it, the opposite: few statements for endpoints that could run a hundred at once.
//!
//! # Without it
//!
//! Each request of the burst opens a connection of its own: 12 ms each, more of them than there are
//! slots, until the endpoint's 16 are used up and none is left for a successor. With a connection for
//! each of many slots, a VM that leads some groups holds thousands that nobody uses: each takes memory
//! and is asked again and again whether it still answers, until descriptors, processor or memory of
//! the VM are used up by them. The same happens with few connections to each of hundreds of endpoints,
//! when VMs fail and the remaining ones lead all groups.
//!
//! # Grounds for its figures
//!
//! A VM may hold a part of its descriptors as connections to all endpoints together
//! ([`ConnectionAllowance`]), and keeps [`KEPT_IN_ALL`] of them open whatever the load, spread over the
//! endpoints. Statements outside of transactions never need more connections than slots, or twice as many where
//! statements are sent ahead. Up to [`FEWEST_CONNECTIONS`] of these are kept open always, fewer
//! where the VM has many endpoints; beyond them,
//! twice as many as were sent at once lately, so that a load that doubles finds them open, and one for
//! each request that waits. Each open transaction holds one more. One is
//! kept open beyond that, and one for each transaction that waits to be opened. Three connections
//! stay unused for a successor: two slots' worth and one for its probe. At most two are opened at a
//! time for one endpoint, or a quarter of its slots, since each takes a slot while it opens.

use crate::ClockTime;
use crate::endpoints::EndpointRecord;
use std::time::Duration;

/// Connections of each endpoint that are left to the next leaseholder.
pub(crate) const SUCCESSOR_RESERVE: u32 = 3;

/// Connections that are opened at the same time to one endpoint of few slots.
const OPENING_LIMIT: u32 = 2;

/// The part of an endpoint's slots that opening connections may take.
const OPENING_DIVISOR: u32 = 4;

/// Connections for statements outside of transactions that are kept open whatever the load, where the
/// endpoint has as many slots.
const FEWEST_CONNECTIONS: u32 = 8;

/// Connections that a VM keeps open whatever the load, to all its endpoints together.
const KEPT_IN_ALL: u32 = 512;

/// The part of a VM's connections beyond which they are scarce: none is opened ahead, and those that
/// nothing uses at present are closed.
const SCARCE_PART: (u32, u32) = (3, 4);

/// The part below which they are scarce no more. Nearer to the other mark, what is closed at one moment
/// would be opened again at the next.
const AMPLE_PART: (u32, u32) = (1, 2);

/// How long a peak of the load keeps its connections open at least. It is kept twice as long at most.
const PEAK_MEMORY: Duration = Duration::from_secs(5);

/// Connections kept open beyond those in use.
const SPARE_CONNECTIONS: u32 = 1;

/// No connection is opened for this long after one failed to open.
pub(crate) const FAILED_OPEN_PAUSE: Duration = Duration::from_millis(100);

/// How many connections a VM may hold to the endpoints of all groups that it leads, and what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAllowance {
    /// The most that it may hold.
    pub most: u32,
    /// What it holds, open or opening.
    pub held: u32,
    /// The endpoints that it holds them to.
    pub endpoints: u32,
    /// Whether they are scarce; see [`is_scarce_after`](Self::is_scarce_after).
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
    /// Returns how many more may be opened for requests that wait for one.
    pub fn room(&self) -> u32 {
        self.most.saturating_sub(self.held)
    }

    /// Says whether connections are scarce now, by whether they were before.
    pub fn is_scarce_after(&self, before: bool) -> bool {
        let (part, whole) = match before {
            true => AMPLE_PART,
            false => SCARCE_PART,
        };
        self.held >= self.most / whole * part
    }

    /// Returns how many more may be opened ahead of need.
    fn room_ahead(&self) -> u32 {
        let (part, whole) = SCARCE_PART;
        match self.scarce {
            true => 0,
            false => (self.most / whole * part).saturating_sub(self.held),
        }
    }

    /// Returns how many are kept open to each endpoint whatever the load.
    fn kept_for_each(&self) -> u32 {
        (KEPT_IN_ALL / self.endpoints.max(1)).clamp(1, FEWEST_CONNECTIONS)
    }

    /// Returns how many are left open to each endpoint beyond those that the load needs.
    fn left_for_each(&self) -> u32 {
        SURPLUS_LEFT.min(self.kept_for_each() / 2).max(1)
    }

    /// Returns how many of an endpoint's connections in doubt are replaced ahead: where few are kept, no
    /// more than would stay open when the doubt has ended.
    fn replaced_ahead(&self, doubted: u32) -> u32 {
        match self.kept_for_each() == FEWEST_CONNECTIONS {
            true => doubted,
            false => doubted.min(self.left_for_each()),
        }
    }
}

/// The most of something in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentPeak {
    present: u32,
    before: u32,
    since: ClockTime,
}

impl RecentPeak {
    /// Notes how many there are now.
    pub(crate) fn note(&mut self, now: ClockTime, count: u32) {
        if now.since(self.since) >= PEAK_MEMORY {
            self.before = match now.since(self.since) >= PEAK_MEMORY * 2 {
                true => 0,
                false => self.present,
            };
            self.present = 0;
            self.since = now;
        }
        self.present = self.present.max(count);
    }

    /// Returns the most that were noted.
    pub(crate) fn most(&self) -> u32 {
        self.present.max(self.before)
    }
}

/// Connections that are left open beyond those that the load needs.
///
/// Connections in doubt are replaced ahead, so that there are some more as soon as they have answered.
/// Closed then, they would be opened again at the next doubt, seconds later.
const SURPLUS_LEFT: u32 = 4;

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
    allowance: &ConnectionAllowance,
    ahead: bool,
) -> u32 {
    if !record.takes_fresh_work() || now < record.connect_after {
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
    let singles = connections_for_singles(record, need, allowance);
    // Connections in doubt are replaced ahead, but count towards the budget until they are closed.
    let openers = match record.is_shared_by_accounts() {
        true => 0,
        false => need.openers,
    };
    let doubted = allowance.replaced_ahead(record.doubted);
    let wanted = record.pinned() + singles + SPARE_CONNECTIONS + openers + doubted;
    let missing = wanted.min(budget).saturating_sub(held);
    let at_once = OPENING_LIMIT.max(record.state.slots / OPENING_DIVISOR);
    let at_once = at_once.saturating_sub(record.opening);
    missing.min(at_once).min(room)
}

/// Returns how many of an endpoint's connections no load of the last seconds has needed.
///
/// Left open, the connections of each peak would stay for good, with their memory and the questions
/// whether they still answer.
pub(crate) fn surplus_connections(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    let singles = connections_for_singles(record, need, allowance);
    if allowance.scarce {
        let used = record.pinned() + singles;
        return record.open.saturating_sub(used.max(1));
    }
    let wanted = record.pin_peak.most() + singles + SPARE_CONNECTIONS + need.openers;
    let left = match record.is_shared_by_accounts() {
        true => 0,
        false => allowance.left_for_each(),
    };
    record.open.saturating_sub(wanted + left)
}

fn connections_for_singles(
    record: &EndpointRecord,
    need: ConnectionNeed,
    allowance: &ConnectionAllowance,
) -> u32 {
    // Opened ahead for one account, a connection is of no use to the next one that calls: each statement
    // opens what it lacks.
    if record.is_shared_by_accounts() {
        return record.singles();
    }
    if allowance.scarce {
        return need.sent.min(record.singles() + need.waiting);
    }
    let peak = record.single_peak.most();
    let sent = (peak * 2).max(record.singles() + need.waiting);
    need.sent.min(sent.max(allowance.kept_for_each()))
}
