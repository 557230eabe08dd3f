//! Growing load for an endpoint that has just come back.
//!
//! # Problem
//!
//! An endpoint goes down and up each second. Whenever it is back its slots are free, so it gets a
//! full set of statements at once, and loses them half a second later.
//!
//! # Approach
//!
//! After an outage the endpoint gets one slot for work that others can do, and more in proportion
//! to the time since the last sign of the outage, until it has all of them again. Each further
//! outage within a short time doubles that time, so a flapping endpoint soon gets one statement at
//! a time. A primary's own work isn't limited, since no other endpoint can do it. Nor are reads
//! when more than two wait for each slot of the others: at full capacity the limit costs more
//! timely answers than it saves lost reads, which are sent again.
//!
//! Signs of an outage are a refused or unanswered connection, the removal of the endpoint, and
//! connections that break shortly after each other. A single broken connection says little about
//! the endpoint.

use crate::ClockTime;
use ragwort_types::InstanceName;
use std::time::Duration;

/// The time over which the load grows after a first outage.
const FIRST_RAMP: Duration = Duration::from_millis(500);

/// The maximum time over which the load grows.
const MAX_RAMP: Duration = Duration::from_secs(8);

/// An outage that begins within this time after the load has grown to the full again doubles the
/// time of the next growth.
const CALM_TIME: Duration = Duration::from_secs(10);

/// Two connections that break within this time are a sign of an outage.
const BREAK_WINDOW: Duration = Duration::from_millis(100);

/// The number of removed endpoints whose outages are remembered.
const MAX_DEPARTED: usize = 8;

/// The recent outages of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestartRamp {
    /// The last sign of an outage.
    last_sign: Option<ClockTime>,
    /// The time over which the load grows after it.
    length: Duration,
    /// Whether the endpoint has answered since the last sign.
    answered: bool,
    last_break: Option<ClockTime>,
    active: bool,
}

impl RestartRamp {
    /// Records a sign of an outage.
    pub(crate) fn note_outage(&mut self, now: ClockTime) {
        let same = self.last_sign.is_some() && !self.answered;
        if !same {
            let calm = self
                .last_sign
                .is_none_or(|last| now.since(last) > self.length + CALM_TIME);
            self.length = match calm {
                true => FIRST_RAMP,
                false => (self.length * 2).min(MAX_RAMP),
            };
        }
        self.last_sign = Some(now);
        self.answered = false;
        self.active = true;
    }

    /// Records that a connection broke.
    pub(crate) fn note_break(&mut self, now: ClockTime) {
        let last = self.last_break.replace(now);
        if last.is_some_and(|last| now.since(last) <= BREAK_WINDOW) {
            self.note_outage(now);
        }
    }

    /// Records that the endpoint answered a statement.
    pub(crate) fn note_answer(&mut self) {
        self.answered = true;
    }

    /// Returns whether the load is growing, as of the last call of [`update`](Self::update).
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Ends the growth if its time has passed.
    pub(crate) fn update(&mut self, now: ClockTime) {
        self.active = self.elapsed(now).is_some();
    }

    /// Returns how many slots may be used for work that other endpoints could do.
    pub(crate) fn usable_slots(&self, now: ClockTime, slots: u32) -> u32 {
        let Some(elapsed) = self.elapsed(now) else {
            return slots;
        };
        let part = elapsed.as_secs_f64() / self.length.as_secs_f64();
        ((f64::from(slots) * part) as u32).clamp(1, slots.max(1))
    }

    /// Returns the time since the last sign of an outage, while the load is growing.
    fn elapsed(&self, now: ClockTime) -> Option<Duration> {
        let elapsed = now.since(self.last_sign?);
        (elapsed < self.length).then_some(elapsed)
    }
}

/// The outages of endpoints that were removed, in case they come back.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartedEndpoints {
    ramps: Vec<(InstanceName, RestartRamp)>,
}

impl DepartedEndpoints {
    /// Remembers an endpoint's outages in place of the oldest ones, if too many are remembered.
    pub(crate) fn remember(&mut self, instance: InstanceName, ramp: RestartRamp) {
        if self.ramps.len() == MAX_DEPARTED {
            self.ramps.remove(0);
        }
        self.ramps.push((instance, ramp));
    }

    /// Takes the outages of an endpoint that has come back.
    pub(crate) fn take(&mut self, instance: &InstanceName) -> Option<RestartRamp> {
        let mut ramps = self.ramps.iter();
        let place = ramps.position(|(departed, _)| departed == instance)?;
        Some(self.ramps.remove(place).1)
    }
}
