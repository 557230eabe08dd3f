//! Retry budget: a token bucket that bounds retries by the rate of new requests.
//!
//! # Problem
//!
//! An endpoint refuses or loses statements, and each of them may be retried elsewhere. When an
//! endpoint fails under load and every failed statement is retried, the others get up to twice
//! their work at the moment when they have a third more already.
//!
//! # Approach
//!
//! Retries are limited to a tenth of the new requests, so that a group that runs at nine tenths of
//! its capacity stays below it. Up to ten retries can be saved, which covers one lost connection of
//! each endpoint at once. A replica that turns out to be behind doesn't count as a failure: at a
//! few reads a second, each tried at two such replicas, the budget would be used up, and reads
//! would be refused that the primary has the time to serve. The maximum number of dispatches holds
//! for them too.
//!
//! A statement within an open transaction is never retried. Any other request is retried only if it
//! didn't run or may run again, and only if it can still meet its deadline.

use crate::FinishOutcome;
use ragwort_types::RepeatRule;

/// Number of new requests that earn one retry.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: u32 = 10;

/// Maximum number of dispatches of one request.
const MAX_DISPATCHES: u32 = 3;

/// The remaining retries of a group, in tenths of a retry.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tenths: MAX_SAVED_RETRIES * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Earns a tenth of a retry for a new request.
    pub(crate) fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tenths < REQUESTS_PER_RETRY {
            return false;
        }
        self.tenths -= REQUESTS_PER_RETRY;
        true
    }

    /// Returns the number of whole retries left.
    pub(crate) fn left(&self) -> u32 {
        self.tenths / REQUESTS_PER_RETRY
    }
}

/// Returns whether a request may be dispatched again after it ended with `outcome`.
///
/// `attempts` is the number of its dispatches, without those that an endpoint rejected.
pub(crate) fn may_repeat(outcome: FinishOutcome, repeat: RepeatRule, attempts: u32) -> bool {
    if attempts >= MAX_DISPATCHES {
        return false;
    }
    match outcome {
        FinishOutcome::Answered => false,
        FinishOutcome::NotRun
        | FinishOutcome::Rejected
        | FinishOutcome::Behind
        | FinishOutcome::NotSent => true,
        FinishOutcome::Failed | FinishOutcome::Lost => repeat == RepeatRule::Idempotent,
    }
}
