//! Silence on a link to a leaseholder: when to ask, and when to give up.
//!
//! # The load it answers
//!
//! A leaseholder's VM loses power, freezes or is cut off. Its links stay open and say nothing, while
//! each second brings hundreds of statements for it.
//!
//! # Without it
//!
//! Every statement waits until its deadline, those behind it wait to find out the same, and their
//! callers have no time left to be served by the successor.
//!
//! # Grounds for its figures
//!
//! A link that owes replies is asked when nothing at all was heard for [`QUIET_TIME`], and given up
//! when the question isn't answered within [`ANSWER_TIME`]. Statements take 3 to 110 ms, a way between
//! failure domains 1.5 ms, so a link that owes replies is rarely quiet for as long. A link that is
//! given up by mistake costs doubt about the writes on it; that is why one question is asked first. The
//! two together stay under half of the lease after which the successor takes over.

use crate::ClockTime;
use std::time::Duration;

/// How long a link that owes replies may be quiet before it is asked.
pub const QUIET_TIME: Duration = Duration::from_millis(200);

/// How long the answer may take.
pub const ANSWER_TIME: Duration = Duration::from_millis(250);

/// What to do about a link now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// Nothing before this moment.
    WaitUntil(ClockTime),
    /// Ask whether the other side still answers.
    Ask,
    /// Take the link for lost.
    GiveUp,
}

/// What is known of one link's silence.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkWatch {
    heard: ClockTime,
    asked: Option<ClockTime>,
}

impl LinkWatch {
    /// Starts to watch a link that was opened at `now`.
    pub fn new(now: ClockTime) -> Self {
        Self {
            heard: now,
            asked: None,
        }
    }

    /// Notes that something was heard, whatever it was.
    pub fn hear(&mut self, now: ClockTime) {
        self.heard = now;
        self.asked = None;
    }

    /// Says what to do about a link whose oldest call without a reply was made at `owed_since`.
    pub fn judge(&mut self, now: ClockTime, owed_since: ClockTime) -> LinkStep {
        if let Some(asked) = self.asked {
            return match now.since(asked) >= ANSWER_TIME {
                true => LinkStep::GiveUp,
                false => LinkStep::WaitUntil(asked + ANSWER_TIME),
            };
        }
        let quiet_since = self.heard.max(owed_since);
        if now.since(quiet_since) < QUIET_TIME {
            return LinkStep::WaitUntil(quiet_since + QUIET_TIME);
        }
        // A process that was stopped itself finds a long silence at its return. It asks first, too.
        self.asked = Some(now);
        LinkStep::Ask
    }
}
