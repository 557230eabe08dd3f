//! Describes statements for drivers that prepare them.
//!
//! Some drivers ask for the parameters and columns of every statement before they run it, so that a
//! burst of statements brings a burst of descriptions. If a description took any idle connection,
//! it could take the last one from a statement that the scheduler has just dispatched there.
//!
//! A description is therefore scheduled like a short read: it waits in the queue, is charged to its
//! customer's share, and occupies its slot for one round trip.

use super::GroupTask;
use super::intake::StatementOrigin;
use super::intake::hash_text;
use crate::callers::StatementScan;
use crate::connection::ConnectionCommand;
use crate::connection::ConnectionId;
use crate::connection::DescribeCommand;
use crate::connection::DescribeOutcome;
use ragwort_control::ClockTime;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::DispatchOrder;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::LengthClass;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RepeatRule;
use ragwort_types::RequestMarks;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::TransactionStep;
use ragwort_types::UrgencyClass;
use std::time::Duration;
use tokio::sync::oneshot;

/// The time limit of an endpoint's answer to a description. The endpoint plans the statement
/// without running it, so a healthy one needs far less; the limit bounds how long a slot is
/// occupied.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum data age of a replica that describes a statement. A description that a later change
/// of the schema makes wrong is detected when the answer's columns differ from it.
const MAX_SCHEMA_AGE: Duration = Duration::from_secs(10);

/// The request kind under which the scheduler estimates the duration of descriptions. The space
/// keeps it apart from the kinds of contracts, whose names contain none.
const DESCRIBE_KIND: &str = "describe statement";

/// A description in progress.
#[derive(Debug)]
pub(super) struct ActiveShape {
    request: Box<ShapeRequest>,
    reply: oneshot::Sender<ShapeReply>,
    deadline: ClockTime,
}

impl GroupTask {
    /// Queues a description, or refuses it at once.
    pub(super) fn handle_describe(
        &mut self,
        request: Box<ShapeRequest>,
        reply: oneshot::Sender<ShapeReply>,
    ) {
        let now = self.context.clock.now();
        let marks = RequestMarks::default();
        let origin = StatementOrigin {
            customer: &request.customer,
            marks: &marks,
            step: step_of(&request),
        };
        let terms = match self.check_statement(&origin, now) {
            Ok(terms) => terms,
            Err(refusal) => {
                let outcome = ShapeOutcome::refused(refusal.cause, refusal.come_back_after_ms);
                let _ = reply.send(reply_to(&request, outcome));
                return;
            }
        };
        let elapsed = Duration::from_millis(request.spent_ms);
        let left = Duration::from_millis(terms.deadline_ms).saturating_sub(elapsed);
        let shape = ActiveShape {
            request,
            reply,
            deadline: now + left,
        };
        self.last_ticket += 1;
        let ticket = RequestTicket(self.last_ticket);
        let profile = self.shape_profile(ticket, &shape);
        self.tickets.insert(shape.request.id, ticket);
        self.shapes.insert(ticket, shape);
        if let ArrivalDecision::Refused(refusal) = self.scheduler.arrive(now, profile) {
            self.settle_shape(ticket, ShapeOutcome::Refused(refusal));
        }
    }

    /// Returns the scheduling profile of a description.
    fn shape_profile(&self, ticket: RequestTicket, shape: &ActiveShape) -> RequestProfile {
        let request = &shape.request;
        let step = self.scheduler_step(step_of(request));
        let required = self.required_position(&request.customer, &request.session);
        RequestProfile {
            ticket,
            customer: request.customer.clone(),
            kind: DESCRIBE_KIND.into(),
            session: hash_text(request.session.as_str()),
            account: None,
            key: None,
            access: AccessMode::Read,
            repeat: RepeatRule::Idempotent,
            urgency: UrgencyClass::Ordinary,
            length: LengthClass::Short,
            needs_primary: step != RequestStep::Single || required.is_none(),
            // A session may describe a statement on a table that it has just created.
            min_position: required.unwrap_or_default(),
            max_age: MAX_SCHEMA_AGE,
            deadline: shape.deadline,
            target: None,
            step,
            priority: None,
        }
    }

    /// Returns whether a ticket belongs to a description.
    pub(super) fn is_shape(&self, ticket: RequestTicket) -> bool {
        self.shapes.contains_key(&ticket)
    }

    /// Sends a dispatched description to its connection.
    pub(super) fn start_shape(&mut self, order: &DispatchOrder) {
        let now = self.context.clock.now();
        let Some(shape) = self.shapes.get(&order.ticket) else {
            return;
        };
        let id = match shape.request.transaction {
            Some(transaction) => self.pool.find_pinned(transaction),
            None => self.pool.find_idle(&order.instance),
        };
        let text = &shape.request.text;
        let describe = DescribeCommand {
            id: shape.request.id,
            text: text.clone(),
            parameters: StatementScan::new(text).parameters,
            limit: shape.deadline.since(now).min(DESCRIBE_TIMEOUT),
        };
        let sent = id.and_then(|id| self.pool.connection(id)).filter(|held| {
            let command = ConnectionCommand::Describe(describe);
            held.send(command)
        });
        match sent {
            Some(connection) => connection.running = Some(order.ticket),
            None => self.return_shape(order.ticket, FinishOutcome::NotRun),
        }
    }

    /// Releases the connection of a description that has ended; it remains usable only after an
    /// answer.
    pub(super) fn release_described_connection(
        &mut self,
        id: ConnectionId,
        outcome: &DescribeOutcome,
    ) {
        let Some(connection) = self.pool.connection(id) else {
            return;
        };
        connection.running = None;
        connection.unusable |= !matches!(
            outcome,
            DescribeOutcome::Shape(_) | DescribeOutcome::Failed(_)
        );
        if *outcome == DescribeOutcome::Lost {
            let instance = connection.instance.clone();
            self.validate_idle_connections(&instance);
        }
    }

    /// Handles the outcome of a description.
    pub(super) fn handle_described(&mut self, statement: StatementId, outcome: DescribeOutcome) {
        let Some(ticket) = self.tickets.get(&statement).copied() else {
            return;
        };
        let outcome = match outcome {
            DescribeOutcome::Shape(shape) => ShapeOutcome::Known(shape),
            DescribeOutcome::Failed(error) => ShapeOutcome::Failed(error),
            DescribeOutcome::Refused(_) => {
                return self.return_shape(ticket, FinishOutcome::NotRun);
            }
            DescribeOutcome::NotSent => {
                return self.return_shape(ticket, FinishOutcome::NotSent);
            }
            DescribeOutcome::Lost => return self.return_shape(ticket, FinishOutcome::Lost),
        };
        let now = self.context.clock.now();
        self.scheduler
            .finished(now, ticket, FinishOutcome::Answered);
        if let Some(shape) = self.shapes.get(&ticket)
            && let Some(transaction) = shape.request.transaction
            && let Some(open) = self.transactions.get_mut(&transaction)
        {
            open.last_used = now;
        }
        self.settle_shape(ticket, outcome);
    }

    /// Reports a description without an answer to the scheduler, which queues it again or refuses
    /// it.
    ///
    /// Repeating it is safe, since its statement has not run. A description within a transaction is
    /// refused instead, because the transaction is lost with its connection.
    pub(super) fn return_shape(&mut self, ticket: RequestTicket, outcome: FinishOutcome) {
        let now = self.context.clock.now();
        let decision = self.scheduler.finished(now, ticket, outcome);
        let Some(shape) = self.shapes.get(&ticket) else {
            return;
        };
        if let Some(transaction) = shape.request.transaction {
            // The connection is lost, and the transaction's uncommitted work with it.
            self.end_transaction(transaction);
            let lost = ShapeOutcome::refused(RefusalCause::TransactionLost, 0);
            return self.settle_shape(ticket, lost);
        }
        let refusal = match decision {
            FinishDecision::Requeued => return,
            FinishDecision::Refused(refusal) => refusal,
            FinishDecision::Settled | FinishDecision::Unknown => Refusal {
                cause: RefusalCause::EndpointRefused,
                come_back_after_ms: DESCRIBE_TIMEOUT.as_millis() as u64,
            },
        };
        self.settle_shape(ticket, ShapeOutcome::Refused(refusal));
    }

    /// Sends a description's final outcome to its caller and forgets it.
    pub(super) fn settle_shape(&mut self, ticket: RequestTicket, outcome: ShapeOutcome) {
        let Some(shape) = self.shapes.remove(&ticket) else {
            return;
        };
        self.tickets.remove(&shape.request.id);
        let _ = shape.reply.send(reply_to(&shape.request, outcome));
    }

    /// Refuses all remaining descriptions when the group's task ends.
    pub(super) fn refuse_shapes(&mut self) {
        for ticket in self.shapes.keys().copied().collect::<Vec<_>>() {
            let outcome = ShapeOutcome::refused(RefusalCause::NoLeaseholder, 0);
            self.settle_shape(ticket, outcome);
        }
    }
}

fn step_of(request: &ShapeRequest) -> TransactionStep {
    match request.transaction {
        Some(transaction) => TransactionStep::Within(transaction),
        None => TransactionStep::Single,
    }
}

fn reply_to(request: &ShapeRequest, outcome: ShapeOutcome) -> ShapeReply {
    ShapeReply {
        id: request.id,
        outcome,
    }
}
