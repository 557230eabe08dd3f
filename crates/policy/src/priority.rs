//! Priority levels of requests, and the minimum share of each level.
//!
//! # Problem
//!
//! Callers of several priorities compete for too little capacity. Two classes of urgency can't tell
//! three apart, and in the order of slack the requests with the most patient callers wait for all
//! others, whatever they are worth.
//!
//! # Approach
//!
//! Requests of the lowest level number go first: those that can meet their target, then those that
//! can only meet their deadline, before any request of the next level. A request of a lower level
//! is therefore the one that waits, is served late or is refused. Each level below another one
//! keeps a minimum share of slot time ([`MinimumShares`]).
//!
//! Requests without a level keep the order by urgency. Where they share a group with requests that
//! have one, urgent ones are served with level 0 and ordinary ones with level 1.

use crate::RequestProfile;
use crate::minimum_shares::MinimumShares;
use ragwort_types::PRIORITY_LEVELS;
use ragwort_types::UrgencyClass;

/// The number of priority levels.
pub(crate) const LEVEL_COUNT: usize = PRIORITY_LEVELS as usize;

/// The minimum share of slot time of each level below the first, in percent.
///
/// Three lower levels take at most 15 % from the first one. A primary with four slots serves a
/// lower level of 50 ms requests four times a second with it, so that a retry within a caller's
/// deadline of a second finds room.
const LEVEL_SHARE_PERCENT: u8 = 5;

/// The level with which a request is served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceLevel {
    /// The number of the level, below [`LEVEL_COUNT`].
    pub(crate) number: u8,
    /// Whether the contract sets it; otherwise it follows from the urgency.
    pub(crate) set: bool,
}

impl ServiceLevel {
    /// Returns the level of a request.
    pub(crate) fn from_profile(profile: &RequestProfile) -> Self {
        if let Some(level) = profile.priority {
            return Self {
                number: level.0.min(PRIORITY_LEVELS - 1),
                set: true,
            };
        }
        Self {
            number: u8::from(profile.urgency == UrgencyClass::Ordinary),
            set: false,
        }
    }

    /// Returns the index of the level, which is below [`LEVEL_COUNT`].
    pub(crate) fn index(self) -> usize {
        usize::from(self.number)
    }
}

/// Creates the minimum shares of the levels.
pub(crate) fn level_shares() -> MinimumShares<LEVEL_COUNT> {
    MinimumShares::new(LEVEL_SHARE_PERCENT)
}
