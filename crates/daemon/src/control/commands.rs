//! Handles catalog commands from their proposal to the outcome of their committed entry.
//!
//! A follower forwards a command to the leader, but not one that was forwarded already. A command
//! is answered as unknown if this VM loses the leadership before the entry is committed, or if
//! another leader's entry was committed at its index: it may still be committed, or may have been
//! proposed again.

use super::ControlTask;
use super::decode_command;
use super::encode_command;
use super::event::ControlFault;
use super::event::WaitingCommand;
use crate::log_event;
use crate::peers::LinkError;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::EntryMark;
use ragwort_rpc::PeerApiClient;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The maximum number of commands that wait to be committed. At the system's size expected after
/// two years, the takeovers after the loss of a failure domain propose some hundred at once.
const MAX_UNCOMMITTED_COMMANDS: usize = 2_048;

impl ControlTask {
    /// Proposes a command as leader, or forwards it to the leader.
    pub(super) fn handle_command(
        &mut self,
        request: CommandRequest,
        reply: oneshot::Sender<CommandReply>,
    ) {
        if self.node.is_leader() {
            // With fewer voters than configured, the loss of as many disks as the system must
            // survive could lose an accepted configuration.
            let document = matches!(
                request.command,
                CatalogCommand::ApplyDocument(_) | CatalogCommand::UpdateDocument(_)
            );
            if document && self.node.voters().len() < self.settings.least_voters() {
                let _ = reply.send(CommandReply::NoLeader);
                return;
            }
            self.propose(&request.command, Some(reply));
            return;
        }
        let Some(address) = self.leader_address().filter(|_| !request.forwarded) else {
            let _ = reply.send(CommandReply::NoLeader);
            return;
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms * 2);
        self.children.spawn(async move {
            let forwarded = CommandRequest {
                forwarded: true,
                command: request.command,
            };
            let call = |client: Arc<WsClient>| async move { client.propose(forwarded).await };
            let answer = match links.call(address, limit, call).await {
                Ok(answer) => answer,
                Err(LinkError::Unreachable | LinkError::Exhausted) => CommandReply::NoLeader,
                Err(LinkError::Lost | LinkError::Rejected(_)) => CommandReply::Unknown,
            };
            let _ = reply.send(answer);
        });
    }

    /// Proposes a command to the replicated log; its entry's outcome goes to `reply`, if there is
    /// one.
    pub(super) fn propose(
        &mut self,
        command: &CatalogCommand,
        reply: Option<oneshot::Sender<CommandReply>>,
    ) {
        // Without a limit, a leader that is cut off would accept commands until its memory is full.
        if self.waiting_commands.len() >= MAX_UNCOMMITTED_COMMANDS {
            if let Some(reply) = reply {
                let _ = reply.send(CommandReply::NoLeader);
            }
            return;
        }
        match self.node.propose(encode_command(command)) {
            Ok(mark) => {
                if reply.is_none() {
                    self.own_proposals.insert(mark.index.0);
                }
                self.waiting_commands
                    .insert(mark.index.0, WaitingCommand { mark, reply });
            }
            Err(_) => {
                if let Some(reply) = reply {
                    let _ = reply.send(CommandReply::NoLeader);
                }
            }
        }
    }

    /// Applies a committed entry to the catalog and answers the command that waits for it.
    pub(super) fn apply_entry(
        &mut self,
        mark: EntryMark,
        data: Option<&str>,
    ) -> Result<(), ControlFault> {
        let waiting = self.waiting_commands.remove(&mark.index.0);
        self.own_proposals.remove(&mark.index.0);
        let Some(text) = data else {
            answer_command(waiting, mark, None);
            return Ok(());
        };
        let command = decode_command(text)
            .map_err(|error| ControlFault::Damaged(format!("entry {}: {error}", mark.index.0)))?;
        let revision = CatalogRevision(mark.index.0);
        let outcome = self.catalog.apply(revision, &command);
        if matches!(command, CatalogCommand::AdmitMember(_)) {
            self.learn_members();
        }
        log_event!(
            Level::Info,
            "committed",
            revision = revision,
            command = name_command(&command),
            outcome = name_outcome(&outcome),
        );
        self.log_document(revision, &command);
        answer_command(waiting, mark, Some(CommandReply::Committed(outcome)));
        Ok(())
    }

    /// Logs a committed document, from which an operator learns at which revision a version came
    /// into force.
    fn log_document(&self, revision: CatalogRevision, command: &CatalogCommand) {
        let (document, removed) = match command {
            CatalogCommand::ApplyDocument(document) => (&**document, 0),
            CatalogCommand::UpdateDocument(update) => (&update.changed, update.removed.len()),
            _ => return,
        };
        let in_force = self.catalog.document().map(|held| held.version);
        log_event!(
            Level::Info,
            "document_committed",
            revision = revision,
            version = document.version,
            in_force = in_force.unwrap_or_default(),
            changed = document.contracts.len(),
            removed = removed,
        );
    }
}

fn answer_command(waiting: Option<WaitingCommand>, mark: EntryMark, reply: Option<CommandReply>) {
    let Some(waiting) = waiting else {
        return;
    };
    let Some(sender) = waiting.reply else {
        return;
    };
    // If another leader's entry was committed at the command's index, the command was not committed
    // there, but it may have been proposed again.
    let own = waiting.mark == mark;
    let _ = sender.send(reply.filter(|_| own).unwrap_or(CommandReply::Unknown));
}

fn name_command(command: &CatalogCommand) -> &'static str {
    match command {
        CatalogCommand::ApplyContract(_) => "apply_contract",
        CatalogCommand::ApplyDocument(_) => "apply_document",
        CatalogCommand::UpdateDocument(_) => "update_document",
        CatalogCommand::IssueToken(_) => "issue_token",
        CatalogCommand::RecordEndpoints(_) => "record_endpoints",
        CatalogCommand::AdmitMember(_) => "admit_member",
        CatalogCommand::RemoveMember(_) => "remove_member",
        CatalogCommand::PlaceGroup(_) => "place_group",
        CatalogCommand::AddInstance(_) => "add_instance",
        CatalogCommand::RemoveInstance(_) => "remove_instance",
        CatalogCommand::BeginTerm(_) => "begin_term",
        CatalogCommand::RecordPrimary(_) => "record_primary",
        CatalogCommand::ConfirmJournal(_) => "confirm_journal",
    }
}

fn name_outcome(outcome: &CatalogOutcome) -> &'static str {
    match outcome {
        CatalogOutcome::ContractAccepted(_) => "accepted",
        CatalogOutcome::ContractConflict(_) => "conflict",
        CatalogOutcome::ContractUnknown => "unknown_customer",
        CatalogOutcome::ContractFaulty(_) => "faulty",
        CatalogOutcome::ChangeIdReused => "change_id_reused",
        CatalogOutcome::DocumentAccepted(_) => "accepted",
        CatalogOutcome::DocumentInvalid(_) => "invalid",
        CatalogOutcome::Done(_) => "done",
        CatalogOutcome::Stale => "stale",
    }
}
