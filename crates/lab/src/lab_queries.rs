//! Status queries of a [`LabSet`]: instances, the primary, and whether a group is whole.
//!
//! A group is whole when all its endpoints answer, hold the primary's log position, and are exactly
//! the instances that the control catalog lists for the group.

use crate::lab_set::LabSet;
use crate::lab_set::STATUS_POLL_INTERVAL;
use crate::lab_set::STATUS_TIMEOUT;
use crate::set_calls::SetFault;
use crate::set_calls::ask_instance_status;
use crate::set_calls::ask_node_status;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::NodeStatus;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

impl LabSet {
    /// Returns the indices of the endpoints of a group.
    pub fn endpoints_of(&self, group: &str) -> Vec<usize> {
        let indices = 0..self.endpoints.len();
        indices
            .filter(|index| self.endpoints[*index].group == group)
            .collect()
    }

    /// Returns the status of an endpoint, if it answers.
    pub async fn endpoint_status(&self, index: usize) -> Option<InstanceStatus> {
        let request = ask_instance_status(self.endpoints[index].agent);
        timeout(STATUS_TIMEOUT, request).await.ok()?.ok()
    }

    /// Returns the index of the group's primary: of the endpoints that report to be the primary,
    /// the one with the highest term. Returns `None` if none does.
    pub async fn find_primary(&self, group: &str) -> Option<usize> {
        let mut best = None;
        for index in self.endpoints_of(group) {
            if let Some(status) = self.endpoint_status(index).await
                && status.role == InstanceRole::Primary
            {
                best = best.max(Some((status.fenced_term, index)));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Returns a daemon's view of the deployment, if it answers.
    pub async fn daemon_status(&self, index: usize) -> Option<NodeStatus> {
        let request = ask_node_status(self.daemons[index].peers);
        timeout(STATUS_TIMEOUT, request).await.ok()?.ok()
    }

    /// Waits until a group is whole; see the [module](self).
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::NotWhole`] with the last reason if the group isn't whole after
    /// `max_wait`.
    pub async fn wait_until_whole(&self, group: &str, max_wait: Duration) -> Result<(), SetFault> {
        let end = Instant::now() + max_wait;
        loop {
            let seen = self.check_group(group).await;
            match seen {
                Ok(()) => return Ok(()),
                Err(seen) if Instant::now() >= end => {
                    return Err(SetFault::NotWhole(seen));
                }
                Err(_) => sleep(STATUS_POLL_INTERVAL).await,
            }
        }
    }

    /// Checks whether a group is whole; the error is the first reason why it isn't.
    async fn check_group(&self, group: &str) -> Result<(), String> {
        let Some(primary) = self.find_primary(group).await else {
            return Err("no primary".to_owned());
        };
        let Some(wanted) = self.endpoint_status(primary).await else {
            return Err("primary does not answer".to_owned());
        };
        for index in self.endpoints_of(group) {
            let name = &self.endpoints[index].instance;
            match self.endpoint_status(index).await {
                None => return Err(format!("{name} does not answer")),
                Some(status) if status.position.covers(wanted.position) => {}
                Some(status) => return Err(format!("{name} at {}", status.position)),
            }
        }
        let Some(node) = self.daemon_status(0).await else {
            return Err(format!("{} does not answer", self.daemons[0].vm));
        };
        let record = node
            .groups
            .iter()
            .find(|record| record.placement.group.as_str() == group);
        let Some(record) = record else {
            return Err("group not in the catalog".to_owned());
        };
        for index in self.endpoints_of(group) {
            let name = self.endpoints[index].instance.as_str();
            let counted = record.instances.iter().any(|known| known.as_str() == name);
            if !counted {
                return Err(format!("{name} not in the catalog"));
            }
        }
        match record.instances.len() == self.endpoints_of(group).len() {
            true => Ok(()),
            false => Err(format!(
                "lost instances still in the catalog: {:?}",
                record.instances
            )),
        }
    }
}
