//! Faults that endpoints report: what a fault reveals about its instance, and how its statement is
//! retried or settled.
//!
//! A statement that wasn't run and doesn't belong to an open transaction is requeued within the
//! scheduler's retry budget, and may run on another instance. So is a single read that failed. For
//! any other statement the fault is the answer. A statement that the endpoint rejected because it
//! takes no more at present is sent again elsewhere or after a pause, also within a transaction
//! that is still open.

use super::NativeTask;
use super::dispatch::held_transaction;
use super::link::LinkId;
use crate::edges::EndpointEnd;
use crate::edges::SessionState;
use crate::log_event;
use log::Level;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::EndpointFault;
use ragwort_types::EndpointFaultKind;
use ragwort_types::InstanceName;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementOperation;
use ragwort_types::TransactionStep;

impl NativeTask {
    /// Requeues or refuses a statement that was not sent because a command of its prelude failed.
    pub(super) fn handle_failed_prelude(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        instance: &InstanceName,
        fault: &EndpointFault,
        end: Option<EndpointEnd>,
    ) {
        self.learn_from_fault(ticket, instance, fault.sort, end);
        // The command may have run in part, so the connection's session state isn't known any more.
        if !fault.sort.has_not_run()
            && let Some(connection) = self.pool.connection_mut(link)
        {
            connection.unusable = true;
        }
        let outcome = self.outcome_of(ticket, fault.sort, end);
        self.requeue_or_refuse(ticket, outcome, refusal_of(fault.sort));
    }

    fn learn_from_fault(
        &mut self,
        ticket: RequestTicket,
        instance: &InstanceName,
        sort: EndpointFaultKind,
        end: Option<EndpointEnd>,
    ) {
        let now = self.now();
        match sort {
            EndpointFaultKind::ReadOnly => {
                log_event!(
                    Level::Info,
                    "write_refused",
                    group = self.group,
                    instance = instance,
                );
                self.roles.note_refused_write(now, instance);
                self.apply_roles();
            }
            EndpointFaultKind::Lagging => {
                let min_position = self.requests.get(&ticket).map(|active| active.min_position);
                let wanted = min_position.unwrap_or_default();
                let replica = self.replicas.entry(instance.clone()).or_default();
                let stands = end.and_then(|end| end.position);
                replica.record_refusal(now, wanted, stands);
                let lag_ms = replica.lag(now).as_millis();
                log_event!(
                    Level::Info,
                    "replica_lagging",
                    group = self.group,
                    instance = instance,
                    wanted = wanted,
                    stands = stands.map_or("unknown".to_owned(), |stands| stands.to_string()),
                    lag_ms = lag_ms,
                );
                self.report_positions();
            }
            _ => {}
        }
    }

    /// Retries or settles a statement for which the endpoint reported a fault.
    pub(super) fn handle_fault(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        instance: &InstanceName,
        fault: EndpointFault,
        end: Option<EndpointEnd>,
    ) {
        self.learn_from_fault(ticket, instance, fault.sort, end);
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let step = active.request.step;
        if fault.sort == EndpointFaultKind::UnknownStatement
            && let StatementOperation::Prepared(definition) = active.context.act.clone()
            && let Some(connection) = self.pool.connection_mut(link)
        {
            connection.image.forget_prepared(&definition);
        }
        let state = end.map_or(SessionState::Failed, |end| end.state);
        let unpinned = held_transaction(step).is_none();
        if unpinned && (fault.sort.has_not_run() || self.may_run_again(ticket)) {
            return self.requeue_after_fault(ticket, fault);
        }
        let now = self.now();
        let outcome = self.outcome_of(ticket, fault.sort, end);
        if !unpinned && outcome == FinishOutcome::Rejected {
            return self.repeat_in_transaction(ticket, link, state, fault);
        }
        self.scheduler
            .finished(now, ticket, FinishOutcome::Answered);
        self.update_transaction(ticket, step, link, state);
        let answer = StatementAnswer::Faulted(fault);
        self.settle(ticket, RequestVerdict::Ran(answer));
    }

    /// Sends a statement of an open transaction again that the endpoint rejected, and settles it
    /// with the fault if there is no time or retry left.
    fn repeat_in_transaction(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        state: SessionState,
        fault: EndpointFault,
    ) {
        let now = self.now();
        let decision = self
            .scheduler
            .finished(now, ticket, FinishOutcome::Rejected);
        if decision == FinishDecision::Requeued {
            return;
        }
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let step = active.request.step;
        self.update_transaction(ticket, step, link, state);
        let answer = StatementAnswer::Faulted(fault);
        self.settle(ticket, RequestVerdict::Ran(answer));
    }

    /// Returns the scheduler's outcome for a statement that an instance didn't run because of this
    /// fault.
    ///
    /// Within a transaction that is no longer open a rejected statement must not be sent again: it
    /// would run outside of the transaction.
    fn outcome_of(
        &self,
        ticket: RequestTicket,
        sort: EndpointFaultKind,
        end: Option<EndpointEnd>,
    ) -> FinishOutcome {
        let active = self.requests.get(&ticket);
        let pinned = active.is_some_and(|active| held_transaction(active.request.step).is_some());
        let open = end.is_some_and(|end| end.state == SessionState::Open);
        match sort {
            EndpointFaultKind::Lagging => FinishOutcome::Behind,
            EndpointFaultKind::Busy | EndpointFaultKind::ConnectionLimit if open || !pinned => {
                FinishOutcome::Rejected
            }
            _ => FinishOutcome::NotRun,
        }
    }

    /// Returns whether a statement that ran and failed may run again, as single reads may.
    fn may_run_again(&self, ticket: RequestTicket) -> bool {
        let active = self.requests.get(&ticket);
        active.is_some_and(|active| {
            active.request.step == TransactionStep::Single
                && active.context.act.access() == AccessMode::Read
        })
    }

    /// Requeues a statement that did not run, or changed nothing, within the retry budget, and
    /// settles it if the budget is spent.
    fn requeue_after_fault(&mut self, ticket: RequestTicket, fault: EndpointFault) {
        let now = self.now();
        let ran = !fault.sort.has_not_run();
        let outcome = match fault.sort {
            // The caller's text is at fault, which says nothing about the endpoint.
            EndpointFaultKind::Malformed => FinishOutcome::Lost,
            _ if ran => FinishOutcome::Failed,
            sort => self.outcome_of(ticket, sort, None),
        };
        match self.scheduler.finished(now, ticket, outcome) {
            FinishDecision::Requeued => {}
            FinishDecision::Refused(mut refusal) => {
                refusal.cause = refusal_of(fault.sort);
                self.settle(ticket, RequestVerdict::NotRun(refusal));
            }
            FinishDecision::Settled | FinishDecision::Unknown if ran => {
                let answer = StatementAnswer::Faulted(fault);
                self.settle(ticket, RequestVerdict::Ran(answer));
            }
            FinishDecision::Settled | FinishDecision::Unknown => {
                self.settle(ticket, RequestVerdict::refused(refusal_of(fault.sort), 0));
            }
        }
    }
}

/// Returns the refusal cause for a statement that did not run because of this fault.
fn refusal_of(sort: EndpointFaultKind) -> RefusalCause {
    match sort {
        EndpointFaultKind::Lagging => RefusalCause::ReplicasBehind,
        EndpointFaultKind::ReadOnly => RefusalCause::NoPrimary,
        EndpointFaultKind::Aborted => RefusalCause::TransactionLost,
        _ => RefusalCause::EndpointRefused,
    }
}
