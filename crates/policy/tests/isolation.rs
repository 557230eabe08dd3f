//! A gateway that is cut off: how often others are tried, and when callers are sent away.

use ragwort_policy::ClockTime;
use ragwort_policy::DetourPauses;
use ragwort_policy::IsolationWatch;
use ragwort_types::GroupName;
use std::time::Duration;

const NOTICE: Duration = Duration::from_secs(2);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

/// Control is lost to all gateways for three seconds, and each has two statements a millisecond. Were each of
/// them to go round the others, thousands of messages a second would keep all of them from coming back.
#[test]
fn vain_tries_are_few() {
    let mut watch = IsolationWatch::default();
    let mut tries = 0;
    for statement in 0..6_000 {
        let now = at(statement / 2);
        if watch.may_try(now) {
            tries += 1;
            watch.note_vain(now);
        }
    }
    assert_eq!(tries, 15);
    assert!(watch.is_isolated_for(at(3_000), NOTICE));
}

/// Only this gateway is cut off from control, and another one takes its statements. Sessions stay and new
/// ones are taken.
#[test]
fn gateway_that_reaches_another_keeps_its_callers() {
    let mut watch = IsolationWatch::default();
    watch.note_vain(at(0));
    assert!(watch.is_isolated(at(10)));
    assert!(watch.may_try(at(200)));
    watch.note_reached();
    assert!(watch.may_try(at(201)));
    assert!(!watch.is_isolated(at(201)));
    assert!(!watch.is_isolated_for(at(9_000), NOTICE));
}

/// A gateway reached nobody a while ago and had no callers since. It doesn't know how things stand, so the
/// next session is let in to find out, and none is sent away for what was seen before.
#[test]
fn old_tries_tell_nothing() {
    let mut watch = IsolationWatch::default();
    watch.note_vain(at(0));
    assert!(!watch.is_isolated(at(500)));
    watch.note_vain(at(5_000));
    assert!(watch.is_isolated(at(5_001)));
    assert!(!watch.is_isolated_for(at(5_001), NOTICE));
}

/// Half of the gateways are cut off from control, and one group of three has lost its leaseholder.
/// Statements for that group find no way. Those for the others must not wait with them: they were
/// refused, up to 130 a second, though a neighbour would have brought them.
#[test]
fn group_without_a_leaseholder_holds_up_its_own_statements_only() {
    let mut pauses = DetourPauses::default();
    let mut isolation = IsolationWatch::default();
    let (lost, led) = (GroupName::from("lost"), GroupName::from("led"));
    let now = ClockTime::from_millis(1_000);
    pauses.note_vain(now, &lost);
    isolation.note_reached();
    assert!(!pauses.may_try(now, &lost));
    assert!(pauses.may_try(now, &led));
    assert!(isolation.may_try(now));
    assert!(pauses.may_try(ClockTime::from_millis(1_200), &lost));
}
