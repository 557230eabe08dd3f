//! The scheduler of one database group: events in, decisions out.

use crate::AbandonEffect;
use crate::ArrivalDecision;
use crate::ClockTime;
use crate::CustomerTerms;
use crate::EndpointState;
use crate::ExcessRule;
use crate::FinishDecision;
use crate::FinishOutcome;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use crate::SchedulerCounts;
use crate::SchedulerDecision;
use crate::SchedulerSettings;
use crate::SchedulerSnapshot;
use crate::admission::ReturnPlanner;
use crate::connections::ConnectionAllowance;
use crate::connections::FAILED_OPEN_PAUSE;
use crate::customers::CustomerTable;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::retry::RetryBudget;
use crate::shares::ShareLedger;
use crate::steps::REVIEW_GAP;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use std::collections::HashMap;
use std::time::Duration;

/// How long a transaction is assumed to hold a connection before one was seen.
const PIN_HOLD_PRIOR: Duration = Duration::from_millis(50);

/// The mean run of all kinds before one was seen.
const MEAN_RUN_PRIOR: Duration = Duration::from_millis(8);

/// Decides about every request of one database group.
///
/// All events carry the present moment. [`poll`](Self::poll) must be called after each event, and
/// again at [`next_wakeup`](Self::next_wakeup); its decisions must be carried out in order.
#[derive(Clone, Debug)]
pub struct GroupScheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) customers: CustomerTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) queue: WaitingQueue,
    pub(crate) estimates: EstimateTable,
    pub(crate) ledger: ShareLedger,
    pub(crate) retries: RetryBudget,
    pub(crate) counts: SchedulerCounts,
    pub(crate) running: HashMap<RequestTicket, DispatchedRequest>,
    pub(crate) returns: ReturnPlanner,
    pub(crate) next_review: ClockTime,
    pub(crate) primary_lost: Option<ClockTime>,
    /// When a primary is expected, where that is known.
    pub(crate) primary_due: Option<ClockTime>,
    /// What the VM may hold in all.
    pub(crate) allowance: ConnectionAllowance,
    pub(crate) pin_hold: Duration,
    /// The mean run of all kinds, for the time at which refused callers are to come back.
    pub(crate) mean_run: Duration,
    pub(crate) pending: Vec<SchedulerDecision>,
}

/// A request that was sent to an instance.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedRequest {
    pub(crate) request: WaitingRequest,
    pub(crate) instance: InstanceName,
    /// The expected run on a healthy instance, without the way there and back.
    pub(crate) base: Duration,
    /// What the customer was charged for.
    pub(crate) charged: Duration,
    /// Whether the expectation rested on enough runs to judge the endpoint by.
    pub(crate) mature: bool,
    /// Whether its caller has gone.
    pub(crate) abandoned: bool,
}

impl GroupScheduler {
    /// Creates a scheduler without endpoints and customers.
    pub fn new(settings: SchedulerSettings) -> Self {
        let returns = ReturnPlanner::new(settings.seed);
        Self {
            settings,
            customers: CustomerTable::default(),
            endpoints: EndpointTable::default(),
            queue: WaitingQueue::default(),
            estimates: EstimateTable::default(),
            ledger: ShareLedger::default(),
            retries: RetryBudget::default(),
            counts: SchedulerCounts::default(),
            running: HashMap::new(),
            returns,
            next_review: ClockTime::default(),
            primary_lost: Some(ClockTime::default()),
            primary_due: None,
            allowance: ConnectionAllowance::default(),
            pin_hold: PIN_HOLD_PRIOR,
            mean_run: MEAN_RUN_PRIOR,
            pending: Vec::new(),
        }
    }

    /// Replaces what is known of the customers' contracts.
    ///
    /// Requests of a customer that is missing from `terms` are refused from now on; those that wait
    /// already stay.
    pub fn set_contracts(&mut self, terms: &[CustomerTerms]) {
        self.customers.set_terms(terms);
        self.queue.reserve_customers(self.customers.len());
        for index in 0..self.customers.len() {
            let weight = self.customers.get(index).terms.slot_share;
            self.ledger.set_weight(index, weight);
        }
    }

    /// Adds an endpoint or replaces its state.
    pub fn set_endpoint(&mut self, now: ClockTime, state: EndpointState) {
        let near = state.domain == self.settings.home_domain;
        let round_trip = if near {
            Duration::ZERO
        } else {
            self.settings.domain_delay * 2
        };
        self.endpoints.set(state, round_trip);
        self.note_primary(now);
    }

    /// Removes an endpoint; the ends of its running requests are still to be reported.
    pub fn remove_endpoint(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get(instance) {
            for pin in &record.pins {
                self.customers.release_pin(pin.customer);
            }
        }
        self.endpoints.remove(instance);
        self.note_primary(now);
    }

    /// Notes when a group without a primary is expected to have one, where that is known.
    ///
    /// Requests that need one and can't wait so long are refused by the next poll.
    pub fn expect_primary(&mut self, due: Option<ClockTime>) {
        self.primary_due = due;
    }

    /// Notes how many connections the VM may hold to the endpoints of all its groups.
    pub fn set_allowance(&mut self, allowance: ConnectionAllowance) {
        self.allowance = allowance;
    }

    /// Notes what an instance holds, and a bound of its data's age at this moment.
    pub fn report_position(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        covers: LogPosition,
        age_bound: Duration,
    ) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.position = covers;
            record.age_bound = Some(age_bound);
            record.reported = now;
        }
    }

    /// Takes a request in or refuses it.
    pub fn arrive(&mut self, now: ClockTime, profile: RequestProfile) -> ArrivalDecision {
        self.counts.arrived += 1;
        let ticket = profile.ticket;
        match self.admit(now, profile) {
            Ok(()) => ArrivalDecision::Queued,
            Err(cause) => ArrivalDecision::Refused(self.refuse(now, ticket, cause)),
        }
    }

    /// Decides what is to be done now.
    pub fn poll(&mut self, now: ClockTime) -> Vec<SchedulerDecision> {
        self.endpoints.forget_removed();
        self.mark_long_runs(now);
        self.judge_health(now);
        let mut decisions = std::mem::take(&mut self.pending);
        self.follow_plan(now, &mut decisions);
        if self.settings.excess == ExcessRule::Waits {
            self.plan_until_settled(now, &mut decisions);
        }
        self.open_connections(now, &mut decisions);
        decisions
    }

    /// Returns when to poll again, if no event comes before.
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        if !self.pending.is_empty() {
            return Some(now);
        }
        if self.queue.is_empty() {
            return None;
        }
        if self.next_review > now {
            return Some(self.next_review);
        }
        Some(now + REVIEW_GAP)
    }

    /// Notes that a dispatched request has ended.
    ///
    /// A transaction whose opening request did not run, or was lost, holds its connection no more.
    pub fn finished(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        outcome: FinishOutcome,
    ) -> FinishDecision {
        let Some(dispatched) = self.running.remove(&ticket) else {
            return FinishDecision::Unknown;
        };
        self.release_slot(now, &dispatched, outcome);
        if outcome == FinishOutcome::Answered || dispatched.abandoned {
            return FinishDecision::Settled;
        }
        if dispatched.request.profile.step == RequestStep::Opens {
            self.unpin(now, ticket);
        }
        if self.may_retry(now, &dispatched.request, outcome) {
            let mut request = dispatched.request;
            if outcome == FinishOutcome::NotSent {
                request.attempts -= 1;
            } else {
                self.counts.retried += 1;
            }
            self.requeue(now, request);
            return FinishDecision::Requeued;
        }
        match outcome {
            FinishOutcome::NotRun | FinishOutcome::Behind | FinishOutcome::NotSent => {
                let refusal = self.refuse(now, ticket, RefusalCause::EndpointRefused);
                FinishDecision::Refused(refusal)
            }
            FinishOutcome::Answered | FinishOutcome::Lost => FinishDecision::Settled,
        }
    }

    /// Forgets a request whose caller has gone.
    pub fn abandon(&mut self, ticket: RequestTicket) -> AbandonEffect {
        if self.drop_waiting(ticket) {
            return AbandonEffect::Removed;
        }
        match self.running.get_mut(&ticket) {
            Some(dispatched) => {
                dispatched.abandoned = true;
                AbandonEffect::Running
            }
            None => AbandonEffect::Unknown,
        }
    }

    /// Frees the connection that a transaction holds.
    ///
    /// `opener` is the ticket of the request that opened it. A connection that is closed rather than
    /// freed is unpinned first and reported by [`connection_closed`](Self::connection_closed) then.
    pub fn unpin(&mut self, now: ClockTime, opener: RequestTicket) {
        let Some(index) = self.endpoints.index_of_pin(opener) else {
            return;
        };
        let record = &mut self.endpoints.records_mut()[index];
        let Some(place) = record.pins.iter().position(|pin| pin.opener == opener) else {
            return;
        };
        let pin = record.pins.remove(place);
        self.customers.release_pin(pin.customer);
        self.pin_hold = (self.pin_hold * 7 + now.since(pin.since)) / 8;
    }

    /// Notes that a connection was opened.
    pub fn connection_opened(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.opening = record.opening.saturating_sub(1);
            record.open += 1;
        }
    }

    /// Notes that a connection is opened for a request that was dispatched, beyond those asked for. It
    /// counts as open from here on, as the request is on it.
    pub fn connection_added(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open += 1;
        }
    }

    /// Notes that a connection that was added, or took another's place, could not be opened.
    pub fn added_connection_failed(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open = record.open.saturating_sub(1);
            record.connect_after = now + FAILED_OPEN_PAUSE;
        }
    }

    /// Notes which accounts have an idle connection to an instance, by their digests.
    pub fn set_idle_accounts(
        &mut self,
        instance: &InstanceName,
        accounts: impl Iterator<Item = u64>,
    ) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            let idle = record.idle_accounts.get_or_insert_default();
            idle.clear();
            idle.extend(accounts);
        }
    }

    /// Notes that a connection could not be opened.
    pub fn connection_failed(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.opening = record.opening.saturating_sub(1);
            record.connect_after = now + FAILED_OPEN_PAUSE;
        }
    }

    /// Notes that an open, idle connection is asked to prove that it still answers.
    ///
    /// When one connection has gone silent, something on the path may have forgotten all of them.
    /// A request that were dispatched on one of the others would wait there for an answer that
    /// never comes. [`doubt_ended`](Self::doubt_ended) must follow.
    pub fn connection_doubted(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.doubted = (record.doubted + 1).min(record.open);
        }
    }

    /// Notes that a connection in doubt has answered, or is about to be reported as closed.
    pub fn doubt_ended(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.doubted = record.doubted.saturating_sub(1);
        }
    }

    /// Notes that an open connection was closed or lost.
    pub fn connection_closed(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// Returns the state for dumps and metrics.
    pub fn snapshot(&self, now: ClockTime) -> SchedulerSnapshot {
        SchedulerSnapshot::collect(self, now)
    }
}
