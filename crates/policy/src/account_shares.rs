//! What one VM may use of the accounts' limits, and what it asks their ledgers for.
//!
//! # The load it answers
//!
//! Operations of hundreds of accounts arrive at a VM that leads groups, most of them of a few accounts.
//! Each must be let in or refused at once.
//!
//! # Without it
//!
//! Each operation would wait for an answer of its account's ledger, a way there and back between failure
//! domains, and all of an account's work would stop with the one VM that keeps its ledger.
//!
//! # Grounds for its figures
//!
//! An account that is asked for often holds a share of its rate here, renewed several times in the
//! share's time. What accrues by it is kept for [`SHARE_MEMORY`] at most, and single operations are used
//! within the same time or not at all: in any span no more is begun than the limit allows for the span
//! and that time. While a ledger can't be reached, some are let in without it, a part of what is tolerated beyond the limit.

use crate::ClockTime;
use crate::account_ledger::LimitTolerance;
use crate::account_ledger::SHARE_TIME;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountNeed;
use ragwort_types::RateShare;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long what a share allows is kept unused.
const SHARE_MEMORY: Duration = Duration::from_millis(150);

/// How often a share is renewed.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// How often it's looked whether a share is far larger than what is asked for.
const RETURN_EVERY: Duration = Duration::from_millis(150);

/// A share of a rate so many times the demand is given back without waiting for its renewal.
const UNNEEDED_FACTOR: f64 = 2.0;

/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// An account that was unused for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The span in which operations are let in without a ledger only once.
const ALLOWANCE_SPAN: Duration = Duration::from_secs(10);

/// The shortest and the longest time after which a refused caller is told to come back, in milliseconds.
const RETURN_MILLIS: (u64, u64) = (100, 2_000);

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeDecision {
    /// It may begin.
    Taken,
    /// The ledger must be asked; the answer says how many of those that wait may begin.
    Waits,
}

/// What becomes of those that waited for an answer, the first ones first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitersEnd {
    /// How many may begin.
    pub begun: u32,
    /// How many after those are refused.
    pub refused: u32,
}

/// What one VM holds of one account's limit.
#[derive(Clone, Debug)]
struct AccountShare {
    limit: AccountLimit,
    share: RateShare,
    until: ClockTime,
    /// Operations that the share allows now.
    level: f64,
    refilled: ClockTime,
    /// Single operations that were lent, and until when they may begin.
    operations: u32,
    operations_until: ClockTime,
    /// Operations asked for, in a second.
    demand: f64,
    noted: ClockTime,
    waiting: u32,
    /// Those of them that wait for the answer which is under way.
    asking: u32,
    /// Whether an answer is under way.
    asked: bool,
    /// When the ledger was last asked.
    asked_at: Option<ClockTime>,
    /// Operations that were let in without a word of the ledger, and since when they are counted.
    begun_alone: u32,
    alone_since: ClockTime,
}

impl AccountShare {
    fn new(now: ClockTime, limit: AccountLimit) -> Self {
        Self {
            limit,
            share: RateShare::default(),
            until: now,
            level: 0.0,
            refilled: now,
            operations: 0,
            operations_until: now,
            demand: 0.0,
            noted: now,
            waiting: 0,
            asking: 0,
            asked: false,
            asked_at: None,
            begun_alone: 0,
            alone_since: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let rate = self.limit.rate() * self.share.fraction();
        let span = now.min(self.until).since(self.refilled);
        let most = rate * SHARE_MEMORY.as_secs_f64();
        self.level = (self.level + rate * span.as_secs_f64()).min(most);
        self.refilled = now;
        if now >= self.until {
            self.share = RateShare::default();
            self.level = 0.0;
        }
        if now >= self.operations_until {
            self.operations = 0;
        }
    }

    fn decay_demand(&mut self, now: ClockTime) {
        let passed = now.since(self.noted).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand *= (-passed).exp();
        self.noted = now;
    }

    fn take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return true;
        }
        if self.operations > 0 {
            self.operations -= 1;
            return true;
        }
        false
    }

    fn is_due(&self, now: ClockTime) -> bool {
        let since = self.asked_at.map(|asked| now.since(asked));
        let since = since.unwrap_or(Duration::MAX);
        let holds = self.share > RateShare::default();
        // What isn't needed here any more may be needed where the callers have gone.
        let rate = self.limit.rate() * self.share.fraction();
        let returns = rate > self.demand * UNNEEDED_FACTOR;
        let due = since >= RENEW_EVERY || (returns && since >= RETURN_EVERY);
        !self.asked && (self.waiting > 0 || (holds && due))
    }

    fn describe(&self, account: &AccountName) -> AccountNeed {
        // A second operation soon after the first needn't ask again.
        let soon = self.demand * SHARE_MEMORY.as_secs_f64();
        let wants = match self.waiting {
            0 => 0,
            waiting => waiting + soon as u32,
        };
        AccountNeed {
            account: account.clone(),
            holds: self.share,
            demand: (self.demand * 1_000.0) as u64,
            wants,
        }
    }
}

/// What one VM holds of all accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct LimitShares {
    accounts: BTreeMap<AccountName, AccountShare>,
    tolerance: LimitTolerance,
    /// How many VMs let operations begin.
    holders: usize,
    /// When this process started.
    started: ClockTime,
    refused: u64,
}

impl LimitShares {
    /// Creates what a process holds that starts now: nothing.
    pub fn new(started: ClockTime) -> Self {
        Self {
            started,
            ..Self::default()
        }
    }

    /// Sets what is tolerated beyond limits, and how many VMs let operations begin.
    pub fn set_holders(&mut self, tolerance: LimitTolerance, holders: usize) {
        self.tolerance = tolerance;
        self.holders = holders;
    }

    /// Lets an operation begin, or says that the ledger must be asked. One that waits is counted until
    /// [`take_grant`](Self::take_grant) or [`give_up`](Self::give_up).
    pub fn take(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        limit: AccountLimit,
    ) -> TakeDecision {
        if !self.accounts.contains_key(account) {
            self.accounts
                .retain(|_, share| share.waiting > 0 || now.since(share.noted) < FORGET_AFTER);
            self.accounts
                .insert(account.clone(), AccountShare::new(now, limit));
        }
        let Some(share) = self.accounts.get_mut(account) else {
            return TakeDecision::Waits;
        };
        share.refill(now);
        share.limit = limit;
        share.decay_demand(now);
        share.demand += 1.0 / DEMAND_TIME.as_secs_f64();
        if share.waiting == 0 && share.take(now) {
            return TakeDecision::Taken;
        }
        share.waiting += 1;
        TakeDecision::Waits
    }

    /// Gives an operation back that has not reached an endpoint.
    pub fn give_back(&mut self, now: ClockTime, account: &AccountName) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.refill(now);
            share.operations += 1;
            share.operations_until = share.operations_until.max(now + SHARE_MEMORY);
        }
    }

    /// Lists the accounts of which the ledger must be asked now, and notes that it is. Those that
    /// `may_ask` says no to are left for a later look.
    pub fn due_needs(
        &mut self,
        now: ClockTime,
        may_ask: impl Fn(&AccountName) -> bool,
    ) -> Vec<AccountNeed> {
        let mut needs = Vec::new();
        for (account, share) in &mut self.accounts {
            share.refill(now);
            share.decay_demand_for_look(now);
            if share.is_due(now) && may_ask(account) {
                share.asked = true;
                share.asked_at = Some(now);
                share.asking = share.waiting;
                needs.push(share.describe(account));
            }
        }
        needs
    }

    /// Lists what is held of the accounts that `at_home` names, for a ledger that begins.
    pub fn list_held(
        &mut self,
        now: ClockTime,
        at_home: impl Fn(&AccountName) -> bool,
    ) -> Vec<AccountNeed> {
        let held = self.accounts.iter_mut().filter(|(name, _)| at_home(name));
        let held = held.filter_map(|(account, share)| {
            share.refill(now);
            share.decay_demand_for_look(now);
            (share.share > RateShare::default()).then(|| share.describe(account))
        });
        held.collect()
    }

    /// Takes a ledger's answer to what was asked at `sent`, and says what becomes of those that waited
    /// for it.
    pub fn take_grant(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        grant: &AccountGrant,
    ) -> WaitersEnd {
        let Some(share) = self.accounts.get_mut(&grant.account) else {
            return WaitersEnd::default();
        };
        share.refill(now);
        share.share = grant.share;
        share.until = sent + SHARE_TIME;
        if now.since(sent) < SHARE_MEMORY {
            share.operations += grant.operations;
            share.operations_until = share.operations_until.max(sent + SHARE_MEMORY);
        }
        share.refill(now);
        share.settle_waiting(now)
    }

    /// Notes that an account's ledger gave no answer, and says what becomes of those that waited for it.
    pub fn give_up(&mut self, now: ClockTime, account: &AccountName) -> WaitersEnd {
        let Some(share) = self.accounts.get_mut(account) else {
            return WaitersEnd::default();
        };
        // The process before this one may have let in as many a moment ago.
        let allowance = match now.since(self.started) < ALLOWANCE_SPAN {
            true => 0,
            false => self.tolerance.allowance(share.limit, self.holders),
        };
        if now.since(share.alone_since) >= ALLOWANCE_SPAN {
            share.begun_alone = 0;
            share.alone_since = now;
        }
        let spare = allowance
            .saturating_sub(share.begun_alone)
            .min(share.asking);
        share.begun_alone += spare;
        share.waiting -= spare;
        share.asking -= spare;
        // What the share still allows comes within the time in which the ledger is asked again.
        share.refill(now);
        let soon = share.limit.rate() * share.share.fraction() * SHARE_MEMORY.as_secs_f64();
        share.asking = share.asking.saturating_sub(soon as u32);
        let mut end = share.settle_waiting(now);
        end.begun += spare;
        end
    }

    /// Returns when a refused caller of an account may come back, in milliseconds.
    pub fn return_after(&mut self, limit: AccountLimit) -> u64 {
        self.refused += 1;
        let (shortest, longest) = RETURN_MILLIS;
        let turn = (1_000.0 / limit.rate().max(0.001)).min(longest as f64) as u64;
        let turn = turn.clamp(shortest, longest);
        // The step and the spread have no common divisor, so that the whole spread is used.
        turn + self.refused * 83 % turn
    }

    /// Returns an account's share and for how long it still runs.
    pub fn describe(&self, now: ClockTime, account: &AccountName) -> (RateShare, Duration) {
        let share = self.accounts.get(account);
        share.map_or_else(Default::default, |held| (held.share, held.until.since(now)))
    }
}

impl AccountShare {
    fn decay_demand_for_look(&mut self, now: ClockTime) {
        let noted = self.noted;
        self.decay_demand(now);
        // Only operations keep an account from being forgotten.
        if self.demand < 0.01 {
            self.noted = noted;
        }
    }

    /// Lets those that wait begin as far as there is something; of the others, those are refused that
    /// waited for the answer.
    fn settle_waiting(&mut self, now: ClockTime) -> WaitersEnd {
        let mut end = WaitersEnd::default();
        while self.waiting > end.begun && self.take(now) {
            end.begun += 1;
        }
        end.refused = self.asking.saturating_sub(end.begun);
        self.waiting -= end.begun + end.refused;
        self.asking = 0;
        self.asked = false;
        end
    }
}
