//! State of a group's endpoints: slots, connections, positions and running requests.

use crate::ClockTime;
use crate::EndpointRole;
use crate::EndpointState;
use crate::HealthLevel;
use crate::RequestTicket;
use crate::account_connections::digest_instance;
use crate::connections::RecentPeak;
use crate::health::EndpointHealth;
use crate::health::STALL_FACTOR;
use crate::operation_cost::CostClass;
use crate::redispatch::retry_pause;
use crate::rejection_rate::EndpointFaults;
use crate::restart_ramp::DepartedEndpoints;
use crate::restart_ramp::RestartRamp;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use smallvec::SmallVec;
use std::time::Duration;

/// The assumed minimum remaining time of a run, so that a held slot never looks free.
pub(crate) const MIN_REMAINING_RUN: Duration = Duration::from_micros(100);

/// The minimum interval between two reports of an endpoint's changed level.
const LEVEL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

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
    /// The index of the estimate of the kind that opened it.
    pub(crate) kind: usize,
    /// The slot time that its statements after the first have used.
    pub(crate) further_slot_time: Duration,
    /// The cost class in which it was opened.
    pub(crate) cost: CostClass,
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
    /// The statements that the endpoint rejected or failed.
    pub(crate) faults: EndpointFaults,
    /// The endpoint's recent outages.
    pub(crate) restarts: RestartRamp,
    /// The level that was last reported as changed, and when.
    pub(crate) reported_level: (HealthLevel, Option<ClockTime>),
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
            faults: EndpointFaults::default(),
            restarts: RestartRamp::default(),
            reported_level: (HealthLevel::Full, None),
            connect_after: ClockTime::default(),
            removed: false,
        }
    }

    /// Adds the slot time of a statement after the first to its transaction.
    pub(crate) fn charge_transaction(&mut self, opener: RequestTicket, run: Duration) {
        let mut pins = self.pins.iter_mut();
        if let Some(pin) = pins.find(|pin| pin.opener == opener) {
            pin.further_slot_time += run;
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

    /// Returns how much work it gets that other endpoints could do.
    pub(crate) fn level(&self) -> HealthLevel {
        let ramp = match self.restarts.is_active() {
            true => HealthLevel::Half,
            false => HealthLevel::Full,
        };
        self.health.level().max(self.faults.level()).max(ramp)
    }

    /// Returns whether its level has changed since it was last reported, and records it as
    /// reported.
    ///
    /// A level that goes back and forth is reported once in [`LEVEL_REPORT_INTERVAL`].
    pub(crate) fn take_level_change(&mut self, now: ClockTime) -> bool {
        let (reported, at) = self.reported_level;
        let recent = at.is_some_and(|at| now.since(at) < LEVEL_REPORT_INTERVAL);
        let level = self.level();
        if level == reported || recent {
            return false;
        }
        self.reported_level = (level, Some(now));
        true
    }

    /// Returns whether a trial may start.
    ///
    /// An endpoint that was cut off for two reasons gets trials only when both allow one.
    pub(crate) fn is_trial_due(&self, now: ClockTime) -> bool {
        let slow = self.health.level() == HealthLevel::Cut;
        let faulty = self.faults.level() == HealthLevel::Cut;
        (slow || faulty)
            && (!slow || self.health.trial_due(now))
            && (!faulty || self.faults.trial_due(now))
    }

    /// Records that a request was sent as a trial.
    pub(crate) fn begin_trial(&mut self, now: ClockTime, ticket: RequestTicket) {
        if self.health.level() == HealthLevel::Cut {
            self.health.begin_trial(ticket);
        }
        if self.faults.level() == HealthLevel::Cut {
            self.faults.begin_trial(now, ticket);
        }
    }

    /// Returns the time by which expected retries delay the end of a request that is sent here.
    ///
    /// Only the primary's requests have to come back to it, after a pause.
    pub(crate) fn retry_delay(&self, run: Duration) -> Duration {
        let pause = match self.state.role {
            EndpointRole::Primary => retry_pause(self.faults.rejected_share(), run, run * 100),
            EndpointRole::Replica | EndpointRole::Unusable => Duration::ZERO,
        };
        self.faults.retry_delay(run, pause)
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
    departed: DepartedEndpoints,
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
    ///
    /// One that was removed before comes back after an outage.
    pub(crate) fn set(&mut self, now: ClockTime, state: EndpointState, round_trip: Duration) {
        match self.position_of(&state.instance) {
            Ok(index) => {
                let record = &mut self.records[index];
                record.state = state;
                record.round_trip = round_trip;
                if std::mem::take(&mut record.removed) {
                    record.restarts.note_outage(now);
                }
            }
            Err(index) => {
                let mut record = EndpointRecord::new(state, round_trip);
                if let Some(ramp) = self.departed.take(&record.state.instance) {
                    record.restarts = ramp;
                    record.restarts.note_outage(now);
                }
                self.records.insert(index, record);
            }
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
        let departed = &mut self.departed;
        self.records.retain(|record| {
            let keep = !record.removed || !record.running.is_empty();
            if !keep {
                departed.remember(record.state.instance.clone(), record.restarts.clone());
            }
            keep
        });
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

    /// Returns the connection that a transaction holds.
    pub(crate) fn pin(&self, opener: RequestTicket) -> Option<&ConnectionPin> {
        let mut pins = self.records.iter().flat_map(|record| &record.pins);
        pins.find(|pin| pin.opener == opener)
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
