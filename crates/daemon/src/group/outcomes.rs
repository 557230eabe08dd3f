//! Takes what connections report: ends of statements, lost connections, and the transactions on them.

use super::GroupTask;
use super::request::OpenTransaction;
use super::request::RequestStage;
use crate::connection::ConnectionChange;
use crate::connection::ConnectionEvent;
use crate::connection::ConnectionId;
use crate::connection::RunOutcome;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;

impl GroupTask {
    /// Takes a connection's event.
    pub(super) fn take_connection_event(&mut self, event: ConnectionEvent) {
        match event.change {
            ConnectionChange::Opened => {
                if let Some(connection) = self.pool.connection(event.id) {
                    connection.open = true;
                    let instance = connection.instance.clone();
                    self.scheduler.connection_opened(&instance);
                }
            }
            ConnectionChange::Finished(id, outcome) => {
                self.take_outcome(event.id, id, outcome);
                self.forget_spent(event.id);
            }
            ConnectionChange::Described(id, outcome) => {
                self.free_described(event.id, &outcome);
                self.take_described(id, outcome);
                self.forget_spent(event.id);
            }
            ConnectionChange::Proven => self.take_proof(event.id),
            ConnectionChange::Closed => self.take_closed(event.id),
        }
    }

    /// Forgets a connection that takes no further statement, before its task says that it closed.
    ///
    /// The scheduler would count it as idle until then, and dispatch waiting requests on it one
    /// after the other. Each would be given back, and refused when it has no attempt left.
    fn forget_spent(&mut self, id: ConnectionId) {
        let spent = self.pool.connection(id).is_some_and(|held| held.spent);
        if spent {
            self.take_closed(id);
        }
    }

    fn take_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.pool.remove_connection(id) else {
            return;
        };
        let now = self.context.clock.now();
        if let Some(transaction) = connection.pinned {
            self.end_transaction(transaction);
        }
        match connection.running {
            Some(ticket) if self.is_shape(ticket) => {
                self.give_shape_back(ticket, FinishOutcome::Lost);
            }
            Some(ticket) => self.take_lost(ticket, DoubtCause::EndpointLost),
            None => {}
        }
        if connection.retired {
            return;
        }
        if connection.doubted {
            self.scheduler.doubt_ended(&connection.instance);
        }
        if connection.open {
            self.scheduler.connection_closed(&connection.instance);
            // A connection that is closed after its end was reported tells nothing new.
            if !connection.spent {
                self.doubt_connections(&connection.instance);
            }
        } else {
            self.scheduler.connection_failed(now, &connection.instance);
        }
    }

    fn take_outcome(&mut self, id: ConnectionId, statement: StatementId, outcome: RunOutcome) {
        let Some(connection) = self.pool.connection(id) else {
            return;
        };
        let instance = connection.instance.clone();
        let ticket = connection.running.take();
        connection.spent |= !matches!(outcome, RunOutcome::Answered(..) | RunOutcome::Refused(_));
        let Some(ticket) = ticket.filter(|ticket| self.tickets.get(&statement) == Some(ticket))
        else {
            return;
        };
        match outcome {
            RunOutcome::Answered(answer, position) => {
                self.take_answer(ticket, id, &instance, answer, position);
            }
            RunOutcome::Refused(_) => {
                self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            }
            RunOutcome::NotSent => {
                self.give_back(
                    ticket,
                    FinishOutcome::NotSent,
                    RefusalCause::EndpointRefused,
                );
            }
            RunOutcome::Lost => {
                self.doubt_connections(&instance);
                self.take_lost(ticket, DoubtCause::EndpointLost);
            }
            RunOutcome::Silent => {
                self.doubt_connections(&instance);
                self.take_lost(ticket, DoubtCause::EndpointSilent);
            }
            RunOutcome::Mismatch => self.take_lost(ticket, DoubtCause::AnswerMismatch),
        }
    }

    /// Lets a connection that answered its ping take work again.
    fn take_proof(&mut self, id: ConnectionId) {
        if let Some(connection) = self.pool.connection(id)
            && std::mem::take(&mut connection.doubted)
        {
            let instance = connection.instance.clone();
            self.scheduler.doubt_ended(&instance);
        }
    }

    /// Keeps work away from an instance's idle connections until they have answered a ping.
    pub(super) fn doubt_connections(&mut self, instance: &InstanceName) {
        for _ in 0..self.pool.doubt_idle(instance) {
            self.scheduler.connection_doubted(instance);
        }
    }

    pub(super) fn step_of(&self, ticket: RequestTicket) -> Option<TransactionStep> {
        self.requests.get(&ticket).map(|active| active.request.step)
    }

    /// Deals with a request whose answer was lost after it was sent.
    pub(super) fn take_lost(&mut self, ticket: RequestTicket, cause: DoubtCause) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let step = active.request.step;
        let now = self.context.clock.now();
        let decision = self.scheduler.finished(now, ticket, FinishOutcome::Lost);
        if decision == FinishDecision::Requeued {
            active.stage = RequestStage::Waiting;
            active.round = None;
            return;
        }
        if let Some(transaction) = pinned_transaction(step) {
            self.end_transaction(transaction);
        }
        let verdict = match step {
            TransactionStep::Single | TransactionStep::Commit(_) => {
                RequestVerdict::MayHaveRun(cause)
            }
            // Nothing of a transaction lasts that was not asked to commit.
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => {
                RequestVerdict::refused(RefusalCause::TransactionLost, 0)
            }
        };
        self.settle(ticket, verdict);
    }

    pub(super) fn take_answer(
        &mut self,
        ticket: RequestTicket,
        connection: ConnectionId,
        instance: &InstanceName,
        answer: StatementAnswer,
        position: Option<LogPosition>,
    ) {
        let now = self.context.clock.now();
        self.scheduler
            .finished(now, ticket, FinishOutcome::Answered);
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let (step, dispatched) = (active.request.step, active.dispatched);
        self.follow_transaction(step, ticket, connection, &answer);
        if let Some(position) = position {
            self.note_primary_answer(dispatched, instance, position);
        }
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let replica = self.record.primary.as_ref() != Some(instance);
        let served = ServedBy {
            instance: instance.clone(),
            replica,
            position: position.unwrap_or_default(),
        };
        let failed = matches!(answer, StatementAnswer::Failed(_));
        let verdict = RequestVerdict::Ran(answer);
        let (write, round) = (active.is_write(), active.round);
        if write && !failed {
            active.answer = Some((verdict, served));
            self.await_majority(ticket, position);
            return;
        }
        if let Some(round) = round {
            active.stage = RequestStage::AwaitingRound(round);
            active.answer = Some((verdict, served));
            self.release_reads();
            return;
        }
        active.answer = Some((verdict, served));
        self.answer_now(ticket);
    }

    /// Pins, keeps or frees the connection of a transaction after one of its statements.
    fn follow_transaction(
        &mut self,
        step: TransactionStep,
        ticket: RequestTicket,
        connection: ConnectionId,
        answer: &StatementAnswer,
    ) {
        let now = self.context.clock.now();
        match step {
            TransactionStep::Single => {}
            TransactionStep::Begin(id) => {
                if matches!(answer, StatementAnswer::Failed(_)) {
                    self.scheduler.unpin(now, ticket);
                    return;
                }
                if let Some(held) = self.pool.connection(connection) {
                    held.pinned = Some(id);
                }
                let open = OpenTransaction {
                    opener: ticket,
                    connection,
                    last_used: now,
                };
                self.transactions.insert(id, open);
            }
            TransactionStep::Within(id) => {
                if let Some(open) = self.transactions.get_mut(&id) {
                    open.last_used = now;
                }
            }
            TransactionStep::Commit(id) | TransactionStep::Rollback(id) => {
                if let Some(held) = self.pool.connection(connection) {
                    held.pinned = None;
                }
                if let Some(open) = self.transactions.remove(&id) {
                    self.scheduler.unpin(now, open.opener);
                }
            }
        }
    }

    /// Forgets a transaction and closes its connection, so that the endpoint rolls it back.
    pub(super) fn end_transaction(&mut self, id: TransactionId) {
        let Some(open) = self.transactions.remove(&id) else {
            return;
        };
        let now = self.context.clock.now();
        self.scheduler.unpin(now, open.opener);
        if let Some(connection) = self.pool.remove_connection(open.connection)
            && !connection.retired
        {
            self.scheduler.connection_closed(&connection.instance);
        }
    }
}

/// Returns the transaction that a step finds open; the opening step finds none.
pub(super) fn pinned_transaction(step: TransactionStep) -> Option<TransactionId> {
    match step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(id)
        | TransactionStep::Commit(id)
        | TransactionStep::Rollback(id) => Some(id),
    }
}
