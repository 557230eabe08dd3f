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
//! Each customer's requests are kept in lanes. Within a lane they are ordered by least slack: by
//! the latest time at which they can start, which is the deadline less the expected run. Ordering
//! by the deadline alone would leave a long job behind all short ones until it is too late for it.
//! While both wait, three urgent requests are served for each ordinary one: urgent work never waits
//! for more than one ordinary run, and ordinary work keeps a quarter of the slots.

use crate::ClockTime;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use ragwort_types::InstanceName;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of consecutive urgent requests while ordinary ones wait.
pub(crate) const MAX_URGENT_RUN: u32 = 3;

/// The number of lanes of each customer.
pub(crate) const LANE_COUNT: usize = 16;

/// The lane of a customer in which a request waits.
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
}

impl LaneKind {
    /// Returns the lane with an index below [`LANE_COUNT`].
    pub(crate) fn from_index(index: usize) -> Self {
        Self {
            target_missed: index & 8 != 0,
            urgent: index & 4 != 0,
            long: index & 2 != 0,
            replica: index & 1 != 0,
        }
    }

    /// Returns the index of the lane.
    pub(crate) fn index(self) -> usize {
        let sort =
            usize::from(self.urgent) << 2 | usize::from(self.long) << 1 | usize::from(self.replica);
        usize::from(self.target_missed) << 3 | sort
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// The request as described by the leaseholder.
    pub(crate) profile: RequestProfile,
    /// The index of the customer.
    pub(crate) customer: usize,
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
    /// The instances that rejected or failed it and that it stays away from.
    pub(crate) rejected_by: Vec<InstanceName>,
}

impl WaitingRequest {
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

/// The lanes of one customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerQueue {
    lanes: [Vec<LaneEntry>; LANE_COUNT],
    /// The number of entries in all lanes.
    waiting: usize,
}

impl CustomerQueue {
    /// Returns one lane in order.
    pub(crate) fn lane(&self, index: usize) -> &[LaneEntry] {
        &self.lanes[index]
    }

    /// Returns the number of waiting requests of one urgency.
    pub(crate) fn count(&self, urgent: bool) -> usize {
        let lanes = self.lanes.iter().enumerate();
        lanes
            .filter(|(index, _)| LaneKind::from_index(*index).urgent == urgent)
            .map(|(_, lane)| lane.len())
            .sum()
    }

    /// Returns the entry of one urgency that would be served after all others.
    pub(crate) fn last(&self, urgent: bool) -> Option<LaneEntry> {
        let lanes = self.lanes.iter().enumerate();
        let lanes = lanes.map(|(index, lane)| (LaneKind::from_index(index), lane));
        lanes
            .filter(|(kind, _)| kind.urgent == urgent)
            .filter_map(|(kind, lane)| Some((kind.target_missed, *lane.last()?)))
            .max()
            .map(|(_, entry)| entry)
    }

    fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}

/// The waiting requests of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    slab: Vec<Option<WaitingRequest>>,
    free: Vec<usize>,
    by_ticket: HashMap<RequestTicket, usize>,
    customers: Vec<CustomerQueue>,
    /// The customers with waiting requests outside of transactions. A plan examines only these:
    /// with 350 customers of which three had requests, examining all of them took most of a VM's
    /// processor.
    active: Vec<usize>,
    /// The number of waiting requests in each lane, over all customers.
    lane_counts: [usize; LANE_COUNT],
    pinned: SmallVec<[LaneEntry; 4]>,
}

impl WaitingQueue {
    /// Makes room for customers with indices below `count`.
    pub(crate) fn reserve_customers(&mut self, count: usize) {
        if self.customers.len() < count {
            self.customers.resize_with(count, CustomerQueue::default);
        }
    }

    /// Returns the queues of all customers, by index.
    pub(crate) fn customers(&self) -> &[CustomerQueue] {
        &self.customers
    }

    /// Returns the customers with waiting requests outside of transactions, in no particular order.
    pub(crate) fn active(&self) -> &[usize] {
        &self.active
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

    /// Returns the number of waiting requests outside of transactions in the lanes that `counts`
    /// accepts.
    pub(crate) fn count_lanes(&self, counts: impl Fn(LaneKind) -> bool) -> usize {
        let lanes = (0..LANE_COUNT).filter(|lane| counts(LaneKind::from_index(*lane)));
        lanes.map(|lane| self.lane_counts[lane]).sum()
    }

    /// Returns whether a customer has no waiting request outside of a transaction.
    pub(crate) fn is_idle(&self, customer: usize) -> bool {
        self.customers[customer].is_empty()
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
        self.lane_counts[request.lane.index()] += 1;
        let customer = &mut self.customers[request.customer];
        customer.waiting += 1;
        if customer.waiting == 1 {
            self.active.push(request.customer);
        }
    }

    fn count_removal(&mut self, request: &WaitingRequest) {
        if matches!(request.profile.step, RequestStep::Within(_)) {
            return;
        }
        self.lane_counts[request.lane.index()] -= 1;
        let customer = &mut self.customers[request.customer];
        customer.waiting -= 1;
        if customer.waiting == 0 {
            self.active.retain(|active| *active != request.customer);
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
                LaneRef::Unpinned(&mut self.customers[request.customer].lanes[request.lane.index()])
            }
        }
    }
}

/// A mutable lane.
enum LaneRef<'a> {
    /// Requests of a customer outside of transactions.
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
            }
            Self::Pinned(lane) => {
                lane.remove(place);
            }
        }
    }
}
