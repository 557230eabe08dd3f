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
use crate::EndpointRole;
use crate::ExcessRule;
use crate::RequestStep;
use crate::customers::CustomerTable;
use crate::endpoints::EndpointRecord;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::forecast::ForecastOptions;
use crate::forecast::InstanceForecast;
use crate::forecast::SlotForecast;
use crate::queue::LANE_COUNT;
use crate::queue::LaneEntry;
use crate::queue::LaneKind;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::settings::ModuleSwitches;
use crate::shares::FairClock;
use ragwort_types::AccessMode;
use smallvec::SmallVec;
use std::time::Duration;

/// Number of entries of a lane that are examined before the plan moves on to the next lane.
///
/// The request at the head of a lane may have to wait for a replica to catch up, or for another
/// write on its key, while requests behind it can start.
const LOOK_AHEAD: usize = 16;

/// Maximum number of consecutive statements of open transactions on one instance while requests
/// outside of transactions wait.
const MAX_PINNED_RUN: u32 = 3;

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
    /// The virtual times that decide which customer is served next.
    pub(crate) fair_clock: &'a FairClock,
    /// The time that opening a connection takes.
    pub(crate) connect_time: Duration,
    /// The mean time for which a transaction holds a connection.
    pub(crate) pin_hold: Duration,
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

/// A request that can go next, with the keys by which candidates are compared.
#[derive(Clone, Copy)]
struct PlanCandidate {
    entry: LaneEntry,
    virtual_time: u64,
    action: PlanAction,
}

/// The requests and slots that one selection pass over the queue considers.
#[derive(Clone, Copy)]
pub(crate) struct ChoicePass {
    /// The simulated time of the pass.
    pub(crate) at: ClockTime,
    /// Whether the pass selects urgent requests, or ordinary ones.
    pub(crate) urgent: bool,
    /// Whether to skip instances that have served `MAX_URGENT_RUN` urgent requests in a row.
    pub(crate) bounded: bool,
    /// Whether reads that replicas could serve may use the primary's slots.
    pub(crate) spill: bool,
    /// Whether the pass selects requests that can no longer meet their target.
    pub(crate) target_missed: bool,
    /// Whether a slot is available to reads that replicas may serve.
    pub(crate) reads: bool,
    /// Whether a slot is available to requests that need the primary.
    pub(crate) writes: bool,
}

impl ChoicePass {
    fn includes_lane(&self, lane: LaneKind) -> bool {
        let open = if lane.replica {
            self.reads
        } else {
            self.writes
        };
        lane.urgent == self.urgent && lane.target_missed == self.target_missed && open
    }
}

/// The state of the simulation.
pub(crate) struct DispatchPlan<'a> {
    pub(crate) input: PlanInput<'a>,
    pub(crate) forecasts: SmallVec<[InstanceForecast; 4]>,
    pub(crate) fair_clock: FairClock,
    pub(crate) planned: Vec<bool>,
    /// The first entry of each lane that may still be unplanned, by position among the active
    /// customers.
    pub(crate) cursors: SmallVec<[[usize; LANE_COUNT]; 8]>,
    pub(crate) key_locks: SmallVec<[KeyLock; 4]>,
    pub(crate) unplanned_replica_reads: usize,
    pub(crate) unplanned_ordinary: usize,
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
                },
            )
        });
        Self {
            input,
            forecasts: forecasts.collect(),
            fair_clock: input.fair_clock.clone(),
            planned: vec![false; input.queue.capacity()],
            cursors: SmallVec::from_elem([0; LANE_COUNT], input.queue.active().len()),
            key_locks: running_key_locks(records, input.now),
            unplanned_replica_reads: input.queue.count_lanes(|lane| lane.replica),
            unplanned_ordinary: input.queue.count_lanes(|lane| !lane.urgent),
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

    fn choose(&mut self, at: ClockTime) -> Option<PlanCandidate> {
        if self
            .forecasts
            .iter()
            .all(|forecast| forecast.free_slot(at).is_none())
        {
            return None;
        }
        if let Some(candidate) = self.choose_pinned(at, MAX_PINNED_RUN) {
            return Some(candidate);
        }
        self.choose_unpinned(at, false)
            .or_else(|| self.choose_pinned(at, u32::MAX))
            .or_else(|| self.choose_unpinned(at, true))
    }

    fn choose_pinned(&self, at: ClockTime, run_limit: u32) -> Option<PlanCandidate> {
        for entry in self.input.queue.pinned() {
            if self.planned[entry.slot] {
                continue;
            }
            let request = self.input.queue.at(entry.slot);
            let records = self.input.endpoints.records();
            let instance = records
                .iter()
                .position(|record| Some(&record.state.instance) == request.pinned_to.as_ref());
            let Some(instance) = instance else {
                continue;
            };
            let forecast = &self.forecasts[instance];
            if forecast.free_slot(at).is_none() || forecast.pinned_run >= run_limit {
                continue;
            }
            if !self.length_fits(request, instance, at) || self.is_key_locked(request, at) {
                continue;
            }
            let action = self.judge_start(request, instance, at, false);
            return Some(PlanCandidate {
                entry: *entry,
                virtual_time: 0,
                action,
            });
        }
        None
    }

    /// Chooses among requests outside of transactions. Reads that a replica may serve go to
    /// replicas first.
    fn choose_unpinned(&mut self, at: ClockTime, target_missed: bool) -> Option<PlanCandidate> {
        self.choose_spilling(at, target_missed, false)
            .or_else(|| self.choose_spilling(at, target_missed, true))
    }

    /// Chooses an urgent request, up to the limit of consecutive ones, then an ordinary one, then
    /// an urgent one without that limit.
    fn choose_spilling(
        &mut self,
        at: ClockTime,
        target_missed: bool,
        spill: bool,
    ) -> Option<PlanCandidate> {
        let primary = self.has_opening(EndpointRole::Primary, at);
        let replica = self.has_opening(EndpointRole::Replica, at);
        let routing = self.input.switches.routing;
        let pass = |urgent, bounded| ChoicePass {
            at,
            urgent,
            bounded,
            spill,
            target_missed,
            reads: replica || spill || (primary && !routing),
            writes: primary,
        };
        self.choose_urgency(pass(true, true))
            .or_else(|| self.choose_urgency(pass(false, true)))
            .or_else(|| self.choose_urgency(pass(true, false)))
    }

    /// Returns whether an endpoint of this role has a slot for a request outside of a transaction.
    fn has_opening(&self, role: EndpointRole, at: ClockTime) -> bool {
        let records = self.input.endpoints.records().iter().zip(&self.forecasts);
        let mut forecasts = records.filter(|(record, _)| record.state.role == role);
        forecasts.any(|(_, forecast)| {
            let usable = role == EndpointRole::Primary
                || forecast.held(at) < forecast.usable
                || (forecast.trial && at == self.input.now);
            usable && forecast.free_slot(at).is_some() && forecast.is_connected(at)
        })
    }

    fn choose_urgency(&mut self, pass: ChoicePass) -> Option<PlanCandidate> {
        let mut best: Option<PlanCandidate> = None;
        let queue = self.input.queue;
        for (place, customer) in queue.active().iter().copied().enumerate() {
            let virtual_time = if self.input.switches.shares {
                self.fair_clock.virtual_time(customer)
            } else {
                0
            };
            if best.is_some_and(|candidate| candidate.virtual_time < virtual_time) {
                continue;
            }
            for lane in 0..LANE_COUNT {
                let kind = LaneKind::from_index(lane);
                if !pass.includes_lane(kind) || (pass.spill && !self.may_spill(kind)) {
                    continue;
                }
                let entries = queue.customers()[customer].lane(lane);
                if entries.is_empty() {
                    continue;
                }
                let cursor = &mut self.cursors[place][lane];
                while *cursor < entries.len() && self.planned[entries[*cursor].slot] {
                    *cursor += 1;
                }
                let entries = &entries[*cursor..];
                let Some(candidate) = self.choose_in_lane(entries, virtual_time, pass) else {
                    continue;
                };
                if best.is_none_or(|other| goes_before(&candidate, &other)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Chooses among the entries of one lane, the first of which isn't planned yet.
    fn choose_in_lane(
        &self,
        entries: &[LaneEntry],
        virtual_time: u64,
        pass: ChoicePass,
    ) -> Option<PlanCandidate> {
        let waiting = entries.iter().filter(|entry| !self.planned[entry.slot]);
        for entry in waiting.take(LOOK_AHEAD) {
            let request = self.input.queue.at(entry.slot);
            if self.cannot_meet_deadline(request, pass.at) {
                return Some(PlanCandidate {
                    entry: *entry,
                    virtual_time,
                    action: PlanAction::CannotMeetDeadline,
                });
            }
            if self.cannot_meet_target(request, pass.at) {
                return Some(PlanCandidate {
                    entry: *entry,
                    virtual_time,
                    action: PlanAction::CannotMeetTarget,
                });
            }
            if let Some(action) = self.place(request, pass) {
                return Some(PlanCandidate {
                    entry: *entry,
                    virtual_time,
                    action,
                });
            }
        }
        None
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
        if !request.lane.urgent && request.pinned_to.is_none() {
            self.unplanned_ordinary = self.unplanned_ordinary.saturating_sub(1);
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
        self.fair_clock.charge(request.customer, start.expected);
        if let Some(key) = write_key(request) {
            self.lock_key(start.at, KeyLock { key, until });
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

fn goes_before(candidate: &PlanCandidate, other: &PlanCandidate) -> bool {
    (candidate.virtual_time, candidate.entry) < (other.virtual_time, other.entry)
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
