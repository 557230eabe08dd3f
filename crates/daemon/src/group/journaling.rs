//! Recovers a group's journal at takeover and replicates it to the standbys.

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
use ragwort_types::JournalMark;
use ragwort_types::JournalRequest;
use ragwort_types::VmName;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How long a VM may take to hand over its copy of the journal.
///
/// A VM that is lost with the former leaseholder never answers, and the group serves nothing until
/// then; a live one answers within a few round trips.
const COPY_LIMIT: Duration = Duration::from_millis(300);

/// The pause before a standby that did not answer is tried again.
const APPEND_PAUSE: Duration = Duration::from_millis(20);

/// The pause before a confirmation without a known outcome is proposed again.
const CONFIRM_PAUSE: Duration = Duration::from_millis(20);

/// What is known while a journal is recovered.
#[derive(Debug, Default)]
pub(super) struct JournalRecovery {
    asked: BTreeSet<VmName>,
    sources: Vec<JournalSource>,
}

impl GroupTask {
    /// Asks every VM that may hold a copy of the journal for it.
    pub(super) fn begin_recovery(&mut self) {
        let placement = &self.record.placement;
        let mut holders: BTreeSet<VmName> = placement.standbys.iter().cloned().collect();
        if let Some(previous) = &self.previous {
            holders.insert(previous.leaseholder.clone());
            holders.extend(previous.standbys.iter().cloned());
        }
        holders.insert(self.context.settings.vm.clone());
        self.recovery.asked = holders.clone();
        for vm in holders {
            self.ask_for_copy(vm);
        }
    }

    fn ask_for_copy(&mut self, vm: VmName) {
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
                    links.call(address, COPY_LIMIT, call).await.ok()
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

    /// Takes a copy of the journal, and starts to serve when all that can come have come.
    pub(super) fn take_journal_copy(&mut self, vm: &VmName, source: Option<JournalSource>) {
        if self.journal.is_some() || !self.recovery.asked.remove(vm) {
            return;
        }
        self.recovery.sources.extend(source);
        let confirmed = self.record.journal_epoch;
        let recovered = recover_journal(&self.recovery.sources, confirmed, unix_millis());
        if !recovered.is_complete() && !self.recovery.asked.is_empty() {
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
        self.journal_since = self.context.clock.now();
        self.recovery = JournalRecovery::default();
    }

    /// Sends each standby what it lacks, one append at a time.
    pub(super) fn replicate_journal(&mut self) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        for vm in &self.record.placement.standbys {
            if self.appending.contains(vm) {
                continue;
            }
            let Some(append) = journal.next_append(vm) else {
                continue;
            };
            let member = self.view.borrow().copy.member(vm).cloned();
            let Some(member) = member else {
                continue;
            };
            self.appending.insert(vm.clone());
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
                    sleep(APPEND_PAUSE).await;
                }
                let report = JournalReport { vm, epoch, reply };
                let _ = notices.send(GroupNotice::Journal(report)).await;
            });
        }
    }

    /// Confirms the epoch in the agreed log once every standby holds the whole journal.
    ///
    /// Nothing that the journal must know is dispatched before. Otherwise a successor could not tell
    /// a whole copy from one that was left behind, and would either run a request twice or answer
    /// fresh requests as doubtful.
    pub(super) fn confirm_journal(&mut self) {
        let epoch = self.record.placement.epoch;
        let established = self
            .journal
            .as_ref()
            .is_some_and(GroupJournal::is_established);
        if self.journal_confirmed == epoch || self.confirming == Some(epoch) || !established {
            return;
        }
        self.confirming = Some(epoch);
        let mark = JournalMark {
            group: self.group.clone(),
            epoch,
        };
        self.propose(CatalogCommand::ConfirmJournal(mark), Duration::ZERO);
    }

    /// Takes the answer to a confirmation.
    pub(super) fn take_journal_mark(&mut self, mark: JournalMark, reply: &CommandReply) {
        if mark.epoch != self.record.placement.epoch {
            return;
        }
        match reply {
            CommandReply::Committed(CatalogOutcome::Done(_)) => {
                self.journal_confirmed = mark.epoch;
                self.start_journaled();
                self.answer_recorded();
            }
            // The group has another epoch by now, which the view shows soon.
            CommandReply::Committed(_) => {}
            CommandReply::NoLeader | CommandReply::Unknown => {
                self.propose(CatalogCommand::ConfirmJournal(mark), CONFIRM_PAUSE);
            }
        }
    }

    /// Says whether every standby of the confirmed present epoch holds a journal entry.
    pub(super) fn is_journaled(&self, entry: u64) -> bool {
        let confirmed = self.journal_confirmed == self.record.placement.epoch;
        let journal = self.journal.as_ref();
        confirmed && journal.is_some_and(|journal| journal.is_replicated(entry))
    }

    /// Takes a standby's answer; one that did not answer is sent the same again after a tick.
    pub(super) fn take_journal_report(&mut self, report: &JournalReport) {
        self.appending.remove(&report.vm);
        let (Some(journal), Some(reply)) = (&mut self.journal, report.reply) else {
            return;
        };
        journal.receive_reply(&report.vm, report.epoch, reply);
        self.start_journaled();
        self.answer_recorded();
    }

    /// Says whether a later leaseholder has read the journal, after which nothing may run here.
    pub(super) fn journal_is_deposed(&self) -> bool {
        self.journal.as_ref().is_some_and(GroupJournal::is_deposed)
    }
}
