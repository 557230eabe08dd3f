//! Which announcements of endpoints are passed on to standbys.
//!
//! # The load it answers
//!
//! A thousand endpoints announce themselves each second, to any VM, and nearly always say the same again.
//!
//! # Without it
//!
//! Each announcement is passed on to a leaseholder and two standbys. The calls to standbys, which need it
//! only when they take the group over, cost control VMs as much as all that callers ask.
//!
//! # Grounds for its figures
//!
//! A standby forgets an endpoint that it hasn't heard for a given time. It hears the same again after half
//! of that, so that one lost call makes it forget nobody.

use ragwort_types::ClockTime;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::VmName;
use std::collections::HashMap;
use std::time::Duration;

/// What was passed on last, by standby and endpoint.
#[derive(Debug)]
pub struct RelayedAnnouncements {
    lost_after: Duration,
    passed: HashMap<(VmName, InstanceName), PassedAnnouncement>,
    pruned: ClockTime,
}

#[derive(Debug)]
struct PassedAnnouncement {
    content: EndpointAnnouncement,
    at: ClockTime,
}

impl RelayedAnnouncements {
    /// Creates an empty memory for standbys that forget an endpoint after `lost_after`.
    pub fn new(lost_after: Duration) -> Self {
        Self {
            lost_after,
            passed: HashMap::new(),
            pruned: ClockTime::default(),
        }
    }

    /// Says whether a standby is to hear this announcement; if so it is taken as passed on.
    pub fn is_due(
        &mut self,
        now: ClockTime,
        standby: &VmName,
        announcement: &EndpointAnnouncement,
    ) -> bool {
        self.prune(now);
        let content = strip_changing(announcement);
        let key = (standby.clone(), announcement.instance.clone());
        if let Some(passed) = self.passed.get(&key)
            && passed.content == content
            && now.since(passed.at) < self.lost_after / 2
        {
            return false;
        }
        self.passed
            .insert(key, PassedAnnouncement { content, at: now });
        true
    }

    /// Forgets endpoints that announce themselves no more, or elsewhere.
    fn prune(&mut self, now: ClockTime) {
        if now.since(self.pruned) < self.lost_after {
            return;
        }
        self.pruned = now;
        let lost = self.lost_after;
        self.passed.retain(|_, passed| now.since(passed.at) < lost);
    }
}

/// Returns an announcement without what changes each time.
fn strip_changing(announcement: &EndpointAnnouncement) -> EndpointAnnouncement {
    EndpointAnnouncement {
        sequence: 0,
        status: InstanceStatus {
            position: LogPosition::default(),
            ..announcement.status
        },
        ..announcement.clone()
    }
}
