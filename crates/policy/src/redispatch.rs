//! Repeated dispatch of statements that an endpoint rejected.
//!
//! # Problem
//!
//! An endpoint rejects a third to a half of its statements. Sent back to it at once, a rejected
//! statement uses up its three dispatches within a few milliseconds: at a third rejected, one
//! request in 27 is refused although its caller has time left. Each such retry is also taken from
//! the budget that protects healthy endpoints from failed statements.
//!
//! # Approach
//!
//! A rejected statement goes to another endpoint that may serve it. Where there is none, it waits
//! for a short time that grows with the share of rejections and leaves room for all further
//! dispatches. The number of dispatches is bounded so that at the known share less than one request
//! in a thousand is refused. Retries are paid from what the endpoint's own answers have earned, see
//! [`EndpointFaults::spend_retry`](crate::rejection_rate::EndpointFaults::spend_retry).

use crate::ClockTime;
use crate::GroupScheduler;
use crate::RequestStep;
use crate::RequestTicket;
use crate::admission::misses_deadline;
use crate::endpoints::EndpointRecord;
use crate::forecast::is_in_rotation;
use crate::plan::DispatchPlan;
use crate::queue::WaitingRequest;
use crate::routing::ServingFitness;
use crate::routing::judge_fitness;
use crate::scheduler::DispatchedRequest;
use ragwort_types::InstanceName;
use std::time::Duration;

/// The part of requests that may be refused because each of their dispatches was rejected.
const REFUSED_PART: f64 = 0.001;

/// The number of dispatches of a request that endpoints without a known share of rejections
/// rejected.
const MIN_REJECTIONS: u32 = 3;

/// The maximum number of dispatches of a request that were rejected; it covers a share of one half.
const MAX_REJECTIONS: u32 = 10;

/// The maximum pause before the next dispatch.
///
/// What is known after it about the endpoint is acted upon no later than this.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// The minimum pause before the next dispatch.
const MIN_PAUSE: Duration = Duration::from_micros(500);

/// A request that waits before it is dispatched again.
#[derive(Clone, Debug)]
pub(crate) struct PausedRequest {
    /// The end of the pause.
    pub(crate) until: ClockTime,
    /// The request.
    pub(crate) request: WaitingRequest,
}

/// Returns how many dispatches of a request may be rejected by endpoints that reject this share.
pub(crate) fn rejection_limit(share: f64) -> u32 {
    if share <= 0.0 {
        return MIN_REJECTIONS;
    }
    if share >= 1.0 {
        return MAX_REJECTIONS;
    }
    let needed = (REFUSED_PART.ln() / share.ln()).ceil();
    (needed as u32).clamp(MIN_REJECTIONS, MAX_REJECTIONS)
}

/// Returns the pause before the next dispatch to an endpoint that rejects this share.
///
/// In the time of a run the endpoint's other statements change, so the pause is the part of it that
/// the expected number of rejections suggests. All further dispatches must fit into half of the
/// time left.
pub(crate) fn retry_pause(share: f64, run: Duration, left: Duration) -> Duration {
    let rejections = share / (1.0 - share).max(0.1);
    let pause = run.mul_f64(rejections).clamp(MIN_PAUSE, MAX_PAUSE);
    pause.min(left / (2 * rejection_limit(share)))
}

impl GroupScheduler {
    /// Returns whether a request that an endpoint rejected is dispatched again.
    ///
    /// A rejected trial costs nothing else, and trials are few.
    pub(crate) fn may_redispatch(
        &mut self,
        now: ClockTime,
        dispatched: &DispatchedRequest,
        trial: bool,
    ) -> bool {
        let request = &dispatched.request;
        let estimate = self.estimates.get(request.kind);
        let deadline = request.profile.deadline;
        if misses_deadline(now, estimate.expected(), estimate.deviation(), deadline) {
            return false;
        }
        let Some(record) = self.endpoints.get_mut(&dispatched.instance) else {
            return self.retries.spend();
        };
        let limit = rejection_limit(record.faults.rejected_share());
        if request.rejections >= limit {
            return false;
        }
        trial
            || !self.settings.modules.retry_budget
            || record.faults.spend_retry()
            || self.retries.spend()
    }

    /// Puts a request that an endpoint rejected or failed back into the queue, or has it wait if no
    /// other endpoint may serve it.
    pub(crate) fn redispatch(
        &mut self,
        now: ClockTime,
        dispatched: DispatchedRequest,
        paused: bool,
    ) {
        let DispatchedRequest {
            mut request,
            instance,
            expected_run,
            ..
        } = dispatched;
        if !request.rejected_by.contains(&instance) {
            request.rejected_by.push(instance.clone());
        }
        let elsewhere = self.may_run_elsewhere(now, &request);
        if !elsewhere {
            request.rejected_by.clear();
        }
        self.counts.retried_elsewhere += u64::from(elsewhere);
        request.lane.replica = self.prefers_replica(now, &request.profile, &request.rejected_by);
        request.arrived = now;
        request.ranked_at = now;
        // It was admitted before and keeps its place. A planned wait of zero teaches the wait
        // factor nothing.
        request.planned_wait = Some(Duration::ZERO);
        if request.profile.step == RequestStep::Opens {
            self.customers.get_mut(request.customer).pins += 1;
        }
        if elsewhere || !paused {
            return self.insert(request);
        }
        let record = self.endpoints.get(&instance);
        let share = record.map_or(0.0, |record| record.faults.rejected_share());
        let left = request.due().since(now + expected_run);
        let until = now + retry_pause(share, expected_run, left);
        self.paused.push(PausedRequest { until, request });
    }

    /// Puts the requests back into the queue whose pause has ended.
    pub(crate) fn resume_paused(&mut self, now: ClockTime) {
        let mut index = 0;
        while index < self.paused.len() {
            if self.paused[index].until > now {
                index += 1;
                continue;
            }
            let paused = self.paused.swap_remove(index);
            self.insert(paused.request);
        }
    }

    /// Returns the end of the first pause.
    pub(crate) fn next_resumption(&self) -> Option<ClockTime> {
        self.paused.iter().map(|paused| paused.until).min()
    }

    /// Removes a request that pauses.
    pub(crate) fn take_paused(&mut self, ticket: RequestTicket) -> Option<WaitingRequest> {
        let mut paused = self.paused.iter();
        let place = paused.position(|paused| paused.request.profile.ticket == ticket)?;
        Some(self.paused.swap_remove(place).request)
    }

    /// Returns whether an endpoint that hasn't rejected a request may serve it now.
    fn may_run_elsewhere(&self, now: ClockTime, request: &WaitingRequest) -> bool {
        let records = self.endpoints.records().iter();
        request.pinned_to.is_none()
            && records
                .filter(|record| !request.rejected_by.contains(&record.state.instance))
                .any(|record| may_serve(record, request, now))
    }
}

impl DispatchPlan<'_> {
    /// Returns whether a request stays away from an instance because the instance has rejected it
    /// and another one may serve it.
    pub(crate) fn is_avoided(&self, request: &WaitingRequest, record: &EndpointRecord) -> bool {
        let avoided = request.avoided(self.input.now);
        if !is_rejected_by(avoided, record) {
            return false;
        }
        let records = self.input.endpoints.records().iter();
        let mut others = records.filter(|other| !is_rejected_by(avoided, other));
        others.any(|other| may_serve(other, request, self.input.now))
    }
}

/// Returns whether an endpoint is one of those that have rejected a request.
pub(crate) fn is_rejected_by(rejected_by: &[InstanceName], record: &EndpointRecord) -> bool {
    rejected_by.contains(&record.state.instance)
}

fn may_serve(record: &EndpointRecord, request: &WaitingRequest, now: ClockTime) -> bool {
    let reachable = is_in_rotation(record) && record.usable_connections() > 0;
    reachable && judge_fitness(record, &request.profile, now) == ServingFitness::Ready
}
