//! Isolated gateways: how often others are tried, and when callers are refused.

use ragwort_policy::ClockTime;
use ragwort_policy::IsolationWatch;
use ragwort_policy::RelayPauses;
use ragwort_types::GroupName;
use std::time::Duration;

const NOTICE: Duration = Duration::from_secs(2);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

/// Control is lost to all gateways for three seconds, and each has two statements a millisecond. If
/// each statement tried the other gateways, thousands of messages a second would hinder their
/// recovery.
#[test]
fn failed_attempts_are_few() {
    let mut watch = IsolationWatch::default();
    let mut attempts = 0;
    for statement in 0..6_000 {
        let now = at(statement / 2);
        if watch.may_try(now) {
            attempts += 1;
            watch.note_failed_attempt(now);
        }
    }
    assert_eq!(attempts, 15);
    assert!(watch.is_isolated_for(at(3_000), NOTICE));
}

/// Only this gateway is cut off from control, and another one takes its statements. Sessions must
/// stay and new ones be accepted.
#[test]
fn gateway_that_reaches_another_keeps_its_callers() {
    let mut watch = IsolationWatch::default();
    watch.note_failed_attempt(at(0));
    assert!(watch.is_isolated(at(10)));
    assert!(watch.may_try(at(200)));
    watch.note_reached();
    assert!(watch.may_try(at(201)));
    assert!(!watch.is_isolated(at(201)));
    assert!(!watch.is_isolated_for(at(9_000), NOTICE));
}

/// A gateway reached no other one a while ago and has had no callers since. That says nothing about
/// the present: the next session must be accepted as a new attempt, and none be closed for the old
/// one.
#[test]
fn old_attempts_are_no_evidence() {
    let mut watch = IsolationWatch::default();
    watch.note_failed_attempt(at(0));
    assert!(!watch.is_isolated(at(500)));
    watch.note_failed_attempt(at(5_000));
    assert!(watch.is_isolated(at(5_001)));
    assert!(!watch.is_isolated_for(at(5_001), NOTICE));
}

/// Half of the gateways are cut off from control, and one group of three has lost its leaseholder.
/// Statements for that group find no route. Those for the others must not wait with them: up to 130
/// a second were refused, though another gateway would have forwarded them.
#[test]
fn group_without_a_leaseholder_holds_up_its_own_statements_only() {
    let mut backoff = RelayPauses::default();
    let mut isolation = IsolationWatch::default();
    let (lost, led) = (GroupName::from("lost"), GroupName::from("led"));
    let now = ClockTime::from_millis(1_000);
    backoff.note_failed_attempt(now, &lost);
    isolation.note_reached();
    assert!(!backoff.may_try(now, &lost));
    assert!(backoff.may_try(now, &led));
    assert!(isolation.may_try(now));
    assert!(backoff.may_try(ClockTime::from_millis(1_200), &lost));
}
