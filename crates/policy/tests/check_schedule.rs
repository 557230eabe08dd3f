//! When the periodic checks of a group's leaseholder run, and its scheduler is polled without
//! requests.

#[expect(dead_code, reason = "no requests are sent")]
mod fixture;

use fixture::PRIMARY;
use fixture::create_group;
use ragwort_policy::CheckSchedule;
use ragwort_policy::ClockTime;
use ragwort_policy::ConnectionAllowance;
use ragwort_policy::ExcessRule;
use ragwort_policy::GroupCheck;
use ragwort_policy::GroupScheduler;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::next_lapse;
use ragwort_types::InstanceName;
use std::time::Duration;

const START: ClockTime = ClockTime(1_000_000);

/// The limits of the default settings for silent endpoints and for idle connections.
const LOST: Duration = Duration::from_millis(1_500);
const IDLE: Duration = Duration::from_millis(1_000);

const SECOND: Duration = Duration::from_secs(1);

fn after(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

/// A group without statements ran all its checks 20 times a second.
#[test]
fn idle_group_runs_only_due_checks() {
    let mut schedule = CheckSchedule::default();
    schedule.request(GroupCheck::Silence, START);
    schedule.request(GroupCheck::Connections, START);
    schedule.request(GroupCheck::Metrics, START);
    let mut last_used = START;
    while let Some(now) = schedule.next_due().filter(|due| *due < after(10_000)) {
        for check in schedule.take_due(now) {
            let due = match check {
                GroupCheck::Silence => {
                    let seconds = now.since(START).as_secs();
                    let announced = START + Duration::from_secs(seconds);
                    next_lapse(now, Some(announced), LOST)
                }
                GroupCheck::Connections => {
                    if now.since(last_used) >= IDLE {
                        last_used = now;
                    }
                    next_lapse(now, Some(last_used), IDLE)
                }
                GroupCheck::Metrics => now + SECOND,
                other => panic!("{other:?} wasn't requested"),
            };
            schedule.request(check, due);
        }
    }
    let runs = schedule.runs().map(|(_, runs)| runs);
    assert!(runs.sum::<u64>() <= 35, "{schedule:?}");
}

/// A group is in use. If its checks weren't due at each tick, its failed primary would be replaced
/// later.
#[test]
fn group_in_use_is_checked_at_each_tick() {
    let mut schedule = CheckSchedule::default();
    let tick = Duration::from_millis(10);
    schedule.request_after(GroupCheck::Activity, tick);
    let mut times = Vec::new();
    while let Some(now) = schedule.next_due().filter(|due| *due < after(100)) {
        let now = now.max(START);
        assert_eq!(schedule.take_due(now).as_slice(), [GroupCheck::Activity]);
        times.push(now);
        schedule.request_after(GroupCheck::Activity, tick);
    }
    let expected: Vec<ClockTime> = (0..10).map(|index| after(index * 10)).collect();
    assert_eq!(times, expected);
}

/// An endpoint changes while a check is due in 600 ms. If the check kept its time, or moved to that
/// of the last request, a successor would get outdated endpoints.
#[test]
fn earlier_request_wins() {
    let mut schedule = CheckSchedule::default();
    schedule.request(GroupCheck::Records, after(600));
    schedule.request(GroupCheck::Records, after(10));
    schedule.request(GroupCheck::Records, after(300));
    assert_eq!(schedule.next_due(), Some(after(10)));
    assert!(schedule.take_due(after(9)).is_empty());
    assert_eq!(
        schedule.take_due(after(10)).as_slice(),
        [GroupCheck::Records]
    );
    assert_eq!(schedule.next_due(), None);
}

/// One of three endpoints falls silent, and a fourth is added. The silent one must be found as soon
/// as its time is over, or statements are sent to it for longer.
#[test]
fn silent_endpoint_is_found_when_its_time_is_over() {
    let heard = [after(0), after(700), after(900)];
    let due = next_lapse(after(1_000), heard.into_iter().min(), LOST);
    assert_eq!(due, after(1_500));
    let added_at = after(1_100);
    assert!(added_at + LOST >= due);
    assert_eq!(next_lapse(after(1_000), None, LOST), after(2_500));
}

/// A connection to the primary fails to open while no statement waits. If the scheduler weren't
/// polled again after the pause, the group would stay without a connection.
#[test]
fn failed_connection_is_opened_again_without_events() {
    let mut scheduler = create_group(100, "north", ExcessRule::Forbidden);
    let primary = InstanceName::from(PRIMARY);
    let opened = open_connections(&mut scheduler, START);
    assert!(opened.contains(&primary));
    for instance in opened {
        match instance == primary {
            true => scheduler.connection_failed(START, &instance),
            false => scheduler.connection_opened(&instance),
        }
    }
    open_connections(&mut scheduler, START);
    let due = scheduler.next_connection_attempt(START).unwrap();
    assert!(due > START && due <= after(100));
    assert!(open_connections(&mut scheduler, due).contains(&primary));
}

/// Other groups of the VM hold all connections, and then close some. If the scheduler of a group
/// without statements weren't polled, its endpoints would stay unconnected.
#[test]
fn endpoint_is_connected_when_the_vm_has_room_again() {
    let mut scheduler = create_group(100, "north", ExcessRule::Forbidden);
    scheduler.set_allowance(ConnectionAllowance {
        most: 0,
        ..ConnectionAllowance::default()
    });
    assert!(open_connections(&mut scheduler, START).is_empty());
    let due = scheduler.next_connection_attempt(START).unwrap();
    assert!(due <= after(50));
    scheduler.set_allowance(ConnectionAllowance::default());
    let opened = open_connections(&mut scheduler, due);
    assert!(!opened.is_empty());
    for instance in opened {
        scheduler.connection_opened(&instance);
    }
    assert_eq!(scheduler.next_connection_attempt(due), None);
}

fn open_connections(scheduler: &mut GroupScheduler, now: ClockTime) -> Vec<InstanceName> {
    let decisions = scheduler.poll(now).into_iter();
    let opened = decisions.filter_map(|decision| match decision {
        SchedulerDecision::OpenConnection(instance) => Some(instance),
        _ => None,
    });
    opened.collect()
}
