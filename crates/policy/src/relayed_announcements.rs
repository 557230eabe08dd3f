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
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::VmName;
use std::collections::HashMap;
use std::time::Duration;

/// How many times as long as a standby an endpoint is remembered. Endpoints announce themselves to
/// any VM, so a VM may hear of one rarely; if it were forgotten meanwhile, the next repetition
/// would count as a change.
const KEPT_FACTOR: u32 = 8;

/// The maximum number of endpoints that are remembered. Announcements of others are relayed each
/// time.
const MAX_ENDPOINTS: usize = 16_384;

/// The announcements relayed last, by endpoint.
#[derive(Debug)]
pub struct RelayedAnnouncements {
    lost_after: Duration,
    endpoints: HashMap<(GroupName, InstanceName), RelayedEndpoint>,
    last_pruned: ClockTime,
}

#[derive(Debug)]
struct RelayedEndpoint {
    content: EndpointAnnouncement,
    heard: ClockTime,
    /// The standbys to which this content was relayed, and when.
    relayed: Vec<(VmName, ClockTime)>,
}

impl RelayedAnnouncements {
    /// Creates an empty record for standbys that drop an endpoint after `lost_after`.
    pub fn new(lost_after: Duration) -> Self {
        Self {
            lost_after,
            endpoints: HashMap::new(),
            last_pruned: ClockTime::default(),
        }
    }

    /// Records an announcement, and returns whether it differs from the endpoint's last one.
    pub fn record(&mut self, now: ClockTime, announcement: &EndpointAnnouncement) -> bool {
        self.prune(now);
        let is_full = self.endpoints.len() >= MAX_ENDPOINTS;
        let key = (announcement.group.clone(), announcement.instance.clone());
        if let Some(known) = self.endpoints.get_mut(&key) {
            known.heard = now;
            if announcement.repeats(&known.content) {
                return false;
            }
            known.content = announcement.clone();
            known.relayed.clear();
        } else if !is_full {
            let endpoint = RelayedEndpoint {
                content: announcement.clone(),
                heard: now,
                relayed: Vec::new(),
            };
            self.endpoints.insert(key, endpoint);
        }
        true
    }

    /// Returns whether to relay this announcement to a standby; if so, records it as relayed.
    pub fn is_due(
        &mut self,
        now: ClockTime,
        standby: &VmName,
        announcement: &EndpointAnnouncement,
    ) -> bool {
        self.record(now, announcement);
        let lost = self.lost_after;
        let key = (announcement.group.clone(), announcement.instance.clone());
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return true;
        };
        endpoint.relayed.retain(|(_, at)| now.since(*at) < lost / 2);
        if endpoint.relayed.iter().any(|(vm, _)| vm == standby) {
            return false;
        }
        endpoint.relayed.push((standby.clone(), now));
        true
    }

    /// Drops endpoints that no longer announce themselves here.
    fn prune(&mut self, now: ClockTime) {
        let kept = self.lost_after * KEPT_FACTOR;
        if now.since(self.last_pruned) < kept {
            return;
        }
        self.last_pruned = now;
        self.endpoints
            .retain(|_, endpoint| now.since(endpoint.heard) < kept);
    }
}
