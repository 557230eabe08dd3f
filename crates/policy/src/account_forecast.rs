//! Forecast of when each account has an idle connection to an endpoint.
//!
//! # Problem
//!
//! While the connections of an account are in use, its next statement would open another one, which
//! takes longer than a short statement runs, and closes a connection that another account needs. If
//! instead all statements of the account waited for the connections that it has, a burst would be
//! served one statement after the other.
//!
//! # Approach
//!
//! A plan knows when each connection of an account is expected to be idle. A statement waits for
//! one that will be idle within about the time that opening another one takes, and reserves it in
//! the plan; the next statement of the account sees it as in use until then.

use crate::ClockTime;
use crate::endpoints::EndpointRecord;
use smallvec::SmallVec;
use std::time::Duration;

/// How far ahead the use of connections is planned.
///
/// No statement waits that long for a connection of its account. Planned to the end of a queue of
/// thousands, the connections would have to be searched for each request of it.
const PLANNED_TIME: Duration = Duration::from_millis(50);

/// The forecast of the connections to one endpoint that transactions don't hold.
#[derive(Clone, Debug)]
pub(crate) struct AccountForecast {
    now: ClockTime,
    /// The accounts of the connections that are idle now.
    idle: SmallVec<[u64; 8]>,
    used: SmallVec<[UsedConnection; 8]>,
}

/// A connection that is in use, or is planned to be.
#[derive(Clone, Copy, Debug)]
struct UsedConnection {
    account: u64,
    idle_at: ClockTime,
}

impl AccountForecast {
    /// Returns whether the use of connections is planned as far ahead as `at`.
    pub(crate) fn covers(now: ClockTime, at: ClockTime) -> bool {
        at.since(now) <= PLANNED_TIME
    }

    /// Creates the forecast of an endpoint; `None` where connections aren't bound to accounts.
    pub(crate) fn from_record(record: &EndpointRecord, now: ClockTime) -> Option<Self> {
        let idle = record.idle_accounts.as_ref()?;
        let running = record.running.iter().filter(|running| !running.pinned);
        let used = running.filter_map(|running| {
            Some(UsedConnection {
                account: running.account?,
                idle_at: running.expected_end(now),
            })
        });
        Some(Self {
            now,
            idle: SmallVec::from_slice(idle),
            used: used.collect(),
        })
    }

    /// Returns when a connection of the account is expected to be idle, if it has one.
    pub(crate) fn idle_at(&self, account: u64) -> Option<ClockTime> {
        if self.idle.contains(&account) {
            return Some(self.now);
        }
        let own = self.used.iter().filter(|one| one.account == account);
        own.map(|one| one.idle_at).min()
    }

    /// Takes a connection of the account until a run on it ends, or a new one if none is idle.
    pub(crate) fn take(&mut self, account: u64, at: ClockTime, until: ClockTime) {
        if !Self::covers(self.now, at) {
            return;
        }
        self.pin(account, at);
        self.used.push(UsedConnection {
            account,
            idle_at: until,
        });
    }

    /// Removes an idle connection of the account, because a transaction takes it.
    pub(crate) fn pin(&mut self, account: u64, at: ClockTime) {
        if let Some(place) = self.idle.iter().position(|other| *other == account) {
            self.idle.swap_remove(place);
            return;
        }
        let mut own = self.used.iter();
        let idle = own.position(|one| one.account == account && one.idle_at <= at);
        if let Some(place) = idle {
            self.used.swap_remove(place);
        }
    }
}
