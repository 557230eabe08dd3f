//! The interface to the service that makes an instance the primary of its group.

use async_trait::async_trait;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::VmName;

/// Carries out orders to promote an instance.
#[async_trait]
pub trait PromotionService: Send + Sync + 'static {
    /// Sends one order and returns the reply; the daemon bounds the call by a time-out.
    async fn promote(&self, order: &PromotionOrder) -> PromotionReply;
}

/// An order to promote an instance to primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The instance to promote.
    pub instance: InstanceName,
    /// The VM that holds the group's lease and gives the order.
    pub holder: VmName,
    /// The fencing token: a number from the replicated log, unique to this order. An order with a
    /// higher token supersedes it.
    pub token: u64,
}

/// The reply to an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// The order is being carried out, or the instance is the primary already.
    Accepted,
    /// The order was refused: a higher token was seen, or the instance doesn't run.
    Overtaken,
    /// The order was not accepted; the same order may be sent again.
    Unavailable,
    /// The outcome is unknown: the order may still be carried out, even seconds later.
    Unknown,
}
