//! Brings statements to endpoints, and gives them their final verdicts.

use super::NativeTask;
use super::link::CommandList;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkPurpose;
use super::pool::ConnectionCount;
use super::pool::ConnectionWork;
use super::request::NativeRequest;
use super::request::RunningPlace;
use crate::edges::EndpointCommand;
use ragwort_control::ClockTime;
use ragwort_policy::AbandonEffect;
use ragwort_policy::DispatchOrder;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::MissChoice;
use ragwort_policy::ReplayStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::choose_on_miss;
use ragwort_types::AccessMode;
use ragwort_types::AccountName;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAct;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::TransactionStep;
use std::time::Duration;
use tokio::time::Instant;

/// How long an endpoint that refused a connection is taken to have no room for one more. It counts those
/// of a lost leaseholder for some seconds.
const FULL_MEMORY: Duration = Duration::from_millis(500);

impl NativeTask {
    /// Does what the scheduler decides.
    pub(super) fn follow_scheduler(&mut self) {
        let now = self.now();
        self.show_idle_accounts();
        let allowance = self.context.descriptors.allowance();
        self.scheduler.set_allowance(allowance);
        for decision in self.scheduler.poll(now) {
            match decision {
                SchedulerDecision::Dispatch(order) => self.start(&order),
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
    }

    fn show_idle_accounts(&mut self) {
        if !self.by_account {
            return;
        }
        for instance in self.pool.names() {
            let accounts = self.pool.idle_accounts(&instance);
            self.scheduler.set_idle_accounts(&instance, accounts);
        }
    }

    /// Opens a connection ahead, for the account that is likeliest to need it; false if the instance isn't
    /// known.
    pub(super) fn open_connection(&mut self, now: ClockTime, instance: &InstanceName) -> bool {
        let held = self.pool.list_held(instance);
        let account = self.demand.choose(now, &held);
        self.pool.open_connection(now, instance, account).is_some()
    }

    fn start(&mut self, order: &DispatchOrder) {
        let now = self.now();
        let ticket = order.ticket;
        // The process may have been stopped since the decision: its lease can have ended, and a
        // successor can have taken the group over.
        if !self.may_serve() {
            self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::NoLease);
            return;
        }
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let account = active.request.account.clone();
        let fresh = held_transaction(active.request.step).is_none();
        let link = self.choose_link(active, order);
        if fresh {
            self.demand.note(now, account.as_ref());
        }
        let link = link.or_else(|| match fresh {
            true => self.open_for(now, &order.instance, account),
            false => None,
        });
        let Some(link) = link else {
            self.give_back(ticket, FinishOutcome::NotRun, RefusalCause::EndpointRefused);
            return;
        };
        let Some(active) = self.requests.get(&ticket) else {
            return;
        };
        let Some(connection) = self.pool.connection_mut(link) else {
            return;
        };
        let prepared = match &active.context.act {
            StatementAct::Prepared(shape) => Some(shape),
            StatementAct::Text(_) | StatementAct::Commit | StatementAct::Rollback => None,
        };
        let replay = connection.image.plan(&active.context.values, prepared);
        let place = RunningPlace {
            replay,
            begins: active.context.opens.is_some(),
        };
        let sent = connection.send(LinkOrder {
            purpose: LinkPurpose::Statement(active.request.id),
            commands: list_commands(active, &place),
            until: Instant::now() + active.deadline.since(now),
        });
        if !sent {
            self.give_back(
                ticket,
                FinishOutcome::NotSent,
                RefusalCause::EndpointRefused,
            );
            return;
        }
        connection.work = ConnectionWork::Statement(ticket);
        connection.ordered = now;
        let waited = now.since(active.arrived);
        self.context.metrics.observe_queue_wait(waited);
        if let Some(active) = self.requests.get_mut(&ticket) {
            active.running = Some(place);
        }
    }

    /// Opens a connection for a statement whose account has no idle one there, in place of another's if
    /// need be. The statement goes on it as soon as it is open.
    fn open_for(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        account: Option<AccountName>,
    ) -> Option<LinkId> {
        let endpoint = self.pool.endpoint(instance)?;
        let connections = self.find_connections(&endpoint.announcement);
        let full = endpoint
            .full
            .filter(|full| now.since(full.since) < FULL_MEMORY);
        let room = full.map_or(connections, |full| full.held);
        let held = self.pool.list_held(instance);
        let own = u32::try_from(held.len()).unwrap_or(u32::MAX);
        let left = self.context.descriptors.allowance().room();
        let room = room.min(own.saturating_add(left));
        let choice = choose_on_miss(&held, connections, room)?;
        match choice {
            MissChoice::Replace(id) => {
                self.pool.remove_connection(LinkId(id));
            }
            MissChoice::Open => self.scheduler.connection_added(instance),
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
                    StatementAct::Prepared(shape) => Some(shape),
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

    /// Gives a statement that did not run back to the scheduler.
    pub(super) fn give_back(
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

    /// Ends a transaction whose connection is gone, and with it all that it has done.
    ///
    /// A caller that were told to come back with this one statement would lose the others.
    pub(super) fn lose_transaction(&mut self, ticket: RequestTicket, step: TransactionStep) {
        if let Some(transaction) = held_transaction(step) {
            self.end_transaction(transaction);
        }
        let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
        self.settle(ticket, lost);
    }

    /// Gives a statement its final verdict.
    pub(super) fn settle(&mut self, ticket: RequestTicket, verdict: RequestVerdict) {
        self.settle_served(ticket, verdict, None);
    }

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
        // A gateway that is gone needs no answer.
        let _ = active.reply.send(StatementReply {
            id,
            verdict,
            served_by,
        });
    }

    /// Settles a statement that is left when the task ends.
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

    /// Cancels a statement that waits. One that runs goes on: such endpoints know no cancel.
    pub(super) fn cancel(&mut self, id: StatementId) {
        let Some(ticket) = self.tickets.get(&id).copied() else {
            return;
        };
        if self.scheduler.abandon(ticket) == AbandonEffect::Removed {
            self.settle(ticket, RequestVerdict::refused(RefusalCause::Cancelled, 0));
        }
    }
}

/// Returns the transaction that a step finds open; the opening step finds none.
pub(super) fn held_transaction(step: TransactionStep) -> Option<ragwort_types::TransactionId> {
    match step {
        TransactionStep::Single | TransactionStep::Begin(_) => None,
        TransactionStep::Within(id)
        | TransactionStep::Commit(id)
        | TransactionStep::Rollback(id) => Some(id),
    }
}

/// Lists what is sent for a statement: the replay, the start of its transaction, and itself.
fn list_commands(active: &NativeRequest, place: &RunningPlace) -> CommandList {
    let mut commands: CommandList = place.replay.iter().map(to_command).collect();
    let after = Some(active.floor).filter(|floor| *floor > LogPosition::default());
    if let Some(mode) = active.context.opens {
        commands.push(EndpointCommand::Begin { mode, after });
    }
    // Within a transaction the position was asked for when it was opened.
    let single = active.request.step == TransactionStep::Single;
    let reads = active.context.act.access() == AccessMode::Read;
    commands.push(name_command(active, after.filter(|_| single && reads)));
    commands
}

fn name_command(active: &NativeRequest, after: Option<LogPosition>) -> EndpointCommand {
    let id = active.context.caller_id.clone();
    let text = active.request.text.clone();
    match &active.context.act {
        StatementAct::Text(_) => EndpointCommand::Run { id, text, after },
        StatementAct::Prepared(shape) => EndpointCommand::Execute {
            id,
            shape: shape.clone(),
            arguments: text,
            after,
        },
        StatementAct::Commit => EndpointCommand::Commit { id },
        StatementAct::Rollback => EndpointCommand::Rollback,
    }
}

fn to_command(step: &ReplayStep) -> EndpointCommand {
    match step {
        ReplayStep::Rollback => EndpointCommand::Rollback,
        ReplayStep::Reset => EndpointCommand::Reset,
        ReplayStep::Set { name, value } => EndpointCommand::Set {
            name: name.clone(),
            value: value.clone(),
        },
        ReplayStep::Prepare(shape) => EndpointCommand::Prepare(shape.clone()),
    }
}
