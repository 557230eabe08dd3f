//! Handles the events of connections: outcomes of statements, lost connections, and the
//! transactions that are pinned to them.

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

/// The SQLSTATE of an endpoint that takes no more connections.
const TOO_MANY_CONNECTIONS: &str = "53300";

impl GroupTask {
    /// Handles a connection's event.
    pub(super) fn handle_connection_event(&mut self, event: ConnectionEvent) {
        match event.change {
            ConnectionChange::Opened => {
                if let Some(connection) = self.pool.connection(event.id) {
                    connection.open = true;
                    let instance = connection.instance.clone();
                    self.scheduler.connection_opened(&instance);
                }
            }
            ConnectionChange::Finished(id, outcome) => {
                self.handle_run_outcome(event.id, id, outcome);
                self.drop_unusable_connection(event.id);
            }
            ConnectionChange::Described(id, outcome) => {
                self.release_described_connection(event.id, &outcome);
                self.handle_described(id, outcome);
                self.drop_unusable_connection(event.id);
            }
            ConnectionChange::PingAnswered => self.end_validation(event.id),
            ConnectionChange::Closed => self.handle_closed(event.id),
        }
    }

    /// Removes a connection that takes no further statement before its task reports that it has
    /// closed.
    ///
    /// Until then the scheduler would count it as idle and dispatch queued requests to it one after
    /// another. Each would be returned, and refused when it has no attempts left.
    fn drop_unusable_connection(&mut self, id: ConnectionId) {
        let unusable = self.pool.connection(id).is_some_and(|held| held.unusable);
        if unusable {
            self.handle_closed(id);
        }
    }

    /// Removes a closed connection, settles the request that ran on it, and reports the loss to the
    /// scheduler.
    fn handle_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.pool.remove_connection(id) else {
            return;
        };
        let now = self.context.clock.now();
        if let Some(transaction) = connection.pinned {
            self.end_transaction(transaction);
        }
        match connection.running {
            Some(ticket) if self.is_shape(ticket) => {
                self.return_shape(ticket, FinishOutcome::Lost);
            }
            Some(ticket) => self.handle_lost_answer(ticket, DoubtCause::EndpointLost),
            None => {}
        }
        if connection.retired {
            return;
        }
        if connection.validating {
            self.scheduler
                .connection_validation_ended(&connection.instance);
        }
        if connection.open {
            self.scheduler.connection_closed(&connection.instance);
            // If the connection had been marked unusable, the cause was reported before, and its
            // end says nothing new about the other connections.
            if !connection.unusable {
                self.scheduler.connection_broke(now, &connection.instance);
                self.validate_idle_connections(&connection.instance);
            }
        } else {
            self.scheduler.connection_failed(now, &connection.instance);
        }
    }

    /// Handles the outcome of a statement. A connection whose statement had any outcome but an
    /// answer or a refusal is not used again.
    fn handle_run_outcome(
        &mut self,
        id: ConnectionId,
        statement: StatementId,
        outcome: RunOutcome,
    ) {
        let Some(connection) = self.pool.connection(id) else {
            return;
        };
        let instance = connection.instance.clone();
        let ticket = connection.running.take();
        connection.unusable |=
            !matches!(outcome, RunOutcome::Answered(..) | RunOutcome::Refused(_));
        let Some(ticket) = ticket.filter(|ticket| self.tickets.get(&statement) == Some(ticket))
        else {
            return;
        };
        match outcome {
            RunOutcome::Answered(answer, position) => {
                self.handle_answer(ticket, id, &instance, answer, position);
            }
            RunOutcome::Refused(error) => {
                let outcome = self.rejection_outcome(ticket, &error.sqlstate);
                self.return_request(ticket, outcome, RefusalCause::EndpointRefused);
            }
            RunOutcome::NotSent => {
                self.return_request(
                    ticket,
                    FinishOutcome::NotSent,
                    RefusalCause::EndpointRefused,
                );
            }
            RunOutcome::Lost => {
                self.validate_idle_connections(&instance);
                self.handle_lost_answer(ticket, DoubtCause::EndpointLost);
            }
            RunOutcome::Silent => {
                self.validate_idle_connections(&instance);
                self.handle_lost_answer(ticket, DoubtCause::EndpointSilent);
            }
            RunOutcome::Mismatch => self.handle_lost_answer(ticket, DoubtCause::AnswerMismatch),
        }
    }

    /// Ends the validation of a connection that answered its ping, which takes statements again.
    fn end_validation(&mut self, id: ConnectionId) {
        if let Some(connection) = self.pool.connection(id)
            && std::mem::take(&mut connection.validating)
        {
            let instance = connection.instance.clone();
            self.scheduler.connection_validation_ended(&instance);
        }
    }

    /// Starts the validation of an instance's idle connections, which keeps statements away from
    /// them until they have answered.
    pub(super) fn validate_idle_connections(&mut self, instance: &InstanceName) {
        for _ in 0..self.pool.validate_idle(instance) {
            self.scheduler.connection_validation_started(instance);
        }
    }

    /// Returns a request's place in its transaction.
    pub(super) fn step_of(&self, ticket: RequestTicket) -> Option<TransactionStep> {
        self.requests.get(&ticket).map(|active| active.request.step)
    }

    /// Returns the scheduler's outcome for a statement that an endpoint refused to run.
    ///
    /// An error ends a transaction at a database, so a statement of one can't be sent again. Only a
    /// lack of connections counts as a rejection: a primary that is being replaced refuses writes
    /// and ends sessions for other reasons.
    fn rejection_outcome(&self, ticket: RequestTicket, sqlstate: &str) -> FinishOutcome {
        let step = self.requests.get(&ticket).map(|active| active.request.step);
        match step.and_then(pinned_transaction) {
            None if sqlstate == TOO_MANY_CONNECTIONS => FinishOutcome::Rejected,
            _ => FinishOutcome::NotRun,
        }
    }

    /// Settles a request whose answer was lost after it was sent, unless the scheduler may run it
    /// again.
    pub(super) fn handle_lost_answer(&mut self, ticket: RequestTicket, cause: DoubtCause) {
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
            // A transaction that was not asked to commit has no lasting effect.
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => {
                RequestVerdict::refused(RefusalCause::TransactionLost, 0)
            }
        };
        self.settle(ticket, verdict);
    }

    /// Handles an endpoint's answer: a successful write waits for a majority, a fresh read for its
    /// read round, and anything else is answered at once.
    pub(super) fn handle_answer(
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
        self.track_transaction(step, ticket, connection, &answer);
        if let Some(position) = position {
            self.record_primary_position(dispatched, instance, position);
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
        self.send_answer(ticket);
    }

    /// Pins, keeps or releases a transaction's connection after one of its statements.
    fn track_transaction(
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

    /// Removes a transaction and closes its connection, so that the endpoint rolls it back.
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

/// Returns the open transaction that a step belongs to; `None` for a step that opens one.
pub(super) fn pinned_transaction(step: TransactionStep) -> Option<TransactionId> {
    match step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(id)
        | TransactionStep::Commit(id)
        | TransactionStep::Rollback(id) => Some(id),
    }
}
