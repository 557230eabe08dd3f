//! Brings requests to endpoints and their answers back to callers.

use super::GroupTask;
use super::intake::to_policy;
use super::notice::GroupNotice;
use super::notice::RoundReport;
use super::request::ActiveRequest;
use super::request::KeyedRequest;
use super::request::OpenTransaction;
use super::request::RequestStage;
use crate::connection::ConnectionChange;
use crate::connection::ConnectionEvent;
use crate::connection::ConnectionId;
use crate::connection::ConnectionOrder;
use crate::connection::RunOrder;
use crate::connection::RunOutcome;
use jsonrpsee::ws_client::WsClient;
use ragwort_control::ClockTime;
use ragwort_control::QuorumProgress;
use ragwort_control::ReadProgress;
use ragwort_control::RoundId;
use ragwort_control::WriteTicket;
use ragwort_policy::AbandonEffect;
use ragwort_policy::DispatchOrder;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::AccessMode;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use ragwort_types::rpc::AgentApiClient;
use std::sync::Arc;
use std::time::Duration;

impl GroupTask {
    /// Does what the scheduler decides.
    pub(super) fn follow_scheduler(&mut self) {
        let now = to_policy(self.context.clock.now());
        for decision in self.scheduler.poll(now) {
            match decision {
                SchedulerDecision::Dispatch(order) => self.take_dispatch(order),
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
    }

    fn take_dispatch(&mut self, order: DispatchOrder) {
        let Some(active) = self.requests.get_mut(&order.ticket) else {
            return;
        };
        let replicated = match (active.key_entry, &self.journal) {
            (Some(entry), Some(journal)) => journal.is_replicated(entry),
            (Some(_), None) => false,
            (None, _) => true,
        };
        // A key that a standby lacks would be unknown to the next leaseholder, and a resend would
        // run a second time: the caller's work would be done twice.
        if replicated {
            self.start(order.ticket, &order.instance);
        } else {
            active.stage = RequestStage::Journaling(order.instance);
        }
    }

    /// Starts the dispatched requests whose keys all standbys hold by now.
    pub(super) fn start_journaled(&mut self) {
        let Some(journal) = &self.journal else {
            return;
        };
        let waiting = self.requests.iter().filter_map(|(ticket, active)| {
            let RequestStage::Journaling(instance) = &active.stage else {
                return None;
            };
            let entry = active.key_entry?;
            journal
                .is_replicated(entry)
                .then(|| (*ticket, instance.clone()))
        });
        for (ticket, instance) in waiting.collect::<Vec<_>>() {
            self.start(ticket, &instance);
        }
    }

    fn start(&mut self, ticket: RequestTicket, instance: &InstanceName) {
        let now = self.context.clock.now();
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        // The process may have been stopped since the decision: its lease can have ended, and a
        // successor can have taken the group over.
        if !self.view.borrow().may_serve(now) {
            self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::NoLease);
            return;
        }
        let id = match active.request.step.transaction() {
            Some(transaction) if !matches!(active.request.step, TransactionStep::Begin(_)) => {
                self.pool.find_pinned(transaction)
            }
            _ => self.pool.find_idle(instance),
        };
        let Some((id, connection)) = id.and_then(|id| Some((id, self.pool.connection(id)?))) else {
            self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            return;
        };
        if let (Some(key), Some(journal)) = (active.request.marks.key, &self.journal)
            && active.key_entry.is_some()
        {
            journal.confirm_dispatch(&active.request.customer, key);
        }
        let order = RunOrder {
            id: active.request.id,
            text: active.request.text.clone(),
            parameters: active.request.parameters.clone(),
            limit: active.deadline.since(now),
        };
        if !connection.send(ConnectionOrder::Run(order)) {
            self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
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

    /// Gives a dispatched request that was not sent back to the scheduler.
    fn give_back(&mut self, ticket: RequestTicket, outcome: FinishOutcome, cause: RefusalCause) {
        let now = to_policy(self.context.clock.now());
        match self.scheduler.finished(now, ticket, outcome) {
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
            ConnectionChange::Finished(id, outcome) => self.take_outcome(event.id, id, outcome),
            ConnectionChange::Closed => self.take_closed(event.id),
        }
    }

    fn take_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.pool.remove_connection(id) else {
            return;
        };
        let now = to_policy(self.context.clock.now());
        if let Some(transaction) = connection.pinned {
            self.end_transaction(transaction);
        }
        if let Some(ticket) = connection.running {
            self.take_lost(ticket, DoubtCause::EndpointLost);
        }
        if connection.open {
            self.scheduler.connection_closed(&connection.instance);
            self.pool.ping_idle(&connection.instance);
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
            RunOutcome::Refused(_) | RunOutcome::NotSent => {
                if let Some(transaction) = self.step_of(ticket).and_then(pinned_transaction) {
                    self.end_transaction(transaction);
                }
                self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            }
            RunOutcome::Lost => self.take_lost(ticket, DoubtCause::EndpointLost),
            RunOutcome::Silent => {
                self.pool.ping_idle(&instance);
                self.take_lost(ticket, DoubtCause::EndpointSilent);
            }
            RunOutcome::Mismatch => self.take_lost(ticket, DoubtCause::AnswerMismatch),
        }
    }

    fn step_of(&self, ticket: RequestTicket) -> Option<TransactionStep> {
        self.requests.get(&ticket).map(|active| active.request.step)
    }

    /// Deals with a request whose answer was lost after it was sent.
    fn take_lost(&mut self, ticket: RequestTicket, cause: DoubtCause) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let step = active.request.step;
        let now = to_policy(self.context.clock.now());
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

    fn take_answer(
        &mut self,
        ticket: RequestTicket,
        connection: ConnectionId,
        instance: &InstanceName,
        answer: StatementAnswer,
        position: Option<LogPosition>,
    ) {
        let now = self.context.clock.now();
        self.scheduler
            .finished(to_policy(now), ticket, FinishOutcome::Answered);
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        self.follow_transaction(active.request.step, ticket, connection, &answer);
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
        let (write, round, dispatched) = (active.is_write(), active.round, active.dispatched);
        if write && !failed {
            active.answer = Some((verdict, served));
            self.await_majority(ticket, instance, position, dispatched);
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
                    self.scheduler.unpin(to_policy(now), ticket);
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
                    self.scheduler.unpin(to_policy(now), open.opener);
                }
            }
        }
    }

    /// Forgets a transaction and closes its connection, so that the endpoint rolls it back.
    pub(super) fn end_transaction(&mut self, id: TransactionId) {
        let Some(open) = self.transactions.remove(&id) else {
            return;
        };
        let now = to_policy(self.context.clock.now());
        self.scheduler.unpin(now, open.opener);
        if let Some(connection) = self.pool.remove_connection(open.connection) {
            self.scheduler.connection_closed(&connection.instance);
        }
    }

    /// Lets a write wait until a majority of the group's instances holds it in the present term.
    ///
    /// A primary that was replaced, or dies right after its answer, would otherwise have
    /// acknowledged a write that its successor lacks: the caller's work would be lost.
    fn await_majority(
        &mut self,
        ticket: RequestTicket,
        instance: &InstanceName,
        position: Option<LogPosition>,
        dispatched: ClockTime,
    ) {
        let Some(position) = position.filter(|one| one.term == self.quorum.term()) else {
            self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            return;
        };
        if let Some(active) = self.requests.get(&ticket)
            && let Some(journal) = &mut self.journal
        {
            let request = &active.request;
            journal.note_session(&request.customer, &request.session, position);
        }
        let status = self.quorum.status(instance).copied();
        let progress = status.map(|mut status| {
            status.position = status.position.max(position);
            self.quorum.report(dispatched, instance, status)
        });
        let (waiting, released) = self.quorum.await_majority(position);
        self.writes.insert(waiting, ticket);
        if let Some(active) = self.requests.get_mut(&ticket) {
            active.stage = RequestStage::AwaitingMajority(waiting);
        }
        self.take_progress(progress.unwrap_or_default());
        self.take_progress(released);
    }

    /// Takes an agent's report into the quorum and the scheduler.
    pub(super) fn take_status(
        &mut self,
        instance: &InstanceName,
        asked: ClockTime,
        status: InstanceStatus,
    ) {
        let progress = self.quorum.report(asked, instance, status);
        self.take_progress(progress);
        self.report_position(instance);
        self.set_lost_floor(instance, asked);
    }

    /// Sets the position that sessions of a lost journal must read from: the primary's, asked for
    /// after this leaseholder took over. Whatever they wrote before lies below it.
    fn set_lost_floor(&mut self, instance: &InstanceName, asked: ClockTime) {
        let primary = self.record.primary.as_ref() == Some(instance);
        let position = self.quorum.counted_position(instance);
        let (Some(journal), Some(position)) = (&mut self.journal, position) else {
            return;
        };
        let lost = journal.sessions().floor().is_none();
        if lost && primary && asked > self.journal_since && self.promotion.is_settled() {
            journal.raise_session_floor(position);
        }
    }

    /// Tells the scheduler what an instance holds and how old it can be.
    pub(super) fn report_position(&mut self, instance: &InstanceName) {
        let now = self.context.clock.now();
        let Some(position) = self.quorum.counted_position(instance) else {
            return;
        };
        let age = match self.record.primary.as_ref() == Some(instance) {
            true => Some(Duration::ZERO),
            false => self.quorum.age_bound(instance, now),
        };
        if let Some(age) = age {
            self.scheduler
                .report_position(to_policy(now), instance, position, age);
        }
    }

    fn take_progress(&mut self, progress: QuorumProgress) {
        self.abandon_writes(&progress.abandoned);
        for waiting in progress.released {
            self.release_write(waiting);
        }
        if let Some(later) = progress.later_term {
            self.note_later_term(later);
        }
    }

    /// Records and then acknowledges a write that a majority holds.
    fn release_write(&mut self, waiting: WriteTicket) {
        let Some(ticket) = self.writes.remove(&waiting) else {
            return;
        };
        let (Some(active), Some(journal)) = (self.requests.get_mut(&ticket), &mut self.journal)
        else {
            return;
        };
        let Some((verdict, served)) = &active.answer else {
            return;
        };
        let request = &active.request;
        if let Some(key) = request.marks.key.filter(|_| active.key_entry.is_some()) {
            journal.decide(&request.customer, key, verdict);
        }
        let entry = journal.note_session(&request.customer, &request.session, served.position);
        active.stage = RequestStage::Recording(entry);
        self.answer_recorded();
    }

    /// Answers the writes whose session positions and verdicts all standbys hold.
    pub(super) fn answer_recorded(&mut self) {
        let Some(journal) = &self.journal else {
            return;
        };
        let recorded = self
            .requests
            .iter()
            .filter(|(_, active)| match active.stage {
                RequestStage::Recording(entry) => journal.is_replicated(entry),
                _ => false,
            });
        let recorded: Vec<RequestTicket> = recorded.map(|(ticket, _)| *ticket).collect();
        for ticket in recorded {
            self.answer_now(ticket);
            self.note_write_landed();
        }
    }

    /// Begins a round of status requests if reads wait for one.
    pub(super) fn begin_read_round(&mut self) {
        if self.round_running.is_some() {
            return;
        }
        let Some(round) = self.quorum.begin_read_round() else {
            return;
        };
        self.round_running = Some((round, self.context.clock.now()));
        for instance in self.record.instances.clone() {
            let Some(entry) = self.pool.endpoint(&instance) else {
                continue;
            };
            let address = entry.announcement.agent_address;
            let links = self.context.links.clone();
            let notices = self.notices.clone();
            let asked = self.context.clock.now();
            let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
            self.children.spawn(async move {
                let call = |client: Arc<WsClient>| async move { client.status().await };
                let status = links.call(address, limit, call).await.ok();
                let report = RoundReport {
                    round,
                    instance,
                    asked,
                    status,
                };
                let _ = notices.send(GroupNotice::ReadRound(report)).await;
            });
        }
    }

    /// Takes an instance's answer in a round of reads.
    pub(super) fn take_round_report(&mut self, report: RoundReport) {
        let Some(status) = report.status else {
            return;
        };
        self.take_status(&report.instance, report.asked, status);
        let progress = self
            .quorum
            .confirm(report.round, &report.instance, status.fenced_term);
        match progress {
            ReadProgress::Confirmed(round) => {
                self.confirmed_round = self.confirmed_round.max(round);
                if self
                    .round_running
                    .is_some_and(|(running, _)| running <= round)
                {
                    self.round_running = None;
                }
                self.release_reads();
            }
            ReadProgress::Pending => {}
            ReadProgress::TermOver(later) => self.note_later_term(later),
        }
    }

    /// Answers the reads whose round is confirmed.
    fn release_reads(&mut self) {
        let confirmed: RoundId = self.confirmed_round;
        let ready = self.requests.iter().filter(|(_, active)| {
            matches!(active.stage, RequestStage::AwaitingRound(round) if round <= confirmed)
        });
        let ready: Vec<RequestTicket> = ready.map(|(ticket, _)| *ticket).collect();
        for ticket in ready {
            self.answer_now(ticket);
        }
    }

    /// Sends the answer that a request holds, if the lease still runs.
    fn answer_now(&mut self, ticket: RequestTicket) {
        let deposed = self.journal_is_deposed();
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some((verdict, served)) = active.answer.take() else {
            return;
        };
        let now = self.context.clock.now();
        // A leaseholder that was frozen wakes up with answers of a time when it led. Meanwhile a
        // successor may have promoted another instance that lacks what the answer says.
        if !self.view.borrow().may_serve(now) || deposed {
            self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::LeaseLost));
            return;
        }
        if active.terms.access == AccessMode::Read {
            self.context.metrics.count_read(&served);
        }
        self.settle_served(ticket, verdict, Some(served));
    }

    /// Gives a request its final verdict.
    pub(super) fn settle(&mut self, ticket: RequestTicket, verdict: RequestVerdict) {
        self.settle_served(ticket, verdict, None);
    }

    fn settle_served(
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
            self.writes.remove(&waiting);
        }
        self.decide_key(&active, &verdict);
        self.context
            .metrics
            .count_request(&verdict, active.terms.urgency);
        let _ = active.reply.send(StatementReply {
            id: active.request.id,
            verdict,
            served_by,
        });
    }

    /// Notes a keyed request's verdict and gives it to the resends that wait for it.
    fn decide_key(&mut self, active: &ActiveRequest, verdict: &RequestVerdict) {
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
        for waiter in self.resends.remove(&keyed).unwrap_or_default() {
            let _ = waiter.reply.send(StatementReply {
                id: waiter.id,
                verdict: verdict.clone(),
                served_by: None,
            });
        }
    }

    /// Ends the waits whose deadline has passed.
    pub(super) fn end_overdue(&mut self) {
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
            self.end_wait(ticket);
        }
        for waiters in self.resends.values_mut() {
            for waiter in waiters.extract_if(.., |waiter| now >= waiter.deadline) {
                let _ = waiter.reply.send(StatementReply {
                    id: waiter.id,
                    verdict: RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt),
                    served_by: None,
                });
            }
        }
        self.resends.retain(|_, waiters| !waiters.is_empty());
    }

    fn end_wait(&mut self, ticket: RequestTicket) {
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        match active.stage {
            RequestStage::Journaling(_) => {
                let outcome = FinishOutcome::NotRun;
                self.give_back(ticket, outcome, RefusalCause::DeadlinePassed);
            }
            RequestStage::AwaitingMajority(_)
            | RequestStage::AwaitingRound(_)
            | RequestStage::Recording(_) => {
                self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            }
            RequestStage::Waiting | RequestStage::Running(_) => {}
        }
    }

    /// Cancels a statement: one that waits does not run, one that runs is cancelled at its endpoint.
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
                    held.spent |= held.send(ConnectionOrder::Cancel);
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

/// Returns the transaction that a step finds open; the opening step finds none.
fn pinned_transaction(step: TransactionStep) -> Option<TransactionId> {
    match step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(id)
        | TransactionStep::Commit(id)
        | TransactionStep::Rollback(id) => Some(id),
    }
}
