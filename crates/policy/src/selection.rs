//! Selection of the request that goes next in a plan.
//!
//! Statements of open transactions go first, up to a limit of consecutive ones. Then follow the
//! levels in their order, or urgent and ordinary requests where no waiting request has a level.
//! Within these, the sharer with the lowest virtual time goes first, then the cheapest operations
//! while slots are scarce, then the request with the least slack.

use crate::ClockTime;
use crate::EndpointRole;
use crate::plan::DispatchPlan;
use crate::plan::PlanAction;
use crate::priority::LEVEL_COUNT;
use crate::queue::LaneEntry;
use crate::queue::LaneKind;
use crate::queue::WaitingQueue;
use smallvec::SmallVec;

/// Number of entries of a lane that are examined before the plan moves on to the next lane.
///
/// The request at the head of a lane may have to wait for a replica to catch up, or for another
/// write on its key, while requests behind it can start.
const LOOK_AHEAD: usize = 16;

/// Maximum number of consecutive statements of open transactions on one instance while requests
/// outside of transactions wait.
const MAX_PINNED_RUN: u32 = 3;

/// A request that can go next.
#[derive(Clone, Copy)]
pub(crate) struct PlanCandidate {
    /// The entry of the request in its lane.
    pub(crate) entry: LaneEntry,
    /// The decision about it.
    pub(crate) action: PlanAction,
}

/// The key by which the candidates of one pass are compared; the lowest one goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    virtual_time: u64,
    /// The place of its cost class, while operations are ordered by cost.
    cost_place: u8,
    entry: LaneEntry,
}

/// The requests and slots that one selection pass over the queue considers.
#[derive(Clone, Copy)]
pub(crate) struct ChoicePass {
    /// The simulated time of the pass.
    pub(crate) at: ClockTime,
    /// The requests that the pass selects.
    pub(crate) selection: PassSelection,
    /// Whether urgent requests skip instances that have served `MAX_URGENT_RUN` of them in a row.
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
        let selected = match self.selection {
            PassSelection::Urgency(urgent) => lane.urgent == urgent,
            PassSelection::Level(level) => lane.level.index() == level,
        };
        selected && lane.target_missed == self.target_missed && open
    }
}

/// The requests that a selection pass considers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassSelection {
    /// Urgent requests, or ordinary ones.
    Urgency(bool),
    /// The requests of one level.
    Level(usize),
}

/// The part of a lane that the plan considers.
#[derive(Clone, Copy)]
pub(crate) struct PlanLane<'a> {
    sharer: usize,
    kind: LaneKind,
    entries: &'a [LaneEntry],
    /// The first entry that may still be unplanned.
    cursor: usize,
}

impl DispatchPlan<'_> {
    /// Chooses the request that goes next at a moment.
    pub(crate) fn choose(&mut self, at: ClockTime) -> Option<PlanCandidate> {
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
        if self.input.queue.has_set_levels() {
            return self
                .choose_by_level(at)
                .or_else(|| self.choose_pinned(at, u32::MAX));
        }
        self.choose_by_urgency(at, false)
            .or_else(|| self.choose_pinned(at, u32::MAX))
            .or_else(|| self.choose_by_urgency(at, true))
    }

    /// Chooses a request of a level that is below its minimum share, otherwise one of the first
    /// level that has one. Within a level, requests that can meet their target go first.
    fn choose_by_level(&mut self, at: ClockTime) -> Option<PlanCandidate> {
        let waiting = |plan: &Self, level: usize| plan.unplanned_levels[level] > 0;
        for level in 1..LEVEL_COUNT {
            if waiting(self, level)
                && self.level_shares.is_below(level)
                && let Some(candidate) = self.choose_level(at, level, true)
            {
                return Some(candidate);
            }
        }
        for bounded in [true, false] {
            for level in 0..LEVEL_COUNT {
                if waiting(self, level)
                    && let Some(candidate) = self.choose_level(at, level, bounded)
                {
                    return Some(candidate);
                }
            }
        }
        None
    }

    fn choose_level(
        &mut self,
        at: ClockTime,
        level: usize,
        bounded: bool,
    ) -> Option<PlanCandidate> {
        let selection = PassSelection::Level(level);
        for target_missed in [false, true] {
            for spill in [false, true] {
                let pass = self.open_pass(at, target_missed, spill);
                let chosen = self.choose_in_pass(ChoicePass {
                    selection,
                    bounded,
                    ..pass
                });
                if chosen.is_some() {
                    return chosen;
                }
            }
        }
        None
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
                action,
            });
        }
        None
    }

    /// Chooses among requests outside of transactions. Reads that a replica may serve go to
    /// replicas first.
    fn choose_by_urgency(&mut self, at: ClockTime, target_missed: bool) -> Option<PlanCandidate> {
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
        let open = self.open_pass(at, target_missed, spill);
        let pass = |urgent, bounded| ChoicePass {
            selection: PassSelection::Urgency(urgent),
            bounded,
            ..open
        };
        self.choose_in_pass(pass(true, true))
            .or_else(|| self.choose_in_pass(pass(false, true)))
            .or_else(|| self.choose_in_pass(pass(true, false)))
    }

    /// Creates a pass over the lanes for which a slot is available at a moment.
    fn open_pass(&self, at: ClockTime, target_missed: bool, spill: bool) -> ChoicePass {
        let primary = self.has_opening(EndpointRole::Primary, at);
        let replica = self.has_opening(EndpointRole::Replica, at);
        let routing = self.input.switches.routing;
        ChoicePass {
            at,
            selection: PassSelection::Urgency(false),
            bounded: true,
            spill,
            target_missed,
            reads: replica || spill || (primary && !routing),
            writes: primary,
        }
    }

    /// Returns whether an endpoint of this role has a slot for a request outside of a transaction.
    fn has_opening(&self, role: EndpointRole, at: ClockTime) -> bool {
        let records = self.input.endpoints.records().iter().zip(&self.forecasts);
        let mut forecasts = records.filter(|(record, _)| record.state.role == role);
        forecasts.any(|(_, forecast)| {
            let usable = role == EndpointRole::Primary
                || forecast.takes_shared(at)
                || (forecast.trial && at == self.input.now);
            usable && forecast.free_slot(at).is_some() && forecast.is_connected(at)
        })
    }

    fn choose_in_pass(&mut self, pass: ChoicePass) -> Option<PlanCandidate> {
        let mut best: Option<(CandidateRank, PlanCandidate)> = None;
        for index in 0..self.lanes.len() {
            let PlanLane {
                sharer,
                kind,
                entries,
                cursor,
            } = self.lanes[index];
            if !pass.includes_lane(kind) || (pass.spill && !self.may_spill(kind)) {
                continue;
            }
            let planned = entries[cursor..].iter();
            let cursor = cursor + planned.take_while(|entry| self.planned[entry.slot]).count();
            self.lanes[index].cursor = cursor;
            let Some(first) = entries.get(cursor) else {
                continue;
            };
            let rank = self.rank(sharer, kind, *first);
            // No entry of the lane ranks before its first one.
            if best.is_some_and(|(other, _)| other < rank) {
                continue;
            }
            let Some(candidate) = self.choose_in_lane(&entries[cursor..], pass) else {
                continue;
            };
            let rank = CandidateRank {
                entry: candidate.entry,
                ..rank
            };
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    fn rank(&self, sharer: usize, kind: LaneKind, entry: LaneEntry) -> CandidateRank {
        let shares = self.input.switches.shares;
        let costs = self.cost_shares.as_ref();
        CandidateRank {
            virtual_time: match shares {
                true => self.fair_clock.virtual_time(sharer),
                false => 0,
            },
            cost_place: costs.map_or(0, |costs| {
                costs.place(sharer, kind.level.index(), kind.cost)
            }),
            entry,
        }
    }

    /// Chooses among the entries of one lane, the first of which isn't planned yet.
    fn choose_in_lane(&self, entries: &[LaneEntry], pass: ChoicePass) -> Option<PlanCandidate> {
        let waiting = entries.iter().filter(|entry| !self.planned[entry.slot]);
        for entry in waiting.take(LOOK_AHEAD) {
            let request = self.input.queue.at(entry.slot);
            let action = if self.cannot_meet_deadline(request, pass.at) {
                Some(PlanAction::CannotMeetDeadline)
            } else if self.cannot_meet_target(request, pass.at) {
                Some(PlanAction::CannotMeetTarget)
            } else {
                self.place(request, pass)
            };
            if let Some(action) = action {
                return Some(PlanCandidate {
                    entry: *entry,
                    action,
                });
            }
        }
        None
    }
}

/// Returns the lanes with waiting requests.
pub(crate) fn waiting_lanes(queue: &WaitingQueue) -> SmallVec<[PlanLane<'_>; 16]> {
    let sharers = queue.active().iter();
    let lanes = sharers.flat_map(|sharer| {
        let lanes = queue.sharer(*sharer).lanes().iter();
        let lanes = lanes.filter(|lane| !lane.entries.is_empty());
        lanes.map(|lane| PlanLane {
            sharer: *sharer,
            kind: lane.kind,
            entries: &lane.entries,
            cursor: 0,
        })
    });
    lanes.collect()
}
