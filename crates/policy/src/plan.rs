//! The plan: in which order the waiting requests start, on which instance, and when.
//!
//! One walk over the queue serves three modules. Its picks for the present moment are dispatched;
//! its picks for later moments tell which requests will miss their deadlines; and it looks ahead
//! to the expected end of each slot. Because the same code picks now and later, a refusal rests on
//! exactly the order in which requests are served.

use crate::ClockTime;
use crate::EndpointRole;
use crate::ExcessRule;
use crate::RequestStep;
use crate::board::BoardSwitches;
use crate::board::InstanceBoard;
use crate::board::SlotBoard;
use crate::customers::CustomerTable;
use crate::endpoints::EndpointRecord;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::queue::LANES;
use crate::queue::LaneEntry;
use crate::queue::LaneKind;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::settings::ModuleSwitches;
use crate::shares::ShareLedger;
use ragwort_types::AccessMode;
use smallvec::SmallVec;
use std::time::Duration;

/// Entries of a lane that are looked at before the lane is passed over.
///
/// The head of a lane may have to wait for a replica to catch up, or for another write on its key,
/// while those behind it need not.
const LOOK_AHEAD: usize = 16;

/// Statements of open transactions that may go in a row on one instance while fresh work waits.
const PINNED_RUN: u32 = 3;

/// What a plan is made from.
#[derive(Clone, Copy)]
pub(crate) struct PlanInput<'a> {
    /// The present moment.
    pub(crate) now: ClockTime,
    /// What waits.
    pub(crate) queue: &'a WaitingQueue,
    /// Where it may go.
    pub(crate) endpoints: &'a EndpointTable,
    /// How long it will run.
    pub(crate) estimates: &'a EstimateTable,
    /// How far their customers' waits are stretched.
    pub(crate) customers: &'a CustomerTable,
    /// Who goes next.
    pub(crate) ledger: &'a ShareLedger,
    /// How long opening a connection takes.
    pub(crate) connect_time: Duration,
    /// How long transactions hold a connection.
    pub(crate) pin_hold: Duration,
    /// What endpoints do with statements beyond their slots.
    pub(crate) excess: ExcessRule,
    /// Which modules are at work.
    pub(crate) switches: ModuleSwitches,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanStep {
    /// The request's place in the queue's store.
    pub(crate) slot: usize,
    /// What becomes of it.
    pub(crate) action: PlanAction,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PlanAction {
    /// It starts on the instance with this index, and is expected to hold its slot this long.
    Start(PlannedStart),
    /// It can't end before its target any more, and goes behind those that can.
    Overdue,
    /// It can't end before its deadline any more.
    Hopeless,
}

/// A planned start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStart {
    /// The index of the instance.
    pub(crate) instance: usize,
    /// When it starts.
    pub(crate) at: ClockTime,
    /// How long it is expected to hold its slot.
    pub(crate) expected: Duration,
    /// Whether it tries an endpoint that was cut off.
    pub(crate) trial: bool,
}

/// A request that could go next.
#[derive(Clone, Copy)]
struct PlanCandidate {
    entry: LaneEntry,
    account: u64,
    action: PlanAction,
}

/// What is looked for in one pass over the queue.
#[derive(Clone, Copy)]
pub(crate) struct ChoicePass {
    /// The moment for which the pass is made.
    pub(crate) at: ClockTime,
    /// Whether urgent requests are looked for, or ordinary ones.
    pub(crate) urgent: bool,
    /// Whether instances that served many urgent requests in a row are left to ordinary ones.
    pub(crate) bounded: bool,
    /// Whether reads may take the primary's slots although replicas could serve them.
    pub(crate) spill: bool,
    /// Whether requests are looked for that can't meet their target any more.
    pub(crate) overdue: bool,
    /// Whether a slot is open to reads that replicas may serve.
    pub(crate) reads: bool,
    /// Whether a slot is open to requests that need the primary.
    pub(crate) writes: bool,
}

impl ChoicePass {
    fn looks_at(&self, lane: LaneKind) -> bool {
        let open = if lane.replica {
            self.reads
        } else {
            self.writes
        };
        lane.urgent == self.urgent && lane.overdue == self.overdue && open
    }
}

/// A walk over the queue in the order of service.
pub(crate) struct DispatchPlan<'a> {
    pub(crate) input: PlanInput<'a>,
    pub(crate) boards: SmallVec<[InstanceBoard; 4]>,
    pub(crate) ledger: ShareLedger,
    pub(crate) taken: Vec<bool>,
    /// The first entry of each lane that isn't known to be taken, by place among the active customers.
    pub(crate) cursors: SmallVec<[[usize; LANES]; 8]>,
    pub(crate) write_keys: SmallVec<[WriteHold; 4]>,
    pub(crate) replica_reads: usize,
    pub(crate) ordinary_left: usize,
}

/// A write that runs and excludes others on its key.
#[derive(Clone, Copy)]
pub(crate) struct WriteHold {
    pub(crate) key: u64,
    pub(crate) until: ClockTime,
}

impl<'a> DispatchPlan<'a> {
    /// Starts a plan from the present state.
    pub(crate) fn new(input: PlanInput<'a>) -> Self {
        let records = input.endpoints.records();
        let boards = records.iter().map(|record| {
            InstanceBoard::from_record(
                record,
                input.now,
                input.connect_time,
                input.pin_hold,
                BoardSwitches {
                    health: input.switches.health,
                    excess: input.excess,
                },
            )
        });
        Self {
            input,
            boards: boards.collect(),
            ledger: input.ledger.clone(),
            taken: vec![false; input.queue.capacity()],
            cursors: SmallVec::from_elem([0; LANES], input.queue.active().len()),
            write_keys: running_keys(records, input.now),
            replica_reads: input.queue.count_lanes(|lane| lane.replica),
            ordinary_left: input.queue.count_lanes(|lane| !lane.urgent),
        }
    }

    /// Walks the plan at the present moment only and returns its steps.
    pub(crate) fn walk_present(mut self) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        self.walk_moment(self.input.now, &mut steps);
        steps
    }

    /// Walks the plan until every request that can be placed is placed.
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

    /// Returns the next moment after `at` at which something can change.
    fn next_moment(&self, at: ClockTime) -> Option<ClockTime> {
        let slots = self.boards.iter().flat_map(|board| &board.slots);
        let frees = slots.map(|slot| slot.free_at);
        let connects = self
            .boards
            .iter()
            .filter(|board| !board.slots.is_empty())
            .flat_map(|board| [board.connected_at, board.pin_at]);
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
            .boards
            .iter()
            .all(|board| board.free_slot(at).is_none())
        {
            return None;
        }
        if let Some(candidate) = self.choose_pinned(at, PINNED_RUN) {
            return Some(candidate);
        }
        self.choose_fresh(at, false)
            .or_else(|| self.choose_pinned(at, u32::MAX))
            .or_else(|| self.choose_fresh(at, true))
    }

    fn choose_pinned(&self, at: ClockTime, run_limit: u32) -> Option<PlanCandidate> {
        for entry in self.input.queue.pinned() {
            if self.taken[entry.slot] {
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
            let board = &self.boards[instance];
            if board.free_slot(at).is_none() || board.pinned_run >= run_limit {
                continue;
            }
            if !self.length_fits(request, instance, at) || self.is_key_held(request, at) {
                continue;
            }
            let action = self.judge_start(request, instance, at, false);
            return Some(PlanCandidate {
                entry: *entry,
                account: 0,
                action,
            });
        }
        None
    }

    /// Chooses among requests that no transaction ties, on replicas first where these may serve.
    fn choose_fresh(&mut self, at: ClockTime, overdue: bool) -> Option<PlanCandidate> {
        self.choose_spilling(at, overdue, false)
            .or_else(|| self.choose_spilling(at, overdue, true))
    }

    /// Chooses urgent requests first, within bounds.
    fn choose_spilling(
        &mut self,
        at: ClockTime,
        overdue: bool,
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
            overdue,
            reads: replica || spill || (primary && !routing),
            writes: primary,
        };
        self.choose_urgency(pass(true, true))
            .or_else(|| self.choose_urgency(pass(false, true)))
            .or_else(|| self.choose_urgency(pass(true, false)))
    }

    /// Says whether an endpoint of this role has a slot for fresh work.
    fn has_opening(&self, role: EndpointRole, at: ClockTime) -> bool {
        let records = self.input.endpoints.records().iter().zip(&self.boards);
        let mut boards = records.filter(|(record, _)| record.state.role == role);
        boards.any(|(_, board)| {
            let usable = role == EndpointRole::Primary
                || board.held(at) < board.usable
                || (board.trial && at == self.input.now);
            usable && board.free_slot(at).is_some() && board.is_connected(at)
        })
    }

    fn choose_urgency(&mut self, pass: ChoicePass) -> Option<PlanCandidate> {
        let mut best: Option<PlanCandidate> = None;
        let queue = self.input.queue;
        for (place, customer) in queue.active().iter().copied().enumerate() {
            let account = if self.input.switches.shares {
                self.ledger.account(customer)
            } else {
                0
            };
            if best.is_some_and(|candidate| candidate.account < account) {
                continue;
            }
            for lane in 0..LANES {
                let kind = LaneKind::from_index(lane);
                if !pass.looks_at(kind) || (pass.spill && !self.may_spill(kind)) {
                    continue;
                }
                let entries = queue.customers()[customer].lane(lane);
                if entries.is_empty() {
                    continue;
                }
                let cursor = &mut self.cursors[place][lane];
                while *cursor < entries.len() && self.taken[entries[*cursor].slot] {
                    *cursor += 1;
                }
                let entries = &entries[*cursor..];
                let Some(candidate) = self.choose_in_lane(entries, account, pass) else {
                    continue;
                };
                if best.is_none_or(|other| goes_before(&candidate, &other)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// Chooses among the entries of one lane, of which the first one isn't taken yet.
    fn choose_in_lane(
        &self,
        entries: &[LaneEntry],
        account: u64,
        pass: ChoicePass,
    ) -> Option<PlanCandidate> {
        let waiting = entries.iter().filter(|entry| !self.taken[entry.slot]);
        for entry in waiting.take(LOOK_AHEAD) {
            let request = self.input.queue.at(entry.slot);
            if self.is_hopeless(request, pass.at) {
                return Some(PlanCandidate {
                    entry: *entry,
                    account,
                    action: PlanAction::Hopeless,
                });
            }
            if self.is_overdue(request, pass.at) {
                return Some(PlanCandidate {
                    entry: *entry,
                    account,
                    action: PlanAction::Overdue,
                });
            }
            if let Some(action) = self.place(request, pass) {
                return Some(PlanCandidate {
                    entry: *entry,
                    account,
                    action,
                });
            }
        }
        None
    }

    /// Returns when the next statement may be sent for the slot that a request takes.
    fn open_after(&self, request: &WaitingRequest, start: PlannedStart) -> ClockTime {
        let end = start.at + start.expected;
        if self.input.excess == ExcessRule::Forbidden || request.lane.long {
            return end;
        }
        let record = &self.input.endpoints.records()[start.instance];
        end.before(record.round_trip)
    }

    /// Notes that a write runs on a key, in place of one that has ended.
    fn hold_key(&mut self, at: ClockTime, hold: WriteHold) {
        match self.write_keys.iter_mut().find(|other| other.until <= at) {
            Some(ended) => *ended = hold,
            None => self.write_keys.push(hold),
        }
    }

    fn apply(&mut self, candidate: PlanCandidate, at: ClockTime) {
        let request = self.input.queue.at(candidate.entry.slot);
        self.taken[candidate.entry.slot] = true;
        if request.lane.replica {
            self.replica_reads = self.replica_reads.saturating_sub(1);
        }
        if !request.lane.urgent && request.pinned_to.is_none() {
            self.ordinary_left = self.ordinary_left.saturating_sub(1);
        }
        let PlanAction::Start(start) = candidate.action else {
            return;
        };
        let until = self.open_after(request, start);
        let pinned = request.pinned_to.is_some();
        let board = &mut self.boards[start.instance];
        let opens = request.profile.step == RequestStep::Opens;
        let run = SlotBoard {
            free_at: until,
            long: request.lane.long,
        };
        board.take(at, run);
        if !pinned && !opens {
            board.connect(at, at + start.expected);
        }
        board.pinned_run = if pinned { board.pinned_run + 1 } else { 0 };
        if start.trial {
            board.trial = false;
        }
        if opens {
            board.pin();
        }
        if !pinned {
            let ordinary_waits = self.ordinary_left > 0;
            let board = &mut self.boards[start.instance];
            board.urgent_run = next_urgent_run(board.urgent_run, request.lane, ordinary_waits);
        }
        self.ledger.charge(request.customer, start.expected);
        if let Some(key) = write_key(request) {
            self.hold_key(at, WriteHold { key, until });
        }
    }
}

/// Returns the number of urgent requests that went in a row while ordinary ones waited.
pub(crate) fn next_urgent_run(run: u32, lane: LaneKind, ordinary_waits: bool) -> u32 {
    if lane.urgent && ordinary_waits {
        return run.saturating_add(1);
    }
    0
}

/// Returns the key on which a request writes, made distinct between customers.
pub(crate) fn write_key(request: &WaitingRequest) -> Option<u64> {
    if request.profile.access != AccessMode::Write {
        return None;
    }
    let customer = u64::try_from(request.customer).unwrap_or(u64::MAX);
    let key = request.profile.key?;
    Some(key ^ customer.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn goes_before(candidate: &PlanCandidate, other: &PlanCandidate) -> bool {
    (candidate.account, candidate.entry) < (other.account, other.entry)
}

fn running_keys(records: &[EndpointRecord], now: ClockTime) -> SmallVec<[WriteHold; 4]> {
    let running = records.iter().flat_map(|record| &record.running);
    let holds = running.filter_map(|running| {
        Some(WriteHold {
            key: running.write_key?,
            until: running.expected_end(now),
        })
    });
    holds.collect()
}
