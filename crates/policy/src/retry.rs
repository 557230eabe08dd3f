//! The retry budget.
//!
//! # The load it answers
//!
//! An endpoint refuses or loses statements, and each of them may be tried elsewhere.
//!
//! # Without it
//!
//! When an endpoint fails under load, every failed statement comes again: the others get up to
//! twice their work at the moment when they have a third more already.
//!
//! # Grounds for its figures
//!
//! A tenth of fresh work: a group that runs at nine tenths of what it can do stays below it.
//! Up to ten retries may be saved up, so that one lost connection of each endpoint is covered
//! without waiting. A replica that turns out to be behind is no failure: at a few reads a second,
//! each tried at two such replicas, the budget would be used up, and reads refused that the primary has
//! the time to serve. The limit of dispatches holds for them too. Only what did not run, or may run again, is retried, on a connection that no
//! transaction holds, and only if it can still meet its deadline.

use crate::FinishOutcome;
use ragwort_types::RepeatRule;

/// Fresh requests that earn one retry.
const FRESH_PER_RETRY: u32 = 10;

/// The most retries that can be saved up.
const SAVED_RETRIES: u32 = 10;

/// How often one request is dispatched at most.
const DISPATCH_LIMIT: u32 = 3;

/// The retries that a group may still make, counted in tenths.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tenths: SAVED_RETRIES * FRESH_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub(crate) fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(SAVED_RETRIES * FRESH_PER_RETRY);
    }

    /// Takes one retry from the budget, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tenths < FRESH_PER_RETRY {
            return false;
        }
        self.tenths -= FRESH_PER_RETRY;
        true
    }

    /// Returns how many retries are left.
    pub(crate) fn left(&self) -> u32 {
        self.tenths / FRESH_PER_RETRY
    }
}

/// Says whether a request may be dispatched again after it ended like this.
pub(crate) fn may_repeat(outcome: FinishOutcome, repeat: RepeatRule, attempts: u32) -> bool {
    if attempts >= DISPATCH_LIMIT {
        return false;
    }
    match outcome {
        FinishOutcome::Answered => false,
        FinishOutcome::NotRun | FinishOutcome::Behind | FinishOutcome::NotSent => true,
        FinishOutcome::Lost => repeat == RepeatRule::Idempotent,
    }
}
