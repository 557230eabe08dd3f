//! Transfers the leadership of the replicated log before this VM stops.

use super::ControlTask;
use crate::log_event;
use log::Level;
use ragwort_types::VmName;
use tokio::sync::oneshot;

impl ControlTask {
    /// As leader, begins to transfer the leadership to a control VM that isn't stopping itself;
    /// otherwise replies at once.
    pub(super) fn begin_transfer(&mut self, reply: oneshot::Sender<()>) {
        let catalog = &self.catalog;
        let stays = |vm: &VmName| catalog.member(vm).is_some_and(|member| !member.draining);
        match self.node.transfer_leadership(stays) {
            Some(successor) => {
                log_event!(
                    Level::Info,
                    "leadership_transfer_started",
                    successor = successor.vm,
                    term = self.node.term(),
                );
                self.waiting_transfers.push(reply);
            }
            // Without a leadership to transfer, or anybody to take it, nothing is waited for.
            None => drop(reply.send(())),
        }
    }

    /// Replies to those that wait for a transfer once another VM is known to lead, or the transfer
    /// has failed.
    ///
    /// Until then this VM is needed: its vote may complete the successor's majority.
    pub(super) fn finish_transfer(&mut self) {
        if self.waiting_transfers.is_empty() || self.node.is_transferring_leadership() {
            return;
        }
        let Some(leader) = self.node.leader() else {
            return;
        };
        match leader == self.node.id() {
            true => log_event!(Level::Warn, "leadership_transfer_failed", vm = leader.vm),
            false => log_event!(Level::Info, "leadership_transferred", leader = leader.vm),
        }
        for reply in self.waiting_transfers.drain(..) {
            // The receiver is gone if it has waited for too long.
            let _ = reply.send(());
        }
    }
}
