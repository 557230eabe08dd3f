//! Drives the group's promotion machine: commands to control, orders to agents, and its own record.
//!
//! This task knows the outcome of its own commands before the next delta of the catalog arrives,
//! and adopts it at once: a promotion takes milliseconds, a heartbeat interval is a multiple.

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

/// How long an agent may take to answer an order. An agent that is up answers in milliseconds; one
/// that is asked across domains and just starts up gets two orders of magnitude more.
const ORDER_LIMIT: Duration = Duration::from_millis(250);

/// When the phases of the running promotion ended.
#[derive(Debug, Default)]
struct PhaseTimes {
    started: Option<ClockTime>,
    phase_began: Option<ClockTime>,
    awaiting_first_write: bool,
}

/// The promotion machine and what is due around it.
pub(super) struct PromotionDriver {
    machine: GroupPromotion,
    pending: PromotionActions,
    pub(super) born: ClockTime,
    phases: PhaseTimes,
    known_revision: CatalogRevision,
    pub(super) changing_set: bool,
    /// Whether the lease has ended since the machine was resumed.
    lapsed: bool,
}

impl PromotionDriver {
    /// Resumes the machine from the group's record.
    pub(super) fn new(context: &GroupContext, record: &GroupRecord) -> Self {
        let now = context.clock.now();
        let (machine, pending) = GroupPromotion::resume(record, now);
        Self {
            machine,
            pending,
            born: now,
            phases: PhaseTimes::default(),
            known_revision: CatalogRevision(0),
            changing_set: false,
            lapsed: false,
        }
    }
}

impl PromotionDriver {
    /// Says whether the present term has its primary.
    pub(super) fn is_settled(&self) -> bool {
        self.machine.state() == PromotionState::Serving
    }
}

impl GroupTask {
    /// Says whether the group has a primary that may be dispatched to.
    pub(super) fn is_serving(&self) -> bool {
        self.promotion.is_settled() && self.record.primary.is_some() && self.journal.is_some()
    }

    /// Takes over the catalog's record, unless it's older than what this task knows itself.
    ///
    /// A delta can be overtaken by the answer to this task's own command. An instance set that went
    /// back to a smaller one would let fewer instances make a majority.
    pub(super) fn adopt_record(&mut self, record: GroupRecord, revision: CatalogRevision) {
        if revision < self.promotion.known_revision {
            return;
        }
        self.take_record(record.clone());
        let input = PromotionInput::RecordChanged(Box::new(record));
        self.step_promotion(input);
    }

    fn take_record(&mut self, record: GroupRecord) {
        if self.record == record {
            return;
        }
        self.record = record;
        let abandoned = self.quorum.adopt_record(&self.record);
        self.abandon_writes(&abandoned);
        self.refresh_all_endpoints();
    }

    fn take_own_record(&mut self, record: GroupRecord) {
        self.take_record(record.clone());
        self.step_promotion(PromotionInput::RecordChanged(Box::new(record)));
    }

    /// Takes over what the machine knows of the term, which may be ahead of the catalog's copy.
    fn adopt_machine_record(&mut self) {
        let known = self.promotion.machine.record();
        let record = GroupRecord {
            term: known.term,
            term_epoch: known.term_epoch,
            primary: known.primary.clone(),
            start: known.start,
            ..self.record.clone()
        };
        self.take_record(record);
        self.refresh_all_endpoints();
    }

    /// Ends the present term: nothing is dispatched, and no write of it is acknowledged any more.
    fn suspend_term(&mut self) {
        self.serving_since = None;
        let abandoned = self.quorum.suspend();
        self.abandon_writes(&abandoned);
        self.refresh_all_endpoints();
    }

    /// Tells the callers of writes that no majority is known to hold that they are in doubt.
    pub(super) fn abandon_writes(&mut self, abandoned: &[WriteTicket]) {
        for write in abandoned {
            if let Some(ticket) = self.writes.remove(write) {
                self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            }
        }
    }

    pub(super) fn note_later_term(&mut self, later: GroupTerm) {
        let statuses = self.record.instances.iter().filter_map(|instance| {
            let status = self.quorum.status(instance)?;
            (status.fenced_term == later).then(|| (instance.clone(), *status))
        });
        for (instance, status) in statuses.collect::<Vec<_>>() {
            self.step_promotion(PromotionInput::StatusReported(instance, status));
        }
    }

    /// Does what is due by time: retries, the first formation, changes of the instance set.
    pub(super) fn tick_promotion(&mut self) {
        if !self.may_act() {
            self.promotion.lapsed = true;
            return;
        }
        self.resume_after_lapse();
        let pending = std::mem::take(&mut self.promotion.pending);
        self.follow_actions(pending);
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
                self.direct_followers();
            }
            _ => {}
        }
    }

    /// Starts the machine anew from the catalog after the lease had ended.
    ///
    /// Orders that were due meanwhile were not given. The lease comes back only together with the
    /// present catalog, which shows how far a promotion had come.
    fn resume_after_lapse(&mut self) {
        if !self.promotion.lapsed {
            return;
        }
        let known_revision = self.promotion.known_revision;
        let changing_set = self.promotion.changing_set;
        self.promotion = PromotionDriver {
            known_revision,
            changing_set,
            ..PromotionDriver::new(&self.context, &self.record)
        };
        self.refresh_all_endpoints();
    }

    /// Says whether this leaseholder may change anything: its lease runs and its journal is whole.
    pub(super) fn may_act(&self) -> bool {
        let now = self.context.clock.now();
        self.may_lead(now) && self.journal.is_some() && !self.handing_over
    }

    pub(super) fn step_promotion(&mut self, input: PromotionInput) {
        let now = self.context.clock.now();
        let before = self.promotion.machine.state();
        let actions = self.promotion.machine.handle(now, input);
        let after = self.promotion.machine.state();
        if before != after {
            self.note_phase(before, after);
            self.refresh_all_endpoints();
        }
        self.follow_actions(actions);
    }

    /// Begins a promotion because the primary of the present term is taken for dead.
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

    fn note_phase(&mut self, before: PromotionState, after: PromotionState) {
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

    /// Logs the end of the outage: the first write of the new term is acknowledged.
    pub(super) fn note_write_landed(&mut self) {
        if self.promotion.phases.awaiting_first_write {
            self.promotion.phases.awaiting_first_write = false;
            self.log_phase("first_write");
        }
    }

    fn follow_actions(&mut self, actions: PromotionActions) {
        // A successor may lead the group by now, in an epoch of its own.
        if !self.may_act() {
            self.promotion.lapsed = true;
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

    /// Proposes a command at the control VMs, after a pause.
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

    /// Takes the answer to a command, and what it changed, without waiting for the next delta.
    pub(super) fn take_command_reply(&mut self, command: CatalogCommand, reply: CommandReply) {
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
                    self.take_record(record);
                }
                self.step_promotion(input);
            }
            CatalogCommand::RecordPrimary(primary) => {
                let input = PromotionInput::RecordAnswered(primary.term, reply);
                if done.is_some() && primary.term == record.term {
                    record.primary = Some(primary.primary);
                    record.start = primary.start;
                    self.take_record(record);
                }
                self.step_promotion(input);
            }
            CatalogCommand::AddInstance(change) => {
                if done.is_some() && !record.instances.contains(&change.instance) {
                    record.instances.push(change.instance.clone());
                    self.take_own_record(record);
                }
                self.end_set_change(CatalogCommand::AddInstance(change), &reply);
            }
            CatalogCommand::RemoveInstance(change) => {
                if done.is_some() {
                    record.instances.retain(|name| *name != change.instance);
                    self.take_own_record(record);
                }
                self.end_set_change(CatalogCommand::RemoveInstance(change), &reply);
            }
            CatalogCommand::PlaceGroup(_) => self.take_handover_reply(&reply),
            CatalogCommand::ConfirmJournal(mark) => self.take_journal_mark(mark, &reply),
            CatalogCommand::ApplyContract(_)
            | CatalogCommand::ApplyDocument(_)
            | CatalogCommand::IssueToken(_)
            | CatalogCommand::RecordEndpoints(_)
            | CatalogCommand::AdmitMember(_)
            | CatalogCommand::RemoveMember(_) => {}
        }
    }

    /// Lets the machine see every instance's state, so that those that strayed are told to follow.
    fn direct_followers(&mut self) {
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

    fn order_follow(&mut self, order: FollowOrder) {
        let Some(primary) = self.pool.endpoint(&order.primary) else {
            return;
        };
        let address = primary.announcement.agent_address;
        let target = Some((order.start, address));
        self.order_agent(AgentOrder::Follow, order.instance, order.term, target);
    }

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
        let expected = self.identify(&instance);
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
                    let answer = links.call_instance(address, &expected, ORDER_LIMIT, call);
                    answer.await
                }
                None => Err(LinkError::Unreachable),
            };
            let report = OrderReport {
                order,
                instance,
                term,
                outcome: read_outcome(reply),
            };
            let _ = notices.send(GroupNotice::Order(report)).await;
        });
    }

    /// Takes an agent's answer to an order.
    pub(super) fn take_order_report(&mut self, report: OrderReport) {
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

fn read_outcome(reply: Result<FenceReply, LinkError>) -> AgentOutcome {
    match reply {
        Ok(reply) => AgentOutcome::Answered(reply),
        Err(LinkError::Unreachable | LinkError::Exhausted) => AgentOutcome::NotSent,
        Err(LinkError::Lost | LinkError::Rejected(_)) => AgentOutcome::Unknown,
    }
}
