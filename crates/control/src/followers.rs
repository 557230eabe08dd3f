//! Orders to follow the present primary, and their confirmations.

use crate::ClockTime;
use ragwort_types::InstanceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two orders to one instance.
pub(crate) const MIN_FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which the order is repeated to an instance that confirmed it, because the instance
/// may have restarted and lost its role. The group is served meanwhile, so two seconds are soon
/// enough.
pub(crate) const FOLLOW_REFRESH: Duration = Duration::from_secs(2);

/// The instances that were ordered to follow, with the time of the order.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowerTable {
    followers: BTreeMap<InstanceName, FollowProgress>,
}

#[derive(Clone, Copy, Debug)]
struct FollowProgress {
    asked_at: ClockTime,
    confirmed: bool,
}

impl FollowerTable {
    pub(crate) fn clear(&mut self) {
        self.followers.clear();
    }

    /// Records an order to an instance and returns whether it may be sent: not within
    /// [`MIN_FOLLOW_INTERVAL`] of the previous one.
    pub(crate) fn try_ask(&mut self, now: ClockTime, instance: &InstanceName) -> bool {
        let progress = self.followers.get(instance);
        if progress.is_some_and(|progress| now.since(progress.asked_at) < MIN_FOLLOW_INTERVAL) {
            return false;
        }
        let request = FollowProgress {
            asked_at: now,
            confirmed: false,
        };
        self.followers.insert(instance.clone(), request);
        true
    }

    pub(crate) fn confirm(&mut self, instance: &InstanceName) {
        if let Some(progress) = self.followers.get_mut(instance) {
            progress.confirmed = true;
        }
    }

    /// Returns whether an instance confirmed an order within [`FOLLOW_REFRESH`].
    pub(crate) fn is_confirmed(&self, now: ClockTime, instance: &InstanceName) -> bool {
        let progress = self.followers.get(instance);
        progress.is_some_and(|progress| {
            progress.confirmed && now.since(progress.asked_at) < FOLLOW_REFRESH
        })
    }
}
