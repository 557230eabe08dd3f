//! Failure tests of groups without a primary.

use ragwort_control::ClockTime;
use ragwort_control::EndpointKnowledge;
use ragwort_control::MAX_PRIMARY_ABSENCE;
use ragwort_control::PrimaryAbsence;

fn after(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Starts at zero with two replicas, each of which announces itself once.
fn announce_replicas() -> PrimaryAbsence {
    let mut absence = PrimaryAbsence::default();
    absence.begin(after(0));
    absence.count_announcement(&"cases-2".into());
    absence.count_announcement(&"cases-3".into());
    absence
}

case! {
    /// A leaseholder that received the primary's first announcement late would replace a running
    /// primary.
    late_announcement_of_the_primary_is_awaited {
        let absence = announce_replicas();
        assert!(!absence.is_primary_missing(after(10_000), EndpointKnowledge::Announced));
    }
}

/// Repeats the announcements of some endpoints.
fn repeat_announcements(absence: &mut PrimaryAbsence, instances: &[&str], times: u32) {
    for _ in 0..times {
        for instance in instances {
            absence.count_announcement(&(*instance).into());
        }
    }
}

case! {
    /// A group whose primary never announces itself must get another one, but not while a running
    /// primary may still be about to announce itself.
    unannounced_primary_is_missing_after_repeated_announcements {
        let mut absence = announce_replicas();
        repeat_announcements(&mut absence, &["cases-2", "cases-3"], 3);
        assert!(!absence.is_primary_missing(after(10_000), EndpointKnowledge::Announced));
        repeat_announcements(&mut absence, &["cases-2"], 1);
        assert!(!absence.is_primary_missing(after(10_000), EndpointKnowledge::Announced));
        repeat_announcements(&mut absence, &["cases-3"], 1);
        assert!(!absence.is_primary_missing(after(1_000), EndpointKnowledge::Announced));
        assert!(absence.is_primary_missing(after(1_500), EndpointKnowledge::Announced));
    }
}

case! {
    /// The endpoints of a new group announce themselves seconds apart. A leaseholder that counted
    /// the early one's announcements alone would replace the running primary, which comes last.
    new_endpoint_renews_the_wait_for_the_primary {
        let mut absence = PrimaryAbsence::default();
        absence.begin(after(0));
        repeat_announcements(&mut absence, &["cases-2"], 4);
        repeat_announcements(&mut absence, &["cases-3"], 1);
        repeat_announcements(&mut absence, &["cases-2", "cases-3"], 3);
        assert!(!absence.is_primary_missing(after(10_000), EndpointKnowledge::Announced));
        repeat_announcements(&mut absence, &["cases-2", "cases-3"], 1);
        assert!(absence.is_primary_missing(after(10_000), EndpointKnowledge::Announced));
    }
}

case! {
    /// An endpoint that announced itself and then disappeared must not keep the group without a
    /// primary.
    endpoint_that_is_gone_is_not_waited_for {
        let mut absence = announce_replicas();
        repeat_announcements(&mut absence, &["cases-2"], 4);
        absence.forget(&"cases-3".into());
        assert!(absence.is_primary_missing(after(2_500), EndpointKnowledge::Announced));
    }
}

case! {
    /// Endpoints that a former leaseholder recorded have already been asked, so callers needn't
    /// wait for their announcements.
    noted_endpoints_need_no_announcement {
        let mut absence = PrimaryAbsence::default();
        absence.begin(after(0));
        let due = ClockTime::default() + MAX_PRIMARY_ABSENCE;
        assert!(absence.is_primary_missing(due, EndpointKnowledge::Known));
        absence.end();
        assert!(!absence.is_primary_missing(due, EndpointKnowledge::Known));
    }
}
