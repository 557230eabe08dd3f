//! Orders to promote that may still take effect.
//!
//! The promotion service may carry out an order without a reply seconds later, and an accepted one
//! takes effect some hundred milliseconds after the reply. Until then another instance than the
//! present primary may become the primary, with the log that it has at that time. A write that it
//! lacks must not be acknowledged meanwhile if acknowledged writes are guaranteed.

use crate::ClockTime;
use ragwort_types::InstanceName;
use ragwort_types::RecordedOrder;
use smallvec::SmallVec;
use std::time::Duration;

/// Time after an accepted order within which it and all earlier ones have taken effect. Promotions
/// take 600 to 1,000 ms.
pub const PROMOTION_LIMIT: Duration = Duration::from_millis(2_500);

/// The orders for one instance. Only the last of them is listed: what keeps it from taking effect
/// keeps the earlier ones from it too.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OutstandingOrder {
    instance: InstanceName,
    /// The fencing token of the last one.
    token: u64,
    /// Whether one of them may be carried out although the last one was refused.
    has_unanswered: bool,
    /// When none of them can take effect any more; `None` while one may still be carried out.
    ends_at: Option<ClockTime>,
}

/// The orders of one group that may still take effect.
#[derive(Clone, Debug, Default)]
pub struct OutstandingOrders {
    orders: SmallVec<[OutstandingOrder; 2]>,
    /// Orders with a fencing token up to this one can't take effect any more.
    settled_token: u64,
}

impl OutstandingOrders {
    /// Creates the orders that the catalog records of former leaseholders. Their outcome isn't
    /// known.
    pub fn from_record(recorded: &[RecordedOrder]) -> Self {
        let orders = recorded.iter().map(|order| OutstandingOrder {
            instance: order.instance.clone(),
            token: order.token,
            has_unanswered: true,
            ends_at: None,
        });
        Self {
            orders: orders.collect(),
            settled_token: 0,
        }
    }

    /// Returns whether no order may take effect.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the instances with their fencing tokens.
    pub fn list(&self) -> impl Iterator<Item = (&InstanceName, u64)> {
        self.orders.iter().map(|one| (&one.instance, one.token))
    }

    /// Returns the instances other than this one that may become the primary.
    pub fn others<'a>(
        &'a self,
        primary: &'a InstanceName,
    ) -> impl Iterator<Item = &'a InstanceName> {
        let instances = self.orders.iter().map(|one| &one.instance);
        instances.filter(move |instance| *instance != primary)
    }

    /// Returns whether an order may still be carried out, so that a higher fencing token is needed.
    pub fn needs_fence(&self) -> bool {
        self.orders.iter().any(|one| one.ends_at.is_none())
    }

    /// Returns when no order can take effect any more; `None` while one may still be carried out.
    pub fn settled_at(&self) -> Option<ClockTime> {
        let ends = self.orders.iter().map(|one| one.ends_at);
        ends.collect::<Option<SmallVec<[ClockTime; 2]>>>()?
            .into_iter()
            .max()
    }

    /// Records an order that is being sent.
    pub fn note_sent(&mut self, instance: &InstanceName, token: u64) {
        let earlier = self.orders.iter().position(|one| one.instance == *instance);
        let earlier = earlier.map(|place| self.orders.remove(place));
        let has_unanswered = earlier.is_some_and(|one| one.token != token || one.has_unanswered);
        self.orders.push(OutstandingOrder {
            instance: instance.clone(),
            token,
            has_unanswered,
            ends_at: None,
        });
    }

    /// Records that the reply to an order was lost.
    pub fn note_unanswered(&mut self, token: u64) {
        for order in self.orders.iter_mut().filter(|one| one.token == token) {
            order.has_unanswered = true;
        }
    }

    /// Records that an order was refused, so that it won't be carried out.
    pub fn note_refused(&mut self, token: u64) {
        self.orders
            .retain(|one| one.token != token || one.has_unanswered);
    }

    /// Records that an order was accepted. Orders with lower fencing tokens won't be carried out any
    /// more, unless they are under way already.
    pub fn note_accepted(&mut self, now: ClockTime, token: u64) {
        for order in self.orders.iter_mut().filter(|one| one.token <= token) {
            order.ends_at.get_or_insert(now + PROMOTION_LIMIT);
        }
    }

    /// Removes the orders that can't take effect any more; returns whether there were any.
    pub fn remove_ended(&mut self, now: ClockTime) -> bool {
        let before = self.orders.len();
        self.orders
            .retain(|one| one.ends_at.is_none_or(|end| now < end));
        self.orders.len() < before
    }

    /// Settles the recorded orders if none may take effect, and returns the highest fencing token of
    /// all settled ones.
    ///
    /// A recorded order that isn't outstanding was refused, or its token was issued and never used.
    pub fn settle(&mut self, recorded: &[RecordedOrder]) -> u64 {
        if self.orders.is_empty() {
            let tokens = recorded.iter().map(|order| order.token);
            self.settled_token = tokens.chain([self.settled_token]).max().unwrap_or_default();
        }
        self.settled_token
    }

    /// Returns whether no order may be given with this fencing token any more, since the catalog may
    /// have forgotten it.
    pub fn is_settled(&self, token: u64) -> bool {
        token <= self.settled_token
    }
}
