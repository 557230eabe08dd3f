//! Queue of the waiting requests of one group, ordered by urgency and then by least slack.
//!
//! # Problem
//!
//! More requests wait than slots are free, and they differ in urgency, deadline and length. Served
//! first come first served, an urgent request waits behind every ordinary one, and a request with
//! 50 ms left waits behind one with two seconds left.
//!
//! # Approach
//!
//! Each sharer's requests are kept in lanes: those of a customer, or of all contracts of a share
//! group. Within a lane they are ordered by least slack: by the latest time at which they can
//! start, which is the deadline less the expected run. Ordering by the deadline alone would leave a
//! long job behind all short ones until it is too late for it.
//! While both wait, three urgent requests are served for each ordinary one: urgent work never waits
//! for more than one ordinary run, and ordinary work keeps a quarter of the slots.

use crate::ClockTime;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use crate::operation_cost::CostClass;
use crate::priority::LEVEL_COUNT;
use crate::priority::ServiceLevel;
use ragwort_types::InstanceName;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of consecutive urgent requests while ordinary ones wait.
pub(crate) const MAX_URGENT_RUN: u32 = 3;

/// The number of lanes of one level and cost class.
pub(crate) const LANE_SHAPES: usize = 16;

/// The number of entries for which an empty lane keeps memory. A sharer may have some hundred lanes
/// that are full at different times.
const IDLE_LANE_CAPACITY: usize = 64;

/// The lane of a sharer in which a request waits.
///
/// Requests of one lane can use the same instances, apart from session positions and data ages, so
/// the head of a lane is usually representative of the whole lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LaneKind {
    /// Whether its requests can no longer meet their target, and are served after those that can.
    pub(crate) target_missed: bool,
    /// Whether its requests are urgent.
    pub(crate) urgent: bool,
    /// Whether its requests count as long.
    pub(crate) long: bool,
    /// Whether a replica can serve its requests, now or within a few milliseconds.
    pub(crate) replica: bool,
    /// The level with which its requests are served.
    pub(crate) level: ServiceLevel,
    /// The cost class of its operations; zero outside of share groups.
    pub(crate) cost: CostClass,
}

impl LaneKind {
    /// Returns the lane of the first level and cost class with an index below [`LANE_SHAPES`].
    pub(crate) fn from_shape(shape: usize) -> Self {
        Self {
            target_missed: shape & 8 != 0,
            urgent: shape & 4 != 0,
            long: shape & 2 != 0,
            replica: shape & 1 != 0,
            level: ServiceLevel::default(),
            cost: CostClass::default(),
        }
    }

    /// Returns the index of the lane among those of its level and cost class.
    pub(crate) fn shape(self) -> usize {
        usize::from(self.target_missed) << 3
            | usize::from(self.urgent) << 2
            | usize::from(self.long) << 1
            | usize::from(self.replica)
    }

    /// Returns a key that differs between all lanes of a sharer, and that grows with the cost.
    fn key(self) -> (CostClass, ServiceLevel, usize) {
        (self.cost, self.level, self.shape())
    }
}

/// How long a request stays away from an instance that rejected or failed it: a few short runs, in
/// which another instance usually has a slot for it.
const AVOIDANCE_TIME: Duration = Duration::from_millis(50);

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// The request as described by the leaseholder.
    pub(crate) profile: RequestProfile,
    /// The index of the customer.
    pub(crate) customer: usize,
    /// The index of the sharer whose slot time it uses.
    pub(crate) sharer: usize,
    /// The index of the estimate of its kind.
    pub(crate) kind: usize,
    /// The lane in which it waits.
    pub(crate) lane: LaneKind,
    /// The sort key within the lane: the latest useful start, plus the delay imposed by caller
    /// pacing.
    pub(crate) order: ClockTime,
    /// The time of arrival.
    pub(crate) arrived: ClockTime,
    /// When the request got its present lane: at its arrival, or when it could no longer meet its
    /// target.
    pub(crate) ranked_at: ClockTime,
    /// The instance on which its transaction holds a connection.
    pub(crate) pinned_to: Option<InstanceName>,
    /// The delay imposed because its session or key exceeded its even share.
    pub(crate) delay: Duration,
    /// The wait that the first plan foresaw; `None` until the request has been planned.
    pub(crate) planned_wait: Option<Duration>,
    /// The number of previous dispatches.
    pub(crate) attempts: u32,
    /// The number of those that an endpoint rejected.
    pub(crate) rejections: u32,
    /// The instances that rejected or failed it.
    pub(crate) rejected_by: Vec<InstanceName>,
    /// Whether it is served late from leftover slot time rather than refused, as long as it can
    /// meet its deadline.
    pub(crate) late_service: bool,
}

impl WaitingRequest {
    /// Returns the instances that the request stays away from at a moment.
    ///
    /// It comes back to them after [`AVOIDANCE_TIME`]: the others may have no slot for it.
    pub(crate) fn avoided(&self, now: ClockTime) -> &[InstanceName] {
        match now.since(self.arrived) < AVOIDANCE_TIME {
            true => &self.rejected_by,
            false => &[],
        }
    }

    /// Returns the time by which the request should end: its target while it can be met, otherwise
    /// its deadline.
    pub(crate) fn due(&self) -> ClockTime {
        let target = self.profile.target.filter(|_| !self.lane.target_missed);
        target.map_or(self.profile.deadline, |target| {
            target.min(self.profile.deadline)
        })
    }
}

/// The position of a request in its lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LaneEntry {
    /// The sort key.
    pub(crate) order: ClockTime,
    /// Breaks ties.
    pub(crate) ticket: RequestTicket,
    /// The index of the request in the slab.
    pub(crate) slot: usize,
}

/// A lane with its requests in order.
#[derive(Clone, Debug)]
pub(crate) struct WaitingLane {
    /// The properties of its requests.
    pub(crate) kind: LaneKind,
    /// The requests.
    pub(crate) entries: Vec<LaneEntry>,
}

/// The lanes of one sharer, the cheapest operations first.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharerQueue {
    lanes: Vec<WaitingLane>,
    /// The number of entries in all lanes.
    waiting: usize,
}

impl SharerQueue {
    /// Returns the lanes that have had a request, the cheapest operations first.
    pub(crate) fn lanes(&self) -> &[WaitingLane] {
        &self.lanes
    }

    /// Returns whether a request of a level and cost class waits.
    pub(crate) fn has_waiting(&self, level: usize, cost: CostClass) -> bool {
        let mut lanes = self.lanes.iter().filter(|lane| !lane.entries.is_empty());
        lanes.any(|lane| lane.kind.level.index() == level && lane.kind.cost == cost)
    }

    fn lane_mut(&mut self, kind: LaneKind) -> &mut Vec<LaneEntry> {
        let place = self
            .lanes
            .binary_search_by_key(&kind.key(), |lane| lane.kind.key());
        let place = place.unwrap_or_else(|place| {
            let entries = Vec::new();
            self.lanes.insert(place, WaitingLane { kind, entries });
            place
        });
        &mut self.lanes[place].entries
    }
}

/// The waiting requests of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    slab: Vec<Option<WaitingRequest>>,
    free: Vec<usize>,
    by_ticket: HashMap<RequestTicket, usize>,
    sharers: Vec<SharerQueue>,
    /// The sharers with waiting requests outside of transactions. A plan examines only these:
    /// with 350 customers of which three had requests, examining all of them took most of a VM's
    /// processor.
    active: Vec<usize>,
    /// The number of waiting ordinary and urgent requests of each customer outside of transactions.
    customer_counts: Vec<[usize; 2]>,
    /// The number of waiting ordinary and urgent requests outside of transactions.
    urgency_counts: [usize; 2],
    /// The number of waiting requests outside of transactions that replicas may serve.
    replica_count: usize,
    /// The number of waiting requests outside of transactions of each level.
    level_counts: [usize; LEVEL_COUNT],
    /// The number of those whose contract sets the level.
    set_level_count: usize,
    pinned: SmallVec<[LaneEntry; 4]>,
}

impl WaitingQueue {
    /// Makes room for customers and sharers with indices below these counts.
    pub(crate) fn reserve(&mut self, customers: usize, sharers: usize) {
        if self.customer_counts.len() < customers {
            self.customer_counts.resize(customers, [0; 2]);
        }
        if self.sharers.len() < sharers {
            self.sharers.resize_with(sharers, SharerQueue::default);
        }
    }

    /// Returns the queue of a sharer.
    pub(crate) fn sharer(&self, sharer: usize) -> &SharerQueue {
        &self.sharers[sharer]
    }

    /// Returns the lanes of all sharers with waiting requests.
    pub(crate) fn lanes(&self) -> impl Iterator<Item = &WaitingLane> {
        let sharers = self.active.iter();
        sharers.flat_map(|sharer| &self.sharers[*sharer].lanes)
    }

    /// Returns the sharers with waiting requests outside of transactions, in no particular order.
    pub(crate) fn active(&self) -> &[usize] {
        &self.active
    }

    /// Returns the number of a customer's waiting requests of one urgency outside of transactions.
    pub(crate) fn count(&self, customer: usize, urgent: bool) -> usize {
        self.customer_counts[customer][usize::from(urgent)]
    }

    /// Returns the request of a customer that would be served after all its others of one urgency,
    /// by the order that `rank` gives to lanes.
    pub(crate) fn last<R: Ord>(
        &self,
        customer: usize,
        sharer: usize,
        urgent: bool,
        rank: impl Fn(LaneKind) -> R,
    ) -> Option<&WaitingRequest> {
        let lanes = self.sharers[sharer].lanes.iter();
        let lanes = lanes.filter(|lane| lane.kind.urgent == urgent);
        let ends = lanes.filter_map(|lane| {
            let mut entries = lane.entries.iter().rev();
            let last = entries.find(|entry| self.at(entry.slot).customer == customer)?;
            Some((rank(lane.kind), *last))
        });
        let (_, last) = ends.max()?;
        Some(self.at(last.slot))
    }

    /// Returns the waiting statements of open transactions, in order.
    pub(crate) fn pinned(&self) -> &[LaneEntry] {
        &self.pinned
    }

    /// Returns the length of the slab, an upper bound of all indices into it.
    pub(crate) fn capacity(&self) -> usize {
        self.slab.len()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty()
    }

    /// Returns the number of waiting requests of one urgency outside of transactions.
    pub(crate) fn count_urgency(&self, urgent: bool) -> usize {
        self.urgency_counts[usize::from(urgent)]
    }

    /// Returns the number of waiting requests outside of transactions that replicas may serve.
    pub(crate) fn count_replica_reads(&self) -> usize {
        self.replica_count
    }

    /// Returns the number of waiting requests outside of transactions of each level.
    pub(crate) fn level_counts(&self) -> [usize; LEVEL_COUNT] {
        self.level_counts
    }

    /// Returns whether a request outside of a transaction waits whose contract sets its level.
    pub(crate) fn has_set_levels(&self) -> bool {
        self.set_level_count > 0
    }

    /// Returns whether a sharer has no waiting request outside of a transaction.
    pub(crate) fn is_idle(&self, sharer: usize) -> bool {
        self.sharers[sharer].waiting == 0
    }

    /// Returns whether a request waits.
    pub(crate) fn contains(&self, ticket: RequestTicket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Returns the request stored at an index of the slab.
    ///
    /// # Panics
    ///
    /// Panics if the slab holds no request at `slot`; every [`LaneEntry`] in a lane names an
    /// occupied one.
    pub(crate) fn at(&self, slot: usize) -> &WaitingRequest {
        match &self.slab[slot] {
            Some(request) => request,
            None => panic!("a lane entry names an empty slot"),
        }
    }

    /// Records the planned wait of the request at an index of the slab, unless one is recorded
    /// already.
    pub(crate) fn record_planned_wait(&mut self, slot: usize, wait: Duration) {
        if let Some(request) = &mut self.slab[slot] {
            request.planned_wait.get_or_insert(wait);
        }
    }

    /// Returns the waiting requests in the order of the slab.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.slab.iter().flatten()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, request: WaitingRequest) {
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.slab.push(None);
                self.slab.len() - 1
            }
        };
        let entry = LaneEntry {
            order: request.order,
            ticket: request.profile.ticket,
            slot,
        };
        self.by_ticket.insert(request.profile.ticket, slot);
        let lane = self.lane_mut(&request);
        let place = lane.partition_point(|other| *other < entry);
        lane.insert(place, entry);
        self.count_insertion(&request);
        self.slab[slot] = Some(request);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, ticket: RequestTicket) -> Option<WaitingRequest> {
        let slot = self.by_ticket.remove(&ticket)?;
        let request = self.slab[slot].take()?;
        self.free.push(slot);
        let entry = LaneEntry {
            order: request.order,
            ticket,
            slot,
        };
        let lane = self.lane_mut(&request);
        if let Ok(place) = lane.binary_search(&entry) {
            lane.remove(place);
            self.count_removal(&request);
        }
        Some(request)
    }

    fn count_insertion(&mut self, request: &WaitingRequest) {
        if matches!(request.profile.step, RequestStep::Within(_)) {
            return;
        }
        let lane = request.lane;
        let urgency = usize::from(lane.urgent);
        self.customer_counts[request.customer][urgency] += 1;
        self.urgency_counts[urgency] += 1;
        self.replica_count += usize::from(lane.replica);
        self.level_counts[lane.level.index()] += 1;
        self.set_level_count += usize::from(lane.level.set);
        let sharer = &mut self.sharers[request.sharer];
        sharer.waiting += 1;
        if sharer.waiting == 1 {
            self.active.push(request.sharer);
        }
    }

    fn count_removal(&mut self, request: &WaitingRequest) {
        if matches!(request.profile.step, RequestStep::Within(_)) {
            return;
        }
        let lane = request.lane;
        let urgency = usize::from(lane.urgent);
        self.customer_counts[request.customer][urgency] -= 1;
        self.urgency_counts[urgency] -= 1;
        self.replica_count -= usize::from(lane.replica);
        self.level_counts[lane.level.index()] -= 1;
        self.set_level_count -= usize::from(lane.level.set);
        let sharer = &mut self.sharers[request.sharer];
        sharer.waiting -= 1;
        if sharer.waiting == 0 {
            self.active.retain(|active| *active != request.sharer);
        }
    }

    /// Moves a request to another lane.
    pub(crate) fn change_lane(&mut self, ticket: RequestTicket, lane: LaneKind) {
        if let Some(mut request) = self.remove(ticket) {
            request.lane = lane;
            self.insert(request);
        }
    }

    /// Moves a request behind all that can still meet their target.
    pub(crate) fn demote(&mut self, now: ClockTime, ticket: RequestTicket, order: ClockTime) {
        if let Some(mut request) = self.remove(ticket) {
            request.lane.target_missed = true;
            request.order = order;
            request.ranked_at = now;
            request.planned_wait = None;
            self.insert(request);
        }
    }

    fn lane_mut(&mut self, request: &WaitingRequest) -> LaneRef<'_> {
        match request.profile.step {
            RequestStep::Within(_) => LaneRef::Pinned(&mut self.pinned),
            RequestStep::Single | RequestStep::Opens => {
                LaneRef::Unpinned(self.sharers[request.sharer].lane_mut(request.lane))
            }
        }
    }
}

/// A mutable lane.
enum LaneRef<'a> {
    /// Requests of a sharer outside of transactions.
    Unpinned(&'a mut Vec<LaneEntry>),
    /// Statements of open transactions.
    Pinned(&'a mut SmallVec<[LaneEntry; 4]>),
}

impl LaneRef<'_> {
    fn as_slice(&self) -> &[LaneEntry] {
        match self {
            Self::Unpinned(lane) => lane,
            Self::Pinned(lane) => lane,
        }
    }

    fn partition_point(&self, goes_before: impl Fn(&LaneEntry) -> bool) -> usize {
        self.as_slice().partition_point(goes_before)
    }

    fn binary_search(&self, entry: &LaneEntry) -> Result<usize, usize> {
        self.as_slice().binary_search(entry)
    }

    fn insert(self, place: usize, entry: LaneEntry) {
        match self {
            Self::Unpinned(lane) => lane.insert(place, entry),
            Self::Pinned(lane) => lane.insert(place, entry),
        }
    }

    fn remove(self, place: usize) {
        match self {
            Self::Unpinned(lane) => {
                lane.remove(place);
                if lane.is_empty() {
                    lane.shrink_to(IDLE_LANE_CAPACITY);
                }
            }
            Self::Pinned(lane) => {
                lane.remove(place);
            }
        }
    }
}
