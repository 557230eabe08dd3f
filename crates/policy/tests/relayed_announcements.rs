//! How many announcements standbys hear.

use ragwort_policy::ClockTime;
use ragwort_policy::RelayedAnnouncements;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::time::Duration;

/// How long a standby remembers an endpoint.
const LOST_AFTER: Duration = Duration::from_secs(5);

/// The pause between two announcements of an endpoint, in milliseconds.
const GAP_MS: u64 = 1_200;

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
    /// Standbys were called for each of a thousand announcements a second that said nothing new.
    same_announcements_are_passed_on_now_and_then => repeated_case();
    /// A standby forgot endpoints that live, as it wasn't told of them in time.
    standby_hears_before_it_forgets => kept_case();
    /// A standby that took over didn't know that an endpoint leaves, or leads.
    news_is_passed_on_at_once => news_case();
    /// A VM that became a standby waited for endpoints that others knew.
    new_standby_hears_at_once => standby_case();
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

/// Announces an endpoint for some time, and returns when standby `vm-2` hears it.
fn run_quietly(relayed: &mut RelayedAnnouncements, count: u64) -> Vec<u64> {
    let moments = (1..=count).map(|number| number * GAP_MS);
    let heard = moments.enumerate().filter(|(index, moment)| {
        let sequence = u64::try_from(*index).unwrap();
        let announcement = announce(sequence, InstanceRole::Replica, false);
        let now = ClockTime::from_millis(*moment);
        relayed.is_due(now, &"vm-2".into(), &announcement)
    });
    heard.map(|(_, moment)| moment).collect()
}

fn repeated_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let heard = run_quietly(&mut relayed, 300);
    assert!(heard.len() <= 101, "{}", heard.len());
}

fn kept_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let heard = run_quietly(&mut relayed, 300);
    let lost = u64::try_from(LOST_AFTER.as_millis()).unwrap();
    let gaps = heard.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().unwrap();
    assert!(longest < lost, "{longest}");
}

fn news_case() {
    let mut relayed = RelayedAnnouncements::new(LOST_AFTER);
    let now = ClockTime::from_millis(1_000);
    let standby = "vm-2".into();
    let news = [
        (InstanceRole::Replica, false),
        (InstanceRole::Primary, false),
        (InstanceRole::Primary, true),
        (InstanceRole::Replica, true),
    ];
    for (role, leaving) in news {
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
