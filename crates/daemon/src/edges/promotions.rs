//! Who makes an instance the primary of its group.

use async_trait::async_trait;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::VmName;

/// Takes orders to promote.
#[async_trait]
pub trait PromotionService: Send + Sync + 'static {
    /// Gives one order and returns what was answered; the daemon bounds how long it waits.
    async fn promote(&self, order: &PromotionOrder) -> PromotionReply;
}

/// An order to promote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The instance that is to be its primary.
    pub instance: InstanceName,
    /// The VM that leads the group.
    pub holder: VmName,
    /// A number of the agreed log that no other order has. A later one overtakes it.
    pub token: u64,
}

/// What became of an order to promote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// It is being carried out, or the instance is the primary already.
    Accepted,
    /// A later token was seen, or the instance doesn't run.
    Overtaken,
    /// It was not taken; the same order may be given again.
    Unavailable,
    /// It may or may not be carried out, even seconds later.
    Unknown,
}
