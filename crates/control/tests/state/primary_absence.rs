//! Failure tests of the time in which a group has no primary.

use ragwort_control::ClockTime;
use ragwort_control::EndpointKnowledge;
use ragwort_control::HEADLESS_TIME;
use ragwort_control::HeadlessWatch;

fn after(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Begins at zero with two replicas that announce themselves once.
fn hear_replicas() -> HeadlessWatch {
    let mut watch = HeadlessWatch::default();
    watch.begin(after(0));
    watch.hear(&"cases-2".into());
    watch.hear(&"cases-3".into());
    watch
}

case! {
    /// A leaseholder that hears late replaced a living primary that had yet to announce itself.
    primary_that_announces_itself_late_is_not_missing {
        let watch = hear_replicas();
        assert!(!watch.is_primary_missing(after(10_000), EndpointKnowledge::Heard));
    }
}

case! {
    /// A group whose primary never comes would stay without one.
    primary_that_nobody_heard_is_missing_in_the_end {
        let mut watch = hear_replicas();
        watch.hear(&"cases-2".into());
        assert!(!watch.is_primary_missing(after(10_000), EndpointKnowledge::Heard));
        watch.hear(&"cases-3".into());
        assert!(!watch.is_primary_missing(after(1_000), EndpointKnowledge::Heard));
        assert!(watch.is_primary_missing(after(1_500), EndpointKnowledge::Heard));
    }
}

case! {
    /// An endpoint that announced itself once and is gone would keep the group without a primary.
    endpoint_that_is_gone_is_not_waited_for {
        let mut watch = hear_replicas();
        watch.hear(&"cases-2".into());
        watch.forget(&"cases-3".into());
        assert!(watch.is_primary_missing(after(2_500), EndpointKnowledge::Heard));
    }
}

case! {
    /// Endpoints that a former leaseholder noted were asked already: callers needn't wait for more.
    noted_endpoints_need_no_announcement {
        let mut watch = HeadlessWatch::default();
        watch.begin(after(0));
        let due = ClockTime::default() + HEADLESS_TIME;
        assert!(watch.is_primary_missing(due, EndpointKnowledge::Known));
        watch.end();
        assert!(!watch.is_primary_missing(due, EndpointKnowledge::Known));
    }
}
