//! Sends statements to endpoints as the scheduler decides, and settles them with their final
//! verdicts.
//!
//! The scheduler chooses the instance. This module chooses the connection: the pinned one of an
//! open transaction, an idle one of the caller's account, or a new one. The statement is sent there
//! after the commands that restore its session's state.

use super::NativeTask;
use super::intake::may_write_unpinned;
use super::link::CommandList;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkPurpose;
use super::pool::ConnectionCount;
use super::pool::ConnectionWork;
use super::request::NativeRequest;
use super::request::StatementPrelude;
use crate::edges::EndpointCommand;
use crate::endpoint_levels::log_level_changes;
use ragwort_control::ClockTime;
use ragwort_policy::AbandonEffect;
use ragwort_policy::DispatchOrder;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::PoolLimits;
use ragwort_policy::PoolMissAction;
use ragwort_policy::ReplayStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::choose_pool_miss_action;
use ragwort_types::AccessMode;
use ragwort_types::AccountName;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementId;
use ragwort_types::StatementOperation;
use ragwort_types::StatementReply;
use ragwort_types::TransactionStep;
use std::time::Duration;
use tokio::time::Instant;

/// How long an endpoint's refusal for its connection limit lowers the number of connections opened
/// there. An endpoint still counts the connections of a lost leaseholder for some seconds.
pub(super) const FULL_ENDPOINT_TTL: Duration = Duration::from_millis(500);

impl NativeTask {
    /// Runs the scheduler and carries out its decisions.
    pub(super) fn run_scheduler(&mut self) {
        let now = self.now();
        self.report_idle_accounts();
        let allowance = self.context.descriptors.allowance();
        self.scheduler.set_allowance(allowance);
        let decisions = self.scheduler.poll(now);
        log_level_changes(now, &self.group, &mut self.scheduler);
        for decision in decisions {
            match decision {
                SchedulerDecision::Dispatch(order) => self.dispatch(&order),
                SchedulerDecision::Refuse(order) => {
                    self.settle(order.ticket, RequestVerdict::NotRun(order.refusal));
                }
                SchedulerDecision::OpenConnection(instance) => {
                    if !self.open_connection(now, &instance) {
                        self.scheduler.connection_failed(now, &instance);
                    }
                }
            }
        }
        let metrics = &self.context.metrics;
        self.scarcity
            .note_change(now, &self.group, &self.scheduler, metrics);
    }

    /// Reports the accounts with an idle connection to the scheduler, for the instances where they
    /// may have changed.
    fn report_idle_accounts(&mut self) {
        if !self.by_account {
            return;
        }
        for instance in self.pool.take_idle_changes() {
            if self.pool.endpoint(&instance).is_none() {
                continue;
            }
            let accounts = self.pool.idle_accounts(&instance);
            // An instance may be announced before the scheduler gets it.
            if !self.scheduler.set_idle_accounts(&instance, accounts) {
                self.pool.note_idle_change(&instance);
            }
        }
    }

    /// Opens a connection for the account that is most likely to need one; returns false if the
    /// instance isn't known.
    pub(super) fn open_connection(&mut self, now: ClockTime, instance: &InstanceName) -> bool {
        let held = self.pool.list_held(instance);
        let account = self.demand.choose(now, &held);
        self.pool.open_connection(now, instance, account).is_some()
    }

    fn dispatch(&mut self, order: &DispatchOrder) {
        let now = self.now();
        let ticket = order.ticket;
        // The process may have been suspended since the decision. Its lease may have ended, and a
        // successor may lead the group.
        if !self.may_serve() {
            self.requeue_or_refuse(ticket, FinishOutcome::NotRun, RefusalCause::NoLease);
            return;
        }
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        // A successor may have read the primary's position already, so a commit that waited here
        // couldn't be acknowledged any more.
        let step = active.request.step;
        if matches!(step, TransactionStep::Commit(_)) && self.handover.successor_may_serve() {
            self.scheduler.abandon(ticket);
            self.scheduler.finished(now, ticket, FinishOutcome::NotSent);
            return self.lose_transaction(ticket, step);
        }
        // The order may have become known after the statement was queued.
        if self.holds_writes() {
            if may_write_unpinned(step, &active.context) {
                let outcome = FinishOutcome::NotRun;
                return self.requeue_or_refuse(ticket, outcome, RefusalCause::NoPrimary);
            }
            if self.commits_writes(step) {
                self.scheduler.abandon(ticket);
                self.scheduler.finished(now, ticket, FinishOutcome::NotSent);
                return self.lose_transaction(ticket, step);
            }
        }
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let account = active.request.account.clone();
        let unpinned = held_transaction(active.request.step).is_none();
        let link = self.choose_link(active, order);
        if unpinned {
            self.demand.note(now, account.as_ref());
            if let Some(account) = &account {
                self.pool.note_demand(now, &order.instance, account);
            }
        }
        let link = link.or_else(|| match unpinned {
            true => self.open_for_account(now, &order.instance, account),
            false => None,
        });
        let Some(link) = link else {
            self.requeue_or_refuse(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            return;
        };
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let Some(connection) = self.pool.connection_mut(link) else {
            return;
        };
        let prepared = match &active.context.act {
            StatementOperation::Prepared(definition) => Some(definition),
            StatementOperation::Text(_)
            | StatementOperation::Commit
            | StatementOperation::Rollback => None,
        };
        let replay = connection.image.plan(&active.context.values, prepared);
        let prelude = StatementPrelude {
            replay,
            begins: active.context.opens.is_some(),
        };
        let sent = connection.send(LinkOrder {
            purpose: LinkPurpose::Statement(active.request.id),
            commands: list_commands(active, &prelude),
            deadline: Instant::now() + active.deadline.since(now),
        });
        if !sent {
            self.requeue_or_refuse(
                ticket,
                FinishOutcome::NotSent,
                RefusalCause::EndpointRefused,
            );
            return;
        }
        connection.work = ConnectionWork::Statement(ticket);
        connection.ordered_at = now;
        let waited = now.since(active.arrived);
        self.context.metrics.observe_queue_wait(waited);
        if let Some(active) = self.requests.get_mut(&ticket) {
            active.running = Some(prelude);
        }
    }

    /// Returns whether a step commits a transaction that may have written.
    pub(super) fn commits_writes(&self, step: TransactionStep) -> bool {
        let TransactionStep::Commit(id) = step else {
            return false;
        };
        let transaction = self.transactions.get(&id);
        transaction.is_some_and(|transaction| transaction.may_write)
    }

    /// Opens a connection for a statement whose account has no idle one to the instance, in place
    /// of another account's idle one if the limits leave no room. The statement is sent once it is
    /// open.
    ///
    /// Returns `None` if the limits leave no room and no connection is idle.
    fn open_for_account(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        account: Option<AccountName>,
    ) -> Option<LinkId> {
        let endpoint = self.pool.endpoint(instance)?;
        let connections = self.connection_limit_of(&endpoint.announcement);
        let full = endpoint
            .full
            .filter(|full| now.since(full.since) < FULL_ENDPOINT_TTL);
        let room = full.map_or(connections, |full| full.held);
        let held = self.pool.list_held(instance);
        let own = u32::try_from(held.len()).unwrap_or(u32::MAX);
        let left = self.context.descriptors.allowance().room();
        let room = room.min(own.saturating_add(left));
        let limits = PoolLimits {
            connections,
            slots: endpoint.announcement.slots,
            room,
        };
        let action = choose_pool_miss_action(now, &held, &endpoint.demand, limits)?;
        self.context.metrics.count_pool_miss(action);
        match action {
            PoolMissAction::Replace(id) => {
                self.pool.remove_connection(LinkId(id));
            }
            PoolMissAction::Open => self.scheduler.connection_added(instance),
        }
        let id = self.pool.open_connection(now, instance, account);
        let Some(id) = id else {
            self.scheduler.connection_closed(instance);
            return None;
        };
        if let Some(connection) = self.pool.connection_mut(id) {
            connection.counted = ConnectionCount::Open;
        }
        Some(id)
    }

    fn choose_link(&self, active: &NativeRequest, order: &DispatchOrder) -> Option<LinkId> {
        match active.request.step {
            TransactionStep::Single | TransactionStep::Begin(_) => {
                let prepared = match &active.context.act {
                    StatementOperation::Prepared(definition) => Some(definition),
                    _ => None,
                };
                let account = active.request.account.as_ref();
                self.pool
                    .find_idle(&order.instance, account, &active.context.values, prepared)
            }
            TransactionStep::Within(id)
            | TransactionStep::Commit(id)
            | TransactionStep::Rollback(id) => self
                .transactions
                .get(&id)
                .map(|transaction| transaction.link),
        }
    }

    /// Reports to the scheduler that a statement did not run, and settles it unless it is requeued.
    pub(super) fn requeue_or_refuse(
        &mut self,
        ticket: RequestTicket,
        outcome: FinishOutcome,
        cause: RefusalCause,
    ) {
        let now = self.now();
        let decision = self.scheduler.finished(now, ticket, outcome);
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        active.running = None;
        let step = active.request.step;
        match decision {
            FinishDecision::Requeued => {}
            _ if held_transaction(step).is_some() => self.lose_transaction(ticket, step),
            FinishDecision::Refused(mut refusal) => {
                refusal.cause = cause;
                self.settle(ticket, RequestVerdict::NotRun(refusal));
            }
            FinishDecision::Settled | FinishDecision::Unknown => {
                self.settle(ticket, RequestVerdict::refused(cause, 0));
            }
        }
    }

    /// Ends a statement's transaction and refuses the statement with `TransactionLost`.
    ///
    /// Any other cause would invite the caller to repeat this statement alone, without the
    /// transaction's earlier statements.
    pub(super) fn lose_transaction(&mut self, ticket: RequestTicket, step: TransactionStep) {
        if let Some(transaction) = held_transaction(step) {
            self.end_transaction(transaction);
        }
        let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
        self.settle(ticket, lost);
    }

    /// Sends a statement's final verdict to its gateway.
    pub(super) fn settle(&mut self, ticket: RequestTicket, verdict: RequestVerdict) {
        self.settle_served(ticket, verdict, None);
    }

    /// Sends a statement's final verdict, and the instance that served it, to its gateway.
    pub(super) fn settle_served(
        &mut self,
        ticket: RequestTicket,
        verdict: RequestVerdict,
        served_by: Option<ServedBy>,
    ) {
        let Some(active) = self.requests.remove(&ticket) else {
            return;
        };
        let id = active.request.id;
        self.tickets.remove(&id);
        let metrics = &self.context.metrics;
        metrics.count_request(&verdict, active.terms.urgency);
        self.log_verdict(&active, &verdict, served_by.as_ref());
        // The gateway's connection may be gone.
        let _ = active.reply.send(StatementReply {
            id,
            verdict,
            served_by,
        });
    }

    /// Settles a statement that remains when the task ends.
    pub(super) fn settle_at_end(&mut self, ticket: RequestTicket) {
        let sent = self
            .requests
            .get(&ticket)
            .is_some_and(|active| active.running.is_some());
        let verdict = match sent {
            true => RequestVerdict::MayHaveRun(DoubtCause::LeaseLost),
            false => RequestVerdict::refused(RefusalCause::NoLeaseholder, 0),
        };
        self.settle(ticket, verdict);
    }

    /// Cancels a queued statement. A running one goes on, as the protocol of native endpoints can't
    /// cancel.
    pub(super) fn cancel(&mut self, id: StatementId) {
        let Some(ticket) = self.tickets.get(&id).copied() else {
            return;
        };
        if self.scheduler.abandon(ticket) == AbandonEffect::Removed {
            self.settle(ticket, RequestVerdict::refused(RefusalCause::Cancelled, 0));
        }
    }
}

/// Returns the transaction that must be open before a step; `None` for the opening step.
pub(super) fn held_transaction(step: TransactionStep) -> Option<ragwort_types::TransactionId> {
    match step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(id)
        | TransactionStep::Commit(id)
        | TransactionStep::Rollback(id) => Some(id),
    }
}

/// Lists the commands of a statement: the replay of session state, the begin of its transaction,
/// and the statement itself.
fn list_commands(active: &NativeRequest, prelude: &StatementPrelude) -> CommandList {
    let mut commands: CommandList = prelude.replay.iter().map(replay_command).collect();
    let after = Some(active.min_position).filter(|position| *position > LogPosition::default());
    if let Some(mode) = active.context.opens {
        commands.push(EndpointCommand::Begin { mode, after });
    }
    // Within a transaction the minimum position was requested by its begin.
    let single = active.request.step == TransactionStep::Single;
    let reads = active.context.act.access() == AccessMode::Read;
    commands.push(statement_command(active, after.filter(|_| single && reads)));
    commands
}

fn statement_command(active: &NativeRequest, after: Option<LogPosition>) -> EndpointCommand {
    let id = active.context.caller_id.clone();
    let text = active.request.text.clone();
    match &active.context.act {
        StatementOperation::Text(_) => EndpointCommand::Run { id, text, after },
        StatementOperation::Prepared(definition) => EndpointCommand::Execute {
            id,
            definition: definition.clone(),
            arguments: text,
            after,
        },
        StatementOperation::Commit => EndpointCommand::Commit { id },
        StatementOperation::Rollback => EndpointCommand::Rollback,
    }
}

fn replay_command(step: &ReplayStep) -> EndpointCommand {
    match step {
        ReplayStep::Rollback => EndpointCommand::Rollback,
        ReplayStep::Reset => EndpointCommand::Reset,
        ReplayStep::Set { name, value } => EndpointCommand::Set {
            name: name.clone(),
            value: value.clone(),
        },
        ReplayStep::Prepare(definition) => EndpointCommand::Prepare(definition.clone()),
    }
}
