//! Endpoint health: an instance is slow only in comparison with its peers.
//!
//! # The load it answers
//!
//! One endpoint of three answers five or ten times slower than the others, or holds its slots and
//! answers nothing, while it still counts as alive.
//!
//! # Without it
//!
//! Every third read waits for the slow endpoint. Its slots are busy for longer, so that a policy
//! which counts connections notices, but each read that lands there is late.
//!
//! # Grounds for its figures
//!
//! Each run is compared with what its kind takes elsewhere, so that a mix of short and long kinds
//! gives the same ratio. The middle of the last five ratios decides: three slow answers in a row
//! are needed, which two slots at eight milliseconds give within a tenth of a second. An endpoint
//! whose slots are all held for four times the expected run is slow without any answer.
//! The comparison is with the best peer, so that the best is never cut off and a slowness that all
//! share cuts off none; a peer's runs count only if they started no earlier than the slow ones,
//! because at low load its last fast answers may be from before the slowness began. A trial costs at most one late answer; it comes after 100 ms, then after
//! twice that, up to two seconds, so a lasting fault costs one answer in two seconds.

use crate::ClockTime;
use crate::RequestTicket;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use std::time::Duration;

/// How many of the latest runs are judged.
const RECENT_RUNS: usize = 5;

/// The fewest runs that allow a judgement.
const JUDGED_RUNS: usize = 3;

/// Runs longer than the best peer's by this factor halve an endpoint's work.
const HALF_FACTOR: f64 = 2.0;

/// Runs longer than the best peer's by this factor cut an endpoint off.
const CUT_FACTOR: f64 = 3.0;

/// Slots that are all held for this multiple of the expected run are a sign of slowness.
pub(crate) const OVERDUE_FACTOR: f64 = 4.0;

/// The time to the first trial of an endpoint that was cut off.
const FIRST_TRIAL_GAP: Duration = Duration::from_millis(100);

/// The longest time between two trials.
const LONGEST_TRIAL_GAP: Duration = Duration::from_millis(400);

/// How much work an endpoint gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthLevel {
    /// All of its slots.
    #[default]
    Full,
    /// Half of its slots.
    Half,
    /// None but for trials.
    Cut,
}

/// One run, compared with what its kind takes elsewhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSample {
    /// When the run started.
    pub(crate) started: ClockTime,
    /// The ratio of the actual to the expected run.
    pub(crate) ratio: f64,
}

/// What is known of one endpoint's speed.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointHealth {
    recent: SmallVec<[RunSample; RECENT_RUNS]>,
    level: HealthLevel,
    trial_gap: Duration,
    next_trial: ClockTime,
    trial: Option<RequestTicket>,
    cut_factor: f64,
}

impl EndpointHealth {
    /// Returns how much work the endpoint gets.
    pub(crate) fn level(&self) -> HealthLevel {
        self.level
    }

    /// Returns how many of its slots may be used for work that could go elsewhere.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        match self.level {
            HealthLevel::Full => slots,
            HealthLevel::Half => slots.div_ceil(2),
            HealthLevel::Cut => 0,
        }
    }

    /// Says whether a trial may start.
    pub(crate) fn trial_due(&self, now: ClockTime) -> bool {
        self.level == HealthLevel::Cut && self.trial.is_none() && now >= self.next_trial
    }

    /// Notes that a request was sent as a trial.
    pub(crate) fn begin_trial(&mut self, ticket: RequestTicket) {
        self.trial = Some(ticket);
    }

    /// Returns the middle of the recent ratios of actual to expected run, if there are enough.
    pub(crate) fn score(&self) -> Option<f64> {
        if self.recent.len() < JUDGED_RUNS {
            return None;
        }
        middle_ratio(&self.recent)
    }

    /// Returns the middle of the ratios of runs that started at a moment or later.
    pub(crate) fn score_since(&self, since: ClockTime) -> Option<f64> {
        let later = self.recent.iter().filter(|sample| sample.started >= since);
        let later: SmallVec<[RunSample; RECENT_RUNS]> = later.copied().collect();
        middle_ratio(&later)
    }

    /// Returns when the oldest of the runs started that are enough to judge by.
    pub(crate) fn judged_since(&self) -> Option<ClockTime> {
        let first = self.recent.len().checked_sub(JUDGED_RUNS)?;
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

    /// Takes the run of a request that ended.
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

    /// Takes a run of an endpoint that is cut off: a trial, or work that had nowhere else to go.
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

    /// Forgets a trial that ended without an answer; the next one comes later.
    pub(crate) fn drop_trial(&mut self, now: ClockTime, ticket: RequestTicket) {
        if self.trial == Some(ticket) {
            self.trial = None;
            self.postpone_trial(now);
        }
    }

    /// Adjusts the level to the comparison with the best peer.
    ///
    /// `held` is the least ratio of elapsed to expected run over all slots, if all are held.
    pub(crate) fn judge(&mut self, now: ClockTime, best: f64, held: Option<f64>) {
        if self.level == HealthLevel::Cut {
            return;
        }
        let overdue = held.filter(|ratio| *ratio >= OVERDUE_FACTOR * best);
        let score = match (self.score(), overdue) {
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
        self.trial_gap = FIRST_TRIAL_GAP;
        self.next_trial = now + FIRST_TRIAL_GAP;
    }

    fn postpone_trial(&mut self, now: ClockTime) {
        self.trial_gap = (self.trial_gap * 2).min(LONGEST_TRIAL_GAP);
        self.next_trial = now + self.trial_gap;
    }
}

/// Returns the middle of the ratios of some runs.
fn middle_ratio(samples: &[RunSample]) -> Option<f64> {
    let ratios = samples.iter().map(|sample| sample.ratio);
    let mut sorted: SmallVec<[f64; RECENT_RUNS]> = ratios.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}
