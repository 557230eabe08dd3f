//! Runs the group's promotion state machine: sends its commands to the control VMs and its orders
//! to the agents, and feeds the answers back.
//!
//! This task learns the outcome of its own commands before the next catalog delta arrives and
//! applies it to its record at once: a promotion takes milliseconds, and the heartbeat that brings
//! the delta has a longer interval.

use super::GroupContext;
use super::GroupTask;
use super::notice::AgentOrder;
use super::notice::GroupNotice;
use super::notice::OrderReport;
use crate::log_event;
use crate::peers::LinkError;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::AgentOutcome;
use ragwort_control::ClockTime;
use ragwort_control::FollowOrder;
use ragwort_control::GroupPromotion;
use ragwort_control::PromotionAction;
use ragwort_control::PromotionActions;
use ragwort_control::PromotionInput;
use ragwort_control::PromotionState;
use ragwort_control::WriteTicket;
use ragwort_rpc::AgentApiClient;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::DoubtCause;
use ragwort_types::FenceReply;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RequestVerdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The time limit of an agent's answer to an order. A running agent answers in milliseconds; one
/// that is reached across failure domains and is just starting gets two orders of magnitude more.
const AGENT_ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// The timing of the promotion in progress.
#[derive(Debug, Default)]
struct PhaseTimes {
    started: Option<ClockTime>,
    phase_began: Option<ClockTime>,
    awaiting_first_write: bool,
}

/// The promotion state machine and the work that is pending around it.
pub(super) struct PromotionDriver {
    machine: GroupPromotion,
    pending_actions: PromotionActions,
    /// When the state machine was resumed.
    pub(super) resumed_at: ClockTime,
    phases: PhaseTimes,
    /// The latest catalog revision that is known from the outcome of an own command.
    known_revision: CatalogRevision,
    /// Whether a change of the instance set has been proposed and its outcome is open.
    pub(super) set_change_pending: bool,
    /// Whether this leaseholder could not act at some time since the state machine was resumed, so
    /// that it must be resumed again.
    must_resume: bool,
}

impl PromotionDriver {
    /// Resumes the state machine from the group's record.
    pub(super) fn new(context: &GroupContext, record: &GroupRecord) -> Self {
        let now = context.clock.now();
        let (machine, pending_actions) = GroupPromotion::resume(record, now);
        Self {
            machine,
            pending_actions,
            resumed_at: now,
            phases: PhaseTimes::default(),
            known_revision: CatalogRevision(0),
            set_change_pending: false,
            must_resume: false,
        }
    }
}

impl PromotionDriver {
    /// Returns whether nothing is due before [`retry_at`](Self::retry_at) without an event.
    pub(super) fn is_settled(&self) -> bool {
        self.has_primary() && self.pending_actions.is_empty() && !self.must_resume
    }

    /// Returns when the state machine is due, if it is.
    pub(super) fn retry_at(&self) -> Option<ClockTime> {
        self.machine.retry_at()
    }

    /// Returns whether the present term has a recorded primary.
    pub(super) fn has_primary(&self) -> bool {
        self.machine.state() == PromotionState::Serving
    }
}

impl GroupTask {
    /// Returns whether the group has a primary to which statements may be dispatched.
    pub(super) fn is_serving(&self) -> bool {
        self.promotion.has_primary() && self.record.primary.is_some() && self.journal.is_some()
    }

    /// Applies the catalog's record unless it is older than the outcome of this task's own
    /// commands.
    ///
    /// The answer to an own command can overtake a delta. If the instance set reverted to an
    /// earlier, smaller one, fewer instances would count as a majority.
    pub(super) fn adopt_record(&mut self, record: GroupRecord, revision: CatalogRevision) {
        if revision < self.promotion.known_revision {
            return;
        }
        self.replace_record(record.clone());
        let input = PromotionInput::RecordChanged(Box::new(record));
        self.step_promotion(input);
    }

    /// Replaces the record and abandons the writes that it makes uncertain.
    fn replace_record(&mut self, record: GroupRecord) {
        if self.record == record {
            return;
        }
        self.record = record;
        let abandoned = self.quorum.adopt_record(&self.record);
        self.abandon_writes(&abandoned);
        self.refresh_all_endpoints();
    }

    /// Replaces the record by one that an own command has changed, and reports it to the state
    /// machine.
    fn apply_own_record(&mut self, record: GroupRecord) {
        self.replace_record(record.clone());
        self.step_promotion(PromotionInput::RecordChanged(Box::new(record)));
    }

    /// Applies the state machine's view of the term, which may be ahead of the catalog's copy.
    fn adopt_machine_record(&mut self) {
        let known = self.promotion.machine.record();
        let record = GroupRecord {
            term: known.term,
            term_epoch: known.term_epoch,
            primary: known.primary.clone(),
            start: known.start,
            ..self.record.clone()
        };
        self.replace_record(record);
        self.refresh_all_endpoints();
    }

    /// Stops serving the present term: nothing is dispatched, and none of its writes is
    /// acknowledged any more.
    fn suspend_term(&mut self) {
        self.serving_since = None;
        let abandoned = self.quorum.suspend();
        self.abandon_writes(&abandoned);
        self.refresh_all_endpoints();
    }

    /// Reports writes that no majority is known to hold as in doubt.
    pub(super) fn abandon_writes(&mut self, abandoned: &[WriteTicket]) {
        for write in abandoned {
            if let Some(ticket) = self.unconfirmed_writes.remove(write) {
                self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            }
        }
    }

    /// Reports the instances that are fenced at a later term to the state machine.
    pub(super) fn handle_later_term(&mut self, later: GroupTerm) {
        let statuses = self.record.instances.iter().filter_map(|instance| {
            let status = self.quorum.status(instance)?;
            (status.fenced_term == later).then(|| (instance.clone(), *status))
        });
        for (instance, status) in statuses.collect::<Vec<_>>() {
            self.step_promotion(PromotionInput::StatusReported(instance, status));
        }
    }

    /// Carries out what is due: retries, the formation of a new group, and changes of the instance
    /// set.
    pub(super) fn tick_promotion(&mut self) {
        if !self.may_act() {
            self.promotion.must_resume = true;
            return;
        }
        self.resume_after_lapse();
        let pending_actions = std::mem::take(&mut self.promotion.pending_actions);
        self.execute_actions(pending_actions);
        let now = self.context.clock.now();
        if self
            .promotion
            .machine
            .retry_at()
            .is_some_and(|due| now >= due)
        {
            self.step_promotion(PromotionInput::Tick);
        }
        match self.promotion.machine.state() {
            PromotionState::Forming => self.form_group(now),
            PromotionState::Serving => {
                self.replace_leaving_primary();
                self.change_instance_set();
                self.report_instance_statuses();
            }
            _ => {}
        }
    }

    /// Resumes the state machine from the catalog after a time in which this leaseholder could not
    /// act.
    ///
    /// Orders that were due in that time were not given. A renewed lease comes only together with
    /// the present catalog, which shows how far a promotion had come.
    fn resume_after_lapse(&mut self) {
        if !self.promotion.must_resume {
            return;
        }
        let known_revision = self.promotion.known_revision;
        let set_change_pending = self.promotion.set_change_pending;
        self.promotion = PromotionDriver {
            known_revision,
            set_change_pending,
            ..PromotionDriver::new(&self.context, &self.record)
        };
        self.refresh_all_endpoints();
    }

    /// Returns whether this leaseholder may act: its lease is valid, its journal is recovered, and
    /// no handover is in progress.
    pub(super) fn may_act(&self) -> bool {
        let now = self.context.clock.now();
        self.may_lead(now) && self.journal.is_some() && !self.handing_over
    }

    /// Passes an input to the state machine and carries out its actions.
    pub(super) fn step_promotion(&mut self, input: PromotionInput) {
        let now = self.context.clock.now();
        let before = self.promotion.machine.state();
        let actions = self.promotion.machine.handle(now, input);
        let after = self.promotion.machine.state();
        if before != after {
            self.finish_phase(before, after);
            self.refresh_all_endpoints();
        }
        self.execute_actions(actions);
    }

    /// Starts a promotion because the primary of the present term is suspected to have failed.
    pub(super) fn suspect_primary(&mut self, last_answer: ClockTime) {
        if self.promotion.machine.state() != PromotionState::Serving {
            return;
        }
        self.promotion.phases = PhaseTimes {
            started: Some(last_answer),
            phase_began: Some(last_answer),
            awaiting_first_write: false,
        };
        let term = self.promotion.machine.term();
        self.step_promotion(PromotionInput::Suspected(term));
    }

    /// Logs the phase of a promotion that ends with a change of the state.
    fn finish_phase(&mut self, before: PromotionState, after: PromotionState) {
        let phase = match before {
            PromotionState::Serving => "detect",
            PromotionState::Beginning => "commit",
            PromotionState::Fencing => "fence",
            PromotionState::Promoting => "promote",
            PromotionState::Recording => "record",
            PromotionState::Forming | PromotionState::Stopped => return,
        };
        self.log_phase(phase);
        self.promotion.phases.awaiting_first_write = after == PromotionState::Serving;
    }

    /// Logs a phase's duration and the time since the failed primary's last answer.
    fn log_phase(&mut self, phase: &str) {
        let now = self.context.clock.now();
        let phases = &mut self.promotion.phases;
        let began = phases.phase_began.replace(now).unwrap_or(now);
        let total = now.since(phases.started.unwrap_or(now));
        log_event!(
            Level::Info,
            "promotion_phase",
            group = self.group,
            term = self.promotion.machine.term(),
            phase = phase,
            ms = now.since(began).as_millis(),
            total_ms = total.as_millis(),
        );
    }

    /// Logs the end of the outage when the first write of the new term is acknowledged.
    pub(super) fn log_first_write(&mut self) {
        if self.promotion.phases.awaiting_first_write {
            self.promotion.phases.awaiting_first_write = false;
            self.log_phase("first_write");
        }
    }

    fn execute_actions(&mut self, actions: PromotionActions) {
        // A successor may lead the group by now, in a later epoch.
        if !self.may_act() {
            self.promotion.must_resume = true;
            return;
        }
        for action in actions {
            match action {
                PromotionAction::ProposeTerm(start) => {
                    self.propose(CatalogCommand::BeginTerm(start), Duration::ZERO);
                }
                PromotionAction::ProposePrimary(record) => {
                    self.propose(CatalogCommand::RecordPrimary(record), Duration::ZERO);
                }
                PromotionAction::Fence(instance, term) => {
                    self.order_agent(AgentOrder::Fence, instance, term, None);
                }
                PromotionAction::Promote(instance, term) => {
                    self.order_agent(AgentOrder::Promote, instance, term, None);
                }
                PromotionAction::Follow(order) => self.order_follow(order),
                PromotionAction::Serve(instance, term) => {
                    log_event!(
                        Level::Info,
                        "serving",
                        group = self.group,
                        primary = instance,
                        term = term,
                    );
                    self.serving_since = Some(self.context.clock.now());
                    self.adopt_machine_record();
                }
                PromotionAction::Suspend => self.suspend_term(),
                PromotionAction::Stop => {
                    self.suspend_term();
                    self.handing_over = true;
                }
            }
        }
    }

    /// Proposes a command to the control VMs after a pause.
    pub(super) fn propose(&mut self, command: CatalogCommand, pause: Duration) {
        let proposer = self.context.proposer();
        let notices = self.notices.clone();
        self.children.spawn(async move {
            sleep(pause).await;
            let reply = proposer.propose(&command).await;
            let notice = GroupNotice::Command(Box::new(command), reply);
            let _ = notices.send(notice).await;
        });
    }

    /// Handles the outcome of a command, and applies its change without waiting for the next delta.
    pub(super) fn handle_command_reply(&mut self, command: CatalogCommand, reply: CommandReply) {
        let done = match &reply {
            CommandReply::Committed(CatalogOutcome::Done(revision)) => Some(*revision),
            _ => None,
        };
        if let Some(revision) = done {
            let known = &mut self.promotion.known_revision;
            *known = (*known).max(revision);
        }
        let mut record = self.record.clone();
        match command {
            CatalogCommand::BeginTerm(start) => {
                let input = PromotionInput::TermAnswered(start.term, reply);
                if done.is_some() && start.term > record.term {
                    record.term = start.term;
                    record.term_epoch = start.epoch;
                    record.primary = None;
                    self.replace_record(record);
                }
                self.step_promotion(input);
            }
            CatalogCommand::RecordPrimary(primary) => {
                let input = PromotionInput::RecordAnswered(primary.term, reply);
                if done.is_some() && primary.term == record.term {
                    record.primary = Some(primary.primary);
                    record.start = primary.start;
                    self.replace_record(record);
                }
                self.step_promotion(input);
            }
            CatalogCommand::AddInstance(change) => {
                if done.is_some() && !record.instances.contains(&change.instance) {
                    record.instances.push(change.instance.clone());
                    self.apply_own_record(record);
                }
                self.finish_set_change(CatalogCommand::AddInstance(change), &reply);
            }
            CatalogCommand::RemoveInstance(change) => {
                if done.is_some() {
                    record.instances.retain(|name| *name != change.instance);
                    self.apply_own_record(record);
                }
                self.finish_set_change(CatalogCommand::RemoveInstance(change), &reply);
            }
            CatalogCommand::PlaceGroup(_) => self.handle_handover_reply(&reply),
            CatalogCommand::ConfirmJournal(confirmation) => {
                self.handle_journal_confirmation(confirmation, &reply)
            }
            CatalogCommand::ApplyContract(_)
            | CatalogCommand::ApplyDocument(_)
            | CatalogCommand::UpdateDocument(_)
            | CatalogCommand::IssueToken(_)
            | CatalogCommand::RecordEndpoints(_)
            | CatalogCommand::AdmitMember(_)
            | CatalogCommand::RemoveMember(_) => {}
        }
    }

    /// Reports every instance's status to the state machine, which orders those that don't follow
    /// the primary to do so.
    fn report_instance_statuses(&mut self) {
        let names = self
            .pool
            .endpoints()
            .map(|entry| entry.announcement.instance.clone());
        for instance in names.collect::<Vec<_>>() {
            if let Some(status) = self.quorum.status(&instance).copied() {
                self.step_promotion(PromotionInput::StatusReported(instance, status));
            }
        }
    }

    /// Orders an instance to follow the primary, if the primary's address is known.
    fn order_follow(&mut self, order: FollowOrder) {
        let Some(primary) = self.pool.endpoint(&order.primary) else {
            return;
        };
        let address = primary.announcement.agent_address;
        let target = Some((order.start, address));
        self.order_agent(AgentOrder::Follow, order.instance, order.term, target);
    }

    /// Sends an order to an instance's agent and reports the answer as a notice.
    fn order_agent(
        &mut self,
        order: AgentOrder,
        instance: InstanceName,
        term: GroupTerm,
        target: Option<(LogPosition, SocketAddr)>,
    ) {
        let entry = self.pool.endpoint(&instance);
        let address = entry.map(|entry| entry.announcement.agent_address);
        let links = self.context.links.clone();
        let notices = self.notices.clone();
        let expected = self.expected_identity(&instance);
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move {
                match (order, target) {
                    (AgentOrder::Promote, _) => client.promote(term).await,
                    (AgentOrder::Follow, Some((start, primary))) => {
                        client.follow(term, start, primary).await
                    }
                    (AgentOrder::Fence | AgentOrder::Follow, _) => client.fence(term).await,
                }
            };
            let reply = match address {
                Some(address) => {
                    let answer = links.call_instance(address, &expected, AGENT_ORDER_TIMEOUT, call);
                    answer.await
                }
                None => Err(LinkError::Unreachable),
            };
            let report = OrderReport {
                order,
                instance,
                term,
                outcome: agent_outcome(reply),
            };
            let _ = notices.send(GroupNotice::Order(report)).await;
        });
    }

    /// Passes an agent's answer to an order on to the state machine.
    pub(super) fn handle_order_report(&mut self, report: OrderReport) {
        let OrderReport {
            order,
            instance,
            term,
            outcome,
        } = report;
        let input = match order {
            AgentOrder::Fence => PromotionInput::FenceAnswered(instance, term, outcome),
            AgentOrder::Promote => PromotionInput::PromoteAnswered(instance, term, outcome),
            AgentOrder::Follow => PromotionInput::FollowAnswered(instance, term, outcome),
        };
        self.step_promotion(input);
    }
}

/// Classifies an agent's answer by whether the order may have taken effect.
fn agent_outcome(reply: Result<FenceReply, LinkError>) -> AgentOutcome {
    match reply {
        Ok(reply) => AgentOutcome::Answered(reply),
        Err(LinkError::Unreachable | LinkError::Exhausted) => AgentOutcome::NotSent,
        Err(LinkError::Lost | LinkError::Rejected(_)) => AgentOutcome::Unknown,
    }
}
