//! Failure detector for a link to a leaseholder.
//!
//! # Problem
//!
//! A leaseholder's VM loses power, freezes or is cut off. Its links stay open and silent, while
//! each second brings hundreds of statements for it. Every statement would wait until its deadline,
//! those behind it would wait to find out the same, and their callers would have no time left to be
//! served by the successor.
//!
//! # Approach
//!
//! A link with unanswered calls is probed when nothing at all was received for
//! [`LINK_PROBE_AFTER`], and given up when the probe isn't answered within [`LINK_PROBE_TIMEOUT`].
//! Statements take 3 to 110 ms and the one-way delay between failure domains is 1.5 ms, so a link
//! with unanswered calls is rarely quiet for that long. No further calls are sent once the probe
//! has been unanswered for [`LINK_SUSPECT_AFTER`]. Giving up a working link leaves the outcome of
//! the writes on it unknown; that is why it is probed first. The sum of both times stays under half
//! of the lease after which the successor takes over.

use crate::ClockTime;
use std::time::Duration;

/// How long a link with unanswered calls may be quiet before it is probed.
pub const LINK_PROBE_AFTER: Duration = Duration::from_millis(200);

/// How long the answer to a probe may take.
pub const LINK_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the answer to a probe may take before further calls are held back from the link. A
/// round trip between failure domains takes 3 ms. A call that wasn't sent can take another way at
/// once, while one that was sent to a link that is then given up may have run.
pub const LINK_SUSPECT_AFTER: Duration = Duration::from_millis(50);

/// The next step for a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// Do nothing before this time.
    WaitUntil(ClockTime),
    /// Send a probe.
    Probe,
    /// Treat the link as lost.
    GiveUp,
}

/// The failure detector of one link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFailureDetector {
    last_received: ClockTime,
    probed_at: Option<ClockTime>,
}

impl LinkFailureDetector {
    /// Creates the detector of a link that was opened at `now`.
    pub fn new(now: ClockTime) -> Self {
        Self {
            last_received: now,
            probed_at: None,
        }
    }

    /// Records that anything was received.
    pub fn note_received(&mut self, now: ClockTime) {
        self.last_received = now;
        self.probed_at = None;
    }

    /// Returns when the unanswered probe was sent.
    pub fn probed_at(&self) -> Option<ClockTime> {
        self.probed_at
    }

    /// Returns whether nothing was received for at least `span`.
    pub fn is_quiet_for(&self, now: ClockTime, span: Duration) -> bool {
        now.since(self.last_received) >= span
    }

    /// Records that a probe is sent before its time; returns false if one is unanswered already.
    pub fn begin_probe(&mut self, now: ClockTime) -> bool {
        let begins = self.probed_at.is_none();
        if begins {
            self.probed_at = Some(now);
        }
        begins
    }

    /// Returns whether no further calls should be sent, because a probe went unanswered for a
    /// while.
    pub fn is_suspect(&self, now: ClockTime) -> bool {
        self.probed_at
            .is_some_and(|probed_at| now.since(probed_at) >= LINK_SUSPECT_AFTER)
    }

    /// Returns the next step for a link whose oldest unanswered call was made at
    /// `oldest_unanswered`.
    pub fn judge(&mut self, now: ClockTime, oldest_unanswered: ClockTime) -> LinkStep {
        if let Some(probed_at) = self.probed_at {
            let unanswered = now.since(probed_at);
            return if unanswered >= LINK_PROBE_TIMEOUT {
                LinkStep::GiveUp
            } else if unanswered >= LINK_SUSPECT_AFTER {
                LinkStep::WaitUntil(probed_at + LINK_PROBE_TIMEOUT)
            } else {
                LinkStep::WaitUntil(probed_at + LINK_SUSPECT_AFTER)
            };
        }
        let quiet_since = self.last_received.max(oldest_unanswered);
        if now.since(quiet_since) < LINK_PROBE_AFTER {
            return LinkStep::WaitUntil(quiet_since + LINK_PROBE_AFTER);
        }
        // A process that was stopped itself finds a long silence when it resumes, so it sends a
        // probe first, too.
        self.probed_at = Some(now);
        LinkStep::Probe
    }
}
