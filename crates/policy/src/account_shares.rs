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
//! Each account is scheduled for the time at which it next needs attention, so that a round costs
//! nothing for the others.

use crate::ClockTime;
use crate::account_ledger::LimitTolerance;
use crate::account_ledger::SHARE_LIFETIME;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::RateShare;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The depth of the token bucket, as the time in which the share fills it.
const SHARE_BUCKET_TIME: Duration = Duration::from_millis(150);

/// The interval at which a share is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// The interval at which a share that far exceeds the demand is reduced.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A share of more than this multiple of the demand is given back without waiting for its renewal.
const EXCESS_SHARE_FACTOR: f64 = 2.0;

/// The time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Demand below this, in operations per second, counts as no use.
const MIN_DEMAND: f64 = 0.01;

/// An account that was unused for this long is dropped.
const IDLE_ACCOUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// The window in which the allowance for operations without a ledger is granted once.
const OFFLINE_ALLOWANCE_WINDOW: Duration = Duration::from_secs(10);

/// The minimum and maximum time after which a refused caller is told to retry, in milliseconds and
/// without the spread that is added.
const RETRY_AFTER_RANGE_MILLIS: (u64, u64) = (100, 2_000);

/// The result of a request to begin an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeDecision {
    /// The operation may begin.
    Admitted,
    /// The ledger must be asked. Its answer decides how many of the waiting operations may begin.
    Waits,
}

/// The outcome of a ledger's answer, or of its absence, for the waiting operations in their order
/// of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitersOutcome {
    /// The number of operations that are admitted.
    pub admitted: u32,
    /// The number of operations after those that are refused.
    pub refused: u32,
}

/// One VM's share of one account's limit.
#[derive(Clone, Debug)]
struct AccountShare {
    limit: AccountLimit,
    share: RateShare,
    until: ClockTime,
    /// The tokens in the bucket, in operations.
    tokens: f64,
    refilled: ClockTime,
    /// Single operations that were lent, and until when they may begin.
    operations: u32,
    operations_until: ClockTime,
    /// The demand, in operations per second.
    demand: f64,
    noted: ClockTime,
    /// When the demand has fallen below [`MIN_DEMAND`], without further use.
    unused_since: ClockTime,
    waiting: u32,
    /// The waiting operations that the pending request was sent for.
    awaiting_answer: u32,
    /// Whether a request to the ledger is pending.
    request_in_flight: bool,
    /// When the ledger was last asked.
    last_asked: Option<ClockTime>,
    /// When the account is scheduled for attention.
    scheduled: Option<ClockTime>,
    /// Operations that were admitted without the ledger, and the start of the window in which they
    /// are counted.
    admitted_offline: u32,
    offline_window_start: ClockTime,
}

impl AccountShare {
    fn new(now: ClockTime, limit: AccountLimit) -> Self {
        Self {
            limit,
            share: RateShare::default(),
            until: now,
            tokens: 0.0,
            refilled: now,
            operations: 0,
            operations_until: now,
            demand: 0.0,
            noted: now,
            unused_since: now,
            waiting: 0,
            awaiting_answer: 0,
            request_in_flight: false,
            last_asked: None,
            scheduled: None,
            admitted_offline: 0,
            offline_window_start: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let rate = self.limit.rate() * self.share.fraction();
        let span = now.min(self.until).since(self.refilled);
        let most = rate * SHARE_BUCKET_TIME.as_secs_f64();
        self.tokens = (self.tokens + rate * span.as_secs_f64()).min(most);
        self.refilled = now;
        if now >= self.until {
            self.share = RateShare::default();
            self.tokens = 0.0;
        }
        if now >= self.operations_until {
            self.operations = 0;
        }
    }

    fn decay_demand(&mut self, now: ClockTime) {
        let passed = now.since(self.noted).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand *= (-passed).exp();
        self.noted = now;
    }

    fn take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.operations > 0 {
            self.operations -= 1;
            return true;
        }
        false
    }

    /// Returns when the ledger must be asked next, if nothing happens until then.
    fn request_time(&self, now: ClockTime) -> Option<ClockTime> {
        if self.request_in_flight {
            return None;
        }
        if self.waiting > 0 {
            return Some(now);
        }
        if self.share == RateShare::default() || now >= self.until {
            return None;
        }
        let Some(asked) = self.last_asked else {
            return Some(now);
        };
        // A share that is no longer needed here may be needed where the callers have moved to.
        let rate = self.limit.rate() * self.share.fraction();
        let excess = self.demand_falls_below(rate / EXCESS_SHARE_FACTOR);
        let returned = excess.max(asked + RETURN_CHECK_INTERVAL);
        Some(returned.min(asked + RENEWAL_INTERVAL))
    }

    /// Returns when the demand has fallen below `demand`, without further use.
    fn demand_falls_below(&self, demand: f64) -> ClockTime {
        // The logarithm is not a number if both are zero, and infinite if one is; `max` and
        // `unwrap_or` cover these cases.
        let constants = (self.demand / demand).ln().max(0.0);
        let decay = constants * DEMAND_TIME_CONSTANT.as_secs_f64();
        self.noted + Duration::try_from_secs_f64(decay).unwrap_or(Duration::MAX)
    }

    /// Returns when the account is dropped, if it isn't used until then.
    fn drop_time(&self) -> ClockTime {
        self.unused_since + IDLE_ACCOUNT_TIMEOUT
    }

    /// Returns when the account next needs attention: to ask the ledger, or to be dropped.
    ///
    /// A request in flight ends with an answer or without, which schedules the account again.
    fn attention_time(&self, now: ClockTime) -> Option<ClockTime> {
        if self.request_in_flight {
            return None;
        }
        Some(self.request_time(now).unwrap_or_else(|| self.drop_time()))
    }

    fn describe(&self, account: &AccountName) -> AccountShareRequest {
        // Also asks for the operations that are expected within the bucket time, so that they
        // needn't ask again.
        let soon = self.demand * SHARE_BUCKET_TIME.as_secs_f64();
        let wants = match self.waiting {
            0 => 0,
            waiting => waiting + soon as u32,
        };
        AccountShareRequest {
            account: account.clone(),
            holds: self.share,
            demand: (self.demand * 1_000.0) as u64,
            wants,
        }
    }
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

    /// Admits an operation, or returns that the ledger must be asked.
    ///
    /// An operation that waits is counted until [`take_grant`](Self::take_grant) or
    /// [`note_unanswered`](Self::note_unanswered) settles it.
    pub fn take(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        limit: AccountLimit,
    ) -> TakeDecision {
        let share = self.accounts.entry(account.clone());
        let share = share.or_insert_with(|| AccountShare::new(now, limit));
        share.refill(now);
        let limit_changed = share.limit != limit;
        share.limit = limit;
        share.decay_demand(now);
        share.demand += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        share.unused_since = share.demand_falls_below(MIN_DEMAND);
        let admitted = share.waiting == 0 && share.take(now);
        if !admitted {
            share.waiting += 1;
        }
        if !admitted || limit_changed || share.scheduled.is_none() {
            schedule_account(&mut self.schedule, now, account, share);
        }
        match admitted {
            true => TakeDecision::Admitted,
            false => TakeDecision::Waits,
        }
    }

    /// Returns an operation that hasn't reached an endpoint to the account.
    pub fn give_back(&mut self, now: ClockTime, account: &AccountName) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.refill(now);
            share.operations += 1;
            share.operations_until = share.operations_until.max(now + SHARE_BUCKET_TIME);
        }
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
                    share.awaiting_answer = share.waiting;
                    share_requests.push(share.describe(&account));
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

    /// Returns the shares of the accounts that `at_home` accepts, to declare them to a new ledger.
    pub fn list_held(
        &mut self,
        now: ClockTime,
        mut at_home: impl FnMut(&AccountName) -> bool,
    ) -> Vec<AccountShareRequest> {
        let held = self.accounts.iter_mut().filter(|(name, _)| at_home(name));
        let held = held.filter_map(|(account, share)| {
            share.refill(now);
            share.decay_demand(now);
            (share.share > RateShare::default()).then(|| share.describe(account))
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
        let Some(share) = self.accounts.get_mut(&grant.account) else {
            return WaitersOutcome::default();
        };
        share.refill(now);
        share.share = grant.share;
        share.until = sent + SHARE_LIFETIME;
        if now.since(sent) < SHARE_BUCKET_TIME {
            share.operations += grant.operations;
            share.operations_until = share.operations_until.max(sent + SHARE_BUCKET_TIME);
        }
        share.refill(now);
        let end = share.settle_waiting(now);
        schedule_account(&mut self.schedule, now, &grant.account, share);
        end
    }

    /// Records that an account's ledger didn't answer, and returns what that means for the waiting
    /// operations.
    pub fn note_unanswered(&mut self, now: ClockTime, account: &AccountName) -> WaitersOutcome {
        let Some(share) = self.accounts.get_mut(account) else {
            return WaitersOutcome::default();
        };
        // The previous process may have admitted as many just before it ended.
        let offline_allowance = match now.since(self.started) < OFFLINE_ALLOWANCE_WINDOW {
            true => 0,
            false => self.tolerance.offline_allowance(share.limit, self.holders),
        };
        if now.since(share.offline_window_start) >= OFFLINE_ALLOWANCE_WINDOW {
            share.admitted_offline = 0;
            share.offline_window_start = now;
        }
        let spare = offline_allowance
            .saturating_sub(share.admitted_offline)
            .min(share.awaiting_answer);
        share.admitted_offline += spare;
        share.waiting -= spare;
        share.awaiting_answer -= spare;
        // The share will allow these operations before the ledger is asked again, so they keep
        // waiting.
        share.refill(now);
        let soon = share.limit.rate() * share.share.fraction() * SHARE_BUCKET_TIME.as_secs_f64();
        share.awaiting_answer = share.awaiting_answer.saturating_sub(soon as u32);
        let mut end = share.settle_waiting(now);
        end.admitted += spare;
        schedule_account(&mut self.schedule, now, account, share);
        end
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

    /// Returns an account's share and its remaining lifetime.
    pub fn describe(&self, now: ClockTime, account: &AccountName) -> (RateShare, Duration) {
        let share = self.accounts.get(account);
        let share = share.filter(|held| now < held.until);
        share.map_or_else(Default::default, |held| (held.share, held.until.since(now)))
    }
}

impl AccountShare {
    /// Admits waiting operations as far as tokens and lent operations allow. Of the others, those
    /// that waited for the answer are refused.
    fn settle_waiting(&mut self, now: ClockTime) -> WaitersOutcome {
        let mut end = WaitersOutcome::default();
        while self.waiting > end.admitted && self.take(now) {
            end.admitted += 1;
        }
        end.refused = self.awaiting_answer.saturating_sub(end.admitted);
        self.waiting -= end.admitted + end.refused;
        self.awaiting_answer = 0;
        self.request_in_flight = false;
        end
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
    if time == share.scheduled {
        return;
    }
    if let Some(former) = share.scheduled {
        schedule.remove(&(former, account.clone()));
    }
    schedule.extend(time.map(|time| (time, account.clone())));
    share.scheduled = time;
}
