//! Suppression of repeated endpoint announcements to standbys.
//!
//! # Problem
//!
//! A thousand endpoints announce themselves each second to any VM, and nearly always repeat the
//! same state. If each announcement were relayed to a leaseholder and two standbys, the calls to
//! standbys, which need it only when they take the group over, would cost control VMs as much as
//! all requests of callers.
//!
//! # Approach
//!
//! A standby drops an endpoint that wasn't announced for a given time. A changed announcement is
//! relayed at once, an unchanged one after half of that time, so that one lost call doesn't make a
//! standby drop an endpoint.

use ragwort_types::ClockTime;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::VmName;
use std::collections::HashMap;
use std::time::Duration;

/// The announcements relayed last, by standby and endpoint.
#[derive(Debug)]
pub struct RelayedAnnouncements {
    lost_after: Duration,
    relayed: HashMap<(VmName, InstanceName), RelayedAnnouncement>,
    last_pruned: ClockTime,
}

#[derive(Debug)]
struct RelayedAnnouncement {
    content: EndpointAnnouncement,
    at: ClockTime,
}

impl RelayedAnnouncements {
    /// Creates an empty record for standbys that drop an endpoint after `lost_after`.
    pub fn new(lost_after: Duration) -> Self {
        Self {
            lost_after,
            relayed: HashMap::new(),
            last_pruned: ClockTime::default(),
        }
    }

    /// Returns whether to relay this announcement to a standby; if so, records it as relayed.
    pub fn is_due(
        &mut self,
        now: ClockTime,
        standby: &VmName,
        announcement: &EndpointAnnouncement,
    ) -> bool {
        self.prune(now);
        let content = strip_volatile(announcement);
        let key = (standby.clone(), announcement.instance.clone());
        if let Some(relayed) = self.relayed.get(&key)
            && relayed.content == content
            && now.since(relayed.at) < self.lost_after / 2
        {
            return false;
        }
        self.relayed
            .insert(key, RelayedAnnouncement { content, at: now });
        true
    }

    /// Drops endpoints that no longer announce themselves here.
    fn prune(&mut self, now: ClockTime) {
        if now.since(self.last_pruned) < self.lost_after {
            return;
        }
        self.last_pruned = now;
        let lost = self.lost_after;
        self.relayed
            .retain(|_, relayed| now.since(relayed.at) < lost);
    }
}

/// Returns an announcement without the fields that change each time.
fn strip_volatile(announcement: &EndpointAnnouncement) -> EndpointAnnouncement {
    EndpointAnnouncement {
        sequence: 0,
        status: InstanceStatus {
            position: LogPosition::default(),
            ..announcement.status
        },
        ..announcement.clone()
    }
}
