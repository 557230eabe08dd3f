//! Tests of the replacement of a primary by orders that may be late, lost or overtaken.

use ragwort_control::ClockTime;
use ragwort_control::PrimaryReplacement;
use ragwort_control::ReplacementAction;
use ragwort_control::ReplacementActions;
use ragwort_control::ReplacementEvent;
use ragwort_control::ReplacementState;
use ragwort_control::RoleReport;
use ragwort_control::WriteGuarantee;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use std::time::Duration;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn name(number: u64) -> InstanceName {
    InstanceName::from(format!("cases-{number}"))
}

fn position(index: u64) -> LogPosition {
    LogPosition::new(GroupTerm(1), index)
}

fn replica(index: u64) -> Option<RoleReport> {
    Some(RoleReport {
        role: InstanceRole::Replica,
        term: GroupTerm(1),
        received: position(index),
    })
}

/// Starts to replace `cases-1`, which has acknowledged writes up to index 50, with a catch-up time
/// of 200 ms.
fn started_replacement() -> PrimaryReplacement {
    let mut replacement = PrimaryReplacement::default();
    let catch_up_time = Duration::from_millis(200);
    let actions = replacement.begin(
        at(0),
        Some(&name(1)),
        Some(position(50)),
        WriteGuarantee::BestEffort,
        catch_up_time,
    );
    assert_eq!(actions.as_slice(), [ReplacementAction::AskInstances]);
    replacement.note_requested(at(0), [name(2), name(3)], [], 3);
    replacement
}

/// Starts to replace `cases-1` in a group of three with one synchronous replica.
fn guaranteed_replacement(required: Option<LogPosition>) -> PrimaryReplacement {
    let mut replacement = PrimaryReplacement::default();
    let guarantee = WriteGuarantee::SynchronousReplicas(1);
    replacement.begin(at(0), Some(&name(1)), required, guarantee, Duration::ZERO);
    replacement.note_requested(at(0), [name(2), name(3)], [], 3);
    replacement
}

/// Lets the time pass until the instances are asked again.
fn ask_again(replacement: &mut PrimaryReplacement, millis: u64) {
    let again = replacement.tick(at(millis));
    assert_eq!(first(again), Some(ReplacementAction::AskInstances));
    replacement.note_requested(at(millis), [name(2), name(3)], [], 3);
}

fn first(actions: ReplacementActions) -> Option<ReplacementAction> {
    actions.into_iter().next()
}

/// Advances a replacement of `cases-1` by `cases-3` to the order with the fencing token 7.
fn ordered_replacement() -> PrimaryReplacement {
    let mut replacement = started_replacement();
    replacement.take_report(at(5), &name(2), replica(40));
    let chosen = replacement.take_report(at(6), &name(3), replica(50));
    assert_eq!(
        first(chosen),
        Some(ReplacementAction::ProposeNumber(name(3)))
    );
    let order = replacement.receive_token(at(8), 7);
    assert_eq!(first(order), Some(ReplacementAction::GiveOrder(name(3), 7)));
    replacement
}

case! {
    /// A primary dies, and one replica has received more than the other. Promoting the other one
    /// would lose acknowledged writes.
    furthest_replica_is_promoted {
        let mut replacement = ordered_replacement();
        replacement.handle(at(10), ReplacementEvent::OrderAccepted);
        assert_eq!(replacement.state(), ReplacementState::Watching);
        replacement.note_primary(at(700), &name(3), true);
        assert_eq!(replacement.state(), ReplacementState::Steady);
    }
}

case! {
    /// Both replicas lack the last acknowledged write, which is in flight. They get a limited time
    /// to receive it; afterwards the group must get a primary nevertheless.
    wait_for_a_better_candidate_is_bounded {
        let mut replacement = started_replacement();
        replacement.take_report(at(5), &name(2), replica(40));
        assert!(replacement.take_report(at(6), &name(3), replica(49)).is_empty());
        let again = replacement.tick(at(106));
        assert_eq!(first(again), Some(ReplacementAction::AskInstances));
        replacement.note_requested(at(106), [name(2), name(3)], [], 3);
        replacement.take_report(at(107), &name(2), replica(40));
        assert!(replacement.take_report(at(108), &name(3), replica(49)).is_empty());
        let last = replacement.tick(at(208));
        assert_eq!(first(last), Some(ReplacementAction::AskInstances));
        replacement.note_requested(at(208), [name(2), name(3)], [], 3);
        replacement.take_report(at(209), &name(2), replica(40));
        let chosen = replacement.take_report(at(210), &name(3), replica(49));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(3))));
    }
}

case! {
    /// The primary was only slow and answers again before anything was ordered. It must stay,
    /// because a promotion would interrupt its callers for most of a second.
    primary_that_answers_in_time_stays {
        let mut replacement = started_replacement();
        replacement.note_primary(at(50), &name(1), true);
        assert_eq!(replacement.state(), ReplacementState::Steady);
    }
}

case! {
    /// The primary is leaving but still answers. That must not end its replacement, or the group
    /// would have no primary after it has left.
    leaving_primary_is_replaced_though_it_answers {
        let mut replacement = started_replacement();
        replacement.note_primary(at(50), &name(1), false);
        assert_eq!(replacement.state(), ReplacementState::Asking);
    }
}

case! {
    /// The reply to an order is lost, and the order isn't carried out. Callers have no primary
    /// until the next order, so the instances are asked again at once. The next order has its own
    /// fencing token, because the first may still be carried out late.
    lost_order_is_followed_by_another {
        let mut replacement = ordered_replacement();
        let again = replacement.handle(at(410), ReplacementEvent::OrderUnknown);
        assert_eq!(first(again), Some(ReplacementAction::AskInstances));
        replacement.note_requested(at(410), [name(2), name(3)], [], 3);
        replacement.take_report(at(415), &name(2), replica(50));
        let chosen = replacement.take_report(at(416), &name(3), None);
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
        let order = replacement.receive_token(at(420), 9);
        assert_eq!(first(order), Some(ReplacementAction::GiveOrder(name(2), 9)));
    }
}

case! {
    /// The reply to an order is lost, but the order was carried out: an instance is found to be the
    /// primary while the others are asked again. No further order is given.
    lost_answer_to_an_order_that_took_effect_ends_it {
        let mut replacement = ordered_replacement();
        replacement.handle(at(410), ReplacementEvent::OrderUnknown);
        replacement.note_requested(at(410), [name(2), name(3)], [], 3);
        replacement.note_primary(at(412), &name(3), true);
        assert_eq!(replacement.state(), ReplacementState::Steady);
        assert!(replacement.take_report(at(415), &name(2), replica(50)).is_empty());
        assert!(replacement.tick(at(3_600)).is_empty());
    }
}

case! {
    /// Another order has overtaken this one. Repeating it with the same fencing token can't
    /// succeed, so the instances are asked again.
    overtaken_order_is_not_repeated {
        let mut replacement = ordered_replacement();
        assert!(replacement.handle(at(10), ReplacementEvent::OrderOvertaken).is_empty());
        let again = replacement.tick(at(120));
        assert_eq!(first(again), Some(ReplacementAction::AskInstances));
    }
}

case! {
    /// The promotion service doesn't accept the order at present. The same order is repeated.
    unaccepted_order_is_repeated {
        let mut replacement = ordered_replacement();
        replacement.handle(at(10), ReplacementEvent::OrderUntaken);
        let again = replacement.tick(at(111));
        assert_eq!(first(again), Some(ReplacementAction::GiveOrder(name(3), 7)));
    }
}

case! {
    /// An instance never replies. After the timeout, the other instances' reports are used.
    silent_instance_is_not_waited_for {
        let mut replacement = started_replacement();
        replacement.take_report(at(5), &name(3), replica(50));
        let chosen = replacement.tick(at(151));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(3))));
    }
}

case! {
    /// The only replica that holds all acknowledged writes has no free slot for a report, and the
    /// other one reports less. Promoting that one would lose the writes.
    busy_replica_that_holds_all_is_promoted {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        replacement.take_report(at(5), &name(3), replica(40));
        replacement.note_answer(&name(2), Some(position(50)));
        let chosen = replacement.take_report(at(6), &name(2), None);
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
    }
}

case! {
    /// The replica that holds the acknowledged writes is out of reach for long. The other one must
    /// not be promoted however long that lasts.
    replica_that_lacks_acknowledged_writes_is_not_promoted {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        for round in 0..100 {
            replacement.take_report(at(round * 300 + 5), &name(3), replica(49));
            assert!(replacement.tick(at(round * 300 + 150)).is_empty());
            ask_again(&mut replacement, (round + 1) * 300);
        }
        replacement.take_report(at(30_005), &name(3), replica(49));
        let chosen = replacement.take_report(at(30_006), &name(2), replica(50));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
    }
}

case! {
    /// A leaseholder and the primary fail together, so it isn't known what was acknowledged. The
    /// first replica to report may lack acknowledged writes that the other one holds.
    unknown_position_requires_all_replicas {
        let mut replacement = guaranteed_replacement(None);
        replacement.take_report(at(5), &name(3), replica(40));
        assert!(replacement.take_report(at(6), &name(2), None).is_empty());
        ask_again(&mut replacement, 106);
        // A report of an earlier round still counts, as nothing was acknowledged since.
        replacement.note_answer(&name(3), Some(position(40)));
        replacement.take_report(at(110), &name(3), None);
        let chosen = replacement.take_report(at(111), &name(2), replica(50));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
    }
}

case! {
    /// The last position that the primary stated counts a write that no replica received, and that
    /// it hadn't acknowledged. Waiting for it would leave the group without a primary.
    position_that_no_replica_received_is_not_waited_for {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        replacement.take_report(at(5), &name(2), replica(40));
        let chosen = replacement.take_report(at(6), &name(3), replica(49));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(3))));
    }
}

case! {
    /// An instance has died since it reported the highest position. An order for it would be
    /// refused again and again.
    instance_that_no_longer_answers_is_not_promoted {
        let mut replacement = guaranteed_replacement(None);
        replacement.take_report(at(5), &name(2), replica(50));
        replacement.take_report(at(6), &name(3), replica(50));
        replacement.receive_token(at(8), 7);
        replacement.handle(at(10), ReplacementEvent::OrderOvertaken);
        ask_again(&mut replacement, 120);
        replacement.take_report(at(125), &name(2), replica(50));
        let chosen = replacement.take_report(at(126), &name(3), None);
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
    }
}

case! {
    /// The primary dies, and the only replica that holds all acknowledged writes is leaving. It
    /// still counts as a synchronous replica, so it is promoted before the other one.
    leaving_replica_that_holds_all_is_promoted {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        replacement.note_requested(at(0), [name(2), name(3)], [name(2)], 3);
        replacement.take_report(at(5), &name(2), replica(50));
        let chosen = replacement.take_report(at(6), &name(3), replica(40));
        assert_eq!(first(chosen), Some(ReplacementAction::ProposeNumber(name(2))));
    }
}

case! {
    /// Two instances are leaving at the same time. If one took over from the other, the group would
    /// change its primary again and again until both have ended.
    leaving_primary_is_not_replaced_by_a_leaving_replica {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        let leaving = [name(1), name(2)];
        replacement.note_requested(at(0), [name(2), name(3)], leaving, 3);
        replacement.take_report(at(5), &name(2), replica(50));
        assert!(replacement.take_report(at(6), &name(3), replica(40)).is_empty());
    }
}

case! {
    /// A replaced primary acknowledges a write after the candidate was chosen, which may lack it.
    /// The caller must not be told that the write is saved.
    late_acknowledgement_is_withheld {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        replacement.note_acknowledged(position(51));
        assert!(replacement.may_confirm(position(51)));
        replacement.take_report(at(5), &name(2), replica(51));
        replacement.take_report(at(6), &name(3), replica(40));
        assert!(replacement.may_confirm(position(51)));
        assert!(!replacement.may_confirm(position(52)));
        // The promoted instance begins its own term without that write.
        replacement.note_answer(&name(2), Some(LogPosition::new(GroupTerm(2), 51)));
        assert!(!replacement.may_confirm(position(52)));
    }
}

case! {
    /// A write is confirmed while a promotion is ordered, as the candidate holds it. The order gets no
    /// reply, and an instance that lacks the write was ordered next.
    write_confirmed_during_an_order_is_required_of_the_next_candidate {
        let mut replacement = guaranteed_replacement(Some(position(50)));
        replacement.take_report(at(5), &name(2), replica(51));
        replacement.take_report(at(6), &name(3), replica(50));
        replacement.receive_token(at(7), 7);
        assert!(replacement.may_confirm(position(51)));
        replacement.note_acknowledged(position(51));
        let again = replacement.handle(at(400), ReplacementEvent::OrderUnknown);
        assert_eq!(first(again), Some(ReplacementAction::AskInstances));
        replacement.note_requested(at(400), [name(3)], [], 3);
        assert!(replacement.take_report(at(401), &name(3), replica(50)).is_empty());
    }
}

case! {
    /// A write is acknowledged while the instances are asked. A report from before it doesn't show
    /// which instance holds it.
    report_from_before_an_acknowledgement_does_not_count {
        let mut replacement = guaranteed_replacement(None);
        replacement.take_report(at(5), &name(2), replica(50));
        replacement.note_acknowledged(position(52));
        assert!(replacement.take_report(at(6), &name(3), replica(51)).is_empty());
    }
}
