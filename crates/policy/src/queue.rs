//! The queue of waiting requests: urgent first, then the least slack.
//!
//! # The load it answers
//!
//! More requests wait than slots are free, and they differ in urgency, in deadline and in length.
//!
//! # Without it
//!
//! First come, first served: an urgent request waits behind every ordinary one, and a request with
//! 50 ms left waits behind one with two seconds left.
//!
//! # Grounds for its figures
//!
//! Requests are ordered by the latest moment at which they may start, which is the deadline less
//! the expected run. The deadline alone would leave a long job behind all short ones until it is
//! too late for it. Three urgent requests go for each ordinary one while both wait: urgent work
//! never waits for more than one ordinary run, and ordinary work keeps a quarter of the slots.

use crate::ClockTime;
use crate::RequestProfile;
use crate::RequestStep;
use crate::RequestTicket;
use ragwort_types::InstanceName;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

/// Urgent requests that may go in a row while ordinary ones wait.
pub(crate) const URGENT_RUN: u32 = 3;

/// The number of lanes that a customer's waiting requests are kept in.
pub(crate) const LANES: usize = 16;

/// Which of a customer's lanes a request waits in.
///
/// Requests of one lane may use the same instances, but for session positions and ages, so that
/// the head of a lane usually stands for all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LaneKind {
    /// Whether its requests can't meet their target any more, and go after all that still can.
    pub(crate) overdue: bool,
    /// Whether its requests go first.
    pub(crate) urgent: bool,
    /// Whether its requests count as long.
    pub(crate) long: bool,
    /// Whether a replica may serve its requests, now or very soon.
    pub(crate) replica: bool,
}

impl LaneKind {
    /// Returns the lane with an index below [`LANES`].
    pub(crate) fn from_index(index: usize) -> Self {
        Self {
            overdue: index & 8 != 0,
            urgent: index & 4 != 0,
            long: index & 2 != 0,
            replica: index & 1 != 0,
        }
    }

    /// Returns the index of the lane.
    pub(crate) fn index(self) -> usize {
        let sort =
            usize::from(self.urgent) << 2 | usize::from(self.long) << 1 | usize::from(self.replica);
        usize::from(self.overdue) << 3 | sort
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// What the leaseholder said of it.
    pub(crate) profile: RequestProfile,
    /// The index of its customer.
    pub(crate) customer: usize,
    /// The index of its kind's estimate.
    pub(crate) kind: usize,
    /// Its lane.
    pub(crate) lane: LaneKind,
    /// Its place in the lane: the latest useful start, later for hot callers.
    pub(crate) order: ClockTime,
    /// When it arrived.
    pub(crate) arrived: ClockTime,
    /// Since when it waits as it does now: since its arrival, or since it became overdue.
    pub(crate) ranked: ClockTime,
    /// The instance on which its transaction holds a connection.
    pub(crate) pinned_to: Option<InstanceName>,
    /// By how much it was ordered later because its session or key is hot.
    pub(crate) delay: Duration,
    /// How long it was to wait when it was first planned; none before that.
    pub(crate) planned_wait: Option<Duration>,
    /// How often it was dispatched before.
    pub(crate) attempts: u32,
}

impl WaitingRequest {
    /// Returns the moment that decides about its place: its target while it can meet it, then its
    /// deadline.
    pub(crate) fn due(&self) -> ClockTime {
        let target = self.profile.target.filter(|_| !self.lane.overdue);
        target.map_or(self.profile.deadline, |target| {
            target.min(self.profile.deadline)
        })
    }
}

/// A request's place in its lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LaneEntry {
    /// The order within the lane.
    pub(crate) order: ClockTime,
    /// Settles ties.
    pub(crate) ticket: RequestTicket,
    /// Where the request is stored.
    pub(crate) slot: usize,
}

/// One customer's lanes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerQueue {
    lanes: [Vec<LaneEntry>; LANES],
    /// How many entries all lanes have.
    waiting: usize,
}

impl CustomerQueue {
    /// Returns one lane, in order.
    pub(crate) fn lane(&self, index: usize) -> &[LaneEntry] {
        &self.lanes[index]
    }

    /// Returns how many of the customer's requests of one urgency wait.
    pub(crate) fn count(&self, urgent: bool) -> usize {
        let lanes = self.lanes.iter().enumerate();
        lanes
            .filter(|(index, _)| LaneKind::from_index(*index).urgent == urgent)
            .map(|(_, lane)| lane.len())
            .sum()
    }

    /// Returns the last entry of one urgency, which would be served after all others.
    pub(crate) fn last(&self, urgent: bool) -> Option<LaneEntry> {
        let lanes = self.lanes.iter().enumerate();
        let lanes = lanes.map(|(index, lane)| (LaneKind::from_index(index), lane));
        lanes
            .filter(|(kind, _)| kind.urgent == urgent)
            .filter_map(|(kind, lane)| Some((kind.overdue, *lane.last()?)))
            .max()
            .map(|(_, entry)| entry)
    }

    fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}

/// All waiting requests of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    slab: Vec<Option<WaitingRequest>>,
    free: Vec<usize>,
    by_ticket: HashMap<RequestTicket, usize>,
    customers: Vec<CustomerQueue>,
    /// The customers of which something waits. A plan looks at these alone: with 350 customers, of
    /// which three had requests, looking at all took most of a VM's processor.
    active: Vec<usize>,
    /// How many requests wait in each lane, over all customers.
    lane_counts: [usize; LANES],
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

    /// Returns the customers of which something waits that no transaction ties, in no order.
    pub(crate) fn active(&self) -> &[usize] {
        &self.active
    }

    /// Returns the statements of open transactions, in order.
    pub(crate) fn pinned(&self) -> &[LaneEntry] {
        &self.pinned
    }

    /// Returns the size of the store, an upper bound of every slot.
    pub(crate) fn capacity(&self) -> usize {
        self.slab.len()
    }

    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Says whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty()
    }

    /// Returns how many requests that no transaction ties wait in lanes of some sort.
    pub(crate) fn count_lanes(&self, counts: impl Fn(LaneKind) -> bool) -> usize {
        let lanes = (0..LANES).filter(|lane| counts(LaneKind::from_index(*lane)));
        lanes.map(|lane| self.lane_counts[lane]).sum()
    }

    /// Says whether nothing of a customer waits.
    pub(crate) fn is_idle(&self, customer: usize) -> bool {
        self.customers[customer].is_empty()
    }

    /// Says whether a request waits.
    pub(crate) fn contains(&self, ticket: RequestTicket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Returns the request stored in a slot.
    ///
    /// # Panics
    ///
    /// Panics if the slot is empty; every [`LaneEntry`] in a lane names a full one.
    pub(crate) fn at(&self, slot: usize) -> &WaitingRequest {
        match &self.slab[slot] {
            Some(request) => request,
            None => panic!("a lane entry names an empty slot"),
        }
    }

    /// Notes how long the request stored in a slot is to wait.
    pub(crate) fn note_plan(&mut self, slot: usize, wait: Duration) {
        if let Some(request) = &mut self.slab[slot] {
            request.planned_wait.get_or_insert(wait);
        }
    }

    /// Returns the waiting requests in the order of their store.
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
        self.count_in(&request);
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
            self.count_out(&request);
        }
        Some(request)
    }

    fn count_in(&mut self, request: &WaitingRequest) {
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

    fn count_out(&mut self, request: &WaitingRequest) {
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

    /// Puts a request behind all that can still meet their target.
    pub(crate) fn make_overdue(&mut self, now: ClockTime, ticket: RequestTicket, order: ClockTime) {
        if let Some(mut request) = self.remove(ticket) {
            request.lane.overdue = true;
            request.order = order;
            request.ranked = now;
            request.planned_wait = None;
            self.insert(request);
        }
    }

    fn lane_mut(&mut self, request: &WaitingRequest) -> LaneRef<'_> {
        match request.profile.step {
            RequestStep::Within(_) => LaneRef::Pinned(&mut self.pinned),
            RequestStep::Single | RequestStep::Opens => {
                LaneRef::Fresh(&mut self.customers[request.customer].lanes[request.lane.index()])
            }
        }
    }
}

/// A lane for changing.
enum LaneRef<'a> {
    /// Of a customer's requests that no transaction ties to an instance.
    Fresh(&'a mut Vec<LaneEntry>),
    /// Of the statements of open transactions.
    Pinned(&'a mut SmallVec<[LaneEntry; 4]>),
}

impl LaneRef<'_> {
    fn as_slice(&self) -> &[LaneEntry] {
        match self {
            Self::Fresh(lane) => lane,
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
            Self::Fresh(lane) => lane.insert(place, entry),
            Self::Pinned(lane) => lane.insert(place, entry),
        }
    }

    fn remove(self, place: usize) {
        match self {
            Self::Fresh(lane) => {
                lane.remove(place);
            }
            Self::Pinned(lane) => {
                lane.remove(place);
            }
        }
    }
}
