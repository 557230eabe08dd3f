//! A VM's shares of the accounts' rate limits.
//!
//! # Problem
//!
//! Operations of hundreds of accounts arrive at a VM that leads groups, most of them of a few
//! accounts. Each must be admitted or refused at once. If each waited for an answer of its
//! account's ledger, it would take a round trip between failure domains, and all of an account's
//! work would stop with the one VM that keeps its ledger.
//!
//! # Approach
//!
//! A token bucket for each account. An account in frequent use holds a share of its rate here,
//! which is renewed several times in its lifetime and fills the bucket. Tokens are kept for
//! [`SHARE_BUCKET_TIME`] at most, and single operations that were lent are used within the same
//! time or not at all. In any span no more operations are begun than the limit allows for the span
//! and that time. While a ledger is unreachable, a part of the tolerated excess over the limit is
//! admitted without it.
//!
//! An operation that finds no token waits in the queue of its account for one that comes in
//! time, from the share or from the ledger.
//!
//! Each account is scheduled for the time at which it next needs attention, so that a round costs
//! nothing for the others.

use crate::ClockTime;
use crate::account_ledger::LIMIT_WINDOW;
use crate::account_ledger::LimitTolerance;
use crate::account_ledger::SHARE_LIFETIME;
use crate::account_share::AccountShare;
use crate::account_share::DEMAND_TIME_CONSTANT;
use crate::account_share::MIN_DEMAND;
use crate::account_share::OFFLINE_ALLOWANCE_WINDOW;
use crate::account_share::SHARE_BUCKET_TIME;
use crate::limit_queue::LoanForecast;
use crate::limit_queue::MIN_ASK_PAUSE;
use crate::limit_queue::WaitTicket;
use crate::limit_queue::WaitersOutcome;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::RateShare;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The minimum and maximum time after which a refused caller is told to retry, in milliseconds and
/// without the spread that is added.
const RETRY_AFTER_RANGE_MILLIS: (u64, u64) = (100, 2_000);

/// The pause after a request that its ledger left unanswered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);

/// The result of a request to begin an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeDecision {
    /// The operation may begin.
    Admitted,
    /// The operation waits for a token; a later outcome names its ticket.
    Waits(WaitTicket),
    /// The operation can't begin in time.
    Refused,
}

/// An account's state on a VM, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareStatus {
    /// The VM's share of the rate.
    pub share: RateShare,
    /// The time since the share was asked for.
    pub age: Duration,
    /// The VM's demand, in thousandths of an operation per second.
    pub demand: u64,
    /// The number of operations that wait.
    pub waiting: usize,
}

/// One VM's shares of all accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct LimitShares {
    accounts: BTreeMap<AccountName, AccountShare>,
    tolerance: LimitTolerance,
    /// The number of VMs that admit operations.
    holders: usize,
    /// When this process started.
    started: ClockTime,
    refused: u64,
    /// The accounts by the time at which they next need attention. Use may put that time off
    /// without a change here; the account is then scheduled again when the earlier time comes.
    schedule: BTreeSet<(ClockTime, AccountName)>,
    /// The accounts with waiting operations, by the time at which their queue next changes.
    queues: BTreeSet<(ClockTime, AccountName)>,
    last_ticket: u64,
    checked_accounts: u64,
}

impl LimitShares {
    /// Creates the state of a process that starts now and holds no shares.
    pub fn new(started: ClockTime) -> Self {
        Self {
            started,
            ..Self::default()
        }
    }

    /// Sets the tolerated excess over limits, and the number of VMs that admit operations.
    pub fn set_holders(&mut self, tolerance: LimitTolerance, holders: usize) {
        self.tolerance = tolerance;
        self.holders = holders;
    }

    /// Admits an operation that must begin by `latest`, lets it wait, or refuses it.
    ///
    /// An operation that waits is settled by [`take_grant`](Self::take_grant),
    /// [`note_unanswered`](Self::note_unanswered) or [`settle_due`](Self::settle_due).
    pub fn take(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        limit: AccountLimit,
        latest: ClockTime,
    ) -> TakeDecision {
        let share = self.accounts.entry(account.clone());
        let share = share.or_insert_with(|| AccountShare::new(now, limit));
        share.refill(now);
        let limit_changed = share.limit != limit;
        if limit_changed {
            share.set_limit(limit);
        }
        share.decay_demand(now);
        share.demand += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        share.unused_since = share.demand_falls_below(MIN_DEMAND);
        let admitted = share.queue.is_empty() && share.take(now);
        let ticket = WaitTicket(self.last_ticket + 1);
        let waits = !admitted && share.queue.push(now, ticket, latest, &share.forecast());
        if waits {
            self.last_ticket = ticket.0;
            // Only its latest time can come before what the queue waits for already.
            if share.queue_due.is_none_or(|due| latest < due) {
                schedule_queue(&mut self.queues, now, account, share);
            }
        }
        if !admitted || limit_changed || share.scheduled.is_none() {
            schedule_account(&mut self.schedule, now, account, share);
        }
        match (admitted, waits) {
            (true, _) => TakeDecision::Admitted,
            (false, true) => TakeDecision::Waits(ticket),
            (false, false) => TakeDecision::Refused,
        }
    }

    /// Returns an operation that hasn't reached an endpoint to the account.
    pub fn give_back(&mut self, now: ClockTime, account: &AccountName) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.refill(now);
            share.take_back(now);
            if !share.queue.is_empty() {
                move_entry(&mut self.queues, account, &mut share.queue_due, Some(now));
            }
        }
    }

    /// Returns when [`settle_due`](Self::settle_due) next has something to do.
    pub fn next_settling(&self) -> Option<ClockTime> {
        self.queues.first().map(|(time, _)| *time)
    }

    /// Admits the waiting operations whose tokens have arrived, and refuses those whose latest time
    /// has come.
    pub fn settle_due(&mut self, now: ClockTime) -> Vec<(AccountName, WaitersOutcome)> {
        let mut outcomes = Vec::new();
        while self.next_settling().is_some_and(|time| time <= now) {
            let Some((_, account)) = self.queues.pop_first() else {
                break;
            };
            let allowance = self.offline_allowance(now, &account);
            let Some(share) = self.accounts.get_mut(&account) else {
                continue;
            };
            share.queue_due = None;
            let mut outcome = WaitersOutcome::default();
            share.refill(now);
            share.admit_waiting(now, &mut outcome);
            let silent = share.is_ledger_silent(now);
            for ticket in share.queue.take_expired(now) {
                match silent && share.take_offline(now, allowance) {
                    true => outcome.admitted.push(ticket),
                    false => outcome.refused.push(ticket),
                }
            }
            schedule_queue(&mut self.queues, now, &account, share);
            schedule_account(&mut self.schedule, now, &account, share);
            outcomes.push((account, outcome));
        }
        outcomes
    }

    /// Returns how many operations of an account may begin here without its ledger.
    fn offline_allowance(&self, now: ClockTime, account: &AccountName) -> u32 {
        // The previous process may have admitted as many just before it ended.
        if now.since(self.started) < OFFLINE_ALLOWANCE_WINDOW {
            return 0;
        }
        let share = self.accounts.get(account);
        share.map_or(0, |share| {
            self.tolerance.offline_allowance(share.limit, self.holders)
        })
    }

    /// Returns when [`due_share_requests`](Self::due_share_requests) next has something to do, if
    /// no operation waits until then; `None` if there is nothing.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.schedule.first().map(|(time, _)| *time)
    }

    /// Returns the share requests that are due now and marks them as sent. Accounts that `may_ask`
    /// rejects are left for a later call.
    pub fn due_share_requests(
        &mut self,
        now: ClockTime,
        mut may_ask: impl FnMut(&AccountName) -> bool,
    ) -> Vec<AccountShareRequest> {
        let young = self.is_young(now);
        let mut share_requests = Vec::new();
        for account in self.take_scheduled(now) {
            let Some(share) = self.accounts.get_mut(&account) else {
                continue;
            };
            self.checked_accounts += 1;
            share.scheduled = None;
            share.refill(now);
            share.decay_demand(now);
            match share.request_time(now) {
                Some(time) if time <= now && may_ask(&account) => {
                    share.request_in_flight = true;
                    share.last_asked = Some(now);
                    let request = share.describe(now, &account, young);
                    share.wanted = request.wants;
                    share_requests.push(request);
                }
                None if share.drop_time() <= now => {
                    self.accounts.remove(&account);
                }
                _ => schedule_account(&mut self.schedule, now, &account, share),
            }
        }
        share_requests
    }

    /// Removes the accounts that are due from the schedule.
    fn take_scheduled(&mut self, now: ClockTime) -> Vec<AccountName> {
        let mut due = Vec::new();
        while self.next_due().is_some_and(|time| time <= now) {
            due.extend(self.schedule.pop_first().map(|(_, account)| account));
        }
        due
    }

    /// Returns how many accounts rounds have looked at since the start.
    pub fn checked_accounts(&self) -> u64 {
        self.checked_accounts
    }

    /// Returns whether this process started within the span of the limits.
    fn is_young(&self, now: ClockTime) -> bool {
        now.since(self.started) < LIMIT_WINDOW
    }

    /// Returns the shares of the accounts that `at_home` accepts, to declare them to a new ledger.
    pub fn list_held(
        &mut self,
        now: ClockTime,
        mut at_home: impl FnMut(&AccountName) -> bool,
    ) -> Vec<AccountShareRequest> {
        let young = self.is_young(now);
        let held = self.accounts.iter_mut().filter(|(name, _)| at_home(name));
        let held = held.filter_map(|(account, share)| {
            share.refill(now);
            share.decay_demand(now);
            let counts = share.share > RateShare::default() || young && share.begun > 0;
            counts.then(|| share.describe(now, account, young))
        });
        held.collect()
    }

    /// Applies a ledger's answer to the request that was sent at `sent`, and returns what it means
    /// for the waiting operations.
    pub fn take_grant(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        grant: &AccountGrant,
    ) -> WaitersOutcome {
        let mut outcome = WaitersOutcome::default();
        let Some(share) = self.accounts.get_mut(&grant.account) else {
            return outcome;
        };
        share.refill(now);
        share.share = grant.share;
        share.until = sent + SHARE_LIFETIME;
        if now.since(sent) < SHARE_BUCKET_TIME {
            share.operations += grant.operations;
            share.operations_until = share.operations_until.max(sent + SHARE_BUCKET_TIME);
        }
        share.refill(now);
        let missing = share.wanted.saturating_sub(grant.operations);
        share.round_trip = now.since(sent);
        let rest = grant.rest_after_ms.filter(|_| missing > 0);
        share.unanswered = false;
        share.loans = rest.map(|rest| {
            let rest = Duration::from_millis(rest);
            LoanForecast::new(now, missing, rest, share.round_trip)
        });
        share.ask_after = match missing {
            0 => now,
            _ => share
                .loans
                .map_or(now + MIN_ASK_PAUSE, |loans| loans.ask_time()),
        };
        share.settle_waiting(now, &mut outcome);
        schedule_queue(&mut self.queues, now, &grant.account, share);
        schedule_account(&mut self.schedule, now, &grant.account, share);
        outcome
    }

    /// Records that an account's ledger didn't answer, and returns what that means for the waiting
    /// operations.
    pub fn note_unanswered(&mut self, now: ClockTime, account: &AccountName) -> WaitersOutcome {
        let mut outcome = WaitersOutcome::default();
        let allowance = self.offline_allowance(now, account);
        let Some(share) = self.accounts.get_mut(account) else {
            return outcome;
        };
        for _ in 0..share.wanted {
            if share.queue.is_empty() || !share.take_offline(now, allowance) {
                break;
            }
            outcome.admitted.extend(share.queue.pop());
        }
        share.refill(now);
        share.loans = None;
        share.unanswered = true;
        share.ask_after = now + UNANSWERED_PAUSE;
        share.settle_waiting(now, &mut outcome);
        schedule_queue(&mut self.queues, now, account, share);
        schedule_account(&mut self.schedule, now, account, share);
        outcome
    }

    /// Returns when a refused caller of an account may retry, in milliseconds.
    pub fn retry_after_ms(&mut self, limit: AccountLimit) -> u64 {
        self.refused += 1;
        let (shortest, longest) = RETRY_AFTER_RANGE_MILLIS;
        let turn = (1_000.0 / limit.rate().max(0.001)).min(longest as f64) as u64;
        let turn = turn.clamp(shortest, longest);
        // The step 83 and the usual spreads are coprime, so the offsets cover the whole spread.
        turn + self.refused * 83 % turn
    }

    /// Returns an account's state, for the log.
    pub fn describe(&mut self, now: ClockTime, account: &AccountName) -> ShareStatus {
        let Some(share) = self.accounts.get_mut(account) else {
            return ShareStatus::default();
        };
        share.refill(now);
        share.decay_demand(now);
        ShareStatus {
            share: share.share,
            age: (now + SHARE_LIFETIME).since(share.until),
            demand: (share.demand * 1_000.0) as u64,
            waiting: share.queue.len(),
        }
    }
}

/// Schedules an account for the time at which it next needs attention.
fn schedule_account(
    schedule: &mut BTreeSet<(ClockTime, AccountName)>,
    now: ClockTime,
    account: &AccountName,
    share: &mut AccountShare,
) {
    let time = share.attention_time(now);
    move_entry(schedule, account, &mut share.scheduled, time);
}

/// Schedules an account's queue for the time at which it next changes, or its ledger is to be asked
/// again.
fn schedule_queue(
    queues: &mut BTreeSet<(ClockTime, AccountName)>,
    now: ClockTime,
    account: &AccountName,
    share: &mut AccountShare,
) {
    let time = share.queue.next_change(now, &share.forecast());
    move_entry(queues, account, &mut share.queue_due, time);
}

/// Moves an account's entry in a schedule to another time.
fn move_entry(
    schedule: &mut BTreeSet<(ClockTime, AccountName)>,
    account: &AccountName,
    entry: &mut Option<ClockTime>,
    time: Option<ClockTime>,
) {
    if time == *entry {
        return;
    }
    if let Some(former) = *entry {
        schedule.remove(&(former, account.clone()));
    }
    schedule.extend(time.map(|time| (time, account.clone())));
    *entry = time;
}
