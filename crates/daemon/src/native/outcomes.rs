//! Handles the events of connections, and derives the verdicts that callers get.
//!
//! A statement of which nothing was sent may run elsewhere. A write or commit whose answer is
//! missing, or arrives when this VM may no longer answer for the group, is reported as in doubt:
//! repeating it could run it twice, and refusing it would claim that it had no effect. Only a
//! statement of an idempotent kind may be repeated when its answer is missing.

use super::NativeTask;
use super::dispatch::FULL_ENDPOINT_TTL;
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
use super::request::StatementPrelude;
use crate::edges::EndpointEnd;
use crate::edges::SessionState;
use crate::log_event;
use log::Level;
use ragwort_control::PositionFate;
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
use ragwort_types::StatementAnswer;
use ragwort_types::StatementOperation;
use ragwort_types::TaggedRows;
use ragwort_types::TransactionId;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;
use std::net::SocketAddr;
use std::time::Duration;

/// Statements that take at least this long are logged even if they succeed.
const SLOW_STATEMENT: Duration = Duration::from_millis(250);

impl NativeTask {
    /// Handles a connection's event.
    pub(super) fn handle_link_event(&mut self, event: LinkEvent) {
        match event.change {
            LinkChange::Opened(position) => self.handle_opened(event.id, position),
            LinkChange::Finished(purpose, outcome) => {
                self.handle_finished(event.id, purpose, outcome);
                self.remove_unusable(event.id);
            }
            LinkChange::Closed(cause) => self.handle_closed(event.id, cause),
        }
    }

    fn handle_opened(&mut self, id: LinkId, position: Option<LogPosition>) {
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
            endpoint.probe_started = None;
        }
        self.request_report_if_needed(&instance);
    }

    /// Records that an instance has answered, and its log position if the answer contained one.
    fn note_answer(&mut self, instance: &InstanceName, position: Option<LogPosition>) {
        let now = self.now();
        if let Some(endpoint) = self.pool.endpoint_mut(instance) {
            endpoint.answered_at = now;
        }
        if self.suspect.as_ref() == Some(instance) {
            self.clear_suspicion();
        }
        self.replacement.note_answer(instance, position);
        let leads = self.is_leading(instance);
        if let Some(position) = position.filter(|_| !leads) {
            let replica = self.replicas.entry(instance.clone()).or_default();
            replica.record_answer(now, position, &self.history);
        }
    }

    fn handle_finished(&mut self, id: LinkId, purpose: LinkPurpose, outcome: LinkOutcome) {
        let now = self.now();
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        let instance = connection.instance.clone();
        let work = std::mem::replace(&mut connection.work, ConnectionWork::Nothing);
        connection.last_used = now;
        if work != ConnectionWork::Internal {
            connection.last_statement = now;
        }
        let answered = matches!(
            outcome.result,
            LinkResult::Answered(_) | LinkResult::Fault(_)
        );
        let end = outcome.end;
        let slot_freed = matches!(outcome.result, LinkResult::Answered(_));
        let was_open = connection.open;
        connection.unusable |= !answered;
        if answered {
            let position = outcome.end.and_then(|end| end.position);
            self.note_answer(&instance, position);
        }
        match (purpose, work) {
            (LinkPurpose::Statement(_), ConnectionWork::Statement(ticket)) => {
                self.handle_outcome(ticket, id, &instance, outcome);
                if slot_freed {
                    self.repeat_refused_report(&instance);
                }
            }
            (LinkPurpose::Report, _) => self.handle_report(&instance, outcome.result),
            (LinkPurpose::ConnectionValidation, _) => self.handle_validation_result(id, &outcome),
            (LinkPurpose::Statement(_), _) => {}
        }
        if let Some(end) = end {
            self.note_session_state(id, end.state);
        }
        if !answered && was_open {
            self.scheduler.connection_broke(now, &instance);
            self.validate_idle_connections(&instance);
        }
    }

    /// Ends a connection's validation.
    ///
    /// A connection whose reset was carried out may be used again, without the session state that it
    /// had. So may one that rejected the reset for want of capacity, with that state. After any other
    /// fault the state isn't known, and the connection is closed.
    fn handle_validation_result(&mut self, id: LinkId, outcome: &LinkOutcome) {
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        match &outcome.result {
            LinkResult::Answered(_) => connection.image.clear(),
            LinkResult::Fault(fault) if fault.sort.has_not_run() => {}
            LinkResult::Fault(fault) => {
                connection.unusable = true;
                log_event!(
                    Level::Warn,
                    "connection_not_reset",
                    group = self.group,
                    instance = connection.instance,
                    fault = format!("{:?}", fault.sort),
                );
            }
            LinkResult::NotSent | LinkResult::Lost | LinkResult::Silent => {
                connection.unusable = true;
            }
        }
        if std::mem::take(&mut connection.validating) {
            let instance = connection.instance.clone();
            self.scheduler.connection_validation_ended(&instance);
        }
    }

    /// Records whether a connection that no caller's transaction holds has been left in a
    /// transaction, as the endpoint's last answer shows.
    fn note_session_state(&mut self, id: LinkId, state: SessionState) {
        if let Some(connection) = self.pool.connection_mut(id)
            && connection.pinned.is_none()
        {
            let open = state != SessionState::Idle;
            connection.image.set_in_transaction(open);
        }
    }

    /// Removes an open connection that takes no further orders, without waiting for its close
    /// event.
    ///
    /// The scheduler would count it as idle until then and dispatch one waiting request after the
    /// other on it. A connection that has never opened stays until its close event brings the
    /// cause.
    fn remove_unusable(&mut self, id: LinkId) {
        if self
            .pool
            .connection(id)
            .is_some_and(|held| held.unusable && held.open)
        {
            self.handle_closed(id, CloseCause::Released);
        }
    }

    /// Removes a connection that has closed or is to be closed, and updates the scheduler.
    pub(super) fn handle_closed(&mut self, id: LinkId, cause: CloseCause) {
        let Some(connection) = self.pool.remove_connection(id) else {
            return;
        };
        let now = self.now();
        let instance = connection.instance;
        if let Some(transaction) = connection.pinned {
            self.end_transaction(transaction);
        }
        if let ConnectionWork::Statement(ticket) = connection.work {
            self.handle_lost(ticket, &instance, DoubtCause::EndpointLost);
        }
        if connection.validating {
            self.scheduler.connection_validation_ended(&instance);
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
            (true, CloseCause::Broken | CloseCause::Silent) if !connection.unusable => {
                self.scheduler.connection_broke(now, &instance);
                self.validate_idle_connections(&instance);
            }
            (false, cause) => self.handle_failed_open(&instance, connection.address, cause),
            _ => {}
        }
    }

    fn handle_failed_open(
        &mut self,
        instance: &InstanceName,
        address: SocketAddr,
        cause: CloseCause,
    ) {
        // A shortage on this VM, logged by `record_shortage`, says nothing about the endpoint.
        if cause == CloseCause::Exhausted {
            if let Some(endpoint) = self.pool.endpoint_mut(instance) {
                endpoint.probe_started = None;
            }
            return;
        }
        self.log_failed_open(instance, cause);
        match cause {
            // Another instance has the address now. The endpoint stays if it has announced a new
            // address since the connection was begun.
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
                let now = self.now();
                self.scheduler.endpoint_unreachable(now, instance);
                if let Some(endpoint) = self.pool.endpoint_mut(instance) {
                    endpoint.failed_opens += 1;
                    endpoint.probe_started = None;
                }
            }
        }
    }

    /// Logs that a connection could not be opened.
    ///
    /// An endpoint that counts the connections of a lost leaseholder refuses many in a row; of
    /// those, the first of each time for which such a refusal is remembered is logged.
    fn log_failed_open(&self, instance: &InstanceName, cause: CloseCause) {
        let now = self.now();
        let endpoint = self.pool.endpoint(instance);
        let known_full = endpoint
            .and_then(|one| one.full)
            .is_some_and(|full| now.since(full.since) < FULL_ENDPOINT_TTL);
        if cause == CloseCause::Full && known_full {
            return;
        }
        let limit = endpoint.map(|one| self.connection_limit_of(&one.announcement));
        log_event!(
            Level::Warn,
            "endpoint_connection_failed",
            group = self.group,
            instance = instance,
            cause = format!("{cause:?}"),
            held = self.pool.links_of(instance).len(),
            limit = limit.unwrap_or_default(),
            led_ms = now.since(self.taken_over_at).as_millis(),
        );
    }

    fn handle_outcome(
        &mut self,
        ticket: RequestTicket,
        link: LinkId,
        instance: &InstanceName,
        outcome: LinkOutcome,
    ) {
        let active = self.requests.get_mut(&ticket);
        let Some(prelude) = active.and_then(|active| active.running.take()) else {
            // What was replayed for it isn't known any more.
            if let Some(connection) = self.pool.connection_mut(link) {
                connection.unusable = true;
            }
            return;
        };
        self.note_replay(link, &prelude, outcome.done);
        let sent = outcome.done >= prelude.command_count();
        match outcome.result {
            LinkResult::Answered(answer) => {
                self.handle_answer(ticket, link, instance, answer, outcome.end);
            }
            LinkResult::Fault(fault) if sent => {
                self.handle_fault(ticket, link, instance, fault, outcome.end);
            }
            LinkResult::Fault(fault) => {
                self.handle_failed_prelude(ticket, link, instance, &fault, outcome.end);
            }
            LinkResult::Lost if sent => {
                self.handle_lost(ticket, instance, DoubtCause::EndpointLost);
            }
            LinkResult::Silent if sent => {
                self.handle_lost(ticket, instance, DoubtCause::EndpointSilent);
            }
            // The statement itself was not sent. A transaction begun for it is rolled back when its
            // connection closes.
            LinkResult::NotSent | LinkResult::Lost | LinkResult::Silent => {
                // `NotSent` counts as no attempt, so a statement could be requeued for one failing
                // connection after the other until its deadline.
                let opened = self.pool.connection(link).is_some_and(|one| one.open);
                let outcome = match opened {
                    true => FinishOutcome::NotSent,
                    false => FinishOutcome::NotRun,
                };
                self.requeue_or_refuse(ticket, outcome, RefusalCause::EndpointRefused);
            }
        }
    }

    fn note_replay(&mut self, link: LinkId, prelude: &StatementPrelude, done: usize) {
        if let Some(connection) = self.pool.connection_mut(link) {
            for step in prelude.replay.iter().take(done) {
                connection.image.note_done(step);
            }
        }
    }

    /// Requeues or settles a statement whose answer was lost after it was sent.
    fn handle_lost(&mut self, ticket: RequestTicket, instance: &InstanceName, cause: DoubtCause) {
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
            // A transaction without a commit leaves nothing behind, so only the commit is in doubt.
            TransactionStep::Begin(_) if is_commit(&self.requests, ticket) => {
                self.settle(ticket, RequestVerdict::MayHaveRun(cause));
            }
            TransactionStep::Begin(_)
            | TransactionStep::Within(_)
            | TransactionStep::Rollback(_) => self.lose_transaction(ticket, step),
        }
    }

    fn handle_answer(
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
        let saves = commits && (step == TransactionStep::Single || self.commits_writes(step));
        let state = end.map_or(SessionState::Failed, |end| end.state);
        self.update_transaction(ticket, step, link, state);
        let reported = end.and_then(|end| end.position);
        let position = reported.unwrap_or_default();
        let leads = self.is_leading(instance);
        let confirmed = !saves || self.may_confirm_commit(leads, reported);
        if commits && leads {
            self.history.note(now, position);
            if confirmed {
                self.replacement.note_acknowledged(position);
            }
        }
        let served = ServedBy {
            instance: instance.clone(),
            replica: !leads,
            position,
        };
        // A leaseholder that was suspended resumes with answers from before its lease ended. Since
        // then a successor may have acknowledged writes that these answers lack. A leaseholder that
        // has handed the group over may still have commits under way. Its successor may have read
        // the primary's position before they were done, and would let replicas without these
        // commits serve reads.
        let handed_over = commits && self.handover.successor_may_serve();
        if !self.may_serve() || handed_over {
            return self.withhold_answer(ticket, step, commits);
        }
        if !confirmed {
            let doubt = RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed);
            return self.settle(ticket, doubt);
        }
        self.context.metrics.count_read(&served);
        let rows = TaggedRows {
            rows: answer.rows,
            tag: answer.tag,
        };
        let verdict = RequestVerdict::Ran(StatementAnswer::Tagged(rows));
        self.settle_served(ticket, verdict, Some(served));
    }

    /// Returns whether a caller may be told that its commit is saved, by the position in the answer.
    ///
    /// The instance that is being promoted may lack it, or one whose promotion was ordered earlier.
    /// So may the present primary, if the answer is of an earlier term.
    fn may_confirm_commit(&self, leads: bool, position: Option<LogPosition>) -> bool {
        let Some(position) = position else {
            return leads && self.replacement.may_confirm(LogPosition::default());
        };
        let Some((_, term)) = self.leading else {
            return false;
        };
        // An instance that doesn't lead shows a position of the present term if it has received the
        // log of the present primary since. That doesn't tell whether the commit is part of it.
        let from_leader = leads || position.term < term;
        from_leader
            && self.history.fate(position) == PositionFate::Held
            && self.replacement.may_confirm(position)
            && self.is_held_by_ordered(position)
    }

    /// Settles a statement whose answer this VM may not give any more.
    ///
    /// A single read is refused with `NoLease`, and its gateway sends it to the next leaseholder. A
    /// statement of a transaction must not be: the gateway would also send a transaction's first
    /// write again. It would run a second time, beside the first one's transaction, which nobody
    /// would end.
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

    /// Pins a connection to a transaction, keeps it pinned, or frees it, after a statement has
    /// ended.
    pub(super) fn update_transaction(
        &mut self,
        ticket: RequestTicket,
        step: TransactionStep,
        link: LinkId,
        state: SessionState,
    ) {
        let now = self.now();
        let open = state != SessionState::Idle;
        match step {
            TransactionStep::Single => {}
            // The statement that opened the transaction also ended it.
            TransactionStep::Begin(_) if !open => self.scheduler.unpin(now, ticket),
            TransactionStep::Begin(id) => {
                if let Some(connection) = self.pool.connection_mut(link) {
                    connection.pinned = Some(id);
                }
                let opened = self.requests.get(&ticket);
                let mode = opened.and_then(|active| active.context.opens);
                let transaction = NativeTransaction {
                    opener: ticket,
                    link,
                    may_write: mode != Some(TransactionMode::ReadOnly),
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
            }
        }
    }

    /// Ends a transaction by closing its connection, so that the endpoint rolls it back.
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

    /// Starts the validation of each idle connection of an instance, which keeps statements off it
    /// until it has answered.
    ///
    /// One silent connection suggests that a device on the path, such as a firewall, has dropped
    /// the state of all of them. Each would otherwise cost a statement a timeout.
    pub(super) fn validate_idle_connections(&mut self, instance: &InstanceName) {
        for id in self.pool.links_of(instance) {
            let idle = self.pool.connection(id).is_some_and(|one| one.is_idle());
            if idle && self.start_validation(id) {
                self.scheduler.connection_validation_started(instance);
            }
        }
    }

    /// Logs a statement that was refused, is in doubt, failed with a fault, or was slow.
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
            floor = active.min_position,
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
    active.is_some_and(|active| active.context.act == StatementOperation::Commit)
}
