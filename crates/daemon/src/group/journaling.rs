//! Recovers a group's journal at takeover and replicates it to the standbys.
//!
//! The journal holds request keys with their verdicts and the sessions' last write positions. A new
//! leaseholder collects the copies of the VMs of the present and the previous placement, merges
//! them, and sends every standby what it lacks. Once all standbys hold the whole journal, its epoch
//! is confirmed in the replicated log. Until then nothing that depends on the journal is
//! dispatched, so that a later leaseholder knows which copies are complete.

use super::GroupTask;
use super::intake::unix_millis;
use super::notice::GroupNotice;
use super::notice::JournalReport;
use crate::log_event;
use crate::standby::StandbyEvent;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::GroupJournal;
use ragwort_control::JournalSource;
use ragwort_control::recover_journal;
use ragwort_rpc::PeerApiClient;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::JournalConfirmation;
use ragwort_types::JournalRequest;
use ragwort_types::VmName;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// The time limit for reading another VM's copy of the journal.
///
/// A VM that failed together with the former leaseholder never answers, and the group serves
/// nothing until the limit has passed; a live VM answers within a few round trips.
const JOURNAL_COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause before an append to a standby that did not answer is repeated.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The pause before a confirmation with an unknown outcome is proposed again.
const CONFIRM_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The progress of a journal's recovery: the VMs whose copies are outstanding, and the copies
/// received.
#[derive(Debug, Default)]
pub(super) struct JournalRecovery {
    awaited: BTreeSet<VmName>,
    sources: Vec<JournalSource>,
}

impl GroupTask {
    /// Requests a copy of the journal from every VM that may hold one.
    pub(super) fn begin_recovery(&mut self) {
        let placement = &self.record.placement;
        let mut holders: BTreeSet<VmName> = placement.standbys.iter().cloned().collect();
        if let Some(previous) = &self.previous {
            holders.insert(previous.leaseholder.clone());
            holders.extend(previous.standbys.iter().cloned());
        }
        holders.insert(self.context.settings.vm.clone());
        self.recovery.awaited = holders.clone();
        for vm in holders {
            self.request_journal_copy(vm);
        }
    }

    /// Requests one VM's copy of the journal; this VM's own copy comes from its standby task.
    fn request_journal_copy(&mut self, vm: VmName) {
        let request = JournalRequest {
            to: vm.clone(),
            group: self.group.clone(),
            epoch: self.record.placement.epoch,
        };
        let address = self
            .view
            .borrow()
            .copy
            .member(&vm)
            .map(|member| member.peer_address);
        let own = vm == self.context.settings.vm;
        let links = self.context.links.clone();
        let standby = self.context.standby.clone();
        let notices = self.notices.clone();
        self.children.spawn(async move {
            let copy = match address {
                _ if own => {
                    let (reply, answer) = oneshot::channel();
                    let _ = standby.send(StandbyEvent::Read(request, reply)).await;
                    answer.await.ok()
                }
                Some(address) => {
                    let call =
                        |client: Arc<WsClient>| async move { client.read_journal(request).await };
                    links.call(address, JOURNAL_COPY_TIMEOUT, call).await.ok()
                }
                None => None,
            };
            let source = copy.map(|copy| JournalSource {
                vm: vm.clone(),
                copy,
            });
            let _ = notices.send(GroupNotice::JournalCopy(vm, source)).await;
        });
    }

    /// Adds a copy of the journal, and resumes the journal as soon as the copies are complete or
    /// none is outstanding.
    pub(super) fn handle_journal_copy(&mut self, vm: &VmName, source: Option<JournalSource>) {
        if self.journal.is_some() || !self.recovery.awaited.remove(vm) {
            return;
        }
        self.recovery.sources.extend(source);
        let confirmed = self.record.journal_epoch;
        let recovered = recover_journal(&self.recovery.sources, confirmed, unix_millis());
        if !recovered.is_complete() && !self.recovery.awaited.is_empty() {
            return;
        }
        log_event!(
            Level::Info,
            "journal_recovered",
            group = self.group,
            epoch = self.record.placement.epoch,
            confirmed = confirmed,
            complete = recovered.is_complete(),
            copies = self.recovery.sources.len(),
        );
        self.journal = Some(GroupJournal::resume(recovered, &self.record.placement));
        self.journal_recovered_at = self.context.clock.now();
        self.recovery = JournalRecovery::default();
    }

    /// Sends each standby the entries that it lacks, with one append in flight per standby.
    pub(super) fn replicate_journal(&mut self) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        for vm in &self.record.placement.standbys {
            if self.appends_in_flight.contains(vm) {
                continue;
            }
            let Some(append) = journal.next_append(vm) else {
                continue;
            };
            let member = self.view.borrow().copy.member(vm).cloned();
            let Some(member) = member else {
                continue;
            };
            self.appends_in_flight.insert(vm.clone());
            let links = self.context.links.clone();
            let notices = self.notices.clone();
            let limit = Duration::from_millis(self.context.settings.timing.lease_ms / 2);
            let vm = vm.clone();
            self.children.spawn(async move {
                let epoch = append.epoch;
                let call =
                    |client: Arc<WsClient>| async move { client.append_journal(append).await };
                let reply = links.call(member.peer_address, limit, call).await.ok();
                if reply.is_none() {
                    sleep(APPEND_RETRY_PAUSE).await;
                }
                let report = JournalReport { vm, epoch, reply };
                let _ = notices.send(GroupNotice::Journal(report)).await;
            });
        }
    }

    /// Confirms the epoch in the replicated log once every standby holds the whole journal.
    ///
    /// No request that must be journaled is dispatched earlier. Otherwise a successor could not
    /// distinguish a complete copy from an outdated one, and would either run a request twice or
    /// report new requests as in doubt.
    pub(super) fn confirm_journal(&mut self) {
        let epoch = self.record.placement.epoch;
        let established = self
            .journal
            .as_ref()
            .is_some_and(GroupJournal::is_established);
        if self.confirmed_journal_epoch == epoch
            || self.confirming_epoch == Some(epoch)
            || !established
        {
            return;
        }
        self.confirming_epoch = Some(epoch);
        let confirmation = JournalConfirmation {
            group: self.group.clone(),
            epoch,
        };
        self.propose(CatalogCommand::ConfirmJournal(confirmation), Duration::ZERO);
    }

    /// Handles the outcome of a proposed confirmation.
    pub(super) fn handle_journal_confirmation(
        &mut self,
        confirmation: JournalConfirmation,
        reply: &CommandReply,
    ) {
        if confirmation.epoch != self.record.placement.epoch {
            return;
        }
        match reply {
            CommandReply::Committed(CatalogOutcome::Done(_)) => {
                self.confirmed_journal_epoch = confirmation.epoch;
                self.start_journaled();
                self.answer_recorded();
            }
            // The group has a later epoch, which the next catalog view shows.
            CommandReply::Committed(_) => {}
            CommandReply::NoLeader | CommandReply::Unknown => {
                self.propose(
                    CatalogCommand::ConfirmJournal(confirmation),
                    CONFIRM_RETRY_PAUSE,
                );
            }
        }
    }

    /// Returns whether the present epoch is confirmed and every standby holds a journal entry.
    pub(super) fn is_journaled(&self, entry: u64) -> bool {
        let confirmed = self.confirmed_journal_epoch == self.record.placement.epoch;
        let journal = self.journal.as_ref();
        confirmed && journal.is_some_and(|journal| journal.is_replicated(entry))
    }

    /// Handles a standby's answer to an append. Without an answer, the same entries are sent again.
    pub(super) fn handle_journal_report(&mut self, report: &JournalReport) {
        self.appends_in_flight.remove(&report.vm);
        let (Some(journal), Some(reply)) = (&mut self.journal, report.reply) else {
            return;
        };
        journal.receive_reply(&report.vm, report.epoch, reply);
        self.start_journaled();
        self.answer_recorded();
    }

    /// Returns whether a later leaseholder has read the journal, after which nothing may run here.
    pub(super) fn journal_is_deposed(&self) -> bool {
        self.journal.as_ref().is_some_and(GroupJournal::is_deposed)
    }
}
