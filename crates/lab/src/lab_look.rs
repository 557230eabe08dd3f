//! What the lab sees of a set: statuses, the primary, whether a group is whole.

use crate::lab_set::LOOK_PATIENCE;
use crate::lab_set::LOOK_PAUSE;
use crate::lab_set::LabSet;
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
    /// Returns the indices of a group's endpoints.
    pub fn endpoints_of(&self, group: &str) -> Vec<usize> {
        let indices = 0..self.endpoints.len();
        indices
            .filter(|index| self.endpoints[*index].group == group)
            .collect()
    }

    /// Returns an endpoint's status, if it answers.
    pub async fn endpoint_status(&self, index: usize) -> Option<InstanceStatus> {
        let look = ask_instance_status(self.endpoints[index].agent);
        timeout(LOOK_PATIENCE, look).await.ok()?.ok()
    }

    /// Returns the endpoint that is its group's primary of the highest term, if one answers.
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

    /// Returns a daemon's view of the system, if it answers.
    pub async fn daemon_status(&self, index: usize) -> Option<NodeStatus> {
        let look = ask_node_status(self.daemons[index].peers);
        timeout(LOOK_PATIENCE, look).await.ok()?.ok()
    }

    /// Waits until each instance of a group is counted, holds the primary's position and follows
    /// its term.
    ///
    /// # Errors
    ///
    /// Returns [`SetFault::NotWhole`] with what was seen last.
    pub async fn wait_until_whole(&self, group: &str, patience: Duration) -> Result<(), SetFault> {
        let end = Instant::now() + patience;
        loop {
            let seen = self.look_at_group(group).await;
            match seen {
                Ok(()) => return Ok(()),
                Err(seen) if Instant::now() >= end => {
                    return Err(SetFault::NotWhole(seen));
                }
                Err(_) => sleep(LOOK_PAUSE).await,
            }
        }
    }

    async fn look_at_group(&self, group: &str) -> Result<(), String> {
        let Some(primary) = self.find_primary(group).await else {
            return Err("no primary".to_owned());
        };
        let Some(wanted) = self.endpoint_status(primary).await else {
            return Err("primary silent".to_owned());
        };
        for index in self.endpoints_of(group) {
            let name = &self.endpoints[index].instance;
            match self.endpoint_status(index).await {
                None => return Err(format!("{name} silent")),
                Some(status) if status.position.covers(wanted.position) => {}
                Some(status) => return Err(format!("{name} at {}", status.position)),
            }
        }
        let Some(node) = self.daemon_status(0).await else {
            return Err(format!("{} silent", self.daemons[0].vm));
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
                return Err(format!("{name} not counted"));
            }
        }
        match record.instances.len() == self.endpoints_of(group).len() {
            true => Ok(()),
            false => Err(format!(
                "lost instances still counted: {:?}",
                record.instances
            )),
        }
    }
}
