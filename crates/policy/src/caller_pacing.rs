//! Pacing of callers and keys within one customer, by the generic cell rate algorithm (GCRA).
//!
//! # Problem
//!
//! One of a customer's sessions sends in a loop, or everybody asks for the same record.
//!
//! Without pacing, the other sessions of the same customer wait behind the flood. Writes to one
//! record wait for each other inside the endpoint, each holding a slot in which it does nothing.
//!
//! # Approach
//!
//! Each session and each key has a theoretical arrival time, up to which it has used its even part
//! of the slots. A request is ordered later by as much as that lies ahead of the present, so a
//! session that sends no more than its part is never delayed, and one that sends ten times as much
//! waits behind the rest, or is refused when its turn would come too late. Eight requests at once are
//! free, so that a page which asks for eight things is no flood. The delay ends at two seconds, so
//! that a session or key recovers soon after its flood. Writes with the same key run one at a time:
//! the endpoint would run them one at a time anyway.

use crate::ClockTime;
use crate::time::to_micros;
use std::collections::HashMap;
use std::time::Duration;

/// The maximum delay of a request.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A session or key may send this many requests at once before it is delayed.
const BURST_REQUESTS: u32 = 8;

/// A session or key counts as active for this long after its theoretical arrival time.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// The interval at which inactive sessions and keys are removed.
const PURGE_INTERVAL: Duration = Duration::from_millis(100);

/// The theoretical arrival times of one customer's sessions, or of its keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct PacingTable {
    arrival_times: HashMap<u64, ClockTime>,
    next_purge: ClockTime,
}

impl PacingTable {
    /// Records a request that will run for `cost` and returns by how much it is to be delayed.
    ///
    /// `slots` is the number of slots that the active sessions or keys share.
    pub(crate) fn note(&mut self, now: ClockTime, id: u64, cost: Duration, slots: u32) -> Duration {
        self.purge(now);
        let active = u64::try_from(self.arrival_times.len())
            .unwrap_or(u64::MAX)
            .max(1);
        let step = Duration::from_micros(to_micros(cost) * active / u64::from(slots.max(1)));
        let burst = step * BURST_REQUESTS;
        let arrival_time = self.arrival_times.entry(id).or_default();
        let used = (*arrival_time).max(now);
        *arrival_time = (used + step).min(now + burst + MAX_DELAY);
        used.since(now + burst)
    }

    fn purge(&mut self, now: ClockTime) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now + PURGE_INTERVAL;
        self.arrival_times
            .retain(|_, arrival_time| *arrival_time + ACTIVE_TIME > now);
    }
}
