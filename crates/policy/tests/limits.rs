//! Limits on waiting requests and on requests in flight.

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
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::ExcessRule;
use ragwort_policy::GROUP_IN_FLIGHT_LIMIT;
use ragwort_policy::InFlightLimiter;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;

const START: ClockTime = ClockTime(1_000_000);

/// One session has filled its customer's queue. A request of another session of the same customer
/// must be admitted; the last request of the flood is refused in its place.
#[test]
fn flood_gives_way_in_a_full_queue() {
    let mut scheduler = create_group(20, "north", ExcessRule::Forbidden);
    for name in [REPLICA, OTHER_REPLICA] {
        scheduler.set_endpoint(START, endpoint(name, EndpointRole::Unusable));
    }
    for ticket in 0..20 {
        let flood = RequestProfile {
            session: 7,
            ..write(ticket, START)
        };
        assert_eq!(scheduler.arrive(START, flood), ArrivalDecision::Queued);
    }
    assert_eq!(
        scheduler.arrive(START, write(50, START)),
        ArrivalDecision::Queued
    );
    let decisions = scheduler.poll(START);
    let overload = decisions.iter().filter_map(|decision| match decision {
        SchedulerDecision::Refuse(order) if order.refusal.cause == RefusalCause::Overload => {
            Some(order.ticket)
        }
        _ => None,
    });
    assert_eq!(overload.collect::<Vec<_>>(), [RequestTicket(19)]);
}

/// A customer's queue is full of equal requests. A new request that would be served last is the one
/// that is refused.
#[test]
fn newcomer_is_refused_by_a_full_queue() {
    let mut scheduler = create_group(4, "north", ExcessRule::Forbidden);
    scheduler.connection_opened(&InstanceName::from(PRIMARY));
    for ticket in 0..4 {
        scheduler.arrive(START, read(ticket, START, 0));
    }
    let refused = scheduler.arrive(START, read(4, START, 0));
    assert!(matches!(refused, ArrivalDecision::Refused(refusal)
        if refusal.cause == RefusalCause::Overload && refusal.come_back_after_ms > 0));
}

/// One group's leaseholder hangs. Its requests must not fill the gateway's memory, and urgent ones
/// must still be admitted.
#[test]
fn gateway_limits_what_is_in_flight() {
    let customers = [1, 2, 3].map(|number| CustomerTerms {
        customer: CustomerName::from(format!("customer-{number}")),
        slot_share: 1,
        queue_limit: 1_000,
        connection_limit: 8,
        share_group: None,
    });
    let group = GroupName::from("cases");
    let mut limiter = InFlightLimiter::default();
    let mut refused = 0;
    for terms in &customers {
        for _ in 0..1_200 {
            let admitted = limiter.admit(&group, terms, UrgencyClass::Ordinary);
            refused += u32::from(admitted.is_err());
        }
    }
    assert!(limiter.in_flight(&group) < GROUP_IN_FLIGHT_LIMIT);
    assert_eq!(limiter.in_flight(&group) + refused, 3_600);
    let last = limiter.admit(&group, &customers[2], UrgencyClass::Urgent);
    assert!(last.is_ok());
    let other = GroupName::from("stock");
    assert!(
        limiter
            .admit(&other, &customers[0], UrgencyClass::Ordinary)
            .is_ok()
    );
}
