//! Dispatches requests to endpoints as the scheduler decides, and gives them their final verdicts.
//!
//! A request with a key starts only when every standby has journaled the key. Otherwise the
//! successor of a failed leaseholder would not know the key and would run a resend a second time.

use super::GroupTask;
use super::outcomes::pinned_transaction;
use super::request::ActiveRequest;
use super::request::KeyedRequest;
use super::request::RequestStage;
use crate::connection::ConnectionCommand;
use crate::connection::RunCommand;
use crate::endpoint_levels::log_level_changes;
use ragwort_policy::AbandonEffect;
use ragwort_policy::DispatchOrder;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::ShapeOutcome;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::TransactionStep;
use tokio::time::Instant;

impl GroupTask {
    /// Polls the scheduler and carries out its decisions.
    pub(super) fn run_scheduler(&mut self) {
        let now = self.context.clock.now();
        let allowance = self.context.descriptors.allowance();
        self.scheduler.set_allowance(allowance);
        let decisions = self.scheduler.poll(now);
        log_level_changes(now, &self.group, &mut self.scheduler);
        for decision in decisions {
            match decision {
                SchedulerDecision::Dispatch(order) if self.is_shape(order.ticket) => {
                    self.start_shape(&order);
                }
                SchedulerDecision::Dispatch(order) => self.handle_dispatch(order),
                SchedulerDecision::Refuse(order) if self.is_shape(order.ticket) => {
                    self.settle_shape(order.ticket, ShapeOutcome::Refused(order.refusal));
                }
                SchedulerDecision::Refuse(order) => {
                    self.settle(order.ticket, RequestVerdict::NotRun(order.refusal));
                }
                SchedulerDecision::OpenConnection(instance) => {
                    if !self.pool.open_connection(&instance) {
                        self.scheduler.connection_failed(now, &instance);
                    }
                }
            }
        }
        let metrics = &self.context.metrics;
        self.scarcity
            .note_change(now, &self.group, &self.scheduler, metrics);
    }

    /// Starts a dispatched request, or lets it wait until its key is journaled.
    fn handle_dispatch(&mut self, order: DispatchOrder) {
        let Some(active) = self.requests.get(&order.ticket) else {
            return;
        };
        let journaled = active
            .key_entry
            .is_none_or(|entry| self.is_journaled(entry));
        // If a standby lacked the key, the next leaseholder would not know it and would run a
        // resend as a new request: the caller's work would be done twice.
        if journaled {
            self.start(order.ticket, &order.instance);
        } else if let Some(active) = self.requests.get_mut(&order.ticket) {
            active.stage = RequestStage::Journaling(order.instance);
        }
    }

    /// Starts the dispatched requests whose keys every standby holds by now.
    pub(super) fn start_journaled(&mut self) {
        let waiting = self.requests.iter().filter_map(|(ticket, active)| {
            let RequestStage::Journaling(instance) = &active.stage else {
                return None;
            };
            let journaled = self.is_journaled(active.key_entry?);
            journaled.then(|| (*ticket, instance.clone()))
        });
        for (ticket, instance) in waiting.collect::<Vec<_>>() {
            self.start(ticket, &instance);
        }
    }

    /// Sends a request to its connection; the scheduler gets it back if the lease or the connection
    /// is gone.
    fn start(&mut self, ticket: RequestTicket, instance: &InstanceName) {
        let now = self.context.clock.now();
        let leads = self.may_lead(now);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        // The process may have been frozen since the scheduler's decision, so that the lease has
        // ended and a successor leads the group.
        if !leads {
            self.return_request(ticket, FinishOutcome::NotRun, RefusalCause::NoLease);
            return;
        }
        let id = match active.request.step.transaction() {
            Some(transaction) if !matches!(active.request.step, TransactionStep::Begin(_)) => {
                self.pool.find_pinned(transaction)
            }
            _ => self.pool.find_idle(instance),
        };
        let Some((id, connection)) = id.and_then(|id| Some((id, self.pool.connection(id)?))) else {
            self.return_request(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            return;
        };
        if let (Some(key), Some(journal)) = (active.request.marks.key, &self.journal)
            && active.key_entry.is_some()
        {
            journal.confirm_dispatch(&active.request.customer, key);
        }
        let command = RunCommand {
            id: active.request.id,
            text: active.request.text.clone(),
            parameters: active.request.parameters.clone(),
            until: Instant::now() + active.deadline.since(now),
        };
        if !connection.send(ConnectionCommand::Run(command)) {
            self.return_request(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            return;
        }
        connection.running = Some(ticket);
        active.stage = RequestStage::Running(id);
        active.dispatched = now;
        if active.is_fresh_read() {
            active.round = Some(self.quorum.join_read());
        }
        let waited = now.since(active.arrived);
        self.context.metrics.observe_queue_wait(waited);
    }

    /// Tells the scheduler that a dispatched request did not run; the scheduler queues it again or
    /// refuses it.
    pub(super) fn return_request(
        &mut self,
        ticket: RequestTicket,
        outcome: FinishOutcome,
        cause: RefusalCause,
    ) {
        let now = self.context.clock.now();
        let decision = self.scheduler.finished(now, ticket, outcome);
        if let Some(transaction) = self.step_of(ticket).and_then(pinned_transaction)
            && cause == RefusalCause::EndpointRefused
        {
            // The connection is gone, and the transaction's uncommitted work with it. If the caller
            // were asked to retry this one statement, the earlier ones would be lost.
            self.end_transaction(transaction);
            let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
            return self.settle(ticket, lost);
        }
        match decision {
            FinishDecision::Requeued => {
                if let Some(active) = self.requests.get_mut(&ticket) {
                    active.stage = RequestStage::Waiting;
                    active.round = None;
                }
            }
            FinishDecision::Refused(mut refusal) => {
                refusal.cause = cause;
                self.settle(ticket, RequestVerdict::NotRun(refusal));
            }
            FinishDecision::Settled | FinishDecision::Unknown => {
                self.settle(ticket, RequestVerdict::refused(cause, 0));
            }
        }
    }

    /// Gives a request its final verdict.
    pub(super) fn settle(&mut self, ticket: RequestTicket, verdict: RequestVerdict) {
        self.settle_served(ticket, verdict, None);
    }

    /// Gives a request its final verdict and names the instance that answered.
    pub(super) fn settle_served(
        &mut self,
        ticket: RequestTicket,
        verdict: RequestVerdict,
        served_by: Option<ServedBy>,
    ) {
        let Some(active) = self.requests.remove(&ticket) else {
            return;
        };
        self.tickets.remove(&active.request.id);
        if let RequestStage::AwaitingMajority(waiting) = active.stage {
            self.quorum.give_up(waiting);
            self.unconfirmed_writes.remove(&waiting);
        }
        self.record_key_verdict(&active, &verdict);
        self.context
            .metrics
            .count_request(&verdict, active.terms.urgency);
        let _ = active.reply.send(StatementReply {
            id: active.request.id,
            verdict,
            served_by,
        });
    }

    /// Records the verdict of a request with a key in the journal and sends it to the waiting
    /// resends.
    fn record_key_verdict(&mut self, active: &ActiveRequest, verdict: &RequestVerdict) {
        let (Some(key), Some(_)) = (active.request.marks.key, active.key_entry) else {
            return;
        };
        let customer = active.request.customer.clone();
        if let Some(journal) = &mut self.journal
            && !matches!(active.stage, RequestStage::Recording(_))
        {
            journal.decide(&customer, key, verdict);
        }
        let keyed = KeyedRequest { customer, key };
        for waiter in self.resend_waiters.remove(&keyed).unwrap_or_default() {
            let _ = waiter.reply.send(StatementReply {
                id: waiter.id,
                verdict: verdict.clone(),
                served_by: None,
            });
        }
    }

    /// Ends the waits for the journal, a majority or a read round whose deadline has passed. The
    /// scheduler and the connections watch the deadlines of queued and running requests.
    pub(super) fn expire_overdue_waits(&mut self) {
        let now = self.context.clock.now();
        let overdue = self.requests.iter().filter(|(_, active)| {
            let confirming = !matches!(
                active.stage,
                RequestStage::Waiting | RequestStage::Running(_)
            );
            confirming && now >= active.deadline
        });
        let overdue: Vec<RequestTicket> = overdue.map(|(ticket, _)| *ticket).collect();
        for ticket in overdue {
            self.expire_wait(ticket);
        }
        for waiters in self.resend_waiters.values_mut() {
            for waiter in waiters.extract_if(.., |waiter| now >= waiter.deadline) {
                let _ = waiter.reply.send(StatementReply {
                    id: waiter.id,
                    verdict: RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt),
                    served_by: None,
                });
            }
        }
        self.resend_waiters.retain(|_, waiters| !waiters.is_empty());
    }

    /// Refuses a request that has not started, and reports the others as in doubt.
    fn expire_wait(&mut self, ticket: RequestTicket) {
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        match active.stage {
            RequestStage::Journaling(_) => {
                let outcome = FinishOutcome::NotRun;
                self.return_request(ticket, outcome, RefusalCause::DeadlinePassed);
            }
            RequestStage::AwaitingMajority(waiting) => {
                let time = active.deadline.since(active.arrived);
                self.quorum.give_up_overdue(waiting, time);
                self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            }
            RequestStage::AwaitingRound(_) | RequestStage::Recording(_) => {
                self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            }
            RequestStage::Waiting | RequestStage::Running(_) => {}
        }
    }

    /// Cancels a statement: a queued one is refused, a running one is cancelled at its endpoint.
    pub(super) fn cancel(&mut self, id: StatementId) {
        let Some(ticket) = self.tickets.get(&id).copied() else {
            return;
        };
        let stage = self
            .requests
            .get(&ticket)
            .map(|active| active.stage.clone());
        match stage {
            Some(RequestStage::Running(connection)) => {
                if let Some(held) = self.pool.connection(connection) {
                    held.unusable |= held.send(ConnectionCommand::Cancel);
                }
            }
            Some(RequestStage::Waiting)
                if self.scheduler.abandon(ticket) == AbandonEffect::Removed =>
            {
                let verdict = RequestVerdict::refused(RefusalCause::Cancelled, 0);
                self.settle(ticket, verdict);
            }
            _ => {}
        }
    }
}
