//! Admission of statements: checks the lease, the handover and the contract, determines the minimum
//! log position that the statement must see, and queues it at the scheduler.

use super::NativeTask;
use super::dispatch::held_transaction;
use super::pool::digest_account;
use super::request::NativeRequest;
use crate::gateway::find_deadline;
use crate::gateway::find_latency_target;
use crate::gateway::find_terms;
use crate::gateway::is_caller_admitted;
use crate::gateway::reply_with;
use crate::group::hash_text;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_policy::AbandonEffect;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::KindName;
use ragwort_types::KindTerms;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionContext;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;
use ragwort_types::UrgencyClass;
use std::time::Duration;
use tokio::sync::oneshot;

impl NativeTask {
    /// Queues a statement, or refuses it at once.
    pub(super) fn handle_statement(
        &mut self,
        mut request: Box<StatementRequest>,
        reply: oneshot::Sender<StatementReply>,
    ) {
        let now = self.now();
        // The statement may come before the view's change is handled, and the check below reads
        // the newest contracts.
        self.apply_contracts();
        let terms = self.check_statement(&request);
        let context = request.context.take();
        let (terms, context) = match (terms, context) {
            (Ok(terms), Some(context)) => (terms, context),
            (Err(cause), _) => return self.refuse_at_once(&request, reply, cause),
            (Ok(_), None) => {
                return self.refuse_at_once(&request, reply, RefusalCause::Contract);
            }
        };
        if may_write_unpinned(request.step, &context) && self.holds_writes() {
            let verdict = self.refuse_held_write();
            return self.reply_at_once(&request, reply, verdict);
        }
        let full = find_deadline(&terms, &request.marks);
        let left = full.saturating_sub(Duration::from_millis(request.spent_ms));
        let min_position = self.find_min_position(now, &context, &terms);
        let active = NativeRequest {
            request,
            context,
            reply,
            terms,
            arrived: now,
            deadline: now + left,
            min_position,
            running: None,
        };
        self.enqueue(now, active);
    }

    fn refuse_at_once(
        &self,
        request: &StatementRequest,
        reply: oneshot::Sender<StatementReply>,
        cause: RefusalCause,
    ) {
        if cause == RefusalCause::Contract {
            self.log_missing_contract(request);
        }
        self.reply_at_once(request, reply, RequestVerdict::refused(cause, 0));
    }

    fn reply_at_once(
        &self,
        request: &StatementRequest,
        reply: oneshot::Sender<StatementReply>,
        verdict: RequestVerdict,
    ) {
        let metrics = &self.context.metrics;
        metrics.count_request(&verdict, UrgencyClass::Ordinary);
        // The gateway's connection may be gone.
        let _ = reply.send(reply_with(request, verdict));
    }

    /// Logs a statement for which no contract is known here.
    fn log_missing_contract(&self, request: &StatementRequest) {
        let standing = self.view.borrow().standing(self.now());
        let context = request.context.as_ref();
        log_event!(
            Level::Info,
            "statement",
            id = context.map_or("none", |context| context.caller_id.as_str()),
            customer = request.customer,
            group = self.group,
            outcome = "refused",
            cause = RefusalCause::Contract,
            epoch = self.record.placement.epoch,
            revision = standing.revision,
            lease_left_ms = standing.lease_left.as_millis(),
        );
    }

    /// Returns the contract's terms for a statement.
    ///
    /// # Errors
    ///
    /// Returns the cause if the statement is refused.
    fn check_statement(&self, request: &StatementRequest) -> Result<KindTerms, RefusalCause> {
        // After the end of the lease a successor may dispatch already. During a handover, open
        // transactions go on.
        let opens = matches!(
            request.step,
            TransactionStep::Single | TransactionStep::Begin(_)
        );
        if !self.may_serve() {
            return Err(RefusalCause::NoLease);
        }
        // On this cause the gateway sends the statement to the next leaseholder.
        if self.handover.refuses(request.step) {
            return Err(RefusalCause::NoLeaseholder);
        }
        // Once the successor may serve, a commit can't be acknowledged here any more, so none is
        // run.
        let over = self.handover.successor_may_serve();
        if let Some(transaction) = request.step.transaction()
            && !opens
            && (over || !self.transactions.contains_key(&transaction))
        {
            return Err(RefusalCause::TransactionLost);
        }
        let view = self.view.borrow();
        let contracts = view.copy.contract_table();
        let allowed = contracts.get_for_group(&request.customer, &self.group);
        let allowed = allowed.map(|held| &held.contract);
        let terms = allowed.and_then(|contract| find_terms(contract, &request.marks));
        let terms = terms.ok_or(RefusalCause::Contract)?;
        match allowed.is_some_and(|contract| is_caller_admitted(&view.copy, contract, request)) {
            true => Ok(terms),
            false => Err(RefusalCause::UnknownKey),
        }
    }

    /// Returns the minimum log position of an instance that may serve a statement.
    ///
    /// It covers the session's own writes, and every write that was acknowledged longer ago than
    /// the age that the statement's kind allows.
    fn find_min_position(
        &self,
        now: ClockTime,
        context: &SessionContext,
        terms: &KindTerms,
    ) -> LogPosition {
        let own = context
            .last_write
            .map(|position| self.history.clamp(position));
        let age = Duration::from_millis(terms.max_age_ms);
        let others = match age.is_zero() {
            true => self.history.newest(),
            false => self.history.required(now, age),
        };
        others.max(own.unwrap_or_default())
    }

    fn enqueue(&mut self, now: ClockTime, active: NativeRequest) {
        self.last_ticket += 1;
        let ticket = RequestTicket(self.last_ticket);
        self.tickets.insert(active.request.id, ticket);
        self.requests.insert(ticket, active);
        self.arrive(now, ticket);
    }

    /// Queues a statement at the scheduler, or settles it if the scheduler refuses it.
    fn arrive(&mut self, now: ClockTime, ticket: RequestTicket) {
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let profile = self.describe_request(ticket, active);
        if let ArrivalDecision::Refused(refusal) = self.scheduler.arrive(now, profile) {
            self.settle(ticket, RequestVerdict::NotRun(refusal));
        }
    }

    /// Recomputes the minimum positions of queued statements after a primary was found.
    ///
    /// The minimum of a read that arrived while no primary was known is too low. A replica that is
    /// far behind would serve it with data that is older than allowed.
    pub(super) fn raise_min_positions(&mut self) {
        let now = self.now();
        let waiting = self.requests.iter().filter(|(_, active)| {
            active.running.is_none() && held_transaction(active.request.step).is_none()
        });
        let waiting: Vec<RequestTicket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            let Some(active) = self.requests.get(&ticket) else {
                continue;
            };
            let min_position = self.find_min_position(now, &active.context, &active.terms);
            if self.scheduler.abandon(ticket) != AbandonEffect::Removed {
                continue;
            }
            if let Some(active) = self.requests.get_mut(&ticket) {
                active.min_position = min_position;
            }
            self.arrive(now, ticket);
        }
    }

    fn describe_request(&self, ticket: RequestTicket, active: &NativeRequest) -> RequestProfile {
        let request = &active.request;
        let step = self.scheduler_step(request.step);
        // A transaction that may write runs on the primary from its first statement on.
        let access = match (request.step, active.context.opens) {
            (TransactionStep::Single, _) => active.context.act.access(),
            (TransactionStep::Begin(_), Some(TransactionMode::ReadOnly)) => AccessMode::Read,
            _ => AccessMode::Write,
        };
        let kind = request.marks.kind.clone();
        RequestProfile {
            ticket,
            customer: request.customer.clone(),
            kind: kind.unwrap_or_else(|| KindName::from("")),
            session: hash_text(request.session.as_str()),
            account: request.account.as_ref().map(digest_account),
            key: None,
            access,
            repeat: active.terms.repeat,
            urgency: active.terms.urgency,
            length: active.terms.length,
            needs_primary: access == AccessMode::Write,
            min_position: active.min_position,
            max_age: find_age(&active.terms),
            deadline: active.deadline,
            target: find_latency_target(active.arrived, &active.terms, &active.request),
            step,
            priority: active.terms.priority,
        }
    }

    fn scheduler_step(&self, step: TransactionStep) -> RequestStep {
        match step {
            TransactionStep::Single => RequestStep::Single,
            TransactionStep::Begin(_) => RequestStep::Opens,
            TransactionStep::Within(id)
            | TransactionStep::Commit(id)
            | TransactionStep::Rollback(id) => match self.transactions.get(&id) {
                Some(open) => RequestStep::Within(open.opener),
                None => RequestStep::Single,
            },
        }
    }
}

/// Returns whether a statement outside of an open transaction may write, or opens a transaction that
/// may.
pub(super) fn may_write_unpinned(step: TransactionStep, context: &SessionContext) -> bool {
    match step {
        TransactionStep::Single => context.act.access() == AccessMode::Write,
        TransactionStep::Begin(_) => context.opens != Some(TransactionMode::ReadOnly),
        TransactionStep::Within(_) | TransactionStep::Commit(_) | TransactionStep::Rollback(_) => {
            false
        }
    }
}

/// Returns the maximum age of data that is passed to the scheduler: zero, or no limit.
///
/// The minimum position already expresses a read's allowed age, so a replica that holds it may
/// serve the read whatever its estimated lag. With the lag as a second condition, a replica that
/// holds the position would serve nothing until an overestimated lag has come down.
fn find_age(terms: &KindTerms) -> Duration {
    match terms.max_age_ms {
        0 => Duration::ZERO,
        _ => Duration::MAX,
    }
}
