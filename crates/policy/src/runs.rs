//! Start and end of runs on endpoints, and the estimates that are updated from them.

use crate::ClockTime;
use crate::DispatchOrder;
use crate::EndpointRole;
use crate::ExcessRule;
use crate::FinishOutcome;
use crate::GroupScheduler;
use crate::HealthLevel;
use crate::RequestStep;
use crate::RequestTicket;
use crate::SchedulerDecision;
use crate::admission::misses_deadline;
use crate::connections::ConnectionNeed;
use crate::connections::connections_to_open;
use crate::connections::surplus_connections;
use crate::endpoints::ConnectionPin;
use crate::endpoints::EndpointRecord;
use crate::endpoints::RunningRequest;
use crate::estimate::LONG_THRESHOLD;
use crate::forecast::is_in_rotation;
use crate::health::RunSample;
use crate::plan::PlannedStart;
use crate::plan::next_urgent_run;
use crate::plan::write_key;
use crate::queue::WaitingRequest;
use crate::rejection_rate::PeerState;
use crate::rejection_rate::StatementEnd;
use crate::retry::may_repeat;
use crate::scheduler::DispatchedRequest;
use crate::time::to_micros;
use ragwort_types::InstanceName;
use std::time::Duration;

/// A trial is compared with the runs of peers that started within this time.
const TRIAL_COMPARISON: Duration = Duration::from_secs(1);

impl GroupScheduler {
    /// Marks runs that have lasted longer than [`LONG_THRESHOLD`] as long, whatever their kind
    /// says.
    pub(crate) fn mark_long_runs(&mut self, now: ClockTime) {
        for record in self.endpoints.records_mut() {
            for running in &mut record.running {
                running.long |= now.since(running.started) >= LONG_THRESHOLD;
            }
        }
    }

    /// Compares the endpoints with each other and adjusts how much work each gets.
    pub(crate) fn judge_health(&mut self, now: ClockTime) {
        if !self.settings.modules.health {
            return;
        }
        for index in 0..self.endpoints.records().len() {
            let Some(best) = self.best_peer(now, index) else {
                continue;
            };
            let record = &mut self.endpoints.records_mut()[index];
            let held = record.stall_ratio(now);
            record.health.judge(now, best, held);
        }
    }

    /// Ends the growth of load after an outage where its time has passed.
    pub(crate) fn judge_restarts(&mut self, now: ClockTime) {
        for record in self.endpoints.records_mut() {
            if record.restarts.is_active() {
                record.restarts.update(now);
            }
        }
    }

    /// Compares the endpoints' shares of rejected and failed statements and adjusts how much work
    /// each gets.
    pub(crate) fn judge_faults(&mut self, now: ClockTime) {
        let records = self.endpoints.records();
        if !self.settings.modules.health || records.iter().all(|record| record.faults.is_clean()) {
            return;
        }
        for index in 0..self.endpoints.records().len() {
            let peers = self.peer_state(index);
            let record = &mut self.endpoints.records_mut()[index];
            record.faults.judge(now, peers);
        }
    }

    /// Returns the state of the endpoints that serve the same requests as another one.
    ///
    /// For a replica these are the other replicas, and the primary if there is no other replica:
    /// reads use the primary only when they can't use a replica.
    fn peer_state(&self, index: usize) -> Option<PeerState> {
        let records = self.endpoints.records().iter().enumerate();
        let others = records.filter(|(other, record)| *other != index && is_in_rotation(record));
        let others = others.map(|(_, record)| record);
        let replicas = others.clone().filter(|record| {
            record.state.role == EndpointRole::Replica && record.age_bound.is_some()
        });
        let rejected = others.clone();
        let rejected = rejected.filter_map(|record| record.faults.compared_rejections());
        let failed = others.filter_map(|record| record.faults.compared_failures());
        let slots_of = |record: &EndpointRecord| f64::from(record.state.slots);
        let mut peers = PeerState {
            best_rejected: rejected.min_by(f64::total_cmp),
            best_failed: failed.min_by(f64::total_cmp),
            slots: replicas.clone().map(slots_of).sum(),
            used: replicas.map(|record| record.faults.used_slots()).sum(),
        };
        if peers.slots <= 0.0 {
            let records = self.endpoints.records().iter().enumerate();
            let primary = records
                .filter(|(other, record)| *other != index && is_in_rotation(record))
                .map(|(_, record)| record)
                .find(|record| record.state.role == EndpointRole::Primary)?;
            peers.slots = slots_of(primary);
            peers.used = primary.faults.used_slots();
        }
        Some(peers)
    }

    /// Requests connections ahead of need.
    pub(crate) fn open_connections(
        &mut self,
        now: ClockTime,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        let (waiting, openers) = self.count_waiting();
        let ahead = self.settings.modules.connections_ahead;
        let mut allowance = self.allowance;
        for record in self.endpoints.records_mut() {
            record.note_use(now);
            let need = connection_need(record, self.settings.excess, waiting, openers);
            let missing = connections_to_open(record, now, need, &allowance, ahead);
            record.opening += missing;
            allowance.held = allowance.held.saturating_add(missing);
            for _ in 0..missing {
                let instance = record.state.instance.clone();
                decisions.push(SchedulerDecision::OpenConnection(instance));
            }
        }
    }

    /// Returns how many of an endpoint's connections can be closed, because no load of the last
    /// seconds has needed them.
    pub fn surplus_connections(&self, instance: &InstanceName) -> u32 {
        let Some(record) = self.endpoints.get(instance) else {
            return 0;
        };
        let (waiting, openers) = self.count_waiting();
        let need = connection_need(record, self.settings.excess, waiting, openers);
        surplus_connections(record, need, &self.allowance)
    }

    /// Returns the number of waiting requests, and of those among them that open a transaction.
    fn count_waiting(&self) -> (u32, u32) {
        let openers = self.queue.iter();
        let openers = openers.filter(|request| request.profile.step == RequestStep::Opens);
        let counts = (self.queue.len(), openers.count());
        let (waiting, openers) = (u32::try_from(counts.0), u32::try_from(counts.1));
        (waiting.unwrap_or(u32::MAX), openers.unwrap_or(u32::MAX))
    }

    /// Frees the slot of a request that has ended, and updates estimates and health from its run.
    pub(crate) fn release_slot(
        &mut self,
        now: ClockTime,
        dispatched: &DispatchedRequest,
        outcome: FinishOutcome,
    ) {
        let ticket = dispatched.request.profile.ticket;
        let request = &dispatched.request;
        let Some(record) = self.endpoints.get_mut(&dispatched.instance) else {
            return;
        };
        let Some(running) = record.end_run(now, ticket) else {
            return;
        };
        let actual = now.since(running.started);
        let run = running.run_until(now, record.round_trip);
        if let RequestStep::Within(opener) = request.profile.step {
            record.charge_transaction(opener, actual);
        }
        let read = request.profile.allows_replica();
        record.faults.end_trial(ticket);
        let slots = record.state.slots;
        match outcome {
            FinishOutcome::Answered => {
                let end = StatementEnd::Answered;
                record.faults.observe(now, end, actual, read);
                record.restarts.note_answer();
            }
            FinishOutcome::Rejected => {
                let end = StatementEnd::Rejected;
                record.faults.observe(now, end, actual, read);
                let until = running.started + dispatched.expected_run;
                record.faults.occupy(now, until, slots);
                self.counts.rejected += 1;
            }
            FinishOutcome::Failed => {
                // A read that has failed elsewhere too is to blame itself.
                let first = unrejected_dispatches(request) <= 1;
                record
                    .faults
                    .observe(now, StatementEnd::Failed, actual, read && first);
                self.counts.failed += 1;
            }
            FinishOutcome::NotRun
            | FinishOutcome::Behind
            | FinishOutcome::NotSent
            | FinishOutcome::Lost => {}
        }
        if outcome != FinishOutcome::Answered {
            record.health.drop_trial(now, ticket);
        }
        self.correct_charge(request, dispatched.charged, actual);
        self.customers.get_mut(request.customer).slot_micros += to_micros(actual);
        if outcome == FinishOutcome::Answered {
            self.learn_run(now, dispatched, run);
        }
    }

    /// Returns whether a request that ended without an answer goes back into the queue.
    pub(crate) fn may_retry(
        &mut self,
        now: ClockTime,
        dispatched: &DispatchedRequest,
        outcome: FinishOutcome,
        trial: bool,
    ) -> bool {
        let request = &dispatched.request;
        if outcome == FinishOutcome::Rejected {
            return self.may_redispatch(now, dispatched, trial);
        }
        if matches!(request.profile.step, RequestStep::Within(_)) {
            return false;
        }
        let sent = outcome != FinishOutcome::NotSent;
        let attempts = unrejected_dispatches(request);
        if sent && !may_repeat(outcome, request.profile.repeat, attempts) {
            return false;
        }
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        if misses_deadline(now, estimate.expected(), estimate.deviation(), deadline) {
            return false;
        }
        let failed = !matches!(outcome, FinishOutcome::NotSent | FinishOutcome::Behind);
        !failed || !self.settings.modules.retry_budget || self.retries.spend()
    }

    /// Sends a request to an instance.
    pub(crate) fn dispatch(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        start: PlannedStart,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        let Some(mut request) = self.queue.remove(ticket) else {
            return;
        };
        request.attempts += 1;
        if let Some(planned) = request.planned_wait {
            let customer = self.customers.get_mut(request.customer);
            let actual = now.since(request.ranked_at);
            customer.wait_factor_mut(&request).learn(planned, actual);
        }
        let estimate = self.estimates.get(request.kind);
        let ordinary_waits = self.queue.count_urgency(false) > 0;
        self.charge(&request, start.expected);
        self.count_dispatch(now, &request, start);
        let record = &mut self.endpoints.records_mut()[start.instance];
        let ahead = sent_ahead(record, self.settings.excess);
        let sent = u32::try_from(record.running.len()).unwrap_or(u32::MAX);
        debug_assert!(
            sent < record.state.slots + ahead,
            "more statements in flight than the endpoint takes"
        );
        if request.pinned_to.is_none() {
            record.urgent_run = next_urgent_run(record.urgent_run, request.lane, ordinary_waits);
        }
        record.running.push(RunningRequest {
            ticket,
            started: now,
            expected: start.expected,
            predecessors: (sent + 1).saturating_sub(record.state.slots),
            slot_since: now,
            long: request.lane.long,
            write_key: write_key(&request),
            pinned: request.profile.step != RequestStep::Single,
            account: request.profile.account,
        });
        if request.pinned_to.is_none() {
            record.take_idle_connection(request.profile.account);
        }
        if request.profile.step == RequestStep::Opens {
            record.pins.push(ConnectionPin {
                opener: ticket,
                customer: request.customer,
                since: now,
                kind: request.kind,
                further_slot_time: Duration::ZERO,
                cost: request.lane.cost,
            });
        }
        if start.trial {
            record.begin_trial(now, ticket);
        }
        let instance = record.state.instance.clone();
        let dispatched = DispatchedRequest {
            request,
            instance: instance.clone(),
            expected_run: estimate.expected(),
            charged: start.expected,
            estimate_mature: estimate.is_mature(),
            abandoned: false,
        };
        self.running.insert(ticket, dispatched);
        let order = DispatchOrder { ticket, instance };
        decisions.push(SchedulerDecision::Dispatch(order));
    }

    /// Charges the expected run of a request to its sharer, level and cost class.
    fn charge(&mut self, request: &WaitingRequest, run: Duration) {
        let lane = request.lane;
        self.fair_clock.charge(request.sharer, run);
        self.level_shares.charge(lane.level.index(), run);
        self.cost_shares
            .charge(request.sharer, lane.level.index(), lane.cost, run);
    }

    /// Replaces the charge for an expected run by that for the actual run.
    fn correct_charge(&mut self, request: &WaitingRequest, expected: Duration, actual: Duration) {
        let lane = request.lane;
        let level = lane.level.index();
        self.level_counts[level].slot_micros += to_micros(actual);
        self.fair_clock.correct(request.sharer, expected, actual);
        self.level_shares.correct(level, expected, actual);
        self.cost_shares
            .correct(request.sharer, level, lane.cost, expected, actual);
    }

    fn count_dispatch(&mut self, now: ClockTime, request: &WaitingRequest, start: PlannedStart) {
        let record = &self.endpoints.records()[start.instance];
        self.counts.dispatched += 1;
        self.counts.waited_micros += to_micros(now.since(request.arrived));
        self.counts.trials += u64::from(start.trial);
        let level = &mut self.level_counts[request.lane.level.index()];
        level.dispatched += 1;
        level.dispatched_late += u64::from(request.lane.target_missed);
        if request.profile.allows_replica() {
            self.counts.permitted_reads += 1;
            let replica = record.state.role == EndpointRole::Replica;
            self.counts.replica_reads += u64::from(replica);
        }
    }

    fn learn_run(&mut self, now: ClockTime, dispatched: &DispatchedRequest, run: Duration) {
        let Some(index) = self.endpoints.index_of(&dispatched.instance) else {
            return;
        };
        let since = now.before(TRIAL_COMPARISON);
        let best = self.best_score(now, index, since).unwrap_or(1.0);
        let record = &mut self.endpoints.records_mut()[index];
        let healthy = record.health.level() == HealthLevel::Full;
        if dispatched.estimate_mature || !healthy {
            let ratio = run.as_secs_f64() / dispatched.expected_run.as_secs_f64().max(1e-6);
            let ticket = dispatched.request.profile.ticket;
            let started = now.before(run);
            let sample = RunSample { started, ratio };
            record.health.observe(now, ticket, sample, best);
        }
        if healthy {
            self.estimates.learn(dispatched.request.kind, run);
            self.mean_run = (self.mean_run * 15 + run) / 16;
        }
    }

    /// Returns the score of the fastest other endpoint since the start of the runs by which this
    /// one is judged.
    fn best_peer(&self, now: ClockTime, index: usize) -> Option<f64> {
        let record = &self.endpoints.records()[index];
        let held = record.stalled_since(now);
        let since = held.or_else(|| record.health.judged_since())?;
        self.best_score(now, index, since)
    }

    /// Returns the score of the fastest other endpoint over runs that started at `since` or later.
    fn best_score(&self, now: ClockTime, index: usize, since: ClockTime) -> Option<f64> {
        let records = self.endpoints.records().iter().enumerate();
        let peers = records.filter(|(peer, record)| *peer != index && record.accepts_unpinned());
        let scores = peers.filter_map(|(_, record)| {
            let score = record.health.score_since(since)?;
            Some(score.max(record.stall_ratio(now).unwrap_or(score)))
        });
        scores.min_by(f64::total_cmp).map(|score| score.max(1.0))
    }
}

/// Returns the number of dispatches of a request that no endpoint rejected.
fn unrejected_dispatches(request: &WaitingRequest) -> u32 {
    request.attempts.saturating_sub(request.rejections)
}

fn connection_need(
    record: &EndpointRecord,
    excess: ExcessRule,
    waiting: u32,
    openers: u32,
) -> ConnectionNeed {
    ConnectionNeed {
        max_in_flight: record.state.slots + sent_ahead(record, excess),
        waiting,
        openers: match record.state.role {
            EndpointRole::Primary => openers,
            EndpointRole::Replica | EndpointRole::Unusable => 0,
        },
    }
}

/// Returns how many statements may be sent to an endpoint beyond its slots.
fn sent_ahead(record: &EndpointRecord, excess: ExcessRule) -> u32 {
    match excess {
        ExcessRule::Waits if !record.round_trip.is_zero() => record.state.slots,
        ExcessRule::Waits | ExcessRule::Forbidden => 0,
    }
}
