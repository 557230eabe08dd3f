//! A gateway that is cut off: when another gateway is worth a try, and when callers are better off
//! elsewhere.
//!
//! # The load it answers
//!
//! A gateway has lost every control VM and leaseholder, and hundreds of statements a second still come
//! from its callers.
//!
//! # Without it
//!
//! Each waiting statement goes round the other gateways many times a second, also when these are as
//! badly off: when control is lost to all, that adds a tenth to the bytes between failure domains and
//! makes everybody slow to come back. And sessions stay where all their statements are refused.
//!
//! # Grounds for its figures
//!
//! After a vain try others wait for [`TRY_PAUSE`], in which a gateway sees a dozen statements. A
//! vain try tells of new sessions for [`KNOWN_TIME`], after which one is let in to find out. Where
//! another gateway is reached and only the statement's group has no leaseholder, the pause is that
//! group's alone.

use crate::ClockTime;
use ragwort_types::GroupName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The pause after a vain try; statements that come within it don't try.
const TRY_PAUSE: Duration = Duration::from_millis(200);

/// For how long a vain try is taken to tell how things stand.
const KNOWN_TIME: Duration = Duration::from_millis(500);

/// What a gateway without a lease knows of its reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct IsolationWatch {
    vain: Option<VainTries>,
}

/// Tries that reached no other gateway, one after the other.
#[derive(Clone, Copy, Debug)]
struct VainTries {
    first: ClockTime,
    last: ClockTime,
}

impl IsolationWatch {
    /// Notes that another gateway took a statement.
    pub fn note_reached(&mut self) {
        self.vain = None;
    }

    /// Notes that no other gateway took a statement.
    pub fn note_vain(&mut self, now: ClockTime) {
        let first = match self.vain {
            Some(vain) if now.since(vain.last) < KNOWN_TIME => vain.first,
            Some(_) | None => now,
        };
        self.vain = Some(VainTries { first, last: now });
    }

    /// Says whether a statement should try other gateways now.
    pub fn may_try(&self, now: ClockTime) -> bool {
        self.vain
            .is_none_or(|vain| now.since(vain.last) >= TRY_PAUSE)
    }

    /// Says whether all statements of a new session would be refused.
    pub fn is_isolated(&self, now: ClockTime) -> bool {
        self.vain
            .is_some_and(|vain| now.since(vain.last) < KNOWN_TIME)
    }

    /// Says whether that has been so for a time.
    pub fn is_isolated_for(&self, now: ClockTime, time: Duration) -> bool {
        let long = self.vain.is_some_and(|vain| now.since(vain.first) >= time);
        long && self.is_isolated(now)
    }
}

/// The groups that have no leaseholder in reach of any gateway that was tried.
#[derive(Clone, Debug, Default)]
pub struct DetourPauses {
    vain: BTreeMap<GroupName, ClockTime>,
}

impl DetourPauses {
    /// Notes that another gateway was reached that knows no way to the group's leaseholder either.
    pub fn note_vain(&mut self, now: ClockTime, group: &GroupName) {
        self.vain.retain(|_, last| now.since(*last) < TRY_PAUSE);
        self.vain.insert(group.clone(), now);
    }

    /// Says whether a statement for the group should try other gateways now.
    pub fn may_try(&self, now: ClockTime, group: &GroupName) -> bool {
        let last = self.vain.get(group);
        last.is_none_or(|last| now.since(*last) >= TRY_PAUSE)
    }
}
