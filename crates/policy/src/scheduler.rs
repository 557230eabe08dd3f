//! Event-driven scheduler of one database group.

use crate::AbandonEffect;
use crate::ArrivalDecision;
use crate::ClockTime;
use crate::CustomerTerms;
use crate::EndpointSnapshot;
use crate::EndpointState;
use crate::ExcessRule;
use crate::FinishDecision;
use crate::FinishOutcome;
use crate::LevelCounts;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use crate::ScarcitySnapshot;
use crate::SchedulerCounts;
use crate::SchedulerDecision;
use crate::SchedulerSettings;
use crate::SchedulerSnapshot;
use crate::admission::RetryAfterPlanner;
use crate::connections::ConnectionAllowance;
use crate::connections::FAILED_OPEN_PAUSE;
use crate::customers::CustomerTable;
use crate::endpoints::ConnectionPin;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::minimum_shares::MinimumShares;
use crate::operation_cost::TransactionCosts;
use crate::priority::LEVEL_COUNT;
use crate::priority::level_shares;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::redispatch::PausedRequest;
use crate::retry::RetryBudget;
use crate::scarcity::CostShares;
use crate::scarcity::ScarcityWatch;
use crate::shares::FairClock;
use crate::steps::REVIEW_INTERVAL;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use std::collections::HashMap;
use std::time::Duration;

/// The assumed time for which a transaction holds a connection, before one was measured.
const PIN_HOLD_PRIOR: Duration = Duration::from_millis(50);

/// The assumed mean run time over all kinds, before one was measured.
const MEAN_RUN_PRIOR: Duration = Duration::from_millis(8);

/// The interval at which the scheduler tries again to connect an endpoint for which the VM may hold
/// no connection.
const OPEN_REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Admits, orders, places and refuses the requests of one database group.
///
/// All events carry the present time. [`poll`](Self::poll) must be called after each event and
/// again at [`next_wakeup`](Self::next_wakeup). Its decisions must be carried out in order.
#[derive(Clone, Debug)]
pub struct GroupScheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) customers: CustomerTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) queue: WaitingQueue,
    pub(crate) estimates: EstimateTable,
    pub(crate) fair_clock: FairClock,
    pub(crate) level_shares: MinimumShares<LEVEL_COUNT>,
    pub(crate) level_counts: [LevelCounts; LEVEL_COUNT],
    pub(crate) cost_shares: CostShares,
    pub(crate) transaction_costs: TransactionCosts,
    pub(crate) scarcity: ScarcityWatch,
    pub(crate) retries: RetryBudget,
    pub(crate) counts: SchedulerCounts,
    pub(crate) running: HashMap<RequestTicket, DispatchedRequest>,
    pub(crate) retry_after: RetryAfterPlanner,
    pub(crate) next_review: ClockTime,
    pub(crate) primary_lost_at: Option<ClockTime>,
    /// When a primary is expected, if that is known.
    pub(crate) primary_due: Option<ClockTime>,
    /// The connections that the VM may hold over all its groups.
    pub(crate) allowance: ConnectionAllowance,
    pub(crate) pin_hold: Duration,
    /// The moving average of the run times of all kinds, from which the time until a refused caller
    /// may retry is derived.
    pub(crate) mean_run: Duration,
    pub(crate) pending: Vec<SchedulerDecision>,
    /// Rejected requests that pause before their next dispatch.
    pub(crate) paused: Vec<PausedRequest>,
    /// The number of reads that wait for replicas to catch up, as of the last review of the queue,
    /// and those that have arrived since.
    pub(crate) catch_up_reads: u32,
}

/// A request that was sent to an instance.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedRequest {
    pub(crate) request: WaitingRequest,
    pub(crate) instance: InstanceName,
    /// The expected run time on a healthy instance, without the round trip.
    pub(crate) expected_run: Duration,
    /// The run time that the customer's virtual time was charged with.
    pub(crate) charged: Duration,
    /// Whether the estimate was based on enough runs to judge the endpoint by this one.
    pub(crate) estimate_mature: bool,
    /// Whether the caller has gone.
    pub(crate) abandoned: bool,
}

impl GroupScheduler {
    /// Creates a scheduler without endpoints and customers.
    pub fn new(settings: SchedulerSettings) -> Self {
        let retry_after = RetryAfterPlanner::new(settings.seed);
        Self {
            settings,
            customers: CustomerTable::default(),
            endpoints: EndpointTable::default(),
            queue: WaitingQueue::default(),
            estimates: EstimateTable::default(),
            fair_clock: FairClock::default(),
            level_shares: level_shares(),
            level_counts: [LevelCounts::default(); LEVEL_COUNT],
            cost_shares: CostShares::default(),
            transaction_costs: TransactionCosts::default(),
            scarcity: ScarcityWatch::default(),
            retries: RetryBudget::default(),
            counts: SchedulerCounts::default(),
            running: HashMap::new(),
            retry_after,
            next_review: ClockTime::default(),
            primary_lost_at: Some(ClockTime::default()),
            primary_due: None,
            allowance: ConnectionAllowance::default(),
            pin_hold: PIN_HOLD_PRIOR,
            mean_run: MEAN_RUN_PRIOR,
            pending: Vec::new(),
            paused: Vec::new(),
            catch_up_reads: 0,
        }
    }

    /// Replaces the terms of all customers' contracts.
    ///
    /// Requests of a customer that is missing from `terms` are refused from now on; those that
    /// already wait stay in the queue.
    pub fn set_contracts(&mut self, terms: &[CustomerTerms]) {
        self.customers.set_terms(terms);
        let sharers = self.customers.sharer_count();
        self.queue.reserve(self.customers.len(), sharers);
        for record in self.customers.records() {
            let grouped = record.terms.share_group.is_some();
            // The last terms of a removed contract may differ from those of its share group.
            if grouped && !record.active {
                continue;
            }
            let weight = record.terms.slot_share;
            self.fair_clock.set_weight(record.sharer, weight);
            if grouped {
                self.cost_shares.enable(record.sharer);
            }
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
        self.endpoints.set(now, state, round_trip);
        self.note_primary(now);
    }

    /// Removes an endpoint. The ends of its running requests must still be reported.
    pub fn remove_endpoint(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get(instance) {
            for pin in &record.pins {
                self.customers.release_pin(pin.customer);
            }
        }
        self.endpoints.remove(instance);
        self.note_primary(now);
    }

    /// Sets when a group without a primary is expected to have one, if that is known.
    ///
    /// The next poll refuses requests that need a primary and can't wait that long.
    pub fn expect_primary(&mut self, due: Option<ClockTime>) {
        self.primary_due = due;
    }

    /// Sets how many connections the VM may hold to the endpoints of all its groups.
    pub fn set_allowance(&mut self, allowance: ConnectionAllowance) {
        self.allowance = allowance;
    }

    /// Records the log position that an instance has applied, and an upper bound of its data's age
    /// at `now`.
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

    /// Admits a request to the queue or refuses it.
    pub fn arrive(&mut self, now: ClockTime, profile: RequestProfile) -> ArrivalDecision {
        self.counts.arrived += 1;
        let ticket = profile.ticket;
        match self.admit(now, profile) {
            Ok(()) => ArrivalDecision::Queued,
            Err(cause) => ArrivalDecision::Refused(self.refuse(now, ticket, cause)),
        }
    }

    /// Returns the decisions that are due now.
    pub fn poll(&mut self, now: ClockTime) -> Vec<SchedulerDecision> {
        self.endpoints.forget_removed();
        self.mark_long_runs(now);
        self.judge_health(now);
        self.judge_faults(now);
        self.judge_restarts(now);
        self.resume_paused(now);
        let mut decisions = std::mem::take(&mut self.pending);
        self.execute_plans(now, &mut decisions);
        if self.settings.excess == ExcessRule::Waits {
            self.plan_until_settled(now, &mut decisions);
        }
        self.open_connections(now, &mut decisions);
        decisions
    }

    /// Returns when to poll again if no event comes before that.
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        if !self.pending.is_empty() {
            return Some(now);
        }
        let review = match self.queue.is_empty() {
            true => None,
            false if self.next_review > now => Some(self.next_review),
            false => Some(now + REVIEW_INTERVAL),
        };
        review.into_iter().chain(self.next_resumption()).min()
    }

    /// Returns when to poll again to open connections that no request waits for, if no event comes
    /// before that.
    ///
    /// That is the case after a connection failed to open, and for an endpoint without any
    /// connection while the VM may hold no more of them.
    pub fn next_connection_attempt(&self, now: ClockTime) -> Option<ClockTime> {
        if !self.settings.modules.connections_ahead {
            return None;
        }
        let usable = self.endpoints.records().iter();
        let usable = usable.filter(|record| record.accepts_unpinned());
        let attempts = usable.filter_map(|record| {
            let blocked = record.open + record.opening == 0 && self.allowance.room() == 0;
            match record.connect_after > now {
                true => Some(record.connect_after),
                false => blocked.then(|| now + OPEN_REVIEW_INTERVAL),
            }
        });
        attempts.min()
    }

    /// Records that a dispatched request has ended.
    ///
    /// A transaction whose opening request did not run, or was lost, no longer holds its
    /// connection.
    pub fn finished(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        outcome: FinishOutcome,
    ) -> FinishDecision {
        let Some(mut dispatched) = self.running.remove(&ticket) else {
            return FinishDecision::Unknown;
        };
        let record = self.endpoints.get(&dispatched.instance);
        let trial = record.is_some_and(|record| record.faults.is_trial(ticket));
        self.release_slot(now, &dispatched, outcome);
        if outcome == FinishOutcome::Answered {
            return FinishDecision::Settled;
        }
        if dispatched.request.profile.step == RequestStep::Opens {
            self.release_pin(now, ticket);
        }
        if dispatched.abandoned {
            return FinishDecision::Settled;
        }
        dispatched.request.rejections += u32::from(outcome == FinishOutcome::Rejected);
        if self.may_retry(now, &dispatched, outcome, trial) {
            match outcome {
                FinishOutcome::NotSent => dispatched.request.attempts -= 1,
                _ => self.counts.retried += 1,
            }
            match outcome {
                FinishOutcome::Rejected => self.redispatch(now, dispatched, true),
                FinishOutcome::Failed => self.redispatch(now, dispatched, false),
                _ => self.requeue(now, dispatched.request),
            }
            return FinishDecision::Requeued;
        }
        match outcome {
            FinishOutcome::NotRun
            | FinishOutcome::Rejected
            | FinishOutcome::Behind
            | FinishOutcome::NotSent => {
                let refusal = self.refuse(now, ticket, RefusalCause::EndpointRefused);
                FinishDecision::Refused(refusal)
            }
            FinishOutcome::Answered | FinishOutcome::Failed | FinishOutcome::Lost => {
                FinishDecision::Settled
            }
        }
    }

    /// Drops a request whose caller has gone.
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

    /// Releases the connection that a transaction holds.
    ///
    /// `opener` is the ticket of the request that opened the transaction. If the connection is
    /// closed rather than returned to the pool, call this first and
    /// [`connection_closed`](Self::connection_closed) after it.
    pub fn unpin(&mut self, now: ClockTime, opener: RequestTicket) {
        if let Some(pin) = self.release_pin(now, opener) {
            let first_run = self.estimates.get(pin.kind).expected();
            self.transaction_costs
                .learn(pin.kind, first_run, pin.further_slot_time);
        }
    }

    fn release_pin(&mut self, now: ClockTime, opener: RequestTicket) -> Option<ConnectionPin> {
        let index = self.endpoints.index_of_pin(opener)?;
        let record = &mut self.endpoints.records_mut()[index];
        let place = record.pins.iter().position(|pin| pin.opener == opener)?;
        let pin = record.pins.remove(place);
        self.customers.release_pin(pin.customer);
        self.pin_hold = (self.pin_hold * 7 + now.since(pin.since)) / 8;
        Some(pin)
    }

    /// Records that a connection was opened.
    pub fn connection_opened(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.opening = record.opening.saturating_sub(1);
            record.open += 1;
        }
    }

    /// Records that a connection beyond the requested ones is being opened for a dispatched
    /// request. It counts as open from now on, because the request occupies it.
    pub fn connection_added(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open += 1;
        }
    }

    /// Records that a connection that was added, or that replaced another one, could not be opened.
    pub fn added_connection_failed(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open = record.open.saturating_sub(1);
            record.connect_after = now + FAILED_OPEN_PAUSE;
        }
    }

    /// Sets the accounts that have an idle connection to an instance, as digests. Returns false if
    /// the instance isn't known.
    pub fn set_idle_accounts(
        &mut self,
        instance: &InstanceName,
        accounts: impl Iterator<Item = u64>,
    ) -> bool {
        let record = self.endpoints.get_mut(instance);
        let Some(record) = record.filter(|record| !record.removed) else {
            return false;
        };
        let idle = record.idle_accounts.get_or_insert_default();
        idle.clear();
        idle.extend(accounts);
        self.counts.idle_reports += 1;
        true
    }

    /// Records that an instance can't be reached: it refused a connection or didn't answer.
    pub fn endpoint_unreachable(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.restarts.note_outage(now);
        }
    }

    /// Records that an open connection to an instance broke or didn't answer.
    pub fn connection_broke(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.restarts.note_break(now);
        }
    }

    /// Returns the endpoints whose level has changed since it was last returned, each at most once
    /// a second.
    pub fn take_level_changes(&mut self, now: ClockTime) -> Vec<EndpointSnapshot> {
        let records = self.endpoints.records_mut().iter_mut();
        let changed = records.filter_map(|record| {
            record
                .take_level_change(now)
                .then(|| EndpointSnapshot::collect(record))
        });
        changed.collect()
    }

    /// Records that a connection could not be opened.
    pub fn connection_failed(&mut self, now: ClockTime, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.opening = record.opening.saturating_sub(1);
            record.connect_after = now + FAILED_OPEN_PAUSE;
        }
    }

    /// Records that validation of an open, idle connection has started.
    ///
    /// When one connection has gone silent, a firewall or another device on the path may have
    /// dropped the state of all of them. A request sent on one of the others would wait for an
    /// answer that never comes, so a connection takes no requests until
    /// [`connection_validation_ended`](Self::connection_validation_ended) is called.
    pub fn connection_validation_started(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.validating = (record.validating + 1).min(record.open);
        }
    }

    /// Records that a connection under validation has answered, or is about to be reported as
    /// closed.
    pub fn connection_validation_ended(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.validating = record.validating.saturating_sub(1);
        }
    }

    /// Records that an open connection was closed or lost.
    pub fn connection_closed(&mut self, instance: &InstanceName) {
        if let Some(record) = self.endpoints.get_mut(instance) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// Returns the scarcity of slots.
    pub fn scarcity(&self, now: ClockTime) -> ScarcitySnapshot {
        self.scarcity.snapshot(now)
    }

    /// Returns whether slots are scarce: a request has missed its target or was refused for want of
    /// slots within the last second.
    pub fn is_scarce(&self, now: ClockTime) -> bool {
        self.scarcity.since(now).is_some()
    }

    /// Returns the counts of each priority level, from the first one on.
    pub fn level_counts(&self) -> &[LevelCounts] {
        &self.level_counts
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the state for dumps and metrics.
    pub fn snapshot(&self, now: ClockTime) -> SchedulerSnapshot {
        SchedulerSnapshot::collect(self, now)
    }
}
