//! Forecast of each endpoint's slots and connections, on which a plan is simulated.

use crate::ClockTime;
use crate::EndpointRole;
use crate::ExcessRule;
use crate::account_forecast::AccountForecast;
use crate::connections::pin_limit;
use crate::endpoints::EndpointRecord;
use crate::endpoints::MIN_REMAINING_RUN;
use crate::endpoints::RunningRequest;
use crate::health::HealthLevel;
use crate::long_jobs::may_start_long;
use smallvec::SmallVec;
use std::time::Duration;

/// The forecast of one slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotForecast {
    /// When the slot is expected to become free.
    pub(crate) free_at: ClockTime,
    /// Whether a long job holds the slot until then.
    pub(crate) long: bool,
}

/// Settings that affect a forecast.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastOptions {
    /// Whether slow endpoints get less work.
    pub(crate) health: bool,
    /// What endpoints do with statements beyond their slots.
    pub(crate) excess: ExcessRule,
    /// The mean run time over all kinds.
    pub(crate) mean_run: Duration,
}

/// The forecast of one endpoint's slots and connections.
#[derive(Clone, Debug)]
pub(crate) struct InstanceForecast {
    /// The slots.
    pub(crate) slots: SmallVec<[SlotForecast; 4]>,
    /// Open connections that no transaction holds.
    pub(crate) unpinned: u32,
    /// The expected end of each run on one of these connections.
    uses: SmallVec<[ClockTime; 4]>,
    /// The number of further transactions that may take a connection now.
    pub(crate) pins_left: u32,
    /// When the connections of each account are expected to be idle; `None` where connections
    /// aren't bound to accounts.
    pub(crate) accounts: Option<AccountForecast>,
    /// When further connections are expected to be open.
    pub(crate) connected_at: ClockTime,
    /// When a transaction is expected to be able to take a connection, if none can now.
    pub(crate) pin_at: ClockTime,
    /// The number of slots that may be used for work that other instances could serve.
    pub(crate) usable: u32,
    /// Whether a trial of this endpoint may start.
    pub(crate) trial: bool,
    /// Consecutive statements of open transactions that were served while other requests waited.
    pub(crate) pinned_run: u32,
    /// Consecutive urgent requests that were served while ordinary ones waited.
    pub(crate) urgent_run: u32,
    /// The expected run time on this endpoint, in percent of that on its peers.
    pub(crate) slowdown_percent: u64,
    /// The time by which expected retries delay the end of a request.
    pub(crate) retry_delay: Duration,
    /// Until when statements that were rejected occupy slots for work that other instances could
    /// serve.
    occupied: Vec<ClockTime>,
}

impl InstanceForecast {
    /// Creates the forecast of an endpoint from its present state.
    pub(crate) fn from_record(
        record: &EndpointRecord,
        now: ClockTime,
        connect_time: Duration,
        pin_hold: Duration,
        switches: ForecastOptions,
    ) -> Self {
        let ForecastOptions {
            health,
            excess,
            mean_run,
        } = switches;
        let slots = usize::try_from(record.state.slots).unwrap_or(0);
        let pinned = u32::try_from(record.pins.len()).unwrap_or(u32::MAX);
        let mut forecast = Self {
            slots: SmallVec::new(),
            unpinned: record.usable_connections().saturating_sub(pinned),
            uses: SmallVec::new(),
            pins_left: pin_limit(record.state.connections, record.state.slots)
                .saturating_sub(pinned),
            accounts: AccountForecast::from_record(record, now),
            connected_at: now + connect_time,
            pin_at: next_pin(record, now, pin_hold),
            usable: record.state.slots,
            trial: false,
            pinned_run: 0,
            urgent_run: record.urgent_run,
            slowdown_percent: 100,
            retry_delay: Duration::ZERO,
            occupied: Vec::new(),
        };
        if health {
            let usable = record.faults.usable_slots(record.state.slots);
            let usable = usable.min(record.restarts.usable_slots(now, record.state.slots));
            forecast.usable = record.health.usable_slots(record.state.slots).min(usable);
            forecast.trial = record.is_trial_due(now);
            forecast.retry_delay = record.retry_delay(mean_run);
            forecast.occupied = record.faults.occupied_after(now);
            forecast.slowdown_percent = (record.health.slowdown() * 100.0) as u64;
        }
        if record.state.role == EndpointRole::Unusable {
            return forecast;
        }
        for running in &record.running {
            let slot = SlotForecast {
                free_at: next_send_at(record, running, now, excess),
                long: running.long,
            };
            forecast.add_run(slot, slots);
            if !running.pinned {
                forecast.uses.push(running.expected_end(now));
            }
        }
        if record.running.len() >= slots * 2 {
            forecast.hold_all_slots(now);
        }
        while forecast.slots.len() < slots {
            forecast.slots.push(SlotForecast {
                free_at: now,
                long: false,
            });
        }
        forecast
    }

    /// Returns the index of a slot that is free at a moment.
    pub(crate) fn free_slot(&self, at: ClockTime) -> Option<usize> {
        self.slots.iter().position(|slot| slot.free_at <= at)
    }

    /// Returns the number of slots that are held at a moment.
    pub(crate) fn held(&self, at: ClockTime) -> u32 {
        let held = self.slots.iter().filter(|slot| slot.free_at > at).count();
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Returns whether a slot may be used at a moment for work that other instances could serve.
    pub(crate) fn takes_shared(&self, at: ClockTime) -> bool {
        if self.occupied.is_empty() {
            return self.held(at) < self.usable;
        }
        let occupied = self.occupied.iter().filter(|until| **until > at).count();
        let occupied = u32::try_from(occupied).unwrap_or(u32::MAX);
        self.held(at).saturating_add(occupied) < self.usable
    }

    /// Returns whether a connection is idle at a moment.
    pub(crate) fn is_connected(&self, at: ClockTime) -> bool {
        let used = self.uses.iter().filter(|end| **end > at).count();
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        self.unpinned > used || at >= self.connected_at
    }

    /// Returns whether a transaction may take a connection at a moment.
    pub(crate) fn takes_pin(&self, at: ClockTime) -> bool {
        self.pins_left > 0 || at >= self.pin_at
    }

    /// Returns the number of long jobs that run at a moment.
    pub(crate) fn long_running(&self, at: ClockTime) -> u32 {
        let long = self
            .slots
            .iter()
            .filter(|slot| slot.long && slot.free_at > at);
        u32::try_from(long.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a long job may start at a moment.
    pub(crate) fn takes_long(&self, at: ClockTime, elsewhere_free: bool) -> bool {
        let slots = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        may_start_long(slots, self.long_running(at), elsewhere_free)
    }

    /// Adds a running request. One that was sent ahead extends the slot that becomes free first.
    fn add_run(&mut self, run: SlotForecast, slots: usize) {
        if self.slots.len() < slots {
            self.slots.push(run);
            return;
        }
        if let Some(first) = self.slots.iter_mut().min_by_key(|slot| slot.free_at) {
            first.free_at = first.free_at.max(run.free_at);
            first.long |= run.long;
        }
    }

    /// Marks all slots as held at present, because one statement has been sent ahead for each
    /// already.
    fn hold_all_slots(&mut self, now: ClockTime) {
        for slot in &mut self.slots {
            slot.free_at = slot.free_at.max(now + MIN_REMAINING_RUN);
        }
    }

    /// Returns whether a connection must be opened for a request of this account.
    pub(crate) fn lacks_connection(&self, account: Option<u64>, at: ClockTime) -> bool {
        account.is_some_and(|account| self.own_connection_at(account).is_none_or(|idle| idle > at))
    }

    /// Returns when a connection of this account is expected to be idle, if it has one.
    pub(crate) fn own_connection_at(&self, account: u64) -> Option<ClockTime> {
        self.accounts.as_ref()?.idle_at(account)
    }

    /// Takes a slot that is free at a moment.
    pub(crate) fn take(&mut self, at: ClockTime, run: SlotForecast) {
        if let Some(index) = self.free_slot(at) {
            self.slots[index] = run;
        }
    }

    /// Takes the slot that becomes free last before a later moment, so that the others can be used
    /// until then.
    pub(crate) fn take_later(&mut self, at: ClockTime, run: SlotForecast) {
        let free = self.slots.iter_mut().filter(|slot| slot.free_at <= at);
        if let Some(last) = free.max_by_key(|slot| slot.free_at) {
            *last = run;
        }
    }

    /// Takes an idle connection until a run on it ends.
    pub(crate) fn connect(&mut self, at: ClockTime, until: ClockTime) {
        match self.uses.iter_mut().find(|end| **end <= at) {
            Some(ended) => *ended = until,
            None => self.uses.push(until),
        }
    }

    /// Takes a connection for a transaction.
    pub(crate) fn pin(&mut self) {
        self.pins_left = self.pins_left.saturating_sub(1);
        self.unpinned = self.unpinned.saturating_sub(1);
    }
}

/// Returns when the next statement may be sent for the slot of a running request.
///
/// A statement that is sent ahead waits at the endpoint if the run before it takes longer. Nothing
/// is therefore sent ahead for the slot of a long job, or of a run that has exceeded its estimate.
fn next_send_at(
    record: &EndpointRecord,
    running: &RunningRequest,
    now: ClockTime,
    excess: ExcessRule,
) -> ClockTime {
    let end = running.expected_end(now);
    if excess == ExcessRule::Forbidden || running.long || running.exceeds_estimate(now) {
        return end;
    }
    end.before(record.round_trip)
}

/// Returns when a transaction is expected to get a connection if all of them are held now.
fn next_pin(record: &EndpointRecord, now: ClockTime, pin_hold: Duration) -> ClockTime {
    let pinned = u32::try_from(record.pins.len()).unwrap_or(u32::MAX);
    let oldest = record.pins.iter().map(|pin| pin.since).min();
    let end = oldest.map_or(now, |since| since + pin_hold);
    end.max(now + pin_hold / pinned.max(1))
}

/// Returns whether an endpoint gets regular work: it accepts requests and isn't cut off.
pub(crate) fn is_in_rotation(record: &EndpointRecord) -> bool {
    record.accepts_unpinned() && record.level() != HealthLevel::Cut
}
