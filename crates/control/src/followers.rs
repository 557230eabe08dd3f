//! Which instances were told to follow the present primary.

use crate::ClockTime;
use ragwort_types::InstanceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest time between two requests to follow, to one instance.
pub(crate) const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which an instance that follows is told again, as it may have restarted and
/// forgotten. Seconds don't matter here: the group is served meanwhile.
pub(crate) const FOLLOW_REFRESH: Duration = Duration::from_secs(2);

/// The instances that were told to follow, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowerTable {
    followers: BTreeMap<InstanceName, FollowProgress>,
}

#[derive(Clone, Copy, Debug)]
struct FollowProgress {
    asked: ClockTime,
    confirmed: bool,
}

impl FollowerTable {
    pub(crate) fn clear(&mut self) {
        self.followers.clear();
    }

    /// Notes that an instance is told now, unless it was told a moment ago.
    pub(crate) fn ask(&mut self, now: ClockTime, instance: &InstanceName) -> bool {
        let progress = self.followers.get(instance);
        if progress.is_some_and(|progress| now.since(progress.asked) < FOLLOW_INTERVAL) {
            return false;
        }
        let asked = FollowProgress {
            asked: now,
            confirmed: false,
        };
        self.followers.insert(instance.clone(), asked);
        true
    }

    pub(crate) fn confirm(&mut self, instance: &InstanceName) {
        if let Some(progress) = self.followers.get_mut(instance) {
            progress.confirmed = true;
        }
    }

    /// Says whether an instance confirmed lately that it follows.
    pub(crate) fn is_confirmed(&self, now: ClockTime, instance: &InstanceName) -> bool {
        let progress = self.followers.get(instance);
        progress.is_some_and(|progress| {
            progress.confirmed && now.since(progress.asked) < FOLLOW_REFRESH
        })
    }
}
