//! Admission of requests, review of the queue, and execution of plans.

use crate::ClockTime;
use crate::GroupScheduler;
use crate::RefusalOrder;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use crate::SchedulerDecision;
use crate::admission::EXPECTED_PROMOTION_TIME;
use crate::admission::GROUP_QUEUE_LIMIT;
use crate::admission::MIN_REMAINING_PROMOTION;
use crate::admission::misses_deadline;
use crate::admission::queue_limit;
use crate::catch_up::CatchUpReview;
use crate::catch_up::MAX_CATCH_UP_READS;
use crate::operation_cost::CostClass;
use crate::plan::DispatchPlan;
use crate::plan::PlanAction;
use crate::plan::PlanInput;
use crate::priority::ServiceLevel;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use crate::routing::has_replica_soon;
use crate::scarcity::CostShares;
use ragwort_types::InstanceName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;
use std::time::Duration;

/// A queue of at most this many requests is reviewed and planned completely at each poll.
const SMALL_QUEUE: usize = 64;

/// The minimum interval between two complete plans of a longer queue.
///
/// Refusals are delayed by no more than about the time of one message.
pub(crate) const REVIEW_INTERVAL: Duration = Duration::from_millis(2);

/// A queue of more than some hundred requests is planned completely at this interval for each of
/// its requests.
///
/// A plan takes about 0.3 µs for each waiting request, so planning takes at most a tenth of a core.
const REVIEW_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(3);

/// The maximum number of rounds of planning after which a poll stops although the last round still
/// changed something.
///
/// Each round that leads to another one dispatches, demotes or refuses at least one request, and a
/// group of three endpoints with two slots each has few requests to dispatch at once.
const MAX_PLAN_PASSES: usize = 16;

impl GroupScheduler {
    /// Takes a request into the queue if its contract and the queue's limits allow it.
    pub(crate) fn admit(
        &mut self,
        now: ClockTime,
        profile: RequestProfile,
    ) -> Result<(), RefusalCause> {
        debug_assert!(
            !self.queue.contains(profile.ticket) && !self.running.contains_key(&profile.ticket),
            "the ticket is already in use"
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

    /// Puts a request that ended without having run back into the queue.
    pub(crate) fn requeue(&mut self, now: ClockTime, request: WaitingRequest) {
        let (attempts, rejections) = (request.attempts, request.rejections);
        let rejected_by = request.rejected_by;
        let customer = request.customer;
        let Ok(mut request) = self.prepare(now, request.profile, customer) else {
            return;
        };
        request.attempts = attempts;
        request.rejections = rejections;
        request.rejected_by = rejected_by;
        if request.profile.step == RequestStep::Opens {
            self.customers.get_mut(customer).pins += 1;
        }
        self.insert(request);
    }

    /// Removes a waiting request; returns whether there was one.
    pub(crate) fn drop_waiting(&mut self, ticket: RequestTicket) -> bool {
        let waiting = self.queue.remove(ticket);
        let Some(request) = waiting.or_else(|| self.take_paused(ticket)) else {
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
        let mut backlog = run * waiting;
        if cause == RefusalCause::NoPrimary {
            let back = self.expected_primary_at(now);
            backlog += back.map_or(Duration::ZERO, |back| back.since(now));
        }
        self.retry_after.refuse(now, ticket, cause, backlog, run)
    }

    /// Records since when the group has had no primary.
    pub(crate) fn note_primary(&mut self, now: ClockTime) {
        if self.endpoints.has_primary() {
            self.primary_lost_at = None;
        } else if self.primary_lost_at.is_none() {
            self.primary_lost_at = Some(now);
        }
    }

    /// Refuses requests whose deadline has passed, whose transaction was lost, or for which a
    /// primary won't be there in time. Moves reads between the lanes of the replicas and of the
    /// primary as replicas catch up or fall behind.
    pub(crate) fn review_queue(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) {
        let mut unservable = Vec::new();
        let mut moved = Vec::new();
        let mut catch_up = CatchUpReview::new(self);
        for request in self.queue.iter() {
            let ticket = request.profile.ticket;
            let replica = self.prefers_replica(now, &request.profile, request.avoided(now));
            if !replica && catch_up.examines(self, now, request) {
                continue;
            }
            if let Some(cause) = self.unservable_cause(now, request, replica) {
                unservable.push((ticket, cause));
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
        self.catch_up_reads = catch_up.assign(&mut moved);
        for (ticket, cause) in unservable {
            self.refuse_waiting(now, ticket, cause, decisions);
        }
        for (ticket, lane) in moved {
            self.queue.change_lane(ticket, lane);
        }
    }

    /// Computes plans and carries out their present steps until a plan neither demotes nor refuses
    /// a request.
    ///
    /// A request that can no longer meet its target is planned again behind the others, so that its
    /// caller learns at once if it can't be served there either. After a refusal fewer reads wait
    /// for the replicas, so another read may no longer be allowed to use the primary. It then waits
    /// for a replica as well, and can make a third request miss its deadline.
    pub(crate) fn execute_plans(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) {
        for _ in 0..MAX_PLAN_PASSES {
            if !self.execute_plan(now, decisions) {
                return;
            }
        }
    }

    /// Computes and carries out one plan; returns whether another one is needed.
    fn execute_plan(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let review = self.queue.len() <= SMALL_QUEUE || now >= self.next_review;
        if review {
            let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
            self.next_review = now + REVIEW_INTERVAL.max(REVIEW_INTERVAL_PER_REQUEST * waiting);
            self.review_queue(now, decisions);
        }
        let plan = DispatchPlan::new(PlanInput {
            now,
            queue: &self.queue,
            endpoints: &self.endpoints,
            estimates: &self.estimates,
            customers: &self.customers,
            fair_clock: &self.fair_clock,
            level_shares: &self.level_shares,
            cost_shares: self.cost_order(now),
            connect_time: self.settings.connect_time,
            pin_hold: self.pin_hold,
            mean_run: self.mean_run,
            excess: self.settings.excess,
            switches: self.settings.modules,
        });
        let steps = if review && self.settings.modules.early_refusal {
            plan.walk_all()
        } else {
            plan.walk_present()
        };
        let mut replan = false;
        for step in steps {
            let ticket = self.queue.at(step.slot).profile.ticket;
            match step.action {
                PlanAction::CannotMeetTarget => {
                    self.note_missed_target(now, step.slot);
                    let estimate = self.estimates.get(self.queue.at(step.slot).kind);
                    let deadline = self.queue.at(step.slot).profile.deadline;
                    let order = deadline.before(estimate.expected());
                    self.queue.demote(now, ticket, order);
                    replan = true;
                }
                PlanAction::Start(start) if start.at == now => {
                    self.dispatch(now, ticket, start, decisions);
                }
                PlanAction::Start(start) => {
                    self.queue
                        .record_planned_wait(step.slot, start.at.since(now));
                }
                PlanAction::CannotMeetDeadline => {
                    replan = true;
                    self.note_refusal(now, step.slot);
                    self.learn_from_refusal(step.slot);
                    let cause = RefusalCause::DeadlineOutOfReach;
                    self.refuse_waiting(now, ticket, cause, decisions);
                }
            }
        }
        replan
    }

    /// Plans repeatedly until no further decision results, for endpoints to which statements are
    /// sent ahead.
    ///
    /// A statement that was sent ahead holds its slot longer than its plan assumed, by the round
    /// trip. A request behind it may no longer meet its deadline because of that, and its caller
    /// would learn so one poll too late.
    pub(crate) fn plan_until_settled(
        &mut self,
        now: ClockTime,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        for _ in 0..MAX_PLAN_PASSES {
            let known = decisions.len();
            self.execute_plans(now, decisions);
            if decisions.len() == known {
                return;
            }
        }
    }

    /// Returns the shares by which operations are ordered by cost, while slots are scarce.
    pub(crate) fn cost_order(&self, now: ClockTime) -> Option<&CostShares> {
        self.scarcity.since(now).map(|_| &self.cost_shares)
    }

    fn note_missed_target(&mut self, now: ClockTime, slot: usize) {
        self.counts.targets_missed += 1;
        let request = self.queue.at(slot);
        if self.had_time(request, request.due()) {
            self.scarcity.note_sign(now);
        }
    }

    fn note_refusal(&mut self, now: ClockTime, slot: usize) {
        let request = self.queue.at(slot);
        let level = request.lane.level;
        if self.had_time(request, request.profile.deadline) {
            self.scarcity.note_sign(now);
        }
        self.level_counts[level.index()].refused_for_slots += 1;
    }

    /// Returns whether a request would have ended in time if it had started at its arrival.
    ///
    /// A kind whose runs take longer than its target is no sign of scarcity.
    fn had_time(&self, request: &WaitingRequest, due: ClockTime) -> bool {
        let estimate = self.estimates.get(request.kind);
        !misses_deadline(
            request.arrived,
            estimate.expected(),
            estimate.deviation(),
            due,
        )
    }

    /// Adjusts the wait factor: up if an admitted request would have waited beyond its deadline,
    /// down if a new request was refused at its first plan.
    fn learn_from_refusal(&mut self, slot: usize) {
        let request = self.queue.at(slot);
        let customer = self.customers.get_mut(request.customer);
        let wait_factor = customer.wait_factor_mut(request);
        match request.planned_wait {
            Some(planned) => {
                wait_factor.learn(planned, request.due().since(request.ranked_at));
            }
            None => wait_factor.decay_after_refusal(),
        }
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
        let mut replica = self.prefers_replica(now, &profile, &[]);
        let mut planned_wait = None;
        if !replica
            && self.catch_up_reads < MAX_CATCH_UP_READS
            && self.free_primary_slots() == Some(0)
            && self.can_wait_for_replica(now, &profile, &[], now, estimate)
        {
            self.catch_up_reads += 1;
            replica = true;
            // Nothing overtakes it on the replica that it waits for, so the wait isn't scaled.
            planned_wait = Some(Duration::ZERO);
        }
        let record = self.customers.get(customer);
        let sharer = record.sharer;
        let grouped = record.terms.share_group.is_some();
        let level = ServiceLevel::from_profile(&profile);
        let mut lane = LaneKind {
            target_missed: false,
            urgent: profile.urgency == UrgencyClass::Urgent && !level.set,
            long: estimate.is_long(),
            replica,
            level,
            cost: match grouped {
                true => self.cost_class(&profile, kind),
                false => CostClass::default(),
            },
        };
        let due = profile.target.unwrap_or(profile.deadline);
        let mut order = due.min(profile.deadline).before(estimate.expected());
        let mut delay = Duration::ZERO;
        if self.settings.modules.caller_pacing && pinned_to.is_none() {
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
            sharer,
            kind,
            lane,
            order,
            arrived: now,
            ranked_at: now,
            pinned_to,
            delay,
            planned_wait,
            attempts: 0,
            rejections: 0,
            rejected_by: Vec::new(),
            late_service: grouped || level.set,
        })
    }

    /// Returns the cost class of the operation to which a request belongs.
    fn cost_class(&self, profile: &RequestProfile, kind: usize) -> CostClass {
        let run = self.estimates.get(kind).expected();
        let cost = match profile.step {
            RequestStep::Single => run,
            RequestStep::Opens => self.transaction_costs.expected(kind, run),
            RequestStep::Within(opener) => {
                let pin = self.endpoints.pin(opener);
                return pin.map_or(CostClass::default(), |pin| pin.cost);
            }
        };
        CostClass::from_cost(cost)
    }

    /// Returns whether a request should wait for the replicas rather than use the primary.
    ///
    /// Endpoints that have rejected the request don't count.
    pub(crate) fn prefers_replica(
        &self,
        now: ClockTime,
        profile: &RequestProfile,
        rejected_by: &[InstanceName],
    ) -> bool {
        if !profile.allows_replica() || !self.settings.modules.routing {
            return profile.allows_replica();
        }
        let health = self.settings.modules.health;
        let records = self.endpoints.records();
        has_replica_soon(records, profile, rejected_by, now, health)
    }

    fn find_pin(&self, opener: RequestTicket) -> Result<InstanceName, RefusalCause> {
        match self.endpoints.index_of_pin(opener) {
            Some(index) => Ok(self.endpoints.records()[index].state.instance.clone()),
            None => Err(RefusalCause::TransactionLost),
        }
    }

    /// Makes sure that a request fits into its customer's queue.
    ///
    /// In a full queue the request that would be served last is refused, which is the newest
    /// request of a caller that exceeds its share if there is one.
    fn make_room(&mut self, now: ClockTime, request: &WaitingRequest) -> Result<(), RefusalCause> {
        let urgent = request.lane.urgent;
        let full = !urgent && self.queue.len() >= GROUP_QUEUE_LIMIT;
        let terms = &self.customers.get(request.customer).terms;
        let limit = queue_limit(terms.queue_limit, urgent);
        if !full && self.queue.count(request.customer, urgent) < limit {
            return Ok(());
        }
        self.scarcity.note_sign(now);
        let last = match full && !request.late_service {
            true => None,
            false => self.find_displaced(now, request),
        };
        let Some((last, level)) = last else {
            self.level_counts[request.lane.level.index()].refused_for_slots += 1;
            return Err(RefusalCause::Overload);
        };
        self.level_counts[level].refused_for_slots += 1;
        let mut pending = std::mem::take(&mut self.pending);
        self.refuse_waiting(now, last, RefusalCause::Overload, &mut pending);
        self.pending = pending;
        Ok(())
    }

    /// Returns the waiting request of the same customer that would be served last, and its level,
    /// if that is after a new request.
    fn find_displaced(
        &self,
        now: ClockTime,
        request: &WaitingRequest,
    ) -> Option<(RequestTicket, usize)> {
        if !self.settings.modules.caller_pacing {
            return None;
        }
        let scarce = self.cost_order(now).is_some();
        let rank = |lane: LaneKind| {
            let cost = if scarce {
                lane.cost
            } else {
                CostClass::default()
            };
            (lane.level, lane.target_missed, cost)
        };
        let (customer, sharer) = (request.customer, request.sharer);
        let last = self
            .queue
            .last(customer, sharer, request.lane.urgent, rank)?;
        let before = match request.late_service {
            true => (rank(request.lane), request.order) < (rank(last.lane), last.order),
            false => request.order < last.order,
        };
        before.then_some((last.profile.ticket, last.lane.level.index()))
    }

    pub(crate) fn insert(&mut self, request: WaitingRequest) {
        if self.queue.is_idle(request.sharer) {
            self.fair_clock.resume(request.sharer);
        }
        if request.pinned_to.is_none() {
            self.resume_shares(&request);
        }
        self.queue.insert(request);
    }

    /// Takes back the unused minimum shares of the level and cost class of a request if no other
    /// one waits.
    fn resume_shares(&mut self, request: &WaitingRequest) {
        let (level, cost) = (request.lane.level.index(), request.lane.cost);
        if self.queue.level_counts()[level] == 0 {
            self.level_shares.resume(level);
        }
        if cost != CostClass::default()
            && !self.queue.sharer(request.sharer).has_waiting(level, cost)
        {
            self.cost_shares.resume(request.sharer, level, cost);
        }
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

    /// Returns the reason for which a request can't be served in time, if there is one.
    fn unservable_cause(
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
        let back = self.expected_primary_at(now)?;
        if replica {
            return None;
        }
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        let late = misses_deadline(back, estimate.expected(), estimate.deviation(), deadline);
        (late && self.settings.modules.early_refusal).then_some(RefusalCause::NoPrimary)
    }

    /// Returns when a group without a primary is expected to have one.
    fn expected_primary_at(&self, now: ClockTime) -> Option<ClockTime> {
        let lost = self.primary_lost_at?;
        let back = self.primary_due.unwrap_or(lost + EXPECTED_PROMOTION_TIME);
        Some(back.max(now + MIN_REMAINING_PROMOTION))
    }

    /// Returns the total number of slots of the endpoints that accept requests.
    pub fn usable_slots(&self) -> u32 {
        let records = self.endpoints.records().iter();
        let usable = records.filter(|record| record.accepts_unpinned());
        usable.map(|record| record.state.slots).sum()
    }
}

/// Returns whether a refusal holds until the request or its contract changes.
fn is_lasting(cause: RefusalCause) -> bool {
    matches!(
        cause,
        RefusalCause::Contract | RefusalCause::DeadlinePassed | RefusalCause::TransactionLost
    )
}
