//! Detection that a gateway is cut off, and pauses in forwarding through other gateways.
//!
//! # Problem
//!
//! A gateway has lost all control VMs and leaseholders, and hundreds of statements a second still
//! arrive from its callers. If each waiting statement tried the other gateways many times a second,
//! also when these are cut off as well, that would add a tenth to the traffic between failure
//! domains when control is lost to all, and slow down everybody's recovery. Sessions would also
//! stay where all their statements are refused.
//!
//! # Approach
//!
//! After a failed attempt no statement tries again for [`RETRY_PAUSE`], in which a gateway gets a
//! dozen statements. For [`RESULT_VALIDITY`] after a failed attempt new sessions are refused; after
//! that one is accepted as a new attempt. Which gateways are tried, and how the pause grows while
//! all of them fail, is decided in `relay_candidates`; an attempt has failed when all candidates
//! have. Where another gateway is reached and only the statement's
//! group has no leaseholder, the pause holds for that group alone.

use crate::ClockTime;
use ragwort_types::GroupName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The pause after a failed attempt, in which other statements don't try.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long a failed attempt counts as evidence that the gateway is isolated.
const RESULT_VALIDITY: Duration = Duration::from_millis(500);

/// The reachability of other gateways, as seen by a gateway without a lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct IsolationWatch {
    failed: Option<FailedTries>,
}

/// Consecutive attempts that reached no other gateway.
#[derive(Clone, Copy, Debug)]
struct FailedTries {
    first: ClockTime,
    last: ClockTime,
}

impl IsolationWatch {
    /// Records that another gateway accepted a statement.
    pub fn note_reached(&mut self) {
        self.failed = None;
    }

    /// Records that no other gateway accepted a statement.
    pub fn note_failed_attempt(&mut self, now: ClockTime) {
        let first = match self.failed {
            Some(failed) if now.since(failed.last) < RESULT_VALIDITY => failed.first,
            Some(_) | None => now,
        };
        self.failed = Some(FailedTries { first, last: now });
    }

    /// Returns whether a statement should try other gateways now.
    pub fn may_try(&self, now: ClockTime) -> bool {
        self.failed
            .is_none_or(|failed| now.since(failed.last) >= RETRY_PAUSE)
    }

    /// Returns whether all statements of a new session would be refused.
    pub fn is_isolated(&self, now: ClockTime) -> bool {
        self.failed
            .is_some_and(|failed| now.since(failed.last) < RESULT_VALIDITY)
    }

    /// Returns whether the gateway has been isolated for at least `time`.
    pub fn is_isolated_for(&self, now: ClockTime, time: Duration) -> bool {
        let long = self
            .failed
            .is_some_and(|failed| now.since(failed.first) >= time);
        long && self.is_isolated(now)
    }
}

/// The groups whose leaseholder was reachable through no gateway that was tried.
#[derive(Clone, Debug, Default)]
pub struct RelayPauses {
    failed: BTreeMap<GroupName, ClockTime>,
}

impl RelayPauses {
    /// Records that another gateway was reached that has no route to the group's leaseholder
    /// either.
    pub fn note_failed_attempt(&mut self, now: ClockTime, group: &GroupName) {
        self.failed.retain(|_, last| now.since(*last) < RETRY_PAUSE);
        self.failed.insert(group.clone(), now);
    }

    /// Returns whether a statement for the group should try other gateways now.
    pub fn may_try(&self, now: ClockTime, group: &GroupName) -> bool {
        let last = self.failed.get(group);
        last.is_none_or(|last| now.since(*last) >= RETRY_PAUSE)
    }
}
