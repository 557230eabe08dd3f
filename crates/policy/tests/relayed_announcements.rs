//! Number and timing of endpoint announcements that are relayed to standbys.

use ragwort_policy::ClockTime;
use ragwort_policy::RelayedAnnouncements;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::time::Duration;

/// How long a standby keeps an endpoint that isn't announced.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// The interval between two announcements of an endpoint, in milliseconds.
const INTERVAL_MS: u64 = 1_200;

macro_rules! load_cases {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $case;
        }
    )*};
}

load_cases! {
    /// Standbys were called for each of a thousand unchanged announcements a second.
    unchanged_announcements_are_relayed_rarely => repeated_case();
    /// A standby dropped endpoints that were alive, because announcements were relayed too late.
    endpoint_is_relayed_before_a_standby_drops_it => interval_case();
    /// A standby that took over didn't know that an endpoint was leaving, or was the primary.
    changes_are_relayed_at_once => change_case();
    /// A VM that became a standby waited for endpoints that the other standbys knew.
    announcements_reach_a_new_standby_at_once => standby_case();
    /// An endpoint that announced itself to each VM in turn counted as changed each time.
    endpoint_that_is_heard_rarely_is_no_change => rare_case();
    /// A leaseholder learned late that an endpoint had restarted.
    restart_is_a_change => restart_case();
}

fn announce(sequence: u64, role: InstanceRole, leaving: bool) -> EndpointAnnouncement {
    EndpointAnnouncement {
        group: "cases".into(),
        instance: "cases-1".into(),
        domain: "north".into(),
        data_address: "127.0.0.1:1".parse().unwrap(),
        agent_address: "127.0.0.1:1".parse().unwrap(),
        slots: 2,
        connections: 16,
        status: InstanceStatus {
            role,
            fenced_term: GroupTerm(0),
            position: LogPosition::new(GroupTerm(1), sequence),
            leaving,
        },
        started_ms: 0,
        sequence,
    }
}

/// Announces an endpoint `count` times without a change, and returns when it is relayed to `vm-2`.
fn repeat_announcement(relayed: &mut RelayedAnnouncements, count: u64) -> Vec<u64> {
    let moments = (1..=count).map(|number| number * INTERVAL_MS);
    let relayed_at = moments.enumerate().filter(|(index, moment)| {
        let sequence = u64::try_from(*index).unwrap();
        let announcement = announce(sequence, InstanceRole::Replica, false);
        let now = ClockTime::from_millis(*moment);
        relayed.is_due(now, &"vm-2".into(), &announcement)
    });
    relayed_at.map(|(_, moment)| moment).collect()
}

fn repeated_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let relayed_at = repeat_announcement(&mut relayed, 300);
    assert!(relayed_at.len() <= 101, "{}", relayed_at.len());
}

fn interval_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let relayed_at = repeat_announcement(&mut relayed, 300);
    let lost = u64::try_from(LOST_AFTER.as_millis()).unwrap();
    let intervals = relayed_at.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = intervals.max().unwrap();
    assert!(longest < lost, "{longest}");
}

fn change_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let now = ClockTime::from_millis(1_000);
    let standby = "vm-2".into();
    let changes = [
        (InstanceRole::Replica, false),
        (InstanceRole::Primary, false),
        (InstanceRole::Primary, true),
        (InstanceRole::Replica, true),
    ];
    for (role, leaving) in changes {
        let announcement = announce(1, role, leaving);
        assert!(relayed.is_due(now, &standby, &announcement), "{role:?}");
        assert!(!relayed.is_due(now, &standby, &announcement));
    }
}

fn standby_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let now = ClockTime::from_millis(1_000);
    let announcement = announce(1, InstanceRole::Replica, false);
    assert!(relayed.is_due(now, &"vm-2".into(), &announcement));
    assert!(relayed.is_due(now, &"vm-3".into(), &announcement));
}

fn rare_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let interval = 2 * u64::try_from(LOST_AFTER.as_millis()).unwrap();
    for number in 1..=100 {
        let now = ClockTime::from_millis(number * interval);
        let announcement = announce(number, InstanceRole::Replica, false);
        assert_eq!(relayed.record(now, &announcement), number == 1, "{number}");
    }
}

fn restart_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let now = ClockTime::from_millis(1_000);
    let before = announce(1, InstanceRole::Replica, false);
    assert!(relayed.record(now, &before));
    let restarted = EndpointAnnouncement {
        started_ms: 1,
        ..before
    };
    assert!(relayed.record(now, &restarted));
    assert!(!relayed.record(now, &restarted));
}
