//! Detection of slow endpoints by comparison with their peers.
//!
//! # Problem
//!
//! One endpoint of three answers five or ten times slower than the others, or holds its slots and
//! answers nothing, while it still counts as alive. Every third read would wait for it. A policy
//! that counts connections notices that the endpoint's slots are busy for longer, but each read
//! that lands there is late.
//!
//! # Approach
//!
//! This is outlier detection with three levels and half-open trials. Each run is expressed as a
//! ratio to the estimate for its kind, so that a mix of short and long kinds gives comparable
//! values. The median of the last five ratios is compared with that of the best peer: at
//! [`HALF_FACTOR`] the endpoint loses half of its slots, at [`CUT_FACTOR`] all of them. Three slow
//! answers in a row are needed, which two slots at eight milliseconds give within a tenth of a
//! second. An endpoint whose slots are all held for four times the expected run counts as slow
//! without any answer.
//!
//! Because the best peer is the reference, the best endpoint is never cut off, and a slowness that
//! all share cuts off none. A peer's runs count only if they started no earlier than the slow ones:
//! at low load its last fast answers may be from before the slowness began.
//!
//! An endpoint that was cut off gets single requests as trials. A trial costs at most one late
//! answer. The first one comes after 100 ms, and the interval doubles with each failure, up to
//! [`MAX_TRIAL_INTERVAL`], so a lasting fault costs one late answer in each such interval.

use crate::ClockTime;
use crate::RequestTicket;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use std::time::Duration;

/// The number of latest runs over which the median is taken.
const RECENT_RUNS: usize = 5;

/// The minimum number of runs for a judgement.
const MIN_JUDGED_RUNS: usize = 3;

/// An endpoint whose runs are longer than the best peer's by this factor keeps half of its slots.
const HALF_FACTOR: f64 = 2.0;

/// An endpoint whose runs are longer than the best peer's by this factor is cut off.
const CUT_FACTOR: f64 = 3.0;

/// An endpoint counts as slow when all of its slots have been held for this multiple of the
/// expected run.
pub(crate) const STALL_FACTOR: f64 = 4.0;

/// The time from the cut to the first trial.
const FIRST_TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum interval between two trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_millis(400);

/// The part of an endpoint's slots that is used for work that other endpoints could do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HealthLevel {
    /// All of its slots.
    #[default]
    Full,
    /// Half of its slots.
    Half,
    /// No slots, except for trials.
    Cut,
}

/// The speed of one run, relative to the estimate for its kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSample {
    /// The start of the run.
    pub(crate) started: ClockTime,
    /// The ratio of the actual to the expected run time.
    pub(crate) ratio: f64,
}

/// The observed speed of one endpoint, and its level.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointHealth {
    recent: SmallVec<[RunSample; RECENT_RUNS]>,
    level: HealthLevel,
    trial_interval: Duration,
    next_trial: ClockTime,
    trial: Option<RequestTicket>,
    cut_factor: f64,
}

impl EndpointHealth {
    /// Returns the endpoint's level.
    pub(crate) fn level(&self) -> HealthLevel {
        self.level
    }

    /// Returns how many of its slots may be used for work that other endpoints could do.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        match self.level {
            HealthLevel::Full => slots,
            HealthLevel::Half => slots.div_ceil(2),
            HealthLevel::Cut => 0,
        }
    }

    /// Returns whether a trial may start.
    pub(crate) fn trial_due(&self, now: ClockTime) -> bool {
        self.level == HealthLevel::Cut && self.trial.is_none() && now >= self.next_trial
    }

    /// Records that a request was sent as a trial.
    pub(crate) fn begin_trial(&mut self, ticket: RequestTicket) {
        self.trial = Some(ticket);
    }

    /// Returns the median of the recent ratios of actual to expected run time, if there are enough.
    pub(crate) fn score(&self) -> Option<f64> {
        if self.recent.len() < MIN_JUDGED_RUNS {
            return None;
        }
        median_ratio(&self.recent)
    }

    /// Returns the median of the ratios of runs that started at `since` or later.
    pub(crate) fn score_since(&self, since: ClockTime) -> Option<f64> {
        let later = self.recent.iter().filter(|sample| sample.started >= since);
        let later: SmallVec<[RunSample; RECENT_RUNS]> = later.copied().collect();
        median_ratio(&later)
    }

    /// Returns the start of the oldest of the latest [`MIN_JUDGED_RUNS`] runs.
    pub(crate) fn judged_since(&self) -> Option<ClockTime> {
        let first = self.recent.len().checked_sub(MIN_JUDGED_RUNS)?;
        self.recent[first..]
            .iter()
            .map(|sample| sample.started)
            .min()
    }

    /// Returns the factor by which a run is expected to be longer here than elsewhere.
    pub(crate) fn slowdown(&self) -> f64 {
        let score = self.score().unwrap_or(1.0).max(1.0);
        match self.level {
            HealthLevel::Cut => score.max(self.cut_factor),
            HealthLevel::Full | HealthLevel::Half => score,
        }
    }

    /// Records a run that was answered.
    pub(crate) fn observe(
        &mut self,
        now: ClockTime,
        ticket: RequestTicket,
        sample: RunSample,
        best: f64,
    ) {
        let trial = self.trial == Some(ticket);
        if trial {
            self.trial = None;
        }
        if self.level == HealthLevel::Cut {
            self.observe_cut(now, trial, sample, best);
            return;
        }
        self.keep(sample);
    }

    /// Records a run on an endpoint that is cut off: a trial, or work that no other endpoint could
    /// do.
    fn observe_cut(&mut self, now: ClockTime, trial: bool, sample: RunSample, best: f64) {
        if sample.ratio < HALF_FACTOR * best {
            self.recent.clear();
            self.level = HealthLevel::Half;
            return;
        }
        self.keep(sample);
        if trial {
            self.postpone_trial(now);
        }
    }

    fn keep(&mut self, sample: RunSample) {
        if self.recent.len() == RECENT_RUNS {
            self.recent.remove(0);
        }
        self.recent.push(sample);
    }

    /// Records that a trial ended without an answer, and postpones the next one.
    pub(crate) fn drop_trial(&mut self, now: ClockTime, ticket: RequestTicket) {
        if self.trial == Some(ticket) {
            self.trial = None;
            self.postpone_trial(now);
        }
    }

    /// Adjusts the level by comparison with the best peer.
    ///
    /// `stall_ratio` is the lowest ratio of elapsed to expected run time over all slots, if all are
    /// held.
    pub(crate) fn judge(&mut self, now: ClockTime, best: f64, stall_ratio: Option<f64>) {
        if self.level == HealthLevel::Cut {
            return;
        }
        let stalled = stall_ratio.filter(|ratio| *ratio >= STALL_FACTOR * best);
        let score = match (self.score(), stalled) {
            (Some(score), Some(ratio)) => score.max(ratio),
            (Some(score), None) => score,
            (None, Some(ratio)) => ratio,
            (None, None) => return,
        };
        let factor = score / best;
        if factor >= CUT_FACTOR {
            self.cut_off(now, factor);
        } else if factor >= HALF_FACTOR {
            self.level = HealthLevel::Half;
        } else {
            self.level = HealthLevel::Full;
        }
    }

    fn cut_off(&mut self, now: ClockTime, factor: f64) {
        self.cut_factor = factor;
        self.level = HealthLevel::Cut;
        self.trial_interval = FIRST_TRIAL_INTERVAL;
        self.next_trial = now + FIRST_TRIAL_INTERVAL;
    }

    fn postpone_trial(&mut self, now: ClockTime) {
        self.trial_interval = (self.trial_interval * 2).min(MAX_TRIAL_INTERVAL);
        self.next_trial = now + self.trial_interval;
    }
}

/// Returns the median ratio of some runs.
fn median_ratio(samples: &[RunSample]) -> Option<f64> {
    let ratios = samples.iter().map(|sample| sample.ratio);
    let mut sorted: SmallVec<[f64; RECENT_RUNS]> = ratios.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
