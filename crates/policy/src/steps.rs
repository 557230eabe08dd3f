//! How a scheduler takes requests in, reviews them, and follows its plan.

use crate::ClockTime;
use crate::GroupScheduler;
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
use crate::plan::DispatchPlan;
use crate::plan::PlanAction;
use crate::plan::PlanInput;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use crate::routing::has_replica_soon;
use ragwort_types::InstanceName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::UrgencyClass;
use std::time::Duration;

/// With this many waiting requests or fewer, each poll plans the whole queue.
const SMALL_QUEUE: usize = 64;

/// A longer queue is planned as a whole this often.
///
/// A refusal still comes within the time of one message.
pub(crate) const REVIEW_GAP: Duration = Duration::from_millis(2);

/// A queue of more than some hundred requests is planned less often, by this much for each.
///
/// A plan takes about 0.3 µs for each waiting request, so plans take a tenth of a core at most.
const REVIEW_GAP_PER_REQUEST: Duration = Duration::from_micros(3);

/// Plans after which a poll gives up to settle. Each one sends or refuses at least one request, and a
/// group of three endpoints with two slots each has little more to send at once.
const SETTLING_PLANS: usize = 16;

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
        let mut backlog = run * waiting;
        if cause == RefusalCause::NoPrimary {
            let back = self.foresee_primary(now);
            backlog += back.map_or(Duration::ZERO, |back| back.since(now));
        }
        self.returns.refuse(now, ticket, cause, backlog, run)
    }

    /// Notes since when the group has no primary.
    pub(crate) fn note_primary(&mut self, now: ClockTime) {
        if self.endpoints.has_primary() {
            self.primary_lost = None;
        } else if self.primary_lost.is_none() {
            self.primary_lost = Some(now);
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

    /// Plans, and carries out what the plan says of the present, until no request becomes overdue and
    /// none is refused.
    ///
    /// An overdue request is planned anew behind the others, so that its caller learns at once if it
    /// has no chance there. A refusal leaves fewer reads to the replicas, so that one of them may
    /// wait for these again and take another request's chance.
    pub(crate) fn follow_plan(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) {
        for _ in 0..SETTLING_PLANS {
            if !self.follow_plan_once(now, decisions) {
                return;
            }
        }
    }

    /// Follows one plan and says whether another one may follow from it.
    fn follow_plan_once(&mut self, now: ClockTime, decisions: &mut Vec<SchedulerDecision>) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let review = self.queue.len() <= SMALL_QUEUE || now >= self.next_review;
        if review {
            let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
            self.next_review = now + REVIEW_GAP.max(REVIEW_GAP_PER_REQUEST * waiting);
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
            excess: self.settings.excess,
            switches: self.settings.modules,
        });
        let steps = if review && self.settings.modules.early_refusal {
            plan.walk_all()
        } else {
            plan.walk_present()
        };
        let mut unsettled = false;
        for step in steps {
            let ticket = self.queue.at(step.slot).profile.ticket;
            match step.action {
                PlanAction::Overdue => {
                    let estimate = self.estimates.get(self.queue.at(step.slot).kind);
                    let deadline = self.queue.at(step.slot).profile.deadline;
                    let order = deadline.before(estimate.expected());
                    self.queue.make_overdue(now, ticket, order);
                    unsettled = true;
                }
                PlanAction::Start(start) if start.at == now => {
                    self.dispatch(now, ticket, start, decisions);
                }
                PlanAction::Start(start) => {
                    self.queue.note_plan(step.slot, start.at.since(now));
                }
                PlanAction::Hopeless => {
                    unsettled = true;
                    self.learn_hopeless(step.slot);
                    let cause = RefusalCause::DeadlineOutOfReach;
                    self.refuse_waiting(now, ticket, cause, decisions);
                }
            }
        }
        unsettled
    }

    /// Plans again until nothing more follows, where statements are sent ahead.
    ///
    /// A statement that was sent ahead holds its slot for longer than the plan that sent it reckoned
    /// with, by the way there and back. A request behind it can be hopeless by that, and its caller
    /// would learn so one poll too late.
    pub(crate) fn plan_until_settled(
        &mut self,
        now: ClockTime,
        decisions: &mut Vec<SchedulerDecision>,
    ) {
        for _ in 0..SETTLING_PLANS {
            let known = decisions.len();
            self.follow_plan(now, decisions);
            if decisions.len() == known {
                return;
            }
        }
    }

    /// Learns that a request was let in and would have waited until it was too late, or that a new
    /// one had no chance from the start.
    fn learn_hopeless(&mut self, slot: usize) {
        let request = self.queue.at(slot);
        let customer = self.customers.get_mut(request.customer);
        let stretch = customer.stretch_mut(request);
        match request.planned_wait {
            Some(planned) => {
                stretch.learn(planned, request.due().since(request.ranked));
            }
            None => stretch.relax(),
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
        let mut lane = LaneKind {
            overdue: false,
            urgent: profile.urgency == UrgencyClass::Urgent,
            long: estimate.is_long(),
            replica: self.leaves_to_replicas(now, &profile),
        };
        let due = profile.target.unwrap_or(profile.deadline);
        let mut order = due.min(profile.deadline).before(estimate.expected());
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
            ranked: now,
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
        let back = self.foresee_primary(now)?;
        if replica {
            return None;
        }
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        let late = misses_deadline(back, estimate.expected(), estimate.deviation(), deadline);
        (late && self.settings.modules.early_refusal).then_some(RefusalCause::NoPrimary)
    }

    /// Returns when a group without a primary is expected to have one.
    fn foresee_primary(&self, now: ClockTime) -> Option<ClockTime> {
        let lost = self.primary_lost?;
        let back = self.primary_due.unwrap_or(lost + PROMOTION_TIME);
        Some(back.max(now + PROMOTION_REST))
    }

    /// Returns the slots of the endpoints that take fresh work.
    pub(crate) fn usable_slots(&self) -> u32 {
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
