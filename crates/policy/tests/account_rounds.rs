//! The work of a round that asks the ledgers for shares, and the time of the next one.

use ragwort_policy::ClockTime;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::TakeDecision;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::RateShare;
use std::time::Duration;

const LIMIT: AccountLimit = AccountLimit {
    per_thousand_seconds: 100_000,
    burst: 100,
};

const ROUND: Duration = Duration::from_millis(50);

/// How long an operation may wait for a token.
const MAX_WAIT: Duration = Duration::from_millis(200);

macro_rules! round_cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

fn account(number: usize) -> AccountName {
    format!("directorate-{number}").into()
}

fn grant(account: AccountName, fraction: f64) -> AccountGrant {
    AccountGrant {
        account,
        share: RateShare::from_fraction(fraction),
        operations: 1_000,
        rest_after_ms: None,
    }
}

/// Creates the shares of `count` accounts, each with `operations` admitted operations and this
/// share, asked for and granted at `now`.
fn create_shares(now: ClockTime, count: usize, operations: u32, fraction: f64) -> LimitShares {
    let mut shares = LimitShares::new(ClockTime::default());
    shares.set_holders(LimitTolerance::default(), 5);
    for number in 0..count {
        for _ in 0..operations {
            let decision = shares.take(now, &account(number), LIMIT, now + MAX_WAIT);
            assert!(matches!(decision, TakeDecision::Waits(_)));
        }
    }
    assert_eq!(shares.due_share_requests(now, |_| true).len(), count);
    for number in 0..count {
        let end = shares.take_grant(now, now, &grant(account(number), fraction));
        assert_eq!(end.admitted.len(), operations as usize);
    }
    shares
}

round_cases! {
    /// Many accounts have called once and are quiet. When each round looked at all of them, a VM
    /// with 76 accounts spent an eighth of its processor on rounds that had nothing to ask.
    quiet_accounts_cost_a_round_nothing {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 1_000, 1, 0.0);
        let before = shares.checked_accounts();
        for round in 1..=100 {
            assert!(shares.due_share_requests(start + ROUND * round, |_| true).is_empty());
        }
        assert_eq!(shares.checked_accounts() - before, 0);
    }

    /// One of many accounts holds a share, the others are quiet. Only the holder may be looked at,
    /// as often as its share is renewed.
    renewal_of_one_share_looks_at_one_account {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 1_000, 1, 0.0);
        let busy = account(500);
        let before = shares.checked_accounts();
        let mut renewals = 0;
        for round in 1..=80 {
            let now = start + ROUND * round;
            for _ in 0..2 {
                shares.take(now, &busy, LIMIT, now + MAX_WAIT);
            }
            for request in shares.due_share_requests(now, |_| true) {
                assert_eq!(request.account, busy);
                renewals += 1;
                shares.take_grant(now, now, &grant(busy.clone(), 0.5));
            }
        }
        assert!(renewals >= 80 / 8, "{renewals} renewals");
        let checked = shares.checked_accounts() - before;
        assert!(checked <= 2 * renewals, "{checked} accounts checked for {renewals} renewals");
    }
    /// The next round is slept for, so its time must be that of the first renewal: 400 ms after
    /// the last request while the share is needed. A later one would let shares expire.
    next_round_is_due_when_a_share_is_renewed {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 1, 30, 0.3);
        let due = shares.next_due().unwrap();
        assert_eq!(due, start + Duration::from_millis(400));
        assert!(shares.due_share_requests(due.before(Duration::from_millis(1)), |_| true).is_empty());
        assert_eq!(shares.due_share_requests(due, |_| true).len(), 1);
        assert_eq!(shares.next_due(), None, "its answer is awaited");
    }

    /// A share is given back once the demand, which halves in 693 ms, is less than half of it: here
    /// 20 a second against 30 of the share, so ln(20 / 15) = 288 ms after the last use. A share
    /// that is kept for longer is missing where the callers have moved to.
    next_round_is_due_when_a_share_exceeds_the_demand {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 1, 20, 0.3);
        let due = shares.next_due().unwrap();
        assert_eq!(due.since(start).as_millis(), 287);
        assert!(shares.due_share_requests(due.before(Duration::from_millis(1)), |_| true).is_empty());
        let late = due + Duration::from_millis(1);
        assert_eq!(shares.due_share_requests(late, |_| true).len(), 1);
    }

    /// An operation waits while a call to its ledger's VM is in flight. The account must stay due,
    /// or the operation would wait in vain.
    account_that_may_not_ask_yet_stays_due {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 1, 1, 0.0);
        let now = start + Duration::from_secs(1);
        let decision = shares.take(now, &account(0), LIMIT, now + MAX_WAIT);
        assert!(matches!(decision, TakeDecision::Waits(_)));
        assert!(shares.due_share_requests(now, |_| false).is_empty());
        assert!(shares.next_due().is_some_and(|due| due <= now));
        assert_eq!(shares.due_share_requests(now, |_| true).len(), 1);
    }

    /// Accounts that aren't used any more must be dropped, or the VM would keep every account that
    /// ever called.
    unused_accounts_are_dropped {
        let start = ClockTime::from_millis(20_000);
        let mut shares = create_shares(start, 100, 1, 0.0);
        let mut now = start;
        while let Some(due) = shares.next_due() {
            assert!(due > now);
            now = due;
            assert!(shares.due_share_requests(now, |_| true).is_empty());
        }
        let idle = now.since(start);
        assert!(idle > Duration::from_secs(14) && idle < Duration::from_secs(15), "{idle:?}");
        assert_eq!(shares.checked_accounts(), 100 + 100);
    }
}
