//! State of a group's endpoints: slots, connections, positions and running requests.

use crate::ClockTime;
use crate::EndpointRole;
use crate::EndpointState;
use crate::RequestTicket;
use crate::account_connections::digest_instance;
use crate::connections::RecentPeak;
use crate::health::EndpointHealth;
use crate::health::STALL_FACTOR;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::time::Duration;

/// The assumed minimum remaining time of a run, so that a held slot never looks free.
pub(crate) const MIN_REMAINING_RUN: Duration = Duration::from_micros(100);

/// A request that was sent to an endpoint and hasn't ended.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    /// The ticket of the request.
    pub(crate) ticket: RequestTicket,
    /// The time of the dispatch.
    pub(crate) started: ClockTime,
    /// The time for which it was expected to hold the slot.
    pub(crate) expected: Duration,
    /// The number of requests that must end before it gets a slot, if it was sent ahead.
    pub(crate) predecessors: u32,
    /// When it got a slot, if it was sent ahead.
    pub(crate) slot_since: ClockTime,
    /// Whether it counts as long.
    pub(crate) long: bool,
    /// The key on which it writes, hashed with its customer's index.
    pub(crate) write_key: Option<u64>,
    /// Whether it runs on a connection that a transaction holds.
    pub(crate) pinned: bool,
    /// The account that its connection belongs to.
    pub(crate) account: Option<u64>,
}

impl RunningRequest {
    /// Returns how long it has run at the endpoint, without the round trip and the wait for a slot.
    pub(crate) fn run_until(&self, now: ClockTime, round_trip: Duration) -> Duration {
        let whole = now.since(self.started).saturating_sub(round_trip);
        whole.min(now.since(self.slot_since))
    }

    /// Returns whether it has lasted longer than expected.
    pub(crate) fn exceeds_estimate(&self, now: ClockTime) -> bool {
        now.since(self.started) > self.expected
    }

    /// Returns when the slot is expected to become free.
    ///
    /// A run that has exceeded its estimate is expected to go on for as long as it has exceeded it.
    pub(crate) fn expected_end(&self, now: ClockTime) -> ClockTime {
        let elapsed = now.since(self.started);
        let rest = match self.expected.checked_sub(elapsed) {
            Some(rest) => rest,
            None => (elapsed - self.expected).max(self.expected / 4),
        };
        now + rest.max(MIN_REMAINING_RUN)
    }
}

/// A connection that a transaction holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionPin {
    /// The request that opened the transaction.
    pub(crate) opener: RequestTicket,
    /// The index of the customer.
    pub(crate) customer: usize,
    /// When the transaction took the connection.
    pub(crate) since: ClockTime,
}

/// An endpoint and the scheduler's state of it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    /// The state reported by the leaseholder.
    pub(crate) state: EndpointState,
    /// The digest of the instance's name.
    pub(crate) instance_digest: u64,
    /// The network round trip time.
    pub(crate) round_trip: Duration,
    /// The log position that the instance has applied.
    pub(crate) position: LogPosition,
    /// The upper bound of its data's age at `reported`.
    pub(crate) age_bound: Option<Duration>,
    /// When position and age were reported.
    pub(crate) reported: ClockTime,
    /// The requests sent to it that haven't ended.
    pub(crate) running: SmallVec<[RunningRequest; 4]>,
    /// The number of open connections.
    pub(crate) open: u32,
    /// The number of open connections under validation, which take no requests.
    pub(crate) validating: u32,
    /// The number of connections being opened.
    pub(crate) opening: u32,
    /// The digests of the accounts that have an idle connection; `None` where connections aren't
    /// bound to accounts.
    pub(crate) idle_accounts: Option<SmallVec<[u64; 8]>>,
    /// The transactions that hold a connection.
    pub(crate) pins: SmallVec<[ConnectionPin; 4]>,
    /// The recent maximum of concurrent statements outside of transactions.
    pub(crate) single_peak: RecentPeak,
    /// The recent maximum of transactions that held a connection at the same time.
    pub(crate) pin_peak: RecentPeak,
    /// Consecutive urgent requests that were served while ordinary ones waited.
    pub(crate) urgent_run: u32,
    /// The endpoint's speed compared with its peers.
    pub(crate) health: EndpointHealth,
    /// No connection is opened before this time, after one failed to open.
    pub(crate) connect_after: ClockTime,
    /// Whether the endpoint was removed while requests were running on it.
    ///
    /// If it were dropped at once and came back, its slots would be taken for free while the old
    /// requests still run there.
    pub(crate) removed: bool,
}

impl EndpointRecord {
    fn new(state: EndpointState, round_trip: Duration) -> Self {
        Self {
            instance_digest: digest_instance(&state.instance),
            state,
            round_trip,
            position: LogPosition::default(),
            age_bound: None,
            reported: ClockTime::default(),
            running: SmallVec::new(),
            open: 0,
            validating: 0,
            opening: 0,
            idle_accounts: None,
            pins: SmallVec::new(),
            single_peak: RecentPeak::default(),
            pin_peak: RecentPeak::default(),
            urgent_run: 0,
            health: EndpointHealth::default(),
            connect_after: ClockTime::default(),
            removed: false,
        }
    }

    /// Returns whether a connection must be opened for a request of this account.
    pub(crate) fn lacks_connection(&self, account: Option<u64>) -> bool {
        let idle = self.idle_accounts.as_ref();
        account.is_some_and(|account| !idle.is_some_and(|idle| idle.contains(&account)))
    }

    /// Removes an idle connection of an account, because a request takes it.
    pub(crate) fn take_idle_connection(&mut self, account: Option<u64>) {
        let (Some(idle), Some(account)) = (self.idle_accounts.as_mut(), account) else {
            return;
        };
        if let Some(place) = idle.iter().position(|other| *other == account) {
            idle.swap_remove(place);
        }
    }

    /// Returns whether each connection is bound to one account.
    pub(crate) fn has_account_connections(&self) -> bool {
        self.idle_accounts.is_some()
    }

    /// Returns the number of connections that are neither pinned, nor in use, nor under validation.
    pub(crate) fn idle_connections(&self) -> u32 {
        let busy = self.single_statements() + self.pinned();
        self.usable_connections().saturating_sub(busy)
    }

    /// Returns the number of running statements outside of transactions.
    pub(crate) fn single_statements(&self) -> u32 {
        let unpinned = self.running.iter().filter(|running| !running.pinned);
        u32::try_from(unpinned.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of transactions that hold a connection.
    pub(crate) fn pinned(&self) -> u32 {
        u32::try_from(self.pins.len()).unwrap_or(u32::MAX)
    }

    /// Records how many connections are in use now.
    pub(crate) fn note_use(&mut self, now: ClockTime) {
        let (single_statements, pinned) = (self.single_statements(), self.pinned());
        self.single_peak.note(now, single_statements);
        self.pin_peak.note(now, pinned);
    }

    /// Returns the number of open connections that aren't under validation.
    pub(crate) fn usable_connections(&self) -> u32 {
        self.open.saturating_sub(self.validating)
    }

    /// Returns the number of free slots.
    pub(crate) fn free_slots(&self) -> u32 {
        let busy = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.state.slots.saturating_sub(busy)
    }

    /// Removes a request that has ended; its slot passes to the next request that was sent ahead.
    pub(crate) fn end_run(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
    ) -> Option<RunningRequest> {
        let mut running = self.running.iter();
        let place = running.position(|running| running.ticket == ticket)?;
        let ended = self.running.remove(place);
        for running in &mut self.running {
            if running.predecessors > 0 {
                running.predecessors -= 1;
                running.slot_since = now;
            }
        }
        Some(ended)
    }

    /// Returns whether the endpoint accepts requests outside of transactions.
    pub(crate) fn accepts_unpinned(&self) -> bool {
        !self.state.leaving && self.state.role != EndpointRole::Unusable
    }

    /// Returns the upper bound of its data's age, if one is known.
    pub(crate) fn age(&self, now: ClockTime) -> Option<Duration> {
        self.age_bound.map(|bound| bound + now.since(self.reported))
    }

    /// Returns when the oldest running request started, if all slots have been held for too long.
    pub(crate) fn stalled_since(&self, now: ClockTime) -> Option<ClockTime> {
        self.stall_ratio(now)
            .filter(|ratio| *ratio >= STALL_FACTOR)?;
        self.running.iter().map(|running| running.started).min()
    }

    /// Returns the lowest ratio of elapsed to expected run time over all slots, if all are held and
    /// none by a long job.
    pub(crate) fn stall_ratio(&self, now: ClockTime) -> Option<f64> {
        if self.free_slots() > 0 || self.running.iter().any(|running| running.long) {
            return None;
        }
        let in_slots = self
            .running
            .iter()
            .filter(|running| running.predecessors == 0);
        let ratios = in_slots.map(|running| {
            let expected = running.expected.as_secs_f64().max(1e-6);
            now.since(running.started).as_secs_f64() / expected
        });
        ratios.min_by(f64::total_cmp)
    }
}

/// The endpoints of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    records: Vec<EndpointRecord>,
}

impl EndpointTable {
    /// Returns all endpoints, ordered by name.
    pub(crate) fn records(&self) -> &[EndpointRecord] {
        &self.records
    }

    /// Returns all endpoints, mutably.
    pub(crate) fn records_mut(&mut self) -> &mut [EndpointRecord] {
        &mut self.records
    }

    /// Adds an endpoint or replaces its state.
    pub(crate) fn set(&mut self, state: EndpointState, round_trip: Duration) {
        match self.position_of(&state.instance) {
            Ok(index) => {
                self.records[index].state = state;
                self.records[index].round_trip = round_trip;
                self.records[index].removed = false;
            }
            Err(index) => self
                .records
                .insert(index, EndpointRecord::new(state, round_trip)),
        }
    }

    /// Removes an endpoint, at once or as soon as nothing runs on it.
    pub(crate) fn remove(&mut self, instance: &InstanceName) {
        if let Some(record) = self.get_mut(instance) {
            record.state.role = EndpointRole::Unusable;
            record.removed = true;
            // The instance may have lost data when it comes back, so its old position could let a
            // read miss its session's write.
            record.position = LogPosition::default();
            record.age_bound = None;
            record.pins.clear();
            record.open = 0;
            record.validating = 0;
            record.opening = 0;
        }
        self.forget_removed();
    }

    /// Drops removed endpoints on which nothing runs any more.
    pub(crate) fn forget_removed(&mut self) {
        self.records
            .retain(|record| !record.removed || !record.running.is_empty());
    }

    /// Returns the index of an endpoint.
    pub(crate) fn index_of(&self, instance: &InstanceName) -> Option<usize> {
        self.position_of(instance).ok()
    }

    /// Returns an endpoint.
    pub(crate) fn get(&self, instance: &InstanceName) -> Option<&EndpointRecord> {
        self.position_of(instance)
            .ok()
            .map(|index| &self.records[index])
    }

    /// Returns an endpoint, mutably.
    pub(crate) fn get_mut(&mut self, instance: &InstanceName) -> Option<&mut EndpointRecord> {
        match self.position_of(instance) {
            Ok(index) => Some(&mut self.records[index]),
            Err(_) => None,
        }
    }

    /// Returns the index of the endpoint on which a transaction holds a connection.
    pub(crate) fn index_of_pin(&self, opener: RequestTicket) -> Option<usize> {
        self.records
            .iter()
            .position(|record| record.pins.iter().any(|pin| pin.opener == opener))
    }

    /// Returns whether an endpoint accepts requests as primary.
    pub(crate) fn has_primary(&self) -> bool {
        self.records
            .iter()
            .any(|record| record.state.role == EndpointRole::Primary && record.accepts_unpinned())
    }

    fn position_of(&self, instance: &InstanceName) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.state.instance.cmp(instance))
    }
}
