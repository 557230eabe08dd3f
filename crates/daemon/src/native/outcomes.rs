//! Takes what connections report, and decides what callers may be told.

use super::NativeTask;
use super::link::CloseCause;
use super::link::LinkAnswer;
use super::link::LinkChange;
use super::link::LinkEvent;
use super::link::LinkId;
use super::link::LinkOutcome;
use super::link::LinkPurpose;
use super::link::LinkResult;
use super::pool::ConnectionCount;
use super::pool::ConnectionWork;
use super::pool::FullEndpoint;
use super::request::NativeRequest;
use super::request::NativeTransaction;
use super::request::RunningPlace;
use crate::edges::EndpointEnd;
use crate::edges::SessionState;
use crate::log_event;
use log::Level;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAct;
use ragwort_types::StatementAnswer;
use ragwort_types::TaggedRows;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use std::net::SocketAddr;
use std::time::Duration;

/// A statement that takes longer than this is logged, however it ends.
const SLOW_STATEMENT: Duration = Duration::from_millis(250);

impl NativeTask {
    /// Takes a connection's event.
    pub(super) fn take_link_event(&mut self, event: LinkEvent) {
        match event.change {
            LinkChange::Opened(position) => self.take_opened(event.id, position),
            LinkChange::Finished(purpose, outcome) => {
                self.take_finished(event.id, purpose, outcome);
                self.forget_spent(event.id);
            }
            LinkChange::Closed(cause) => self.take_closed(event.id, cause),
        }
    }

    fn take_opened(&mut self, id: LinkId, position: Option<LogPosition>) {
        let now = self.now();
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        connection.open = true;
        connection.last_used = now;
        let instance = connection.instance.clone();
        let counted = std::mem::replace(&mut connection.counted, ConnectionCount::Open);
        if counted == ConnectionCount::Opening {
            self.scheduler.connection_opened(&instance);
        }
        self.note_answer(&instance, position);
        if let Some(endpoint) = self.pool.endpoint_mut(&instance) {
            endpoint.failed_opens = 0;
            endpoint.probing = None;
        }
        self.ask_claimant(&instance);
    }

    /// Notes that an instance has answered, and what its log holds.
    fn note_answer(&mut self, instance: &InstanceName, position: Option<LogPosition>) {
        let now = self.now();
        if let Some(endpoint) = self.pool.endpoint_mut(instance) {
            endpoint.answered = now;
        }
        if self.suspect.as_ref() == Some(instance) {
            self.clear_suspicion();
        }
        let leads = self.is_leading(instance);
        if let Some(position) = position.filter(|_| !leads) {
            let replica = self.replicas.entry(instance.clone()).or_default();
            replica.learn(now, position, &self.history);
        }
    }

    fn take_finished(&mut self, id: LinkId, purpose: LinkPurpose, outcome: LinkOutcome) {
        let now = self.now();
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        let instance = connection.instance.clone();
        let work = std::mem::replace(&mut connection.work, ConnectionWork::Nothing);
        connection.last_used = now;
        if work != ConnectionWork::Own {
            connection.last_statement = now;
        }
        let answered = matches!(
            outcome.result,
            LinkResult::Answered(_) | LinkResult::Fault(_)
        );
        let was_open = connection.open;
        connection.spent |= !answered;
        if answered {
            let position = outcome.end.and_then(|end| end.position);
            self.note_answer(&instance, position);
        }
        match (purpose, work) {
            (LinkPurpose::Statement(_), ConnectionWork::Statement(ticket)) => {
                self.take_outcome(ticket, id, &instance, outcome);
            }
            (LinkPurpose::Report, _) => self.take_report(&instance, outcome.result),
            (LinkPurpose::Proof, _) => self.take_proof(id, answered),
            (LinkPurpose::Statement(_), _) => {}
        }
        if !answered && was_open {
            self.doubt_connections(&instance);
        }
    }

    /// Lets a connection that answered take work again; its values were cleared by the question.
    fn take_proof(&mut self, id: LinkId, answered: bool) {
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        connection.image.clear();
        if std::mem::take(&mut connection.doubted) {
            let instance = connection.instance.clone();
            self.scheduler.doubt_ended(&instance);
        }
        if !answered && let Some(connection) = self.pool.connection_mut(id) {
            connection.spent = true;
        }
    }

    /// Forgets a connection that takes no further order, before its task says that it closed.
    ///
    /// The scheduler would count it as idle until then, and dispatch waiting requests on it one
    /// after the other. One that has never opened is left until its task says why.
    fn forget_spent(&mut self, id: LinkId) {
        if self
            .pool
            .connection(id)
            .is_some_and(|held| held.spent && held.open)
        {
            self.take_closed(id, CloseCause::Released);
        }
    }

    /// Forgets a connection that has closed, or that is closed by being forgotten.
    pub(super) fn take_closed(&mut self, id: LinkId, cause: CloseCause) {
        let Some(connection) = self.pool.remove_connection(id) else {
            return;
        };
        let now = self.now();
        let instance = connection.instance;
        if let Some(transaction) = connection.pinned {
            self.end_transaction(transaction);
        }
        if let ConnectionWork::Statement(ticket) = connection.work {
            self.take_lost(ticket, &instance, DoubtCause::EndpointLost);
        }
        if connection.doubted {
            self.scheduler.doubt_ended(&instance);
        }
        if !connection.retired {
            match (connection.counted, connection.open) {
                (ConnectionCount::Open, true) => self.scheduler.connection_closed(&instance),
                (ConnectionCount::Open, false) => {
                    self.scheduler.added_connection_failed(now, &instance);
                }
                (ConnectionCount::Opening, _) => self.scheduler.connection_failed(now, &instance),
            }
        }
        match (connection.open, cause) {
            (true, CloseCause::Broken | CloseCause::Silent) if !connection.spent => {
                self.doubt_connections(&instance);
            }
            (false, cause) => self.take_failed_open(&instance, connection.address, cause),
            _ => {}
        }
    }

    fn take_failed_open(
        &mut self,
        instance: &InstanceName,
        address: SocketAddr,
        cause: CloseCause,
    ) {
        // `note_shortage` has logged it.
        if cause == CloseCause::Exhausted {
            if let Some(endpoint) = self.pool.endpoint_mut(instance) {
                endpoint.probing = None;
            }
            return;
        }
        let endpoint = self.pool.endpoint(instance);
        let limit = endpoint.map(|one| self.find_connections(&one.announcement));
        log_event!(
            Level::Warn,
            "endpoint_connection_failed",
            group = self.group,
            instance = instance,
            cause = format!("{cause:?}"),
            held = self.pool.links_of(instance).len(),
            limit = limit.unwrap_or_default(),
            led_ms = self.now().since(self.taken).as_millis(),
        );
        match cause {
            // Another instance has the address now. The endpoint stays if it has announced another
            // address since.
            CloseCause::WrongInstance => {
                let present = self.pool.endpoint(instance);
                if present.is_some_and(|one| one.announcement.data_address == address) {
                    self.drop_endpoint(instance);
                }
            }
            CloseCause::Full => {
                let links = self.pool.links_of(instance);
                let open = links.into_iter().filter_map(|id| self.pool.connection(id));
                let held = open.filter(|one| one.open).count();
                let full = FullEndpoint {
                    since: self.now(),
                    held: u32::try_from(held).unwrap_or(u32::MAX),
                };
                if let Some(endpoint) = self.pool.endpoint_mut(instance) {
                    endpoint.full = Some(full);
                }
            }
            CloseCause::Released | CloseCause::Exhausted => {}
            CloseCause::Refused | CloseCause::Silent | CloseCause::Broken => {
                if let Some(endpoint) = self.pool.endpoint_mut(instance) {
                    endpoint.failed_opens += 1;
                    endpoint.probing = None;
                }
            }
        }
    }

    fn take_outcome(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        instance: &InstanceName,
        outcome: LinkOutcome,
    ) {
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(place) = active.running.take() else {
            return;
        };
        self.note_replay(link, &place, outcome.done);
        let sent = outcome.done >= place.prelude();
        match outcome.result {
            LinkResult::Answered(answer) => {
                self.take_answer(ticket, link, instance, answer, outcome.end);
            }
            LinkResult::Fault(fault) if sent => {
                self.take_fault(ticket, link, instance, fault, outcome.end);
            }
            LinkResult::Fault(fault) => {
                self.take_failed_prelude(ticket, link, instance, &fault, outcome.end);
            }
            LinkResult::Lost if sent => {
                self.take_lost(ticket, instance, DoubtCause::EndpointLost);
            }
            LinkResult::Silent if sent => {
                self.take_lost(ticket, instance, DoubtCause::EndpointSilent);
            }
            // The statement itself was not sent; a transaction that was begun is rolled back with
            // its connection.
            LinkResult::NotSent | LinkResult::Lost | LinkResult::Silent => {
                // Opening one connection after the other would hold up the statement for nothing.
                let opened = self.pool.connection(link).is_some_and(|one| one.open);
                let outcome = match opened {
                    true => FinishOutcome::NotSent,
                    false => FinishOutcome::NotRun,
                };
                self.give_back(ticket, outcome, RefusalCause::EndpointRefused);
            }
        }
    }

    fn note_replay(&mut self, link: LinkId, place: &RunningPlace, done: usize) {
        if let Some(connection) = self.pool.connection_mut(link) {
            for step in place.replay.iter().take(done) {
                connection.image.note_done(step);
            }
        }
    }

    /// Deals with a statement whose answer was lost after it was sent.
    fn take_lost(&mut self, ticket: RequestTicket, instance: &InstanceName, cause: DoubtCause) {
        let now = self.now();
        let decision = self.scheduler.finished(now, ticket, FinishOutcome::Lost);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        active.running = None;
        let step = active.request.step;
        let reads = active.context.act.access() == AccessMode::Read;
        log_event!(
            Level::Info,
            "answer_lost",
            id = active.context.caller_id,
            group = self.group,
            instance = instance,
            cause = cause,
            requeued = decision == FinishDecision::Requeued,
        );
        if decision == FinishDecision::Requeued {
            return;
        }
        match step {
            TransactionStep::Single if reads => {
                let refused = RequestVerdict::refused(RefusalCause::EndpointRefused, 0);
                self.settle(ticket, refused);
            }
            TransactionStep::Single => {
                self.settle(ticket, RequestVerdict::MayHaveRun(cause));
            }
            TransactionStep::Commit(transaction) => {
                self.end_transaction(transaction);
                self.settle(ticket, RequestVerdict::MayHaveRun(cause));
            }
            // Nothing of a transaction lasts that was not asked to commit.
            TransactionStep::Begin(_) if is_commit(&self.requests, ticket) => {
                self.settle(ticket, RequestVerdict::MayHaveRun(cause));
            }
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => self.lose_transaction(ticket, step),
        }
    }

    fn take_answer(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        instance: &InstanceName,
        answer: LinkAnswer,
        end: Option<EndpointEnd>,
    ) {
        let now = self.now();
        self.scheduler
            .finished(now, ticket, FinishOutcome::Answered);
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let step = active.request.step;
        let commits = active.commits();
        let state = end.map_or(SessionState::Failed, |end| end.state);
        self.follow_transaction(ticket, step, link, state);
        let position = end.and_then(|end| end.position).unwrap_or_default();
        let leads = self.is_leading(instance);
        if commits && leads {
            self.history.note(now, position);
        }
        let served = ServedBy {
            instance: instance.clone(),
            replica: !leads,
            position,
        };
        // A leaseholder that was frozen wakes up with answers of a time when it led. Meanwhile a
        // successor may have acknowledged what they lack. One that has handed the group over may still
        // hold commits under way: its successor has asked the primary where it stands before they were
        // done, and would let replicas serve that lack what is acknowledged here.
        let handed_over = commits && self.handover.is_out_of_hand();
        if !self.may_serve() || handed_over {
            return self.withhold_answer(ticket, step, commits);
        }
        self.context.metrics.count_read(&served);
        let rows = TaggedRows {
            rows: answer.rows,
            tag: answer.tag,
        };
        let verdict = RequestVerdict::Ran(StatementAnswer::Tagged(rows));
        self.settle_served(ticket, verdict, Some(served));
    }

    /// Settles a statement whose answer this VM must not give any more.
    ///
    /// A single read may run again elsewhere. A statement of a transaction may not: told that nobody led
    /// the group, the gateway would hand a transaction's first write over once more, to run beside the one
    /// that has run here and whose transaction nobody would end.
    fn withhold_answer(&mut self, ticket: RequestTicket, step: TransactionStep, commits: bool) {
        match step {
            _ if commits => {
                let doubt = RequestVerdict::MayHaveRun(DoubtCause::LeaseLost);
                self.settle(ticket, doubt);
            }
            TransactionStep::Single => {
                let refused = RequestVerdict::refused(RefusalCause::NoLease, 0);
                self.settle(ticket, refused);
            }
            TransactionStep::Begin(transaction) => {
                self.end_transaction(transaction);
                self.lose_transaction(ticket, step);
            }
            TransactionStep::Within(_)
            | TransactionStep::Commit(_)
            | TransactionStep::Rollback(_) => self.lose_transaction(ticket, step),
        }
    }

    /// Pins, keeps or frees the connection of a transaction after one of its statements.
    pub(super) fn follow_transaction(
        &mut self,
        ticket: RequestTicket,
        step: TransactionStep,
        link: LinkId,
        state: SessionState,
    ) {
        let now = self.now();
        let open = state != SessionState::Idle;
        match step {
            TransactionStep::Single => self.note_left_open(link, open),
            // A transaction of nothing but its commit is over with it.
            TransactionStep::Begin(_) if !open => self.scheduler.unpin(now, ticket),
            TransactionStep::Begin(id) => {
                if let Some(connection) = self.pool.connection_mut(link) {
                    connection.pinned = Some(id);
                }
                let transaction = NativeTransaction {
                    opener: ticket,
                    link,
                    last_used: now,
                };
                self.transactions.insert(id, transaction);
            }
            TransactionStep::Within(id) => {
                if let Some(transaction) = self.transactions.get_mut(&id) {
                    transaction.last_used = now;
                }
            }
            TransactionStep::Commit(id) | TransactionStep::Rollback(id) => {
                if let Some(transaction) = self.transactions.remove(&id) {
                    self.scheduler.unpin(now, transaction.opener);
                }
                if let Some(connection) = self.pool.connection_mut(link) {
                    connection.pinned = None;
                }
                self.note_left_open(link, open);
            }
        }
    }

    fn note_left_open(&mut self, link: LinkId, open: bool) {
        if let Some(connection) = self.pool.connection_mut(link) {
            connection.image.set_in_transaction(open);
        }
    }

    /// Forgets a transaction and closes its connection, so that the endpoint rolls it back.
    pub(super) fn end_transaction(&mut self, id: TransactionId) {
        let Some(transaction) = self.transactions.remove(&id) else {
            return;
        };
        let now = self.now();
        self.scheduler.unpin(now, transaction.opener);
        if let Some(connection) = self.pool.remove_connection(transaction.link)
            && !connection.retired
        {
            self.scheduler.connection_closed(&connection.instance);
        }
    }

    /// Keeps work away from an instance's idle connections until they have answered.
    ///
    /// One silent connection suggests that something on the path has forgotten them all; the next
    /// statements would otherwise find that out one by one.
    pub(super) fn doubt_connections(&mut self, instance: &InstanceName) {
        for id in self.pool.links_of(instance) {
            let idle = self.pool.connection(id).is_some_and(|one| one.is_idle());
            if idle && self.order_proof(id) {
                self.scheduler.connection_doubted(instance);
            }
        }
    }

    /// Logs what became of a statement: refusals, doubts and slow ones.
    pub(super) fn log_verdict(
        &self,
        active: &NativeRequest,
        verdict: &RequestVerdict,
        served_by: Option<&ServedBy>,
    ) {
        let took = self.now().since(active.arrived);
        let (outcome, cause) = match verdict {
            RequestVerdict::Ran(StatementAnswer::Faulted(fault)) => {
                ("faulted", format!("{:?}", fault.sort))
            }
            RequestVerdict::Ran(_) if took < SLOW_STATEMENT => return,
            RequestVerdict::Ran(_) => ("served", String::new()),
            RequestVerdict::NotRun(refusal) => ("refused", refusal.cause.to_string()),
            RequestVerdict::MayHaveRun(cause) => ("in_doubt", cause.to_string()),
        };
        let instance = served_by.map(|served| served.instance.as_str());
        log_event!(
            Level::Info,
            "statement",
            id = active.context.caller_id,
            customer = active.request.customer,
            group = self.group,
            outcome = outcome,
            cause = cause,
            took_ms = took.as_millis(),
            instance = instance.unwrap_or("none"),
            floor = active.floor,
            newest = self.history.newest(),
            epoch = self.record.placement.epoch,
            primary = self
                .leading
                .as_ref()
                .map_or("none", |(name, _)| name.as_str()),
        );
    }
}

fn is_commit(
    requests: &std::collections::HashMap<RequestTicket, NativeRequest>,
    ticket: RequestTicket,
) -> bool {
    let active = requests.get(&ticket);
    active.is_some_and(|active| active.context.act == StatementAct::Commit)
}
