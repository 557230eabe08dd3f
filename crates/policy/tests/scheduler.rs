//! Single decisions of the scheduler.

mod fixture;

use fixture::OTHER_REPLICA;
use fixture::PRIMARY;
use fixture::REPLICA;
use fixture::create_group;
use fixture::endpoint;
use fixture::read;
use fixture::write;
use ragwort_policy::AbandonEffect;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::CustomerName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use std::time::Duration;

const START: ClockTime = ClockTime(1_000_000);

fn open_connections(scheduler: &mut GroupScheduler) {
    for name in [PRIMARY, REPLICA, OTHER_REPLICA] {
        for _ in 0..3 {
            scheduler.connection_opened(&InstanceName::from(name));
        }
    }
}

fn ready_group(queue_limit: u32) -> GroupScheduler {
    let mut scheduler = create_group(queue_limit, "north", ExcessRule::Forbidden);
    open_connections(&mut scheduler);
    scheduler
}

fn dispatches(decisions: &[SchedulerDecision]) -> Vec<(u64, &str)> {
    let orders = decisions.iter().filter_map(|decision| match decision {
        SchedulerDecision::Dispatch(order) => Some((order.ticket.0, order.instance.as_str())),
        SchedulerDecision::Refuse(_) | SchedulerDecision::OpenConnection(_) => None,
    });
    orders.collect()
}

fn refusals(decisions: &[SchedulerDecision]) -> Vec<(u64, RefusalCause, u64)> {
    let orders = decisions.iter().filter_map(|decision| match decision {
        SchedulerDecision::Refuse(order) => {
            let refusal = order.refusal;
            Some((order.ticket.0, refusal.cause, refusal.come_back_after_ms))
        }
        SchedulerDecision::Dispatch(_) | SchedulerDecision::OpenConnection(_) => None,
    });
    orders.collect()
}

fn urgent(ticket: u64) -> RequestProfile {
    RequestProfile {
        urgency: UrgencyClass::Urgent,
        ..write(ticket, START)
    }
}

/// A duty officer's request arrives when the queue is full of ordinary ones. If it waited its turn
/// or were refused, an applicant would face a hearing without counsel.
#[test]
fn urgent_goes_before_a_full_queue() {
    let mut scheduler = ready_group(30);
    for ticket in 0..40 {
        scheduler.arrive(START, write(ticket, START));
    }
    let first = scheduler.poll(START);
    assert_eq!(dispatches(&first).len(), 2);
    assert_eq!(
        scheduler.arrive(START, urgent(100)),
        ArrivalDecision::Queued
    );
    scheduler.poll(START);
    let end = START + Duration::from_millis(8);
    scheduler.finished(
        end,
        RequestTicket(dispatches(&first)[0].0),
        FinishOutcome::Answered,
    );
    assert_eq!(dispatches(&scheduler.poll(end)), [(100, PRIMARY)]);
}

/// Urgent requests never stop arriving. One of every four served requests must be an ordinary one.
#[test]
fn urgent_does_not_starve_the_rest() {
    let mut scheduler = ready_group(100);
    for ticket in 0..20 {
        scheduler.arrive(START, urgent(ticket));
        scheduler.arrive(START, write(100 + ticket, START));
    }
    let mut now = START;
    let mut running = dispatches(&scheduler.poll(now))
        .iter()
        .map(|order| order.0)
        .collect::<Vec<_>>();
    let mut served = running.clone();
    while served.len() < 16 {
        assert!(!running.is_empty(), "no waiting write was dispatched");
        now = now + Duration::from_millis(4);
        scheduler.finished(
            now,
            RequestTicket(running.remove(0)),
            FinishOutcome::Answered,
        );
        let decisions = scheduler.poll(now);
        let orders = dispatches(&decisions);
        running.extend(orders.iter().map(|order| order.0));
        served.extend(orders.iter().map(|order| order.0));
    }
    assert_eq!(served.iter().filter(|ticket| **ticket >= 100).count(), 4);
}

/// A write with 5 ms left takes 8 ms. Its caller must learn at once that it is refused: held back
/// until its time is up, the caller could do nothing else.
#[test]
fn request_that_cannot_end_in_time_is_refused_at_once() {
    let mut scheduler = ready_group(30);
    let profile = RequestProfile {
        deadline: START + Duration::from_millis(5),
        ..write(1, START)
    };
    assert_eq!(scheduler.arrive(START, profile), ArrivalDecision::Queued);
    let decisions = scheduler.poll(START);
    let refused = refusals(&decisions);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, RefusalCause::DeadlineOutOfReach);
    assert!(refused[0].2 > 0);
}

/// Three hundred callers are refused within a moment. If all retried at the same time, they would
/// be refused together again.
#[test]
fn refused_callers_come_back_spread_out() {
    let mut scheduler = ready_group(400);
    let mut times = Vec::new();
    for ticket in 0..400 {
        scheduler.arrive(START, write(ticket, START));
    }
    for (_, _, come_back_after_ms) in refusals(&scheduler.poll(START)) {
        times.push(come_back_after_ms);
    }
    assert!(times.len() > 250);
    let first = times.iter().min().copied().unwrap_or_default();
    let last = times.iter().max().copied().unwrap_or_default();
    assert!(last - first > 250, "from {first} to {last} ms");
    for moment in first..last {
        let together = times
            .iter()
            .filter(|time| (moment..moment + 20).contains(*time));
        assert!(together.count() < times.len() / 5);
    }
}

/// A session has written and reads from a replica that hasn't caught up. It would miss its own
/// write.
#[test]
fn read_waits_for_no_replica_that_lacks_its_write() {
    let mut scheduler = ready_group(30);
    let position = LogPosition::new(GroupTerm(1), 10);
    let age = Duration::from_millis(200);
    for name in [REPLICA, OTHER_REPLICA] {
        scheduler.report_position(START, &InstanceName::from(name), position, age);
    }
    scheduler.arrive(START, read(1, START, 11));
    scheduler.arrive(START, read(2, START, 10));
    let decisions = scheduler.poll(START);
    assert_eq!(dispatches(&decisions), [(1, PRIMARY), (2, REPLICA)]);
}

/// The replicas' last report is too old to guarantee that their data is recent enough.
#[test]
fn age_grows_between_reports() {
    let mut scheduler = ready_group(30);
    let position = LogPosition::new(GroupTerm(1), 10);
    let age = Duration::from_millis(200);
    scheduler.report_position(START, &InstanceName::from(REPLICA), position, age);
    let later = START + Duration::from_millis(900);
    scheduler.arrive(later, read(1, later, 0));
    assert_eq!(dispatches(&scheduler.poll(later)), [(1, PRIMARY)]);
}

/// An endpoint announces that it is leaving. New work there would be cut off.
#[test]
fn leaving_endpoint_gets_no_new_work() {
    let mut scheduler = ready_group(30);
    let leaving = EndpointState {
        leaving: true,
        ..endpoint(PRIMARY, EndpointRole::Primary)
    };
    scheduler.set_endpoint(START, leaving);
    scheduler.arrive(START, write(1, START));
    let decisions = scheduler.poll(START);
    assert_eq!(dispatches(&decisions), []);
    assert_eq!(refusals(&decisions)[0].1, RefusalCause::NoPrimary);
}

/// The primary is gone and a promotion takes a second. A request with half a second left must be
/// refused; one with three seconds must wait for the successor.
#[test]
fn promotion_is_waited_for_only_with_time_left() {
    let mut scheduler = ready_group(30);
    scheduler.remove_endpoint(START, &InstanceName::from(PRIMARY));
    scheduler.arrive(START, write(1, START));
    let patient = RequestProfile {
        deadline: START + Duration::from_secs(3),
        ..write(2, START)
    };
    scheduler.arrive(START, patient);
    let decisions = scheduler.poll(START);
    assert_eq!(refusals(&decisions).len(), 1);
    let later = START + Duration::from_millis(800);
    scheduler.set_endpoint(later, endpoint(REPLICA, EndpointRole::Primary));
    assert_eq!(dispatches(&scheduler.poll(later)), [(2, REPLICA)]);
}

fn open_transaction(scheduler: &mut GroupScheduler, ticket: u64) {
    let begin = RequestProfile {
        step: RequestStep::Opens,
        ..write(ticket, START)
    };
    scheduler.arrive(START, begin);
    assert_eq!(dispatches(&scheduler.poll(START)), [(ticket, PRIMARY)]);
    scheduler.finished(START, RequestTicket(ticket), FinishOutcome::Answered);
}

fn within(ticket: u64, opener: u64) -> RequestProfile {
    RequestProfile {
        step: RequestStep::Within(RequestTicket(opener)),
        ..write(ticket, START)
    }
}

/// A transaction holds one of few connections while its next statement waits behind new requests.
#[test]
fn open_transaction_goes_before_new_work() {
    let mut scheduler = ready_group(30);
    open_transaction(&mut scheduler, 1);
    scheduler.arrive(START, write(2, START));
    scheduler.arrive(START, within(3, 1));
    let decisions = scheduler.poll(START);
    assert_eq!(dispatches(&decisions), [(3, PRIMARY), (2, PRIMARY)]);
    assert_eq!(scheduler.snapshot(START).endpoints[0].pinned, 1);
    scheduler.unpin(START, RequestTicket(1));
    assert_eq!(scheduler.snapshot(START).endpoints[0].pinned, 0);
}

/// The endpoint is lost in the middle of a transaction. On another endpoint the next statement
/// would run outside of the transaction.
#[test]
fn transaction_ends_with_its_endpoint() {
    let mut scheduler = ready_group(30);
    open_transaction(&mut scheduler, 1);
    scheduler.arrive(START, within(2, 1));
    scheduler.remove_endpoint(START, &InstanceName::from(PRIMARY));
    let decisions = scheduler.poll(START);
    assert_eq!(
        refusals(&decisions),
        [(2, RefusalCause::TransactionLost, 0)]
    );
    let late = scheduler.arrive(START, within(3, 1));
    assert!(matches!(late, ArrivalDecision::Refused(refusal)
        if refusal.cause == RefusalCause::TransactionLost));
}

/// A customer opens more transactions than its contract allows. It must not take the connections of
/// other customers.
#[test]
fn transactions_are_limited_by_contract() {
    let mut scheduler = ready_group(30);
    for ticket in 0..4 {
        open_transaction(&mut scheduler, ticket);
        scheduler.connection_opened(&InstanceName::from(PRIMARY));
    }
    let fifth = RequestProfile {
        step: RequestStep::Opens,
        ..write(4, START)
    };
    let decision = scheduler.arrive(START, fifth);
    assert!(matches!(decision, ArrivalDecision::Refused(refusal)
        if refusal.cause == RefusalCause::Limit));
}

/// Transactions that stay open take one connection after the other. The last ones must be left for
/// statements outside of transactions, and for a successor that takes over while these are still
/// open.
#[test]
fn transactions_leave_connections_to_others() {
    let mut scheduler = ready_group(100);
    scheduler.set_contracts(&[terms_with_connections("directorate", 100)]);
    let mut opened = 3;
    let mut pinned = 0;
    for ticket in 0..40 {
        let now = START + Duration::from_millis(ticket * 20);
        let begin = RequestProfile {
            step: RequestStep::Opens,
            ..write(ticket, now)
        };
        scheduler.arrive(now, begin);
        for decision in scheduler.poll(now) {
            match decision {
                SchedulerDecision::OpenConnection(instance) => {
                    opened += u32::from(instance.as_str() == PRIMARY);
                    scheduler.connection_opened(&instance);
                }
                SchedulerDecision::Dispatch(order) => {
                    pinned += 1;
                    scheduler.finished(now, order.ticket, FinishOutcome::Answered);
                }
                SchedulerDecision::Refuse(_) => {}
            }
        }
    }
    assert_eq!(opened, 13);
    assert_eq!(pinned, 11);
    let later = START + Duration::from_secs(2);
    scheduler.arrive(later, write(100, later));
    assert_eq!(dispatches(&scheduler.poll(later)), [(100, PRIMARY)]);
}

fn terms_with_connections(customer: &str, connection_limit: u32) -> CustomerTerms {
    CustomerTerms {
        customer: CustomerName::from(customer),
        slot_share: 1,
        queue_limit: 100,
        connection_limit,
        share_group: None,
    }
}

/// Runs waiting writes one after the other and returns the tickets that were dispatched.
fn serve(scheduler: &mut GroupScheduler, now: &mut ClockTime, count: usize) -> Vec<u64> {
    let mut served = Vec::new();
    while served.len() < count {
        let decisions = scheduler.poll(*now);
        let orders = dispatches(&decisions);
        assert!(!orders.is_empty(), "no waiting write was dispatched");
        for (ticket, _) in orders {
            served.push(ticket);
            *now = *now + Duration::from_millis(4);
            scheduler.finished(*now, RequestTicket(ticket), FinishOutcome::Answered);
        }
    }
    served
}

/// One customer works alone for a while; then another returns with a flood. It must get its share
/// at once, but not the share that it left unused before: the first would starve for as long.
#[test]
fn unused_share_is_not_saved_up() {
    let mut scheduler = ready_group(100);
    let mut now = START;
    for ticket in 0..100 {
        scheduler.arrive(now, write(ticket, now));
        serve(&mut scheduler, &mut now, 1);
    }
    for ticket in 200..220 {
        scheduler.arrive(now, write(ticket, now));
        let other = RequestProfile {
            customer: CustomerName::from("clinics"),
            ..write(ticket + 100, now)
        };
        scheduler.arrive(now, other);
    }
    let served = serve(&mut scheduler, &mut now, 12);
    let others = served.iter().filter(|ticket| **ticket >= 300).count();
    assert!(
        (5..=7).contains(&others),
        "{others} of {} served",
        served.len()
    );
}

/// Sixty requests find no connection open. One connection for each of them would use up the
/// endpoint's connections and leave none for a successor.
#[test]
fn burst_opens_few_connections() {
    let mut scheduler = create_group(100, "north", ExcessRule::Forbidden);
    for ticket in 0..60 {
        scheduler.arrive(START, write(ticket, START));
    }
    let opened = |decisions: &[SchedulerDecision]| {
        let opens = |decision: &&SchedulerDecision| {
            **decision == SchedulerDecision::OpenConnection(InstanceName::from(PRIMARY))
        };
        decisions.iter().filter(opens).count()
    };
    assert_eq!(opened(&scheduler.poll(START)), 2);
    assert_eq!(opened(&scheduler.poll(START)), 0);
    scheduler.connection_opened(&InstanceName::from(PRIMARY));
    scheduler.connection_opened(&InstanceName::from(PRIMARY));
    assert_eq!(
        opened(&scheduler.poll(START + Duration::from_millis(12))),
        1
    );
}

fn fail_all(repeat: RepeatRule, outcome: FinishOutcome) -> u64 {
    let mut scheduler = ready_group(1_000);
    let mut now = START;
    for ticket in 0..300 {
        let profile = RequestProfile {
            repeat,
            ..write(ticket, now)
        };
        scheduler.arrive(now, profile);
        for (dispatched, _) in dispatches(&scheduler.poll(now)) {
            scheduler.finished(now, RequestTicket(dispatched), outcome);
        }
        now = now + Duration::from_millis(10);
    }
    scheduler.snapshot(now).counts.retried
}

/// Every statement fails without having run. Retried without limit, the failures would double the
/// load.
#[test]
fn retries_stay_within_a_tenth() {
    let retried = fail_all(RepeatRule::Never, FinishOutcome::NotRun);
    assert!((30..=40).contains(&retried), "{retried} retries");
}

/// A few reads a second find two replicas behind before the primary serves them. Counted as
/// failures, they would use up the group's retries, and callers would be refused that it could
/// serve.
#[test]
fn replicas_behind_use_up_no_retries() {
    let mut scheduler = ready_group(1_000);
    let mut now = START;
    for ticket in 0..100 {
        scheduler.arrive(now, write(ticket, now));
        for _ in 0..2 {
            assert_eq!(dispatches(&scheduler.poll(now)).len(), 1);
            let finish = scheduler.finished(now, RequestTicket(ticket), FinishOutcome::Behind);
            assert_eq!(finish, FinishDecision::Requeued);
        }
        assert_eq!(dispatches(&scheduler.poll(now)).len(), 1);
        let finish = scheduler.finished(now, RequestTicket(ticket), FinishOutcome::Answered);
        assert_eq!(finish, FinishDecision::Settled);
        now = now + Duration::from_millis(10);
    }
}

/// A grant was sent and its connection lost. Sent again, it could lead to two grants on one case.
#[test]
fn lost_request_that_must_not_repeat_is_settled() {
    assert_eq!(fail_all(RepeatRule::Never, FinishOutcome::Lost), 0);
    assert!(fail_all(RepeatRule::Idempotent, FinishOutcome::Lost) > 0);
}

/// The network path has dropped the state of all connections. A statement finds one connection
/// after the other dead before it is sent. As it was never tried, it must not be refused as if it
/// had failed three times.
#[test]
fn unsent_statement_is_no_attempt() {
    let mut scheduler = ready_group(30);
    scheduler.arrive(START, write(1, START));
    for millis in 0..12 {
        let now = START + Duration::from_millis(millis);
        assert_eq!(dispatches(&scheduler.poll(now)).len(), 1);
        let finish = scheduler.finished(now, RequestTicket(1), FinishOutcome::NotSent);
        assert_eq!(finish, FinishDecision::Requeued);
    }
    assert_eq!(scheduler.snapshot(START).counts.retried, 0);
}

/// A statement fails when its time is nearly up. A second run couldn't end in time.
#[test]
fn no_retry_after_the_deadline() {
    let mut scheduler = ready_group(30);
    scheduler.arrive(START, write(1, START));
    scheduler.poll(START);
    let late = START + Duration::from_millis(499);
    let finish = scheduler.finished(late, RequestTicket(1), FinishOutcome::NotRun);
    assert!(matches!(finish, FinishDecision::Refused(refusal)
        if refusal.cause == RefusalCause::EndpointRefused));
}

/// A caller disconnects. Its waiting request is dropped; its running one holds the slot until the
/// endpoint has ended it.
#[test]
fn abandoned_request_keeps_its_slot() {
    let mut scheduler = ready_group(30);
    for ticket in 0..3 {
        scheduler.arrive(START, write(ticket, START));
    }
    scheduler.poll(START);
    assert_eq!(scheduler.abandon(RequestTicket(2)), AbandonEffect::Removed);
    assert_eq!(scheduler.abandon(RequestTicket(0)), AbandonEffect::Running);
    assert_eq!(scheduler.snapshot(START).endpoints[0].slots_held, 2);
    let finish = scheduler.finished(START, RequestTicket(0), FinishOutcome::Lost);
    assert_eq!(finish, FinishDecision::Settled);
    assert_eq!(scheduler.abandon(RequestTicket(0)), AbandonEffect::Unknown);
}

/// Two customers alternate: each has a waiting request, then none, then one again, and some
/// requests are abandoned. If a customer were dropped when its queue ran empty, its next caller
/// would wait until its deadline while slots are free.
#[test]
fn customer_that_returns_is_served() {
    let mut scheduler = ready_group(20);
    for ticket in 0..40 {
        let now = START + Duration::from_millis(ticket * 20);
        let profile = RequestProfile {
            customer: CustomerName::from(["directorate", "clinics"][ticket as usize / 2 % 2]),
            ..write(ticket, now)
        };
        assert_eq!(scheduler.arrive(now, profile), ArrivalDecision::Queued);
        if ticket % 3 == 0 {
            let effect = scheduler.abandon(RequestTicket(ticket));
            assert_eq!(effect, AbandonEffect::Removed);
            continue;
        }
        let decisions = scheduler.poll(now);
        assert_eq!(dispatches(&decisions), [(ticket, PRIMARY)]);
        scheduler.finished(now, RequestTicket(ticket), FinishOutcome::Answered);
    }
}

/// A primary has failed and its successor is known to need 700 ms more. A write with half a second
/// left must be refused at once and told when to retry; one with a second left must wait and be
/// served.
#[test]
fn writes_wait_for_a_primary_that_comes_in_time() {
    let mut scheduler = ready_group(20);
    scheduler.set_endpoint(START, endpoint(PRIMARY, EndpointRole::Unusable));
    scheduler.expect_primary(Some(START + Duration::from_millis(700)));
    let patient = RequestProfile {
        deadline: START + Duration::from_secs(1),
        ..write(1, START)
    };
    scheduler.arrive(START, patient);
    scheduler.arrive(START, write(2, START));
    let refused = refusals(&scheduler.poll(START));
    assert_eq!(refused.len(), 1);
    let (ticket, cause, come_back_after_ms) = refused[0];
    assert_eq!((ticket, cause), (2, RefusalCause::NoPrimary));
    assert!(come_back_after_ms >= 700, "{come_back_after_ms}");
    let later = START + Duration::from_millis(650);
    scheduler.set_endpoint(later, endpoint(PRIMARY, EndpointRole::Primary));
    scheduler.expect_primary(None);
    assert_eq!(dispatches(&scheduler.poll(later)), [(1, PRIMARY)]);
}

/// A promotion was ordered and it is unknown whether it will be carried out. Each write would wait
/// until its deadline in vain, because the primary of the next order can't be there in time.
#[test]
fn writes_are_refused_while_no_promotion_is_under_way() {
    let mut scheduler = ready_group(20);
    scheduler.set_endpoint(START, endpoint(PRIMARY, EndpointRole::Unusable));
    let later = START + Duration::from_secs(3);
    scheduler.expect_primary(Some(later + Duration::from_secs(1)));
    scheduler.arrive(later, write(1, later));
    let refused = refusals(&scheduler.poll(later));
    assert_eq!(refused[0].1, RefusalCause::NoPrimary);
}
