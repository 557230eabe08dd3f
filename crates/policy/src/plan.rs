//! The plan: in which order the waiting requests start, on which instance, and when.
//!
//! One walk over the queue serves three modules. Its picks for the present moment are dispatched;
//! its picks for later moments tell which requests will miss their deadlines; and it looks ahead
//! to the expected end of each slot. Because the same code picks now and later, a refusal rests on
//! exactly the order in which requests are served.

use crate::ClockTime;
use crate::EndpointRole;
use crate::RequestStep;
use crate::admission::misses_deadline;
use crate::admission::stretch_start;
use crate::board::InstanceBoard;
use crate::board::SlotBoard;
use crate::customers::CustomerTable;
use crate::endpoints::EndpointRecord;
use crate::endpoints::EndpointTable;
use crate::estimate::EstimateTable;
use crate::queue::LANES;
use crate::queue::LaneEntry;
use crate::queue::LaneKind;
use crate::queue::URGENT_RUN;
use crate::queue::WaitingQueue;
use crate::queue::WaitingRequest;
use crate::routing::ServingFitness;
use crate::routing::judge_fitness;
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

/// A trial goes without regard to the request's slack after it was due for this long.
const TRIAL_PATIENCE: Duration = Duration::from_secs(1);

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
struct ChoicePass {
    /// The moment for which the pass is made.
    at: ClockTime,
    /// Whether urgent requests are looked for, or ordinary ones.
    urgent: bool,
    /// Whether instances that served many urgent requests in a row are left to ordinary ones.
    bounded: bool,
    /// Whether reads may take the primary's slots although replicas could serve them.
    spill: bool,
    /// Whether a slot is open to reads that replicas may serve.
    reads: bool,
    /// Whether a slot is open to requests that need the primary.
    writes: bool,
}

impl ChoicePass {
    fn looks_at(&self, lane: LaneKind) -> bool {
        let open = if lane.replica {
            self.reads
        } else {
            self.writes
        };
        lane.urgent == self.urgent && open
    }
}

/// A walk over the queue in the order of service.
pub(crate) struct DispatchPlan<'a> {
    input: PlanInput<'a>,
    boards: SmallVec<[InstanceBoard; 4]>,
    ledger: ShareLedger,
    taken: Vec<bool>,
    cursors: Vec<[usize; LANES]>,
    write_keys: SmallVec<[WriteHold; 4]>,
    replica_reads: usize,
    ordinary_left: usize,
}

/// A write that runs and excludes others on its key.
#[derive(Clone, Copy)]
struct WriteHold {
    key: u64,
    until: ClockTime,
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
                input.switches.health,
            )
        });
        Self {
            input,
            boards: boards.collect(),
            ledger: input.ledger.clone(),
            taken: vec![false; input.queue.capacity()],
            cursors: vec![[0; LANES]; input.queue.customers().len()],
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
        if let Some(candidate) = self.choose_fresh(at, false) {
            return Some(candidate);
        }
        if let Some(candidate) = self.choose_fresh(at, true) {
            return Some(candidate);
        }
        self.choose_pinned(at, u32::MAX)
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

    /// Chooses among requests that no transaction ties: urgent ones first, within bounds.
    fn choose_fresh(&mut self, at: ClockTime, spill: bool) -> Option<PlanCandidate> {
        let primary = self.has_opening(EndpointRole::Primary, at);
        let replica = self.has_opening(EndpointRole::Replica, at);
        let routing = self.input.switches.routing;
        let pass = |urgent, bounded| ChoicePass {
            at,
            urgent,
            bounded,
            spill,
            reads: replica || (primary && (spill || !routing)),
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
        for customer in 0..self.cursors.len() {
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
                let Some(candidate) = self.choose_in_lane(customer, lane, account, pass) else {
                    continue;
                };
                if best.is_none_or(|other| goes_before(&candidate, &other)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    fn choose_in_lane(
        &mut self,
        customer: usize,
        lane: usize,
        account: u64,
        pass: ChoicePass,
    ) -> Option<PlanCandidate> {
        let entries = self.input.queue.customers()[customer].lane(lane);
        let mut cursor = self.cursors[customer][lane];
        while cursor < entries.len() && self.taken[entries[cursor].slot] {
            cursor += 1;
        }
        self.cursors[customer][lane] = cursor;
        let waiting = entries[cursor..]
            .iter()
            .filter(|entry| !self.taken[entry.slot]);
        for entry in waiting.take(LOOK_AHEAD) {
            let request = self.input.queue.at(entry.slot);
            if self.is_hopeless(request, pass.at) {
                return Some(PlanCandidate {
                    entry: *entry,
                    account,
                    action: PlanAction::Hopeless,
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

    /// Finds the instance on which a request that no transaction ties would end first.
    fn place(&self, request: &WaitingRequest, pass: ChoicePass) -> Option<PlanAction> {
        let at = pass.at;
        if self.is_key_held(request, at) {
            return None;
        }
        let mut best: Option<PlannedStart> = None;
        for instance in 0..self.boards.len() {
            let Some(trial) = self.accepts(request, instance, pass) else {
                continue;
            };
            let PlanAction::Start(start) = self.judge_start(request, instance, at, trial) else {
                continue;
            };
            if trial {
                return Some(PlanAction::Start(start));
            }
            if best.is_none_or(|other| self.is_better(&start, &other, at)) {
                best = Some(start);
            }
        }
        best.map(PlanAction::Start)
    }

    /// Says whether an instance takes a request now, and if so whether as a trial.
    fn accepts(&self, request: &WaitingRequest, instance: usize, pass: ChoicePass) -> Option<bool> {
        let at = pass.at;
        let board = &self.boards[instance];
        let record = &self.input.endpoints.records()[instance];
        if board.free_slot(at).is_none() || !board.is_connected(at) {
            return None;
        }
        if !self.is_fit(record, request, at) || !self.length_fits(request, instance, at) {
            return None;
        }
        if pass.urgent && pass.bounded && board.urgent_run >= URGENT_RUN {
            return None;
        }
        let opens = request.profile.step == RequestStep::Opens;
        if opens && !board.takes_pin(at) {
            return None;
        }
        let primary = record.state.role == EndpointRole::Primary;
        if primary && !request.lane.replica {
            return Some(false);
        }
        if primary && !pass.spill && self.input.switches.routing {
            return None;
        }
        if board.held(at) < board.usable {
            return Some(false);
        }
        self.accepts_trial(request, instance, at).then_some(true)
    }

    fn accepts_trial(&self, request: &WaitingRequest, instance: usize, at: ClockTime) -> bool {
        let board = &self.boards[instance];
        if at != self.input.now || !board.trial || request.lane.urgent || request.lane.long {
            return false;
        }
        let record = &self.input.endpoints.records()[instance];
        let run = self.expected_on(request, instance);
        let slack = !misses_deadline(at, run, Duration::ZERO, request.profile.deadline);
        slack || record.health.trial_due(at.before(TRIAL_PATIENCE))
    }

    /// Says whether the instance may serve the request by position and age.
    fn is_fit(&self, record: &EndpointRecord, request: &WaitingRequest, at: ClockTime) -> bool {
        match judge_fitness(record, &request.profile, self.input.now) {
            ServingFitness::Ready => true,
            // A plan for later trusts the replica to catch up; a dispatch does not.
            ServingFitness::ReadyAt(moment) => at > self.input.now && at >= moment,
            ServingFitness::Unfit => false,
        }
    }

    /// Says whether reads of a lane may take slots of the primary while replicas could serve them.
    fn may_spill(&self, lane: LaneKind) -> bool {
        if !lane.replica || lane.long || !self.input.switches.routing {
            return false;
        }
        let records = self.input.endpoints.records();
        let replicas = records
            .iter()
            .zip(&self.boards)
            .filter(|(record, _)| record.state.role == EndpointRole::Replica);
        let slots: u32 = replicas.map(|(_, board)| board.usable).sum();
        self.replica_reads > usize::try_from(slots).unwrap_or(usize::MAX)
    }

    fn length_fits(&self, request: &WaitingRequest, instance: usize, at: ClockTime) -> bool {
        if !request.lane.long || !self.input.switches.long_jobs {
            return true;
        }
        let others = self.boards.iter().enumerate();
        let elsewhere_free = others
            .filter(|(index, board)| *index != instance && !board.slots.is_empty())
            .any(|(_, board)| board.long_running(at) == 0);
        self.boards[instance].takes_long(at, elsewhere_free)
    }

    fn is_key_held(&self, request: &WaitingRequest, at: ClockTime) -> bool {
        let Some(key) = write_key(request) else {
            return false;
        };
        self.input.switches.hot_callers
            && self
                .write_keys
                .iter()
                .any(|hold| hold.key == key && hold.until > at)
    }

    fn expected_on(&self, request: &WaitingRequest, instance: usize) -> Duration {
        let estimate = self.input.estimates.get(request.kind);
        let record = &self.input.endpoints.records()[instance];
        let slowdown = self.boards[instance].slowdown_percent;
        estimate.expected_times(slowdown) + record.round_trip
    }

    /// Says whether a request would miss its deadline on every instance that may serve it.
    fn is_hopeless(&self, request: &WaitingRequest, at: ClockTime) -> bool {
        if !self.input.switches.early_refusal {
            return request.profile.deadline <= at;
        }
        let runs = (0..self.boards.len())
            .filter(|instance| self.could_serve(request, *instance))
            .map(|instance| self.expected_on(request, instance));
        let Some(run) = runs.min() else {
            return false;
        };
        let margin = self.input.estimates.get(request.kind).deviation();
        let start = self.foresee_start(request, at);
        misses_deadline(start, run, margin, request.profile.deadline)
    }

    /// Returns when a request is to be expected to start that is planned to start at `at`.
    ///
    /// A request that was let in keeps its place as long as the plan gives it a chance. A new one
    /// needs time for the wait that experience foresees: let in on the edge of its deadline, it
    /// would be refused later, with little of its time left, when a run before it takes longer than
    /// expected or another request overtakes it.
    fn foresee_start(&self, request: &WaitingRequest, at: ClockTime) -> ClockTime {
        if request.planned_wait.is_some() {
            return at;
        }
        let now = self.input.now;
        let stretch = self.input.customers.get(request.customer).stretch(request);
        stretch_start(now, at.since(now), stretch.percent())
    }

    /// Says whether an instance is one of those that serve requests like this one.
    fn could_serve(&self, request: &WaitingRequest, instance: usize) -> bool {
        let record = &self.input.endpoints.records()[instance];
        match record.state.role {
            EndpointRole::Primary => true,
            EndpointRole::Replica => request.lane.replica && self.boards[instance].usable > 0,
            EndpointRole::Unusable => false,
        }
    }

    fn judge_start(
        &self,
        request: &WaitingRequest,
        instance: usize,
        at: ClockTime,
        trial: bool,
    ) -> PlanAction {
        let expected = self.expected_on(request, instance);
        let margin = self.input.estimates.get(request.kind).deviation();
        let late = misses_deadline(at, expected, margin, request.profile.deadline);
        if self.input.switches.early_refusal && late && !trial {
            return PlanAction::Hopeless;
        }
        PlanAction::Start(PlannedStart {
            instance,
            at,
            expected,
            trial,
        })
    }

    fn is_better(&self, start: &PlannedStart, other: &PlannedStart, at: ClockTime) -> bool {
        let held = self.boards[start.instance].held(at);
        let other_held = self.boards[other.instance].held(at);
        if !self.input.switches.routing {
            return held < other_held;
        }
        (start.expected, held) < (other.expected, other_held)
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
        let until = at + start.expected;
        let pinned = request.pinned_to.is_some();
        let board = &mut self.boards[start.instance];
        let opens = request.profile.step == RequestStep::Opens;
        let run = SlotBoard {
            free_at: until,
            long: request.lane.long,
            pinned: pinned || opens,
        };
        board.take(at, run);
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
            self.write_keys.push(WriteHold { key, until });
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
