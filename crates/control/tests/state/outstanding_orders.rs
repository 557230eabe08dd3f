//! Tests of orders to promote that may still take effect, and of the fence against them.

use ragwort_control::ClockTime;
use ragwort_control::FenceEvent;
use ragwort_control::FenceState;
use ragwort_control::OrderFence;
use ragwort_control::OutstandingOrders;
use ragwort_control::PROMOTION_LIMIT;
use ragwort_control::ReplacementAction;
use ragwort_types::InstanceName;
use ragwort_types::RecordedOrder;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn name(number: u64) -> InstanceName {
    InstanceName::from(format!("cases-{number}"))
}

fn recorded(number: u64, token: u64) -> RecordedOrder {
    RecordedOrder {
        instance: name(number),
        token,
    }
}

fn list_others(orders: &OutstandingOrders, primary: u64) -> Vec<InstanceName> {
    orders.others(&name(primary)).cloned().collect()
}

case! {
    /// An order without a reply was forgotten when a later one was accepted, though a promotion by
    /// it may have been under way at that moment.
    accepted_order_ends_earlier_ones_after_a_promotion {
        let mut orders = OutstandingOrders::default();
        orders.note_sent(&name(2), 7);
        orders.note_unanswered(7);
        orders.note_sent(&name(1), 9);
        assert!(orders.needs_fence());
        orders.note_accepted(at(100), 9);
        assert!(!orders.needs_fence());
        assert_eq!(list_others(&orders, 1), [name(2)]);
        assert!(!orders.remove_ended(at(101)));
        assert!(orders.remove_ended(at(100) + PROMOTION_LIMIT));
        assert!(orders.is_empty());
    }
}

case! {
    /// An order for another instance is accepted while one with a higher fencing token is
    /// unanswered, which it doesn't keep from being carried out.
    accepted_order_leaves_later_ones {
        let mut orders = OutstandingOrders::default();
        orders.note_sent(&name(2), 7);
        orders.note_sent(&name(3), 9);
        orders.note_unanswered(9);
        orders.note_accepted(at(100), 7);
        orders.remove_ended(at(100) + PROMOTION_LIMIT);
        assert!(orders.needs_fence());
        assert_eq!(list_others(&orders, 1), [name(3)]);
    }
}

case! {
    /// The promotion service refuses an order. Writes must not be refused for it, unless an earlier
    /// order for the same instance is unanswered.
    refused_order_is_not_outstanding {
        let mut orders = OutstandingOrders::default();
        orders.note_sent(&name(2), 7);
        orders.note_refused(7);
        assert!(orders.is_empty());
        orders.note_sent(&name(2), 8);
        orders.note_unanswered(8);
        orders.note_sent(&name(2), 9);
        orders.note_refused(9);
        assert!(orders.needs_fence());
        let mut former = OutstandingOrders::from_record(&[recorded(2, 7)]);
        former.note_sent(&name(2), 9);
        former.note_refused(9);
        assert!(former.needs_fence());
    }
}

case! {
    /// The reply to a request for a fencing token comes after the catalog was told to forget the
    /// order. With that token an order would be given that no successor knows of.
    settled_token_is_never_used {
        let mut orders = OutstandingOrders::from_record(&[recorded(2, 7)]);
        assert_eq!(orders.settle(&[recorded(2, 7), recorded(3, 9)]), 0);
        orders.note_sent(&name(1), 8);
        orders.note_accepted(at(100), 8);
        orders.remove_ended(at(100) + PROMOTION_LIMIT);
        assert_eq!(orders.settle(&[recorded(2, 7), recorded(3, 9)]), 9);
        assert!(orders.is_settled(9));
        assert!(!orders.is_settled(10));
    }
}

/// Begins to raise the fence for `cases-1`, up to the order with the fencing token 9.
fn ordered_fence() -> OrderFence {
    let mut fence = OrderFence::default();
    let wanted = fence.begin(at(0), &name(1));
    assert_eq!(
        wanted.as_slice(),
        [ReplacementAction::ProposeNumber(name(1))]
    );
    assert!(fence.awaits_token(&name(1)));
    let order = fence.receive_token(at(1), 9);
    assert_eq!(order.as_slice(), [ReplacementAction::GiveOrder(name(1), 9)]);
    fence
}

case! {
    /// The reply to the order that raises the fence is lost. It is repeated, or orders of former
    /// leaseholders could be carried out for good.
    unanswered_fence_is_repeated {
        let mut fence = ordered_fence();
        assert!(fence.handle(at(400), FenceEvent::OrderMissing).is_empty());
        assert!(fence.tick(at(401)).is_empty());
        let again = fence.tick(at(1_000));
        assert_eq!(again.as_slice(), [ReplacementAction::GiveOrder(name(1), 9)]);
        fence.handle(at(1_001), FenceEvent::OrderAccepted);
        assert_eq!(fence.state(), FenceState::Idle);
    }
}

case! {
    /// A refused fencing token would be refused again, however often it is sent.
    refused_fence_gets_another_token {
        let mut fence = ordered_fence();
        fence.handle(at(20), FenceEvent::OrderOvertaken);
        let again = fence.tick(at(1_000));
        assert_eq!(again.as_slice(), [ReplacementAction::ProposeNumber(name(1))]);
    }
}

case! {
    /// Another instance becomes the primary while the fence is raised for the former one, whose
    /// promotion must not be ordered any more.
    fence_for_another_primary_begins_anew {
        let mut fence = ordered_fence();
        fence.handle(at(20), FenceEvent::OrderMissing);
        let wanted = fence.begin(at(30), &name(2));
        assert_eq!(wanted.as_slice(), [ReplacementAction::ProposeNumber(name(2))]);
        assert!(fence.tick(at(1_000)).is_empty());
        assert!(!fence.awaits_order(9));
    }
}
