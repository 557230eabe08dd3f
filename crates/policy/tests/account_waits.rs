//! Operations that wait for a token of their account's limit on one VM.

use ragwort_policy::ClockTime;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::MAX_WAITING_OPERATIONS;
use ragwort_policy::TakeDecision;
use ragwort_policy::WaitTicket;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::RateShare;
use std::time::Duration;

const LIMIT: AccountLimit = AccountLimit {
    per_thousand_seconds: 100_000,
    burst: 100,
};

macro_rules! wait_cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

fn account() -> AccountName {
    "library".into()
}

fn start() -> ClockTime {
    ClockTime::from_millis(60_000)
}

fn after(millis: u64) -> ClockTime {
    start() + Duration::from_millis(millis)
}

fn create_shares() -> LimitShares {
    let mut shares = LimitShares::new(ClockTime::default());
    let tolerance = LimitTolerance {
        operations: 20,
        per_mille: 0,
    };
    shares.set_holders(tolerance, 5);
    shares
}

fn take(shares: &mut LimitShares, now: ClockTime, latest: ClockTime) -> TakeDecision {
    shares.take(now, &account(), LIMIT, latest)
}

/// Lets an operation wait until `latest`.
fn wait(shares: &mut LimitShares, now: ClockTime, latest: ClockTime) -> WaitTicket {
    match take(shares, now, latest) {
        TakeDecision::Waits(ticket) => ticket,
        decision => panic!("{decision:?}"),
    }
}

/// Asks the ledger for the waiting operations.
fn ask(shares: &mut LimitShares, now: ClockTime) -> u32 {
    let requests = shares.due_share_requests(now, |_| true);
    requests.iter().map(|request| request.wants).sum()
}

fn grant(fraction: f64, operations: u32, rest_after_ms: Option<u64>) -> AccountGrant {
    AccountGrant {
        account: account(),
        share: RateShare::from_fraction(fraction),
        operations,
        rest_after_ms,
    }
}

wait_cases! {
    /// The ledger lends nothing more, but the VM's share brings a token each 100 ms. The operations
    /// must begin with these tokens, in order of arrival, and not be refused.
    operations_begin_as_the_share_brings_tokens {
        let mut shares = create_shares();
        let tickets: Vec<WaitTicket> = (0..2)
            .map(|_| wait(&mut shares, start(), after(250)))
            .collect();
        assert_eq!(ask(&mut shares, start()), 2);
        let end = shares.take_grant(start(), start(), &grant(0.1, 0, Some(60_000)));
        assert_eq!((end.admitted.len(), end.refused.len()), (0, 0));
        for (turn, ticket) in tickets.iter().enumerate() {
            let due = shares.next_settling().unwrap();
            assert_eq!(due.since(start()).as_millis(), 100 * (turn as u128 + 1));
            let outcomes = shares.settle_due(due);
            assert_eq!(outcomes[0].1.admitted, [*ticket]);
        }
        assert_eq!(shares.next_settling(), None);
    }

    /// The ledger says when it will lend, and that is too late for the last operations. They must
    /// be refused with the answer, not at their latest time, and so must those that arrive next.
    operation_is_refused_as_soon_as_its_token_is_known_to_be_late {
        let mut shares = create_shares();
        let tickets: Vec<WaitTicket> = (0..4)
            .map(|_| wait(&mut shares, start(), after(200)))
            .collect();
        ask(&mut shares, start());
        let end = shares.take_grant(after(2), start(), &grant(0.0, 1, Some(240)));
        assert_eq!(end.admitted, tickets[..1]);
        // The rest come 80 ms apart.
        assert_eq!(end.refused, tickets[3..]);
        assert_eq!(take(&mut shares, after(3), after(203)), TakeDecision::Refused);
        wait(&mut shares, after(3), after(400));
    }

    /// An operation that may wait for long stands behind one that may not. When the first one's
    /// time is up, the other must keep waiting and get the next token.
    expired_operation_leaves_those_behind_it {
        let mut shares = create_shares();
        let hurried = wait(&mut shares, start(), after(20));
        let patient = wait(&mut shares, start(), after(700));
        ask(&mut shares, start());
        shares.take_grant(start(), start(), &grant(0.0, 0, None));
        assert_eq!(shares.next_settling(), Some(after(20)));
        let outcomes = shares.settle_due(after(20));
        assert_eq!(outcomes[0].1.refused, [hurried]);
        assert_eq!(ask(&mut shares, after(20)), 1);
        let end = shares.take_grant(after(22), after(20), &grant(0.0, 1, None));
        assert_eq!(end.admitted, [patient]);
    }

    /// An account asks for more than its limit, with one kind that may wait 700 ms and one that may
    /// wait 95 ms. In order of arrival the first kind filled the queue and the second one, which
    /// has the shorter target, was refused; it must get its tokens first.
    kinds_that_may_wait_long_leave_tokens_to_the_others {
        let mut shares = create_shares();
        let mut hurried = Vec::new();
        let mut admitted = Vec::new();
        for millis in 0..2_000 {
            let now = after(millis);
            // 200 patient and 50 hurried operations a second, at a limit of 100.
            if millis % 5 == 0 {
                take(&mut shares, now, after(millis + 700));
            }
            if millis % 20 == 0 {
                hurried.push(wait(&mut shares, now, after(millis + 95)));
            }
            ask(&mut shares, now);
            let lent = u32::from(millis % 10 == 9);
            let end = shares.take_grant(now, now, &grant(0.0, lent, None));
            admitted.extend(end.admitted);
            for (_, outcome) in shares.settle_due(now) {
                admitted.extend(outcome.admitted);
            }
        }
        let served = hurried.iter().filter(|ticket| admitted.contains(ticket));
        let served = served.count();
        assert!(served >= hurried.len() - 2, "{served} of {} served, {} in all", hurried.len(), admitted.len());
        assert!(admitted.len() >= 195, "{} tokens used", admitted.len());
    }

    /// The ledger doesn't answer. Operations must neither wait beyond their latest time nor be
    /// refused while some may begin without the ledger: a half of the tolerance, here 10 operations
    /// of 5 VMs.
    silent_ledger_holds_nobody_beyond_its_time {
        let mut shares = create_shares();
        let tickets: Vec<WaitTicket> = (0..3)
            .map(|_| wait(&mut shares, start(), after(95)))
            .collect();
        ask(&mut shares, start());
        let outcomes = shares.settle_due(after(95));
        assert_eq!(outcomes[0].1.admitted, tickets[..2]);
        assert_eq!(outcomes[0].1.refused, tickets[2..]);
        let end = shares.note_unanswered(after(200), &account());
        assert_eq!((end.admitted.len(), end.refused.len()), (0, 0));
    }

    /// Thousands of operations arrive while the ledger is silent. The queue must not grow with
    /// them.
    queue_is_bounded {
        let mut shares = create_shares();
        for _ in 0..MAX_WAITING_OPERATIONS {
            wait(&mut shares, start(), after(700));
        }
        assert_eq!(take(&mut shares, start(), after(700)), TakeDecision::Refused);
        assert_eq!(shares.describe(start(), &account()).waiting, MAX_WAITING_OPERATIONS);
    }

    /// An operation that began was refused at its endpoint and is given back. It must go to the one
    /// that waits, not lapse.
    operation_given_back_goes_to_the_next {
        let mut shares = create_shares();
        wait(&mut shares, start(), after(200));
        ask(&mut shares, start());
        assert_eq!(shares.take_grant(start(), start(), &grant(0.0, 1, None)).admitted.len(), 1);
        let next = wait(&mut shares, after(5), after(200));
        shares.give_back(after(6), &account());
        assert_eq!(shares.next_settling(), Some(after(6)));
        assert_eq!(shares.settle_due(after(6))[0].1.admitted, [next]);
    }

    /// A group refuses the operations that began, one after the other for half a minute. They are
    /// given back, and must not be kept until another group takes all of them at once.
    returned_operations_are_kept_for_a_moment_only {
        let mut shares = create_shares();
        wait(&mut shares, start(), after(200));
        ask(&mut shares, start());
        shares.take_grant(start(), start(), &grant(0.5, 1, None));
        for turn in 1..=1_500 {
            let now = after(turn * 20);
            shares.due_share_requests(now, |_| true);
            shares.take_grant(now, now, &grant(0.5, 0, None));
            assert_eq!(take(&mut shares, now, now), TakeDecision::Admitted, "{turn}");
            shares.give_back(now, &account());
        }
        let now = after(1_500 * 20);
        let begun = (0..200).filter(|_| take(&mut shares, now, now) == TakeDecision::Admitted);
        // 150 ms of the limit, and what the share brings in that time.
        assert!(begun.count() <= 24);
    }

    /// A flood far beyond the limit, for which the ledger can't lend in time. It must not be asked
    /// once for each operation.
    ledger_is_asked_seldom_while_it_has_nothing {
        let mut shares = create_shares();
        let mut asked = 0;
        for millis in 0..1_000 {
            let now = after(millis);
            take(&mut shares, now, after(millis + 95));
            shares.settle_due(now);
            if ask(&mut shares, now) > 0 {
                asked += 1;
                shares.take_grant(now, now, &grant(0.0, 0, Some(60_000)));
            }
        }
        assert!((10..=11).contains(&asked), "asked {asked} times in a second");
    }
}
