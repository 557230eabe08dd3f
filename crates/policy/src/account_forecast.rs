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

/// The forecast of the connections to one endpoint that transactions don't hold.
#[derive(Clone, Debug)]
pub(crate) struct AccountForecast {
    connections: SmallVec<[AccountConnection; 8]>,
}

#[derive(Clone, Copy, Debug)]
struct AccountConnection {
    account: u64,
    idle_at: ClockTime,
}

impl AccountForecast {
    /// Creates the forecast of an endpoint; `None` where connections aren't bound to accounts.
    pub(crate) fn from_record(record: &EndpointRecord, now: ClockTime) -> Option<Self> {
        let idle = record.idle_accounts.as_ref()?;
        let idle = idle.iter().map(|account| AccountConnection {
            account: *account,
            idle_at: now,
        });
        let running = record.running.iter().filter(|running| !running.pinned);
        let used = running.filter_map(|running| {
            Some(AccountConnection {
                account: running.account?,
                idle_at: running.expected_end(now),
            })
        });
        Some(Self {
            connections: idle.chain(used).collect(),
        })
    }

    /// Returns when a connection of the account is expected to be idle, if it has one.
    pub(crate) fn idle_at(&self, account: u64) -> Option<ClockTime> {
        let own = self.connections.iter();
        let own = own.filter(|one| one.account == account);
        own.map(|one| one.idle_at).min()
    }

    /// Takes a connection of the account until a run on it ends, or a new one if none is idle.
    pub(crate) fn take(&mut self, account: u64, at: ClockTime, until: ClockTime) {
        let mut own = self.connections.iter_mut();
        let idle = own.find(|one| one.account == account && one.idle_at <= at);
        match idle {
            Some(one) => one.idle_at = until,
            None => self.connections.push(AccountConnection {
                account,
                idle_at: until,
            }),
        }
    }

    /// Removes a connection of the account that is idle, because a transaction takes it.
    pub(crate) fn pin(&mut self, account: u64, at: ClockTime) {
        let mut own = self.connections.iter();
        let idle = own.position(|one| one.account == account && one.idle_at <= at);
        if let Some(place) = idle {
            self.connections.swap_remove(place);
        }
    }
}
