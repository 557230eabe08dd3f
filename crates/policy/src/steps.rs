//! The steps of a scheduler's events and polls.

use crate::ClockTime;
use crate::DispatchOrder;
use crate::EndpointRole;
use crate::FinishOutcome;
use crate::GroupScheduler;
use crate::HealthLevel;
use crate::RefusalOrder;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use crate::SchedulerDecision;
use crate::admission::GROUP_QUEUE_LIMIT;
use crate::admission::PROMOTION_REST;
use crate::admission::PROMOTION_TIME;
use crate::admission::misses_deadline;
use crate::admission::queue_limit;
use crate::connections::connections_to_open;
use crate::endpoints::ConnectionPin;
use crate::endpoints::RunningRequest;
use crate::estimate::LONG_THRESHOLD;
use crate::health::RunSample;
use crate::plan::DispatchPlan;
use crate::plan::PlanAction;
use crate::plan::PlanInput;
use crate::plan::PlannedStart;
use crate::plan::next_urgent_run;
use crate::plan::write_key;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use crate::retry::may_repeat;
use crate::routing::has_replica_soon;
use crate::scheduler::DispatchedRequest;
use crate::time::to_micros;
use ragwort_types::InstanceName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;
use std::time::Duration;

/// With this many waiting requests or fewer, each poll plans the whole queue.
const SMALL_QUEUE: usize = 64;

/// A longer queue is planned as a whole this often.
///
/// A plan of a thousand requests takes some hundred microseconds; once in two milliseconds keeps
/// that to a few percent of a core, and a refusal still comes within the time of one message.
pub(crate) const REVIEW_GAP: Duration = Duration::from_millis(2);

/// A trial is compared with what peers did within this time.
const TRIAL_COMPARISON: Duration = Duration::from_secs(1);

impl GroupScheduler {
    /// Takes a request into the queue, if its contract and the queue's limits allow.
    pub(crate) fn admit(
        &mut self,
        now: ClockTime,
        profile: RequestProfile,
    ) -> Result<(), RefusalCause> {
        debug_assert!(
            !self.queue.contains(profile.ticket) && !self.running.contains_key(&profile.ticket),
            "a ticket names one request"
        );
        let Some(customer) = self.customers.index_of(&profile.customer) else {
            return Err(RefusalCause::Contract);
        };
        if profile.deadline <= now {
            return Err(RefusalCause::DeadlinePassed);
        }
        let request = self.prepare(now, profile, customer)?;
        if request.pinned_to.is_none() {
            self.make_room(now, &request)?;
        }
        if request.profile.step == RequestStep::Opens && !self.customers.reserve_pin(customer) {
            return Err(RefusalCause::Limit);
        }
        self.retries.earn();
        self.insert(request);
        Ok(())
    }

    /// Puts a request that ended without running back into the queue.
    pub(crate) fn requeue(&mut self, now: ClockTime, request: WaitingRequest) {
        let attempts = request.attempts;
        let customer = request.customer;
        let Ok(mut request) = self.prepare(now, request.profile, customer) else {
            return;
        };
        request.attempts = attempts;
        if request.profile.step == RequestStep::Opens {
            self.customers.get_mut(customer).pins += 1;
        }
        self.insert(request);
    }

    /// Forgets a waiting request; returns whether there was one.
    pub(crate) fn drop_waiting(&mut self, ticket: RequestTicket) -> bool {
        let Some(request) = self.queue.remove(ticket) else {
            return false;
        };
        if request.profile.step == RequestStep::Opens {
            self.customers.release_pin(request.customer);
        }
        true
    }

    /// Creates a refusal and counts it.
    pub(crate) fn refuse(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        cause: RefusalCause,
    ) -> Refusal {
        *self.counts.refused.entry(cause).or_default() += 1;
        if is_lasting(cause) {
            return Refusal {
                cause,
                come_back_after_ms: 0,
            };
        }
        let slots = self.usable_slots().max(1);
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let run = self.mean_run / slots;
        self.returns.refuse(now, ticket, cause, run * waiting, run)
    }

    /// Notes since when the group has no primary.
    pub(crate) fn note_primary(&mut self, now: ClockTime) {
        if self.endpoints.has_primary() {
            self.primary_lost = None;
        } else if self.primary_lost.is_none() {
            self.primary_lost = Some(now);
        }
    }

    /// Counts runs that have outlasted the limit as long, whatever their kind promised.
    pub(crate) fn mark_long_runs(&mut self, now: ClockTime) {
        for record in self.endpoints.records_mut() {
            for running in &mut record.running {
                running.long |= now.since(running.started) >= LONG_THRESHOLD;
            }
        }
    }

    /// Compares the endpoints and adjusts how much work each gets.
    pub(crate) fn judge_health(&mut self, now: ClockTime) {
        if !self.settings.modules.health {
            return;
        }
        for index in 0..self.endpoints.records().len() {
            let Some(best) = self.best_peer(now, index) else {
                continue;
            };
            let record = &mut self.endpoints.records_mut()[index];
            let held = record.held_ratio(now);
            record.health.judge(now, best, held);
        }
    }

    /// Refuses what waits for something that will not come in time, and moves reads between the
    /// replicas' lanes and the primary's as replicas catch up or fall behind.
    pub(crate) fn review_waiting(
        &mut self,
        now: ClockTime,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        let mut stranded = Vec::new();
        let mut moved = Vec::new();
        for request in self.queue.iter() {
            let ticket = request.profile.ticket;
            let replica = self.leaves_to_replicas(now, &request.profile);
            if let Some(cause) = self.find_stranding(now, request, replica) {
                stranded.push((ticket, cause));
                continue;
            }
            if replica != request.lane.replica {
                let lane = LaneKind {
                    replica,
                    ..request.lane
                };
                moved.push((ticket, lane));
            }
        }
        for (ticket, cause) in stranded {
            self.refuse_waiting(now, ticket, cause, decisions);
        }
        for (ticket, lane) in moved {
            self.queue.change_lane(ticket, lane);
        }
    }

    /// Plans, and carries out what the plan says of the present.
    pub(crate) fn follow_plan(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) {
        if self.queue.is_empty() {
            return;
        }
        let review = self.queue.len() <= SMALL_QUEUE || now >= self.next_review;
        if review {
            self.next_review = now + REVIEW_GAP;
            self.review_waiting(now, decisions);
        }
        let plan = DispatchPlan::new(PlanInput {
            now,
            queue: &self.queue,
            endpoints: &self.endpoints,
            estimates: &self.estimates,
            customers: &self.customers,
            ledger: &self.ledger,
            connect_time: self.settings.connect_time,
            pin_hold: self.pin_hold,
            switches: self.settings.modules,
        });
        let steps = if review && self.settings.modules.early_refusal {
            plan.walk_all()
        } else {
            plan.walk_present()
        };
        for step in steps {
            let ticket = self.queue.at(step.slot).profile.ticket;
            match step.action {
                PlanAction::Start(start) if start.at == now => {
                    self.dispatch(now, ticket, start, decisions);
                }
                PlanAction::Start(start) => {
                    self.queue.note_plan(step.slot, start.at.since(now));
                }
                PlanAction::Hopeless => {
                    self.learn_hopeless(step.slot);
                    let cause = RefusalCause::DeadlineOutOfReach;
                    self.refuse_waiting(now, ticket, cause, decisions);
                }
            }
        }
    }

    /// Learns that a request was let in and would have waited until it was too late, or that a new
    /// one was refused.
    fn learn_hopeless(&mut self, slot: usize) {
        let request = self.queue.at(slot);
        let customer = self.customers.get_mut(request.customer);
        let stretch = customer.stretch_mut(request);
        match request.planned_wait {
            Some(planned) => {
                stretch.learn(planned, request.profile.deadline.since(request.arrived));
            }
            None => stretch.relax(),
        }
    }

    /// Opens connections ahead of need.
    pub(crate) fn open_connections(
        &mut self,
        now: ClockTime,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let openers = self.queue.iter();
        let openers = openers.filter(|request| request.profile.step == RequestStep::Opens);
        let openers = u32::try_from(openers.count()).unwrap_or(u32::MAX);
        let ahead = self.settings.modules.connections_ahead;
        for record in self.endpoints.records_mut() {
            let openers = match record.state.role {
                EndpointRole::Primary => openers,
                EndpointRole::Replica | EndpointRole::Unusable => 0,
            };
            let missing = connections_to_open(record, now, waiting, openers, ahead);
            record.opening += missing;
            for _ in 0..missing {
                let instance = record.state.instance.clone();
                decisions.push(SchedulerDecision::OpenConnection(instance));
            }
        }
    }

    /// Frees the slot of a request that has ended, and learns from its run.
    pub(crate) fn release_slot(
        &mut self,
        now: ClockTime,
        dispatched: &DispatchedRequest,
        outcome: FinishOutcome,
    ) {
        let ticket = dispatched.request.profile.ticket;
        let customer = dispatched.request.customer;
        let Some(record) = self.endpoints.get_mut(&dispatched.instance) else {
            return;
        };
        let place = record
            .running
            .iter()
            .position(|running| running.ticket == ticket);
        let Some(place) = place else {
            return;
        };
        let running = record.running.remove(place);
        let actual = now.since(running.started);
        self.ledger.correct(customer, dispatched.charged, actual);
        self.customers.get_mut(customer).slot_micros += to_micros(actual);
        if outcome == FinishOutcome::Answered {
            self.learn_run(now, dispatched, actual);
        } else {
            record.health.drop_trial(now, ticket);
        }
    }

    /// Says whether a request that ended without an answer goes back into the queue.
    pub(crate) fn may_retry(
        &mut self,
        now: ClockTime,
        request: &WaitingRequest,
        outcome: FinishOutcome,
    ) -> bool {
        if matches!(request.profile.step, RequestStep::Within(_)) {
            return false;
        }
        if !may_repeat(outcome, request.profile.repeat, request.attempts) {
            return false;
        }
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        if misses_deadline(now, estimate.expected(), estimate.deviation(), deadline) {
            return false;
        }
        !self.settings.modules.retry_budget || self.retries.spend()
    }

    fn prepare(
        &mut self,
        now: ClockTime,
        profile: RequestProfile,
        customer: usize,
    ) -> Result<WaitingRequest, RefusalCause> {
        let kind = self
            .estimates
            .index_of(&profile.customer, &profile.kind, profile.length);
        let estimate = self.estimates.get(kind);
        let pinned_to = match profile.step {
            RequestStep::Within(opener) => Some(self.find_pin(opener)?),
            RequestStep::Single | RequestStep::Opens => None,
        };
        let mut lane = LaneKind {
            urgent: profile.urgency == UrgencyClass::Urgent,
            long: estimate.is_long(),
            replica: self.leaves_to_replicas(now, &profile),
        };
        let mut order = profile.deadline.before(estimate.expected());
        let mut delay = Duration::ZERO;
        if self.settings.modules.hot_callers && pinned_to.is_none() {
            let slots = self.usable_slots();
            let record = self.customers.get_mut(customer);
            delay = record.note_request(now, &profile, estimate.expected(), slots);
            order = order + delay;
        }
        if !self.settings.modules.order {
            lane.urgent = false;
            order = now;
        }
        Ok(WaitingRequest {
            profile,
            customer,
            kind,
            lane,
            order,
            arrived: now,
            pinned_to,
            delay,
            planned_wait: None,
            attempts: 0,
        })
    }

    /// Says whether a request is left to the replicas rather than given to the primary.
    fn leaves_to_replicas(&self, now: ClockTime, profile: &RequestProfile) -> bool {
        if !profile.allows_replica() || !self.settings.modules.routing {
            return profile.allows_replica();
        }
        let health = self.settings.modules.health;
        has_replica_soon(self.endpoints.records(), profile, now, health)
    }

    fn find_pin(&self, opener: RequestTicket) -> Result<InstanceName, RefusalCause> {
        match self.endpoints.index_of_pin(opener) {
            Some(index) => Ok(self.endpoints.records()[index].state.instance.clone()),
            None => Err(RefusalCause::TransactionLost),
        }
    }

    /// Makes sure that a request fits into its customer's queue.
    ///
    /// In a full queue the request that would be served last gives way, which is the newest one of
    /// a hot caller if there is one.
    fn make_room(&mut self, now: ClockTime, request: &WaitingRequest) -> Result<(), RefusalCause> {
        let urgent = request.lane.urgent;
        if !urgent && self.queue.len() >= GROUP_QUEUE_LIMIT {
            return Err(RefusalCause::Overload);
        }
        let queue = &self.queue.customers()[request.customer];
        let terms = &self.customers.get(request.customer).terms;
        if queue.count(urgent) < queue_limit(terms.queue_limit, urgent) {
            return Ok(());
        }
        let Some(last) = queue.last(urgent) else {
            return Err(RefusalCause::Overload);
        };
        if last.order <= request.order || !self.settings.modules.hot_callers {
            return Err(RefusalCause::Overload);
        }
        let mut pending = std::mem::take(&mut self.pending);
        self.refuse_waiting(now, last.ticket, RefusalCause::Overload, &mut pending);
        self.pending = pending;
        Ok(())
    }

    fn insert(&mut self, request: WaitingRequest) {
        if self.queue.is_idle(request.customer) {
            self.ledger.resume(request.customer);
        }
        self.queue.insert(request);
    }

    fn refuse_waiting(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        cause: RefusalCause,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        if !self.drop_waiting(ticket) {
            return;
        }
        let refusal = self.refuse(now, ticket, cause);
        decisions.push(SchedulerDecision::Refuse(RefusalOrder { ticket, refusal }));
    }

    /// Returns why a request has nothing to wait for, if so.
    fn find_stranding(
        &self,
        now: ClockTime,
        request: &WaitingRequest,
        replica: bool,
    ) -> Option<RefusalCause> {
        if request.profile.deadline <= now {
            return Some(RefusalCause::DeadlinePassed);
        }
        if let RequestStep::Within(opener) = request.profile.step {
            return match self.endpoints.index_of_pin(opener) {
                Some(_) => None,
                None => Some(RefusalCause::TransactionLost),
            };
        }
        let lost = self.primary_lost?;
        if replica {
            return None;
        }
        let back = (lost + PROMOTION_TIME).max(now + PROMOTION_REST);
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        let late = misses_deadline(back, estimate.expected(), estimate.deviation(), deadline);
        (late && self.settings.modules.early_refusal).then_some(RefusalCause::NoPrimary)
    }

    fn dispatch(
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
            let actual = now.since(request.arrived);
            customer.stretch_mut(&request).learn(planned, actual);
        }
        let estimate = self.estimates.get(request.kind);
        let ordinary_waits = self.queue.count_lanes(|lane| !lane.urgent) > 0;
        self.ledger.charge(request.customer, start.expected);
        self.count_dispatch(now, &request, start);
        let record = &mut self.endpoints.records_mut()[start.instance];
        debug_assert!(record.free_slots() > 0, "a statement without a slot");
        if request.pinned_to.is_none() {
            record.urgent_run = next_urgent_run(record.urgent_run, request.lane, ordinary_waits);
        }
        record.running.push(RunningRequest {
            ticket,
            started: now,
            expected: start.expected,
            long: request.lane.long,
            write_key: write_key(&request),
            pinned: request.profile.step != RequestStep::Single,
        });
        if request.profile.step == RequestStep::Opens {
            record.pins.push(ConnectionPin {
                opener: ticket,
                customer: request.customer,
                since: now,
            });
        }
        if start.trial {
            record.health.begin_trial(ticket);
        }
        let instance = record.state.instance.clone();
        let dispatched = DispatchedRequest {
            request,
            instance: instance.clone(),
            base: estimate.expected(),
            charged: start.expected,
            mature: estimate.is_mature(),
            abandoned: false,
        };
        self.running.insert(ticket, dispatched);
        let order = DispatchOrder { ticket, instance };
        decisions.push(SchedulerDecision::Dispatch(order));
    }

    fn count_dispatch(&mut self, now: ClockTime, request: &WaitingRequest, start: PlannedStart) {
        let record = &self.endpoints.records()[start.instance];
        self.counts.dispatched += 1;
        self.counts.waited_micros += to_micros(now.since(request.arrived));
        self.counts.trials += u64::from(start.trial);
        if request.profile.allows_replica() {
            self.counts.permitted_reads += 1;
            let replica = record.state.role == EndpointRole::Replica;
            self.counts.replica_reads += u64::from(replica);
        }
    }

    fn learn_run(&mut self, now: ClockTime, dispatched: &DispatchedRequest, actual: Duration) {
        let Some(index) = self.endpoints.index_of(&dispatched.instance) else {
            return;
        };
        let since = now.before(TRIAL_COMPARISON);
        let best = self.best_score(now, index, since).unwrap_or(1.0);
        let record = &mut self.endpoints.records_mut()[index];
        let run = actual.saturating_sub(record.round_trip);
        let healthy = record.health.level() == HealthLevel::Full;
        if dispatched.mature || !healthy {
            let ratio = run.as_secs_f64() / dispatched.base.as_secs_f64().max(1e-6);
            let ticket = dispatched.request.profile.ticket;
            let started = now.before(actual);
            let sample = RunSample { started, ratio };
            record.health.observe(now, ticket, sample, best);
        }
        if healthy {
            self.estimates.learn(dispatched.request.kind, run);
            self.mean_run = (self.mean_run * 15 + run) / 16;
        }
    }

    /// Returns the score of the fastest other endpoint since the runs by which this one is judged.
    fn best_peer(&self, now: ClockTime, index: usize) -> Option<f64> {
        let record = &self.endpoints.records()[index];
        let held = record.held_since(now);
        let since = held.or_else(|| record.health.judged_since())?;
        self.best_score(now, index, since)
    }

    /// Returns the score of the fastest other endpoint over runs that started since a moment.
    fn best_score(&self, now: ClockTime, index: usize, since: ClockTime) -> Option<f64> {
        let records = self.endpoints.records().iter().enumerate();
        let peers = records.filter(|(peer, record)| *peer != index && record.takes_fresh_work());
        let scores = peers.filter_map(|(_, record)| {
            let score = record.health.score_since(since)?;
            Some(score.max(record.held_ratio(now).unwrap_or(score)))
        });
        scores.min_by(f64::total_cmp).map(|score| score.max(1.0))
    }

    fn usable_slots(&self) -> u32 {
        let records = self.endpoints.records().iter();
        let usable = records.filter(|record| record.takes_fresh_work());
        usable.map(|record| record.state.slots).sum()
    }
}

/// Says whether a refusal stands until the request or its contract changes.
fn is_lasting(cause: RefusalCause) -> bool {
    matches!(
        cause,
        RefusalCause::Contract | RefusalCause::DeadlinePassed | RefusalCause::TransactionLost
    )
}
