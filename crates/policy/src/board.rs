//! The slots of all endpoints as a plan sees them: when each is expected to be free.

use crate::ClockTime;
use crate::EndpointRole;
use crate::ExcessRule;
use crate::connections::pin_limit;
use crate::endpoints::EndpointRecord;
use crate::endpoints::LEAST_REST;
use crate::endpoints::RunningRequest;
use crate::health::HealthLevel;
use crate::long_jobs::may_start_long;
use smallvec::SmallVec;
use std::time::Duration;

/// One slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotBoard {
    /// When the slot is expected to be free.
    pub(crate) free_at: ClockTime,
    /// Whether a long job holds it until then.
    pub(crate) long: bool,
}

/// What a board depends on besides the endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoardSwitches {
    /// Whether slow endpoints lose work.
    pub(crate) health: bool,
    /// Whether statements may be sent ahead.
    pub(crate) excess: ExcessRule,
}

/// One endpoint's slots and connections.
#[derive(Clone, Debug)]
pub(crate) struct InstanceBoard {
    /// The slots.
    pub(crate) slots: SmallVec<[SlotBoard; 4]>,
    /// Open connections that no transaction holds.
    pub(crate) unpinned: u32,
    /// When each run on one of these is expected to give it back.
    uses: SmallVec<[ClockTime; 4]>,
    /// How many more transactions may take a connection now.
    pub(crate) pins_left: u32,
    /// When further connections are expected to be open.
    pub(crate) connected_at: ClockTime,
    /// When a transaction may take a connection.
    pub(crate) pin_at: ClockTime,
    /// How many slots may be used for work that could go elsewhere.
    pub(crate) usable: u32,
    /// Whether a trial of this endpoint may start.
    pub(crate) trial: bool,
    /// Requests on pinned connections that went in a row while others waited.
    pub(crate) pinned_run: u32,
    /// Urgent requests that went in a row while others waited.
    pub(crate) urgent_run: u32,
    /// How long runs take here, in percent of what they take elsewhere.
    pub(crate) slowdown_percent: u64,
}

impl InstanceBoard {
    /// Reads an endpoint's present state.
    pub(crate) fn from_record(
        record: &EndpointRecord,
        now: ClockTime,
        connect_time: Duration,
        pin_hold: Duration,
        switches: BoardSwitches,
    ) -> Self {
        let BoardSwitches { health, excess } = switches;
        let slots = usize::try_from(record.state.slots).unwrap_or(0);
        let pinned = u32::try_from(record.pins.len()).unwrap_or(u32::MAX);
        let mut board = Self {
            slots: SmallVec::new(),
            unpinned: record.trusted_connections().saturating_sub(pinned),
            uses: SmallVec::new(),
            pins_left: pin_limit(record.state.connections, record.state.slots)
                .saturating_sub(pinned),
            connected_at: now + connect_time,
            pin_at: next_pin(record, now, pin_hold),
            usable: record.state.slots,
            trial: false,
            pinned_run: 0,
            urgent_run: record.urgent_run,
            slowdown_percent: 100,
        };
        if health {
            board.usable = record.health.usable_slots(record.state.slots);
            board.trial = record.health.trial_due(now);
            board.slowdown_percent = (record.health.slowdown() * 100.0) as u64;
        }
        if record.state.role == EndpointRole::Unusable {
            return board;
        }
        for running in &record.running {
            let slot = SlotBoard {
                free_at: open_again(record, running, now, excess),
                long: running.long,
            };
            board.hold(slot, slots);
            if !running.pinned {
                board.uses.push(running.expected_end(now));
            }
        }
        if record.running.len() >= slots * 2 {
            board.keep_closed(now);
        }
        while board.slots.len() < slots {
            board.slots.push(SlotBoard {
                free_at: now,
                long: false,
            });
        }
        board
    }

    /// Returns the index of a slot that is free at a moment.
    pub(crate) fn free_slot(&self, at: ClockTime) -> Option<usize> {
        self.slots.iter().position(|slot| slot.free_at <= at)
    }

    /// Returns how many slots are held at a moment.
    pub(crate) fn held(&self, at: ClockTime) -> u32 {
        let held = self.slots.iter().filter(|slot| slot.free_at > at).count();
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Says whether a connection is idle at a moment.
    pub(crate) fn is_connected(&self, at: ClockTime) -> bool {
        let used = self.uses.iter().filter(|end| **end > at).count();
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        self.unpinned > used || at >= self.connected_at
    }

    /// Says whether a transaction may take a connection at a moment.
    pub(crate) fn takes_pin(&self, at: ClockTime) -> bool {
        self.pins_left > 0 || at >= self.pin_at
    }

    /// Returns how many long jobs run at a moment.
    pub(crate) fn long_running(&self, at: ClockTime) -> u32 {
        let long = self
            .slots
            .iter()
            .filter(|slot| slot.long && slot.free_at > at);
        u32::try_from(long.count()).unwrap_or(u32::MAX)
    }

    /// Says whether a long job may start at a moment.
    pub(crate) fn takes_long(&self, at: ClockTime, elsewhere_free: bool) -> bool {
        let slots = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        may_start_long(slots, self.long_running(at), elsewhere_free)
    }

    /// Adds a running request; one that was sent ahead follows in the slot that is free first.
    fn hold(&mut self, run: SlotBoard, slots: usize) {
        if self.slots.len() < slots {
            self.slots.push(run);
            return;
        }
        if let Some(first) = self.slots.iter_mut().min_by_key(|slot| slot.free_at) {
            first.free_at = first.free_at.max(run.free_at);
            first.long |= run.long;
        }
    }

    /// Opens no slot at present: one statement for each slot has been sent ahead already.
    fn keep_closed(&mut self, now: ClockTime) {
        for slot in &mut self.slots {
            slot.free_at = slot.free_at.max(now + LEAST_REST);
        }
    }

    /// Takes a slot that is free at a moment.
    pub(crate) fn take(&mut self, at: ClockTime, run: SlotBoard) {
        if let Some(index) = self.free_slot(at) {
            self.slots[index] = run;
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
/// A statement that is sent ahead waits at the endpoint if the run before it takes longer, so
/// nothing is sent ahead for the slot of a long job or of one that is overdue already.
fn open_again(
    record: &EndpointRecord,
    running: &RunningRequest,
    now: ClockTime,
    excess: ExcessRule,
) -> ClockTime {
    let end = running.expected_end(now);
    if excess == ExcessRule::Forbidden || running.long || running.is_overdue(now) {
        return end;
    }
    end.before(record.round_trip)
}

/// Returns when a transaction is expected to get a connection, if all are held now.
fn next_pin(record: &EndpointRecord, now: ClockTime, pin_hold: Duration) -> ClockTime {
    let pinned = u32::try_from(record.pins.len()).unwrap_or(u32::MAX);
    let oldest = record.pins.iter().map(|pin| pin.since).min();
    let end = oldest.map_or(now, |since| since + pin_hold);
    end.max(now + pin_hold / pinned.max(1))
}

/// Says whether an endpoint of this health is given ordinary work.
pub(crate) fn is_standing(record: &EndpointRecord) -> bool {
    record.takes_fresh_work() && record.health.level() != HealthLevel::Cut
}
