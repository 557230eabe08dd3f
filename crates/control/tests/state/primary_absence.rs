//! Failure tests of groups without a primary.

use ragwort_control::ClockTime;
use ragwort_control::EndpointKnowledge;
use ragwort_control::HEADLESS_TIME;
use ragwort_control::HeadlessWatch;

fn after(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Starts at zero with two replicas, each of which announces itself once.
fn announce_replicas() -> HeadlessWatch {
    let mut watch = HeadlessWatch::default();
    watch.begin(after(0));
    watch.hear(&"cases-2".into());
    watch.hear(&"cases-3".into());
    watch
}

case! {
    /// A leaseholder that received the primary's first announcement late would replace a running
    /// primary.
    late_announcement_of_the_primary_is_awaited {
        let watch = announce_replicas();
        assert!(!watch.is_primary_missing(after(10_000), EndpointKnowledge::Heard));
    }
}

case! {
    /// A group whose primary never announces itself must get another one.
    unannounced_primary_is_missing_after_second_announcements {
        let mut watch = announce_replicas();
        watch.hear(&"cases-2".into());
        assert!(!watch.is_primary_missing(after(10_000), EndpointKnowledge::Heard));
        watch.hear(&"cases-3".into());
        assert!(!watch.is_primary_missing(after(1_000), EndpointKnowledge::Heard));
        assert!(watch.is_primary_missing(after(1_500), EndpointKnowledge::Heard));
    }
}

case! {
    /// An endpoint that announced itself once and then disappeared must not keep the group without
    /// a primary.
    endpoint_that_is_gone_is_not_waited_for {
        let mut watch = announce_replicas();
        watch.hear(&"cases-2".into());
        watch.forget(&"cases-3".into());
        assert!(watch.is_primary_missing(after(2_500), EndpointKnowledge::Heard));
    }
}

case! {
    /// Endpoints that a former leaseholder recorded have already been asked, so callers needn't
    /// wait for their announcements.
    noted_endpoints_need_no_announcement {
        let mut watch = HeadlessWatch::default();
        watch.begin(after(0));
        let due = ClockTime::default() + HEADLESS_TIME;
        assert!(watch.is_primary_missing(due, EndpointKnowledge::Known));
        watch.end();
        assert!(!watch.is_primary_missing(due, EndpointKnowledge::Known));
    }
}
