//! Operations that wait for a token of their account's limit.
//!
//! # Problem
//!
//! Callers whose demand is below their account's limit don't come evenly: two operations arrive in
//! the time of one token, or all callers return at once after an outage. The next token is often
//! due within a fraction of the time that the caller allows. If such an operation were refused, the
//! caller would repeat it at another gateway, which costs more than the wait.
//!
//! # Approach
//!
//! A queue for each account, of bounded length. Each operation has a latest time to begin. Those
//! that may wait the shortest go first, in order of arrival: a common first-come order would let
//! kinds with long waits use up the tokens and refuse kinds with short targets. Whether an
//! operation's token comes in time follows from what is known: the tokens that the VM's share
//! brings, and the rate at which the ledger expects to lend single operations. An
//! operation is refused as soon as that shows that its token comes too late. While nothing is known
//! of the ledger, because it hasn't answered or doesn't know all shares yet, an operation waits
//! until its latest time.

use crate::ClockTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of operations of an account that may wait on a VM: what an account of 340 operations
/// a second gets in the longest wait of a kind with a target of 1.5 s.
pub const MAX_WAITING_OPERATIONS: usize = 256;

/// How long a ledger's answer says when it will lend the next operation. Shares and demands change
/// within a few renewals.
const FORECAST_TTL: Duration = Duration::from_millis(100);

/// The shortest time between two requests for the same waiting operations, so that they don't cost
/// the ledger one request for each round trip.
pub(crate) const MIN_ASK_PAUSE: Duration = Duration::from_millis(20);

/// Identifies an operation that waits, among those of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(pub u64);

/// The outcome of an event for the waiting operations, each list in the order of the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitersOutcome {
    /// The operations that begin.
    pub admitted: Vec<WaitTicket>,
    /// The operations that are refused.
    pub refused: Vec<WaitTicket>,
}

/// When a ledger expects to lend operations that it couldn't lend at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanForecast {
    answered: ClockTime,
    /// The time between two operations.
    interval: Duration,
    /// The time that a request and its answer take.
    round_trip: Duration,
}

impl LoanForecast {
    /// Creates the forecast from an answer according to which `missing` operations can be lent
    /// within `span`.
    pub(crate) fn new(
        answered: ClockTime,
        missing: u32,
        span: Duration,
        round_trip: Duration,
    ) -> Self {
        Self {
            answered,
            interval: span / missing.max(1),
            round_trip,
        }
    }

    fn is_valid(&self, now: ClockTime) -> bool {
        now.since(self.answered) < FORECAST_TTL
    }

    /// Returns how many lent operations will have arrived by a time.
    fn count_until(&self, time: ClockTime) -> f64 {
        let interval = self.interval.as_secs_f64().max(1e-6);
        let span = time.since(self.answered + self.round_trip);
        (span.as_secs_f64() / interval).floor()
    }

    /// Returns when the ledger is to be asked again.
    pub(crate) fn ask_time(&self) -> ClockTime {
        self.answered + self.interval.clamp(MIN_ASK_PAUSE, FORECAST_TTL)
    }
}

/// The tokens that a VM has and expects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenForecast {
    /// The tokens that are there, in operations.
    pub(crate) tokens: f64,
    /// The operations per second that the VM's share allows.
    pub(crate) share_rate: f64,
    /// The end of the share.
    pub(crate) share_until: ClockTime,
    /// What the ledger expects to lend in addition, if it has said so.
    pub(crate) loans: Option<LoanForecast>,
}

impl TokenForecast {
    /// Returns whether the operation at a position of the queue, counted from 1, gets its token by
    /// `latest`, as far as that is known.
    fn reaches(&self, now: ClockTime, position: usize, latest: ClockTime) -> bool {
        let Some(loans) = self.loans.filter(|loans| loans.is_valid(now)) else {
            return true;
        };
        let span = latest.min(self.share_until).since(now).as_secs_f64();
        let count = self.tokens + self.share_rate * span + loans.count_until(latest);
        count >= position as f64
    }

    /// Returns when the share brings the next token; `None` if it ends before.
    fn next_token(&self, now: ClockTime) -> Option<ClockTime> {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.share_rate).ok()?;
        // Rounded up, because a moment earlier the token would be incomplete.
        let time = now + wait + Duration::from_micros(1);
        (time < self.share_until).then_some(time)
    }
}

/// An operation that waits. Operations are ordered by how long they may wait, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingOperation {
    allowance: Duration,
    ticket: WaitTicket,
    latest: ClockTime,
}

/// The waiting operations of one account on one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitQueue {
    waiting: VecDeque<WaitingOperation>,
}

impl LimitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds an operation that must begin by `latest`. Returns false if it can't, or the queue is
    /// full.
    pub(crate) fn push(
        &mut self,
        now: ClockTime,
        ticket: WaitTicket,
        latest: ClockTime,
        forecast: &TokenForecast,
    ) -> bool {
        let operation = WaitingOperation {
            allowance: latest.since(now),
            ticket,
            latest,
        };
        let place = self.waiting.partition_point(|other| *other < operation);
        let fits = self.waiting.len() < MAX_WAITING_OPERATIONS && now < latest;
        if !fits || !forecast.reaches(now, place + 1, latest) {
            return false;
        }
        self.waiting.insert(place, operation);
        true
    }

    /// Returns how many operations still wait after a time.
    pub(crate) fn count_after(&self, time: ClockTime) -> usize {
        let waiting = self.waiting.iter();
        waiting.filter(|one| time < one.latest).count()
    }

    /// Removes the first operation.
    pub(crate) fn pop(&mut self) -> Option<WaitTicket> {
        self.waiting.pop_front().map(|one| one.ticket)
    }

    /// Removes the operations whose latest time has come, and returns them.
    pub(crate) fn take_expired(&mut self, now: ClockTime) -> Vec<WaitTicket> {
        self.take_rejected(|_, one| now < one.latest)
    }

    /// Removes the operations that won't get their tokens in time, and returns them.
    pub(crate) fn take_unreachable(
        &mut self,
        now: ClockTime,
        forecast: &TokenForecast,
    ) -> Vec<WaitTicket> {
        self.take_rejected(|position, one| forecast.reaches(now, position, one.latest))
    }

    fn take_rejected(
        &mut self,
        keeps: impl Fn(usize, &WaitingOperation) -> bool,
    ) -> Vec<WaitTicket> {
        let mut rejected = Vec::new();
        let mut position = 1;
        self.waiting.retain(|one| {
            let kept = keeps(position, one);
            match kept {
                true => position += 1,
                false => rejected.push(one.ticket),
            }
            kept
        });
        rejected
    }

    /// Returns when the queue next changes if the ledger brings nothing: a token arrives, or an
    /// operation's latest time comes.
    pub(crate) fn next_change(
        &self,
        now: ClockTime,
        forecast: &TokenForecast,
    ) -> Option<ClockTime> {
        let latest = self.waiting.iter().map(|one| one.latest).min()?;
        let token = forecast.next_token(now);
        Some(token.map_or(latest, |token| token.min(latest)))
    }
}
