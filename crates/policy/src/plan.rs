//! Simulated dispatch schedule of all waiting requests of one group.
//!
//! A plan decides in which order the waiting requests start, on which instance and when. It is a
//! list scheduling simulation: at the present moment, and then at each later moment at which a slot
//! or a connection is expected to become free, it repeatedly picks the best request that an
//! instance can take.
//!
//! One run of the simulation serves three purposes. Starts at the present moment are dispatched,
//! starts at later moments show which requests will miss their deadlines, and the expected end of
//! each run gives the next free slot. Because the same code picks requests for now and for later, a
//! request is refused early only on the basis of the order in which requests are really served.

use crate::ClockTime;
use crate::ExcessRule;
use crate::RequestStep;
use crate::customers::CustomerTable;
use crate::endpoints::EndpointRecord;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::forecast::ForecastOptions;
use crate::forecast::InstanceForecast;
use crate::forecast::SlotForecast;
use crate::minimum_shares::MinimumShares;
use crate::priority::LEVEL_COUNT;
use crate::queue::LaneKind;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::scarcity::CostShares;
use crate::selection::PlanCandidate;
use crate::selection::PlanLane;
use crate::selection::waiting_lanes;
use crate::settings::ModuleSwitches;
use crate::shares::FairClock;
use ragwort_types::AccessMode;
use smallvec::SmallVec;
use std::time::Duration;

/// The state from which a plan is computed.
#[derive(Clone, Copy)]
pub(crate) struct PlanInput<'a> {
    /// The present time.
    pub(crate) now: ClockTime,
    /// The waiting requests.
    pub(crate) queue: &'a WaitingQueue,
    /// The endpoints of the group.
    pub(crate) endpoints: &'a EndpointTable,
    /// The estimated run times, by kind.
    pub(crate) estimates: &'a EstimateTable,
    /// The customers, with the factors by which their planned waits are scaled.
    pub(crate) customers: &'a CustomerTable,
    /// The virtual times that decide which sharer is served next.
    pub(crate) fair_clock: &'a FairClock,
    /// The minimum shares of the priority levels.
    pub(crate) level_shares: &'a MinimumShares<LEVEL_COUNT>,
    /// The shares by which operations are ordered by cost; `None` while slots aren't scarce.
    pub(crate) cost_shares: Option<&'a CostShares>,
    /// The time that opening a connection takes.
    pub(crate) connect_time: Duration,
    /// The mean time for which a transaction holds a connection.
    pub(crate) pin_hold: Duration,
    /// The mean run time over all kinds.
    pub(crate) mean_run: Duration,
    /// What endpoints do with statements beyond their slots.
    pub(crate) excess: ExcessRule,
    /// The modules in use.
    pub(crate) switches: ModuleSwitches,
}

/// A decision about one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanStep {
    /// The index of the request in the queue's slab.
    pub(crate) slot: usize,
    /// The decision.
    pub(crate) action: PlanAction,
}

/// What the plan decides about a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PlanAction {
    /// The request starts on an instance.
    Start(PlannedStart),
    /// The request can no longer end before its target, and is placed behind those that can.
    CannotMeetTarget,
    /// The request can no longer end before its deadline.
    CannotMeetDeadline,
}

/// The planned start of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStart {
    /// The index of the instance.
    pub(crate) instance: usize,
    /// The time of the start.
    pub(crate) at: ClockTime,
    /// The time for which the request is expected to hold its slot.
    pub(crate) expected: Duration,
    /// Whether the request is a trial of an endpoint that was cut off.
    pub(crate) trial: bool,
}

/// The state of the simulation.
pub(crate) struct DispatchPlan<'a> {
    pub(crate) input: PlanInput<'a>,
    pub(crate) forecasts: SmallVec<[InstanceForecast; 4]>,
    /// Whether an endpoint rejects or fails a part of its statements.
    pub(crate) uneven: bool,
    pub(crate) fair_clock: FairClock,
    pub(crate) level_shares: MinimumShares<LEVEL_COUNT>,
    pub(crate) cost_shares: Option<CostShares>,
    pub(crate) planned: Vec<bool>,
    /// The lanes with waiting requests, those of each sharer next to each other.
    pub(crate) lanes: SmallVec<[PlanLane<'a>; 16]>,
    pub(crate) key_locks: SmallVec<[KeyLock; 4]>,
    pub(crate) unplanned_replica_reads: usize,
    pub(crate) unplanned_ordinary: usize,
    pub(crate) unplanned_levels: [usize; LEVEL_COUNT],
}

/// A running write, which excludes other writes on the same key until it ends.
#[derive(Clone, Copy)]
pub(crate) struct KeyLock {
    pub(crate) key: u64,
    pub(crate) until: ClockTime,
}

impl<'a> DispatchPlan<'a> {
    /// Starts a plan from the present state.
    pub(crate) fn new(input: PlanInput<'a>) -> Self {
        let records = input.endpoints.records();
        let forecasts = records.iter().map(|record| {
            InstanceForecast::from_record(
                record,
                input.now,
                input.connect_time,
                input.pin_hold,
                ForecastOptions {
                    health: input.switches.health,
                    excess: input.excess,
                    mean_run: input.mean_run,
                },
            )
        });
        let forecasts: SmallVec<[InstanceForecast; 4]> = forecasts.collect();
        Self {
            input,
            uneven: forecasts.iter().any(|one| !one.retry_delay.is_zero()),
            forecasts,
            fair_clock: input.fair_clock.clone(),
            level_shares: input.level_shares.clone(),
            cost_shares: input.cost_shares.cloned(),
            planned: vec![false; input.queue.capacity()],
            lanes: waiting_lanes(input.queue),
            key_locks: running_key_locks(records, input.now),
            unplanned_replica_reads: input.queue.count_replica_reads(),
            unplanned_ordinary: input.queue.count_urgency(false),
            unplanned_levels: input.queue.level_counts(),
        }
    }

    /// Plans the present moment only and returns its steps, which include the later starts of
    /// requests that wait for a connection of their account.
    pub(crate) fn walk_present(mut self) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        self.walk_moment(self.input.now, &mut steps);
        steps
    }

    /// Plans until every request that can be placed has been placed, and returns all steps.
    pub(crate) fn walk_all(mut self) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        let mut moment = Some(self.input.now);
        while let Some(at) = moment {
            self.walk_moment(at, &mut steps);
            moment = self.next_moment(at);
        }
        steps
    }

    fn walk_moment(&mut self, at: ClockTime, steps: &mut Vec<PlanStep>) {
        while steps.len() < self.input.queue.len() {
            let Some(candidate) = self.choose(at) else {
                return;
            };
            self.apply(candidate, at);
            steps.push(PlanStep {
                slot: candidate.entry.slot,
                action: candidate.action,
            });
        }
    }

    /// Returns the next moment after `at` at which a slot, a connection or a replica becomes
    /// available.
    fn next_moment(&self, at: ClockTime) -> Option<ClockTime> {
        let slots = self.forecasts.iter().flat_map(|forecast| &forecast.slots);
        let frees = slots.map(|slot| slot.free_at);
        let connects = self
            .forecasts
            .iter()
            .filter(|forecast| !forecast.slots.is_empty())
            .flat_map(|forecast| [forecast.connected_at, forecast.pin_at]);
        let records = self.input.endpoints.records();
        let now = self.input.now;
        let ages = records.iter().filter_map(|record| record.age(now));
        let catch_ups = ages.map(|age| now + age);
        frees
            .chain(connects)
            .chain(catch_ups)
            .filter(|moment| *moment > at)
            .min()
    }

    /// Returns when the next statement may be sent for the slot that a request takes.
    fn planned_next_send(&self, request: &WaitingRequest, start: PlannedStart) -> ClockTime {
        let end = start.at + start.expected;
        if self.input.excess == ExcessRule::Forbidden || request.lane.long {
            return end;
        }
        let record = &self.input.endpoints.records()[start.instance];
        end.before(record.round_trip)
    }

    /// Locks a key for a write, reusing the entry of a write that has ended.
    fn lock_key(&mut self, at: ClockTime, hold: KeyLock) {
        match self.key_locks.iter_mut().find(|other| other.until <= at) {
            Some(ended) => *ended = hold,
            None => self.key_locks.push(hold),
        }
    }

    fn apply(&mut self, candidate: PlanCandidate, at: ClockTime) {
        let request = self.input.queue.at(candidate.entry.slot);
        self.planned[candidate.entry.slot] = true;
        if request.lane.replica {
            self.unplanned_replica_reads = self.unplanned_replica_reads.saturating_sub(1);
        }
        if request.pinned_to.is_none() {
            let waiting = &mut self.unplanned_levels[request.lane.level.index()];
            *waiting = waiting.saturating_sub(1);
            if !request.lane.urgent {
                self.unplanned_ordinary = self.unplanned_ordinary.saturating_sub(1);
            }
        }
        let PlanAction::Start(start) = candidate.action else {
            return;
        };
        let until = self.planned_next_send(request, start);
        let pinned = request.pinned_to.is_some();
        let forecast = &mut self.forecasts[start.instance];
        let opens = request.profile.step == RequestStep::Opens;
        let run = SlotForecast {
            free_at: until,
            long: request.lane.long,
        };
        match start.at > at {
            true => forecast.take_later(start.at, run),
            false => forecast.take(at, run),
        }
        if !pinned && !opens {
            forecast.connect(start.at, start.at + start.expected);
        }
        if !pinned
            && let (Some(accounts), Some(account)) =
                (&mut forecast.accounts, request.profile.account)
        {
            match opens {
                true => accounts.pin(account, start.at),
                false => accounts.take(account, start.at, start.at + start.expected),
            }
        }
        forecast.pinned_run = if pinned { forecast.pinned_run + 1 } else { 0 };
        if start.trial {
            forecast.trial = false;
        }
        if opens {
            forecast.pin();
        }
        if !pinned {
            let ordinary_waits = self.unplanned_ordinary > 0;
            let forecast = &mut self.forecasts[start.instance];
            forecast.urgent_run =
                next_urgent_run(forecast.urgent_run, request.lane, ordinary_waits);
        }
        self.charge(request, start.expected);
        if let Some(key) = write_key(request) {
            self.lock_key(start.at, KeyLock { key, until });
        }
    }

    fn charge(&mut self, request: &WaitingRequest, run: Duration) {
        let lane = request.lane;
        let level = lane.level.index();
        self.fair_clock.charge(request.sharer, run);
        self.level_shares.charge(level, run);
        if let Some(costs) = &mut self.cost_shares {
            costs.charge(request.sharer, level, lane.cost, run);
        }
    }
}

/// Returns the number of consecutive urgent requests that were served while ordinary ones waited.
pub(crate) fn next_urgent_run(run: u32, lane: LaneKind, ordinary_waits: bool) -> u32 {
    if lane.urgent && ordinary_waits {
        return run.saturating_add(1);
    }
    0
}

/// Returns the key on which a request writes, hashed with the customer's index so that equal keys
/// of different customers differ.
pub(crate) fn write_key(request: &WaitingRequest) -> Option<u64> {
    if request.profile.access != AccessMode::Write {
        return None;
    }
    let customer = u64::try_from(request.customer).unwrap_or(u64::MAX);
    let key = request.profile.key?;
    Some(key ^ customer.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn running_key_locks(records: &[EndpointRecord], now: ClockTime) -> SmallVec<[KeyLock; 4]> {
    let running = records.iter().flat_map(|record| &record.running);
    let holds = running.filter_map(|running| {
        Some(KeyLock {
            key: running.write_key?,
            until: running.expected_end(now),
        })
    });
    holds.collect()
}
