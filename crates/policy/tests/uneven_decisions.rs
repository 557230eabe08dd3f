//! Single decisions about endpoints that reject or fail statements or come back after an outage.

mod fixture;

use fixture::OTHER_REPLICA;
use fixture::PRIMARY;
use fixture::REPLICA;
use fixture::create_group;
use fixture::endpoint;
use fixture::read;
use fixture::write;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::HealthLevel;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use std::time::Duration;

const START: ClockTime = ClockTime(1_000_000);

fn ready_group() -> GroupScheduler {
    let mut scheduler = create_group(1_000, "north", ExcessRule::Forbidden);
    for name in [PRIMARY, REPLICA, OTHER_REPLICA] {
        for _ in 0..5 {
            scheduler.connection_opened(&InstanceName::from(name));
        }
    }
    report_replicas(&mut scheduler, START, 1);
    scheduler
}

fn dispatches(decisions: &[SchedulerDecision]) -> Vec<(u64, &str)> {
    let orders = decisions.iter().filter_map(|decision| match decision {
        SchedulerDecision::Dispatch(order) => Some((order.ticket.0, order.instance.as_str())),
        SchedulerDecision::Refuse(_) | SchedulerDecision::OpenConnection(_) => None,
    });
    orders.collect()
}

fn level_of(scheduler: &GroupScheduler, now: ClockTime, name: &str) -> HealthLevel {
    let endpoints = scheduler.snapshot(now).endpoints;
    let found = endpoints
        .iter()
        .find(|endpoint| endpoint.instance.as_str() == name);
    found.unwrap().health
}

/// Sends one read after the other, of which an endpoint ends one in `each` with `outcome`, and
/// returns the time and ticket after the last one.
fn play_reads(
    scheduler: &mut GroupScheduler,
    count: u64,
    faulty: &str,
    each: u64,
    outcome: FinishOutcome,
) -> (ClockTime, u64) {
    let mut now = START;
    let mut sent = 0;
    for ticket in 0..count {
        now = now + Duration::from_millis(10);
        report_replicas(scheduler, now, 1);
        scheduler.arrive(now, read(ticket, now, 0));
        let mut orders = scheduler.poll(now);
        while let [(ticket, instance)] = dispatches(&orders)[..] {
            let bad = instance == faulty && {
                sent += 1;
                sent % each == 0
            };
            let end = match bad {
                true => outcome,
                false => FinishOutcome::Answered,
            };
            now = now + Duration::from_millis(if bad { 1 } else { 6 });
            scheduler.finished(now, RequestTicket(ticket), end);
            orders = scheduler.poll(now);
        }
    }
    (now, count)
}

/// A replica rejects a read that another one may serve. Sent back to the first one, it would use up
/// its dispatches there.
#[test]
fn rejected_read_goes_to_another_endpoint() {
    let mut scheduler = ready_group();
    scheduler.arrive(START, read(1, START, 0));
    assert_eq!(dispatches(&scheduler.poll(START)), [(1, REPLICA)]);
    let finish = scheduler.finished(START, RequestTicket(1), FinishOutcome::Rejected);
    assert_eq!(finish, FinishDecision::Requeued);
    assert_eq!(dispatches(&scheduler.poll(START)), [(1, OTHER_REPLICA)]);
    scheduler.finished(START, RequestTicket(1), FinishOutcome::Rejected);
    assert_eq!(dispatches(&scheduler.poll(START)), [(1, PRIMARY)]);
    assert_eq!(scheduler.snapshot(START).counts.retried_elsewhere, 2);
}

/// Only the primary may serve a write. Sent back at once, the write would use up its dispatches
/// within a millisecond; held for long, it would miss its deadline.
#[test]
fn rejected_write_waits_a_short_time() {
    let mut scheduler = ready_group();
    scheduler.arrive(START, write(1, START));
    assert_eq!(dispatches(&scheduler.poll(START)), [(1, PRIMARY)]);
    scheduler.finished(START, RequestTicket(1), FinishOutcome::Rejected);
    assert_eq!(dispatches(&scheduler.poll(START)), []);
    let wake = scheduler.next_wakeup(START).unwrap();
    assert!(wake > START && wake <= START + Duration::from_millis(10));
    assert_eq!(dispatches(&scheduler.poll(wake)), [(1, PRIMARY)]);
}

/// A caller disconnects while its rejected write pauses. The write must not run after that.
#[test]
fn abandoned_request_does_not_return_from_its_pause() {
    let mut scheduler = ready_group();
    scheduler.arrive(START, write(1, START));
    scheduler.poll(START);
    scheduler.finished(START, RequestTicket(1), FinishOutcome::Rejected);
    scheduler.abandon(RequestTicket(1));
    let later = START + Duration::from_millis(50);
    assert_eq!(dispatches(&scheduler.poll(later)), []);
    assert_eq!(scheduler.snapshot(later).paused, 0);
}

/// An endpoint rejects everything. Its answers earn no retries, so its load must stay within a
/// tenth more than the requests.
#[test]
fn useless_endpoint_earns_no_retries() {
    let mut scheduler = ready_group();
    let mut now = START;
    let mut sent = 0;
    for ticket in 0..300 {
        scheduler.arrive(now, write(ticket, now));
        for _ in 0..4 {
            for (dispatched, _) in dispatches(&scheduler.poll(now)) {
                sent += 1;
                scheduler.finished(now, RequestTicket(dispatched), FinishOutcome::Rejected);
            }
            now = now + Duration::from_millis(10);
        }
    }
    assert!((330..=341).contains(&sent), "{sent} dispatches");
}

/// A replica rejects a third and its peer has room: it must be cut off, get single trials, and be
/// back at full some seconds after it has recovered.
#[test]
fn rejecting_replica_is_cut_off_and_comes_back() {
    let mut scheduler = ready_group();
    let (now, next) = play_reads(&mut scheduler, 100, REPLICA, 3, FinishOutcome::Rejected);
    assert_eq!(level_of(&scheduler, now, REPLICA), HealthLevel::Cut);
    assert_eq!(level_of(&scheduler, now, OTHER_REPLICA), HealthLevel::Full);
    let changes = scheduler.take_level_changes(now);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].rejected_share > 0.2);
    assert!(scheduler.take_level_changes(now).is_empty());
    let mut now = now;
    let mut trials = Vec::new();
    for ticket in next..next + 1_000 {
        now = now + Duration::from_millis(10);
        report_replicas(&mut scheduler, now, 1);
        scheduler.arrive(now, read(ticket, now, 0));
        for (dispatched, instance) in dispatches(&scheduler.poll(now)) {
            if instance == REPLICA {
                trials.push(now);
            }
            scheduler.finished(now, RequestTicket(dispatched), FinishOutcome::Answered);
        }
    }
    let cut: Vec<_> = trials.iter().take(5).collect();
    assert!(
        cut.windows(2)
            .all(|pair| pair[1].since(*pair[0]) >= Duration::from_millis(200))
    );
    assert_eq!(level_of(&scheduler, now, REPLICA), HealthLevel::Full);
}

/// All endpoints that serve a read fail the same part. None is worse than the others, so none may
/// be cut off.
#[test]
fn failures_that_all_share_cut_off_none() {
    let mut scheduler = ready_group();
    let mut now = START;
    for ticket in 0..300 {
        now = now + Duration::from_millis(10);
        report_replicas(&mut scheduler, now, 1);
        scheduler.arrive(now, read(ticket, now, 0));
        for _ in 0..4 {
            for (dispatched, _) in dispatches(&scheduler.poll(now)) {
                let outcome = match ticket % 3 {
                    0 => FinishOutcome::Failed,
                    _ => FinishOutcome::Answered,
                };
                scheduler.finished(now, RequestTicket(dispatched), outcome);
            }
        }
        for name in [PRIMARY, REPLICA, OTHER_REPLICA] {
            assert_ne!(level_of(&scheduler, now, name), HealthLevel::Cut);
        }
    }
}

fn wide_replica() -> EndpointState {
    EndpointState {
        slots: 4,
        ..endpoint(REPLICA, EndpointRole::Replica)
    }
}

fn count_at(scheduler: &mut GroupScheduler, now: ClockTime, first: u64) -> usize {
    let position = LogPosition::new(GroupTerm(1), 1);
    let replica = InstanceName::from(REPLICA);
    scheduler.report_position(now, &replica, position, Duration::ZERO);
    for ticket in first..first + 4 {
        scheduler.arrive(now, read(ticket, now, 0));
    }
    let decisions = scheduler.poll(now);
    let orders = dispatches(&decisions);
    let count = orders.iter().filter(|order| order.1 == REPLICA).count();
    for (ticket, _) in orders {
        scheduler.finished(now, RequestTicket(ticket), FinishOutcome::Answered);
    }
    for ticket in first..first + 4 {
        scheduler.abandon(RequestTicket(ticket));
    }
    count
}

/// A replica with four slots goes down and comes back. With its full load at once, it would lose
/// four statements each time it flaps.
#[test]
fn endpoint_that_is_back_gets_a_growing_load() {
    let mut scheduler = ready_group();
    scheduler.remove_endpoint(START, &InstanceName::from(OTHER_REPLICA));
    scheduler.set_endpoint(START, wide_replica());
    assert_eq!(count_at(&mut scheduler, START, 0), 4);
    let down = START + Duration::from_secs(1);
    let replica = InstanceName::from(REPLICA);
    scheduler.endpoint_unreachable(down, &replica);
    let after = |millis| down + Duration::from_millis(millis);
    assert_eq!(count_at(&mut scheduler, after(10), 10), 1);
    assert_eq!(count_at(&mut scheduler, after(260), 20), 2);
    assert_eq!(count_at(&mut scheduler, after(510), 30), 4);
    assert_eq!(level_of(&scheduler, after(510), REPLICA), HealthLevel::Full);
    // The next outage within seconds doubles the time.
    scheduler.endpoint_unreachable(after(1_000), &replica);
    assert_eq!(count_at(&mut scheduler, after(1_510), 40), 2);
    assert_eq!(count_at(&mut scheduler, after(2_010), 50), 4);
}

/// An endpoint is removed and comes back under its name. Its record is new, but it must not get its
/// full load at once; one that was never seen before must.
#[test]
fn removed_endpoint_comes_back_with_a_growing_load() {
    let mut scheduler = ready_group();
    scheduler.remove_endpoint(START, &InstanceName::from(OTHER_REPLICA));
    let replica = InstanceName::from(REPLICA);
    scheduler.remove_endpoint(START, &replica);
    let later = START + Duration::from_secs(1);
    scheduler.set_endpoint(later, wide_replica());
    for _ in 0..5 {
        scheduler.connection_opened(&replica);
    }
    assert_eq!(count_at(&mut scheduler, later, 0), 1);
}

/// A device on the path drops one idle connection. That says nothing about the endpoint, which must
/// keep its load; two broken connections at once do.
#[test]
fn single_broken_connection_is_no_outage() {
    let mut scheduler = ready_group();
    let replica = InstanceName::from(REPLICA);
    scheduler.connection_broke(START, &replica);
    scheduler.poll(START);
    assert_eq!(level_of(&scheduler, START, REPLICA), HealthLevel::Full);
    let later = START + Duration::from_secs(1);
    scheduler.connection_broke(later, &replica);
    assert_eq!(level_of(&scheduler, later, REPLICA), HealthLevel::Full);
    scheduler.connection_broke(later, &replica);
    assert_eq!(level_of(&scheduler, later, REPLICA), HealthLevel::Half);
}

fn report_replicas(scheduler: &mut GroupScheduler, now: ClockTime, position: u64) {
    let position = LogPosition::new(GroupTerm(1), position);
    for name in [REPLICA, OTHER_REPLICA] {
        let instance = InstanceName::from(name);
        scheduler.report_position(now, &instance, position, Duration::from_millis(40));
    }
}

/// Fills the primary's slots and lets a session read its write, which replicas get 40 ms later.
fn group_with_waiting_read() -> GroupScheduler {
    let mut scheduler = ready_group();
    report_replicas(&mut scheduler, START, 10);
    scheduler.arrive(START, write(1, START));
    scheduler.arrive(START, write(2, START));
    assert_eq!(dispatches(&scheduler.poll(START)).len(), 2);
    scheduler.arrive(START, targeted_read(3, 11));
    assert_eq!(dispatches(&scheduler.poll(START)), []);
    scheduler
}

fn targeted_read(ticket: u64, position: u64) -> RequestProfile {
    RequestProfile {
        target: Some(START + Duration::from_millis(200)),
        ..read(ticket, START, position)
    }
}

/// A read of a session's own write comes while the primary is full. Waiting for a slot there, it
/// would take one from a write, although a replica may serve it 40 ms later.
#[test]
fn read_waits_for_a_replica_while_the_primary_is_full() {
    let mut scheduler = group_with_waiting_read();
    scheduler.arrive(START, write(4, START));
    let end = START + Duration::from_millis(8);
    scheduler.finished(end, RequestTicket(1), FinishOutcome::Answered);
    assert_eq!(dispatches(&scheduler.poll(end)), [(4, PRIMARY)]);
    let later = START + Duration::from_millis(38);
    report_replicas(&mut scheduler, later, 11);
    assert_eq!(dispatches(&scheduler.poll(later)), [(3, REPLICA)]);
}

/// With a free slot at the primary the same read must go there at once, also if the slot becomes
/// free while it waits.
#[test]
fn read_uses_a_free_slot_of_the_primary() {
    let mut scheduler = group_with_waiting_read();
    let end = START + Duration::from_millis(8);
    scheduler.finished(end, RequestTicket(1), FinishOutcome::Answered);
    assert_eq!(dispatches(&scheduler.poll(end)), [(3, PRIMARY)]);
    let mut idle = ready_group();
    report_replicas(&mut idle, START, 10);
    idle.arrive(START, targeted_read(1, 11));
    assert_eq!(dispatches(&idle.poll(START)), [(1, PRIMARY)]);
}

/// The replica hasn't caught up when it was expected to. The read must not go on waiting for it
/// until its target has passed.
#[test]
fn read_gives_up_a_replica_that_is_late() {
    let mut scheduler = group_with_waiting_read();
    for ticket in 10..30 {
        scheduler.arrive(START, write(ticket, START));
    }
    let mut now = START;
    let mut running = vec![1, 2];
    let mut served = None;
    while served.is_none() {
        now = now + Duration::from_millis(4);
        assert!(now < START + Duration::from_millis(180), "still waiting");
        report_replicas(&mut scheduler, now, 10);
        let ended = running.remove(0);
        scheduler.finished(now, RequestTicket(ended), FinishOutcome::Answered);
        for (ticket, instance) in dispatches(&scheduler.poll(now)) {
            assert_eq!(instance, PRIMARY);
            running.push(ticket);
            served = served.or((ticket == 3).then_some(now));
        }
    }
}

/// Many reads wait for replicas to catch up, and reads behind them can start. A plan that looked
/// only at the first ones would leave the replicas idle.
#[test]
fn waiting_reads_hide_no_others() {
    let mut scheduler = group_with_waiting_read();
    for ticket in 10..60 {
        scheduler.arrive(START, targeted_read(ticket, 11));
    }
    for ticket in 60..64 {
        scheduler.arrive(START, targeted_read(ticket, 10));
    }
    let decisions = scheduler.poll(START);
    let orders = dispatches(&decisions);
    let ready = orders
        .iter()
        .filter(|order| order.0 >= 60 && order.1 != PRIMARY);
    assert_eq!(ready.count(), 4);
}

/// A replica rejects a read while all slots of the primary are held by long writes. The read must
/// come back to the replica, whose slots are idle, and not be refused for want of the primary's.
#[test]
fn rejected_read_comes_back_where_slots_are_idle() {
    let mut scheduler = ready_group();
    scheduler.remove_endpoint(START, &InstanceName::from(OTHER_REPLICA));
    for ticket in [1, 2] {
        scheduler.arrive(START, write(ticket, START));
    }
    assert_eq!(dispatches(&scheduler.poll(START)).len(), 2);
    scheduler.arrive(START, read(3, START, 0));
    assert_eq!(dispatches(&scheduler.poll(START)), [(3, REPLICA)]);
    scheduler.finished(START, RequestTicket(3), FinishOutcome::Rejected);
    let mut sent = Vec::new();
    for millis in 0..100 {
        let now = START + Duration::from_millis(millis);
        report_replicas(&mut scheduler, now, 1);
        let decisions = scheduler.poll(now);
        sent.extend(
            dispatches(&decisions)
                .iter()
                .map(|(ticket, instance)| (*ticket, instance.to_string())),
        );
    }
    assert_eq!(sent, [(3, REPLICA.to_string())]);
}

/// Callers disconnect while the first statements of their transactions run, and the endpoint
/// rejects these. The connections that the transactions would have held must be free again, or the
/// customer's next transactions are refused.
#[test]
fn abandoned_openers_that_are_rejected_hold_no_connections() {
    let mut scheduler = ready_group();
    for ticket in 0..12 {
        let now = START + Duration::from_millis(ticket * 20);
        let mut opener = write(ticket, now);
        opener.step = RequestStep::Opens;
        let arrival = scheduler.arrive(now, opener);
        assert_eq!(arrival, ArrivalDecision::Queued, "transaction {ticket}");
        assert_eq!(dispatches(&scheduler.poll(now)).len(), 1);
        scheduler.abandon(RequestTicket(ticket));
        scheduler.finished(now, RequestTicket(ticket), FinishOutcome::Rejected);
    }
}
