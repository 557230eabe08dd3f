//! Eligibility of instances for a planned request, and whether a request can end in time.

use crate::ClockTime;
use crate::EndpointRole;
use crate::HealthLevel;
use crate::RequestStep;
use crate::account_connections::preference_of;
use crate::account_forecast::AccountForecast;
use crate::admission::misses_deadline;
use crate::admission::scaled_start;
use crate::endpoints::EndpointRecord;
use crate::plan::DispatchPlan;
use crate::plan::PlanAction;
use crate::plan::PlannedStart;
use crate::plan::write_key;
use crate::queue::LaneKind;
use crate::queue::MAX_URGENT_RUN;
use crate::queue::WaitingRequest;
use crate::routing::ServingFitness;
use crate::routing::judge_fitness;
use crate::selection::ChoicePass;
use std::time::Duration;

/// Reads may use the primary's slots when more than this many reads wait for each slot of the
/// replicas.
const SPILL_READS_PER_SLOT: u32 = 2;

/// The wait that must fit before a new request's target, in percent of the planned wait. Other
/// requests overtake it, and one that is admitted and misses its target later has waited for
/// nothing.
const TARGET_WAIT_PERCENT: u64 = 200;

/// A trial that has been due for this long takes the next suitable request, regardless of its
/// slack.
const FORCED_TRIAL_DELAY: Duration = Duration::from_millis(200);

/// The time that a request may lose by the preference of its account is the time that opening a
/// connection takes, divided by this. A connection elsewhere would cost that time at once, and
/// again when it has been closed as unused.
const MAX_DETOUR_DIVISOR: u32 = 2;

/// The longest wait for a connection of the request's account, in times that opening one takes: a
/// new one takes that time now, and once more when the connection that it replaces is needed again.
const MAX_WAIT_FACTOR: u32 = 2;

/// The expected run with the detour of its account, and the number of slots that are held.
type StartRank = (Duration, u32);

impl DispatchPlan<'_> {
    /// Finds the instance on which a request outside of a transaction would end first.
    pub(crate) fn place(&self, request: &WaitingRequest, pass: ChoicePass) -> Option<PlanAction> {
        let at = pass.at;
        if self.is_key_locked(request, at) {
            return None;
        }
        let account = self.bound_account(request, at);
        let mut best: Option<(StartRank, PlannedStart)> = None;
        for instance in 0..self.forecasts.len() {
            let Some(trial) = self.accepts(request, instance, pass) else {
                continue;
            };
            let PlanAction::Start(start) = self.judge_start(request, instance, at, trial) else {
                continue;
            };
            if trial {
                return Some(PlanAction::Start(start));
            }
            let rank = self.rank_start(account, &start, at);
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, start));
            }
        }
        let (_, best) = best?;
        let own = account.and_then(|account| self.start_on_own(request, account, best, pass));
        Some(PlanAction::Start(own.unwrap_or(best)))
    }

    /// Finds a start on a connection of the request's account that is expected to be idle soon, if
    /// the start that was found needs to open one. Returns `None` if the request would then miss
    /// its deadline.
    fn start_on_own(
        &self,
        request: &WaitingRequest,
        account: u64,
        best: PlannedStart,
        pass: ChoicePass,
    ) -> Option<PlannedStart> {
        let at = pass.at;
        if !self.forecasts[best.instance].lacks_connection(Some(account), at) {
            return None;
        }
        let records = self.input.endpoints.records().iter().enumerate();
        let own = records.filter_map(|(instance, record)| {
            let forecast = &self.forecasts[instance];
            let idle_at = forecast.own_connection_at(account)?;
            let soon = idle_at > at && idle_at <= at + self.input.connect_time * MAX_WAIT_FACTOR;
            // A read that waited for the primary's connection could then not be sent there.
            let primary = record.state.role == EndpointRole::Primary;
            let spills = pass.spill || !request.lane.replica || !self.input.switches.routing;
            let serves = self.could_serve(request, instance)
                && self.is_fit(record, request, at)
                && (spills || !primary);
            let pins = request.profile.step != RequestStep::Opens || forecast.takes_pin(at);
            (soon && serves && pins).then_some((idle_at, instance))
        });
        let (idle_at, instance) = own.min()?;
        match self.judge_start(request, instance, idle_at, false) {
            PlanAction::Start(start) => Some(start),
            PlanAction::CannotMeetTarget | PlanAction::CannotMeetDeadline => None,
        }
    }

    /// Returns whether an instance accepts a request now: `Some(true)` as a trial, `Some(false)` as
    /// regular work, `None` if it doesn't.
    pub(crate) fn accepts(
        &self,
        request: &WaitingRequest,
        instance: usize,
        pass: ChoicePass,
    ) -> Option<bool> {
        let at = pass.at;
        let forecast = &self.forecasts[instance];
        let record = &self.input.endpoints.records()[instance];
        if forecast.free_slot(at).is_none() || !forecast.is_connected(at) {
            return None;
        }
        if !self.is_fit(record, request, at) || !self.length_fits(request, instance, at) {
            return None;
        }
        if !request.rejected_by.is_empty() && self.is_avoided(request, record) {
            return None;
        }
        if request.lane.urgent && pass.bounded && forecast.urgent_run >= MAX_URGENT_RUN {
            return None;
        }
        let opens = request.profile.step == RequestStep::Opens;
        if opens && !forecast.takes_pin(at) {
            return None;
        }
        let primary = record.state.role == EndpointRole::Primary;
        if primary && !request.lane.replica {
            return Some(false);
        }
        if primary && !pass.spill && self.input.switches.routing {
            return None;
        }
        if forecast.takes_shared(at) {
            return Some(false);
        }
        // Rejections cost the primary no slot time, so its slots serve reads that find no other.
        let slow = primary && record.health.level() != HealthLevel::Full;
        if pass.spill && !slow && self.has_time_for_slow_run(request, instance, at) {
            return Some(false);
        }
        self.accepts_trial(request, instance, at).then_some(true)
    }

    /// Returns whether a read could run on a slow endpoint for twice as long as is expected there
    /// and still meet its deadline.
    pub(crate) fn has_time_for_slow_run(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
    ) -> bool {
        let run = self.expected_on(request, instance, at);
        !request.lane.long && !misses_deadline(at, run, run, request.profile.deadline)
    }

    pub(crate) fn accepts_trial(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
    ) -> bool {
        let forecast = &self.forecasts[instance];
        if at != self.input.now || !forecast.trial || request.lane.urgent || request.lane.long {
            return false;
        }
        let record = &self.input.endpoints.records()[instance];
        let run = self.expected_on(request, instance, at);
        let slack = !misses_deadline(at, run, Duration::ZERO, request.profile.deadline);
        slack || record.is_trial_due(at.before(FORCED_TRIAL_DELAY))
    }

    /// Returns whether the instance may serve the request by role, position and data age.
    pub(crate) fn is_fit(
        &self,
        record: &EndpointRecord,
        request: &WaitingRequest,
        at: ClockTime,
    ) -> bool {
        match judge_fitness(record, &request.profile, self.input.now) {
            ServingFitness::Ready => true,
            // A plan for a later moment assumes that the replica catches up; a dispatch doesn't.
            ServingFitness::ReadyAt(moment) => at > self.input.now && at >= moment,
            ServingFitness::Unfit => false,
        }
    }

    /// Returns whether reads of a lane may use the primary's slots although replicas could serve
    /// them.
    pub(crate) fn may_spill(&self, lane: LaneKind) -> bool {
        if !lane.replica || lane.long || !self.input.switches.routing {
            return false;
        }
        let records = self.input.endpoints.records();
        let replicas = records
            .iter()
            .zip(&self.forecasts)
            .filter(|(record, _)| record.state.role == EndpointRole::Replica);
        let slots: u32 = replicas.map(|(_, forecast)| forecast.usable).sum();
        self.unplanned_replica_reads
            > usize::try_from(slots * SPILL_READS_PER_SLOT).unwrap_or(usize::MAX)
    }

    pub(crate) fn length_fits(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
    ) -> bool {
        if !request.lane.long || !self.input.switches.long_jobs {
            return true;
        }
        let others = self.forecasts.iter().enumerate();
        let elsewhere_free = others
            .filter(|(index, forecast)| *index != instance && !forecast.slots.is_empty())
            .any(|(_, forecast)| forecast.long_running(at) == 0);
        self.forecasts[instance].takes_long(at, elsewhere_free)
    }

    pub(crate) fn is_key_locked(&self, request: &WaitingRequest, at: ClockTime) -> bool {
        let Some(key) = write_key(request) else {
            return false;
        };
        self.input.switches.caller_pacing
            && self
                .key_locks
                .iter()
                .any(|hold| hold.key == key && hold.until > at)
    }

    pub(crate) fn expected_on(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
    ) -> Duration {
        let estimate = self.input.estimates.get(request.kind);
        let record = &self.input.endpoints.records()[instance];
        let slowdown = self.forecasts[instance].slowdown_percent;
        let fresh = request.pinned_to.is_none();
        let account = request.profile.account;
        let lacking = || match AccountForecast::covers(self.input.now, at) {
            true => self.forecasts[instance].lacks_connection(account, at),
            false => record.lacks_connection(account),
        };
        let opening = match fresh && lacking() {
            true => self.input.connect_time,
            false => Duration::ZERO,
        };
        estimate.expected_scaled(slowdown) + record.round_trip + opening
    }

    /// Returns the expected time from the start of a request to its end, with the retries that are
    /// to be expected on an instance that rejects or fails a part of its statements.
    fn with_retries(
        &self,
        request: &WaitingRequest,
        instance: usize,
        expected: Duration,
    ) -> Duration {
        if !self.uneven || matches!(request.profile.step, RequestStep::Within(_)) {
            return expected;
        }
        expected + self.forecasts[instance].retry_delay
    }

    /// Returns whether a request would miss its deadline on every instance that may serve it.
    pub(crate) fn cannot_meet_deadline(&self, request: &WaitingRequest, at: ClockTime) -> bool {
        if !self.input.switches.early_refusal {
            return request.profile.deadline <= at;
        }
        let start = self.pessimistic_start(request, at);
        self.would_miss(request, start, request.profile.deadline)
    }

    /// Returns whether a request would miss its target on every instance that may serve it.
    ///
    /// Under overload, requests in deadline order all wait until shortly before their deadlines,
    /// and every answer misses its target. Served behind those that can still meet their target, a
    /// request that can't delays no timely answer. Urgent requests keep their place.
    pub(crate) fn cannot_meet_target(&self, request: &WaitingRequest, at: ClockTime) -> bool {
        if request.lane.target_missed || request.lane.urgent || !self.input.switches.targets {
            return false;
        }
        let target = match request.profile.target {
            Some(target) => target,
            None if request.late_service => request.profile.deadline,
            None => return false,
        };
        let start = match request.planned_wait {
            Some(_) => at,
            None => scaled_start(
                self.input.now,
                at.since(self.input.now),
                TARGET_WAIT_PERCENT,
            ),
        };
        self.would_miss(request, start, target)
    }

    /// Returns whether a request that starts at `start` would end after `moment` on every instance
    /// that may serve it.
    fn would_miss(&self, request: &WaitingRequest, start: ClockTime, moment: ClockTime) -> bool {
        let runs = (0..self.forecasts.len())
            .filter(|instance| self.could_serve(request, *instance))
            .map(|instance| {
                let expected = self.expected_on(request, instance, start);
                self.with_retries(request, instance, expected)
            });
        let Some(run) = runs.min() else {
            return false;
        };
        let margin = self.input.estimates.get(request.kind).deviation();
        misses_deadline(start, run, margin, moment)
    }

    /// Returns the expected start of a request that is planned to start at `at`.
    ///
    /// A request that was admitted keeps its place as long as the plan lets it meet its deadline.
    /// For a new one the planned wait is scaled by the learned factor: admitted on the edge of its
    /// deadline, it would be refused later, with little of its time left, when a run before it
    /// takes longer than expected or another request overtakes it.
    ///
    /// A request with late service is only refused when no room is left for it. One that would be
    /// late with the scaled wait goes behind those that can meet their target instead.
    pub(crate) fn pessimistic_start(&self, request: &WaitingRequest, at: ClockTime) -> ClockTime {
        if request.planned_wait.is_some() || request.late_service {
            return at;
        }
        let now = self.input.now;
        let wait_factor = self
            .input
            .customers
            .get(request.customer)
            .wait_factor(request);
        scaled_start(now, at.since(now), wait_factor.percent())
    }

    /// Returns whether an instance is one of those that serve requests of this lane.
    pub(crate) fn could_serve(&self, request: &WaitingRequest, instance: usize) -> bool {
        let record = &self.input.endpoints.records()[instance];
        match record.state.role {
            EndpointRole::Primary => true,
            EndpointRole::Replica => request.lane.replica && self.forecasts[instance].usable > 0,
            EndpointRole::Unusable => false,
        }
    }

    pub(crate) fn judge_start(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
        trial: bool,
    ) -> PlanAction {
        let expected = self.expected_on(request, instance, at);
        let margin = self.input.estimates.get(request.kind).deviation();
        let end = self.with_retries(request, instance, expected);
        let late = misses_deadline(at, end, margin, request.profile.deadline);
        if self.input.switches.early_refusal && late && !trial {
            return PlanAction::CannotMeetDeadline;
        }
        PlanAction::Start(PlannedStart {
            instance,
            at,
            expected,
            trial,
        })
    }

    /// Returns by what a start is compared with those on other instances; the lowest is the best.
    fn rank_start(&self, account: Option<u64>, start: &PlannedStart, at: ClockTime) -> StartRank {
        let held = self.forecasts[start.instance].held(at);
        if !self.input.switches.routing {
            return (Duration::ZERO, held);
        }
        let detour = account.map_or(Duration::ZERO, |account| {
            self.detour(account, start.instance, at)
        });
        let retries = match self.uneven {
            true => self.forecasts[start.instance].retry_delay,
            false => Duration::ZERO,
        };
        (start.expected + detour + retries, held)
    }

    /// Returns the account to which a connection for a request that starts at `at` must belong, if
    /// that matters for its start.
    fn bound_account(&self, request: &WaitingRequest, at: ClockTime) -> Option<u64> {
        let account = request.profile.account?;
        let covered = AccountForecast::covers(self.input.now, at);
        let mut forecasts = self.forecasts.iter();
        let bound = covered && forecasts.any(|forecast| forecast.accounts.is_some());
        (bound && self.input.switches.account_preference).then_some(account)
    }

    /// Returns the time that is added to the expected run of an account's request on an instance,
    /// so that the account's requests prefer the same instances.
    ///
    /// An instance with at most one free slot isn't preferred: it is left to those that have a
    /// connection there or can run nowhere else.
    fn detour(&self, account: u64, instance: usize, at: ClockTime) -> Duration {
        let most = self.input.connect_time / MAX_DETOUR_DIVISOR;
        let forecast = &self.forecasts[instance];
        if forecast.held(at) + 1 >= forecast.usable {
            return most;
        }
        let record = &self.input.endpoints.records()[instance];
        let preference = preference_of(account, record.instance_digest);
        most - most.mul_f64(preference as f64 / u64::MAX as f64)
    }
}
