//! Due times of the periodic checks of a group's leaseholder.
//!
//! # Problem
//!
//! A VM may lead hundreds of groups, most of which get no statements. If each of them runs all its
//! checks at a fixed interval, the idle groups take more processor time than the groups in use, or
//! the interval is too long for a group whose primary has failed.
//!
//! # Approach
//!
//! Each check has a due time of its own, and the leaseholder sleeps until the earliest. A check
//! that looks for something that lapses, such as an endpoint that has fallen silent, is due when
//! the oldest entry lapses; see [`next_lapse`]. A check that depends on events is due only after
//! one of them, and [`GroupCheck::Activity`] only while statements, a probe or a replacement are
//! under way.

use crate::ClockTime;
use smallvec::SmallVec;
use std::time::Duration;

/// A periodic check of a group's leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupCheck {
    /// Transactions, replica positions, the primary's answers, and a replacement or handover under
    /// way.
    Activity,
    /// Endpoints that have fallen silent.
    Silence,
    /// Whether the group is to be handed over.
    Handover,
    /// Whether the recorded endpoints are up to date.
    Records,
    /// Whether an ordered promotion has taken effect.
    Promotion,
    /// Missing reports of instances that claim to be the primary.
    Reports,
    /// Idle connections.
    Connections,
    /// The metrics.
    Metrics,
}

impl GroupCheck {
    /// All checks, in the order in which they run when they are due at the same time.
    pub const ALL: [Self; 8] = [
        Self::Activity,
        Self::Silence,
        Self::Handover,
        Self::Records,
        Self::Promotion,
        Self::Reports,
        Self::Connections,
        Self::Metrics,
    ];

    /// Returns the name of the check in dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Activity => "activity",
            Self::Silence => "silence",
            Self::Handover => "handover",
            Self::Records => "records",
            Self::Promotion => "promotion",
            Self::Reports => "reports",
            Self::Connections => "connections",
            Self::Metrics => "metrics",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct CheckState {
    due: Option<ClockTime>,
    last_run: Option<ClockTime>,
    runs: u64,
}

/// The due times of a group's checks.
#[derive(Clone, Debug, Default)]
pub struct CheckSchedule {
    states: [CheckState; GroupCheck::ALL.len()],
}

impl CheckSchedule {
    /// Makes a check due at `due`, unless it is due earlier.
    pub fn request(&mut self, check: GroupCheck, due: ClockTime) {
        let state = &mut self.states[check as usize];
        state.due = Some(state.due.map_or(due, |present| present.min(due)));
    }

    /// Makes a check due `interval` after its last run, or at once if it hasn't run yet.
    pub fn request_after(&mut self, check: GroupCheck, interval: Duration) {
        let last_run = self.states[check as usize].last_run;
        let due = last_run.map_or(ClockTime::default(), |last_run| last_run + interval);
        self.request(check, due);
    }

    /// Returns when the next check is due.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.states.iter().filter_map(|state| state.due).min()
    }

    /// Returns the checks that are due, each of which is due again only after another request.
    pub fn take_due(&mut self, now: ClockTime) -> SmallVec<[GroupCheck; GroupCheck::ALL.len()]> {
        let mut taken = SmallVec::new();
        for check in GroupCheck::ALL {
            let state = &mut self.states[check as usize];
            if state.due.is_some_and(|due| due <= now) {
                state.due = None;
                state.last_run = Some(now);
                state.runs += 1;
                taken.push(check);
            }
        }
        taken
    }

    /// Returns how often each check has run.
    pub fn runs(&self) -> impl Iterator<Item = (GroupCheck, u64)> {
        GroupCheck::ALL
            .into_iter()
            .map(|check| (check, self.states[check as usize].runs))
    }
}

/// Returns when the first of several entries lapses that are dropped after `limit` without use.
///
/// `oldest_use` is the earliest of the entries' last uses; `None` if there is no entry. Entries
/// that are added or used later lapse later than at the returned time.
pub fn next_lapse(now: ClockTime, oldest_use: Option<ClockTime>, limit: Duration) -> ClockTime {
    oldest_use.map_or(now, |used| used.min(now)) + limit
}
